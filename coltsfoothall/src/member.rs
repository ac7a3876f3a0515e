//! Entry instances as each of them sees the others.
//!
//! Each tick an instance sends its digest to a few peers, with what it heard
//! lately about others. The newest incarnation and version of a member wins.
//! A member that nobody heard for long is removed, after the program has ruled
//! out its own stall.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::id;
use crate::size::{Bytes, Millis};
use crate::slot::Candidate;
use crate::stall::{Verdict, Watch};

/// Estimate of a digest on the wire, with its share of the frame.
pub const DIGEST: Bytes = Bytes(110);

/// Estimate of a heartbeat on the wire without digests: frame, call and
/// answer.
pub const HEARTBEAT: Bytes = Bytes(160);

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Its name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where callers reach it.
    pub callers: String,
    /// Where peers reach it.
    pub peers: String,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// Rises with each heartbeat.
    pub version: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Use of its capacity, in hundredths.
    pub load: u32,
    /// The configuration that is in force there.
    pub revision: u64,
    /// The slot table that it knows.
    pub slots: u64,
}

impl Digest {
    fn age(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }
}

/// One message: the sender's digest first, then news of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Digests.
    pub digests: Vec<Digest>,
}

impl Heartbeat {
    /// Estimate of the message's size.
    #[must_use]
    pub fn size(&self) -> Bytes {
        Bytes(HEARTBEAT.0 + DIGEST.0 * self.digests.len() as u64)
    }
}

/// An address for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// IP number and port.
    pub address: String,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Share of new connections, at least 1.
    pub weight: u32,
}

/// The addresses for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// Addresses by domain and address.
    pub addresses: Vec<Address>,
    /// How long to keep them.
    pub ttl: Millis,
}

/// What became known about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It is new, or began anew: what its former process kept is lost.
    Joined(id::Instance),
    /// It is about to stop.
    Leaving(id::Instance),
    /// Nobody heard it in time.
    Died(id::Instance),
    /// Its silence was put off as one's own stall or cut.
    Doubted(id::Instance),
}

/// Limits of the member table.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Peers that get a heartbeat each tick. Bytes grow with it, not with the
    /// fleet.
    pub fanout: usize,
    /// Digests of others in a heartbeat, for the same reason.
    pub news: usize,
    /// Time between heartbeats.
    pub tick: Duration,
    /// Members of each failure domain that read and watch the platform's keys,
    /// so that its calls do not grow with the fleet.
    pub watchers: usize,
    /// How long callers keep addresses.
    pub ttl: Millis,
    /// Silence after which callers are sent elsewhere; it can be taken back.
    pub suspect: Duration,
    /// How long a removed member's last version is kept, so that no late news
    /// brings it back.
    pub forget: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fanout: 3,
            news: 12,
            tick: Duration::from_millis(1000),
            watchers: 1,
            ttl: Millis(2000),
            suspect: Duration::from_millis(2500),
            forget: Duration::from_secs(60),
        }
    }
}

/// A member and when it was heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What it last said.
    pub digest: Digest,
    /// When that became known here.
    pub heard: Time,
    /// Since when it counts as dead.
    pub dead: Option<Time>,
    /// How often it was passed on.
    told: u32,
}

/// The members.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    me: Digest,
    /// Sorted by instance, without this one.
    members: Vec<Member>,
    round: u64,
    sent: Bytes,
}

impl Table {
    /// A table that knows only this instance.
    #[must_use]
    pub fn new(me: Digest, settings: Settings) -> Self {
        Self {
            settings,
            me,
            members: Vec::new(),
            round: 0,
            sent: Bytes(0),
        }
    }

    /// What this instance says of itself.
    #[must_use]
    pub fn me(&self) -> &Digest {
        &self.me
    }

    /// Says something new of this instance; its version rises by itself.
    pub fn update(&mut self, leaving: bool, load: u32, revision: u64, slots: u64) {
        self.me.leaving |= leaving;
        self.me.load = load;
        self.me.revision = revision;
        self.me.slots = slots;
        self.me.version += 1;
    }

