//! Selection of the instances that read the endpoints' registrations at the store (readers) and
//! of the reader that each other instance (follower) gets them from.
//!
//! Each endpoint writes its registration about once a second, and each write goes to all watches.
//! In a fleet of hundreds that exceeds the capacity of the store's link and of small machines'
//! links, although hardly any write changes anything. Therefore a few instances of each failure
//! domain, those with the widest links, read the store and pass changes on to the others of their
//! domain.
//!
//! The age of a follower's knowledge is the sum of the age of the reader's knowledge, the polling
//! interval and the time of the answer. [`Budget`] divides the time within which a draining
//! endpoint must stop getting work among these. A follower whose reader fails asks the next one,
//! and after two failures it reads the store directly for a while.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;
use crate::id;
use crate::size::Megabits;

/// Readers of each failure domain: any two of them may be lost or slow at once.
pub const READERS_PER_DOMAIN: usize = 3;
/// Largest fleet in which every instance reads the store directly.
pub const MAX_DIRECT_MEMBERS: usize = 48;
/// How long an instance whose readers failed reads the store directly.
const DIRECT_PERIOD: Duration = Duration::from_secs(3);
/// Readers that may fail in a row before an instance reads the store directly. More than one is
/// tried because small machines' links cannot carry the writes of thousands of endpoints.
pub const MAX_FAILED_READERS: usize = 2;

/// Division of the time within which a draining endpoint must stop getting work. The last tenth
/// is for a read at the store after [`MAX_FAILED_READERS`] readers failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Largest age of a reader's knowledge when its answer arrives.
    pub max_age: Duration,
    /// Delay between two requests to a reader.
    pub poll_interval: Duration,
    /// Time limit of a reader's complete answer.
    pub answer_timeout: Duration,
}

impl Budget {
    /// Divides `drain`.
    #[must_use]
    pub fn of(drain: Duration) -> Self {
        Self {
            max_age: drain.mul_f64(0.4),
            poll_interval: drain.mul_f64(0.15),
            answer_timeout: drain.mul_f64(0.175),
        }
    }
}

/// An instance that may be a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a id::Instance,
    /// Capacity of its link; zero if unknown.
    pub link: Megabits,
}

impl Candidate<'_> {
    /// Sort key of the selection: the widest links come first, equal ones by name.
    fn order(&self) -> (Reverse<Megabits>, &id::Instance) {
        (Reverse(self.link), self.name)
    }
}

/// Source of an instance's registrations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// This reader.
    Reader(id::Instance),
}

/// Failures of the readers that one instance has asked.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// End of the period in which it reads the store directly.
    direct_until: Option<Time>,
    /// Failures so far; each one moves on to the next reader.
    failures: usize,
    /// Failures since the last answer or the last direct period.
    consecutive_failures: usize,
}

impl Reading {
    /// Source of the registrations of the instance `me` in a fleet of `members`. `local` are the
    /// other instances of its failure domain that are alive and ready; `max_direct` is
    /// [`MAX_DIRECT_MEMBERS`] unless it is set.
    #[must_use]
    pub fn source(
        &self,
        now: Time,
        me: Candidate<'_>,
        local: &[Candidate<'_>],
        members: usize,
        max_direct: usize,
    ) -> Source {
        if members <= max_direct || self.direct_until.is_some_and(|until| now < until) {
            return Source::Store;
        }
        let mut local: Vec<&Candidate<'_>> = local.iter().collect();
        local.sort_unstable_by_key(|candidate| candidate.order());
        if local.partition_point(|candidate| candidate.order() < me.order()) < READERS_PER_DOMAIN {
            return Source::Store;
        }
        // A hash of the name spreads the followers evenly over the readers without coordination.
        let first = xxh3_64(me.name.as_str().as_bytes()) as usize;
        let index = first.wrapping_add(self.failures) % READERS_PER_DOMAIN;
        Source::Reader(local[index].name.clone())
    }

    /// Records that the reader answered.
    pub fn record_answer(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records that the reader did not answer in time or reported its knowledge as too old. After
    /// `max` failures in a row, [`MAX_FAILED_READERS`] if there is no reason against it, the store
    /// is read directly for a while.
    pub fn record_failure(&mut self, now: Time, max: usize) {
        self.failures = self.failures.wrapping_add(1);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= max {
            self.consecutive_failures = 0;
            self.direct_until = Some(now + DIRECT_PERIOD);
        }
    }
}
