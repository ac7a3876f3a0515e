//! How much an instance sends to others that ask for something large.
//!
//! All that lack it ask in the same moment. If one served them all, they would share its link
//! and each be served last; whoever is refused asks another one, and each that was served can
//! serve others.

use std::time::Duration;

use crate::clock::Time;

/// Bytes a second: half of what the narrowest links carry.
const RATE: f64 = 600_000.0;
/// Time that what was accepted may still take for another answer to be accepted.
const AHEAD: Duration = Duration::from_millis(500);

/// Large answers of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limiter {
    /// When the answers accepted so far have been sent.
    free: Option<Time>,
}

impl Limiter {
    /// Whether an answer of so many bytes may be sent now; if so it is counted.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        let free = self.free.map_or(now, |free| free.max(now));
        if free.since(now) >= AHEAD {
            return false;
        }
        self.free = Some(free + Duration::from_secs_f64(bytes as f64 / RATE));
        true
    }
}
