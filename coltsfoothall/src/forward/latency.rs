//! How fast the engines of a service are, learned from the answers seen here.
//!
//! The time to a first event is taken as a sum: a start, a share for each token of the
//! prompts that are read before it and of its own, a share for each pair of a token and
//! one before it (long prompts cost more than in proportion), and a share for each request
//! in the batch. The shares are the least-squares fit of the answers seen lately, drawn
//! towards settings that hold until answers are there. An estimate is worth as much as a
//! constant set right, and a constant that is right for one engine is wrong for the next:
//! engines served so far differ sevenfold in what a request of the batch costs.

use std::fmt;
use std::time::Duration;

use nalgebra::{Matrix4, Vector4};

/// Part of its weight that an older answer keeps beside a newer one: a few hundred answers
/// count, which one instance sees in ten seconds or so.
const KEPT: f64 = 0.996;
/// Answers that what was assumed at first weighs as much as, for each share. A batch grows
/// when endpoints fall behind, so what waits unseen is easily taken for the batch's share:
/// with 6 it went from 0.5 to 5 ms in the first overload of 67 instances, and the load that
/// is reckoned with it from 28 to 82 endpoints' time.
const ASSUMED: [f64; 4] = [6.0, 6.0, 6.0, 120.0];
/// An answer counts at most as this many times what was expected, so that an endpoint that
/// stalls does not make all look slow.
const OUTLIER: f64 = 3.0;
/// Tokens that one unit of the fit stands for; with it all units are of one size.
const TOKENS: f64 = 1e4;
/// Pairs of tokens that one unit of the fit stands for.
const PAIRS: f64 = 1e8;
/// Requests in the batch that one unit of the fit stands for.
const BATCH: f64 = 20.0;

/// What a first event has to wait for at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Tokens of prompts that are read before it, its own included.
    pub tokens: u64,
    /// Pairs of each of these tokens with those before it in its prompt, counted as squares.
    pub pairs: u64,
    /// Requests beside it.
    pub open: u32,
}

impl Sample {
    fn units(self) -> Vector4<f64> {
        Vector4::new(
            1.0,
            self.tokens as f64 / TOKENS,
            self.pairs as f64 / PAIRS,
            f64::from(self.open) / BATCH,
        )
    }
}

/// What is assumed of engines until their answers are seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Microseconds to a first event with nothing to read.
    pub start: f64,
    /// Microseconds in which a token of a prompt is read.
    pub read: f64,
    /// Microseconds for a million pairs of tokens.
    pub pairs: f64,
    /// Microseconds that each request beside it adds to an event.
    pub beside: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            start: 20_000.0,
            read: 14.0,
            pairs: 100.0,
            beside: 500.0,
        }
    }
}

/// The fit for one service.
#[derive(Debug, Clone)]
pub struct Model {
    assumed: Vector4<f64>,
    /// Weighted sums of the products of two units.
    products: Matrix4<f64>,
    /// Weighted sums of the products of a unit and the time that it took.
    times: Vector4<f64>,
    /// Microseconds for each unit: start, tokens, pairs, batch.
    shares: Vector4<f64>,
}

impl Model {
    /// What is assumed, and nothing seen.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let assumed = Vector4::new(
            settings.start,
            settings.read * TOKENS,
            settings.pairs * PAIRS / 1e6,
            settings.beside * BATCH,
        );
        Self {
            assumed,
            products: Matrix4::zeros(),
            times: Vector4::zeros(),
            shares: assumed,
        }
    }

    /// Expected time to a first event.
    #[must_use]
    pub fn first_event(&self, sample: Sample) -> Duration {
        Duration::from_micros(self.micros(sample) as u64)
    }

    /// Microseconds of an endpoint's time that reading takes.
    #[must_use]
    pub fn prefill(&self, tokens: u64, pairs: u64) -> f64 {
        tokens as f64 / TOKENS * self.shares[1] + pairs as f64 / PAIRS * self.shares[2]
    }

    /// Microseconds of an endpoint's time that one event of an answer takes: what a request
    /// in the batch adds to the events of the others.
    #[must_use]
    pub fn event(&self) -> f64 {
        self.shares[3] / BATCH
    }

    /// An answer began after this time.
    pub fn record(&mut self, sample: Sample, took: Duration) {
        let units = sample.units();
        let most = self.micros(sample) * OUTLIER;
        let took = (took.as_micros() as f64).min(most);
        self.products = self.products * KEPT + units * units.transpose();
        self.times = self.times * KEPT + units * took;
        self.fit();
    }

    fn micros(&self, sample: Sample) -> f64 {
        sample.units().dot(&self.shares)
    }

    /// Solves for the shares; one that would be below nothing is nothing.
    fn fit(&mut self) {
        let weight = Matrix4::from_diagonal(&Vector4::from(ASSUMED));
        let products = self.products + weight;
        let times = self.times + weight * self.assumed;
        // Positive definite, since what is assumed has weight; figures that are no longer
        // finite leave the fit before.
        if let Some(solver) = products.cholesky() {
            self.shares = solver.solve(&times).map(|share| share.max(0.0));
        }
    }
}

impl fmt::Display for Model {
    /// Microseconds: to start, for a thousand tokens, for a million pairs, for a request
    /// beside.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [start, tokens, pairs, batch] = self.shares.into();
        let (tokens, pairs) = (tokens * 1e3 / TOKENS, pairs * 1e6 / PAIRS);
        let beside = batch / BATCH;
        write!(f, "{start:.0}/{tokens:.0}/{pairs:.0}/{beside:.0}")
    }
}
