//! The comparisons that docs/POLICY.md reports.

use std::fmt::Write;

use coltsfoothall::choice;
use coltsfoothall::weight::Weights;

use crate::own;
use crate::report;
use crate::scenario::{Condition, Scenario};
use crate::trial::{self, Choice, Record, Trial};

/// Most engines that are tried, as a multiple of today's.
const MOST: usize = 3;
/// Part of the requests that the target is held for.
const HELD: f64 = 0.95;

/// What is compared on.
#[derive(Debug, Clone)]
pub struct Study {
    /// The workload.
    pub scenario: Scenario,
    /// Engines to begin with.
    pub engines: usize,
    /// Seeds to run, from 1.
    pub seeds: u64,
    /// Threads to run them on.
    pub threads: usize,
}

impl Study {
    fn run(&self, choice: &Choice, condition: Condition, engines: usize) -> Vec<Record> {
        let trial = |seed| Trial {
            choice: choice.clone(),
            condition,
            engines,
            seed,
        };
        let trials: Vec<Trial> = (1..=self.seeds).map(trial).collect();
        trial::run_all(&self.scenario, &trials, self.threads)
    }

    /// Whether every seed holds the target.
    fn holds(&self, records: &[Record]) -> bool {
        records.iter().all(|record| record.score.held() >= HELD)
    }
}

/// Every policy under every condition.
#[must_use]
pub fn compare(study: &Study) -> String {
    let mut text = format!("{}\n", report::HEAD);
    for condition in Condition::ALL {
        for choice in Choice::all() {
            let records = study.run(&choice, condition, study.engines);
            let name = condition.name();
            let row = report::row(name, choice.name(), study.engines, &records);
            line(&mut text, &row);
        }
    }
    text
}

/// Fewest engines with which each policy holds the target in the calm.
#[must_use]
pub fn fewest(study: &Study) -> String {
    let mut text = format!("{}\n", report::HEAD);
    for choice in Choice::all() {
        let mut last = None;
        for engines in 1..=study.scenario.engines * MOST {
            let records = study.run(&choice, Condition::Calm, engines);
            let holds = study.holds(&records);
            last = Some((engines, holds, records));
            if holds {
                break;
            }
        }
        if let Some((engines, holds, records)) = last {
            let name = if holds { "holds" } else { "does not hold" };
            line(
                &mut text,
                &report::row(name, choice.name(), engines, &records),
            );
        }
    }
    text
}

/// The project's policy with one thing left out at a time.
#[must_use]
pub fn ablate(study: &Study) -> String {
    let mut text = format!("{}\n", report::HEAD);
    for condition in [Condition::Calm, Condition::Reclaim, Condition::Stale] {
        for (name, settings) in variants() {
            let choice = Choice::Own(Box::new(settings));
            let records = study.run(&choice, condition, study.engines);
            let row = report::row(condition.name(), name, study.engines, &records);
            line(&mut text, &row);
        }
    }
    text
}

/// Times to the first token with the large workspaces calm, flooding and away.
#[must_use]
pub fn flood(study: &Study) -> String {
    let mut text = format!("{}\n", report::GROUP_HEAD);
    let without = own::Settings {
        no_gate: true,
        ..own::Settings::default()
    };
    let own = Choice::Own(Box::default());
    let open = Choice::Own(Box::new(without));
    for (name, choice) in [("coltsfoothall", &own), ("without the gate", &open)] {
        for condition in [Condition::Alone, Condition::Calm, Condition::Flood] {
            let records = study.run(choice, condition, study.engines);
            text += &report::groups(&study.scenario, condition.name(), name, &records);
        }
    }
    text
}

/// What is left out, with the settings that do so.
fn variants() -> Vec<(&'static str, own::Settings)> {
    let weights = |weights: Weights| own::Settings {
        choice: choice::Settings {
            weights,
            ..choice::Settings::default()
        },
        ..own::Settings::default()
    };
    let all = Weights::default;
    vec![
        ("all", own::Settings::default()),
        (
            "queued 0",
            weights(Weights {
                queued: 0.0,
                ..all()
            }),
        ),
        (
            "uncached 100",
            weights(Weights {
                uncached: 100.0,
                home: 25.0,
                ..all()
            }),
        ),
        ("home 0", weights(Weights { home: 0.0, ..all() })),
        (
            "apart 0",
            weights(Weights {
                apart: 0.0,
                ..all()
            }),
        ),
        ("open 0", weights(Weights { open: 0.0, ..all() })),
        (
            "open 0, queued 0",
            weights(Weights {
                open: 0.0,
                queued: 0.0,
                ..all()
            }),
        ),
        ("hop 0", weights(Weights { hop: 0.0, ..all() })),
        (
            "no load reports",
            own::Settings {
                no_reports: true,
                ..own::Settings::default()
            },
        ),
        (
            "no cache events",
            own::Settings {
                no_events: true,
                ..own::Settings::default()
            },
        ),
        (
            "no gate",
            own::Settings {
                no_gate: true,
                ..own::Settings::default()
            },
        ),
    ]
}

fn line(text: &mut String, row: &str) {
    let _always_ok = writeln!(text, "{row}");
}
