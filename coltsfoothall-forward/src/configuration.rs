//! The operators' configuration: followed at the store, and asked of other instances.

use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::forward::lag::Backlog;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;

use crate::ask::{CONFIGURATION, ask};
use crate::border::{Listing, Realm};
use crate::follower::{self, Follower, News};
use crate::state::State;

/// Time between looks for a newer configuration at other instances.
const LOOK: Duration = Duration::from_millis(250);

/// Follows the configuration at the store for as long as the process runs.
pub async fn follow(state: Rc<State>) {
    let mut follower = Follower::new(Realm::Configuration, None);
    let mut backlog = Backlog::default();
    loop {
        if backlog.grew(state.newest_version()) {
            follower.read_anew();
        }
        let Some(News { listing, .. }) = follower.step(&state).await else {
            continue;
        };
        if listing.items.is_empty() {
            continue;
        }
        if let Some(version) = take(&state, &listing) {
            backlog.brought(version);
        }
        // Changes come in groups; one call brings them all.
        tokio::time::sleep(follower::rest(&state, Realm::Configuration)).await;
    }
}

/// Takes over the newest version of a listing that can be read, and returns it.
fn take(state: &State, listing: &Listing) -> Option<u64> {
    let values = listing.items.iter().rev();
    let mut values = values.filter_map(|item| item.value.as_ref());
    values.find_map(|raw| state.adopt(raw, "store"))
}

/// Asks other instances for a newer configuration.
pub async fn ask_peers(state: Rc<State>) {
    let client = Client::new();
    loop {
        tokio::time::sleep(LOOK).await;
        report_lag(&state);
        let newest = {
            let peers = state.peers.borrow();
            peers.newest(state.now(), state.version()).cloned()
        };
        if let Some(peer) = newest
            && let Some(raw) = ask(&state, &client, &peer, CONFIGURATION).await
        {
            state.adopt(&raw, peer.name.as_str());
        }
    }
}

fn report_lag(state: &State) {
    let overdue = state.lag.borrow_mut().overdue(state.now());
    if let Some((newest, age)) = overdue {
        event::BEHIND.emit(format_args!(
            "version={} newest={newest} behind_ms={} store_lost={}",
            state.version(),
            age.as_millis(),
            state.config_lost.get()
        ));
    }
}
