//! Probes endpoints that may be dead, and handles their deaths.

use std::sync::Arc;

use coltsfoothall::clock::Time;
use coltsfoothall::fingerprint::Evidence;
use coltsfoothall::id;
use coltsfoothall::step::Input;
use coltsfoothall_shell::event;
use coltsfoothall_wire::cloud::Machine;

use crate::control::Control;
use crate::death::{self, Finding};
use crate::message::Message;

/// Number of peers that new evidence is sent to. They forward it.
const EVIDENCE_FANOUT: usize = 6;

impl Control {
    /// Handles the result of a probe.
    pub fn record_probe(&mut self, now: Time, endpoint: &id::Endpoint, finding: Finding) {
        let finding = self.resolve(endpoint, finding);
        if self.dispatch.record_probe(now, endpoint, finding) {
            self.endpoint_died(endpoint, finding == (Finding::Dead { domain: true }));
        }
    }

    /// The result of a probe, corrected for endpoints that left the instance list: for them, no
    /// answer means dead.
    fn resolve(&self, endpoint: &id::Endpoint, finding: Finding) -> Finding {
        let listed = self.inventory.find(endpoint).is_some();
        match finding {
            Finding::Silent if !listed => Finding::Dead { domain: false },
            Finding::Silent | Finding::Alive | Finding::Restarted(_) | Finding::Dead { .. } => {
                finding
            }
        }
    }

    /// Probes endpoints that left the instance list while attempts of this instance run there.
    pub fn probe_removed(&mut self, removed: &[Machine]) {
        for machine in removed {
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

    /// Probes an endpoint, and if it is dead also other instances of its failure domain.
    pub fn probe_endpoint(&mut self, endpoint: id::Endpoint) {
        let machine = self.inventory.find(&endpoint).cloned();
        self.probe_machine(endpoint, machine.as_ref());
    }

    fn probe_machine(&mut self, endpoint: id::Endpoint, machine: Option<&Machine>) {
        let node = Arc::clone(&self.node);
        let address = machine.map(|m| m.address.clone()).unwrap_or_default();
        let boot = self.dispatch.detector().probed_boot(&endpoint);
        let peers = machine
            .map(|m| self.inventory.domain_peers(m))
            .unwrap_or_default();
        tokio::spawn(async move {
            let finding = death::probe(&node.client, &address, boot, &peers).await;
            node.control.send(Message::ProbeEnded(endpoint, finding));
        });
    }

    /// Handles the death of an endpoint: its requests continue elsewhere at once, and what ran
    /// there is suspected unless the death was announced.
    fn endpoint_died(&mut self, endpoint: &id::Endpoint, domain: bool) {
        let now = self.node.now();
        let known = self.dispatch.detector().is_dead(endpoint);
        if known && self.dispatch.open_at(endpoint) == 0 {
            // Probed again and still dead; this was reported before.
            self.dispatch.record_death(now, endpoint, true);
            return;
        }
        let announced = domain || self.inventory.end_announced(endpoint);
        let marks = self.dispatch.record_death(now, endpoint, announced);
        event::ENDPOINT_DIED.emit(format_args!(
            "endpoint={endpoint} announced={announced} suspects={}",
            marks.len()
        ));
        self.node.requests.notify_all(&Input::EndpointDied {
            endpoint: endpoint.clone(),
        });
        if !marks.is_empty() {
            let evidence = self.dispatch.detector().evidence_about(now, &marks);
            self.members.send_evidence(&evidence, EVIDENCE_FANOUT);
        }
        self.dispatch.poll(now);
    }

    /// Merges evidence from a peer and forwards what is new. An empty list asks for all
    /// evidence.
    pub fn evidence(&mut self, reported: &[Evidence]) -> Vec<Evidence> {
        let now = self.node.now();
        if reported.is_empty() {
            return self.dispatch.detector().evidence(now);
        }
        let added = self.dispatch.detector().merge(now, reported);
        if !added.is_empty() {
            self.members.send_evidence(&added, EVIDENCE_FANOUT);
        }
        Vec::new()
    }
}
