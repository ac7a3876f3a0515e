//! Limits of requests that endpoints in need name, and the part of them that each instance may send.
//!
//! An endpoint names in its answers the requests a second that it takes from all instances together.
//! An instance cannot ask the others before it sends, and equal parts of a small limit are too rare
//! to be of use: a request a second among 900 instances is one in a quarter of an hour. A limit
//! therefore belongs to a few *senders*, one for each request a second, those of the endpoint's
//! failure domain first. All instances that know the same members select the same senders, and the
//! others send their requests elsewhere. Each sender keeps to its part by a bucket of its own.
//!
//! An instance that hears less than half of the others may have lost its place among the senders
//! without knowing. It keeps to an equal part of the limit.
//!
//! Let the limit be R requests a second. There are at most max(1, R) senders, and each saves up to
//! one request and its part of a quarter of a second. From the moment at which all know of the limit,
//! the endpoint therefore gets at most 4 R + max(1, R) + R/4 requests in any 4 s.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Time;
use crate::id;
use crate::size::Millis;

/// Seconds for which a sender saves unused requests, beside a whole one.
const SAVED_SECONDS: f64 = 0.25;
/// How long a change that this instance saw itself goes before what others report.
const OWN_PERIOD: Duration = Duration::from_secs(2);
/// How long the end of a limit is remembered and reported.
const ENDED_PERIOD: Duration = Duration::from_secs(10);
/// Upper bound of the time that a report takes, by which its age is too low. Without it a report
/// would come back as newer than it was.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Time without an answer after which a sender prefers the endpoint, to learn whether its limit
/// goes on.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

quick_error! {
    /// A rate that cannot be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not a decimal number of at least zero.
        Number(text: String) {
            display("{text:?} is not a decimal number of requests a second")
        }
    }
}

/// Requests a second, kept in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(u64);

impl Rate {
    /// The smallest rate; lower ones are raised to it, as an endpoint that gets no requests cannot
    /// say that its limit has ended.
    pub const MIN: Self = Self(100);

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let text = text.trim();
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let value: Result<f64, _> = digits.parse();
        match value {
            Ok(value) if value.is_finite() && value.is_sign_positive() => {
                Ok(Self((value * 1e3) as u64).max(Self::MIN))
            }
            _ => Err(Error::Number(text.into())),
        }
    }
}

/// What an answer says of its endpoint's limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Notice {
    /// There is none.
    #[default]
    Unlimited,
    /// The endpoint takes this many requests.
    Limited(Rate),
    /// It cannot be read, and changes nothing.
    Invalid(Error),
}

/// What an instance reports of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The limit; none if it has ended.
    pub rate: Option<Rate>,
    /// Time since the last answer that said so.
    pub age: Millis,
}

/// An instance that may send to endpoints with a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// The active instances as far as one of them knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Those that it hears and that accept callers, itself included if it does.
    pub candidates: Vec<Candidate>,
    /// Number of those that it hears, itself included.
    pub heard: usize,
    /// Number of those that it knows, itself included.
    pub known: usize,
}

impl Fleet {
    /// Whether the others may go on without this instance.
    pub(super) fn is_cut_off(&self) -> bool {
        self.heard * 2 < self.known
    }
}

/// Part of an endpoint's limit that the instance `me` may send.
#[must_use]
pub fn share(
    rate: Rate,
    endpoint: &id::Endpoint,
    domain: &id::Domain,
    me: &id::Instance,
    fleet: &Fleet,
) -> f64 {
    let candidates = &fleet.candidates;
    if !candidates.iter().any(|candidate| candidate.name == *me) {
        return 0.0;
    }
    if fleet.is_cut_off() {
        return rate.per_second() / fleet.known as f64;
    }
    let senders = count_senders(rate.per_second(), fleet);
    if is_sender(senders, endpoint, domain, me, fleet) {
        rate.per_second() / senders as f64
    } else {
        0.0
    }
}

/// Number of senders among which `rate` requests a second are divided.
pub(super) fn count_senders(rate: f64, fleet: &Fleet) -> usize {
    (rate as usize).clamp(1, fleet.candidates.len().max(1))
}

