//! Backoff for kinds of instance whose starts were refused.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Time;
use crate::fleet::Kind;

/// Maximum number of times that the initial backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone)]
struct Entry {
    kind: Kind,
    refusals: u32,
    until: Time,
}

/// The kinds whose starts were refused, sorted by kind.
#[derive(Debug)]
pub struct Table {
    first: Duration,
    entries: Vec<Entry>,
    rng: Pcg64Mcg,
}

impl Table {
    /// Creates an empty table. `first` is the initial backoff, and `seed` seeds the jitter.
    #[must_use]
    pub fn new(first: Duration, seed: u64) -> Self {
        Self {
            first,
            entries: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn find(&self, kind: &Kind) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.kind.cmp(kind))
    }

    /// Records a refused start. Refusals of several starts that were requested before the
    /// backoff began count once.
    pub fn refuse(&mut self, now: Time, kind: Kind) {
        let index = self.find(&kind).unwrap_or_else(|index| {
            let entry = Entry {
                kind,
                refusals: 0,
                until: Time::START,
            };
            self.entries.insert(index, entry);
            index
        });
        let entry = &mut self.entries[index];
        if entry.refusals == 0 || entry.until <= now {
            let delay = self.first * 2_u32.pow(entry.refusals.min(MAX_DOUBLINGS));
            entry.refusals += 1;
            entry.until = now + delay.mul_f64(self.rng.random_range(0.75..1.25));
        }
    }

    /// Clears a kind's refusals after a successful start.
    pub fn clear(&mut self, kind: &Kind) {
        if let Ok(index) = self.find(kind) {
            self.entries.remove(index);
        }
    }

    /// Whether a kind is backing off.
    #[must_use]
    pub fn waits(&self, now: Time, kind: &Kind) -> bool {
        self.find(kind)
            .is_ok_and(|index| now < self.entries[index].until)
    }

    /// Whether a kind has been refused since its last successful start.
    #[must_use]
    pub fn is_suspect(&self, kind: &Kind) -> bool {
        self.find(kind).is_ok()
    }

    /// Kinds that are backing off.
    pub fn waiting(&self, now: Time) -> impl Iterator<Item = &Kind> {
        let waits = move |entry: &&Entry| now < entry.until;
        self.entries.iter().filter(waits).map(|entry| &entry.kind)
    }
}
