//! How long an instance rests between two calls to the store for news.
//!
//! Each call is paid for and every change wakes every watch, so a fleet in which members come
//! and go makes as many calls a second as it has instances in a rest. Who is there matters
//! at once only to those that may have to act for all next; the others hear of new
//! members by heartbeats, and of lost ones by their silence.

use std::time::Duration;

/// Instances that watch the holder closely, by rank: the next one, and others in case it is
/// lost in the same moment.
const CLOSE: usize = 3;

/// Rests between two readings of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// That of instances that may be the next to act for all.
    pub close: Duration,
    /// That of the others: with the term of a registration, how long a lost instance has a part
    /// of the rates.
    pub far: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            close: Duration::from_millis(200),
            far: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// The rest of the instance with so many ready ones before it; `acts` if it acts for all.
    #[must_use]
    pub fn of(&self, rank: usize, acts: bool) -> Duration {
        if acts || rank < CLOSE {
            self.close
        } else {
            self.far
        }
    }
}
