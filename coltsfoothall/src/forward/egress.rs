//! Limit on the large answers that an instance sends to other instances.
//!
//! When a new configuration appears, all instances that lack it ask at the same moment. One that
//! served them all would divide its link among them, and each would wait for the last byte. A
//! refused instance asks another one, and each instance that was served can serve others.

use std::time::Duration;

use crate::clock::Time;

/// Half of the capacity of the narrowest links.
const RATE_BYTES_PER_SECOND: f64 = 600_000.0;
/// An answer is accepted while those accepted before take less than this to send.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Limiter of the large answers of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limiter {
    /// Time at which the answers accepted so far have been sent.
    free: Option<Time>,
}

impl Limiter {
    /// Returns whether an answer of `bytes` may be sent now, and counts it if so.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        let free = self.free.map_or(now, |free| free.max(now));
        if free.since(now) >= MAX_BACKLOG {
            return false;
        }
        self.free = Some(free + Duration::from_secs_f64(bytes as f64 / RATE_BYTES_PER_SECOND));
        true
    }
}
