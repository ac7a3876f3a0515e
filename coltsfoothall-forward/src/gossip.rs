//! Heartbeats between instances, sent as datagrams.
//!
//! A heartbeat holds all state of the sender that other instances need, so that the loss of one
//! only delays updates by an interval.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::batch;
use coltsfoothall::forward::crash;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::peer::{self, MAX_HEARTBEATS_PER_BATCH};
use coltsfoothall::forward::rate_limit::Report;
use coltsfoothall::forward::role::Role;
use coltsfoothall::id;
use coltsfoothall_shell::event;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use crate::message::{Departures, Extension, Heartbeat, Message, Reach, Streams, Supplement};
use crate::relays::Relayed;
use crate::state::State;
use crate::upgrades;
use crate::versions;

/// Interval between two batches of heartbeats. In a small fleet each batch goes to all instances,
/// so load and rates are at most one interval old. In a large fleet each batch goes to a subset, so
/// that an instance never handles more than 160 heartbeats a second in either direction.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two batches of a broadcast: the time that a link of 10 Mbit/s needs for one.
const BROADCAST_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of other instances' profiles in a heartbeat, by which members discover each
/// other.
const MAX_INTRODUCED: usize = 4;
/// Number of heartbeats to each instance that report where a prompt part was sent, as datagrams may
/// be lost.
const HEARTBEATS_PER_PLACEMENT: u32 = 2;
/// Maximum number of departures in a digest: those of a failure domain that is lost reach an instance
/// on standby within about three digests of each of its contacts.
const MAX_DIGEST_DEPARTURES: usize = 128;
/// Turns between two digests to an instance, so that successive ones hold successive rows.
const TURNS_PER_DIGEST: usize = 10;
/// Rounds of heartbeats for one that holds the totals of instances on standby.
const RELAY_ROUNDS: usize = 3;
/// Rounds of heartbeats for one that holds the table of versions, beside those that hold a new one.
const ROUNDS_PER_TABLE: usize = 20;
/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 60_000;

impl Message {
    /// The state of this instance, for those that it exchanges it with. Each of them receives all
    /// rows over successive rounds.
    fn heartbeat(state: &State, round: usize) -> Self {
        let report = state.rate_limiter.borrow().report(state.now(), round);
        let window = state.usage.borrow().window(state.true_time());
        let counts = state.usage.borrow().own_in_round(window, round);
        let (loads, work) = {
            let roster = state.roster.borrow();
            (roster.own_loads(), roster.endpoint_time().to_vec())
        };
        let heartbeat = Heartbeat {
            loads,
            spent: report.granted,
            counts,
            work,
            ..Heartbeat::common(state, round)
        };
        let mut extension = Extension {
            refused: report.refused,
            complete: report.complete,
            status: state.status(),
            ..Extension::default()
        };
        match extension.status.role {
            Role::Active if round.is_multiple_of(RELAY_ROUNDS) => {
                extension.relayed = state.standing.relays.borrow_mut().recent(state.now());
            }
            Role::Active => {}
            Role::Standby => extension.relay = relay(state),
        }
        let rows = peer::max_rows(state.sharers() as usize);
        Self {
            heartbeat,
            extension: Some(extension),
            supplement: Some(Supplement::new(state, round)),
            reach: Some(Reach::new(state, round)),
            streams: Some(streams(state, round)),
            crashes: Some(crashes(state, round)),
            departures: Some(Departures::new(state, rows, round)),
            demand: state.demand_report(rows, round),
        }
    }

    /// What an active instance tells those on standby. They hear few instances once a second, and are
    /// told of more departures each time.
    fn digest(state: &State, turn: usize) -> Self {
        let round = round(state, turn);
        let upgrades = state.upgrades.borrow();
        let orders = upgrades.orders().map(|(order, _)| order.clone()).collect();
        drop(upgrades);
        let digest = state.peers.borrow().digest(state.now(), state.profile());
        let extension = Extension {
            status: state.status(),
            digest: Some(digest),
            orders,
            ..Extension::default()
        };
        Self {
            heartbeat: Heartbeat::common(state, round),
            extension: Some(extension),
            supplement: Some(Supplement::new(state, round)),
            reach: Some(Reach::new(state, round)),
            streams: Some(streams(state, round)),
            crashes: Some(crashes(state, round)),
            departures: Some(Departures::new(
                state,
                MAX_DIGEST_DEPARTURES,
                turn / TURNS_PER_DIGEST,
            )),
            demand: None,
        }
    }
}

