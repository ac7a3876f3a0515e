//! Detects the crash of an endpoint that interrupted a run.
//!
//! A registration outlives its endpoint by several heartbeats, but a process that is gone refuses
//! connections at once. An instance that is cut off sees the same of all endpoints, so that a
//! refused connection counts only while another endpoint is in reach.

use std::rc::Rc;

use coltsfoothall::id;

use crate::pool::Fault;
use crate::reach;
use crate::state::State;

/// Starts to connect to an endpoint that interrupted a run, unless it is leaving or such an attempt
/// is under way.
pub fn start(state: &Rc<State>, endpoint: &id::Endpoint) {
    let address = {
        let roster = state.roster.borrow();
        let node = roster.node(endpoint);
        node.filter(|node| !node.entry.leaving)
            .map(|node| node.entry.address)
    };
    let Some(address) = address else {
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

/// Records the crash of an endpoint that refuses connections, unless this instance reaches no other
/// endpoint either. The lapse of its registration tells then.
pub async fn confirm_crash(state: &Rc<State>, endpoint: &id::Endpoint) {
    if reach::reaches_others(state, endpoint).await {
        state.record_crash(endpoint);
    }
}
