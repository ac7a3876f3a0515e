//! Runs of policies on scenarios, several at a time.

use std::sync::Mutex;
use std::thread;

use coltsfoothall::size::Tokens;

use crate::baseline::{Baseline, Pick};
use crate::model::Model;
use crate::own::{self, Own};
use crate::policy::Policy;
use crate::scenario::{Condition, Scenario};
use crate::score::Score;
use crate::workload;

/// A policy and its settings.
#[derive(Debug, Clone)]
pub enum Choice {
    /// One of the usual ones.
    Baseline(Pick),
    /// The project's.
    Own(Box<own::Settings>),
}

impl Choice {
    /// All policies, the project's last.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let picks = [Pick::RoundRobin, Pick::Least, Pick::Hash, Pick::TwoChoice];
        let mut all: Vec<Self> = picks.map(Self::Baseline).into();
        all.push(Self::Own(Box::default()));
        all
    }

    /// Name for reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Baseline(Pick::RoundRobin) => "round robin",
            Self::Baseline(Pick::Least) => "least requests",
            Self::Baseline(Pick::Hash) => "prefix hash",
            Self::Baseline(Pick::TwoChoice) => "two-choice",
            Self::Own(_) => "coltsfoothall",
        }
    }

    fn policy(&self, scenario: &Scenario, requests: usize, seed: u64) -> Box<dyn Policy> {
        match self {
            Self::Baseline(pick) => {
                Box::new(Baseline::new(*pick, scenario.entries, requests, seed))
            }
            Self::Own(settings) => {
                let settings = settings.as_ref().clone();
                Box::new(Own::new(scenario, settings, requests, seed))
            }
        }
    }
}

/// One run to make.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The policy.
    pub choice: Choice,
    /// What goes wrong.
    pub condition: Condition,
    /// Engines to begin with.
    pub engines: usize,
    /// Seed of the requests and of all that is random.
    pub seed: u64,
}

/// What a run gave, and the fewest tokens that it had to read.
#[derive(Debug, Clone)]
pub struct Record {
    /// The figures.
    pub score: Score,
    /// Fewest prompt tokens to read.
    pub least: Tokens,
}

impl Trial {
    /// Makes the run.
    #[must_use]
    pub fn run(&self, scenario: &Scenario) -> Record {
        let requests = workload::draw(scenario, self.condition, self.seed);
        let mut policy = self.choice.policy(scenario, requests.len(), self.seed);
        let model = Model::new(
            scenario,
            self.condition,
            &requests,
            policy.as_mut(),
            self.engines,
            self.seed,
        );
        Record {
            score: model.run(),
            least: workload::least(scenario, &requests),
        }
    }
}

/// Makes runs on so many threads; the records are in the order of the trials.
///
/// # Panics
/// If a run panics.
#[must_use]
pub fn run_all(scenario: &Scenario, trials: &[Trial], threads: usize) -> Vec<Record> {
    let next = Mutex::new(0..trials.len());
    let records = Mutex::new(vec![None; trials.len()]);
    let work = || {
        loop {
            let place = next.lock().expect("no run panicked").next();
            let Some(place) = place else { return };
            let record = trials[place].run(scenario);
            records.lock().expect("no run panicked")[place] = Some(record);
        }
    };
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let records = records.into_inner().expect("no run panicked");
    let made = records
        .into_iter()
        .map(|record| record.expect("each trial was made"));
    made.collect()
}
