//! Longest answer time to expect on each route, from the answers seen recently by this instance.
//!
//! The estimate is the maximum of the last 64 answers. If answer times are identically
//! distributed, the next one exceeds it once in 65 times. An earlier estimate by running mean
//! and deviation forgot a rare long answer after some twenty short ones.

use std::collections::VecDeque;
use std::time::Duration;

/// Answers remembered for one route.
const MAX_ANSWERS: usize = 64;
/// Bounds memory, at up to 1 kB a route.
const MAX_ROUTES: usize = 256;

/// Recent answer times of one route.
#[derive(Debug, Clone)]
struct Row {
    route: String,
    /// Oldest first.
    took: VecDeque<Duration>,
}

/// Recent answer times of all routes.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Sorted by route.
    rows: Vec<Row>,
}

impl History {
    /// Records the time until the answer to a request on a route was complete or was abandoned.
    pub fn record(&mut self, route: &str, took: Duration) {
        let index = match self.index(route) {
            Ok(index) => index,
            Err(_) if self.rows.len() >= MAX_ROUTES => return,
            Err(index) => {
                let row = Row {
                    route: route.to_owned(),
                    took: VecDeque::new(),
                };
                self.rows.insert(index, row);
                index
            }
        };
        let answers = &mut self.rows[index].took;
        if answers.len() >= MAX_ANSWERS {
            answers.pop_front();
        }
        answers.push_back(took);
    }

    /// Longest time that a request on a route is expected to take; `None` if none was recorded.
    #[must_use]
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let row = &self.rows[self.index(route).ok()?];
        row.took.iter().max().copied()
    }

    fn index(&self, route: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.route.as_str().cmp(route))
    }
}
