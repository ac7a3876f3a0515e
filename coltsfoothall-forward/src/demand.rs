//! Records the requests that are refused for lack of capacity, and keeps the load for later leaders.

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::demand::{self, Length, Request};
use coltsfoothall::forward::order;
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;

use crate::attempt::Job;
use crate::gossip;
use crate::message::Demand;
use crate::settings::Feature;
use crate::state::State;

/// Age at which a saved load says nothing of the present one.
const MAX_SAVED_AGE: Duration = Duration::from_secs(60);

impl State {
    /// Records that a request is refused as the endpoints of its service have no capacity for it.
    /// Refusals that more endpoints would not prevent do not count.
    pub fn record_shortage(&self, job: &Job) {
        let would_help =
            !self.registrations_lost.get() && !self.roster.borrow().is_restricted(&job.service);
        if would_help {
            self.record_demand(job, |tracker, now, request, sharers| {
                tracker.refused(now, request, sharers);
            });
        }
    }

    /// Records that a request is sent, which another instance or this one may have refused before.
    pub fn record_offered(&self, job: &Job) {
        self.record_demand(job, |tracker, now, request, sharers| {
            tracker.sent(now, request, sharers);
        });
    }

    fn record_demand(
        &self,
        job: &Job,
        record: impl FnOnce(&mut demand::Tracker, coltsfoothall::clock::Time, Request<'_>, u32),
    ) {
        if job.memory.is_none() || !self.settings().has(Feature::OfferedLoad) {
            return;
        }
        let (prompt, answer) = job.call.tokens.unwrap_or_default();
        let mut tracker = self.demand.borrow_mut();
        let (unread, events) = tracker.estimate(&job.service, Length { prompt, answer });
        let work = self
            .roster
            .borrow()
            .work(&job.service, prompt, unread, events);
        let request = Request {
            service: &job.service,
            fingerprint: job.fingerprint.digest(),
            work,
        };
        record(&mut tracker, self.now(), request, self.sharers());
    }

    /// What other instances are told of refused requests; none if the settings do not name it.
    #[must_use]
    pub fn demand_report(&self, rows: usize, round: usize) -> Option<Demand> {
        if !self.settings().has(Feature::OfferedLoad) {
            return None;
        }
        let span = gossip::told_period(self.sharers() as usize);
        let mut demand = self.demand.borrow_mut();
        if let Some(configuration) = self.configuration() {
            let services = configuration.config.services().iter();
            for service in services.filter(|service| service.scaling.is_some()) {
                demand.add(&service.name);
            }
        }
        Some(demand.report(self.now(), span, rows, round))
    }

    /// Merges the work that another instance sent and refused since it started.
    pub fn merge_demand(&self, boot: u64, sent: Vec<(id::Service, u64)>, demand: Option<Demand>) {
        let demand = demand.filter(|_| self.settings().has(Feature::OfferedLoad));
        let Some(demand) = demand else {
            self.merge_work(boot, &sent);
            return;
        };
        self.demand.borrow_mut().merge(self.now(), &demand.recent);
        self.merge_work(boot, &demand::sum(sent, &demand.refused));
    }

    /// The loads to save for later leaders, encoded; none if there are none, or the settings do not
    /// name it.
    #[must_use]
    pub fn loads_to_save(&self) -> Option<Bytes> {
        let configuration = self.configuration()?;
        if !self.settings().has(Feature::OfferedLoad) {
            return None;
        }
        let at = Millis::from(self.true_time());
        let mut saved = Vec::new();
        for service in configuration.config.services() {
            if service.scaling.is_none() {
                continue;
            }
            let load = self.load(&service.name);
            let known = self.saved_loads.borrow();
            let before = known.iter().find(|saved| saved.service == service.name);
            saved.extend(order::Saved::update(&service.name, before, load, at));
        }
        let bytes = rmp_serde::to_vec(&saved);
        *self.saved_loads.borrow_mut() = saved;
        let bytes = bytes
            .ok()
            .filter(|_| !self.saved_loads.borrow().is_empty())?;
        Some(bytes.into())
    }

    /// Restores the loads that an earlier leader saved, unless they are too old. A value that cannot
    /// be read is left out: the load is then assumed from the endpoints.
    pub fn restore_loads(&self, value: &[u8]) {
        if !self.settings().has(Feature::OfferedLoad) {
            return;
        }
        let saved: Vec<order::Saved> = match rmp_serde::from_slice(value) {
            Ok(saved) => saved,
            Err(error) => {
                event::STORE_FAILED.emit(format_args!(
                    "step=\"read saved loads\" reason={:?}",
                    error.to_string()
                ));
                return;
            }
        };
        let saved = saved.into_iter();
        *self.saved_loads.borrow_mut() = saved.filter(|saved| saved.value.is_finite()).collect();
    }

    /// The load of a service that a leader saved not long ago. The clocks of the two leaders may
    /// differ.
    #[must_use]
    pub fn saved_load(&self, service: &id::Service) -> Option<f64> {
        let saved = self.saved_loads.borrow();
        let found = saved.iter().find(|saved| saved.service == *service)?;
        let age = self.true_time().abs_diff(found.at.duration());
        (age <= MAX_SAVED_AGE).then_some(found.value)
    }
}