/// Whether the instance `me` is one of the `senders` of an endpoint.
pub(super) fn is_sender(
    senders: usize,
    endpoint: &id::Endpoint,
    domain: &id::Domain,
    me: &id::Instance,
    fleet: &Fleet,
) -> bool {
    let seed = xxh3_64(endpoint.as_str().as_bytes());
    let key = |candidate: &Candidate| {
        let hash = xxh3_64_with_seed(candidate.name.as_str().as_bytes(), seed);
        (candidate.domain != *domain, hash)
    };
    let candidates = fleet.candidates.iter();
    let Some(own) = candidates.clone().find(|candidate| candidate.name == *me) else {
        return false;
    };
    let own = key(own);
    let before = candidates.filter(|candidate| key(candidate) < own);
    before.count() < senders
}

/// The limit of an endpoint, or its end, as known to an instance.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    rate: Option<Rate>,
    /// When an answer last said so, at any instance; none before the first one is known.
    as_of: Option<Time>,
    /// When a change was seen by this instance, or by one that reports to it and few others.
    seen: Option<Time>,
    /// Requests a second that this instance may send.
    share: f64,
    /// Requests that it may send now, as of `updated`.
    level: f64,
    updated: Time,
}

impl Limit {
    /// No limit so far.
    #[must_use]
    pub fn unknown(now: Time) -> Self {
        Self {
            rate: None,
            as_of: None,
            seen: None,
            share: 0.0,
            level: 0.0,
            updated: now,
        }
    }

    /// The rate that the endpoint names, if any.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Records what an answer says that arrives here now. Returns whether it is a change.
    pub fn record(&mut self, now: Time, rate: Option<Rate>) -> bool {
        self.as_of = Some(now);
        let changed = std::mem::replace(&mut self.rate, rate) != rate;
        if changed {
            self.seen = Some(now);
        }
        changed
    }

    /// Merges what an answer said that arrived at another instance at `as_of`, unless one of about
    /// that time or later is known. `relayed` if that instance reports to few others.
    pub fn merge(&mut self, now: Time, as_of: Time, rate: Option<Rate>, relayed: bool) {
        if self
            .as_of
            .is_some_and(|known| as_of <= known + REPORT_DELAY)
        {
            return;
        }
        self.as_of = Some(as_of);
        let changed = std::mem::replace(&mut self.rate, rate) != rate;
        if changed && relayed {
            self.seen = Some(now);
        }
    }

    /// Sets the part that this instance may send. A new sender begins with nothing saved.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.level = if self.share > 0.0 {
            self.level(now)
        } else {
            0.0
        };
        self.updated = now;
        self.share = share;
    }

    /// Whether this instance may send a request now.
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        self.rate.is_none() || (self.share > 0.0 && self.level(now) >= 1.0)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Time) {
        self.level = self.level(now) - 1.0;
        self.updated = now;
    }

    /// Whether the limit has not been confirmed for some time.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.rate.is_some() && self.age(now) >= CONFIRM_PERIOD
    }

    /// Whether other instances may not know of a change yet that this one saw.
    #[must_use]
    pub fn is_own(&self, now: Time) -> bool {
        self.seen.is_some_and(|seen| now.since(seen) < OWN_PERIOD)
    }

    /// Whether the limit ended so long ago that all know.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        self.rate.is_none() && self.age(now) >= ENDED_PERIOD
    }

    /// The report to other instances.
    #[must_use]
    pub fn report(&self, now: Time) -> Report {
        Report {
            rate: self.rate,
            age: self.age(now).into(),
        }
    }

    /// Time since the last answer.
    fn age(&self, now: Time) -> Duration {
        self.as_of.map_or(Duration::ZERO, |as_of| now.since(as_of))
    }

    fn level(&self, now: Time) -> f64 {
        let gained = self.share * now.since(self.updated).as_secs_f64();
        let max = 1.0 + self.share * SAVED_SECONDS;
        (self.level + gained).min(max)
    }
}
