//! Trials of endpoints that may be dead, and what follows from a death.

use std::sync::Arc;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::print::Evidence;
use coltsfoothall::step::Input;
use coltsfoothall_shell::event;
use coltsfoothall_wire::cloud::Machine;

use crate::control::Control;
use crate::death::{self, Finding};
use crate::message::Message;

/// Peers that new evidence is told to, which tell it on.
const FAN: usize = 6;

impl Control {
    /// A trial ended: takes in what it found.
    pub fn record_probe(&mut self, now: Time, endpoint: &id::Endpoint, found: Finding) {
        let found = self.settle(endpoint, found);
        if self.dispatch.record_probe(now, endpoint, found) {
            self.endpoint_died(endpoint, found == (Finding::Dead { domain: true }));
        }
    }

    /// What a trial found, where no answer of an endpoint that left the instance
    /// list means that it is dead.
    fn settle(&self, endpoint: &id::Endpoint, found: Finding) -> Finding {
        let listed = self.inventory.find(endpoint).is_some();
        match found {
            Finding::Silent if !listed => Finding::Dead { domain: false },
            Finding::Silent | Finding::Alive | Finding::Restarted(_) | Finding::Dead { .. } => {
                found
            }
        }
    }

    /// Tries endpoints that run something here and left the instance list.
    pub fn probe_removed(&mut self, gone: &[Machine]) {
        for machine in gone {
            let Ok(endpoint) = machine.id.as_str().parse::<id::Endpoint>() else {
                continue;
            };
            if self.dispatch.open_at(&endpoint) == 0 {
                continue;
            }
            if self.dispatch.detector().start_probe(&endpoint, None) {
                self.probe_machine(endpoint, Some(machine));
            }
        }
    }

    /// Tries an endpoint, and if it is dead the others of its failure domain.
    pub fn probe_endpoint(&mut self, endpoint: id::Endpoint) {
        let machine = self.inventory.find(&endpoint).cloned();
        self.probe_machine(endpoint, machine.as_ref());
    }

    fn probe_machine(&mut self, endpoint: id::Endpoint, machine: Option<&Machine>) {
        let node = Arc::clone(&self.node);
        let address = machine.map(|m| m.address.clone()).unwrap_or_default();
        let boot = self.dispatch.detector().probed_boot(&endpoint);
        let mates = machine.map(|m| self.inventory.mates(m)).unwrap_or_default();
        tokio::spawn(async move {
            let found = death::probe(&node.client, &address, boot, &mates).await;
            node.control.send(Message::ProbeEnded(endpoint, found));
        });
    }

    /// An endpoint died: its requests go on elsewhere at once, and what ran
    /// there is suspected unless its death was announced.
    fn endpoint_died(&mut self, endpoint: &id::Endpoint, domain: bool) {
        let now = self.node.now();
        let again = self.dispatch.detector().is_dead(endpoint);
        if again && self.dispatch.open_at(endpoint) == 0 {
            // Tried again and still dead; all know.
            self.dispatch.record_death(now, endpoint, true);
            return;
        }
        let announced = domain || self.inventory.announced(endpoint);
        let marks = self.dispatch.record_death(now, endpoint, announced);
        event::ENDPOINT_DIED.emit(format_args!(
            "endpoint={endpoint} announced={announced} suspects={}",
            marks.len()
        ));
        self.node.requests.tell_all(&Input::EndpointDied {
            endpoint: endpoint.clone(),
        });
        if !marks.is_empty() {
            let evidence = self.dispatch.detector().about(now, &marks);
            self.members.tell(&evidence, FAN);
        }
        self.dispatch.poll(now);
    }

    /// Takes in evidence and tells on what is new; nothing told asks for all.
    pub fn evidence(&mut self, told: &[Evidence]) -> Vec<Evidence> {
        let now = self.node.now();
        if told.is_empty() {
            return self.dispatch.detector().evidence(now);
        }
        let news = self.dispatch.detector().merge(now, told);
        if !news.is_empty() {
            self.members.tell(&news, FAN);
        }
        Vec::new()
    }
}
