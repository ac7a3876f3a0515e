//! Learns which endpoints this instance reaches, without the requests of callers.
//!
//! An endpoint that is found out of reach is probed until it is back. It may be a sign that this
//! instance is cut off, so some others of its service are probed at once, and some of the other
//! services once the first one is lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::id;
use coltsfoothall_shell::event;

use crate::pool::{Fault, Link, Target};
use crate::state::State;

/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of probes in a round, which bounds what a large service that is lost costs.
const MAX_PROBES: usize = 4;
/// Number of other endpoints that are probed when one is found out of reach.
const SAMPLE: usize = 2;
/// Time for which a new connection has to stay open: what cuts an instance off may accept its
/// connections and reset them.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Probes the endpoints that are out of reach until the process ends.
pub async fn watch(state: Rc<State>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let due = {
            let mut roster = state.roster.borrow_mut();
            roster.take_probes(state.now(), MAX_PROBES)
        };
        start_probes(&state, due);
        update_services(&state);
    }
}

/// Probes an endpoint that has requests and does not answer, unless it answered not long ago.
pub fn check_silent(state: &Rc<State>, endpoint: &id::Endpoint) {
    let address = {
        let mut roster = state.roster.borrow_mut();
        roster.take_silent(state.now(), endpoint)
    };
    let due = address.map(|address| (endpoint.clone(), address));
    start_probes(state, due.into_iter().collect());
}

fn start_probes(state: &Rc<State>, endpoints: Vec<(id::Endpoint, SocketAddr)>) {
    for (endpoint, address) in endpoints {
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move { probe(&state, &endpoint, address).await });
    }
}

/// Opens a connection to learn whether an endpoint is in reach, and keeps it for a request.
///
/// # Errors
/// The endpoint cannot be reached.
pub async fn probe(
    state: &Rc<State>,
    endpoint: &id::Endpoint,
    address: SocketAddr,
) -> Result<(), Fault> {
    match open_settled(endpoint, address).await {
        Ok(link) => {
            keep(state, endpoint, link);
            record_reached(state, endpoint);
            Ok(())
        }
        Err(fault) => {
            record_unreachable(state, endpoint, &fault);
            Err(fault)
        }
    }
}

/// Whether any other endpoint is in reach: if none is, a failure says nothing of its endpoint.
pub async fn reaches_others(state: &Rc<State>, endpoint: &id::Endpoint) -> bool {
    let others = {
        let roster = state.roster.borrow();
        roster.others(endpoint, SAMPLE, &mut rand::rng())
    };
    for (other, address) in others {
        let target = Target::Endpoint(other.clone());
        match Link::open(target, address).await {
            Ok(link) => {
                keep(state, &other, link);
                return true;
            }
            Err(fault) => record_unreachable(state, &other, &fault),
        }
    }
    false
}

/// Keeps a new connection for a request, unless its endpoint is gone.
fn keep(state: &State, endpoint: &id::Endpoint, link: Link) {
    if state.roster.borrow().node(endpoint).is_some() {
        let now = tokio::time::Instant::now();
        state.pool.borrow_mut().put(link, now, None);
    }
}

async fn open_settled(endpoint: &id::Endpoint, address: SocketAddr) -> Result<Link, Fault> {
    let link = Link::open(Target::Endpoint(endpoint.clone()), address).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    if link.is_closed() {
        return Err(Fault::Unsent("a new connection was closed".into()));
    }
    Ok(link)
}

/// Records that an endpoint answers on a new connection.
pub fn record_reached(state: &State, endpoint: &id::Endpoint) {
    let lost = {
        let mut roster = state.roster.borrow_mut();
        roster.record_reached(state.now(), endpoint)
    };
    if let Some(lost) = lost {
        event::ENDPOINT_REACH.emit(format_args!(
            "endpoint={endpoint} state=reached after_ms={}",
            lost.as_millis()
        ));
        update_services(state);
    }
}

/// Records that a connection to an endpoint could not be opened.
pub fn record_unreachable(state: &Rc<State>, endpoint: &id::Endpoint, fault: &Fault) {
    let (newly, sample) = {
        let mut roster = state.roster.borrow_mut();
        let now = state.now();
        let newly = roster.record_unreachable(now, endpoint);
        let service = roster
            .node(endpoint)
            .map(|node| node.entry.service.clone())
            .filter(|service| newly && !roster.is_lost(now, service));
        let sample =
            service.map(|service| roster.take_sample(now, &service, SAMPLE, &mut rand::rng()));
        (newly, sample.unwrap_or_default())
    };
    if !newly {
        return;
    }
    event::ENDPOINT_REACH.emit(format_args!(
        "endpoint={endpoint} state=lost fault={fault:?}"
    ));
    if !matches!(fault, Fault::Refused(_)) {
        // Requests on kept connections would wait for an answer in vain.
        state.pool.borrow_mut().remove(endpoint);
    }
    start_probes(state, sample);
    for service in update_services(state) {
        sample_others(state, &service);
    }
}

/// Probes some endpoints of the other services.
fn sample_others(state: &Rc<State>, lost: &id::Service) {
    let services = state.roster.borrow().other_services(lost);
    for service in services {
        let sample = {
            let mut roster = state.roster.borrow_mut();
            roster.take_sample(state.now(), &service, SAMPLE, &mut rand::rng())
        };
        start_probes(state, sample);
    }
}

/// Logs the services that are lost to this instance since the last call, or no longer. Returns the
/// former.
pub fn update_services(state: &State) -> Vec<id::Service> {
    let (lost, endpoints) = {
        let roster = state.roster.borrow();
        (
            roster.lost_services(state.now()),
            roster.unreachable().count(),
        )
    };
    let before = state.lost_services.replace(lost.clone());
    let log = |service: &id::Service, change: &str| {
        event::SERVICE_REACH.emit(format_args!(
            "service={service} state={change} endpoints={endpoints}"
        ));
    };
    for service in before.iter().filter(|service| !lost.contains(service)) {
        log(service, "reached");
    }
    let newly = lost.into_iter().filter(|service| !before.contains(service));
    let newly: Vec<id::Service> = newly.collect();
    for service in &newly {
        log(service, "lost");
    }
    newly
}
