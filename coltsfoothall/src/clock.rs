//! Points in time for the decision logic.
//!
//! Programs read the runtime's clock and pass the time in, so that tests control it. A point in
//! time has no meaning outside its process; only durations are sent to others.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds since the process started. It may lie before the start, as what
/// others report does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(i64);

impl Time {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// The point in time `elapsed` after the start.
    #[must_use]
    pub fn since_start(elapsed: Duration) -> Self {
        Self::START + elapsed
    }

    /// Time from `earlier` to this point, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }

    /// Microseconds since the start, zero before it.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        u64::try_from(self.0).unwrap_or_default()
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = i64::try_from(rhs.as_micros()).unwrap_or(i64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = i64::try_from(rhs.as_micros()).unwrap_or(i64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.0 as f64 / 1e6)
    }
}
