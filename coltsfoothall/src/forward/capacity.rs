//! What the exchange of state costs an instance, by the size of the fleet.
//!
//! The formulas use the constants that the program runs with, so that a table printed from them
//! holds for the program.

use std::time::Duration;

use crate::batch;
use crate::forward::peer::{self, MAX_DIGEST_INTERVALS, MAX_HEARTBEATS_PER_BATCH};
use crate::forward::rate_limit::{CHANGED_PERIOD, COMPLETE_ROUNDS};
use crate::forward::role::{self, CONTACTS, Candidate, MAX_ACTIVE_FLEET};
use crate::id;
use crate::size::Megabits;

/// Bytes of a heartbeat without rows: the sender's profile and four others.
const HEARTBEAT_BYTES: f64 = 700.0;
/// Bytes of a workspace's total, and of its count in a window.
const TOTAL_BYTES: f64 = 17.0;
const COUNT_BYTES: f64 = 23.0;
/// Length of a window in seconds.
const WINDOW_SECONDS: f64 = 5.0;
/// Bytes of a profile in a digest.
const PROFILE_BYTES: f64 = 110.0;

/// A fleet and its work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fleet {
    /// Instances.
    pub instances: usize,
    /// Failure domains, of equal size.
    pub domains: usize,
    /// Instances of each domain with a wide link, and that link.
    pub wide: (usize, Megabits),
    /// Link of the others.
    pub link: Megabits,
    /// Requests a second of all callers.
    pub requests: f64,
    /// Workspaces.
    pub workspaces: usize,
}

/// What the exchange costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Active instances.
    pub active: usize,
    /// Time in which each active instance hears all others.
    pub round: Duration,
    /// Time until a lost instance is out of all lists of addresses.
    pub detection: Duration,
    /// Heartbeats that an active instance sends in a second, and as many arrive.
    pub heartbeats: f64,
    /// Digests that an active instance sends in a second; heartbeats of instances on standby
    /// arrive in the same number.
    pub digests: f64,
    /// Datagrams that an instance on standby sends in a second, and as many arrive.
    pub standby: f64,
    /// Bytes that an active instance sends in a second.
    pub active_bytes: f64,
    /// Bytes that an instance on standby receives in a second.
    pub standby_bytes: f64,
    /// Instances that read each change of the configuration at the store.
    pub readers: usize,
}

impl Fleet {
    /// Computes the cost with the settings in force by default.
    #[must_use]
    pub fn cost(&self) -> Cost {
        let settings = peer::Settings::default();
        let is_divided = self.instances > MAX_ACTIVE_FLEET;
        let active = if is_divided {
            self.domains * self.active_in_domain()
        } else {
            self.instances
        };
        let others = active.saturating_sub(1);
        let turns = batch::count(others, MAX_HEARTBEATS_PER_BATCH);
        let round = settings.heartbeat_interval * turns as u32;
        let silence = settings.silence_timeout.max(round * 3);
        let turns_a_second = 1.0 / settings.heartbeat_interval.as_secs_f64();
        let heartbeats = others.min(MAX_HEARTBEATS_PER_BATCH) as f64 * turns_a_second;
        let standbys = self.instances - active;
        let contacts = if standbys > 0 { CONTACTS as f64 } else { 0.0 };
        let standby = contacts / settings.standby_interval.as_secs_f64();
        let digests = standby * standbys as f64 / active as f64;
        let digest_bytes = HEARTBEAT_BYTES + PROFILE_BYTES * active as f64;
        Cost {
            active,
            round,
            detection: if standbys > 0 {
                silence + settings.standby_interval.mul_f64(MAX_DIGEST_INTERVALS)
            } else {
                silence
            },
            heartbeats,
            digests,
            standby,
            active_bytes: heartbeats * self.heartbeat_bytes(active) + digests * digest_bytes,
            standby_bytes: standby * digest_bytes,
            readers: active,
        }
    }

    /// Active instances of one domain.
    fn active_in_domain(&self) -> usize {
        let (wide, wide_link) = self.wide;
        let count = self.instances / self.domains;
        let names: Vec<id::Instance> = (0..count)
            .filter_map(|index| format!("entry-{index}").parse().ok())
            .collect();
        let candidate = |(index, name)| Candidate {
            name,
            link: if index < wide { wide_link } else { self.link },
        };
        let mut candidates: Vec<Candidate<'_>> = names.iter().enumerate().map(candidate).collect();
        role::select(&mut candidates, self.requests / self.domains as f64)
    }

    /// Bytes of a heartbeat: the totals that changed recently, all of them every few rounds, and the
    /// counts of one window.
    fn heartbeat_bytes(&self, active: usize) -> f64 {
        let requests = self.requests / active as f64;
        let changed = self.workspaces_among(requests * CHANGED_PERIOD.as_secs_f64());
        let rest = self.workspaces as f64 / COMPLETE_ROUNDS as f64;
        let counted = self.workspaces_among(requests * WINDOW_SECONDS);
        HEARTBEAT_BYTES + TOTAL_BYTES * (changed + rest) + COUNT_BYTES * counted
    }

    /// Expected number of workspaces among a number of requests, if all are equally busy.
    fn workspaces_among(&self, requests: f64) -> f64 {
        let workspaces = self.workspaces.max(1) as f64;
        workspaces * (1.0 - (1.0 - 1.0 / workspaces).powf(requests))
    }
}
