//! Heartbeats with other entry instances, on the control thread.

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

use crate::control::LOOK;
use crate::link;
use crate::message::Message;
use crate::node::Node;
use crate::view::Peer;

/// Service name under which the instance list shows entry instances.
pub const ENTRY: &str = "entry";

/// Time after the start in which an instance judges nobody: others have to be
/// heard of first.
const SETTLE: Duration = Duration::from_secs(5);

/// Most starts remembered; it bounds memory where instances never keep a name.
const STARTS: usize = 8192;

/// Peers that a notice is passed on to; with that, it reaches all in a few steps.
const PASS_ON: usize = 3;

/// Entry instances as this one knows them.
pub struct Members {
    node: Arc<Node>,
    table: Table,
    watch: Monitor,
    /// Addresses for peers from the instance list, sorted.
    seeds: Vec<String>,
    /// When it last could not be told whether others or this instance stalled.
    doubted: Option<Time>,
    /// The last known incarnation of each instance, sorted by name.
    starts: Vec<Start>,
    /// Instances that began anew since last asked for.
    restarted: Vec<id::Instance>,
}

/// A start of an instance's process.
#[derive(Debug)]
struct Start {
    instance: id::Instance,
    incarnation: u64,
}

impl Members {
    /// This instance alone.
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
            tick: LOOK,
            timeout: times.suspect.duration(),
            ..stall::Settings::default()
        };
        Self {
            table: Table::new(me, limits),
            watch: Monitor::new(node.now(), stall),
            seeds: Vec::new(),
            doubted: None,
            starts: Vec::new(),
            restarted: Vec::new(),
            node,
        }
    }

    /// Sets where entry instances may listen, from the instance list.
    pub fn set_seeds(&mut self, machines: &[Machine]) {
        let entries = machines
            .iter()
            .filter(|machine| machine.service.as_str() == ENTRY);
        let up = entries.filter(|machine| machine.phase == Phase::Live);
        self.seeds = up.map(|machine| machine.address.clone()).collect();
        self.seeds.sort();
    }

    /// Sends heartbeats, also to instances of the list that are no members yet.
    pub fn beat(&mut self, leaving: bool, load: u32, revision: u64, slots: u64) {
        self.table.update(leaving, load, revision, slots);
        let (to, heartbeat) = self.table.heartbeat(self.node.now());
        for digest in to {
            self.send(digest.peers, heartbeat.clone());
        }
        for address in self.strangers() {
            self.send(address, heartbeat.clone());
        }
    }

    /// Sends heartbeats to these instances at once, with the slot table's new version.
    pub fn beat_to(&mut self, named: &[id::Instance], slots: u64) {
        if named.is_empty() {
            return;
        }
        let me = self.table.me();
        let (leaving, load, revision) = (me.leaving, me.load, me.revision);
        self.table.update(leaving, load, revision, slots);
        let (_ring, heartbeat) = self.table.heartbeat(self.node.now());
        let members = self.table.live().map(|member| &member.digest);
        let to = members.filter(|digest| named.binary_search(&digest.instance).is_ok());
        let to: Vec<String> = to.map(|digest| digest.peers.clone()).collect();
        to.into_iter()
            .for_each(|address| self.send(address, heartbeat.clone()));
    }

    /// This instance's heartbeat as an answer to `sender`.
    #[must_use]
    pub fn answer(&self, sender: Option<&Digest>) -> Heartbeat {
        let former = sender.and_then(|sender| self.table.newer_incarnation(sender));
        Heartbeat {
            digests: vec![self.table.me().clone()],
            deaths: former.into_iter().collect(),
        }
    }

    /// Takes in a heartbeat; true if somebody joined or is leaving.
    pub fn hear(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        self.watch.record_message(now);
        let events = self.table.merge(now, heartbeat);
        for event in &events {
            if let Event::Joined(instance) = event {
                self.note_start(instance);
            }
        }
        self.log(&events);
        !events.is_empty()
    }

    /// Instances that began anew since the last call: their records are lost.
    pub fn restarted(&mut self) -> Vec<id::Instance> {
        std::mem::take(&mut self.restarted)
    }

    fn note_start(&mut self, instance: &id::Instance) {
        let Some(member) = self.table.get(instance) else {
            return;
        };
        let incarnation = member.digest.incarnation;
        match self
            .starts
            .binary_search_by(|start| start.instance.cmp(instance))
        {
            Ok(at) if self.starts[at].incarnation == incarnation => {}
            Ok(at) => {
                self.starts[at].incarnation = incarnation;
                self.restarted.push(instance.clone());
            }
            Err(at) => {
                let start = Start {
                    instance: instance.clone(),
                    incarnation,
                };
                self.starts.insert(at, start);
                self.starts.truncate(STARTS);
            }
        }
    }

    /// Notes deaths; true if somebody died. One's own stall is not a death of others.
    pub fn expire(&mut self, now: Time) -> bool {
        if self.watch.tick(now) {
            event::STALLED.emit(format_args!("at={now}"));
            self.doubted = Some(now);
        }
        let events = self.table.expire(now, &self.watch);
        if events
            .iter()
            .any(|event| matches!(event, Event::Doubted(_)))
        {
            self.doubted = Some(now);
        }
        let died: Vec<Event> = events
            .into_iter()
            .filter(|event| matches!(event, Event::Died(_)))
            .collect();
        self.log(&died);
        !died.is_empty()
    }

    /// A connection to a peer fails; heartbeats will tell whether it died.
    pub fn unreached(&self, peer: &id::Instance) {
        log::debug!("peer {peer} is out of reach");
    }

    /// Whether this instance can tell who is dead.
    #[must_use]
    pub fn settled(&self, now: Time) -> bool {
        let calm = self.doubted.is_none_or(|at| now.since(at) >= SETTLE);
        calm && now.since(Time::START) >= SETTLE
    }

    /// All that are alive, this one included, sorted by name.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        self.table.candidates()
    }

    /// Members, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.table.live().count() + 1
    }

    /// Whether this instance watches the key-value service for its failure domain.
    #[must_use]
    pub fn watches(&self) -> bool {
        self.table.is_watcher()
    }

    /// Others that can be reached, sorted by name.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        let peers = self.table.live().map(|member| Peer {
            instance: member.digest.instance.clone(),
            domain: member.digest.domain.clone(),
            address: member.digest.peers.clone(),
        });
        peers.collect()
    }

    /// Addresses for callers.
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

    /// Members for operators, this one included, sorted by name.
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

    /// Tells evidence to some peers, which tell it on; with none to tell, asks
    /// a peer for all.
    pub fn tell(&self, evidence: &[Evidence], peers: usize) {
        for peer in self.some(peers) {
            let (node, told) = (Arc::clone(&self.node), evidence.to_vec());
            tokio::spawn(async move {
                let Ok(client) = node.links.client(&peer).await else {
                    return;
                };
                // What gets lost is repeated.
                let answer = client.evidence(link::context(link::CALL), told).await;
                if let Ok(told) = answer
                    && !told.is_empty()
                {
                    let ask = |reply| Message::Evidence { told, reply };
                    let _taken = node.control.ask(ask).await;
                }
            });
        }
    }

    /// This instance's place among all that live, by name, and how many live.
    #[must_use]
    pub fn place(&self) -> (usize, usize) {
        let me = &self.node.settings.instance;
        let before = self
            .table
            .live()
            .filter(|m| m.digest.instance < *me)
            .count();
        (before, self.count())
    }

    /// Some of the peers that live, at random.
    fn some(&self, count: usize) -> Vec<id::Instance> {
        let live = self.table.live();
        let mut live: Vec<_> = live.map(|m| m.digest.instance.clone()).collect();
        if !live.is_empty() {
            let start = rand::random_range(0..live.len());
            live.rotate_left(start);
        }
        live.truncate(count);
        live
    }

    /// Passes a notice on to some peers.
    pub fn pass_on(&self, instance: &id::Instance) {
        for peer in self.some(PASS_ON) {
            let (node, instance) = (Arc::clone(&self.node), instance.clone());
            tokio::spawn(async move {
                if let Ok(client) = node.links.client(&peer).await {
                    // The platform tells the others as well; this is only faster.
                    let _told = client.notice(link::context(link::CALL), instance).await;
                }
            });
        }
    }

    /// Addresses of the instance list where no member listens.
    fn strangers(&self) -> Vec<String> {
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
            match node.links.beat(&node, &address, heartbeat).await {
                Ok(answer) => {
                    node.board
                        .peer_bytes(Flow::In, peer::encode(&answer).len() as u64);
                    node.control.send(Message::Heard(answer));
                }
                Err(error) => log::debug!("heartbeat: {error}"),
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
