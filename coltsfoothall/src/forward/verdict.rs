//! Whether one version of a service answers worse than another.
//!
//! A bad answer is a failure of the endpoint's own, or one that took several times as long as
//! the baseline's do on the route. The detector adds up the evidence of each answer that the
//! candidate's are bad more often than the baseline's, and starts again from nothing where
//! it speaks for the candidate, so that one that turns bad late is found as soon as one that
//! was bad from the start.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Times the baseline's mean time from which on an answer is bad.
const SLOW: f64 = 3.0;
/// Time in which no answer counts as slow: that of a turn of a busy instance.
const QUICK: Duration = Duration::from_millis(50);
/// Answers of the baseline without which no answer counts as slow.
const USUAL: u32 = 20;
/// Part of its sound answers that a worse version is taken to spoil at the least.
const HARM: f64 = 0.15;
/// Bad answers of so many that the baseline is given, until it has shown its own.
const PRIOR: (f64, f64) = (1.0, 30.0);
/// Evidence, as a logarithm, that is certain: a sound version shows it in one of some 160,000
/// answers.
const CERTAIN: f64 = 12.0;
/// Evidence from which on a version is suspected.
const SUSPECT: f64 = CERTAIN / 3.0;

/// Answers counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All of them.
    pub runs: u32,
    /// Bad ones.
    pub bad: u32,
    /// Microseconds that they took together.
    pub micros: u64,
}

impl Count {
    /// Counts an answer; `usual` are those of the baseline on the same route.
    pub fn add(&mut self, took: Duration, failed: bool, usual: Self) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let is_slow = usual.runs >= USUAL && took > usual.mean().mul_f64(SLOW).max(QUICK);
        self.runs = self.runs.saturating_add(1);
        self.bad = self.bad.saturating_add(u32::from(failed || is_slow));
        self.micros = self.micros.saturating_add(micros);
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, rest: Self) -> Self {
        Self {
            runs: self.runs.saturating_add(rest.runs),
            bad: self.bad.saturating_add(rest.bad),
            micros: self.micros.saturating_add(rest.micros),
        }
    }

    /// What was counted after `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            runs: self.runs.saturating_sub(earlier.runs),
            bad: self.bad.saturating_sub(earlier.bad),
            micros: self.micros.saturating_sub(earlier.micros),
        }
    }

    /// Mean time of an answer.
    #[must_use]
    pub fn mean(self) -> Duration {
        Duration::from_micros(self.micros) / self.runs.max(1)
    }
}

/// Evidence that a version is worse on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Detector {
    /// Logarithm of how much likelier the answers are if it is worse.
    evidence: f64,
}

impl Detector {
    /// The candidate gave these answers more; `baseline` are all of the baseline's.
    pub fn record(&mut self, new: Count, baseline: Count) {
        let (bad, runs) = PRIOR;
        let sound = (f64::from(baseline.bad) + bad) / (f64::from(baseline.runs) + runs);
        let sound = sound.min(0.95);
        let worse = sound + HARM * (1.0 - sound);
        let good = f64::from(new.runs.saturating_sub(new.bad));
        let evidence =
            f64::from(new.bad) * (worse / sound).ln() + good * ((1.0 - worse) / (1.0 - sound)).ln();
        self.evidence = (self.evidence + evidence).max(0.0);
    }

    /// Whether the difference is certain.
    #[must_use]
    pub fn is_certain(self) -> bool {
        self.evidence >= CERTAIN
    }

    /// Whether a difference is likely.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        self.evidence >= SUSPECT
    }
}
