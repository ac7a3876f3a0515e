//! How busy an endpoint is believed to be.
//!
//! The requests that this instance has open there are known at once. What
//! others have open comes from the endpoint's reports, which lag: each report
//! is compared with what was open here when it was taken, and loses its weight
//! with age, towards the mean of the service, the sooner the shorter requests are. An endpoint whose reports stop
//! therefore looks neither idle nor full.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::size::{Millis, Tokens};

/// Load that an endpoint reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Prompt tokens still to be read.
    pub prefill: Tokens,
    /// Tokens held in the prefix cache.
    pub cached: Tokens,
    /// Size of the prefix cache.
    pub capacity: Tokens,
}

/// How reports are read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time by which reports usually lag.
    pub lag: Millis,
    /// Age at which a report of open requests has lost two thirds of its weight.
    pub fade: Millis,
    /// The same for prompt tokens still to be read, which change faster.
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
    /// Prompt tokens still to be read.
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

    /// This work times a factor.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            open: self.open * factor,
            prefill: self.prefill * factor,
        }
    }

    /// The point at `share` of the way to `other`.
    #[must_use]
    pub fn towards(self, other: Self, share: f64) -> Self {
        self.times(1.0 - share).plus(other.times(share))
    }
}

/// How the reports of one service are seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// Work of others at an average endpoint.
    pub mean: Work,
    /// Time constant with which reported open requests lose their weight.
    pub fade: Duration,
    /// The same for reported prompt tokens.
    pub fade_prefill: Duration,
}

impl View {
    /// The view of a service whose requests are open for `hold` on average:
    /// what was open longer ago than that has ended.
    #[must_use]
    pub fn new(mean: Work, hold: Duration, settings: &Settings) -> Self {
        Self {
            mean,
            fade: settings.fade.duration().min(hold),
            fade_prefill: settings.fade_prefill.duration().min(hold),
        }
    }
}

/// What is known of one endpoint's load.
#[derive(Debug, Clone, Default)]
pub struct State {
    own: Work,
    /// Own work as a report with the usual lag shows it.
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

    /// A request was sent, of whose prompt `prefill` is believed uncached.
    pub fn record_start(&mut self, now: Time, prefill: Tokens, settings: &Settings) {
        self.follow(now, settings);
        let work = Work {
            open: 1.0,
            prefill: prefill.0 as f64,
        };
        self.own = self.own.plus(work);
    }

    /// Prompt tokens of a request were read.
    pub fn record_prefill(&mut self, now: Time, prefill: Tokens, settings: &Settings) {
        self.follow(now, settings);
        let work = Work {
            open: 0.0,
            prefill: prefill.0 as f64,
        };
        self.own = self.own.minus(work);
    }

    /// A request ended.
    pub fn record_end(&mut self, now: Time, settings: &Settings) {
        self.follow(now, settings);
        let work = Work {
            open: 1.0,
            prefill: 0.0,
        };
        self.own = self.own.minus(work);
    }

    /// A report arrived. Returns the work of others that it shows.
    pub fn record_report(&mut self, now: Time, report: &Report, settings: &Settings) -> Work {
        self.follow(now, settings);
        let all = Work {
            open: f64::from(report.running) + f64::from(report.waiting),
            prefill: report.prefill.0 as f64,
        };
        let work = all.minus(self.shown);
        self.others = Some(Others { work, at: now });
        work
    }

    /// All work that is believed to be at the endpoint.
    #[must_use]
    pub fn estimate(&self, now: Time, view: &View) -> Work {
        self.own.plus(self.others(now, view))
    }

    /// Work of others that is believed to be at the endpoint.
    #[must_use]
    pub fn others(&self, now: Time, view: &View) -> Work {
        let Some(others) = self.others else {
            return view.mean;
        };
        let age = now.since(others.at);
        let open = keep(age, view.fade);
        let prefill = keep(age, view.fade_prefill);
        Work {
            open: blend(others.work.open, view.mean.open, open),
            prefill: blend(others.work.prefill, view.mean.prefill, prefill),
        }
    }

    /// Moves what a report would show towards what is open now.
    fn follow(&mut self, now: Time, settings: &Settings) {
        let age = now.since(self.shown_at);
        let share = 1.0 - keep(age, settings.lag.duration());
        self.shown = self.shown.towards(self.own, share);
        self.shown_at = now;
    }
}

/// The point between two values with weight `share` on the first.
fn blend(first: f64, second: f64, share: f64) -> f64 {
    first * share + second * (1.0 - share)
}

/// Weight that is left after `age`, with time constant `span`.
fn keep(age: Duration, span: Duration) -> f64 {
    let span = span.as_secs_f64().max(1e-3);
    (-age.as_secs_f64() / span).exp()
}
