//! One endpoint and what is believed of it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::gossip::Count;
use crate::forward::history::Position;
use crate::id;
use crate::size::Millis;

/// Most prompt parts remembered for one endpoint; it bounds memory, at 24 bytes each.
pub(super) const PARTS: usize = 1024;
/// Weight of the newest answer time in the running mean of slowness.
pub(super) const NEWEST: f64 = 0.15;
/// Weight of a failure, and of a whole answer, in what is believed of an endpoint's soundness.
/// A failing part of 0.45 keeps it above a half, one of 0.02 below a tenth.
pub(super) const FAILURE: f64 = 0.35;
pub(super) const SUCCESS: f64 = 0.1;
/// In such a time a failure counts half, so that an endpoint that nobody asks is tried again.
pub(super) const HALF: f64 = 4.0;
/// Most failures that one heartbeat adds; a burst at another instance is no more certain.
pub(super) const TOLD: u32 = 3;
/// Slowness is believed between these factors, so that one odd answer excludes nobody.
pub(super) const SLOWNESS: (f64, f64) = (0.7, 12.0);

/// An endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name; it may start again under the same one.
    pub id: id::Endpoint,
    /// When it started, in milliseconds since 1970; 0 where it does not say. A later start
    /// under the same name holds and knows nothing of the one before.
    pub born: Millis,
    /// Its service.
    pub service: id::Service,
    /// The version that it runs, if it says so.
    pub version: Option<id::Version>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time left until it is taken away, as of the registration, if it said so.
    pub leaves: Option<Duration>,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// When the registration was written.
    pub position: Position,
}

/// Work open at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub open: u32,
    /// Tokens of prompts not yet known to be read.
    pub unread: u64,
    /// Pairs of each of these tokens with those before it in its prompt, counted as squares.
    pub pairs: u64,
    /// Tokens of memory that the open requests will take at most.
    pub memory: u64,
}

impl Load {
    pub(super) fn plus(self, rest: Self) -> Self {
        Self {
            open: self.open.saturating_add(rest.open),
            unread: self.unread.saturating_add(rest.unread),
            pairs: self.pairs.saturating_add(rest.pairs),
            memory: self.memory.saturating_add(rest.memory),
        }
    }

    pub(super) fn minus(self, rest: Self) -> Self {
        Self {
            open: self.open.saturating_sub(rest.open),
            unread: self.unread.saturating_sub(rest.unread),
            pairs: self.pairs.saturating_sub(rest.pairs),
            memory: self.memory.saturating_sub(rest.memory),
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    pub(super) chain: u64,
    pub(super) at: Time,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Open {
    pub(super) number: u64,
    pub(super) began: Time,
    pub(super) expected: Duration,
}

/// Number of an endpoint's place on the list, new at each start and each return.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Listing(u64);

impl Listing {
    /// The next one, which becomes this.
    pub(super) fn advance(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

/// An endpoint and what is believed of it.
#[derive(Debug, Clone)]
pub struct Node {
    /// Its registration.
    pub entry: Entry,
    /// When it is taken away, if that is known.
    pub until: Option<Time>,
    pub(super) listing: Listing,
    pub(super) own: Load,
    pub(super) others: Load,
    /// Sorted by chain.
    pub(super) seen: Vec<Seen>,
    /// Runs without a first answer.
    pub(super) waiting: Vec<Open>,
    pub(super) failures: f64,
    pub(super) failures_at: Time,
    /// Failures seen here since the boot.
    pub(super) failed: u32,
    /// Failures that others told of, by boot.
    pub(super) others_failed: Vec<(u64, u32)>,
    pub(super) slowness: f64,
    pub(super) avoided: Time,
    pub(super) full: Time,
}

impl Node {
    pub(super) fn new(entry: Entry, listing: Listing, now: Time) -> Self {
        Self {
            until: entry.leaves.map(|leaves| now + leaves),
            entry,
            listing,
            own: Load::default(),
            others: Load::default(),
            seen: Vec::new(),
            waiting: Vec::new(),
            failures: 0.0,
            failures_at: now,
            failed: 0,
            others_failed: Vec::new(),
            slowness: 1.0,
            avoided: Time::START,
            full: Time::START,
        }
    }

    /// Something counted at this endpoint.
    pub(super) fn count<T>(&self, value: T) -> Count<T> {
        Count {
            id: self.entry.id.clone(),
            born: self.entry.born,
            value,
        }
    }

    /// What is believed of an endpoint that started again: nothing.
    pub(super) fn reborn(&self, born: Millis, listing: Listing, now: Time) -> Self {
        let entry = Entry {
            born,
            leaving: false,
            leaves: None,
            ..self.entry.clone()
        };
        Self::new(entry, listing, now)
    }

    /// Work open here and at the other instances.
    #[must_use]
    pub fn load(&self) -> Load {
        self.own.plus(self.others)
    }

    pub(super) fn knows(&self, chain: u64, oldest: Time) -> bool {
        let found = self.seen.binary_search_by_key(&chain, |seen| seen.chain);
        found.is_ok_and(|place| self.seen[place].at >= oldest)
    }

    pub(super) fn remember(&mut self, chain: u64, now: Time) {
        match self.seen.binary_search_by_key(&chain, |seen| seen.chain) {
            Ok(place) => self.seen[place].at = now,
            Err(place) => self.seen.insert(place, Seen { chain, at: now }),
        }
        if self.seen.len() > PARTS {
            let mut ages: Vec<Time> = self.seen.iter().map(|seen| seen.at).collect();
            ages.sort_unstable();
            let middle = ages[ages.len() / 2];
            self.seen.retain(|seen| seen.at > middle);
        }
    }

    /// How much of what it is asked it is believed to fail.
    pub(super) fn unsound(&self, now: Time) -> f64 {
        let age = now.since(self.failures_at).as_secs_f64();
        self.failures * (-age / HALF).exp2()
    }

    pub(super) fn note_failure(&mut self, now: Time) {
        let before = self.unsound(now);
        self.failures = before + FAILURE * (1.0 - before);
        self.failures_at = now;
    }

    pub(super) fn silence(&self, now: Time) -> Duration {
        let beyond = self
            .waiting
            .iter()
            .map(|open| now.since(open.began).saturating_sub(open.expected * 2));
        beyond.max().unwrap_or_default()
    }
}
