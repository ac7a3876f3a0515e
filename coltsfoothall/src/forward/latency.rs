//! Latency model of a service's engines, fitted to the answers seen by this instance.
//!
//! The time to a first event is modeled as a sum: a constant, a coefficient for each prompt token
//! that is prefilled before it (its own prompt included), one for each pair of a token and an
//! earlier one (the cost of long prompts grows faster than their length), and one for each
//! request in the batch. The coefficients are a regularized least-squares fit of recent answers:
//! the prior is given by settings, which apply alone until there are answers. The fit is as
//! accurate as well-chosen constants, and constants that suit one engine do not suit the next:
//! the cost of a request in the batch differs sevenfold among the engines served so far.

use std::fmt;
use std::time::Duration;

use nalgebra::{Matrix4, Vector4};

/// Factor by which each new answer decays the weight of the older ones. The fit then rests on a
/// few hundred answers, which one instance sees in some ten seconds.
const DECAY: f64 = 0.996;
/// Weight of the prior of each coefficient, in answers. A batch grows when endpoints fall behind,
/// so that unobserved queueing is easily attributed to the batch coefficient. With a weight of 6
/// that coefficient rose from 0.5 to 5 ms in the first overload of 67 instances, and the load
/// that is computed from it from 28 to 82 endpoints' time.
const PRIOR_WEIGHT: [f64; 4] = [6.0, 6.0, 6.0, 120.0];
/// An answer time is capped at this multiple of the expected one, so that one stalled endpoint
/// does not make all of them appear slow.
const MAX_RATIO: f64 = 3.0;
/// Weight in [`Model::record_cost`] of an answer that took longer than expected: waiting only ever
/// adds time, so the lower answers are closer to the cost itself.
const LATE_WEIGHT: f64 = 0.1;
/// Cap of an answer time in [`Model::record_cost`], as a multiple of the expected one.
const MAX_COST_RATIO: f64 = 1.25;
/// Weight in [`Model::record_cost`] of an answer of a crowded engine. It is not zero, so that
/// something is learned of engines that are never uncrowded.
const CROWDED_WEIGHT: f64 = 0.02;
/// Tokens per unit of the fit. The units bring all inputs to a similar magnitude.
const TOKENS_PER_UNIT: f64 = 1e4;
/// Token pairs per unit of the fit.
const PAIRS_PER_UNIT: f64 = 1e8;
/// Requests in the batch per unit of the fit.
const REQUESTS_PER_UNIT: f64 = 20.0;

/// Work at an endpoint that precedes a first event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Prompt tokens that are prefilled before it, those of its own prompt included.
    pub tokens: u64,
    /// Token pairs in the attention of these prefills, as differences of squares.
    pub pairs: u64,
    /// Other requests in the batch.
    pub open: u32,
}

impl Sample {
    fn units(self) -> Vector4<f64> {
        Vector4::new(
            1.0,
            self.tokens as f64 / TOKENS_PER_UNIT,
            self.pairs as f64 / PAIRS_PER_UNIT,
            f64::from(self.open) / REQUESTS_PER_UNIT,
        )
    }
}

/// Prior of the model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Microseconds to a first event without a prefill.
    pub base_us: f64,
    /// Microseconds to prefill one token.
    pub us_per_token: f64,
    /// Microseconds for a million token pairs.
    pub us_per_million_pairs: f64,
    /// Microseconds that each other request in the batch adds to an event.
    pub us_per_request: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            base_us: 20_000.0,
            us_per_token: 14.0,
            us_per_million_pairs: 100.0,
            us_per_request: 500.0,
        }
    }
}

/// Latency model of one service.
#[derive(Debug, Clone)]
pub struct Model {
    prior: Vector4<f64>,
    /// Weighted sum of the outer products of the inputs.
    products: Matrix4<f64>,
    /// Weighted sum of the inputs multiplied by the time taken.
    times: Vector4<f64>,
    /// Microseconds per unit: start, tokens, pairs, batch.
    coefficients: Vector4<f64>,
}

