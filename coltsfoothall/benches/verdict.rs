//! Compares two methods that detect a worse version, over 1,000 seeds each: the cumulative evidence
//! of all answers, and a threshold on the share of bad answers.
//!
//! Prints for each method and kind of version how often it was detected within 400 answers, and
//! after how many.

use std::time::Duration;

use coltsfoothall::forward::verdict::{Count, Detector};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 1_000;
const ANSWERS: u32 = 400;
/// Answers of the baseline for each of the candidate.
const BASELINE: u32 = 11;
/// Threshold method: share of bad answers above the baseline's, and the answers required.
const EXCESS_THRESHOLD: f64 = 0.1;
const MIN_ANSWERS: u32 = 30;

/// A kind of version: the share that the baseline fails, and the additional share that the candidate
/// fails from some answer on.
struct Kind {
    name: &'static str,
    usual: f64,
    harm: f64,
    from: u32,
}

const KINDS: [Kind; 8] = [
    Kind {
        name: "sound, 0.01 fail",
        usual: 0.01,
        harm: 0.0,
        from: 0,
    },
    Kind {
        name: "sound, 0.14 fail",
        usual: 0.14,
        harm: 0.0,
        from: 0,
    },
    Kind {
        name: "0.15 worse, 0.01 fail",
        usual: 0.01,
        harm: 0.15,
        from: 0,
    },
    Kind {
        name: "0.3 worse, 0.01 fail",
        usual: 0.01,
        harm: 0.3,
        from: 0,
    },
    Kind {
        name: "0.3 worse, 0.14 fail",
        usual: 0.14,
        harm: 0.3,
        from: 0,
    },
    Kind {
        name: "0.8 worse, 0.14 fail",
        usual: 0.14,
        harm: 0.8,
        from: 0,
    },
    Kind {
        name: "0.3 worse from 200, 0.01 fail",
        usual: 0.01,
        harm: 0.3,
        from: 200,
    },
    Kind {
        name: "0.8 worse from 200, 0.14 fail",
        usual: 0.14,
        harm: 0.8,
        from: 200,
    },
];

/// Number of answers after which each method detected the version, if it did.
fn play(kind: &Kind, seed: u64) -> [Option<u32>; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let took = Duration::from_millis(100);
    let (mut baseline, mut candidate) = (Count::default(), Count::default());
    let mut detector = Detector::default();
    let mut found = [None; 2];
    for answer in 1..=ANSWERS {
        for _ in 0..BASELINE {
            baseline.add(took, rng.random_bool(kind.usual), Count::default());
        }
        let harm = if answer > kind.from { kind.harm } else { 0.0 };
        let failed = rng.random_bool(kind.usual) || rng.random_bool(harm);
        let before = candidate;
        candidate.add(took, failed, Count::default());
        detector.record(candidate.since(before), baseline);
        let share = |count: Count| f64::from(count.bad) / f64::from(count.runs);
        let above =
            candidate.runs >= MIN_ANSWERS && share(candidate) > share(baseline) + EXCESS_THRESHOLD;
        let verdicts = [detector.is_certain(), above];
        for (found, now) in found.iter_mut().zip(verdicts) {
            if now && found.is_none() {
                *found = Some(answer);
            }
        }
    }
    found
}

fn main() {
    println!("kind | way | found of {SEEDS} | answers until then: median, 99 in 100");
    for kind in &KINDS {
        let plays: Vec<_> = (0..SEEDS).map(|seed| play(kind, seed)).collect();
        for (method, name) in ["evidence", "threshold"].iter().enumerate() {
            let mut counts: Vec<u32> = plays.iter().filter_map(|found| found[method]).collect();
            counts.sort_unstable();
            let percentile = |percent: usize| {
                counts
                    .get(counts.len() * percent / 100)
                    .copied()
                    .unwrap_or(0)
            };
            println!(
                "{} | {name} | {} | {}, {}",
                kind.name,
                counts.len(),
                percentile(50),
                percentile(99)
            );
        }
    }
}
