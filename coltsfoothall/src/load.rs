//! An estimate of the load of an endpoint.
//!
//! The requests that this instance has open at the endpoint are known immediately. The load
//! caused by others comes from the endpoint's reports, which lag: this instance's own load
//! at the time of the report is subtracted, and the rest decays with age towards the mean
//! of the service, the faster the shorter its requests are. An endpoint that stops
//! reporting therefore looks neither idle nor full.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::size::{Millis, Tokens};

/// Load that an endpoint reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens that remain to be processed.
    pub prefill: Tokens,
    /// Tokens in the prefix cache.
    pub cached: Tokens,
    /// Capacity of the prefix cache.
    pub capacity: Tokens,
}

/// How reports are interpreted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Typical lag of a report.
    pub lag: Millis,
    /// Time constant with which the reported open requests decay.
    pub fade: Millis,
    /// Time constant for the prompt tokens that remain to be processed, which change
    /// faster.
    pub fade_prefill: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lag: Millis(500),
            fade: Millis(4_000),
            fade_prefill: Millis(500),
        }
    }
}

/// Work at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Open requests.
    pub open: f64,
    /// Prompt tokens that remain to be processed.
    pub prefill: f64,
}

impl Work {
    /// The sum.
    #[must_use]
    pub fn plus(self, rest: Self) -> Self {
        Self {
            open: self.open + rest.open,
            prefill: self.prefill + rest.prefill,
        }
    }

    /// The difference, at least zero.
    #[must_use]
    pub fn minus(self, rest: Self) -> Self {
        Self {
            open: (self.open - rest.open).max(0.0),
            prefill: (self.prefill - rest.prefill).max(0.0),
        }
    }

    /// This work multiplied by a factor.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            open: self.open * factor,
            prefill: self.prefill * factor,
        }
    }

    /// Interpolates linearly from this work to `other`, by `share`.
    #[must_use]
    pub fn towards(self, other: Self, share: f64) -> Self {
        self.times(1.0 - share).plus(other.times(share))
    }
}

/// Parameters for interpreting the reports of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// Work of others at an average endpoint.
    pub mean: Work,
    /// Time constant with which reported open requests decay.
    pub fade: Duration,
    /// Time constant with which reported prompt tokens decay.
    pub fade_prefill: Duration,
}

impl View {
    /// The view of a service whose requests are open for `duration` on average: requests
    /// that were reported longer ago than that have ended.
    #[must_use]
    pub fn new(mean: Work, duration: Duration, settings: &Settings) -> Self {
        Self {
            mean,
            fade: settings.fade.duration().min(duration),
            fade_prefill: settings.fade_prefill.duration().min(duration),
        }
    }
}

/// The load state of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct State {
    own: Work,
    /// Own work as a report with the typical lag shows it.
    shown: Work,
    shown_at: Time,
    others: Option<Others>,
}

#[derive(Debug, Clone, Copy)]
struct Others {
    work: Work,
    at: Time,
}

impl State {
    /// Work that this instance has open at the endpoint.
    #[must_use]
    pub fn own(&self) -> Work {
        self.own
    }

    /// Records that a request was sent; `prefill` tokens of its prompt are estimated to be
    /// uncached.
    pub fn record_start(&mut self, now: Time, prefill: Tokens, settings: &Settings) {
        self.update(now, settings);
        let work = Work {
            open: 1.0,
            prefill: prefill.0 as f64,
        };
        self.own = self.own.plus(work);
    }

    /// Records that prompt tokens of a request were processed.
    pub fn record_prefill(&mut self, now: Time, prefill: Tokens, settings: &Settings) {
        self.update(now, settings);
        let work = Work {
            open: 0.0,
            prefill: prefill.0 as f64,
        };
        self.own = self.own.minus(work);
    }

    /// Records that a request ended.
    pub fn record_end(&mut self, now: Time, settings: &Settings) {
        self.update(now, settings);
        let work = Work {
            open: 1.0,
            prefill: 0.0,
        };
        self.own = self.own.minus(work);
    }

    /// Records a report. Returns the work of others that it shows.
    pub fn record_report(&mut self, now: Time, report: &Report, settings: &Settings) -> Work {
        self.update(now, settings);
        let all = Work {
            open: f64::from(report.running) + f64::from(report.waiting),
            prefill: report.prefill.0 as f64,
        };
        let work = all.minus(self.shown);
        self.others = Some(Others { work, at: now });
        work
    }

    /// Estimate of all work at the endpoint.
    #[must_use]
    pub fn estimate(&self, now: Time, view: &View) -> Work {
        self.own.plus(self.others(now, view))
    }

    /// Estimate of the work of others at the endpoint.
    #[must_use]
    pub fn others(&self, now: Time, view: &View) -> Work {
        let Some(others) = self.others else {
            return view.mean;
        };
        let age = now.since(others.at);
        let open = decay(age, view.fade);
        let prefill = decay(age, view.fade_prefill);
        Work {
            open: blend(others.work.open, view.mean.open, open),
            prefill: blend(others.work.prefill, view.mean.prefill, prefill),
        }
    }

    /// Moves the work that a report would show towards the work that is open now.
    fn update(&mut self, now: Time, settings: &Settings) {
        let age = now.since(self.shown_at);
        let share = 1.0 - decay(age, settings.lag.duration());
        self.shown = self.shown.towards(self.own, share);
        self.shown_at = now;
    }
}

/// Weighted mean of two values, with weight `share` on the first.
fn blend(first: f64, second: f64, share: f64) -> f64 {
    first * share + second * (1.0 - share)
}

/// Exponential decay factor after `age`, with the given time constant.
fn decay(age: Duration, time_constant: Duration) -> f64 {
    let time_constant = time_constant.as_secs_f64().max(1e-3);
    (-age.as_secs_f64() / time_constant).exp()
}
