//! Endpoints that say in their answers that they are leaving.
//!
//! Such a word has no position in the store's history, and no registration takes it back: it holds
//! for one start of the endpoint, until that is gone. It goes beside the departures that are known by
//! the store, which may be out of reach or behind.

use std::time::Duration;

use crate::batch;
use crate::clock::Time;
use crate::forward::gossip::Count;
use crate::forward::node::Node;
use crate::forward::roster::{Event, Roster, Run};
use crate::id;
use crate::size::Millis;

/// How long a departure that an instance heard itself is reported before others.
const OWN_PERIOD: Duration = Duration::from_millis(1_500);
/// How long a departure is reported after its registration lapsed.
const UNLISTED_PERIOD: Duration = Duration::from_secs(30);

/// What an answer says of whether its endpoint is leaving.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Notice {
    /// Nothing.
    #[default]
    None,
    /// It is leaving.
    Leaving,
    /// This text, which has no meaning.
    Invalid(String),
}

/// When an endpoint said that it is leaving.
#[derive(Debug, Clone, Copy)]
pub(super) struct Departure {
    /// To any instance for the first time, as far as is known.
    since: Time,
    /// When this instance heard it in an answer, or from an instance that reports to few others.
    heard: Option<Time>,
    /// Requests that went elsewhere although the registration does not say so yet.
    avoided: u64,
}

impl Departure {
    pub(super) fn record_avoided(&mut self) {
        self.avoided += 1;
    }
}

/// How long a departure was known before the registration said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lead {
    /// Since the first answer that said so.
    pub age: Duration,
    /// Requests that went elsewhere since.
    pub avoided: u64,
}

impl Node {
    /// Whether the endpoint is leaving, as its registration or its own answers say.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.said.departure.is_some()
    }

    /// Whether it is leaving as its own answers alone say, and they have for less than `limit`.
    pub(super) fn may_still_serve(&self, now: Time, limit: Duration) -> bool {
        let departure = self.said.departure.as_ref();
        !self.entry.leaving && departure.is_some_and(|departure| now.since(departure.since) < limit)
    }

    /// How long its own answers have said that it is leaving, if they have.
    #[must_use]
    pub fn departure_lead(&self, now: Time) -> Option<Lead> {
        self.said.departure.map(|departure| Lead {
            age: now.since(departure.since),
            avoided: departure.avoided,
        })
    }
}

impl Roster {
    /// Whether a request that was meant for an endpoint must not be sent to it any more: it wants none,
    /// or has said for `limit` that it is leaving.
    #[must_use]
    pub fn is_withheld(&self, now: Time, id: &id::Endpoint, limit: Duration) -> bool {
        let (said, may_still_serve) = match self.node(id) {
            Some(node) => (node.said, node.may_still_serve(now, limit)),
            None => (self.unlisted_statement(id), false),
        };
        let is_backed_off = said.backoff.is_some_and(|backoff| backoff.withholds(now));
        is_backed_off || (said.departure.is_some() && !may_still_serve)
    }

    /// Records that an answer to a run says that its endpoint is leaving.
    pub fn record_departure(&mut self, now: Time, run: &Run) -> Option<Event> {
        let (id, born) = (run.endpoint.clone(), run.born);
        self.add_departure(now, now, &id, born, true)
    }

    /// Merges the departures that another instance reports, with the time since the first answer.
    /// `relayed` if it reports to few others.
    pub fn merge_departures(
        &mut self,
        now: Time,
        reports: &[Count<Millis>],
        relayed: bool,
    ) -> Vec<Event> {
        let reports = reports.iter();
        let events = reports.filter_map(|report| {
            let since = now - report.value.duration();
            self.add_departure(now, since, &report.id, report.born, relayed)
        });
        events.collect()
    }

    fn add_departure(
        &mut self,
        now: Time,
        since: Time,
        id: &id::Endpoint,
        born: Millis,
        own: bool,
    ) -> Option<Event> {
        let was_leaving = self.node(id).is_none_or(Node::is_leaving);
        let said = self.statement_mut(now, id, born)?;
        if let Some(departure) = &mut said.departure {
            departure.since = departure.since.min(since);
            return None;
        }
        said.departure = Some(Departure {
            since,
            heard: own.then_some(now),
            avoided: 0,
        });
        if self.index(id).is_ok() {
            self.record_announced(id);
        }
        (!was_leaving).then(|| Event::Leaving(id.clone()))
    }

    /// At most `max` departures, for one of a series of messages: those first that this instance
    /// heard itself. Over the rounds, all are included.
    #[must_use]
    pub fn departure_reports(&self, now: Time, max: usize, round: usize) -> Vec<Count<Millis>> {
        let listed = self.nodes.iter().filter_map(|node| {
            let departure = node.said.departure?;
            Some((departure, &node.entry.id, node.entry.born))
        });
        let unlisted = self.unlisted.iter().filter_map(|gone| {
            let departure = gone.said.departure?;
            let recent = now.since(gone.at) < UNLISTED_PERIOD;
            recent.then_some((departure, &gone.id, gone.born))
        });
        let all = listed.chain(unlisted).map(|(departure, id, born)| {
            let count = Count {
                id: id.clone(),
                born,
                value: Millis::from(now.since(departure.since)),
            };
            let heard = departure.heard;
            let is_own = heard.is_some_and(|heard| now.since(heard) < OWN_PERIOD);
            (is_own, count)
        });
        let (own, others): (Vec<_>, Vec<_>) = all.partition(|(is_own, _)| *is_own);
        let own = batch::select(&own, max - max / 4, round);
        let others = batch::select(&others, max - own.len(), round);
        let all = own.into_iter().chain(others);
        all.map(|(_, count)| count).collect()
    }
}
