//! Refuses requests for lack of capacity, with the time after which callers are to retry.

use std::time::Duration;

use coltsfoothall::forward::order;
use coltsfoothall::forward::retry_after::Shortage;
use rand::Rng;

use crate::attempt::Job;
use crate::refusal::{Refusal, unavailable};
use crate::settings::Feature;
use crate::state::State;

/// The refusal of a request for lack of capacity. `wait` is the expected time until an endpoint has
/// room; the caller is told it as it is unless the settings name [`Feature::RetryAfter`].
pub fn refuse(state: &State, job: &Job, reason: &'static str, wait: Duration) -> Refusal {
    if !state.settings().has(Feature::RetryAfter) {
        return unavailable(reason, wait);
    }
    let shortage = shortage(state, job, wait);
    let draw = rand::rng().random();
    let retry_after =
        state
            .shortages
            .borrow_mut()
            .refuse(state.now(), &job.service, &shortage, draw);
    state.board.refused_for_capacity(reason, retry_after);
    unavailable(reason, retry_after)
}

fn shortage(state: &State, job: &Job, wait: Duration) -> Shortage {
    let configuration = state.configuration();
    let service = configuration
        .as_ref()
        .and_then(|configuration| configuration.config.service(&job.service));
    let scaling = service.and_then(|service| service.scaling.as_ref());
    let roster = state.roster.borrow();
    let nodes = roster.nodes().iter();
    let live = nodes
        .filter(|node| node.entry.service == job.service && !node.is_leaving())
        .count();
    Shortage {
        load: state.load(&job.service).map(|load| load.value),
        // Without any endpoint the capacity counts as that of one, so that the ratio stays finite.
        capacity: live.max(1) as f64 * order::Settings::default().max_utilization,
        boot: scaling.map(|scaling| scaling.boot),
        wait,
        left: job.due.since(state.now()),
    }
}
