//! Follows the operators' configuration at the store, and fetches it from other instances.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::lag::Backlog;
use coltsfoothall::forward::peer::Profile;
use coltsfoothall::forward::role::Role;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;
use http::{HeaderMap, Response, StatusCode};
use rand::seq::IteratorRandom;

use crate::adapter::{Keyspace, Listing};
use crate::compression;
use crate::fetch::{COMPRESSED_CONFIGURATION_PATH, fetch};
use crate::follower::{self, Follower, Update};
use crate::outgoing::{self, Outgoing};
use crate::state::State;
use crate::upgrades;

/// Interval at which other instances are queried for a newer configuration.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the configuration at the store until the process ends.
pub async fn follow(state: Rc<State>) {
    let mut follower = Follower::new(Keyspace::Configuration, None);
    let mut backlog = Backlog::default();
    loop {
        if state.role() == Role::Standby {
            follower.reset();
        }
        state.active().await;
        if backlog.should_skip_history(state.newest_version()) {
            follower.reset();
        }
        let update = tokio::select! {
            update = follower.tick(&state) => update,
            () = state.on_standby() => continue,
        };
        let Some(Update { listing, complete }) = update else {
            continue;
        };
        if listing.items.is_empty() {
            continue;
        }
        if let Some(version) = adopt_newest(&state, &listing) {
            backlog.record_delivered(version);
        }
        upgrades::apply(&state, &listing, complete).await;
        // Changes come in bursts; a delay lets one call return all of them.
        tokio::time::sleep(follower::poll_delay(&state, Keyspace::Configuration)).await;
    }
}

/// Adopts the newest valid configuration of a listing, and returns its version.
fn adopt_newest(state: &State, listing: &Listing) -> Option<u64> {
    let values = listing.items.iter().rev();
    let values = values.filter(|item| state.adapter.is_configuration(&item.name));
    let mut values = values.filter_map(|item| item.value.as_ref());
    values.find_map(|raw| state.adopt(raw, "store"))
}

/// Fetches a newer configuration from other instances when the store does not deliver it in time.
pub async fn fetch_from_peers(state: Rc<State>) {
    let client = Client::new();
    loop {
        tokio::time::sleep(PEER_QUERY_INTERVAL).await;
        report_lag(&state);
        if let Some(peer) = choose_peer(&state) {
            fetch_from(&state, &client, &peer).await;
        }
    }
}

/// The instance to query now. It is drawn at random each time, so that not all instances query one
/// that is slow or busy.
fn choose_peer(state: &State) -> Option<Profile> {
    let now = state.now();
    let follows_store =
        state.role() == Role::Active && state.version() > 0 && !state.adoption.store_lost.get();
    if !state
        .adoption
        .lag
        .borrow()
        .should_ask_peer(now, follows_store)
    {
        return None;
    }
    let peers = state.peers.borrow();
    let candidates = peers.with_newer_config(now, state.version(), &state.domain);
    candidates.into_iter().choose(&mut rand::rng()).cloned()
}

/// Fetches the configuration of another instance, unless its version is reached in another way
/// first.
async fn fetch_from(state: &Rc<State>, client: &Client, peer: &Profile) {
    tokio::select! {
        compressed = fetch(state, client, peer, COMPRESSED_CONFIGURATION_PATH) => {
            if let Some(compressed) = compressed {
                adopt_compressed(state, peer, compressed);
            }
        }
        () = state.wait_for_version(peer.version) => {}
    }
}

fn adopt_compressed(state: &State, peer: &Profile, compressed: Bytes) {
    let raw = match compression::decompress(&compressed) {
        Ok(raw) => raw,
        Err(error) => {
            let reason = error.to_string();
            event::LINK_FAILED.emit(format_args!("peer={} reason={reason:?}", peer.name));
            return;
        }
    };
    let version = state.adopt(&raw, peer.name.as_str());
    if let Some(have) = state.configuration()
        && Some(have.config.version) == version
    {
        have.compressed.get_or_init(|| compressed);
    }
}

/// Serves the configuration in force to operators.
pub fn show(state: &State) -> Response<Outgoing> {
    match state.configuration() {
        Some(have) => outgoing::json(Outgoing::full(have.raw)),
        None => outgoing::empty(StatusCode::NOT_FOUND),
    }
}

/// Serves the configuration in force to another instance, or refuses when the egress limit is
/// reached.
pub fn show_compressed(state: &State) -> Response<Outgoing> {
    let Some(have) = state.configuration() else {
        return outgoing::empty(StatusCode::NOT_FOUND);
    };
    let compressed = have
        .compressed
        .get_or_init(|| compression::compress(&have.raw));
    let mut egress = state.adoption.egress.borrow_mut();
    if !egress.admit(state.now(), compressed.len()) {
        return outgoing::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = Outgoing::full(compressed.clone());
    outgoing::answer(StatusCode::OK, HeaderMap::new(), body)
}

fn report_lag(state: &State) {
    let overdue = state.adoption.lag.borrow_mut().take_overdue(state.now());
    if let Some((newest, age)) = overdue {
        event::BEHIND.emit(format_args!(
            "version={} newest={newest} behind_ms={} store_lost={}",
            state.version(),
            age.as_millis(),
            state.adoption.store_lost.get()
        ));
    }
}
