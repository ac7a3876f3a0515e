//! Crashes of endpoints as evidence against the parts of prompts that had runs there, and what
//! instances tell each other of them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Time;
use crate::forward::choice::Part;
use crate::forward::limit::Fleet;
use crate::id;
use crate::size::Millis;

quick_error! {
    /// A text that is no mark.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not a hexadecimal number of 64 bits.
        Digits(text: String) {
            display("{text:?} is not a hexadecimal number of 64 bits")
        }
    }
}

/// Part of a prompt, by the hash of its content. The same content has the same mark in all services,
/// models and workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Mark(pub u64);

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Mark {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = u64::from_str_radix(text, 16);
        digits
            .map(Self)
            .map_err(|_number| Error::Digits(text.into()))
    }
}

/// The marks of a prompt, sorted. Its last part belongs to the request or its session alone.
#[must_use]
pub fn marks(parts: &[Part]) -> Vec<Mark> {
    let shared = parts.len().saturating_sub(1);
    let mut marks: Vec<Mark> = parts[..shared].iter().map(|part| Mark(part.hash)).collect();
    marks.sort_unstable();
    marks.dedup();
    marks
}

/// Hash of an endpoint's id, as told in messages.
#[must_use]
pub fn hash(endpoint: &id::Endpoint) -> u32 {
    xxh3_64(endpoint.as_str().as_bytes()) as u32
}

/// The instance that lets a request through to see whether the verdict on a part still holds; none
/// while some instances are not heard, as two might.
#[must_use]
pub fn elect(mark: Mark, fleet: &Fleet) -> Option<&id::Instance> {
    let names = fleet.candidates.iter().map(|candidate| &candidate.name);
    let elected = names.max_by_key(|name| xxh3_64_with_seed(name.as_str().as_bytes(), mark.0));
    elected.filter(|_| fleet.heard == fleet.known)
}

/// When parts are condemned, and how much is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long a crash counts.
    pub retention: Duration,
    /// How long a verdict stands.
    pub verdict_retention: Duration,
    /// Time for which a run has to write until its parts count as harmless.
    pub proof: Duration,
    /// Crashes that condemn a part without an answer.
    pub crashes: usize,
    /// Least number of crashes and of contents of the requests under which they came, added up.
    pub evidence: usize,
    /// Crashes that condemn a part that had answers before, and from which on parts that are
    /// suspects of the same crashes are condemned together.
    pub many_crashes: usize,
    /// Crashes that follow each other faster may have one cause, such as a loss of power.
    pub gap: Duration,
    /// How long a condemned part gets no request at all; then one is let through, and after each
    /// that crashes its endpoint the time is longer by [`Settings::trial_factor`].
    pub trial_delay: Duration,
    /// See [`Settings::trial_delay`].
    pub trial_factor: u32,
    /// Maximum number of such trials.
    pub max_trials: u32,
    /// Maximum number of suspects.
    pub max_suspects: usize,
    /// Maximum number of parts whose last answer is remembered.
    pub max_answers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(900),
            verdict_retention: Duration::from_secs(86_400),
            proof: Duration::from_millis(1_500),
            crashes: 4,
            evidence: 8,
            many_crashes: 5,
            gap: Duration::from_millis(200),
            trial_delay: Duration::from_secs(900),
            trial_factor: 16,
            max_trials: 2,
            max_suspects: 1_024,
            max_answers: 4_096,
        }
    }
}

impl Settings {
    /// When a request with a condemned part may be let through next.
    #[must_use]
    pub fn next_trial(&self, verdict: &Verdict) -> Time {
        let factor = self.trial_factor.saturating_pow(verdict.trials);
        verdict.tried.unwrap_or(verdict.at) + self.trial_delay * factor
    }
}

/// Crash of an endpoint where a part had a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the endpoint's id.
    pub endpoint: u32,
    /// Hash of the request's content.
    pub content: u32,
    /// When the run was interrupted.
    pub at: Time,
}

/// A crash, as told to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Hash of the endpoint's id.
    pub endpoint: u32,
    /// Hash of the request's content.
    pub content: u32,
    /// Time since the run was interrupted.
    pub age: Millis,
}

/// Crashes that count against a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The part.
    pub mark: Mark,
    /// The crashes.
    pub crashes: Vec<Notice>,
}

/// A part that was condemned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The part.
    pub mark: Mark,
    /// When it was condemned.
    pub at: Time,
    /// The first crash that counted; a later answer lifts the verdict.
    pub first: Time,
    /// Number of crashes that counted.
    pub crashes: u32,
    /// Requests that were let through since, to see whether it still holds.
    pub trials: u32,
    /// The last of them.
    pub tried: Option<Time>,
}

/// A verdict, as told to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The part.
    pub mark: Mark,
    /// Time since it was condemned.
    pub age: Millis,
    /// Time since the first crash that counted.
    pub first: Millis,
    /// Number of crashes that counted.
    pub crashes: u32,
    /// Requests that were let through since.
    pub trials: u32,
    /// Time since the last of them.
    pub tried: Option<Millis>,
}

/// What an instance tells others in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the sender has heard what instances before it know.
    pub informed: bool,
    /// Endpoints that crashed with suspects, and the time since.
    pub lost: Vec<(u32, Millis)>,
    /// Crashes that count against parts.
    pub rows: Vec<Row>,
    /// Suspects that had an answer, and the time since the last one.
    pub answers: Vec<(Mark, Millis)>,
    /// Time since the last answer to a request whose prompt has parts.
    pub served: Option<Millis>,
    /// Parts that are condemned.
    pub verdicts: Vec<Told>,
}

/// What is known against a part.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// The part.
    pub mark: Mark,
    /// Crashes since its last answer, sorted by time.
    pub crashes: Vec<Crash>,
    /// Its last answer, at any instance.
    pub answered: Option<Time>,
    /// When the first of the crashes became known here.
    pub known: Time,
    /// When a crash last became known here.
    pub heard: Time,
    /// When one last became known of this instance's own runs, or of one that reports to few others.
    pub own: Option<Time>,
    /// Number of crashes that became known here, those before its last answer included.
    pub seen: u32,
}