    /// Takes in a heartbeat, or members read from the platform's keys.
    pub fn merge(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<Event> {
        let digests = heartbeat.digests.into_iter();
        let others = digests.filter(|digest| digest.instance != self.me.instance);
        let mut events = Vec::new();
        for digest in others.collect::<Vec<_>>() {
            self.learn(now, digest, &mut events);
        }
        events
    }

    fn learn(&mut self, now: Time, digest: Digest, events: &mut Vec<Event>) {
        let instance = digest.instance.clone();
        let found = self
            .members
            .binary_search_by(|member| member.digest.instance.cmp(&instance));
        let (joined, leaving) = match found {
            Ok(at) => {
                let member = &mut self.members[at];
                if digest.age() <= member.digest.age() {
                    return;
                }
                let anew = digest.incarnation > member.digest.incarnation;
                let joined = anew || member.dead.is_some();
                let leaving = digest.leaving && (joined || !member.digest.leaving);
                *member = Member::new(now, digest);
                (joined, leaving)
            }
            Err(at) => {
                let leaving = digest.leaving;
                self.members.insert(at, Member::new(now, digest));
                (true, leaving)
            }
        };
        if joined {
            events.push(Event::Joined(instance.clone()));
        }
        if leaving {
            events.push(Event::Leaving(instance));
        }
    }

    /// Judges members that were not heard in time. Call once a control tick,
    /// after the watch's own tick.
    pub fn expire(&mut self, now: Time, watch: &Watch) -> Vec<Event> {
        let forget = self.settings.forget;
        let gone = |dead: Time| now.since(dead) >= forget;
        self.members.retain(|member| !member.dead.is_some_and(gone));
        let tracked = self.live().count();
        let mut events = Vec::new();
        for member in self.members.iter_mut().filter(|m| m.dead.is_none()) {
            let instance = member.digest.instance.clone();
            match watch.judge(now, member.heard, tracked) {
                Verdict::Dead => {
                    member.dead = Some(now);
                    events.push(Event::Died(instance));
                }
                Verdict::Own => events.push(Event::Doubted(instance)),
                Verdict::Wait => {}
            }
        }
        events
    }

    /// The peers to send a heartbeat to now, and the message. Peers take turns,
    /// so each is heard directly in every round through the fleet and in
    /// between through others.
    pub fn heartbeat(&mut self, now: Time) -> (Vec<Digest>, Heartbeat) {
        self.me.version += 1;
        let to = self.targets();
        let mut digests = vec![self.me.clone()];
        digests.extend(self.news(now));
        let heartbeat = Heartbeat { digests };
        let bytes = heartbeat.size().0 * to.len() as u64;
        self.sent = self.sent.plus(Bytes(bytes));
        (to, heartbeat)
    }

    /// Peers of this round: a ring that is shuffled anew each time around.
    fn targets(&mut self) -> Vec<Digest> {
        let live: Vec<_> = self.live().map(|member| &member.digest).collect();
        let count = live.len();
        let fanout = self.settings.fanout.min(count);
        let turn = self.round * self.settings.fanout as u64;
        let lap = turn.checked_div(count as u64).unwrap_or(0);
        let mut order: Vec<_> = (0..count).collect();
        let name = self.me.instance.as_str();
        order.sort_by_cached_key(|at| {
            let peer = live[*at].instance.as_str();
            xxh3_64_with_seed(format!("{name}>{peer}").as_bytes(), lap)
        });
        let start = usize::try_from(turn % (count as u64).max(1)).unwrap_or(0);
        let picks = (start..start + fanout).map(|at| order[at % count]);
        let to = picks.map(|at| live[at].clone()).collect();
        self.round += 1;
        to
    }

    /// News of others, the least told first, each told a few times.
    fn news(&mut self, now: Time) -> Vec<Digest> {
        let most = 32 - (self.members.len() as u32 + 1).leading_zeros() + 1;
        let suspect = self.settings.suspect;
        let fresh = |member: &Member| {
            member.dead.is_none() && member.told < most && now.since(member.heard) < suspect
        };
        let mut order: Vec<_> = (0..self.members.len()).collect();
        order.retain(|at| fresh(&self.members[*at]));
        order.sort_by_key(|at| self.members[*at].told);
        order.truncate(self.settings.news);
        let tell = |at: usize| {
            self.members[at].told += 1;
            self.members[at].digest.clone()
        };
        order.into_iter().map(tell).collect()
    }

    /// Members that count as alive, without this instance.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.dead.is_none())
    }

    /// A member that counts as alive.
    #[must_use]
    pub fn get(&self, instance: &id::Instance) -> Option<&Member> {
        let at = self
            .members
            .binary_search_by(|member| member.digest.instance.cmp(instance));
        let member = &self.members[at.ok()?];
        member.dead.is_none().then_some(member)
    }

    /// All live members and this instance, as keepers of slots.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let mut all: Vec<_> = self.digests().map(candidate).collect();
        all.sort_by(|a, b| a.instance.cmp(&b.instance));
        all
    }

    /// The addresses for callers: members that stay and were heard lately,
    /// weighted by free capacity, each failure domain alike.
    #[must_use]
    pub fn addresses(&self, now: Time) -> Addresses {
        let heard = |member: &&Member| now.since(member.heard) < self.settings.suspect;
        let mut fit: Vec<_> = self.live().filter(heard).map(|m| &m.digest).collect();
        fit.push(&self.me);
        fit.retain(|digest| !digest.leaving);
        fit.sort_by(|a, b| (&a.domain, &a.callers).cmp(&(&b.domain, &b.callers)));
        let weight = |digest: &&Digest| {
            let near = fit
                .iter()
                .filter(|other| other.domain == digest.domain)
                .count();
            let free = 100 - digest.load.min(95);
            (free * 10 / u32::try_from(near).unwrap_or(u32::MAX)).max(1)
        };
        let addresses = fit.iter().map(|digest| Address {
            address: digest.callers.clone(),
            domain: digest.domain.clone(),
            weight: weight(digest),
        });
        Addresses {
            addresses: addresses.collect(),
            ttl: self.settings.ttl,
        }
    }

    /// Whether this instance is to read and watch the platform's keys: the
    /// first few of each failure domain by name, so that it is agreed without
    /// a message. Alone it always is.
    #[must_use]
    pub fn watches(&self) -> bool {
        let near = |digest: &&Digest| digest.domain == self.me.domain && !digest.leaving;
        let before = |digest: &&Digest| digest.instance < self.me.instance;
        self.digests().filter(near).filter(before).count() < self.settings.watchers
    }

    /// Estimated bytes of all heartbeats sent.
    #[must_use]
    pub fn sent(&self) -> Bytes {
        self.sent
    }

    fn digests(&self) -> impl Iterator<Item = &Digest> {
        let others = self.live().map(|member| &member.digest);
        others.chain(std::iter::once(&self.me))
    }
}

impl Member {
    fn new(now: Time, digest: Digest) -> Self {
        Self {
            digest,
            heard: now,
            dead: None,
            told: 0,
        }
    }
}

fn candidate(digest: &Digest) -> Candidate {
    Candidate {
        instance: digest.instance.clone(),
        domain: digest.domain.clone(),
        leaving: digest.leaving,
    }
}
