//! Which usage windows a new leader may report.
//!
//! The platform accepts one count for each window. Leaders store each report before they send it, so
//! that the next one repeats it. A restore of the store from an older copy loses stored reports: a
//! window that was due before the restore may have been reported with counts that nobody knows any
//! more. Such a window is given up, as a missing report costs less than a contradictory one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::forward::history::Era;

/// How long a new leader waits for the mark of a former one that lives on.
const MARK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What the leaders of earlier eras may have reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Era of the store.
    pub era: Era,
    /// No later window was reported before the era began; none if no window was.
    pub window: Option<u64>,
}

/// What a new leader knows when it has read the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Era of the store.
    pub era: Era,
    /// The mark that the store holds.
    pub stored: Option<Mark>,
    /// The mark of this instance, if it led when the store was restored.
    pub own: Option<Mark>,
    /// The last window that any leader is known to have reported.
    pub reported: Option<u64>,
    /// The last window that was due when this instance first saw the era.
    pub due: Option<u64>,
    /// How long ago that was.
    pub age: Duration,
}

impl Evidence {
    /// The mark of the era; none while a former leader may still write a more exact one.
    #[must_use]
    pub fn mark(&self) -> Option<Mark> {
        let exact = [self.stored, self.own].into_iter().flatten();
        if let Some(mark) = exact.into_iter().find(|mark| mark.era == self.era) {
            return Some(mark);
        }
        // A leader reports a window when it is due, and in this era the store tells what it reported.
        let window = self.reported.max(self.due);
        let waits = self.stored.is_some() && window > self.reported && self.age < MARK_TIMEOUT;
        (!waits).then_some(Mark {
            era: self.era,
            window,
        })
    }
}

/// The windows of earlier eras whose reports are lost, as far as a leader knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Doubt {
    mark: Mark,
    /// Windows whose reports the store holds, sorted.
    stored: Vec<u64>,
}

impl Doubt {
    /// The windows up to that of `mark`, without those whose reports are `stored`.
    #[must_use]
    pub fn new(mark: Mark, mut stored: Vec<u64>) -> Self {
        stored.sort_unstable();
        Self { mark, stored }
    }

    /// Whether a window may have been reported with counts that are lost.
    #[must_use]
    pub fn covers(&self, window: u64) -> bool {
        Some(window) <= self.mark.window && self.stored.binary_search(&window).is_err()
    }
}