/// The contact that forwards the totals of this instance.
fn relay(state: &State) -> Option<id::Instance> {
    let peers = state.peers.borrow();
    let contacts = peers.contacts(state.now(), &state.domain, 0);
    contacts.first().map(|profile| profile.name.clone())
}

impl Supplement {
    fn new(state: &State, round: usize) -> Self {
        let rows = peer::max_rows(state.sharers() as usize);
        Self {
            limits: state
                .roster
                .borrow()
                .limit_reports(state.now(), rows, round),
        }
    }
}

impl Reach {
    fn new(state: &State, round: usize) -> Self {
        let rows = peer::max_rows(state.sharers() as usize);
        let roster = state.roster.borrow();
        Self {
            lost: state.lost_services.borrow().clone(),
            brittle: roster.brittle_reports(state.now(), rows, round),
        }
    }
}

impl Departures {
    fn new(state: &State, rows: usize, round: usize) -> Self {
        let roster = state.roster.borrow();
        Self {
            leaving: roster.departure_reports(state.now(), rows, round),
        }
    }
}

/// What others are told of the versions that begin streams.
fn streams(state: &State, round: usize) -> Streams {
    let sharers = state.sharers() as usize;
    let span = told_period(sharers);
    let whole = round.is_multiple_of(ROUNDS_PER_TABLE);
    let mut streams = state.streams.borrow_mut();
    streams.report(state.now(), span, peer::max_rows(sharers), whole)
}

/// What others are told of the parts of prompts that had runs at endpoints that crashed.
fn crashes(state: &State, round: usize) -> crash::Report {
    let rows = peer::max_rows(state.sharers() as usize);
    let culprits = state.culprits.borrow();
    culprits.report(state.now(), rows, round, state.is_informed())
}

/// How long a change is told, so that two heartbeats to each instance hold it.
pub(crate) fn told_period(sharers: usize) -> Duration {
    let batches = batch::count(sharers, MAX_HEARTBEATS_PER_BATCH);
    HEARTBEAT_INTERVAL * (batches as u32 + 1) * HEARTBEATS_PER_PLACEMENT
}

impl Heartbeat {
    /// What both heartbeats and digests hold.
    fn common(state: &State, round: usize) -> Self {
        let now = state.now();
        let rows = peer::max_rows(state.sharers() as usize);
        let report_period = told_period(state.sharers() as usize);
        let introduced = {
            let peers = state.peers.borrow();
            let profiles = peers.profiles(now).into_iter().cloned();
            profiles.choose_multiple(&mut rand::rng(), MAX_INTRODUCED)
        };
        let placed = state.roster.borrow_mut().placements(now, report_period);
        Self {
            profile: state.profile(),
            introduced,
            loads: Vec::new(),
            spent: Vec::new(),
            counts: Vec::new(),
            ended: batch::select(&state.departures(), rows, round),
            work: Vec::new(),
            failed: batch::select(&state.roster.borrow().failure_counts(), rows, round),
            placed,
            evidence: state.suspicions.borrow().evidence_batch(now, rows, round),
            era: state.era(),
            reported: state.reported(),
            upgrades: state.upgrades.borrow().statuses(now),
        }
    }
}

/// Sends a heartbeat to all instances at once, as before a shutdown.
pub async fn broadcast(state: &Rc<State>, socket: &UdpSocket) {
    let targets = targets(state);
    broadcast_to(state, socket, &targets).await;
}

async fn broadcast_to(state: &State, socket: &UdpSocket, targets: &[SocketAddr]) {
    for (number, batch) in targets.chunks(MAX_HEARTBEATS_PER_BATCH).enumerate() {
        if number > 0 {
            tokio::time::sleep(BROADCAST_DELAY).await;
        }
        send(socket, &Message::heartbeat(state, 0), batch).await;
    }
}

/// All instances that are sent heartbeats, and the seeds.
fn targets(state: &State) -> Vec<SocketAddr> {
    let mut targets = state.peers.borrow().targets(state.now());
    targets.extend(seeds(state));
    others(state, targets)
}

