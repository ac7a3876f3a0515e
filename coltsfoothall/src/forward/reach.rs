//! Which endpoints this instance reaches, by the connections that it opens itself.
//!
//! An endpoint is out of reach from a connection that could not be opened until one is. Answers on
//! connections that were opened before prove nothing: they may live on while new ones are refused.
//!
//! A service is lost to this instance if all its endpoints are out of reach, or so many of them
//! that were tried one after the other that the rest need not be tried.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::node::Node;
use crate::forward::roster::Roster;
use crate::id;

/// Number of endpoints of a service that have to be out of reach, without one that was reached
/// meanwhile, for all others to be assumed to be so as well.
const MIN_LOST: usize = 8;

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

    fn takes_work(&self, service: &id::Service) -> bool {
        self.entry.service == *service && !self.entry.leaving
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
        let newly = node.lost_at.is_none();
        node.lost_at.get_or_insert(now);
        newly
    }

    /// Records that a connection to an endpoint was opened. Returns how long the endpoint had been
    /// out of reach, if it was.
    pub fn record_reached(&mut self, now: Time, id: &id::Endpoint) -> Option<Duration> {
        let index = self.index(id).ok()?;
        let node = &mut self.nodes[index];
        let lost_at = node.lost_at.take();
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

    /// Endpoints that this instance cannot reach.
    pub fn unreachable(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.is_reachable())
    }

    /// Whether this instance reaches no endpoint of a service that has some.
    #[must_use]
    pub fn is_lost(&self, service: &id::Service) -> bool {
        let contact = self.contact(service);
        let takers = self.nodes.iter().filter(|node| node.takes_work(service));
        let (mut known, mut lost, mut lost_since_contact) = (0, 0, 0);
        for node in takers {
            known += 1;
            if let Some(lost_at) = node.lost_at {
                lost += 1;
                lost_since_contact += usize::from(contact.is_none_or(|contact| contact < lost_at));
            }
        }
        known > 0 && (lost == known || lost_since_contact >= MIN_LOST)
    }

    /// Services of which this instance reaches no endpoint, sorted.
    #[must_use]
    pub fn lost_services(&self) -> Vec<id::Service> {
        let mut services: Vec<&id::Service> =
            self.unreachable().map(|node| &node.entry.service).collect();
        services.sort_unstable();
        services.dedup();
        let lost = services.into_iter().filter(|service| self.is_lost(service));
        lost.cloned().collect()
    }

    fn contact(&self, service: &id::Service) -> Option<Time> {
        let found = self
            .contacts
            .binary_search_by(|contact| contact.service.cmp(service));
        found.ok().map(|index| self.contacts[index].at)
    }
}
