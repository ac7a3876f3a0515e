//! Trials of endpoints that may be dead, and what follows from a death.

use std::sync::Arc;

use coltsfoothall::clock::Time;
use coltsfoothall::fingerprint::Evidence;
use coltsfoothall::id;
use coltsfoothall::step::Input;
use coltsfoothall_shell::event;
use coltsfoothall_wire::cloud::Machine;

use crate::control::Control;
use crate::death::{self, Found};
use crate::message::Message;

/// Peers that new evidence is told to, which tell it on.
const FAN: usize = 6;

impl Control {
    /// A trial ended: takes in what it found.
    pub fn tried(&mut self, now: Time, endpoint: &id::Endpoint, found: Found) {
        let found = self.settle(endpoint, found);
        if self.dispatch.rule(now, endpoint, found) {
            self.endpoint_died(endpoint, found == (Found::Dead { domain: true }));
        }
    }

    /// What a trial found, where no answer of an endpoint that left the instance
    /// list means that it is dead.
    fn settle(&self, endpoint: &id::Endpoint, found: Found) -> Found {
        let listed = self.census.find(endpoint).is_some();
        match found {
            Found::Silent if !listed => Found::Dead { domain: false },
            Found::Silent | Found::Alive | Found::Restarted(_) | Found::Dead { .. } => found,
        }
    }

    /// Tries endpoints that run something here and left the instance list.
    pub fn try_gone(&mut self, gone: &[Machine]) {
        for machine in gone {
            let Ok(endpoint) = machine.id.as_str().parse::<id::Endpoint>() else {
                continue;
            };
            if self.dispatch.open_at(&endpoint) == 0 {
                continue;
            }
            if self.dispatch.judge().accuse(&endpoint, None) {
                self.try_machine(endpoint, Some(machine));
            }
        }
    }

    /// Tries an endpoint, and if it is dead the others of its failure domain.
    pub fn try_endpoint(&mut self, endpoint: id::Endpoint) {
        let machine = self.census.find(&endpoint).cloned();
        self.try_machine(endpoint, machine.as_ref());
    }

    fn try_machine(&mut self, endpoint: id::Endpoint, machine: Option<&Machine>) {
        let node = Arc::clone(&self.node);
        let address = machine.map(|m| m.address.clone()).unwrap_or_default();
        let boot = self.dispatch.judge().tried_boot(&endpoint);
        let mates = machine.map(|m| self.census.mates(m)).unwrap_or_default();
        tokio::spawn(async move {
            let found = death::probe(&node.client, &address, boot, &mates).await;
            node.control.send(Message::Tried(endpoint, found));
        });
    }

    /// An endpoint died: its requests go on elsewhere at once, and what ran
    /// there is suspected unless its death was announced.
    fn endpoint_died(&mut self, endpoint: &id::Endpoint, domain: bool) {
        let now = self.node.now();
        let again = self.dispatch.judge().is_dead(endpoint);
        if again && self.dispatch.open_at(endpoint) == 0 {
            // Tried again and still dead; all know.
            self.dispatch.died(now, endpoint, true);
            return;
        }
        let announced = domain || self.census.announced(endpoint);
        let marks = self.dispatch.died(now, endpoint, announced);
        event::ENDPOINT_DIED.emit(format_args!(
            "endpoint={endpoint} announced={announced} suspects={}",
            marks.len()
        ));
        self.node.desk.tell_all(&Input::EndpointDied {
            endpoint: endpoint.clone(),
        });
        if !marks.is_empty() {
            let evidence = self.dispatch.judge().about(now, &marks);
            self.members.tell(&evidence, FAN);
        }
        self.dispatch.poll(now);
    }

    /// Takes in evidence and tells on what is new; nothing told asks for all.
    pub fn evidence(&mut self, told: &[Evidence]) -> Vec<Evidence> {
        let now = self.node.now();
        if told.is_empty() {
            return self.dispatch.judge().evidence(now);
        }
        let news = self.dispatch.judge().merge(now, told);
        if !news.is_empty() {
            self.members.tell(&news, FAN);
        }
        Vec::new()
    }
}
