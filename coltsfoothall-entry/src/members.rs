//! Membership of entry instances, by heartbeats. Runs on the control thread.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::catalog::Revision;
use coltsfoothall::clock::Time;
use coltsfoothall::fingerprint::Evidence;
use coltsfoothall::id;
use coltsfoothall::member::{self, Digest, Event, Heartbeat, Table};
use coltsfoothall::size::Millis;
use coltsfoothall::slot::Candidate;
use coltsfoothall::stall::{self, Monitor};
use coltsfoothall_shell::event;
use coltsfoothall_shell::metric::Flow;
use coltsfoothall_wire::caller::{Address, Addresses};
use coltsfoothall_wire::cloud::{Machine, Phase};
use coltsfoothall_wire::operator::Member;
use coltsfoothall_wire::peer;

use crate::control::TICK_INTERVAL;
use crate::link;
use crate::message::Message;
use crate::node::Node;
use crate::view::Peer;

/// Service name of entry instances in the instance list.
pub const ENTRY: &str = "entry";

/// How long after its start, or after a time when it was unclear who had stalled, an
/// instance judges no other dead. It has to receive the others' heartbeats first.
const SETTLE_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of incarnations remembered; it bounds memory where instances never reuse
/// a name.
const MAX_INCARNATIONS: usize = 8192;

/// Number of peers that a reclaim notice is forwarded to; with this number it reaches all
/// in a few steps.
const NOTICE_FANOUT: usize = 3;

/// The entry instances, as this one knows them.
pub struct Members {
    node: Arc<Node>,
    table: Table,
    watch: Monitor,
    /// Peer addresses of entry instances from the instance list, sorted.
    seeds: Vec<String>,
    /// When it was last unclear whether others or this instance had stalled.
    doubted_at: Option<Time>,
    /// The last known incarnation of each instance, sorted by name.
    incarnations: Vec<Incarnation>,
    /// Instances that restarted since they were last taken from here.
    restarted: Vec<id::Instance>,
}

/// The incarnation of an instance's process.
#[derive(Debug)]
struct Incarnation {
    instance: id::Instance,
    incarnation: u64,
}

