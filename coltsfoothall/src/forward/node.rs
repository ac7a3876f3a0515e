//! An endpoint and its estimated state.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::brittle::Bound;
use crate::forward::gossip::Count;
use crate::forward::history::Position;
use crate::forward::limit;
use crate::forward::statement::Statement;
use crate::id;
use crate::size::Millis;

/// Bounds the memory for prompt parts of one endpoint, at 24 bytes each.
pub(super) const MAX_CACHED_PARTS: usize = 1024;
/// Weight of the newest answer time in the moving average of slowness.
pub(super) const SLOWNESS_WEIGHT: f64 = 0.15;
/// Weights of a failure and of a complete answer in the moving estimate of an endpoint's failure
/// rate. An endpoint that fails 45 % of its requests is kept above 0.5, one that fails 2 % below
/// 0.1.
pub(super) const FAILURE_WEIGHT: f64 = 0.35;
pub(super) const SUCCESS_WEIGHT: f64 = 0.1;
/// Half-life, in seconds, of the failure rate, so that an endpoint that gets no requests is tried
/// again.
pub(super) const FAILURE_HALF_LIFE_SECONDS: f64 = 4.0;
/// Bounds the failures that one heartbeat adds: many failures at once at another instance are no
/// stronger evidence than a few.
pub(super) const MAX_FAILURES_PER_HEARTBEAT: u32 = 3;
/// Bounds of the slowness factor, so that a single outlier excludes no endpoint.
pub(super) const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 12.0);

/// An endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name; it may restart under the same one.
    pub id: id::Endpoint,
    /// When it started, in milliseconds since 1970; 0 if it does not report that. A restart under
    /// the same name keeps no requests and no cache of the process before.
    pub born: Millis,
    /// Its service.
    pub service: id::Service,
    /// The version that it runs, if it reports one.
    pub version: Option<id::Version>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining.
    pub leaving: bool,
    /// Time until it is reclaimed, as of the registration, if it reports that.
    pub leaves: Option<Duration>,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// Position at which the registration was written.
    pub position: Position,
}

/// Work open at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Open requests.
    pub open: u32,
    /// Prompt tokens that are not yet known to be prefilled.
    pub unread: u64,
    /// Token pairs in the attention of these prefills, as differences of squares.
    pub pairs: u64,
    /// Upper bound of the tokens of memory that the open requests will take.
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

/// A prompt prefix that was sent to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cached {
    pub(super) chain: u64,
    pub(super) at: Time,
}

/// A run that waits for its first event.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) number: u64,
    pub(super) began: Time,
    pub(super) expected: Duration,
}

/// Number of one listing of an endpoint. Each restart, and each return to the list, gets a new
/// one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Listing(u64);

