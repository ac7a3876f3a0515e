//! How fast a service works, measured while requests wait for it.

use std::time::Duration;

use crate::clock::Time;
use crate::size::Tokens;

/// Part of the window that one measurement takes.
const STRETCH: f64 = 0.125;

/// Work served a second. Stretches without waiting requests say nothing, since
/// the service may have had nothing to do.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    rate: Option<f64>,
    since: Time,
    work: u64,
    busy: bool,
}

impl Meter {
    /// Tokens of work a second, if they were ever measured.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Work was done.
    pub(crate) fn served(&mut self, work: Tokens) {
        self.work += work.0;
    }

    /// Time passed; `waits` says whether requests wait now.
    pub(crate) fn follow(&mut self, now: Time, waits: bool, window: Duration) {
        let span = now.since(self.since).as_secs_f64();
        let window = window.as_secs_f64().max(1e-3);
        if !waits || !self.busy {
            self.busy = waits;
            self.begin(now);
        } else if span >= window * STRETCH {
            let measured = self.work as f64 / span;
            let share = 1.0 - (-span / window).exp();
            let before = self.rate.unwrap_or(measured);
            // A first stretch in which nothing ended says too little.
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
