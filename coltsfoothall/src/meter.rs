//! Measurement of the rate at which a service works while requests wait for it.

use std::time::Duration;

use crate::clock::Time;
use crate::size::Tokens;

/// Part of the averaging window that one measurement covers.
const PERIOD_FRACTION: f64 = 0.125;

/// Measures the work served per second. Periods without waiting requests are not measured,
/// since the service may have been idle.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    rate: Option<f64>,
    since: Time,
    work: u64,
    busy: bool,
}

impl Meter {
    /// Tokens of work per second, if the rate has been measured.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Records served work.
    pub(crate) fn served(&mut self, work: Tokens) {
        self.work += work.0;
    }

    /// Updates the rate. `waiting` tells whether requests wait now.
    pub(crate) fn update(&mut self, now: Time, waiting: bool, window: Duration) {
        let span = now.since(self.since).as_secs_f64();
        let window = window.as_secs_f64().max(1e-3);
        if !waiting || !self.busy {
            self.busy = waiting;
            self.begin(now);
        } else if span >= window * PERIOD_FRACTION {
            let measured = self.work as f64 / span;
            let share = 1.0 - (-span / window).exp();
            let before = self.rate.unwrap_or(measured);
            // A first period in which nothing ended is too short to estimate a rate.
            if measured > 0.0 || self.rate.is_some() {
                self.rate = Some(before + (measured - before) * share);
            }
            self.begin(now);
        }
    }

    fn begin(&mut self, now: Time) {
        self.since = now;
        self.work = 0;
    }
}
