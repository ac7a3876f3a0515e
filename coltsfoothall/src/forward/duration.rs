//! How long answers take, learned by route from those seen here.
//!
//! The longest time to expect is what TCP waits for an acknowledgement (RFC 6298): the mean
//! and four times the mean distance to it, both running. An answer's time is its events, by
//! the units that bound its length, times the time of an event. Answers that ended show how far
//! they lie apart, and those under way what an event takes by now: when load rises, the ones that
//! end first are the short ones from before, and by them alone a fleet of 60 took 2 of 286
//! requests in its stops that it then cut.

use std::time::Duration;

/// Weight of the newest answer in the running mean (RFC 6298).
const NEWEST: f64 = 1.0 / 8.0;
/// Its weight in the running mean of the distance to that mean (RFC 6298).
const NEWEST_DISTANCE: f64 = 1.0 / 4.0;
/// Distances above the mean of the longest time to expect (RFC 6298).
const DISTANCES: f64 = 4.0;
/// Most routes that are measured, at some 100 bytes each.
const MOST: usize = 1024;

/// A running mean and the distance to it.
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

/// What was measured on one route.
#[derive(Debug, Clone)]
struct Row {
    route: String,
    /// Seconds for an event of answers under way.
    lately: Option<Estimate>,
    /// Seconds for an event of whole answers.
    event: Option<Estimate>,
    /// Events for a unit.
    events: Option<Estimate>,
}

/// The estimates of all routes.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    /// Sorted by route.
    rows: Vec<Row>,
}

impl Estimates {
    /// So many events of an answer that is under way took this time.
    pub fn progressed(&mut self, route: &str, events: u64, took: Duration) {
        if let Some(row) = self.row(route) {
            add(&mut row.lately, took.as_secs_f64() / events.max(1) as f64);
        }
    }

    /// An answer that could have so many units ended with so many events after this time. A
    /// plain answer is one unit and one event.
    pub fn ended(&mut self, route: &str, units: u64, events: u64, took: Duration) {
        if let Some(row) = self.row(route) {
            add(&mut row.event, took.as_secs_f64() / events.max(1) as f64);
            add(&mut row.events, events as f64 / units.max(1) as f64);
        }
    }

    /// The longest that an answer of so many units is expected to take; none on a route on
    /// which no answer ended.
    #[must_use]
    pub fn longest(&self, route: &str, units: u64) -> Option<Duration> {
        let row = &self.rows[self.place(route).ok()?];
        let lately = row.lately.map_or(0.0, Estimate::longest);
        let event = row.event?.longest().max(lately);
        let events = row.events?.longest() * units.max(1) as f64;
        Some(Duration::from_secs_f64(event * events))
    }

    /// The row of a route; none if there is no room for one more.
    fn row(&mut self, route: &str) -> Option<&mut Row> {
        let place = match self.place(route) {
            Ok(place) => place,
            Err(_) if self.rows.len() >= MOST => return None,
            Err(place) => {
                let row = Row {
                    route: route.to_owned(),
                    lately: None,
                    event: None,
                    events: None,
                };
                self.rows.insert(place, row);
                place
            }
        };
        Some(&mut self.rows[place])
    }

    fn place(&self, route: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.route.as_str().cmp(route))
    }
}

fn add(estimate: &mut Option<Estimate>, newest: f64) {
    match estimate {
        Some(estimate) => estimate.add(newest),
        None => *estimate = Some(Estimate::new(newest)),
    }
}
