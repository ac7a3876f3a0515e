//! Endpoints' registrations: read at the store, or heard from an instance that reads there.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::peer::Profile;
use coltsfoothall::forward::reader::{Budget, Candidate, Reading, Source};
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;

use crate::ask::{self, ENDPOINTS};
use crate::border::{Item, Listing, Realm};
use crate::follower::{self, Follower, News};
use crate::pack;
use crate::passed::{After, Change, Part, Row};
use crate::state::State;

/// Where a change was heard of, as the log names it.
const STORE: &str = "store";
const PEER: &str = "peer";
/// Fields of a question: the number, or the place, to go on from.
const AFTER: &str = "after";
const PLACE: &str = "place";

/// What an instance has heard of its reader.
#[derive(Debug)]
struct Heard {
    reader: id::Instance,
    boot: u64,
    /// The number to go on from, once it was told one.
    next: Option<u64>,
}

/// Follows the registrations for as long as the process runs.
pub async fn follow(state: Rc<State>) {
    let client = Client::new();
    let mut reading = Reading::default();
    let mut follower = Follower::new(Realm::Endpoints, None);
    let mut heard: Option<Heard> = None;
    loop {
        match (source(&state, &reading), follower.after()) {
            // What was read from the store once is not sent over a reader's link.
            (Source::Reader(reader), Some(known)) => {
                state.fresh.set(None);
                let had = heard.take().filter(|had| had.reader == reader);
                let had = had.unwrap_or(Heard {
                    reader,
                    boot: 0,
                    next: None,
                });
                if let Some((now, place)) = hear(&state, &client, had, known).await {
                    reading.answered();
                    heard = Some(now);
                    follower = Follower::new(Realm::Endpoints, Some(place));
                    tokio::time::sleep(budget(&state).pause).await;
                } else {
                    reading.failed(state.now());
                }
            }
            (Source::Store, _) | (Source::Reader(_), None) => {
                heard = None;
                let Some(News { listing, whole }) = follower.step(&state).await else {
                    continue;
                };
                let changed = !listing.items.is_empty();
                apply(&state, listing, whole);
                if changed {
                    // Heartbeats change them all the time; one call brings many.
                    tokio::time::sleep(follower::rest(&state, Realm::Endpoints)).await;
                }
            }
        }
    }
}

fn source(state: &State, reading: &Reading) -> Source {
    let peers = state.peers.borrow();
    let near = peers.same_domain(state.now(), &state.domain);
    let near: Vec<Candidate<'_>> = near
        .iter()
        .map(|profile| Candidate {
            name: &profile.name,
            link: profile.link,
        })
        .collect();
    let me = Candidate {
        name: &state.name,
        link: state.settings().link(),
    };
    let members = state.reach().members as usize;
    let alone = state.settings().read_alone;
    reading.source(state.now(), me, &near, members, alone)
}

/// Whether this instance is one of those that read for others.
pub fn reads_for_others(state: &State) -> bool {
    !state.reads_alone() && source(state, &Reading::default()) == Source::Store
}

/// How the time in which leaving endpoints must get no more work is spent.
pub fn budget(state: &State) -> Budget {
    Budget::of(state.settings().bounds.drain.duration())
}

/// Takes over what a reader knows, and the place up to which all is known then; none if it does
/// not answer, or knows nothing new enough.
async fn hear(
    state: &Rc<State>,
    client: &Client,
    had: Heard,
    known: Position,
) -> Option<(Heard, Position)> {
    let lost = |reason: &str, age: Option<Duration>| {
        let reader = &had.reader;
        event::STORE.emit(format_args!(
            "realm=Endpoints reader={reader} state=lost reason={reason:?} age_ms={:?}",
            age.map(|age| age.as_millis())
        ));
    };
    let profile = {
        let peers = state.peers.borrow();
        let near = peers.same_domain(state.now(), &state.domain);
        let found = near.into_iter().find(|peer| peer.name == had.reader);
        found.cloned()?
    };
    let budget = budget(state);
    let asked = state.now();
    let told = tell(state, client, &profile, &had, known);
    let Ok(Some(part)) = tokio::time::timeout(budget.answer, told).await else {
        lost("no answer", None);
        return None;
    };
    let way = state.now().since(asked);
    let age = part.age_ms.map(|age| Duration::from_millis(age) + way);
    if age.is_none_or(|age| age > budget.oldest) {
        lost("its knowledge is old", age);
        return None;
    }
    let now = Heard {
        boot: part.boot,
        next: Some(part.next),
        ..had
    };
    let place = known.max(part.place);
    take(state, part);
    Some((now, place))
}

/// What a reader tells after what was heard of it, or after a place if it counts anew.
async fn tell(
    state: &State,
    client: &Client,
    reader: &Profile,
    had: &Heard,
    known: Position,
) -> Option<Part> {
    let by_place = After::Place(known);
    let after = had.next.map_or(by_place, After::Number);
    let part = ask(state, client, reader, after).await?;
    if part.boot == had.boot || after == by_place {
        return Some(part);
    }
    ask(state, client, reader, by_place).await
}

