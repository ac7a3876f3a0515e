//! Detects the crash of an endpoint that interrupted a run.
//!
//! A registration outlives its endpoint by several heartbeats, but a process that is gone refuses
//! connections at once. An instance that is cut off sees the same of all endpoints, so that a
//! refused connection counts only while another endpoint is in reach.

use std::net::SocketAddr;
use std::rc::Rc;

use coltsfoothall::id;

use crate::pool::{Fault, Target};
use crate::reach;
use crate::state::State;

/// Number of connections by which an endpoint is probed. It may be accepted while the endpoint falls,
/// or reset as one too many.
const TRIES: usize = 2;

/// Starts to connect to an endpoint that interrupted a run, unless it is leaving or such an attempt
/// is under way.
pub fn start(state: &Rc<State>, endpoint: &id::Endpoint) {
    let Some(address) = listed(state, endpoint) else {
        return;
    };
    let mut probed = state.probed.borrow_mut();
    let Err(index) = probed.binary_search(endpoint) else {
        return;
    };
    probed.insert(index, endpoint.clone());
    let (state, endpoint) = (Rc::clone(state), endpoint.clone());
    tokio::task::spawn_local(async move {
        let opened = reach::probe(&state, &endpoint, address).await;
        state.probed.borrow_mut().retain(|other| *other != endpoint);
        if let Err(Fault::Refused(_)) = opened {
            confirm_crash(&state, &endpoint).await;
        }
    });
}

/// The address of an endpoint that takes requests.
fn listed(state: &State, endpoint: &id::Endpoint) -> Option<SocketAddr> {
    let roster = state.roster.borrow();
    let node = roster.node(endpoint);
    node.filter(|node| !node.is_leaving())
        .map(|node| node.entry.address)
}

/// The address of an endpoint that would not exit by itself after an answer: one that leaves may, unless
/// it is taken away at a time that it named, and cut off then.
fn lasting(state: &State, endpoint: &id::Endpoint) -> Option<SocketAddr> {
    let roster = state.roster.borrow();
    let node = roster.node(endpoint);
    node.filter(|node| !node.is_leaving() || node.is_reclaimed())
        .map(|node| node.entry.address)
}

/// Whether an endpoint has outlived an answer that ended with its connection.
pub async fn has_outlived(state: &Rc<State>, target: &Target) -> bool {
    let Target::Endpoint(endpoint) = target else {
        return true;
    };
    for _ in 0..TRIES {
        let Some(address) = lasting(state, endpoint) else {
            return true;
        };
        match reach::probe(state, endpoint, address).await {
            Ok(()) => return true,
            Err(Fault::Refused(_)) => return false,
            Err(Fault::Unsent(_) | Fault::Broken(_) | Fault::Withheld) => {}
        }
    }
    true
}

/// Records the crash of an endpoint that refuses connections, unless this instance reaches no other
/// endpoint either. The lapse of its registration tells then.
pub async fn confirm_crash(state: &Rc<State>, endpoint: &id::Endpoint) {
    if reach::reaches_others(state, endpoint).await {
        state.record_crash(endpoint);
    }
}
