//! The retry budget of a service, of which each instance spends a part without coordination.
//!
//! All instances together may send a share of the requests as retries, and a slack beyond it. An
//! instance pays retries from a balance, to which first attempts and time add up to a limit. So the
//! retries of a window are at most the limits at its start and what is added within it, whichever
//! processes add it. A balance that began above zero would break this: the window still holds the
//! retries of the process before.

use std::time::Duration;

use crate::clock::Time;

/// Share of the slack that balances may hold. What this and the next two shares leave covers
/// members that are not known yet.
const HELD_SLACK_SHARE: f64 = 0.3;
/// Share of the slack that time adds within a window.
const ADDED_SLACK_SHARE: f64 = 0.3;
/// Share of the ratio that first attempts add.
const RATIO_SHARE: f64 = 0.8;
/// Minimum number of members that are assumed to share a budget, as some may not be known yet.
const MIN_SHARERS: u32 = 3;

/// What all instances together may send.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// Additional retries in a window.
    pub slack: f64,
    /// Span in which retries are counted.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 20.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Number of instances that share a budget.
///
/// An instance that is gone may have spent its part just before, so that a lower number counts only
/// after a window.
#[derive(Debug, Clone, Copy)]
struct Sharers {
    count: u32,
    /// When that many were last known.
    known_at: Time,
}

impl Sharers {
    fn update(&mut self, now: Time, count: u32, window: Duration) {
        let count = count.max(MIN_SHARERS);
        if count >= self.count || now.since(self.known_at) > window {
            *self = Self {
                count,
                known_at: now,
            };
        }
    }
}

/// This instance's part of the budget of a service.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    balance: f64,
    sharers: Sharers,
    /// When time last added to the balance.
    updated: Time,
}

impl Budget {
    /// Creates an empty budget that this many instances share.
    #[must_use]
    pub fn new(settings: Settings, now: Time, sharers: u32) -> Self {
        let sharers = Sharers {
            count: sharers.max(MIN_SHARERS),
            known_at: now,
        };
        Self {
            settings,
            balance: 0.0,
            sharers,
            updated: now,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first(&mut self, now: Time, sharers: u32) {
        self.balance += self.settings.ratio * RATIO_SHARE;
        self.advance(now, sharers);
    }

    /// Takes one retry from the balance. Returns whether one was left.
    pub fn take(&mut self, now: Time, sharers: u32) -> bool {
        self.advance(now, sharers);
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }

    /// Retries that are left.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Upper bound of the balance.
    #[must_use]
    pub fn limit(&self) -> f64 {
        (self.part() * HELD_SLACK_SHARE).max(1.0)
    }

    /// This instance's part of the slack.
    fn part(&self) -> f64 {
        self.settings.slack / f64::from(self.sharers.count)
    }

    fn advance(&mut self, now: Time, sharers: u32) {
        self.sharers.update(now, sharers, self.settings.window);
        let span = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let windows = span / self.settings.window.as_secs_f64();
        let balance = self.balance + self.part() * ADDED_SLACK_SHARE * windows;
        self.balance = balance.min(self.limit());
    }
}
