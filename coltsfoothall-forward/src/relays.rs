//! Totals of instances on standby, which this one forwards to the other active instances.
//!
//! An instance on standby is sent few requests, such as those of callers that keep an old address.
//! It reports their units and counts to one active instance only, which forwards them, so that the
//! rates and the usage of workspaces stay complete.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::rate_limit::Total;
use coltsfoothall::forward::usage::Count;
use serde::{Deserialize, Serialize};

/// How long totals are forwarded after they were last reported, so that they outlast their
/// instance.
const RETENTION: Duration = Duration::from_secs(10);

/// The totals of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// Its boot number.
    pub boot: u64,
    /// Units that it granted to each workspace.
    pub granted: Vec<Total>,
    /// Runs of each workspace and window.
    pub counts: Vec<Count>,
}

/// The totals of all instances that report to this one.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    /// Sorted by boot number.
    rows: Vec<(Time, Relayed)>,
}

impl Relays {
    /// Records the totals that an instance reports.
    pub fn put(&mut self, now: Time, relayed: Relayed) {
        if relayed.granted.is_empty() && relayed.counts.is_empty() {
            return;
        }
        let found = self
            .rows
            .binary_search_by_key(&relayed.boot, |(_, row)| row.boot);
        match found {
            Ok(index) => self.rows[index] = (now, relayed),
            Err(index) => self.rows.insert(index, (now, relayed)),
        }
    }

    /// The totals to forward.
    pub fn recent(&mut self, now: Time) -> Vec<Relayed> {
        self.rows.retain(|(at, _)| now.since(*at) <= RETENTION);
        self.rows.iter().map(|(_, row)| row.clone()).collect()
    }
}