/// Addresses through which further instances are discovered.
fn seeds(state: &State) -> Vec<SocketAddr> {
    let settings = state.settings();
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| SocketAddr::new(seed.ip(), settings.peer_port))
        .collect()
}

/// Addresses without that of this instance, each once.
fn others(state: &State, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let own = state.front().ip();
    addresses.retain(|address| address.ip() != own);
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

async fn send(socket: &UdpSocket, message: &Message, targets: &[SocketAddr]) {
    let Ok(bytes) = message.encode() else {
        // Unreachable: all types of the message can be serialized.
        return;
    };
    for address in targets {
        if let Err(error) = socket.send_to(&bytes, address).await {
            event::LINK_FAILED.emit(format_args!("peer={address} reason={error:?}"));
        }
    }
}

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(state: Rc<State>, socket: Rc<UdpSocket>) {
    for number in peer::first_batch(&state.name).. {
        let before = targets(&state);
        if state.update_role() == Some(Role::Standby) {
            // Others that still take this instance for active would wait for its heartbeats.
            broadcast_to(&state, &socket, &before).await;
        }
        state.check_pause();
        state.share_limits();
        take_turn(&state, &socket, number).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        expire(&state);
        upgrades::judge(&state);
        state.judge();
        state.log_ended_backoffs();
    }
}

/// The round of heartbeats to all instances that a turn belongs to.
fn round(state: &State, turn: usize) -> usize {
    turn / batch::count(state.sharers() as usize, MAX_HEARTBEATS_PER_BATCH)
}

/// Sends what is due in a turn.
async fn take_turn(state: &State, socket: &UdpSocket, number: usize) {
    let turn = {
        let peers = state.peers.borrow();
        peers.turn(state.now(), &state.domain, &seeds(state), number)
    };
    let heartbeats = others(state, turn.heartbeats);
    if !heartbeats.is_empty() {
        send(
            socket,
            &Message::heartbeat(state, round(state, number)),
            &heartbeats,
        )
        .await;
    }
    if !turn.digests.is_empty() {
        send(socket, &Message::digest(state, number), &turn.digests).await;
    }
}

/// Removes the instances that are neither registered nor alive, and the load of all that are not
/// alive.
fn expire(state: &State) {
    let now = state.now();
    let mut peers = state.peers.borrow_mut();
    let mut gone = peers.silent(now);
    gone.extend(peers.expire(now));
    drop(peers);
    let mut roster = state.roster.borrow_mut();
    for boot in gone {
        roster.remove_peer(boot);
    }
}

/// Receives heartbeats until the process ends.
pub async fn receive_heartbeats(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                event::LINK_FAILED.emit(format_args!("step=receive reason={error:?}"));
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        match Message::decode(&buffer[..len]) {
            Ok(message) => {
                let is_searching = message
                    .extension
                    .as_ref()
                    .is_some_and(|extension| extension.status.searching);
                receive(&state, message);
                if is_searching && state.role() == Role::Active {
                    send(&socket, &Message::digest(&state, 0), &[from]).await;
                }
            }
            Err(error) => {
                event::LINK_FAILED.emit(format_args!("peer={from} reason={:?}", error.to_string()));
            }
        }
    }
}

