//! Retry budget: how often a failed attempt may be followed by another.
//!
//! The budget limits retries to a fixed share of first attempts, so an outage adds at most that
//! share to the load. It applies to attempts after failures. An attempt that continues a request
//! after an announced reclaim is always allowed; [`Budget::carry`] only spaces such attempts out.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::size::Millis;

/// Upper bound on the doublings of the wait; it prevents the shift from overflowing.
const MAX_DOUBLINGS: u32 = 16;
/// Upper bound on the wait that [`Verdict::Stop`] suggests.
const MAX_STOP_SECONDS: f64 = 30.0;

/// Bounds on retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retries added to the budget by each first attempt.
    pub ratio: f64,
    /// Upper bound on the accumulated retries; it limits the burst after a quiet period.
    pub burst: f64,
    /// Retries per second that are allowed without any first attempt, so that a service with
    /// little traffic can retry at all.
    pub floor: f64,
    /// Upper bound on the attempts of one request.
    pub attempts: u32,
    /// Wait before the first retry; it doubles with each further one.
    pub wait: Millis,
    /// Upper bound on the wait.
    pub longest: Millis,
    /// Continued attempts per second that start without delay; further ones are spaced out.
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
    /// Give up now; a new request may succeed after this time.
    Stop(Duration),
}

/// The retry budget of one service: a token bucket.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    tokens: f64,
    carry_tokens: f64,
    updated: Time,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            tokens: settings.burst,
            carry_tokens: settings.carry,
            settings,
            updated: Time::START,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.advance(now);
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Decides on a retry after `attempts` attempts of a request.
    pub fn retry<R: Rng>(&mut self, now: Time, attempts: u32, random: &mut R) -> Verdict {
        self.advance(now);
        if attempts >= self.settings.attempts || self.tokens < 1.0 {
            return Verdict::Stop(self.refill());
        }
        self.tokens -= 1.0;
        Verdict::After(self.wait(attempts, random))
    }

    /// Delay before an attempt that continues a request may start.
    pub fn carry(&mut self, now: Time) -> Duration {
        self.advance(now);
        self.carry_tokens -= 1.0;
        Duration::from_secs_f64((-self.carry_tokens).max(0.0) / self.settings.carry.max(1e-3))
    }

    /// Retries that remain.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    fn advance(&mut self, now: Time) {
        let span = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let tokens = self.tokens + span * self.settings.floor;
        self.tokens = tokens.min(self.settings.burst);
        let carry_tokens = self.carry_tokens + span * self.settings.carry;
        self.carry_tokens = carry_tokens.min(self.settings.carry);
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

    /// Time until [`Settings::floor`] has added enough for one retry.
    fn refill(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let span = missing / self.settings.floor.max(1e-3);
        let longest = self.settings.longest.duration();
        Duration::from_secs_f64(span.min(MAX_STOP_SECONDS)).max(longest / 2)
    }
}
