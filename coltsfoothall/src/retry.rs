//! How often an attempt may follow a failed one.
//!
//! A budget lets retries be a fixed share of first attempts, so an outage
//! adds that share to the load and no more. It holds for attempts after
//! failures; an attempt that carries a request on after an announced reclaim
//! is owed to the caller and passes [`Budget::carry`], which only spaces them.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::size::Millis;

/// Most doublings of the wait; it stops the shift from overflowing.
const MAX_DOUBLINGS: u32 = 16;
/// Longest time, in seconds, that a stop asks to stay away.
const LONGEST_STOP: f64 = 30.0;

/// Bounds on retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Most retries that are saved up; it bounds the burst after a calm.
    pub burst: f64,
    /// Retries a second that are allowed without any first attempt, so that a
    /// quiet service can retry at all.
    pub floor: f64,
    /// Most attempts of one request.
    pub attempts: u32,
    /// Wait before the first retry; it doubles with each further one.
    pub wait: Millis,
    /// Longest wait.
    pub longest: Millis,
    /// Carried-on attempts a second that are let through at once; more are spaced.
    pub carry: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            floor: 0.2,
            attempts: 4,
            wait: Millis(20),
            longest: Millis(2_000),
            carry: 200.0,
        }
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Try again after this time.
    After(Duration),
    /// Give up now; a new request may fare better after this time.
    Stop(Duration),
}

/// The retries that one service may still make.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    saved: f64,
    carried: f64,
    at: Time,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            saved: settings.burst,
            carried: settings.carry,
            settings,
            at: Time::START,
        }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.advance(now);
        self.saved = (self.saved + self.settings.ratio).min(self.settings.burst);
    }

    /// Decides on a retry after `attempts` attempts of a request.
    pub fn retry<R: Rng>(&mut self, now: Time, attempts: u32, random: &mut R) -> Verdict {
        self.advance(now);
        if attempts >= self.settings.attempts || self.saved < 1.0 {
            return Verdict::Stop(self.refill());
        }
        self.saved -= 1.0;
        Verdict::After(self.wait(attempts, random))
    }

    /// Time after which an attempt that carries a request on may go out.
    pub fn carry(&mut self, now: Time) -> Duration {
        self.advance(now);
        self.carried -= 1.0;
        Duration::from_secs_f64((-self.carried).max(0.0) / self.settings.carry.max(1e-3))
    }

    /// Retries that are left.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.saved
    }

    fn advance(&mut self, now: Time) {
        let span = now.since(self.at).as_secs_f64();
        self.at = now;
        let saved = self.saved + span * self.settings.floor;
        self.saved = saved.min(self.settings.burst);
        let carried = self.carried + span * self.settings.carry;
        self.carried = carried.min(self.settings.carry);
    }

    /// Exponential backoff with full jitter.
    fn wait<R: Rng>(&self, attempts: u32, random: &mut R) -> Duration {
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let longest = self.settings.longest.0;
        let span = self
            .settings
            .wait
            .0
            .saturating_mul(1 << doublings)
            .min(longest);
        Millis(random.random_range(0..=span)).duration()
    }

    /// Time until the floor alone pays for a retry.
    fn refill(&self) -> Duration {
        let missing = (1.0 - self.saved).max(0.0);
        let span = missing / self.settings.floor.max(1e-3);
        let longest = self.settings.longest.duration();
        Duration::from_secs_f64(span.min(LONGEST_STOP)).max(longest / 2)
    }
}
