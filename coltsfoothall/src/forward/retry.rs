//! The retry budget of a service, of which each instance spends a part without coordination.
//!
//! All instances together may send a share of the requests as retries, and a slack beyond it. An
//! instance pays retries from a balance, to which first attempts and time add up to a limit. So the
//! retries of a window are at most the limits at its start and what is added within it, whichever
//! processes add it. A balance that began above zero would break this: the window still holds the
//! retries of the process before. The limits grow with the requests of the last window, which the
//! platform counts too, so that the many instances of a large fleet need no whole retry each.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Time;

/// Share of the slack that balances may hold. What this and the next three shares leave covers
/// members that are not known yet, and requests that arrive later than they were sent.
const HELD_SLACK_SHARE: f64 = 0.3;
/// Share of the slack that time adds within a window.
const ADDED_SLACK_SHARE: f64 = 0.3;
/// Share of the ratio that balances may hold for the requests of the last window.
const HELD_RATIO_SHARE: f64 = 0.4;
/// Share of the ratio that first attempts add.
const ADDED_RATIO_SHARE: f64 = 0.5;
/// Number of parts in which the requests of the last window are counted.
const SLOTS: usize = 10;
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

/// Number of instances that share a budget. An instance that is gone may have spent its part just
/// before, so a lower number counts only after a window.
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

/// Counts the requests of the last window, rounded down to whole slots.
#[derive(Debug, Clone, Default)]
struct Recent {
    /// The newest slot first.
    counts: [u32; SLOTS],
    /// Number of the newest slot since the start of the process.
    newest: u64,
}

impl Recent {
    /// Moves on to the slot of this time.
    fn advance(&mut self, now: Time, window: Duration) {
        let slot_micros = (window.as_micros() as u64 / SLOTS as u64).max(1);
        let slot = now.as_micros() / slot_micros;
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64) as usize;
        self.counts.copy_within(..SLOTS - passed, passed);
        self.counts[..passed].fill(0);
        self.newest = self.newest.max(slot);
    }

    fn count(&self) -> u32 {
        self.counts.iter().sum()
    }
}

/// This instance's part of the budget of a service.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    balance: f64,
    sharers: Sharers,
    /// Whether this instance has a part of the slack.
    has_part: bool,
    recent: Recent,
    random: Pcg64Mcg,
    /// When time last added to the balance.
    updated: Time,
}

impl Budget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        let sharers = Sharers {
            count: MIN_SHARERS,
            known_at: now,
        };
        Self {
            settings,
            balance: 0.0,
            sharers,
            has_part: false,
            recent: Recent::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            updated: now,
        }
    }

    /// Applies new settings; what is left stays, up to the new limit.
    pub fn reload(&mut self, settings: Settings) {
        self.settings = settings;
        self.balance = self.balance.min(self.limit());
    }

    /// Records the first attempt of a request; `sharers` instances have a part of the slack, but
    /// not this one if it is none.
    pub fn record_first(&mut self, now: Time, sharers: Option<u32>) {
        self.balance += self.settings.ratio * ADDED_RATIO_SHARE;
        self.recent.advance(now, self.settings.window);
        self.recent.counts[0] += 1;
        self.advance(now, sharers);
    }

    /// Takes one retry from the balance. Returns whether the retry may be sent.
    ///
    /// A balance under one is spent on a retry that is sent with this probability: in a large fleet
    /// few balances ever reach one, and rounding them up would exceed the budget.
    pub fn take(&mut self, now: Time, sharers: Option<u32>) -> bool {
        self.advance(now, sharers);
        let spent = self.balance.min(1.0);
        self.balance -= spent;
        self.random.random_bool(spent)
    }

    /// Retries that are left.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Upper bound of the balance.
    #[must_use]
    pub fn limit(&self) -> f64 {
        let requests = f64::from(self.recent.count());
        self.part() * HELD_SLACK_SHARE + requests * self.settings.ratio * HELD_RATIO_SHARE
    }

    /// This instance's part of the slack.
    fn part(&self) -> f64 {
        if !self.has_part {
            return 0.0;
        }
        self.settings.slack / f64::from(self.sharers.count)
    }

    fn advance(&mut self, now: Time, sharers: Option<u32>) {
        self.has_part = sharers.is_some();
        if let Some(sharers) = sharers {
            self.sharers.update(now, sharers, self.settings.window);
        }
        self.recent.advance(now, self.settings.window);
        let span = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let windows = span / self.settings.window.as_secs_f64();
        let balance = self.balance + self.part() * ADDED_SLACK_SHARE * windows;
        self.balance = balance.min(self.limit());
    }
}
