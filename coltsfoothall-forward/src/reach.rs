//! Connections to endpoints, and what follows from those that cannot be opened.

use std::net::SocketAddr;

use coltsfoothall::id;
use coltsfoothall_shell::event;

use crate::pool::{Fault, Link};
use crate::state::State;

/// Opens a connection to an endpoint and records whether it is in reach.
///
/// # Errors
/// The endpoint cannot be reached.
pub async fn open(
    state: &State,
    endpoint: &id::Endpoint,
    address: SocketAddr,
) -> Result<Link, Fault> {
    let opened = Link::open(endpoint.clone(), address).await;
    match &opened {
        Ok(_link) => record_reached(state, endpoint),
        Err(fault) => record_unreachable(state, endpoint, fault),
    }
    opened
}

fn record_reached(state: &State, endpoint: &id::Endpoint) {
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

fn record_unreachable(state: &State, endpoint: &id::Endpoint, fault: &Fault) {
    let newly = {
        let mut roster = state.roster.borrow_mut();
        roster.record_unreachable(state.now(), endpoint)
    };
    if newly {
        event::ENDPOINT_REACH.emit(format_args!(
            "endpoint={endpoint} state=lost fault={fault:?}"
        ));
        update_services(state);
    }
}

/// Logs the services that are lost to this instance since the last call, or no longer.
pub fn update_services(state: &State) {
    let (lost, endpoints) = {
        let roster = state.roster.borrow();
        (roster.lost_services(), roster.unreachable().count())
    };
    let before = state.lost_services.replace(lost.clone());
    let log = |service: &id::Service, change: &str| {
        event::SERVICE_REACH.emit(format_args!(
            "service={service} state={change} endpoints={endpoints}"
        ));
    };
    for service in lost.iter().filter(|service| !before.contains(service)) {
        log(service, "lost");
    }
    for service in before.iter().filter(|service| !lost.contains(service)) {
        log(service, "reached");
    }
}
