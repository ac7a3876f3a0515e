//! Cost of the meter and of the predictors of the forecast on synthetic loads: the table of
//! docs/design/overload.md.
//!
//! `cargo bench -p coltsfoothall --bench forecast`

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::forecast::{Forecast, Predictor, Settings};
use coltsfoothall::forward::order::{self, Load, Meter};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK_MS: u64 = 100;
const START_MS: u64 = 4_000;
const INSTANCES: u64 = 29;
const MAX_UTILIZATION: f64 = 0.6;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

/// A load of 50 endpoints in a wave of 30 % over 40 s.
fn wave(millis: u64) -> f64 {
    50.0 * (1.0 + 0.3 * (millis as f64 / 40_000.0 * std::f64::consts::TAU).sin())
}

/// Load and faults beside the wave.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Shape {
    Wave,
    Bursts,
    Workspace,
    Restart,
    Silence,
}

impl Shape {
    fn load(self, millis: u64) -> f64 {
        let since = |period: u64| (millis + 7_000) % period;
        wave(millis)
            * match self {
                Self::Bursts if since(27_000) < 3_500 => 1.6,
                Self::Workspace if since(31_000) < 6_500 => 1.3,
                _ => 1.0,
            }
    }

    fn is_silent(self, millis: u64, instance: u64) -> bool {
        self == Self::Silence && instance < 12 && millis % 17_000 < 1_000 + instance * 300
    }

    fn boot(self, millis: u64, instance: u64) -> u64 {
        let restarts = self == Self::Restart && millis >= 60_000;
        instance + if restarts { 1_000 } else { 0 }
    }
}

/// Reports the totals of instances, and each tick after them.
fn play(shape: Shape, seed: u64, mut report: impl FnMut(Time, u64, u64, bool)) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut totals = [0_u64; INSTANCES as usize];
    for millis in (0..180_000).step_by(TICK_MS as usize) {
        if shape == Shape::Restart && millis == 60_000 {
            totals = [0; INSTANCES as usize];
        }
        // Poisson groups of 3 requests, of which one in five takes five times the work of others.
        let mean = shape.load(millis) * TICK_MS as f64 * 1e3 / 3.0 / 72_000.0;
        let mut left = random.random::<f64>().ln() + mean;
        while left > 0.0 {
            for _ in 0..3 {
                let work = if random.random_bool(0.2) {
                    200_000
                } else {
                    40_000
                };
                totals[random.random_range(0..totals.len())] += work;
            }
            left += random.random::<f64>().ln();
        }
        for instance in 0..INSTANCES {
            let due = (millis / TICK_MS + instance).is_multiple_of(3);
            if due && !shape.is_silent(millis, instance) {
                let total = totals[instance as usize];
                report(at(millis), shape.boot(millis, instance), total, false);
            }
        }
        report(at(millis), 0, 0, true);
    }
}

/// Endpoint-seconds ordered, seconds in which the load exceeds what the endpoints there carry, and
/// endpoint-seconds that are missing then, in 160 s.
fn cost(shape: Shape, seed: u64, predictor: Option<Settings>) -> [f64; 3] {
    let mut meter = Meter::new(at(0), order::Settings::default());
    let settings = predictor.unwrap_or_default();
    let mut forecast = Forecast::new(at(0), settings);
    let need = |load: f64| (load / MAX_UTILIZATION).ceil() as usize;
    let mut ready: Vec<u64> = vec![0; need(50.0)];
    let (mut lower_since, mut ordered, mut late, mut missing) = (0, 0.0, 0.0, 0.0);
    let step = |now: Time, boot: u64, total: u64, is_tick: bool| {
        if !is_tick {
            meter.merge_work(now, boot, total);
            forecast.merge_work(now, boot, total);
            return;
        }
        let millis = now.as_micros() / 1_000;
        let load = if predictor.is_some() {
            forecast.load(now)
        } else {
            meter.load(now)
        };
        let Some(Load {
            value,
            settled: true,
        }) = load
        else {
            return;
        };
        let wanted = need(value);
        if wanted >= ready.len() {
            ready.resize(wanted, millis + START_MS);
            lower_since = millis;
        } else if millis - lower_since >= 1_000 {
            ready.truncate(wanted);
        }
        if millis >= 20_000 {
            let there = ready.iter().filter(|ready| **ready <= millis).count();
            ordered += ready.len() as f64 * TICK_MS as f64 / 1e3;
            missing += (shape.load(millis) / MAX_UTILIZATION - there as f64).max(0.0)
                * TICK_MS as f64
                / 1e3;
            if shape.load(millis) > there as f64 * MAX_UTILIZATION {
                late += TICK_MS as f64 / 1e3;
            }
        }
    };
    play(shape, seed, step);
    [ordered, late, missing]
}

fn main() {
    let shapes = [
        Shape::Wave,
        Shape::Bursts,
        Shape::Workspace,
        Shape::Restart,
        Shape::Silence,
    ];
    let forecast = |predictor| {
        Some(Settings {
            predictor,
            ..Settings::default()
        })
    };
    for (name, settings) in [
        ("Meter", None),
        ("Mean", forecast(Predictor::Mean)),
        ("Line", forecast(Predictor::Line)),
        ("Median", forecast(Predictor::Median)),
    ] {
        let mut sums = [0.0; 3];
        let mut row = format!("| {name} |");
        for shape in shapes {
            let costs = [1, 2, 3].map(|seed| cost(shape, seed, settings));
            let mean = |index: usize| costs.iter().map(|cost| cost[index]).sum::<f64>() / 3.0;
            let means = [mean(0), mean(1), mean(2)];
            row += &format!(" {:.0}, {:.0}, {:.0} |", means[0], means[1], means[2]);
            sums = [0, 1, 2].map(|index| sums[index] + means[index]);
        }
        println!("{row} {:.0}, {:.0}, {:.0} |", sums[0], sums[1], sums[2]);
    }
}
