//! What a run gave.

use std::time::Duration;

use hdrhistogram::Histogram;

use coltsfoothall::clock::Time;
use coltsfoothall::record::Class;
use coltsfoothall::size::{Price, Tokens};

use crate::scenario::Scenario;
use crate::workload::Request;

/// Longest time in the histograms, in microseconds: an hour.
const LONGEST: u64 = 3_600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole answer.
    Done,
    /// It was given up and its caller told so.
    GivenUp,
    /// Its deadline passed before its answer was whole.
    Late,
}

/// Requests of one workspace and class.
#[derive(Debug, Clone)]
pub struct Group {
    /// Place of the workspace in the scenario.
    pub workspace: usize,
    /// Class.
    pub class: Class,
    /// Requests.
    pub asked: u64,
    /// Whole answers.
    pub done: u64,
    /// Answers inside the target; for batch, within the deadline.
    pub inside: u64,
    /// Requests that were given up.
    pub given_up: u64,
    /// Requests whose deadline passed.
    pub late: u64,
    /// Times to the first token in microseconds.
    pub first: Histogram<u64>,
}

/// A run's figures.
#[derive(Debug, Clone)]
pub struct Score {
    first: Duration,
    between: Duration,
    from: Time,
    /// By workspace and class.
    pub groups: Vec<Group>,
    /// All requests, those of the warm-up included.
    pub requests: u64,
    /// Prompt tokens that the engines read.
    pub read: Tokens,
    /// Tokens made for answers that nobody got.
    pub wasted: Tokens,
    /// Prompt and answer tokens of requests that had to move.
    pub moved: Tokens,
    /// Instances' time and price, in millionths of the currency.
    pub cost: f64,
    /// Length of the measured part over that of the run.
    pub part: f64,
}

impl Score {
    /// Nothing yet.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let mut groups = Vec::new();
        for workspace in 0..scenario.workspaces.len() {
            for class in [Class::Interactive, Class::Batch] {
                groups.push(Group::new(workspace, class));
            }
        }
        Self {
            first: scenario.target.first.duration(),
            between: scenario.target.between.duration(),
            from: Time::START + scenario.warmup.duration(),
            groups,
            requests: 0,
            read: Tokens(0),
            wasted: Tokens(0),
            moved: Tokens(0),
            cost: 0.0,
            part: 1.0 - scenario.warmup.0 as f64 / scenario.length.0 as f64,
        }
    }

    /// Counts a request that ended.
    pub fn request(
        &mut self,
        request: &Request,
        outcome: Outcome,
        first: Option<Duration>,
        between: Option<Duration>,
        made: u64,
    ) {
        self.requests += 1;
        if outcome != Outcome::Done {
            self.wasted = self.wasted.plus(Tokens(made));
        }
        if request.at < self.from {
            return;
        }
        let soon = first.is_some_and(|first| first <= self.first);
        let even = between.is_none_or(|between| between <= self.between);
        let inside = request.class == Class::Batch || soon && even;
        let key = (request.workspace, request.class);
        let place = self
            .groups
            .binary_search_by_key(&key, |group| (group.workspace, group.class));
        let group = &mut self.groups[place.expect("all workspaces and classes have a group")];
        group.asked += 1;
        match outcome {
            Outcome::Done => group.done += 1,
            Outcome::GivenUp => group.given_up += 1,
            Outcome::Late => group.late += 1,
        }
        group.inside += u64::from(outcome == Outcome::Done && inside);
        if let Some(first) = first {
            group.first.saturating_record(first.as_micros() as u64);
        }
    }

    /// Counts a request that had to move, with what has to be read again at most.
    pub fn moved(&mut self, again: Tokens) {
        self.moved = self.moved.plus(again);
    }

    /// Counts an instance.
    pub fn engine(&mut self, span: Duration, price: Price, read: Tokens) {
        self.cost += span.as_secs_f64() / 3_600.0 * price.0 as f64;
        self.read = self.read.plus(read);
    }

    /// Part of the interactive requests that were answered inside the target.
    #[must_use]
    pub fn held(&self) -> f64 {
        let interactive = || {
            self.groups
                .iter()
                .filter(|group| group.class == Class::Interactive)
        };
        let inside: u64 = interactive().map(|group| group.inside).sum();
        let asked: u64 = interactive().map(|group| group.asked).sum();
        inside as f64 / asked.max(1) as f64
    }

    /// Cost of a thousand answers inside the target, in the currency.
    #[must_use]
    pub fn cost_per_thousand(&self) -> f64 {
        let inside: u64 = self.groups.iter().map(|group| group.inside).sum();
        self.cost * self.part / 1e6 / inside.max(1) as f64 * 1e3
    }

    /// Prompt tokens read for a thousand requests.
    #[must_use]
    pub fn read_per_thousand(&self) -> f64 {
        self.read.0 as f64 / self.requests.max(1) as f64 * 1e3
    }

    /// A percentile of all interactive requests' time to the first token, in
    /// milliseconds.
    #[must_use]
    pub fn first_ms(&self, percentile: f64) -> f64 {
        let mut all = Group::new(0, Class::Interactive);
        for group in &self.groups {
            if group.class == Class::Interactive {
                let added = all.first.add(&group.first);
                debug_assert!(added.is_ok(), "all histograms have the same bounds");
            }
        }
        all.first_ms(percentile)
    }

    /// Sum of a count over the groups.
    #[must_use]
    pub fn sum(&self, count: &dyn Fn(&Group) -> u64) -> u64 {
        self.groups.iter().map(count).sum()
    }
}

impl Group {
    fn new(workspace: usize, class: Class) -> Self {
        let first = Histogram::new_with_max(LONGEST, DIGITS)
            .expect("the largest value and the digits are within the library's bounds");
        Self {
            workspace,
            class,
            asked: 0,
            done: 0,
            inside: 0,
            given_up: 0,
            late: 0,
            first,
        }
    }

    /// A percentile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_ms(&self, percentile: f64) -> f64 {
        self.first.value_at_percentile(percentile) as f64 / 1e3
    }
}
