//! Follows the store, and asks other instances for what it cannot give.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::Place;
use coltsfoothall::forward::peer::{Profile, TOGETHER};
use coltsfoothall::forward::rest;
use coltsfoothall::id;
use coltsfoothall::turn;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::border::{Error, Item, Listing, Realm};
use crate::calls::Call;
use crate::state::State;
use crate::time;

/// Wait after a failed call, doubled up to [`LONGEST_PAUSE`]: refused calls are paid for, and
/// the store's rate is shared by all instances.
const PAUSE: Duration = Duration::from_millis(250);
/// Wait after an answer from another era than was asked for.
const CONFUSED: Duration = Duration::from_millis(50);
/// Longest wait: what the store says must be in force two seconds after it is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// A store that was away for so long may have let registrations lapse.
const AWAY: Duration = Duration::from_millis(900);
/// Rest between two readings of endpoints' registrations: a sixth of the time in which
/// leaving endpoints must get no more work, to save calls while heartbeats change them.
const ENDPOINTS_REST: Duration = Duration::from_millis(350);
/// Rest after a change of the configuration, for several in quick succession.
const CONFIGURATION_REST: Duration = Duration::from_millis(50);
/// Most by which that rest grows.
const LONGEST_REST: u32 = 3;
/// Part of the time in which leaving endpoints must get no more work that an instance may
/// rest: the call after it and news from others have the other half.
const RESTED_OF_DRAIN: u32 = 2;
/// Time between looks for a newer configuration at other instances.
const LOOK: Duration = Duration::from_millis(250);
/// Time in which another instance must answer.
const ANSWER: Duration = Duration::from_millis(800);
/// Path at which an instance shows the configuration in force.
pub const CONFIGURATION: &str = "/v1/configuration";
/// Path at which an instance shows the endpoints that it knows.
pub const ENDPOINTS: &str = "/v1/endpoints";
/// Start of the names under which instances register.
pub const MEMBER: &str = "member/";
/// Name of the key whose holder acts for all.
pub const LEADER: &str = "leader";

/// Endpoints as one instance shows them to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Known {
    /// Name, value and place of each registration.
    pub endpoints: Vec<(String, Bytes, Place)>,
}

