//! Periods in which an endpoint wants no requests from this instance.
//!
//! An endpoint that rejects a request may say for how long it wants none. It speaks to one instance
//! alone: others learn of it by rejections of their own. Afterwards one request may be
//! unanswered, and one more with each answer and as time passes, so that the requests of all instances
//! do not return at one moment.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

use crate::clock::Time;
use crate::forward::node::Node;
use crate::forward::roster::{Roster, Run};
use crate::id;

/// Longest period that is kept; longer ones are cut to it.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);
/// Share of a period by which instances differ in when they begin again.
const SPREAD: f64 = 0.2;
/// Upper bound of that difference.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Unanswered requests at once from which on an endpoint counts as recovered.
const RECOVERED: u32 = 16;
/// Time in which one more may be open although none is answered, as answers may take long.
const GROWTH_INTERVAL: Duration = Duration::from_millis(500);
/// When a request may be sent again after one that waits for the first answers after a period.
const TRIAL_DELAY: Duration = Duration::from_millis(200);

quick_error! {
    /// A period that cannot be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not a decimal number of seconds, at least zero.
        Seconds(text: String) {
            display("{text:?} is not a decimal number of seconds")
        }
    }
}

/// A time in which an endpoint wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Period(Duration);

impl Period {
    /// Its length, at most a day.
    #[must_use]
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

impl FromStr for Period {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Seconds(text.into());
        let seconds: f64 = text.trim().parse().map_err(|_number| error())?;
        if seconds.is_nan() || seconds.is_sign_negative() {
            return Err(error());
        }
        let seconds = seconds.min(MAX_PERIOD.as_secs_f64());
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

/// What an answer says of when its endpoint wants requests again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Notice {
    /// Nothing.
    #[default]
    None,
    /// After this time.
    After(Period),
    /// It cannot be read, and counts as nothing.
    Invalid(Error),
}

/// A period of an endpoint, and the requests with which this instance begins again.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    began: Time,
    /// When the endpoint wants requests again.
    until: Time,
    /// When this instance sends some again.
    resumes: Time,
    /// Requests that the endpoint rejected since it began.
    rejected: u32,
    /// Requests that went elsewhere since.
    avoided: u64,
    /// Unanswered requests that may be open at once at its end, and one more for each answer since.
    window: u32,
    /// Requests sent since `resumes` that are unanswered.
    open: u32,
    /// Whether its end was reported.
    reported: bool,
}

impl Backoff {
    fn new(now: Time) -> Self {
        Self {
            began: now,
            until: now,
            resumes: now,
            rejected: 0,
            avoided: 0,
            window: 1,
            open: 0,
            reported: false,
        }
    }

    /// Extends it; a shorter period ends no earlier one. `spread` is a random share.
    fn extend(&mut self, now: Time, period: Period, spread: f64) {
        let length = period.duration();
        let delay = length.mul_f64(SPREAD).min(MAX_SPREAD).mul_f64(spread);
        self.until = self.until.max(now + length);
        self.resumes = self.resumes.max(now + length + delay);
        self.rejected += 1;
        self.window = 1;
        self.reported = false;
    }

    /// Whether no request may be sent, not even one that was meant for the endpoint before.
    pub(super) fn withholds(&self, now: Time) -> bool {
        now < self.resumes
    }

    /// Whether a request may be sent.
    pub(super) fn allows(&self, now: Time) -> bool {
        !self.withholds(now) && self.open < self.window(now)
    }

    /// When a request may be sent at the earliest.
    pub(super) fn earliest(&self, now: Time) -> Time {
        if self.withholds(now) {
            self.resumes
        } else {
            now + TRIAL_DELAY
        }
    }

    /// Unanswered requests that may be open at once now.
    fn window(&self, now: Time) -> u32 {
        let intervals = now.since(self.resumes).as_millis() / GROWTH_INTERVAL.as_millis();
        let grown = u32::try_from(intervals).unwrap_or(u32::MAX);
        self.window.saturating_add(grown)
    }

    /// Whether requests are held back, or only few are sent.
    fn is_active(&self, now: Time) -> bool {
        self.window(now) < RECOVERED
    }

    pub(super) fn record_avoided(&mut self) {
        self.avoided += 1;
    }

    /// Begins a request. Returns whether it is one of those with which this instance begins again.
    pub(super) fn begin(&mut self, now: Time) -> bool {
        let counts = !self.withholds(now) && self.is_active(now);
        self.open += u32::from(counts);
        counts
    }

    fn settle(&mut self, accepted: bool) {
        self.open = self.open.saturating_sub(1);
        if accepted {
            self.window = self.window.saturating_add(1);
        }
    }
}

/// A period that began or ended, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// From the first rejection to the end.
    pub lasted: Duration,
    /// Requests that the endpoint rejected.
    pub rejected: u32,
    /// Requests that went elsewhere meanwhile.
    pub avoided: u64,
}

impl Node {
    /// Whether the endpoint wants no requests from this instance now.
    #[must_use]
    pub fn is_backed_off(&self, now: Time) -> bool {
        let backoff = self.said.backoff.as_ref();
        backoff.is_some_and(|backoff| now < backoff.until)
    }
}

impl Roster {
    /// Records that the endpoint of a run rejected it and wants no requests for a period, which this
    /// instance prolongs by a random share `spread`. Returns whether it wanted some before.
    pub fn record_backoff(&mut self, now: Time, run: &Run, period: Period, spread: f64) -> bool {
        let Some(said) = self.statement_mut(now, &run.endpoint, run.born) else {
            return false;
        };
        let begins = said.backoff.is_none_or(|backoff| backoff.until <= now);
        if begins && !period.duration().is_zero() {
            said.backoff = Some(Backoff::new(now));
        }
        if let Some(backoff) = &mut said.backoff {
            backoff.extend(now, period, spread);
        }
        begins && !period.duration().is_zero()
    }

    /// Records whether the endpoint of a run took the run on.
    pub fn record_accepted(&mut self, now: Time, run: &mut Run, accepted: bool) {
        self.settle_backoff(now, run, accepted);
        run.resumes = false;
    }

    /// Ends the trial of a run that is one of those with which requests begin again.
    pub(super) fn settle_backoff(&mut self, now: Time, run: &Run, accepted: bool) {
        if !run.resumes {
            return;
        }
        let Some(said) = self.statement_mut(now, &run.endpoint, run.born) else {
            return;
        };
        if let Some(backoff) = &mut said.backoff {
            backoff.settle(accepted);
        }
    }

    /// Periods that ended since the last call. Endpoints that have recovered from one are treated as
    /// before it.
    pub fn take_ended_backoffs(&mut self, now: Time) -> Vec<Report> {
        let mut reports = Vec::new();
        for node in &mut self.nodes {
            let endpoint = &node.entry.id;
            let Some(backoff) = &mut node.said.backoff else {
                continue;
            };
            if backoff.reported && !backoff.is_active(now) {
                node.said.backoff = None;
                continue;
            }
            if backoff.reported || now < backoff.until {
                continue;
            }
            backoff.reported = true;
            reports.push(Report {
                endpoint: endpoint.clone(),
                lasted: backoff.until.since(backoff.began),
                rejected: backoff.rejected,
                avoided: backoff.avoided,
            });
        }
        reports
    }
}