impl Model {
    /// Creates a model without answers, which uses the prior.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let prior = Vector4::new(
            settings.base_us,
            settings.us_per_token * TOKENS_PER_UNIT,
            settings.us_per_million_pairs * PAIRS_PER_UNIT / 1e6,
            settings.us_per_request * REQUESTS_PER_UNIT,
        );
        Self {
            prior,
            products: Matrix4::zeros(),
            times: Vector4::zeros(),
            coefficients: prior,
        }
    }

    /// Expected time to a first event.
    #[must_use]
    pub fn first_event(&self, sample: Sample) -> Duration {
        Duration::from_micros(self.micros(sample) as u64)
    }

    /// Microseconds of an endpoint's time that a prefill takes.
    #[must_use]
    pub fn prefill(&self, tokens: u64, pairs: u64) -> f64 {
        tokens as f64 / TOKENS_PER_UNIT * self.coefficients[1]
            + pairs as f64 / PAIRS_PER_UNIT * self.coefficients[2]
    }

    /// Microseconds of an endpoint's time that one event of an answer takes: the delay that a
    /// request in the batch adds to the events of the others.
    #[must_use]
    pub fn event(&self) -> f64 {
        self.coefficients[3] / REQUESTS_PER_UNIT
    }

    /// Records the measured time to a first event.
    pub fn record(&mut self, sample: Sample, took: Duration) {
        self.record_weighted(sample, took, MAX_RATIO, 1.0);
    }

    /// Records the measured time to a first event in a fit of the cost alone, which waiting at
    /// overloaded engines must not raise. `crowded` tells whether the engine was far enough from
    /// idle that requests may have waited there.
    pub fn record_cost(&mut self, sample: Sample, took: Duration, crowded: bool) {
        let late = took.as_micros() as f64 > self.micros(sample);
        let late_weight = if late { LATE_WEIGHT } else { 1.0 };
        let crowded_weight = if crowded { CROWDED_WEIGHT } else { 1.0 };
        self.record_weighted(sample, took, MAX_COST_RATIO, late_weight * crowded_weight);
    }

    /// Answers decay by the weight of the newer ones, so that light ones do not displace others.
    fn record_weighted(&mut self, sample: Sample, took: Duration, max_ratio: f64, weight: f64) {
        let units = sample.units();
        let max_micros = self.micros(sample) * max_ratio;
        let took = (took.as_micros() as f64).min(max_micros);
        let decay = DECAY.powf(weight);
        self.products = self.products * decay + units * units.transpose() * weight;
        self.times = self.times * decay + units * (took * weight);
        self.fit();
    }

    fn micros(&self, sample: Sample) -> f64 {
        sample.units().dot(&self.coefficients)
    }

    /// Solves for the coefficients; negative ones are set to zero.
    fn fit(&mut self) {
        let weight = Matrix4::from_diagonal(&Vector4::from(PRIOR_WEIGHT));
        let products = self.products + weight;
        let times = self.times + weight * self.prior;
        // The matrix is positive definite, as the prior has weight. If sums are no longer finite,
        // the decomposition fails and the previous fit stays.
        if let Some(solver) = products.cholesky() {
            self.coefficients = solver.solve(&times).map(|value| value.max(0.0));
        }
    }
}

impl fmt::Display for Model {
    /// Microseconds: constant, per thousand tokens, per million pairs, per other request in the
    /// batch.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [start, tokens, pairs, batch] = self.coefficients.into();
        let (tokens, pairs) = (tokens * 1e3 / TOKENS_PER_UNIT, pairs * 1e6 / PAIRS_PER_UNIT);
        let per_request = batch / REQUESTS_PER_UNIT;
        write!(f, "{start:.0}/{tokens:.0}/{pairs:.0}/{per_request:.0}")
    }
}
