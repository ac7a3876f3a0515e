//! Registrations of endpoints, read from the store or from an instance that reads the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::peer::Profile;
use coltsfoothall::forward::reader::{Budget, Candidate, MAX_FAILED_READERS, Reading, Source};
use coltsfoothall::forward::role::Role;
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;

use crate::adapter::{Item, Keyspace, Listing};
use crate::changelog::{Change, Page, Row, Since};
use crate::compression;
use crate::fetch::{self, ENDPOINTS_PATH};
use crate::follower::{self, Follower, Update};
use crate::state::State;

/// Source of a change, as logged.
const STORE: &str = "store";
const PEER: &str = "peer";
/// Query parameters: the sequence number, or the position, from which to resume.
const AFTER_PARAM: &str = "after";
const POSITION_PARAM: &str = "place";

/// Delay before an instance of a divided fleet asks another reader.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Readers that may fail in a row before an instance on standby reads the store directly: when the
/// whole fleet starts, the readers need some seconds themselves.
const MAX_FAILED_READERS_ON_STANDBY: usize = 12;
/// Time limit of a reader's complete first page.
const FIRST_PAGE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a first page is kept.
const FIRST_PAGE_PERIOD: Duration = Duration::from_millis(300);

/// How far an instance has followed its reader.
#[derive(Debug)]
struct Cursor {
    reader: id::Instance,
    /// The run of the reader's process that assigned the sequence numbers.
    boot: u64,
    /// The sequence number from which to resume, once known.
    next: Option<u64>,
}

