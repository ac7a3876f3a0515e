//! Leader election by a leased key at the store.
//!
//! The fence is derived from the position at which the key was created. It grows with each
//! leader and accompanies every action, so that the actions of a former leader are refused. A
//! leader acts only while its lease certainly runs, and stops if the store is restored from an
//! older backup, which may hold neither the key nor the lease.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::history::{Era, Fence, Lease, Position};

/// A lease that this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    lease: Lease,
    /// Position at which the key was created.
    created: Position,
    /// Earliest time at which the lease may expire.
    expires: Time,
}

/// Next step of the election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Try to become the leader.
    Claim,
    /// Renew this lease.
    Renew(Lease),
    /// Release this lease.
    Release(Lease),
    /// Do nothing.
    Wait,
}

/// Election state of this instance.
#[derive(Debug, Clone)]
pub struct Leader {
    term: Duration,
    held: Option<Held>,
    /// Whether the key exists at the store, whoever holds it.
    taken: bool,
    /// Time since which the key is known to be absent.
    free_since: Time,
    stopping: bool,
}

impl Leader {
    /// Creates the state of an instance that is not the leader; leases run for `term`.
    #[must_use]
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            held: None,
            // Until the store has been read, another instance may hold the key.
            taken: true,
            free_since: Time::START,
            stopping: false,
        }
    }

    /// Records that the key exists at the store and was created at `created`.
    pub fn taken(&mut self, created: Position) {
        self.taken = true;
        // A key of another leader means that this instance's key is gone.
        if self.held.is_some_and(|held| held.created != created) {
            self.held = None;
        }
    }

    /// Records that the key is absent from the store.
    pub fn freed(&mut self, now: Time) {
        self.taken = false;
        self.free_since = now;
        self.held = None;
    }

    /// Records that a claim succeeded; the lease was requested at `requested_at`.
    pub fn claimed(&mut self, requested_at: Time, lease: Lease, created: Position) {
        self.taken = true;
        self.held = Some(Held {
            lease,
            created,
            expires: requested_at + self.term,
        });
    }

    /// Records that a renewal requested at `requested_at` succeeded.
    pub fn renewed(&mut self, requested_at: Time, lease: Lease) {
        if let Some(held) = &mut self.held
            && held.lease == lease
        {
            held.expires = requested_at + self.term;
        }
    }

    /// Records that the lease has expired, or that an action was refused in favor of a newer
    /// leader.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Records that the store was restored from a backup, which began `era`. A lease of an earlier
    /// era may be lost, so its holder stops acting until it has claimed the key again.
    pub fn record_era(&mut self, era: Era) {
        if self.held.is_some_and(|held| held.lease.era < era) {
            self.held = None;
        }
    }

    /// Makes this instance release its lease and claim no other, because it stops.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// The fence under which this instance may act now, if it is the leader.
    #[must_use]
    pub fn fence(&self, now: Time) -> Option<Fence> {
        let held = self.held?;
        // A quarter of the term is reserved for the delivery of an action and for clock skew.
        (now + self.term / 4 < held.expires).then_some(Fence::from(held.created))
    }

    /// Whether this instance leads, or may still do so.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.held.is_some()
    }

    /// Next step of the instance with `rank` ready instances before it by name.
    #[must_use]
    pub fn step(&self, now: Time, rank: usize) -> Step {
        match self.held {
            Some(held) if self.stopping => Step::Release(held.lease),
            Some(held) if now >= held.expires => Step::Claim,
            Some(held) => Step::Renew(held.lease),
            None if self.stopping || self.taken => Step::Wait,
            // Claims are staggered so that an election costs one write, not one per instance.
            None if now.since(self.free_since) < self.claim_delay(rank) => Step::Wait,
            None => Step::Claim,
        }
    }

    fn claim_delay(&self, rank: usize) -> Duration {
        self.term / 8 * u32::try_from(rank.min(24)).unwrap_or(24)
    }
}