fn receive(state: &State, message: Message) {
    let Message {
        heartbeat,
        extension,
        supplement,
        reach,
        streams,
        crashes,
        departures,
        demand,
    } = message;
    let boot = heartbeat.profile.boot;
    if boot == state.boot {
        return;
    }
    state.check_pause();
    let is_outdated = {
        let mut peers = state.peers.borrow_mut();
        peers.is_outdated(state.now(), &heartbeat.profile)
    };
    let name = heartbeat.profile.name.clone();
    let report = Report {
        // Older versions report all totals each time.
        complete: extension
            .as_ref()
            .is_none_or(|extension| extension.complete),
        granted: heartbeat.spent.clone(),
        refused: extension
            .as_ref()
            .map_or_else(Vec::new, |extension| extension.refused.clone()),
    };
    let relayed = Relayed {
        boot,
        granted: heartbeat.spent.clone(),
        counts: heartbeat.counts.clone(),
    };
    let status = extension.as_ref().map(|extension| extension.status);
    let now = state.now();
    let relays = status.is_some_and(|status| status.role == Role::Standby);
    let mut suspicions = state.suspicions.borrow_mut();
    if relays {
        suspicions.merge_relayed(now, &heartbeat.evidence);
    } else {
        suspicions.merge(now, &heartbeat.evidence);
    }
    drop(suspicions);
    if let Some(crashes) = &crashes {
        state.merge_culprits(crashes, relays);
    }
    let work = heartbeat.work.clone();
    receive_heartbeat(state, heartbeat);
    state.merge_demand(boot, work, demand);
    if let Some(supplement) = supplement {
        let mut roster = state.roster.borrow_mut();
        roster.merge_limits(now, &supplement.limits, relays);
    }
    if let Some(reach) = &reach {
        let mut roster = state.roster.borrow_mut();
        roster.merge_brittle(now, &reach.brittle, relays);
    }
    if let Some(departures) = &departures {
        state.merge_departures(&departures.leaving, relays);
    }
    let mut peers = state.peers.borrow_mut();
    peers.record_status(now, &name, status);
    peers.record_lost(&name, reach.map(|reach| reach.lost));
    if let Some(generation) = streams.as_ref().and_then(|streams| streams.generation) {
        peers.record_generation(&name, generation);
    }
    drop(peers);
    if let Some(streams) = streams {
        let mut tracker = state.streams.borrow_mut();
        let is_new = tracker.merge(now, streams);
        if is_outdated {
            // What was confirmed when it was sent may have changed since.
            tracker.missed(now);
        }
        drop(tracker);
        if is_new {
            versions::log_table(state, "peer");
        }
    }
    let mut rate_limiter = state.rate_limiter.borrow_mut();
    match status.map(|status| status.role) {
        Some(Role::Standby) => rate_limiter.merge_relayed(now, boot, &report),
        Some(Role::Active) | None => rate_limiter.merge(now, boot, &report),
    }
    drop(rate_limiter);
    if let Some(extension) = extension {
        if extension.relay.as_ref() == Some(&state.name) {
            state.standing.relays.borrow_mut().put(now, relayed);
        }
        receive_extension(state, extension);
    }
}

fn receive_extension(state: &State, extension: Extension) {
    let now = state.now();
    if let Some(digest) = extension.digest {
        state.peers.borrow_mut().record_digest(now, digest);
    }
    for order in extension.orders {
        upgrades::accept(state, order);
    }
    for row in extension.relayed {
        if row.boot == state.boot {
            continue;
        }
        let report = Report {
            complete: false,
            granted: row.granted,
            refused: Vec::new(),
        };
        let mut rate_limiter = state.rate_limiter.borrow_mut();
        rate_limiter.merge_relayed(now, row.boot, &report);
        drop(rate_limiter);
        state.usage.borrow_mut().merge_counts(row.boot, &row.counts);
    }
}

fn receive_heartbeat(state: &State, heartbeat: Heartbeat) {
    let now = state.now();
    let boot = heartbeat.profile.boot;
    if let Some(era) = heartbeat.era {
        state.record_era(era);
    }
    if let Some(window) = heartbeat.reported {
        state.record_reported(window);
    }
    state.record_version(heartbeat.profile.version);
    {
        let mut peers = state.peers.borrow_mut();
        let replaced = peers.receive(now, heartbeat.profile);
        if let Some(old) = replaced {
            state.roster.borrow_mut().remove_peer(old);
        }
        for profile in heartbeat.introduced {
            peers.introduce(now, profile);
        }
    }
    let mut roster = state.roster.borrow_mut();
    let restarted = roster.merge_loads(now, boot, &heartbeat.loads);
    roster.merge_failures(now, boot, &heartbeat.failed);
    roster.merge_placements(now, &heartbeat.placed);
    drop(roster);
    for event in restarted {
        state.apply_event(Some(event), Position::default(), "peer");
    }
    state
        .usage
        .borrow_mut()
        .merge_counts(boot, &heartbeat.counts);
    state
        .upgrades
        .borrow_mut()
        .merge_statuses(now, boot, heartbeat.upgrades);
    for ended in &heartbeat.ended {
        let event = state.roster.borrow_mut().merge_ended(ended);
        state.apply_event(event, ended.position, "peer");
    }
}
