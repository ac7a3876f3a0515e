//! Which endpoints this instance reaches, by the connections that it opens itself.
//!
//! An endpoint is out of reach from a connection that could not be opened until one is. Answers on
//! connections that were opened before prove nothing: they may live on while new ones are refused.
//!
//! A service is lost to this instance if all its endpoints are out of reach, or so many of them
//! that were tried one after the other that the rest need not be tried.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Time;
use crate::forward::node::Node;
use crate::forward::roster::Roster;
use crate::id;

/// Number of endpoints of a service that have to be out of reach, without one that was reached
/// meanwhile, for all others to be assumed to be so as well.
const MIN_LOST: usize = 8;

/// Time after which a failure counts for that: other endpoints that are probed at once answer within
/// it if they are in reach.
const SAMPLE_TIME: Duration = Duration::from_millis(50);
/// Time between two probes of an endpoint.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time without an answer after which an endpoint that has requests is probed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// When a connection to any endpoint of a service was last opened.
#[derive(Debug, Clone)]
pub(super) struct Contact {
    service: id::Service,
    at: Time,
}

impl Node {
    /// Whether a connection to it can be opened, as far as this instance knows.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.lost_at.is_none()
    }

    pub(super) fn record_lost(&mut self, now: Time) {
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            self.probed_at = now;
            self.unconfirmed = 0;
        }
    }

    fn take_probe(&mut self, now: Time) -> (id::Endpoint, SocketAddr) {
        self.probed_at = now;
        (self.entry.id.clone(), self.entry.address)
    }

    pub(super) fn takes_work(&self, service: &id::Service) -> bool {
        self.entry.service == *service && !self.is_leaving()
    }
}

impl Roster {
    /// Records that a connection to an endpoint could not be opened. Returns whether the endpoint
    /// was in reach before.
    pub fn record_unreachable(&mut self, now: Time, id: &id::Endpoint) -> bool {
        let Ok(index) = self.index(id) else {
            return false;
        };
        let node = &mut self.nodes[index];
        let newly = node.is_reachable();
        node.record_lost(now);
        newly
    }

    /// Records that a connection to an endpoint was opened. Returns how long the endpoint had been
    /// out of reach, if it was.
    pub fn record_reached(&mut self, now: Time, id: &id::Endpoint) -> Option<Duration> {
        let index = self.index(id).ok()?;
        let node = &mut self.nodes[index];
        let lost_at = node.lost_at.take();
        node.failed += std::mem::take(&mut node.unconfirmed);
        let service = node.entry.service.clone();
        match self
            .contacts
            .binary_search_by(|contact| contact.service.cmp(&service))
        {
            Ok(index) => self.contacts[index].at = now,
            Err(index) => self.contacts.insert(index, Contact { service, at: now }),
        }
        lost_at.map(|lost_at| now.since(lost_at))
    }

    /// At most `max` endpoints that are out of reach and were not probed for
    /// [`PROBE_PERIOD`], those first that were not for longest. They count as probed now.
    pub fn take_probes(&mut self, now: Time, max: usize) -> Vec<(id::Endpoint, SocketAddr)> {
        let mut due: Vec<&mut Node> = self
            .nodes
            .iter_mut()
            .filter(|node| !node.is_reachable() && now.since(node.probed_at) >= PROBE_PERIOD)
            .collect();
        due.sort_by_key(|node| node.probed_at);
        due.truncate(max);
        due.into_iter().map(|node| node.take_probe(now)).collect()
    }

    /// At most `max` endpoints of a service that are in reach as far as is known, chosen at random
    /// from those that were not probed for [`PROBE_PERIOD`]. They count as probed now.
    pub fn take_sample(
        &mut self,
        now: Time,
        service: &id::Service,
        max: usize,
        random: &mut impl Rng,
    ) -> Vec<(id::Endpoint, SocketAddr)> {
        let known = self.nodes.iter_mut().filter(|node| {
            node.takes_work(service)
                && node.is_reachable()
                && now.since(node.probed_at) >= PROBE_PERIOD
        });
        let sample = known.choose_multiple(random, max);
        sample
            .into_iter()
            .map(|node| node.take_probe(now))
            .collect()
    }