/// Follows the registrations until the process ends.
pub async fn follow(state: Rc<State>) {
    let client = Client::new();
    let mut reading = Reading::default();
    let mut follower = Follower::new(Keyspace::Endpoints, None);
    let mut cursor: Option<Cursor> = None;
    state.members_read().await;
    loop {
        let Some(source) = source(&state, &reading) else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        // In a small fleet the first complete list is read from the store, to spare the reader's
        // link.
        let known = follower
            .position()
            .or_else(|| state.is_divided().then(Position::default));
        match (source, known) {
            (Source::Reader(reader), Some(known)) => {
                state.registrations_as_of.set(None);
                let previous = cursor.take().filter(|previous| previous.reader == reader);
                let previous = previous.unwrap_or(Cursor {
                    reader,
                    boot: 0,
                    next: None,
                });
                if let Some((now, position)) = read_page(&state, &client, previous, known).await {
                    reading.record_answer();
                    cursor = Some(now);
                    follower = Follower::new(Keyspace::Endpoints, Some(position));
                    tokio::time::sleep(budget(&state).poll_interval).await;
                } else {
                    reading.record_failure(state.now(), max_failures(&state));
                    if state.is_divided() {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
            (Source::Store, _) | (Source::Reader(_), None) => {
                cursor = None;
                let Some(Update { listing, complete }) = follower.tick(&state).await else {
                    continue;
                };
                let changed = !listing.items.is_empty();
                apply_listing(&state, listing, complete);
                if changed {
                    // Heartbeats change registrations all the time; a delay lets one call return
                    // many changes.
                    tokio::time::sleep(follower::poll_delay(&state, Keyspace::Endpoints)).await;
                }
            }
        }
    }
}

/// Readers that may fail in a row before this instance reads the store directly.
fn max_failures(state: &State) -> usize {
    match state.role() {
        Role::Active => MAX_FAILED_READERS,
        Role::Standby => MAX_FAILED_READERS_ON_STANDBY,
    }
}

/// Where to read registrations from; none while an instance on standby knows no reader.
fn source(state: &State, reading: &Reading) -> Option<Source> {
    let peers = state.peers.borrow();
    let local = peers.same_domain(state.now(), &state.domain);
    let local: Vec<Candidate<'_>> = local
        .iter()
        .map(|profile| Candidate {
            name: &profile.name,
            link: profile.link,
        })
        .collect();
    let own = Candidate {
        name: &state.name,
        link: state.settings().link(),
    };
    if state.role() == Role::Standby && local.is_empty() {
        return None;
    }
    let members = state.fleet_size();
    let max_direct_members = state.settings().read_alone;
    Some(reading.source(state.now(), own, &local, members, max_direct_members))
}

/// Whether this instance is one of those that read the store for others.
pub fn reads_for_others(state: &State) -> bool {
    !state.reads_directly() && source(state, &Reading::default()) == Some(Source::Store)
}

/// How the time in which leaving endpoints must stop getting requests is divided.
pub fn budget(state: &State) -> Budget {
    Budget::of(state.settings().bounds.drain.duration())
}

/// Applies the changes of a reader. Returns the new cursor and the position up to which all changes
/// are known; none if the reader does not answer or its data is too old.
async fn read_page(
    state: &Rc<State>,
    client: &Client,
    previous: Cursor,
    known: Position,
) -> Option<(Cursor, Position)> {
    let log_lost = |reason: &str, age: Option<Duration>| {
        let reader = &previous.reader;
        event::STORE.emit(format_args!(
            "realm=Endpoints reader={reader} state=lost reason={reason:?} age_ms={:?}",
            age.map(|age| age.as_millis())
        ));
    };
    let profile = {
        let peers = state.peers.borrow();
        let local = peers.same_domain(state.now(), &state.domain);
        let found = local.into_iter().find(|peer| peer.name == previous.reader);
        found.cloned()?
    };
    let budget = budget(state);
    let sent_at = state.now();
    let timeout = if known == Position::default() {
        FIRST_PAGE_TIMEOUT
    } else {
        budget.answer_timeout
    };
    let changes = fetch_changes(state, client, &profile, &previous, known);
    let Ok(Some(page)) = tokio::time::timeout(timeout, changes).await else {
        log_lost("no answer", None);
        return None;
    };
    let round_trip = state.now().since(sent_at);
    let age = page
        .age_ms
        .map(|age| Duration::from_millis(age) + round_trip);
    if age.is_none_or(|age| age > budget.max_age) {
        log_lost("its data is too old", age);
        return None;
    }
    let now = Cursor {
        boot: page.boot,
        next: Some(page.next),
        ..previous
    };
    let position = known.max(page.position);
    apply_page(state, page);
    Some((now, position))
}

/// Fetches the changes after a cursor, or after a position if the reader has restarted its
/// numbering.
async fn fetch_changes(
    state: &State,
    client: &Client,
    reader: &Profile,
    previous: &Cursor,
    known: Position,
) -> Option<Page> {
    let by_position = Since::Position(known);
    let after = previous.next.map_or(by_position, Since::Sequence);
    let page = fetch(state, client, reader, after).await?;
    if page.boot == previous.boot || after == by_position {
        return Some(page);
    }
    fetch(state, client, reader, by_position).await
}

/// Fetches the registrations that changed later than `after` from another instance.
pub async fn fetch(state: &State, client: &Client, peer: &Profile, after: Since) -> Option<Page> {
    let path = match after {
        Since::Sequence(number) => format!("{ENDPOINTS_PATH}?{AFTER_PARAM}={number}"),
        Since::Position(position) => format!("{ENDPOINTS_PATH}?{POSITION_PARAM}={position}"),
    };
    let raw = fetch::fetch(state, client, peer, &path).await?;
    let read = compression::decompress(&raw).map_err(|error| error.to_string());
    let read = read.and_then(|raw| rmp_serde::from_slice(&raw).map_err(|error| error.to_string()));
    match read {
        Ok(page) => Some(page),
        Err(reason) => {
            event::LINK_FAILED.emit(format_args!("peer={} reason={reason:?}", peer.name));
            None
        }
    }
}

/// Applies a page of changes from another instance.
pub fn apply_page(state: &Rc<State>, page: Page) {
    for row in page.rows {
        let Row {
            name,
            change,
            position,
        } = row;
        match change {
            Change::Registered(value) => {
                let item = Item {
                    name,
                    value: Some(value),
                    position,
                    created: Position::default(),
                };
                register(state, &item, PEER);
            }
            Change::Leaving { leaves } => leave(state, &name, leaves, position),
            Change::Removed => remove(state, &name, position),
        }
    }
    state.changelog.borrow_mut().advance_to(page.position);
}

/// The page of changes that answers a query of another instance, compressed.
///
/// The first page of a follower holds all registrations. Many followers ask for it at the same time
/// when a fleet starts, so it is kept for a moment.
pub fn page(state: &State, query: Option<&str>) -> Option<Bytes> {
    let after = match query.and_then(|query| query.split_once('=')) {
        Some((AFTER_PARAM, number)) => Since::Sequence(number.parse().ok()?),
        Some((POSITION_PARAM, position)) => Since::Position(position.parse().ok()?),
        Some(_) => return None,
        None => Since::Sequence(0),
    };
    if after != Since::Position(Position::default()) {
        return page_after(state, after, Duration::ZERO);
    }
    let now = state.now();
    let mut kept = state.first_page.borrow_mut();
    if kept
        .as_ref()
        .is_none_or(|(at, _)| now.since(*at) >= FIRST_PAGE_PERIOD)
    {
        *kept = Some((now, page_after(state, after, FIRST_PAGE_PERIOD)?));
    }
    kept.as_ref().map(|(_, page)| page.clone())
}

/// The page of changes after a point, which may be sent for another `kept` time.
fn page_after(state: &State, after: Since, kept: Duration) -> Option<Bytes> {
    let changelog = state.changelog.borrow();
    let (next, rows) = changelog.since(after);
    let age = state
        .registrations_as_of
        .get()
        .map(|as_of| state.now().since(as_of) + kept);
    let page = Page {
        boot: state.boot,
        next,
        position: changelog.position(),
        age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        rows,
    };
    rmp_serde::to_vec(&page)
        .ok()
        .map(|raw| compression::compress(&raw))
}

/// Applies registrations from the store; a complete list also shows which ones are gone.
pub fn apply_listing(state: &Rc<State>, listing: Listing, complete: bool) {
    let mut entries = Vec::new();
    let items = listing.items.len();
    for item in listing.items {
        if item.value.is_none() {
            remove(state, &item.name, item.position);
        } else {
            entries.extend(register(state, &item, STORE));
        }
    }
    state.changelog.borrow_mut().advance_to(listing.position);
    if complete {
        let missing = state.roster.borrow().missing(&entries);
        event::STORE.emit(format_args!(
            "realm=Endpoints state=applied registered={} rejected={} missing={}",
            entries.len(),
            items - entries.len(),
            missing.len()
        ));
        for id in missing {
            remove(state, id.as_str(), listing.position);
        }
    }
}

/// Applies a registration, and returns it if it is valid.
fn register(state: &State, item: &Item, source: &str) -> Option<Entry> {
    match state.adapter.parse_registration(item) {
        Ok(entry) => {
            let event = state
                .roster
                .borrow_mut()
                .registered(state.now(), entry.clone());
            state.apply_event(event, item.position, source);
            state
                .upgrades
                .borrow_mut()
                .record_present(&entry.service, entry.version.as_ref());
            state.changelog.borrow_mut().put(item, &entry);
            Some(entry)
        }
        Err(error) => {
            event::STORE_FAILED.emit(format_args!(
                "endpoint={:?} reason={:?}",
                item.name,
                error.to_string()
            ));
            // An invalid registration removes the endpoint that was registered under its name.
            if let Ok(id) = item.name.parse() {
                state
                    .changelog
                    .borrow_mut()
                    .remove(&item.name, item.position);
                forget(state, &id, item.position, source);
            }
            None
        }
    }
}

/// Applies a reader's report that an endpoint is about to leave.
fn leave(state: &State, name: &str, leaves: Option<Millis>, at: Position) {
    let Ok(id) = name.parse::<id::Endpoint>() else {
        event::STORE_FAILED.emit(format_args!("endpoint={name:?} reason=\"not a name\""));
        return;
    };
    let time_left = leaves.map(Millis::duration);
    let event = state
        .roster
        .borrow_mut()
        .record_draining(state.now(), &id, at, time_left);
    state.apply_event(event, at, PEER);
    state
        .changelog
        .borrow_mut()
        .record_leaving(name, leaves, at);
}

/// Handles the removal of a registration. After an outage of the store it may merely have lapsed,
/// so the endpoint gets time to register again.
fn remove(state: &Rc<State>, name: &str, at: Position) {
    let Ok(id) = name.parse::<id::Endpoint>() else {
        event::STORE_FAILED.emit(format_args!("endpoint={name:?} reason=\"not a name\""));
        return;
    };
    state.changelog.borrow_mut().remove(name, at);
    let registration_grace = state.registration_grace();
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        if let Some(registration_grace) = registration_grace {
            tokio::time::sleep(registration_grace).await;
        }
        forget(&state, &id, at, STORE);
    });
}

/// Removes an endpoint as of a position.
fn forget(state: &State, id: &id::Endpoint, at: Position, source: &str) {
    let event = state.roster.borrow_mut().removed(state.now(), id, at);
    state.apply_event(event, at, source);
}
