//! Runs of policies in virtual time.

use std::path::Path;

use coltsfoothall::size::Millis;
use coltsfoothall_call::baseline::Pick;
use coltsfoothall_call::scenario::{Condition, Scenario};
use coltsfoothall_call::score::Score;
use coltsfoothall_call::trial::{Choice, Trial};
use coltsfoothall_call::workload;

/// The workload of that name, cut to a short run.
fn short(name: &str) -> Scenario {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../workloads");
    let mut scenario = Scenario::read(&root.join(name)).expect("the file is a workload");
    scenario.length = Millis(20_000);
    scenario.warmup = Millis(5_000);
    scenario
}

fn run(scenario: &Scenario, choice: Choice, condition: Condition, seed: u64) -> Score {
    let trial = Trial {
        choice,
        condition,
        engines: scenario.engines,
        seed,
    };
    trial.run(scenario).score
}

#[test]
fn every_request_ends() {
    let scenario = short("bertolazzi.yaml");
    for condition in Condition::ALL {
        let asked = workload::draw(&scenario, condition, 1).len() as u64;
        for choice in Choice::all() {
            let name = choice.name();
            let score = run(&scenario, choice, condition, 1);
            assert_eq!(score.requests, asked, "{name}, {condition:?}");
        }
    }
}

#[test]
fn prompts_without_blocks() {
    let scenario = short("equipaggi.yaml");
    let asked = workload::draw(&scenario, Condition::Calm, 1).len() as u64;
    for choice in Choice::all() {
        let name = choice.name();
        let score = run(&scenario, choice, Condition::Calm, 1);
        assert_eq!(score.requests, asked, "{name}");
    }
}

#[test]
fn same_seed_same_run() {
    let scenario = short("bertolazzi.yaml");
    let figures = |seed| {
        let score = run(
            &scenario,
            Choice::Own(Box::default()),
            Condition::Refused,
            seed,
        );
        (score.read, score.requests, score.held().to_bits())
    };
    assert_eq!(figures(3), figures(3));
    assert_ne!(figures(3), figures(4));
}

#[test]
fn reads_less() {
    let scenario = short("vltavin.yaml");
    let own = run(&scenario, Choice::Own(Box::default()), Condition::Calm, 2);
    let least = run(&scenario, Choice::Baseline(Pick::Least), Condition::Calm, 2);
    assert!(own.read_per_thousand() * 1.5 < least.read_per_thousand());
}

#[test]
fn all_files_read() {
    for name in ["vltavin.yaml", "bertolazzi.yaml", "equipaggi.yaml"] {
        assert!(!short(name).workspaces.is_empty());
    }
    let missing = Scenario::read(Path::new("no-such-workload.yaml")).unwrap_err();
    assert!(missing.to_string().contains("no-such-workload.yaml"));
}
