//! Who reads the endpoints' registrations at the store, and who hears of them from a reader.
//!
//! Each endpoint writes its registration about once a second, and each write goes to all that
//! watch. In a fleet of hundreds that is more than the store's link and small machines' links
//! carry, for changes that are nearly all none. So a few instances of each failure domain
//! read, those with the widest links, and pass what changed on to the others of their domain.
//!
//! What a follower knows is as old as the reader's knowledge, the pause between two questions
//! and the wait for answers together. [`Budget`] splits the time in which a leaving endpoint
//! must get no more work among these. A follower whose reader fails it asks the next one, and
//! after two of them reads for itself for a while.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;
use crate::id;
use crate::size::Megabits;

/// Instances of a failure domain that read for it: any two may be lost or slow at once.
pub const READERS_PER_DOMAIN: usize = 3;
/// Most members of a fleet in which each instance reads for itself.
pub const MAX_DIRECT_MEMBERS: usize = 48;
/// Time for which an instance whose readers failed reads for itself.
const DIRECT_PERIOD: Duration = Duration::from_secs(3);
/// Readers asked in a row before an instance reads for itself: small machines' links do not
/// carry the writes of thousands of endpoints.
const MAX_FAILED_READERS: usize = 2;

/// How the time in which a leaving endpoint must get no more work is spent on the way of the
/// news. The last tenth is for a reading at the store after [`MAX_FAILED_READERS`] readers failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Oldest that a reader's knowledge may be when its answer is there.
    pub oldest: Duration,
    /// Pause between two questions to a reader.
    pub pause: Duration,
    /// Time for a reader's whole answer.
    pub answer: Duration,
}

impl Budget {
    /// The shares of `drain`.
    #[must_use]
    pub fn of(drain: Duration) -> Self {
        Self {
            oldest: drain.mul_f64(0.4),
            pause: drain.mul_f64(0.15),
            answer: drain.mul_f64(0.175),
        }
    }
}

/// An instance that may read for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a id::Instance,
    /// Its link, zero where it is not known.
    pub link: Megabits,
}

impl Candidate<'_> {
    /// Those that come first read: the widest links, by name among equals.
    fn order(&self) -> (Reverse<Megabits>, &id::Instance) {
        (Reverse(self.link), self.name)
    }
}

/// Where an instance has registrations from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From this instance.
    Reader(id::Instance),
}

/// What one instance remembers of its readers.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Until then it reads for itself.
    hold: Option<Time>,
    /// Readers that failed so far; the next one is asked for each.
    failed: usize,
    /// Readers that failed since one answered, or since it read for itself.
    in_a_row: usize,
}

impl Reading {
    /// Where this instance has registrations from, of so many members. `near` are the others of
    /// its failure domain that are heard and ready; `alone` is [`MAX_DIRECT_MEMBERS`] unless it is set.
    #[must_use]
    pub fn source(
        &self,
        now: Time,
        me: Candidate<'_>,
        near: &[Candidate<'_>],
        members: usize,
        alone: usize,
    ) -> Source {
        if members <= alone || self.hold.is_some_and(|until| now < until) {
            return Source::Store;
        }
        let mut near: Vec<&Candidate<'_>> = near.iter().collect();
        near.sort_unstable_by_key(|candidate| candidate.order());
        if near.partition_point(|candidate| candidate.order() < me.order()) < READERS_PER_DOMAIN {
            return Source::Store;
        }
        // Followers share the readers evenly, and each knows its own without asking.
        let first = xxh3_64(me.name.as_str().as_bytes()) as usize;
        let place = first.wrapping_add(self.failed) % READERS_PER_DOMAIN;
        Source::Reader(near[place].name.clone())
    }

    /// The reader told what it knows.
    pub fn answered(&mut self) {
        self.in_a_row = 0;
    }

    /// The reader gave no answer in time, or said itself that its news are old.
    pub fn failed(&mut self, now: Time) {
        self.failed = self.failed.wrapping_add(1);
        self.in_a_row += 1;
        if self.in_a_row >= MAX_FAILED_READERS {
            self.in_a_row = 0;
            self.hold = Some(now + DIRECT_PERIOD);
        }
    }
}