/// Follows one part of the store for as long as the process runs.
pub async fn follow(state: Rc<State>, realm: Realm) {
    let mut lost: Option<Time> = None;
    let mut after: Option<Place> = None;
    let mut pause = PAUSE;
    loop {
        let asked = state.now();
        if after
            .take_if(|after| Some(after.era) < state.era())
            .is_some()
        {
            event::STORE.emit(format_args!("realm={realm:?} state=history_replaced"));
        }
        let call = async {
            match after {
                None => {
                    state.calls.count(Call::List(realm));
                    state.border.list(realm).await
                }
                Some(after) => {
                    state.calls.count(Call::Watch(realm));
                    state.border.watch(realm, after).await
                }
            }
        };
        let outcome = tokio::select! {
            outcome = call => outcome,
            () = state.health.back() => continue,
            () = state.risen.notified() => continue,
        };
        state.look_at_era();
        match outcome {
            // It is from before the store came back, or goes on in a history that it does not
            // begin in.
            Ok(listing) if !is_current(&state, after, &listing) => {
                after = None;
                tokio::time::sleep(CONFUSED).await;
            }
            Ok(listing) => {
                pause = PAUSE;
                if let Some(since) = lost.take() {
                    let away = asked.since(since);
                    event::STORE.emit(format_args!(
                        "realm={realm:?} state=back away_ms={}",
                        away.as_millis()
                    ));
                    if away > AWAY {
                        state.store_returned();
                    }
                }
                let whole = after.is_none();
                let changed = !listing.items.is_empty();
                after = Some(listing.place);
                apply(&state, realm, listing, whole);
                if changed {
                    // Changes come in groups; one call brings them all.
                    tokio::time::sleep(rest(&state, realm)).await;
                }
            }
            Err(Error::Dropped(_)) => {
                event::STORE.emit(format_args!("realm={realm:?} state=history_dropped"));
                after = None;
            }
            Err(error) => {
                if lost.is_none() {
                    lost = Some(asked);
                    event::STORE.emit(format_args!("realm={realm:?} state=lost reason={error:?}"));
                }
                state.health.pause(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Whether a listing is of the newest era, and of the one that it was asked in.
fn is_current(state: &State, after: Option<Place>, listing: &Listing) -> bool {
    let era = listing.place.era;
    Some(era) >= state.era() && after.is_none_or(|after| after.era == era)
}

/// Notes whether the store answered a call, made then, whose answer was due at once.
pub fn note(state: &State, asked: Time, answered: bool) {
    if !answered {
        state.health.failed(asked);
        return;
    }
    let Some(away) = state.health.answered(state.now()) else {
        return;
    };
    event::STORE.emit(format_args!(
        "realm=all state=back away_ms={}",
        away.as_millis()
    ));
    if away > AWAY {
        state.store_returned();
    }
}

/// How long an instance rests after a change, longer in a large fleet. What one reads in its
/// rest the others have told it, and each call is paid for: a fleet of 64 made 5,900 in 76 s.
fn rest(state: &State, realm: Realm) -> Duration {
    let turns = turn::turns(state.reach().members as usize, TOGETHER) as u32;
    match realm {
        Realm::Configuration => CONFIGURATION_REST * turns.min(LONGEST_REST),
        Realm::Endpoints => {
            let longest = state.settings().bounds.drain.duration() / RESTED_OF_DRAIN;
            (ENDPOINTS_REST * turns).min(longest.max(ENDPOINTS_REST))
        }
        Realm::Live => {
            let rank = state.peers.borrow().rank(state.now());
            rest::Settings::default().of(rank, state.fence().is_some())
        }
        Realm::Notes => Duration::ZERO,
    }
}

fn apply(state: &Rc<State>, realm: Realm, listing: Listing, whole: bool) {
    match realm {
        Realm::Configuration => {
            for raw in listing.items.iter().filter_map(|item| item.value.as_ref()) {
                state.adopt(raw, "store");
            }
        }
        Realm::Endpoints => apply_endpoints(state, listing, whole, "store"),
        Realm::Live => apply_live(state, &listing, whole),
        // Read by who acts for all, and never followed.
        Realm::Notes => {}
    }
}

/// Takes over registrations; a whole list also shows which ones are gone.
fn apply_endpoints(state: &Rc<State>, listing: Listing, whole: bool, source: &'static str) {
    let mut entries = Vec::new();
    for item in listing.items {
        if item.value.is_none() {
            remove(state, &item.name, item.place);
            continue;
        }
        match state.border.entry(&item) {
            Ok(entry) => {
                let event = state
                    .roster
                    .borrow_mut()
                    .registered(state.now(), entry.clone());
                state.note(event, item.place, source);
                entries.push(entry);
                keep(state, item);
            }
            Err(error) => {
                event::STORE_FAILED.emit(format_args!(
                    "endpoint={} reason={:?}",
                    item.name,
                    error.to_string()
                ));
                // Whoever wrote it, it names no endpoint to use, whatever its id was before.
                if let Ok(id) = item.name.parse() {
                    forget(state, &id, item.place, source);
                }
            }
        }
    }
    if whole {
        let missing = state.roster.borrow().missing(&entries);
        for id in missing {
            remove(state, id.as_str(), listing.place);
        }
    }
}

fn keep(state: &State, item: Item) {
    let mut listed = state.listed.borrow_mut();
    match listed.binary_search_by(|have| have.name.cmp(&item.name)) {
        Ok(place) => listed[place] = item,
        Err(place) => listed.insert(place, item),
    }
}

/// A registration is gone; after the store was away it may only have lapsed.
fn remove(state: &Rc<State>, name: &str, at: Place) {
    let Ok(id) = name.parse::<id::Endpoint>() else {
        event::STORE_FAILED.emit(format_args!("endpoint={name:?} reason=\"not a name\""));
        return;
    };
    let mercy = state.mercy();
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        if let Some(mercy) = mercy {
            tokio::time::sleep(mercy).await;
        }
        forget(&state, &id, at, "store");
    });
}

/// No endpoint is registered under an id, as of then.
fn forget(state: &State, id: &id::Endpoint, at: Place, source: &str) {
    let event = state.roster.borrow_mut().removed(id, at);
    if event.is_some() {
        let mut listed = state.listed.borrow_mut();
        listed.retain(|item| item.name != id.as_str());
    }
    state.note(event, at, source);
}

fn apply_live(state: &State, listing: &Listing, whole: bool) {
    for item in &listing.items {
        if let Some(name) = item.name.strip_prefix(MEMBER) {
            apply_member(state, name, item);
        } else if item.name == LEADER {
            let mut leader = state.leader.borrow_mut();
            if item.value.is_some() {
                leader.taken(item.created);
            } else {
                leader.freed(time::boot());
            }
        }
    }
    if whole && !listing.items.iter().any(|item| item.name == LEADER) {
        state.leader.borrow_mut().freed(time::boot());
    }
}

fn apply_member(state: &State, name: &str, item: &Item) {
    let Some(value) = &item.value else {
        if let Ok(name) = name.parse() {
            state.peers.borrow_mut().withdrawn(&name);
        }
        return;
    };
    match serde_json::from_slice::<Profile>(value) {
        Ok(profile) => state.peers.borrow_mut().registered(profile),
        Err(error) => {
            event::STORE_FAILED.emit(format_args!("member={name} reason={:?}", error.to_string()));
        }
    }
}

/// Asks other instances for a newer configuration, and for endpoints while none are known.
pub async fn ask_peers(state: Rc<State>) {
    let client = Client::new();
    loop {
        tokio::time::sleep(LOOK).await;
        let newest = {
            let peers = state.peers.borrow();
            peers.newest(state.now(), state.version()).cloned()
        };
        if let Some(peer) = newest
            && let Some(raw) = ask(&state, &client, &peer, CONFIGURATION).await
        {
            state.adopt(&raw, peer.name.as_str());
        }
        if state.roster.borrow().nodes().is_empty() {
            ask_endpoints(&state, &client).await;
        }
    }
}

async fn ask_endpoints(state: &Rc<State>, client: &Client) {
    let peer = {
        let peers = state.peers.borrow();
        let ready = peers
            .profiles(state.now())
            .into_iter()
            .find(|peer| peer.ready);
        ready.cloned()
    };
    let Some(peer) = peer else {
        return;
    };
    let Some(raw) = ask(state, client, &peer, ENDPOINTS).await else {
        return;
    };
    match rmp_serde::from_slice::<Known>(&raw) {
        Ok(known) => {
            let items = known.endpoints.into_iter();
            let items = items.map(|(name, value, place)| Item {
                name,
                value: Some(value),
                place,
                created: Place::default(),
            });
            let listing = Listing {
                items: items.collect(),
                place: Place::default(),
            };
            apply_endpoints(state, listing, false, "peer");
        }
        Err(error) => {
            event::LINK_FAILED.emit(format_args!(
                "peer={} reason={:?}",
                peer.name,
                error.to_string()
            ));
        }
    }
}

async fn ask(state: &State, client: &Client, peer: &Profile, path: &str) -> Option<Bytes> {
    let port = state.settings().listen.control?.port();
    let address = SocketAddr::new(peer.front.ip(), port).to_string();
    let call = client.call(
        "ask a peer",
        Method::GET,
        &address,
        path,
        Bytes::new(),
        ANSWER,
    );
    match call.await {
        Ok(raw) => Some(raw),
        Err(error) => {
            event::LINK_FAILED.emit(format_args!(
                "peer={} reason={:?}",
                peer.name,
                error.to_string()
            ));
            None
        }
    }
}

/// What this instance shows to others under a path.
#[must_use]
pub fn show(state: &State, path: &str) -> Option<Bytes> {
    match path {
        CONFIGURATION => state.configuration().map(|have| have.raw),
        ENDPOINTS => {
            let listed = state.listed.borrow();
            let endpoints = listed.iter().filter_map(|item| {
                let value = item.value.clone()?;
                Some((item.name.clone(), value, item.place))
            });
            let known = Known {
                endpoints: endpoints.collect(),
            };
            rmp_serde::to_vec(&known).ok().map(Bytes::from)
        }
        _ => None,
    }
}
