//! Backoff of the kinds of instance whose starts are refused.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Time;
use crate::fleet::Kind;

/// Longest backoff, as a power of two of the first.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone)]
struct Row {
    kind: Kind,
    refusals: u32,
    until: Time,
}

/// The kinds that were refused, sorted.
#[derive(Debug)]
pub struct Table {
    first: Duration,
    rows: Vec<Row>,
    rng: Pcg64Mcg,
}

impl Table {
    /// An empty table; `first` is the first backoff and `seed` that of the jitter.
    #[must_use]
    pub fn new(first: Duration, seed: u64) -> Self {
        Self {
            first,
            rows: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn find(&self, kind: &Kind) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.kind.cmp(kind))
    }

    /// Backs a kind off; refusals of starts that were asked before the backoff count once.
    pub fn refuse(&mut self, now: Time, kind: Kind) {
        let at = self.find(&kind).unwrap_or_else(|at| {
            let row = Row {
                kind,
                refusals: 0,
                until: Time::START,
            };
            self.rows.insert(at, row);
            at
        });
        let row = &mut self.rows[at];
        if row.refusals == 0 || row.until <= now {
            let span = self.first * 2_u32.pow(row.refusals.min(MAX_DOUBLINGS));
            row.refusals += 1;
            row.until = now + span.mul_f64(self.rng.random_range(0.75..1.25));
        }
    }

    /// Forgets a kind's refusals, since it was had.
    pub fn clear(&mut self, kind: &Kind) {
        if let Ok(at) = self.find(kind) {
            self.rows.remove(at);
        }
    }

    /// Whether a kind must wait.
    #[must_use]
    pub fn waits(&self, now: Time, kind: &Kind) -> bool {
        self.find(kind).is_ok_and(|at| now < self.rows[at].until)
    }

    /// Whether a kind was refused since it was last had.
    #[must_use]
    pub fn is_suspect(&self, kind: &Kind) -> bool {
        self.find(kind).is_ok()
    }

    /// Kinds that must wait.
    pub fn waiting(&self, now: Time) -> impl Iterator<Item = &Kind> {
        let waits = move |row: &&Row| now < row.until;
        self.rows.iter().filter(waits).map(|row| &row.kind)
    }
}
