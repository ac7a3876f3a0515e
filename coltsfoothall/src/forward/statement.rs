//! What endpoints say of themselves in their answers, which outlasts their registrations: one that
//! lapses and returns is the same endpoint.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::backoff::Backoff;
use crate::forward::choice::Query;
use crate::forward::departure::Departure;
use crate::forward::node::{Entry, Node};
use crate::forward::roster::{Roster, Run};
use crate::id;
use crate::size::Millis;

/// How long a statement is kept after its registration lapsed.
const RETENTION: Duration = Duration::from_secs(600);
/// Bounds the memory for statements without a registration.
const MAX_UNLISTED: usize = 4096;

/// What one start of an endpoint has said.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Statement {
    /// That it is leaving.
    pub(super) departure: Option<Departure>,
    /// That it wants no requests for some time.
    pub(super) backoff: Option<Backoff>,
    /// Something that cannot be read.
    is_invalid: bool,
}

impl Statement {
    fn is_empty(&self) -> bool {
        self.departure.is_none() && self.backoff.is_none()
    }
}

/// What an endpoint that is not registered has said.
#[derive(Debug, Clone)]
pub(super) struct Unlisted {
    pub(super) id: id::Endpoint,
    pub(super) born: Millis,
    /// Since when it is not registered, as far as this instance knows.
    pub(super) at: Time,
    pub(super) said: Statement,
}

/// Requests that went elsewhere, by what the endpoints had said.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Avoided {
    /// That they are leaving, while their registrations do not say so.
    pub leaving: u64,
    /// That they want no requests.
    pub backoff: u64,
}

impl Roster {
    /// The state of an endpoint that registers, with what it has said before.
    pub(super) fn listed(&mut self, now: Time, entry: Entry) -> Node {
        let said = match self.unlisted_index(&entry.id) {
            Ok(index) if self.unlisted[index].born == entry.born => {
                self.unlisted.remove(index).said
            }
            Ok(_) | Err(_) => Statement::default(),
        };
        if said.departure.is_some() {
            self.record_announced(&entry.id);
        }
        let mut node = Node::new(entry, self.listings.advance(), now);
        node.said = said;
        node
    }

    /// Keeps what an endpoint has said whose registration is gone.
    pub(super) fn keep_statement(&mut self, now: Time, node: &Node) {
        if node.said.is_empty() {
            return;
        }
        if let Some(said) = self.unlisted_mut(now, &node.entry.id, node.entry.born) {
            *said = node.said;
        }
    }

    /// What an endpoint that is not registered has said.
    pub(super) fn unlisted_statement(&self, id: &id::Endpoint) -> Statement {
        let index = self.unlisted_index(id);
        index.map_or_else(|_| Statement::default(), |index| self.unlisted[index].said)
    }

    /// What one start of an endpoint has said; none if a later one is known.
    pub(super) fn statement_mut(
        &mut self,
        now: Time,
        id: &id::Endpoint,
        born: Millis,
    ) -> Option<&mut Statement> {
        match self.index(id) {
            Ok(index) if self.nodes[index].entry.born == born => Some(&mut self.nodes[index].said),
            Ok(index) if self.nodes[index].entry.born > born => None,
            Ok(_) | Err(_) => self.unlisted_mut(now, id, born),
        }
    }

    fn unlisted_mut(
        &mut self,
        now: Time,
        id: &id::Endpoint,
        born: Millis,
    ) -> Option<&mut Statement> {
        let fresh = Unlisted {
            id: id.clone(),
            born,
            at: now,
            said: Statement::default(),
        };
        let index = match self.unlisted_index(id) {
            Ok(index) if self.unlisted[index].born > born => return None,
            Ok(index) => {
                if self.unlisted[index].born < born {
                    self.unlisted[index] = fresh;
                }
                index
            }
            Err(_) => {
                self.evict_unlisted(now);
                let index = self.unlisted_index(id).unwrap_or_else(|index| index);
                self.unlisted.insert(index, fresh);
                index
            }
        };
        Some(&mut self.unlisted[index].said)
    }

    /// Makes room for another statement.
    fn evict_unlisted(&mut self, now: Time) {
        self.unlisted.retain(|gone| now.since(gone.at) < RETENTION);
        if self.unlisted.len() >= MAX_UNLISTED {
            let oldest = self.unlisted.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, gone)| gone.at);
            if let Some((index, _)) = oldest {
                self.unlisted.remove(index);
            }
        }
    }

    fn unlisted_index(&self, id: &id::Endpoint) -> Result<usize, usize> {
        self.unlisted.binary_search_by(|gone| gone.id.cmp(id))
    }

    /// Records that an answer to a run says something that cannot be read. Returns whether it is the
    /// first of its endpoint.
    pub fn record_invalid_statement(&mut self, now: Time, run: &Run) -> bool {
        let said = self.statement_mut(now, &run.endpoint, run.born);
        said.is_some_and(|said| !std::mem::replace(&mut said.is_invalid, true))
    }

    /// What was avoided since the last call.
    pub fn take_avoided(&mut self) -> Avoided {
        std::mem::take(&mut self.avoided)
    }

    /// Counts the endpoints that a request is not sent to because of what they said.
    pub(super) fn record_avoided(&mut self, now: Time, query: &Query<'_>) {
        let service = query.service;
        for node in self.nodes.iter_mut().filter(|node| !node.said.is_empty()) {
            let entry = &node.entry;
            if entry.service != *service || entry.leaving {
                continue;
            }
            if let Some(departure) = &mut node.said.departure {
                departure.record_avoided();
                self.avoided.leaving += 1;
            } else if let Some(backoff) = &mut node.said.backoff
                && !backoff.allows(now)
            {
                backoff.record_avoided();
                self.avoided.backoff += 1;
            }
        }
    }
}
