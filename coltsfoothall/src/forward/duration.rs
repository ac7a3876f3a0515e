//! How long answers take, from those seen here lately, by route.
//!
//! The longest to expect is the longest seen. Of answers that are alike, the next is longer
//! than all of the last 64 once in 65 times; a mean and its deviation, which were tried
//! first, forget a rare long answer after some twenty short ones.

use std::collections::VecDeque;
use std::time::Duration;

/// Answers remembered on one route.
const WINDOW: usize = 64;
/// Most routes remembered, at up to 1 kB each.
const MOST: usize = 256;

/// The answers of one route.
#[derive(Debug, Clone)]
struct Row {
    route: String,
    /// The oldest first.
    took: VecDeque<Duration>,
}

/// The answers of all routes.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Sorted by route.
    rows: Vec<Row>,
}

impl History {
    /// A request on a route took this time until its answer was whole, or was given up after
    /// it.
    pub fn record(&mut self, route: &str, took: Duration) {
        let place = match self.place(route) {
            Ok(place) => place,
            Err(_) if self.rows.len() >= MOST => return,
            Err(place) => {
                let row = Row {
                    route: route.to_owned(),
                    took: VecDeque::new(),
                };
                self.rows.insert(place, row);
                place
            }
        };
        let answers = &mut self.rows[place].took;
        if answers.len() >= WINDOW {
            answers.pop_front();
        }
        answers.push_back(took);
    }

    /// The longest that a request on a route is expected to take; none if none was seen.
    #[must_use]
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let row = &self.rows[self.place(route).ok()?];
        row.took.iter().max().copied()
    }

    fn place(&self, route: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.route.as_str().cmp(route))
    }
}
