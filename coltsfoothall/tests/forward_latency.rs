//! Fit of the latency model to the answers of engines.

use std::time::Duration;

use coltsfoothall::forward::latency::{Model, Sample, Settings};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// True coefficients of an engine, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Truth {
    start: f64,
    read: f64,
    pairs: f64,
    per_open: f64,
}

impl Truth {
    fn wait(self, sample: Sample) -> f64 {
        self.start
            + self.read * sample.tokens as f64
            + self.pairs * sample.pairs as f64 / 1e6
            + self.per_open * f64::from(sample.open)
    }
}

/// A request of a mixed load: many short prompts, some of tens of thousands of tokens.
fn sample(random: &mut Pcg64Mcg) -> Sample {
    let long = random.random_bool(0.2);
    let own: u64 = if long {
        random.random_range(4_000..40_000)
    } else {
        random.random_range(100..2_000)
    };
    let queued: u64 = random.random_range(0..12_000);
    Sample {
        tokens: own + queued,
        pairs: own * own + queued * 2_000,
        open: random.random_range(0..40),
    }
}

/// Mean relative error of the expected time.
fn error(model: &Model, truth: Truth, random: &mut Pcg64Mcg) -> f64 {
    let errors = (0..200).map(|_| {
        let sample = sample(random);
        let expected = model.first_event(sample).as_micros() as f64;
        (expected - truth.wait(sample)).abs() / truth.wait(sample)
    });
    errors.sum::<f64>() / 200.0
}

fn learn(model: &mut Model, truth: Truth, answers: usize, random: &mut Pcg64Mcg) {
    for _ in 0..answers {
        let sample = sample(random);
        let noise = random.random_range(0.8..1.25);
        model.record(
            sample,
            Duration::from_micros((truth.wait(sample) * noise) as u64),
        );
    }
}

#[test]
fn assumed_at_first() {
    let settings = Settings::default();
    let model = Model::new(settings);
    let empty = model.first_event(Sample::default());
    assert_eq!(empty, Duration::from_micros(settings.base_us as u64));
    let read = model.prefill(1_000, 0);
    assert!(
        (read - settings.us_per_token * 1_000.0).abs() < 1.0,
        "{read}"
    );
}

/// Engines whose cost of a further request in the batch differs sevenfold are told apart within the
/// answers that one instance of six sees in 1, 5 and 20 s of a load of 120 requests per second.
#[test]
fn unlike_engines() {
    let fast = Truth {
        start: 60_000.0,
        read: 10.9,
        pairs: 350.0,
        per_open: 730.0,
    };
    let slow = Truth {
        start: 20_000.0,
        read: 32.0,
        pairs: 100.0,
        per_open: 100.0,
    };
    for (seed, truth) in [(1, fast), (2, slow), (3, fast), (4, slow)] {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut model = Model::new(Settings::default());
        for (answers, max_error) in [(20, 0.35), (80, 0.15), (300, 0.10)] {
            learn(&mut model, truth, answers, &mut random);
            let error = error(&model, truth, &mut random);
            assert!(error < max_error, "seed {seed} after {answers}: {error}");
        }
        let read = model.prefill(1_000, 0) / 1e3;
        assert!(
            (0.8..1.25).contains(&(read / truth.read)),
            "seed {seed}: {read} of {}",
            truth.read
        );
    }
}

/// With one answer in fifteen stalled for seconds, the mean error stays within a half.
#[test]
fn stalls_bounded() {
    let truth = Truth {
        start: 60_000.0,
        read: 10.9,
        pairs: 350.0,
        per_open: 730.0,
    };
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut model = Model::new(Settings::default());
    for _ in 0..30 {
        learn(&mut model, truth, 14, &mut random);
        model.record(sample(&mut random), Duration::from_secs(4));
    }
    let error = error(&model, truth, &mut random);
    assert!(error < 0.5, "{error}");
}

/// An overload as seen by one of many instances: the queue of the others is not known yet, and
/// batches grow with it. The batch coefficient, from which loads are computed, must stay within
/// three times the true one.
#[test]
fn unseen_queue() {
    let truth = Truth {
        start: 60_000.0,
        read: 10.9,
        pairs: 350.0,
        per_open: 850.0,
    };
    for seed in 0..5 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut model = Model::new(Settings::default());
        learn(&mut model, truth, 40, &mut random);
        for _ in 0..80 {
            let mut seen = sample(&mut random);
            seen.open = random.random_range(5..40);
            let unseen = f64::from(seen.open) * random.random_range(0.0..10_000.0);
            let took = truth.wait(seen) + unseen;
            model.record(seen, Duration::from_micros(took as u64));
        }
        let event = model.event();
        assert!(event < 3.0 * truth.per_open, "seed {seed}: {event}");
    }
}

/// Guards against a work estimate that stays at the prior for engines that cost far more: too few
/// endpoints would be ordered for them.
#[test]
fn costly_engine() {
    let truth = Truth {
        start: 20_000.0,
        read: 32.0,
        pairs: 100.0,
        per_open: 500.0,
    };
    let mut random = Pcg64Mcg::seed_from_u64(6);
    let mut model = Model::new(Settings::default());
    for _ in 0..600 {
        let sample = sample(&mut random);
        let took = truth.wait(sample) * random.random_range(0.8..1.25);
        model.record_cost(sample, Duration::from_micros(took as u64), false);
    }
    let read = model.prefill(1_000, 0) / 1e3 / truth.read;
    assert!((1.0 / 1.5..1.5).contains(&read), "{read}");
}

proptest! {
    /// For any answers, no coefficient is negative and the expected time is finite.
    #[test]
    fn coefficients_stay_valid(answers in proptest::collection::vec(
        (0_u64..200_000, 0_u64..20_000_000_000, 0_u32..2_000, 0_u64..120_000_000), 1..200)) {
        let mut model = Model::new(Settings::default());
        for (tokens, pairs, open, took) in answers {
            let sample = Sample { tokens, pairs, open };
            model.record(sample, Duration::from_micros(took));
            prop_assert!(model.first_event(sample) < Duration::from_secs(86_400));
            prop_assert!(model.prefill(1, 0) >= 0.0 && model.event() >= 0.0);
            prop_assert!(model.prefill(1, 1).is_finite() && model.event().is_finite());
        }
    }
}