impl Members {
    /// Creates a membership of this instance only.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        let settings = &node.settings;
        let times = &settings.times;
        let me = Digest {
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            callers: settings.callers.to_string(),
            peers: settings.peers.to_string(),
            incarnation: rand::random::<u64>() >> 1,
            version: 0,
            leaving: false,
            load: 0,
            revision: 0,
            slots: 0,
        };
        let limits = member::Settings {
            tick: times.heartbeat.duration(),
            ttl: times.addresses,
            suspect: times.suspect.duration() * 4 / 5,
            ..member::Settings::default()
        };
        let stall = stall::Settings {
            tick: TICK_INTERVAL,
            timeout: times.suspect.duration(),
            ..stall::Settings::default()
        };
        Self {
            table: Table::new(me, limits),
            watch: Monitor::new(node.now(), stall),
            seeds: Vec::new(),
            doubted_at: None,
            incarnations: Vec::new(),
            restarted: Vec::new(),
            node,
        }
    }

    /// Sets the addresses of entry instances from the instance list.
    pub fn set_seeds(&mut self, machines: &[Machine]) {
        let entries = machines
            .iter()
            .filter(|machine| machine.service.as_str() == ENTRY);
        let live = entries.filter(|machine| machine.phase == Phase::Live);
        self.seeds = live.map(|machine| machine.address.clone()).collect();
        self.seeds.sort();
    }

    /// Sends heartbeats, also to listed instances that are not members yet.
    pub fn send_heartbeats(&mut self, leaving: bool, load: u32, revision: u64, slots: u64) {
        self.table.update(leaving, load, revision, slots);
        let (to, heartbeat) = self.table.heartbeat(self.node.now());
        for digest in to {
            self.send(digest.peers, heartbeat.clone());
        }
        for address in self.unknown_seeds() {
            self.send(address, heartbeat.clone());
        }
    }

    /// Sends heartbeats with the slot table's new version to these instances at once.
    pub fn send_heartbeats_to(&mut self, to: &[id::Instance], slots: u64) {
        if to.is_empty() {
            return;
        }
        let me = self.table.me();
        let (leaving, load, revision) = (me.leaving, me.load, me.revision);
        self.table.update(leaving, load, revision, slots);
        let (_ring, heartbeat) = self.table.heartbeat(self.node.now());
        let members = self.table.live().map(|member| &member.digest);
        let recipients = members.filter(|digest| to.binary_search(&digest.instance).is_ok());
        let addresses: Vec<String> = recipients.map(|digest| digest.peers.clone()).collect();
        addresses
            .into_iter()
            .for_each(|address| self.send(address, heartbeat.clone()));
    }

    /// This instance's heartbeat, as the answer to one of `sender`.
    #[must_use]
    pub fn answer(&self, sender: Option<&Digest>) -> Heartbeat {
        let former = sender.and_then(|sender| self.table.newer_incarnation(sender));
        Heartbeat {
            digests: vec![self.table.me().clone()],
            deaths: former.into_iter().collect(),
        }
    }

    /// Merges a heartbeat. Returns whether an instance joined or is leaving.
    pub fn merge_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        self.watch.record_message(now);
        let events = self.table.merge(now, heartbeat);
        for event in &events {
            if let Event::Joined(instance) = event {
                self.record_incarnation(instance);
            }
        }
        self.log(&events);
        !events.is_empty()
    }

    /// Takes the instances that restarted since the last call; their records are lost.
    pub fn take_restarted(&mut self) -> Vec<id::Instance> {
        std::mem::take(&mut self.restarted)
    }

    fn record_incarnation(&mut self, instance: &id::Instance) {
        let Some(member) = self.table.get(instance) else {
            return;
        };
        let incarnation = member.digest.incarnation;
        match self
            .incarnations
            .binary_search_by(|known| known.instance.cmp(instance))
        {
            Ok(index) if self.incarnations[index].incarnation == incarnation => {}
            Ok(index) => {
                self.incarnations[index].incarnation = incarnation;
                self.restarted.push(instance.clone());
            }
            Err(index) => {
                let incarnation = Incarnation {
                    instance: instance.clone(),
                    incarnation,
                };
                self.incarnations.insert(index, incarnation);
                self.incarnations.truncate(MAX_INCARNATIONS);
            }
        }
    }

    /// Detects dead instances. Returns whether one died. A stall of this instance is not taken
    /// for the death of others.
    pub fn expire(&mut self, now: Time) -> bool {
        if self.watch.tick(now) {
            event::STALLED.emit(format_args!("at={now}"));
            self.doubted_at = Some(now);
        }
        let events = self.table.expire(now, &self.watch);
        if events
            .iter()
            .any(|event| matches!(event, Event::Doubted(_)))
        {
            self.doubted_at = Some(now);
        }
        let died: Vec<Event> = events
            .into_iter()
            .filter(|event| matches!(event, Event::Died(_)))
            .collect();
        self.log(&died);
        !died.is_empty()
    }

    /// Logs that a peer cannot be reached. Heartbeats determine whether it died.
    pub fn log_unreachable(&self, peer: &id::Instance) {
        log::debug!("peer {peer} cannot be reached");
    }

    /// Whether this instance can determine which others are dead.
    #[must_use]
    pub fn settled(&self, now: Time) -> bool {
        let undoubted = self
            .doubted_at
            .is_none_or(|at| now.since(at) >= SETTLE_DELAY);
        undoubted && now.since(Time::START) >= SETTLE_DELAY
    }

    /// All live instances, this one included, sorted by name.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        self.table.candidates()
    }

    /// Number of live members, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.table.live().count() + 1
    }

    /// Whether this instance watches the key-value service for its failure domain.
    #[must_use]
    pub fn watches(&self) -> bool {
        self.table.is_watcher()
    }

    /// The other live instances, sorted by name.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        let peers = self.table.live().map(|member| Peer {
            instance: member.digest.instance.clone(),
            domain: member.digest.domain.clone(),
            address: member.digest.peers.clone(),
        });
        peers.collect()
    }

    /// The addresses for callers.
    #[must_use]
    pub fn addresses(&self, now: Time) -> Addresses {
        let known = self.table.addresses(now);
        let addresses = known.addresses.into_iter().map(|address| Address {
            address: address.address,
            domain: address.domain,
            weight: address.weight,
        });
        Addresses {
            addresses: addresses.collect(),
            ttl_ms: known.ttl,
        }
    }

    /// The members for the operators' status, this one included, sorted by name.
    #[must_use]
    pub fn status(&self, now: Time, revision: Revision) -> Vec<Member> {
        let own = self.table.me();
        let others = self.table.live().map(|member| {
            let revision = Revision(member.digest.revision);
            row(&member.digest, revision, now.since(member.last_seen))
        });
        let mut members: Vec<Member> = others.collect();
        members.push(row(own, revision, Duration::ZERO));
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// Sends evidence to some random peers, which forward it. An empty list asks one of them
    /// for all evidence.
    pub fn send_evidence(&self, evidence: &[Evidence], peers: usize) {
        for peer in self.random_peers(peers) {
            let (node, evidence) = (Arc::clone(&self.node), evidence.to_vec());
            tokio::spawn(async move {
                let Ok(client) = node.links.client(&peer).await else {
                    return;
                };
                // Lost evidence is repeated later.
                let answer = client
                    .evidence(link::context(link::CALL_TIMEOUT), evidence)
                    .await;
                if let Ok(evidence) = answer
                    && !evidence.is_empty()
                {
                    let message = |reply| Message::Evidence { evidence, reply };
                    let _taken = node.control.ask(message).await;
                }
            });
        }
    }

    /// This instance's rank by name among the live members, and their number.
    #[must_use]
    pub fn rank(&self) -> (usize, usize) {
        let me = &self.node.settings.instance;
        let before = self
            .table
            .live()
            .filter(|m| m.digest.instance < *me)
            .count();
        (before, self.count())
    }

    /// Up to `count` live peers, from a random position in the order of names.
    fn random_peers(&self, count: usize) -> Vec<id::Instance> {
        let live = self.table.live();
        let mut live: Vec<_> = live.map(|m| m.digest.instance.clone()).collect();
        if !live.is_empty() {
            let start = rand::random_range(0..live.len());
            live.rotate_left(start);
        }
        live.truncate(count);
        live
    }

    /// Forwards a reclaim notice to some random peers.
    pub fn forward_notice(&self, instance: &id::Instance) {
        for peer in self.random_peers(NOTICE_FANOUT) {
            let (node, instance) = (Arc::clone(&self.node), instance.clone());
            tokio::spawn(async move {
                if let Ok(client) = node.links.client(&peer).await {
                    // The platform notifies the others as well; this is only faster.
                    let _told = client
                        .notice(link::context(link::CALL_TIMEOUT), instance)
                        .await;
                }
            });
        }
    }

    /// Addresses of the instance list that belong to no member.
    fn unknown_seeds(&self) -> Vec<String> {
        let own = &self.table.me().peers;
        let known = |address: &String| {
            address == own
                || self
                    .table
                    .live()
                    .any(|member| member.digest.peers == *address)
        };
        self.seeds
            .iter()
            .filter(|address| !known(address))
            .cloned()
            .collect()
    }

    fn send(&self, address: String, heartbeat: Heartbeat) {
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let bytes = peer::encode(&heartbeat).len() as u64;
            node.board.peer_bytes(Flow::Out, bytes);
            match node
                .links
                .exchange_heartbeats(&node, &address, heartbeat)
                .await
            {
                Ok(answer) => {
                    node.board
                        .peer_bytes(Flow::In, peer::encode(&answer).len() as u64);
                    node.control.send(Message::HeartbeatAnswer(answer));
                }
                Err(error) => log::debug!("heartbeat exchange failed: {error}"),
            }
        });
    }

    fn log(&self, events: &[Event]) {
        for event in events {
            let (what, instance) = match event {
                Event::Joined(instance) => ("joined", instance),
                Event::Leaving(instance) => ("leaving", instance),
                Event::Died(instance) => ("died", instance),
                Event::Doubted(instance) => ("doubted", instance),
            };
            event::MEMBER.emit(format_args!("instance={instance} change={what}"));
        }
    }
}

fn row(digest: &Digest, revision: Revision, heard: Duration) -> Member {
    Member {
        id: digest.instance.clone(),
        address: digest.callers.clone(),
        domain: digest.domain.clone(),
        revision,
        leaving: digest.leaving,
        heard_ms: Millis::from(heard),
    }
}
