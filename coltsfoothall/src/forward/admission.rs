//! Admission of a request to an engine, by the time at which its first event is expected.
//!
//! A request whose first event is expected beyond its target latency is refused at once: it would
//! be late, and would delay others. The time that its own prompt takes at an idle engine is no
//! reason to refuse it, so that large requests are served as well.

use std::time::Duration;

use crate::clock::Time;

/// Share of the service's shortest target latency by which other requests may delay a request. A
/// bound that grew with a request's own target would let the most patient kind fill the engines, so
/// that the others were always late.
const MAX_DELAY: f64 = 0.6;
/// The same share for a request whose own prompt takes most of its target latency.
const MIN_DELAY: f64 = 0.3;
/// Share of the expected wait for a slot that is added to it, as loads of other instances are up to
/// one heartbeat round old.
const SLOT_MARGIN: f64 = 0.5;
/// Share of an engine's queue that a request of the most urgent rank is assumed to find ahead of
/// it. Engines serve their queue in the order of ranks.
const URGENT_QUEUE: f64 = 0.5;

/// Time until which the first event of a request is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Target latency of the request's route.
    pub latency: Duration,
    /// Shortest target latency of the routes that the service has.
    pub shortest: Duration,
    /// When the request was received.
    pub received_at: Time,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
}

/// Expected wait of a request at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wait {
    /// Until it gets a slot.
    pub slot: Duration,
    /// Until its first event, the wait for the slot included.
    pub first_event: Duration,
    /// Until its first event if the engine were idle.
    pub alone: Duration,
}

impl Target {
    /// Whether the first event is expected in time, or is late because of the request's own prompt
    /// alone.
    #[must_use]
    pub fn admits(&self, now: Time, wait: &Wait) -> bool {
        let passed = now.since(self.received_at);
        let left = self.latency.saturating_sub(passed);
        let expected = wait.first_event + wait.slot.mul_f64(SLOT_MARGIN);
        let delay = expected.saturating_sub(wait.alone);
        let allowed = left.saturating_sub(wait.alone);
        let max = self.shortest.mul_f64(MAX_DELAY);
        let min = self.shortest.mul_f64(MIN_DELAY);
        delay <= allowed.clamp(min, max)
    }

    /// Expected wait for a slot at an engine that has `open` requests, given the mean time for which
    /// a request holds one of its `slots`.
    #[must_use]
    pub fn slot_wait(&self, open: u32, slots: u32, mean: Duration) -> Duration {
        let share = if self.rank == 0 { URGENT_QUEUE } else { 1.0 };
        let ahead = f64::from(open.saturating_sub(slots)) * share;
        mean.mul_f64((ahead + 1.0) / f64::from(slots.max(1)))
    }
}
