//! Tables of what runs gave.

use std::fmt::Write;

use coltsfoothall::record::Class;

use crate::scenario::Scenario;
use crate::score::Group;
use crate::trial::Record;

/// Middle, least and most of a figure over the seeds.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Median.
    pub middle: f64,
    /// Least.
    pub low: f64,
    /// Most.
    pub high: f64,
}

impl Spread {
    /// The spread of a figure over records.
    #[must_use]
    pub fn of(records: &[Record], figure: &dyn Fn(&Record) -> f64) -> Self {
        let mut values: Vec<f64> = records.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        Self {
            middle: values[values.len() / 2],
            low: values[0],
            high: values[values.len() - 1],
        }
    }

    /// Middle and ends with so many digits.
    #[must_use]
    pub fn show(self, digits: usize) -> String {
        let Self { middle, low, high } = self;
        format!("{middle:.digits$} ({low:.digits$}–{high:.digits$})")
    }
}

/// The head of a table of runs.
pub const HEAD: &str = "\
| condition | policy | engines | inside target, % | first token p50, ms | p95, ms \
| cost/1000 | read/1000, k tokens | read/least | given up | late | wasted, k tokens |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// A row of a table of runs: the same policy and condition on several seeds.
#[must_use]
pub fn row(condition: &str, policy: &str, engines: usize, records: &[Record]) -> String {
    let spread = |figure: &dyn Fn(&Record) -> f64| Spread::of(records, figure);
    let held = spread(&|record| record.score.held() * 100.0);
    let median = spread(&|record| record.score.first_ms(50.0));
    let high = spread(&|record| record.score.first_ms(95.0));
    let cost = spread(&|record| record.score.cost_per_thousand());
    let read = spread(&|record| record.score.read_per_thousand() / 1e3);
    let least = spread(&|record| record.score.read.0 as f64 / record.least.0 as f64);
    let given_up = spread(&|record| record.score.sum(&|group| group.given_up) as f64);
    let late = spread(&|record| record.score.sum(&|group| group.late) as f64);
    let wasted = spread(&|record| record.score.wasted.0 as f64 / 1e3);
    format!(
        "| {condition} | {policy} | {engines} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        held.show(1),
        median.show(1),
        high.show(0),
        cost.show(4),
        read.show(0),
        least.show(2),
        given_up.show(0),
        late.show(0),
        wasted.show(0),
    )
}

/// The head of a table of workspaces and classes.
pub const GROUP_HEAD: &str = "\
| condition | policy | workspace | class | first token p50, ms | p95, ms | p99, ms | given up |
| --- | --- | --- | --- | --- | --- | --- | --- |";

/// Times to the first token for each workspace and class.
#[must_use]
pub fn groups(scenario: &Scenario, condition: &str, policy: &str, records: &[Record]) -> String {
    let mut text = String::new();
    for (place, group) in records[0].score.groups.iter().enumerate() {
        let of = |figure: &dyn Fn(&Group) -> f64| {
            Spread::of(records, &|record| figure(&record.score.groups[place])).show(0)
        };
        if group.asked == 0 {
            continue;
        }
        let class = match group.class {
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        };
        let name = &scenario.workspaces[group.workspace].name;
        let first = |percentile| of(&|group| group.first_ms(percentile));
        let given_up = of(&|group| group.given_up as f64);
        let _always_ok = writeln!(
            text,
            "| {condition} | {policy} | {name} | {class} | {} | {} | {} | {given_up} |",
            first(50.0),
            first(95.0),
            first(99.0),
        );
    }
    text
}
