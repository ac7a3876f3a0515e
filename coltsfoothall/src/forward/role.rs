//! Which instances of a large fleet serve callers.
//!
//! If each instance exchanged its state with every other one, bytes and processor time of each
//! would grow with the fleet, and what it knows of the others would get older: a round of
//! heartbeats takes 0.1 s for each [`MAX_HEARTBEATS_PER_BATCH`] members. A large fleet is therefore
//! divided. The *active* instances of each failure domain are the ones that callers are sent to;
//! they exchange their state with all active ones, and read the store. The others are on *standby*:
//! they are ready, tell a few active instances of their domain that they live, and hear from these
//! who is active. So state and messages grow with the work, not with the fleet.
//!
//! Active are the instances with the widest links, equal ones by name, as many as the callers'
//! requests need. Everybody who knows the members selects the same ones without an election. Two
//! that know different members may differ for a moment: then an instance too many is active, which
//! costs heartbeats and no promise.
//!
//! [`MAX_HEARTBEATS_PER_BATCH`]: crate::forward::peer::MAX_HEARTBEATS_PER_BATCH

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::Megabits;

/// Largest fleet in which all instances are active; a round of heartbeats takes 0.8 s there.
pub const MAX_ACTIVE_FLEET: usize = 128;
/// Least number of active instances of a failure domain: half of them may be lost at once.
pub const MIN_ACTIVE_PER_DOMAIN: usize = 8;
/// Active instances that one on standby reports to. Any two of them may be lost at once.
pub const CONTACTS: usize = 3;
/// Requests a second that an instance serves for each Mbit/s of its link. A request moves 0.3 Mbit
/// in both directions, and links are shared with heartbeats and configurations.
const REQUESTS_PER_MEGABIT: f64 = 1.0;
/// Upper bound of the requests a second that an instance serves, however wide its link is: a
/// request takes 2 ms of a processor, of which half is spared.
const MAX_REQUESTS: f64 = 100.0;
/// Requests a second of an instance that does not report its link.
const DEFAULT_REQUESTS: f64 = 10.0;

/// What an instance does in the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It serves callers and exchanges its state with all active instances.
    #[default]
    Active,
    /// It waits until it is needed.
    Standby,
}

/// An instance that may be active.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a id::Instance,
    /// Capacity of its link; zero if unknown.
    pub link: Megabits,
}

impl Candidate<'_> {
    /// Sort key of the selection.
    fn order(&self) -> (Reverse<Megabits>, &id::Instance) {
        (Reverse(self.link), self.name)
    }

    fn requests(&self) -> f64 {
        match self.link {
            Megabits(0) => DEFAULT_REQUESTS,
            Megabits(link) => (link as f64 * REQUESTS_PER_MEGABIT).min(MAX_REQUESTS),
        }
    }
}

/// Selects the active instances among the candidates of a failure domain, whose callers send
/// `rate` requests a second. The candidates are sorted by this, and the active ones are the first
/// ones; returns their number.
pub fn select(candidates: &mut [Candidate<'_>], rate: f64) -> usize {
    candidates.sort_unstable_by(|a, b| a.order().cmp(&b.order()));
    let mut capacity = 0.0;
    let enough = candidates.iter().position(|candidate| {
        let reached = capacity >= rate;
        capacity += candidate.requests();
        reached
    });
    let needed = enough.unwrap_or(candidates.len());
    needed.max(MIN_ACTIVE_PER_DOMAIN).min(candidates.len())
}
