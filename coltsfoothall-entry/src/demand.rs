//! A steward's estimate of a service's load.
//!
//! The load is the number of requests that are open at endpoints or wait for one. The
//! estimate rises in seconds and falls in minutes. The steward saves it at the key-value
//! service when it has changed by a fifth, and a new steward continues from there, so that
//! a change of stewards in the midst of a wave of reclaims neither stops nor starts
//! anything. If none is saved, the load is assumed to be what the current instances carry
//! without their largest failure domain.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use coltsfoothall::catalog::Service;
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall_wire::cloud::{Lend, Machine, Phase};

use crate::steward::Settings;
use crate::view::View;

/// The target load falls only when the estimate is below this fraction of it. Without this,
/// a load that wavers would keep stopping and starting instances.
const FALL_THRESHOLD: f64 = 0.8;

/// The load as saved at the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct Saved {
    /// Number of requests.
    pub load: u64,
}

impl Saved {
    /// Whether the load has changed so much that it should be saved again.
    #[must_use]
    pub fn is_outdated_by(self, load: u64) -> bool {
        self.load.abs_diff(load) * 5 > self.load
    }
}

/// An estimate of one service's load.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    smoothed: f64,
    target: f64,
    updated: Time,
}

impl Estimate {
    /// Creates the estimate of a new steward.
    #[must_use]
    pub fn new(now: Time, load: u64) -> Self {
        let load = load as f64;
        Self {
            smoothed: load,
            target: load,
            updated: now,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Time, sample: u64, settings: &Settings) {
        let sample = sample as f64;
        let span = if sample > self.smoothed {
            settings.rise
        } else {
            settings.fall
        };
        let elapsed = now.since(self.updated).as_secs_f64();
        let span = span.duration().max(Duration::from_millis(1)).as_secs_f64();
        self.smoothed += (sample - self.smoothed) * (1.0 - (-elapsed / span).exp());
        self.updated = now;
        if self.smoothed > self.target || self.smoothed < self.target * FALL_THRESHOLD {
            self.target = self.smoothed;
        }
    }

    /// The load to provide capacity for, at least one request.
    #[must_use]
    pub fn load(&self) -> u64 {
        // Rounded up, as a fraction of a request needs capacity too.
        (self.target.ceil() as u64).max(1)
    }

    /// Number of engines of the default class that the load needs.
    #[must_use]
    pub fn needed(&self, settings: &Settings) -> usize {
        let needed = self.load().div_ceil(settings.carries.max(1));
        usize::try_from(needed).unwrap_or(usize::MAX)
    }
}

/// The load that the listed instances of a service carry without their largest failure
/// domain. Instances with a reclaim notice count too, as their load is still there.
#[must_use]
pub fn surviving_capacity(view: &View, service: &id::Service, settings: &Settings) -> u64 {
    let in_service = |machine: &&Machine| machine.service == *service;
    let mut domains: Vec<(&id::Domain, u64)> = Vec::new();
    let mut total = 0;
    for machine in view.machines.iter().filter(in_service) {
        let capacity = settings.capacity(&machine.class);
        total += capacity;
        if machine.lend == Lend::OnDemand {
            continue;
        }
        match domains.binary_search_by(|row| row.0.cmp(&machine.domain)) {
            Ok(index) => domains[index].1 += capacity,
            Err(index) => domains.insert(index, (&machine.domain, capacity)),
        }
    }
    total - domains.iter().map(|row| row.1).max().unwrap_or(0)
}

/// Whether an instance serves and has no reclaim notice.
#[must_use]
pub fn is_live(view: &View, machine: &Machine) -> bool {
    machine.phase == Phase::Live && view.noticed.binary_search(&machine.id).is_err()
}

/// A sample of the load. `reported` is what endpoints report as open. Without it, and
/// always for waiting requests, the number on this instance is multiplied by the number of
/// instances.
#[must_use]
pub fn sample(view: &View, service: &Service, reported: Option<u64>) -> u64 {
    let members = view.peers.len() as u64 + 1;
    let found = view
        .busy
        .binary_search_by(|busy| busy.service.cmp(&service.name));
    let (open, queued) = found.map_or((0, 0), |index| {
        (view.busy[index].open, view.busy[index].queued)
    });
    reported.unwrap_or(open * members) + queued * members
}
