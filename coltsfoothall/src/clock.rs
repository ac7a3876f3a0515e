//! Points in time as the decisions see them.
//!
//! Programs read the runtime's clock and hand the reading in, so tests can
//! pause it. A reading means nothing outside its process; only durations
//! travel.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// The reading a given time after the start.
    #[must_use]
    pub fn since_start(elapsed: Duration) -> Self {
        Self(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Time from `earlier` to this reading, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Microseconds since the start.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", Duration::from_micros(self.0).as_secs_f64())
    }
}