/// Asks another instance for the registrations that changed there since then.
pub async fn ask(state: &State, client: &Client, peer: &Profile, after: After) -> Option<Part> {
    let path = match after {
        After::Number(number) => format!("{ENDPOINTS}?{AFTER}={number}"),
        After::Place(place) => format!("{ENDPOINTS}?{PLACE}={place}"),
    };
    let raw = ask::ask(state, client, peer, &path).await?;
    let read = pack::unpack(&raw).map_err(|error| error.to_string());
    let read = read.and_then(|raw| rmp_serde::from_slice(&raw).map_err(|error| error.to_string()));
    match read {
        Ok(part) => Some(part),
        Err(reason) => {
            event::LINK_FAILED.emit(format_args!("peer={} reason={reason:?}", peer.name));
            None
        }
    }
}

/// Takes over what another instance told.
pub fn take(state: &Rc<State>, part: Part) {
    for row in part.rows {
        let Row {
            name,
            change,
            place,
        } = row;
        match change {
            Change::Registered(value) => {
                let item = Item {
                    name,
                    value: Some(value),
                    place,
                    created: Position::default(),
                };
                register(state, &item, PEER);
            }
            Change::Leaving { leaves } => leave(state, &name, leaves, place),
            Change::Removed => remove(state, &name, place),
        }
    }
    state.passed.borrow_mut().read_to(part.place);
}

/// What this instance tells others of the registrations, compressed.
pub fn show(state: &State, query: Option<&str>) -> Option<Bytes> {
    let after = match query.and_then(|query| query.split_once('=')) {
        Some((AFTER, number)) => After::Number(number.parse().ok()?),
        Some((PLACE, place)) => After::Place(place.parse().ok()?),
        Some(_) => return None,
        None => After::Number(0),
    };
    let passed = state.passed.borrow();
    let (next, rows) = passed.since(after);
    let age = state.fresh.get().map(|fresh| state.now().since(fresh));
    let part = Part {
        boot: state.boot,
        next,
        place: passed.place(),
        age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        rows,
    };
    rmp_serde::to_vec(&part).ok().map(|raw| pack::pack(&raw))
}

/// Takes over registrations from the store; a whole list also shows which ones are gone.
pub fn apply(state: &Rc<State>, listing: Listing, whole: bool) {
    let mut entries = Vec::new();
    for item in listing.items {
        if item.value.is_none() {
            remove(state, &item.name, item.place);
        } else {
            entries.extend(register(state, &item, STORE));
        }
    }
    state.passed.borrow_mut().read_to(listing.place);
    if whole {
        let missing = state.roster.borrow().missing(&entries);
        for id in missing {
            remove(state, id.as_str(), listing.place);
        }
    }
}

/// Takes over a registration; what it says, if it can be read.
fn register(state: &State, item: &Item, source: &str) -> Option<Entry> {
    match state.border.entry(item) {
        Ok(entry) => {
            let event = state
                .roster
                .borrow_mut()
                .registered(state.now(), entry.clone());
            state.note(event, item.place, source);
            state
                .upgrades
                .borrow_mut()
                .record_present(&entry.service, entry.version.as_ref());
            state.passed.borrow_mut().put(item, &entry);
            Some(entry)
        }
        Err(error) => {
            event::STORE_FAILED.emit(format_args!(
                "endpoint={} reason={:?}",
                item.name,
                error.to_string()
            ));
            // Whoever wrote it, it names no endpoint to use, whatever its id was before.
            if let Ok(id) = item.name.parse() {
                state.passed.borrow_mut().remove(&item.name, item.place);
                forget(state, &id, item.place, source);
            }
            None
        }
    }
}

/// A reader says that an endpoint is about to leave.
fn leave(state: &State, name: &str, leaves: Option<Millis>, at: Position) {
    let Ok(id) = name.parse::<id::Endpoint>() else {
        event::STORE_FAILED.emit(format_args!("endpoint={name:?} reason=\"not a name\""));
        return;
    };
    let within = leaves.map(Millis::duration);
    let event = state.roster.borrow_mut().left(state.now(), &id, at, within);
    state.note(event, at, PEER);
    state.passed.borrow_mut().left(name, leaves, at);
}

/// A registration is gone; after the store was away it may only have lapsed.
fn remove(state: &Rc<State>, name: &str, at: Position) {
    let Ok(id) = name.parse::<id::Endpoint>() else {
        event::STORE_FAILED.emit(format_args!("endpoint={name:?} reason=\"not a name\""));
        return;
    };
    state.passed.borrow_mut().remove(name, at);
    let mercy = state.mercy();
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        if let Some(mercy) = mercy {
            tokio::time::sleep(mercy).await;
        }
        forget(&state, &id, at, STORE);
    });
}

/// No endpoint is registered under an id, as of then.
fn forget(state: &State, id: &id::Endpoint, at: Position, source: &str) {
    let event = state.roster.borrow_mut().removed(id, at);
    state.note(event, at, source);
}
