//! Follows the members of the fleet and the leader's key, and fetches endpoints from other
//! instances while the store is unavailable.

use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::peer::Profile;
use coltsfoothall::forward::role::Role;
use coltsfoothall::id;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;
use rand::seq::IteratorRandom;

use crate::adapter::{Item, Keyspace, Listing};
use crate::calls::Call;
use crate::changelog::Since;
use crate::follower::{self, Follower, OUTAGE_THRESHOLD, Update};
use crate::registrations;
use crate::report::log_unreadable;
use crate::state::State;
use crate::time;

/// Delay of the first list of members when the whole fleet starts for the first time. It would be
/// incomplete, and each instance would take the fleet for a small one.
const FIRST_START_DELAY: Duration = Duration::from_secs(1);
/// How long other calls of the store wait for the first list of members.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(600);
/// The same when the whole fleet starts for the first time, before there are callers.
const FIRST_MEMBERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between queries to other instances.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Prefix of the keys under which instances register. Keys name the failure domain as well, so that
/// an instance of a large fleet has to read its own domain only.
const MEMBER_PREFIX: &str = "member/";
/// Key that the leader holds.
pub const LEADER_KEY: &str = "leader";

/// Prefix of the keys of a failure domain's members in the live keyspace.
#[must_use]
pub fn member_prefix(domain: &id::Domain) -> String {
    format!("{MEMBER_PREFIX}{domain}/")
}

/// Reads the members of this instance's failure domain, which often decide its role.
async fn read_domain(state: &State) {
    state.calls.count(Call::List(Keyspace::Live));
    match state.adapter.list_members(&state.domain).await {
        Ok(listing) => {
            for item in &listing.items {
                if let Some(name) = item.name.strip_prefix(MEMBER_PREFIX) {
                    apply_member(state, name, item);
                }
            }
            state.update_role();
        }
        Err(error) => {
            event::STORE_FAILED.emit(format_args!("step=read_domain reason={error:?}"));
        }
    }
}

/// Follows the members until the process ends.
pub async fn follow(state: Rc<State>) {
    if state.settings().first_start {
        // All instances register at this moment.
        tokio::time::sleep(FIRST_START_DELAY).await;
    }
    tokio::task::spawn_local({
        let state = Rc::clone(&state);
        async move {
            tokio::time::sleep(members_timeout(&state)).await;
            state.standing.record_members_read();
        }
    });
    read_domain(&state).await;
    if state.role() == Role::Standby {
        state.standing.record_members_read();
    }
    let mut follower = Follower::new(Keyspace::Live, None);
    loop {
        if state.role() == Role::Standby {
            follower.reset();
            state.active().await;
        }
        let update = tokio::select! {
            update = follower.tick(&state) => update,
            () = state.on_standby() => continue,
        };
        if let Some(Update { listing, complete }) = &update {
            apply(&state, listing, *complete);
            state.update_role();
        }
        state.standing.record_members_read();
        let Some(Update { listing, .. }) = update else {
            continue;
        };
        let changed = !listing.items.is_empty();
        if changed {
            // Changes come in bursts; a delay lets one call return all of them.
            tokio::time::sleep(follower::poll_delay(&state, Keyspace::Live)).await;
        }
    }
}

/// How long other calls of the store wait for the first list of members.
fn members_timeout(state: &State) -> Duration {
    if state.settings().first_start {
        FIRST_MEMBERS_TIMEOUT
    } else {
        MEMBERS_TIMEOUT
    }
}

/// Records whether the store answered a call, made at `called_at`, that it answers immediately.
pub fn record_call(state: &State, called_at: Time, answered: bool) {
    if !answered {
        state.health.record_failure(called_at);
        return;
    }
    // The store is available, so an open watch would have returned any change made
    // before this call.
    state.registrations_as_of.set(
        state
            .registrations_as_of
            .get()
            .map(|as_of| as_of.max(called_at)),
    );
    let Some(outage) = state.health.record_answer(state.now()) else {
        return;
    };
    event::STORE.emit(format_args!(
        "realm=all state=back away_ms={}",
        outage.as_millis()
    ));
    if outage > OUTAGE_THRESHOLD {
        state.store_returned();
    }
}

fn apply(state: &State, listing: &Listing, complete: bool) {
    for item in &listing.items {
        if let Some(name) = item.name.strip_prefix(MEMBER_PREFIX) {
            apply_member(state, name, item);
        } else if item.name == LEADER_KEY {
            let mut leader = state.leader.borrow_mut();
            if item.value.is_some() {
                leader.taken(item.created);
            } else {
                leader.freed(time::boot());
            }
        }
    }
    if complete && !listing.items.iter().any(|item| item.name == LEADER_KEY) {
        state.leader.borrow_mut().freed(time::boot());
    }
}

/// The failure domain and the name of the member whose registration has this key, which is without
/// the prefix of all members; none if an instance writes no such key.
#[must_use]
pub fn parse_key(key: &str) -> Option<(id::Domain, id::Instance)> {
    let (domain, name) = key.split_once('/')?;
    Some((domain.parse().ok()?, name.parse().ok()?))
}

/// Applies a registration, or its removal, unless another writer put it there.
fn apply_member(state: &State, key: &str, item: &Item) {
    let Some((domain, name)) = parse_key(key) else {
        event::STORE_FAILED.emit(format_args!("member={key:?} reason=\"not a member's key\""));
        return;
    };
    let Some(value) = &item.value else {
        state.peers.borrow_mut().withdrawn(&domain, &name);
        return;
    };
    match serde_json::from_slice::<Profile>(value) {
        Ok(profile) if profile.domain == domain && profile.name == name => {
            state.peers.borrow_mut().registered(profile);
        }
        Ok(profile) => event::STORE_FAILED.emit(format_args!(
            "member={key:?} reason=\"is of {} in {}\"",
            profile.name, profile.domain
        )),
        Err(error) => log_unreadable("read_member", key, &error),
    }
}

/// Fetches endpoints from other instances while none are known.
pub async fn fetch_endpoints(state: Rc<State>) {
    let client = Client::new();
    loop {
        tokio::time::sleep(PEER_QUERY_INTERVAL).await;
        // While the store answers, each instance reads from it, as the store's link is wider
        // than those of other instances.
        if state.role() == Role::Active
            && state.registrations_lost.get()
            && state.roster.borrow().nodes().is_empty()
        {
            fetch_from_one(&state, &client).await;
        }
    }
}

async fn fetch_from_one(state: &Rc<State>, client: &Client) {
    let peer = {
        let peers = state.peers.borrow();
        let ready = peers.profiles(state.now()).into_iter();
        let ready = ready.filter(|peer| peer.ready);
        ready.choose(&mut rand::rng()).cloned()
    };
    let Some(peer) = peer else {
        return;
    };
    if let Some(page) = registrations::fetch(state, client, &peer, Since::Sequence(0)).await {
        registrations::apply_page(state, page);
    }
}
