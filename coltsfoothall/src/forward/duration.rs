//! How long answers take, learned by route from those seen here.
//!
//! The longest time to expect is what TCP waits for an acknowledgement (RFC 6298): the mean
//! and four times the mean distance to it, both running. Answers that may be longer take
//! longer, so streams of engines are measured by token.

use std::time::Duration;

/// Weight of the newest answer in the running mean (RFC 6298).
const NEWEST: f64 = 1.0 / 8.0;
/// Its weight in the running mean of the distance to that mean (RFC 6298).
const NEWEST_DISTANCE: f64 = 1.0 / 4.0;
/// Distances above the mean of the longest time to expect (RFC 6298).
const DISTANCES: f64 = 4.0;
/// Most routes that are measured, at some 60 bytes each.
const MOST: usize = 1024;

/// Seconds that one unit of an answer takes.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: f64,
    distance: f64,
}

impl Estimate {
    fn new(first: f64) -> Self {
        Self {
            mean: first,
            distance: first / 2.0,
        }
    }

    fn add(&mut self, newest: f64) {
        let distance = (newest - self.mean).abs();
        self.distance += NEWEST_DISTANCE * (distance - self.distance);
        self.mean += NEWEST * (newest - self.mean);
    }

    fn longest(self) -> f64 {
        self.mean + DISTANCES * self.distance
    }
}

/// The estimates of all routes.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    /// Sorted by the route's name.
    rows: Vec<(String, Estimate)>,
}

impl Estimates {
    /// An answer on a route, of so many units, took this time.
    pub fn saw(&mut self, route: &str, units: u64, took: Duration) {
        let newest = took.as_secs_f64() / units.max(1) as f64;
        match self.place(route) {
            Ok(place) => self.rows[place].1.add(newest),
            Err(place) if self.rows.len() < MOST => {
                let row = (route.to_owned(), Estimate::new(newest));
                self.rows.insert(place, row);
            }
            Err(_full) => {}
        }
    }

    /// The longest that an answer of so many units is expected to take; none on a route
    /// whose answers were not measured.
    #[must_use]
    pub fn longest(&self, route: &str, units: u64) -> Option<Duration> {
        let place = self.place(route).ok()?;
        let unit = self.rows[place].1.longest();
        Some(Duration::from_secs_f64(unit * units.max(1) as f64))
    }

    fn place(&self, route: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|(have, _)| have.as_str().cmp(route))
    }
}
