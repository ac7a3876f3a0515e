//! How much load a service has, as its steward estimates it.
//!
//! The load is the number of requests that are open at endpoints or wait for
//! one. It rises in seconds and falls in minutes. The steward notes it at the
//! key-value service when it has changed by a fifth, and a new steward goes on
//! from there, so that a change of stewards in the midst of a wave of reclaims
//! neither stops nor starts anything. Where nothing is noted, the load is taken
//! to be what the present instances carry without their worst failure domain.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use coltsfoothall::catalog::Service;
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall_wire::cloud::{Lend, Machine, Phase};

use crate::steward::Settings;
use crate::view::View;

/// The wanted load falls only below this part of itself; it stops a load that
/// wavers from stopping and starting instances.
const FALL_BELOW: f64 = 0.8;

/// The load as it is noted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct Noted {
    /// Requests.
    pub load: u64,
}

impl Noted {
    /// Whether the load has changed so much that it should be noted anew.
    #[must_use]
    pub fn is_old(self, load: u64) -> bool {
        self.load.abs_diff(load) * 5 > self.load
    }
}

/// An estimate of one service's load.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    smooth: f64,
    target: f64,
    at: Time,
}

impl Estimate {
    /// The estimate of a new steward.
    #[must_use]
    pub fn new(now: Time, load: u64) -> Self {
        let load = load as f64;
        Self {
            smooth: load,
            target: load,
            at: now,
        }
    }

    /// Takes in a sample.
    pub fn add(&mut self, now: Time, sample: u64, settings: &Settings) {
        let sample = sample as f64;
        let span = if sample > self.smooth {
            settings.rise
        } else {
            settings.fall
        };
        let elapsed = now.since(self.at).as_secs_f64();
        let span = span.duration().max(Duration::from_millis(1)).as_secs_f64();
        self.smooth += (sample - self.smooth) * (1.0 - (-elapsed / span).exp());
        self.at = now;
        if self.smooth > self.target || self.smooth < self.target * FALL_BELOW {
            self.target = self.smooth;
        }
    }

    /// Load to carry, at least one request.
    #[must_use]
    pub fn load(&self) -> u64 {
        // Rounding up keeps a fraction of a request from being lost.
        (self.target.ceil() as u64).max(1)
    }

    /// Engines of the usual class that the load needs.
    #[must_use]
    pub fn needed(&self, settings: &Settings) -> usize {
        let needed = self.load().div_ceil(settings.carries.max(1));
        usize::try_from(needed).unwrap_or(usize::MAX)
    }
}

/// What the listed instances of a service carry without their worst failure
/// domain. Those with notice count too: their load is still there.
#[must_use]
pub fn carried(view: &View, service: &id::Service, settings: &Settings) -> u64 {
    let stays = |machine: &&Machine| machine.service == *service;
    let mut lost: Vec<(&id::Domain, u64)> = Vec::new();
    let mut whole = 0;
    for machine in view.machines.iter().filter(stays) {
        let load = settings.carries(&machine.class);
        whole += load;
        if machine.lend == Lend::OnDemand {
            continue;
        }
        match lost.binary_search_by(|row| row.0.cmp(&machine.domain)) {
            Ok(at) => lost[at].1 += load,
            Err(at) => lost.insert(at, (&machine.domain, load)),
        }
    }
    whole - lost.iter().map(|row| row.1).max().unwrap_or(0)
}

/// Whether an instance serves and was given no notice.
#[must_use]
pub fn is_live(view: &View, machine: &Machine) -> bool {
    machine.phase == Phase::Live && view.noticed.binary_search(&machine.id).is_err()
}

/// A sample of the load from the requests that this instance has open or
/// waiting, taken for all by their number; `reported` is what endpoints report.
#[must_use]
pub fn sample(view: &View, service: &Service, reported: Option<u64>) -> u64 {
    let members = view.peers.len() as u64 + 1;
    let found = view
        .busy
        .binary_search_by(|busy| busy.service.cmp(&service.name));
    let (open, queued) = found.map_or((0, 0), |at| (view.busy[at].open, view.busy[at].queued));
    reported.unwrap_or(open * members) + queued * members
}