impl Listing {
    /// Advances to the next number and returns it.
    pub(super) fn advance(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

/// An endpoint and its estimated state.
#[derive(Debug, Clone)]
pub struct Node {
    /// Its registration.
    pub entry: Entry,
    /// When it is reclaimed, if that is known.
    pub until: Option<Time>,
    pub(super) listing: Listing,
    /// When this instance first knew of it.
    pub(super) listed_at: Time,
    /// Load from this instance.
    pub(super) own: Load,
    /// Load reported by the other instances.
    pub(super) others: Load,
    /// Prefixes assumed to be in its cache, sorted by chain.
    pub(super) cached: Vec<Cached>,
    /// Runs without a first event.
    pub(super) waiting: Vec<Waiting>,
    /// Failure rate as of `failures_updated`.
    pub(super) failures: f64,
    pub(super) failures_updated: Time,
    /// Failures seen by this instance since it started.
    pub(super) failed: u32,
    /// Interrupted runs that are no failures of the endpoint unless it turns out to be in reach.
    pub(super) unconfirmed: u32,
    /// Failures reported by other instances, by boot number.
    pub(super) others_failed: Vec<(u64, u32)>,
    /// Moving average of the time to a first event, relative to the expected time.
    pub(super) slowness: f64,
    /// When a connection to it could not be opened, if none was opened since.
    pub(super) lost_at: Option<Time>,
    /// When this instance last began to open a connection only to learn whether it can.
    pub(super) probed_at: Time,
    /// When it last sent the first part of an answer.
    pub(super) answered_at: Time,
    pub(super) avoided_until: Time,
    pub(super) full_until: Time,
    /// The limit that it names, or that has ended not long ago.
    pub(super) limit: Option<limit::Limit>,
    /// The rejections that it stands, if it is brittle or was not long ago.
    pub(super) brittle: Option<Bound>,
    /// Whether its last answer named a limit that cannot be read.
    pub(super) limit_invalid: bool,
    /// What it says of itself in its answers.
    pub(super) said: Statement,
}

impl Node {
    pub(super) fn new(entry: Entry, listing: Listing, now: Time) -> Self {
        Self {
            until: entry.leaves.map(|leaves| now + leaves),
            entry,
            listing,
            listed_at: now,
            own: Load::default(),
            others: Load::default(),
            cached: Vec::new(),
            waiting: Vec::new(),
            failures: 0.0,
            failures_updated: now,
            failed: 0,
            unconfirmed: 0,
            others_failed: Vec::new(),
            slowness: 1.0,
            lost_at: None,
            probed_at: Time::START,
            answered_at: now,
            avoided_until: Time::START,
            full_until: Time::START,
            limit: None,
            brittle: None,
            limit_invalid: false,
            said: Statement::default(),
        }
    }

    /// Whether the endpoint is taken away at a known time, whatever it does then.
    #[must_use]
    pub fn is_reclaimed(&self) -> bool {
        self.until.is_some()
    }

    /// A count for this endpoint, labeled with its start.
    pub(super) fn count<T>(&self, value: T) -> Count<T> {
        Count {
            id: self.entry.id.clone(),
            born: self.entry.born,
            value,
        }
    }

    /// The registration of this endpoint after a restart.
    pub(super) fn restarted(&self, born: Millis) -> Entry {
        Entry {
            born,
            leaving: false,
            leaves: None,
            ..self.entry.clone()
        }
    }

    /// Open work of this instance and the others.
    #[must_use]
    pub fn load(&self) -> Load {
        self.own.plus(self.others)
    }

    pub(super) fn has_cached(&self, chain: u64, oldest: Time) -> bool {
        let found = self.cached.binary_search_by_key(&chain, |part| part.chain);
        found.is_ok_and(|index| self.cached[index].at >= oldest)
    }

    pub(super) fn record_cached(&mut self, chain: u64, now: Time) {
        match self.cached.binary_search_by_key(&chain, |part| part.chain) {
            Ok(index) => self.cached[index].at = now,
            Err(index) => self.cached.insert(index, Cached { chain, at: now }),
        }
        if self.cached.len() > MAX_CACHED_PARTS {
            let mut times: Vec<Time> = self.cached.iter().map(|part| part.at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.cached.retain(|part| part.at > median);
        }
    }

    /// Estimated share of its requests that it fails, from 0 to 1.
    pub(super) fn failure_rate(&self, now: Time) -> f64 {
        let age = now.since(self.failures_updated).as_secs_f64();
        self.failures * (-age / FAILURE_HALF_LIFE_SECONDS).exp2()
    }

    pub(super) fn record_failure(&mut self, now: Time) {
        let before = self.failure_rate(now);
        self.failures = before + FAILURE_WEIGHT * (1.0 - before);
        self.failures_updated = now;
    }

    /// Longest time that a run has waited for its first event beyond twice the expected time.
    pub(super) fn silence(&self, now: Time) -> Duration {
        let overdue = self
            .waiting
            .iter()
            .map(|run| now.since(run.began).saturating_sub(run.expected * 2));
        overdue.max().unwrap_or_default()
    }
}
