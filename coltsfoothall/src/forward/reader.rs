//! Who reads the endpoints' registrations at the store, and who hears of them from a reader.
//!
//! Each endpoint writes its registration about once a second, and each write goes to all that
//! watch. In a fleet of hundreds that is more than the store's link and small machines' links
//! carry, for changes that are nearly all none. So a few instances of each failure domain
//! read, and pass what changed on to the others of their domain. An instance whose reader
//! fails it reads for itself at once, and asks another one later.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;
use crate::id;

/// Instances of a failure domain that read for it: any two may be lost or slow at once.
pub const READERS: usize = 3;
/// Most members of a fleet in which each instance reads for itself.
pub const ALONE: usize = 48;
/// Time for which an instance whose reader failed reads for itself.
const HOLD: Duration = Duration::from_secs(3);

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
}

impl Reading {
    /// Where this instance has registrations from, of so many members. `near` are the others of
    /// its failure domain that are heard and ready; `alone` is [`ALONE`] unless it is set.
    #[must_use]
    pub fn source(
        &self,
        now: Time,
        me: &id::Instance,
        near: &[&id::Instance],
        members: usize,
        alone: usize,
    ) -> Source {
        if members <= alone || self.hold.is_some_and(|until| now < until) {
            return Source::Store;
        }
        let mut near: Vec<&id::Instance> = near.to_vec();
        near.sort_unstable();
        if near.partition_point(|name| *name < me) < READERS {
            return Source::Store;
        }
        // Followers share the readers evenly, and each knows its own without asking.
        let first = xxh3_64(me.as_str().as_bytes()) as usize;
        let place = first.wrapping_add(self.failed) % READERS;
        Source::Reader(near[place].clone())
    }

    /// The reader gave no answer in time, or said itself that its news are old.
    pub fn failed(&mut self, now: Time) {
        self.failed = self.failed.wrapping_add(1);
        self.hold = Some(now + HOLD);
    }
}
