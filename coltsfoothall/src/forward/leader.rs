//! Who acts for all: the holder of a leased key at the store.
//!
//! The fence made from the key's creation rises with each holder and goes with every act, so
//! that an act of a former holder is refused. A holder acts only while its lease surely runs,
//! and while the store has not come back from an older copy, which may hold neither key nor lease.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::history::{Era, Fence, Lease, Position};

/// A lease that this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    lease: Lease,
    /// When the key was created.
    created: Position,
    /// Until when the lease surely runs.
    until: Time,
}

/// What to do next about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Try to become the holder.
    Claim,
    /// Renew this lease.
    Renew(Lease),
    /// Give this lease up.
    Release(Lease),
    /// Nothing.
    Rest,
}

/// This instance's part in the election.
#[derive(Debug, Clone)]
pub struct Leader {
    term: Duration,
    held: Option<Held>,
    /// Whether the key is known to stand at the store, whoever holds it.
    taken: bool,
    /// Since when it is known to be free.
    free: Time,
    stopping: bool,
}

impl Leader {
    /// An instance that holds nothing; leases run for `term`.
    #[must_use]
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            held: None,
            // Until the store was read, somebody may hold it.
            taken: true,
            free: Time::START,
            stopping: false,
        }
    }

    /// The key stands at the store, and was created then.
    pub fn taken(&mut self, created: Position) {
        self.taken = true;
        // Another holder's key means that ours is gone.
        if self.held.is_some_and(|held| held.created != created) {
            self.held = None;
        }
    }

    /// The key is gone from the store.
    pub fn freed(&mut self, now: Time) {
        self.taken = false;
        self.free = now;
        self.held = None;
    }

    /// A claim succeeded; the lease was asked for at `asked`.
    pub fn claimed(&mut self, asked: Time, lease: Lease, created: Position) {
        self.taken = true;
        self.held = Some(Held {
            lease,
            created,
            until: asked + self.term,
        });
    }

    /// A renewal asked for at `asked` succeeded.
    pub fn renewed(&mut self, asked: Time, lease: Lease) {
        if let Some(held) = &mut self.held
            && held.lease == lease
        {
            held.until = asked + self.term;
        }
    }

    /// The lease has ended, or an act was refused for a newer holder's.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// The store came back from a copy. A lease of an earlier one may have gone with what was
    /// written since; its holder acts no more until it has claimed again.
    pub fn rose(&mut self, era: Era) {
        if self.held.is_some_and(|held| held.lease.era < era) {
            self.held = None;
        }
    }

    /// This instance stops: it gives the lease up and claims no more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// The number under which this instance may act now, if it is the holder.
    #[must_use]
    pub fn fence(&self, now: Time) -> Option<Fence> {
        let held = self.held?;
        // A quarter of the term is left for the act to arrive and for clocks that differ.
        (now + self.term / 4 < held.until).then_some(Fence::from(held.created))
    }

    /// What to do now, for the instance with so many ready ones before it.
    #[must_use]
    pub fn step(&self, now: Time, rank: usize) -> Step {
        match self.held {
            Some(held) if self.stopping => Step::Release(held.lease),
            Some(held) if now >= held.until => Step::Claim,
            Some(held) => Step::Renew(held.lease),
            None if self.stopping || self.taken => Step::Rest,
            // One after the other, so that an election costs one write and not one each.
            None if now.since(self.free) < self.turn(rank) => Step::Rest,
            None => Step::Claim,
        }
    }

    fn turn(&self, rank: usize) -> Duration {
        self.term / 8 * u32::try_from(rank.min(24)).unwrap_or(24)
    }
}
