//! Delay between two reads of the member list at the store.
//!
//! Each call is paid for, and every change wakes every watch, so a fleet in which members come
//! and go makes one call per instance and delay. Only instances that may become the leader next
//! need changes at once. The others learn of new members by heartbeats, and of lost ones by the
//! absence of heartbeats.

use std::time::Duration;

/// Instances, by rank, that watch the leader closely: the next in line, and two more in case
/// that one is lost at the same moment.
const SUCCESSORS: usize = 3;

/// Delays between two reads of the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Delay of the leader and of the instances that may succeed it.
    pub successor: Duration,
    /// Delay of the others. Together with the term of a registration it bounds how long a lost
    /// instance keeps its share of the rates.
    pub other: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            successor: Duration::from_millis(200),
            other: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// Delay of the instance with `rank` ready instances before it by name.
    #[must_use]
    pub fn of(&self, rank: usize, is_leader: bool) -> Duration {
        if is_leader || rank < SUCCESSORS {
            self.successor
        } else {
            self.other
        }
    }
}