    /// At most `max` other endpoints, chosen at random, those in reach first.
    pub fn others(
        &self,
        id: &id::Endpoint,
        max: usize,
        random: &mut impl Rng,
    ) -> Vec<(id::Endpoint, SocketAddr)> {
        let others = |reachable: bool| {
            self.nodes.iter().filter(move |node| {
                node.entry.id != *id && !node.is_leaving() && node.is_reachable() == reachable
            })
        };
        let mut chosen = others(true).choose_multiple(random, max);
        let missing = max - chosen.len();
        chosen.extend(others(false).choose_multiple(random, missing));
        let addresses = chosen.into_iter();
        addresses
            .map(|node| (node.entry.id.clone(), node.entry.address))
            .collect()
    }

    /// The address of an endpoint that is to be probed as it has not answered for
    /// [`SILENCE_TIMEOUT`]; none if it has, is leaving or was probed not long ago.
    pub fn take_silent(&mut self, now: Time, id: &id::Endpoint) -> Option<SocketAddr> {
        let index = self.index(id).ok()?;
        let node = &mut self.nodes[index];
        let due = !node.is_leaving()
            && now.since(node.answered_at) >= SILENCE_TIMEOUT
            && now.since(node.probed_at) >= PROBE_PERIOD;
        due.then(|| node.take_probe(now).1)
    }

    /// Services other than this one that have endpoints, sorted.
    #[must_use]
    pub fn other_services(&self, service: &id::Service) -> Vec<id::Service> {
        let services = self.nodes.iter().map(|node| &node.entry.service);
        let mut services: Vec<&id::Service> = services.filter(|other| *other != service).collect();
        services.sort_unstable();
        services.dedup();
        services.into_iter().cloned().collect()
    }

    /// Endpoints that this instance cannot reach.
    pub fn unreachable(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.is_reachable())
    }

    /// Whether any endpoint of a service is out of reach of this instance.
    #[must_use]
    pub fn has_unreachable(&self, service: &id::Service) -> bool {
        self.unreachable().any(|node| node.takes_work(service))
    }

    /// Whether half of the endpoints of a service or more are out of reach of this instance.
    #[must_use]
    pub fn is_mostly_unreachable(&self, service: &id::Service) -> bool {
        let takers = self.nodes.iter().filter(|node| node.takes_work(service));
        let lost = takers.clone().filter(|node| !node.is_reachable()).count();
        lost > 0 && lost * 2 >= takers.count()
    }

    /// Whether this instance reaches no endpoint of a service that has some.
    #[must_use]
    pub fn is_lost(&self, now: Time, service: &id::Service) -> bool {
        let contact = self.contact(service);
        let takers = self.nodes.iter().filter(|node| node.takes_work(service));
        let (mut known, mut lost, mut lost_since_contact) = (0, 0, 0);
        for node in takers {
            known += 1;
            if let Some(lost_at) = node.lost_at {
                lost += 1;
                let counts = now.since(lost_at) >= SAMPLE_TIME
                    && contact.is_none_or(|contact| contact < lost_at);
                lost_since_contact += usize::from(counts);
            }
        }
        known > 0 && (lost == known || lost_since_contact >= MIN_LOST)
    }

    /// Services of which this instance reaches no endpoint, sorted.
    #[must_use]
    pub fn lost_services(&self, now: Time) -> Vec<id::Service> {
        let mut services: Vec<&id::Service> =
            self.unreachable().map(|node| &node.entry.service).collect();
        services.sort_unstable();
        services.dedup();
        let lost = services
            .into_iter()
            .filter(|service| self.is_lost(now, service));
        lost.cloned().collect()
    }

    fn contact(&self, service: &id::Service) -> Option<Time> {
        let found = self
            .contacts
            .binary_search_by(|contact| contact.service.cmp(service));
        found.ok().map(|index| self.contacts[index].at)
    }
}
