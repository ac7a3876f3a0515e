//! Limit on the large answers that an instance sends to other instances.
//!
//! When a new configuration appears, all instances that lack it ask at the same moment. One that
//! served them all would divide its link among them, and each would wait for the last byte. A
//! refused instance asks another one, and each instance that was served can serve others.

use std::time::Duration;

use crate::clock::Time;
use crate::size::Megabits;

/// Bytes a second of an instance that does not know its link: half of the capacity of the
/// narrowest ones.
const DEFAULT_RATE: f64 = 600_000.0;
/// Share of a link that such answers may take.
const LINK_SHARE: f64 = 0.5;
/// Bytes a second of one Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// An answer is accepted while those accepted before take less than this to send.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Limiter of the large answers of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Limiter {
    /// Bytes a second.
    rate: f64,
    /// Time at which the answers accepted so far have been sent.
    free: Option<Time>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            rate: DEFAULT_RATE,
            free: None,
        }
    }
}

impl Limiter {
    /// Creates the limiter of an instance with this link; zero if it is unknown.
    #[must_use]
    pub fn new(link: Megabits) -> Self {
        match link {
            Megabits(0) => Self::default(),
            Megabits(link) => Self {
                rate: link as f64 * BYTES_PER_MEGABIT * LINK_SHARE,
                free: None,
            },
        }
    }

    /// Returns whether an answer of `bytes` may be sent now, and counts it if so.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        let free = self.free.map_or(now, |free| free.max(now));
        if free.since(now) >= MAX_BACKLOG {
            return false;
        }
        self.free = Some(free + Duration::from_secs_f64(bytes as f64 / self.rate));
        true
    }
}
