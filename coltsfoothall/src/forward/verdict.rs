//! Detection of a version of a service that answers worse than another.
//!
//! A bad answer is a failure of the endpoint, or one that takes several times as long as the
//! baseline's answers on the same route. The detector is a cumulative sum (CUSUM) of the
//! log-likelihood ratio that the candidate's answers are bad more often than the baseline's. The
//! sum never falls below zero, so that a candidate that degrades late is found as fast as one that
//! was bad from the start.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An answer that takes this multiple of the baseline's mean time is slow.
const SLOW_RATIO: f64 = 3.0;
/// An answer within this time never counts as slow; it is the time of one scheduling round of a
/// busy instance.
const MIN_SLOW_TIME: Duration = Duration::from_millis(50);
/// Answers of the baseline that are required before an answer can count as slow.
const MIN_BASELINE_RUNS: u32 = 20;
/// Smallest share of otherwise good answers that a worse version is assumed to turn bad.
const MIN_HARM: f64 = 0.15;
/// Prior of the baseline, as bad answers and all answers.
const PRIOR: (f64, f64) = (1.0, 30.0);
/// Evidence, as a natural logarithm, that is conclusive. A version as good as the baseline reaches
/// it in one of some 160,000 answers.
const CERTAIN_THRESHOLD: f64 = 12.0;
/// Evidence from which on a version is suspect.
const SUSPECT_THRESHOLD: f64 = CERTAIN_THRESHOLD / 3.0;

/// Counts of answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All answers.
    pub runs: u32,
    /// Bad answers.
    pub bad: u32,
    /// Total time of all answers in microseconds.
    pub micros: u64,
}

impl Count {
    /// Counts an answer; `baseline` are the baseline's answers on the same route.
    pub fn add(&mut self, took: Duration, failed: bool, baseline: Self) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let is_slow = baseline.runs >= MIN_BASELINE_RUNS
            && took > baseline.mean().mul_f64(SLOW_RATIO).max(MIN_SLOW_TIME);
        self.runs = self.runs.saturating_add(1);
        self.bad = self.bad.saturating_add(u32::from(failed || is_slow));
        self.micros = self.micros.saturating_add(micros);
    }

    /// Sum of both counts.
    #[must_use]
    pub fn plus(self, rest: Self) -> Self {
        Self {
            runs: self.runs.saturating_add(rest.runs),
            bad: self.bad.saturating_add(rest.bad),
            micros: self.micros.saturating_add(rest.micros),
        }
    }

    /// Difference to an earlier count.
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

/// Accumulated evidence that the candidate is worse on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Detector {
    /// Log-likelihood ratio of a worse candidate to an equally good one.
    evidence: f64,
}

impl Detector {
    /// Adds the candidate's answers since the last call; `baseline` are all of the baseline's.
    pub fn record(&mut self, new: Count, baseline: Count) {
        let (bad, runs) = PRIOR;
        let usual = (f64::from(baseline.bad) + bad) / (f64::from(baseline.runs) + runs);
        let usual = usual.min(0.95);
        let worse = usual + MIN_HARM * (1.0 - usual);
        let good = f64::from(new.runs.saturating_sub(new.bad));
        let evidence =
            f64::from(new.bad) * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln();
        self.evidence = (self.evidence + evidence).max(0.0);
    }

    /// Whether it is certain that the candidate is worse.
    #[must_use]
    pub fn is_certain(self) -> bool {
        self.evidence >= CERTAIN_THRESHOLD
    }

    /// Whether it is likely that the candidate is worse.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        self.evidence >= SUSPECT_THRESHOLD
    }
}
