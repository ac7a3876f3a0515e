//! Membership of entry instances, as seen by one of them.
//!
//! Members form a ring in the order of the hashes of their names. At each tick an instance
//! sends its digest, with the latest updates about others, to its next few successors in
//! the ring and to a few random members. Only its next two successors monitor it for
//! failure, so the traffic of an instance and the time to detect a failure do not grow with
//! the fleet; the other members learn of the failure from updates. The newest incarnation
//! and version of a member wins, so a live member that was declared dead rejoins with its
//! next digest.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::id;
use crate::size::{Bytes, Millis};
use crate::slot::Candidate;
use crate::stall::{Monitor, Verdict};

pub use crate::digest::{
    Address, Addresses, DEATH_SIZE, DIGEST_SIZE, Death, Digest, HEARTBEAT_SIZE, Heartbeat,
};

/// Number of members that monitor an instance. There are two because one may fail together
/// with it.
const MONITORS_PER_MEMBER: usize = 2;

/// A change in the state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It is new, or its process was restarted and has lost its state.
    Joined(id::Instance),
    /// It is shutting down.
    Leaving(id::Instance),
    /// It was not heard of in time.
    Died(id::Instance),
    /// It is silent, but this instance may itself be stalled or partitioned.
    Doubted(id::Instance),
}

/// Settings of the member table.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of ring successors that receive a heartbeat at each tick, in addition to
    /// `random_fanout`. Traffic grows with it, not with the size of the fleet. It is one
    /// more than the number of monitors, since views of the ring can differ temporarily.
    pub fanout: usize,
    /// Number of random other members that receive a heartbeat at each tick, so that
    /// updates reach the whole fleet within a few ticks.
    pub random_fanout: usize,
    /// Maximum number of digests of others and death notices in a heartbeat, chosen for the
    /// same reason.
    pub max_updates: usize,
    /// Time between heartbeats.
    pub tick: Duration,
    /// Number of members of each failure domain that read and watch the key-value service,
    /// so that its calls do not grow with the fleet.
    pub watchers: usize,
    /// How long callers may cache addresses.
    pub ttl: Millis,
    /// Silence after which a member is left out of the addresses for callers; this is
    /// reversible.
    pub suspect: Duration,
    /// How long the last version of a dead member is retained, so that late updates do not
    /// bring it back.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fanout: 3,
            random_fanout: 2,
            max_updates: 8,
            tick: Duration::from_millis(1000),
            watchers: 1,
            ttl: Millis(2000),
            suspect: Duration::from_millis(2500),
            retention: Duration::from_secs(60),
        }
    }
}

/// A member and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its newest digest.
    pub digest: Digest,
    /// When the newest digest was received.
    pub last_seen: Time,
    /// When it was declared dead.
    pub dead: Option<Time>,
    /// How often its newest state has been sent to others.
    times_sent: u32,
    /// Since when this instance monitors it.
    monitored_since: Option<Time>,
}

/// The members.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    me: Digest,
    /// The other members, sorted by name.
    members: Vec<Member>,
    round: u64,
    sent: Bytes,
}

impl Table {
    /// Creates a table that contains only this instance.
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

    /// The digest of this instance.
    #[must_use]
    pub fn me(&self) -> &Digest {
        &self.me
    }

    /// Updates the state of this instance and increments its version.
    pub fn update(&mut self, leaving: bool, load: u32, revision: u64, slots: u64) {
        self.me.leaving |= leaving;
        self.me.load = load;
        self.me.revision = revision;
        self.me.slots = slots;
        self.me.version += 1;
    }

    /// Merges a heartbeat, or members that were read from the key-value service.
    pub fn merge(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<Event> {
        let mut events = Vec::new();
        for digest in heartbeat.digests {
            if digest.instance != self.me.instance {
                self.merge_digest(now, digest, &mut events);
            }
        }
        for death in heartbeat.deaths {
            self.merge_death(now, &death, &mut events);
        }
        events
    }

    /// Merges a death notice, unless newer state of the member is known. A notice about
    /// this instance is refuted by its next heartbeat.
    fn merge_death(&mut self, now: Time, death: &Death, events: &mut Vec<Event>) {
        if death.instance == self.me.instance {
            if death.incarnation == self.me.incarnation {
                self.me.version = self.me.version.max(death.version);
            }
            // The notice is about a previous process of this name. The incarnation must
            // exceed it, since others ignore older ones.
            if death.incarnation > self.me.incarnation {
                self.me.incarnation = death.incarnation + 1;
            }
            return;
        }
        let found = self.find(&death.instance);
        let Some(member) = found.ok().map(|index| &mut self.members[index]) else {
            return;
        };
        let later = member.digest.logical_time() > (death.incarnation, death.version);
        if !later && member.dead.is_none() {
            // Digests up to this version must no longer revive it.
            member.digest.incarnation = death.incarnation;
            member.digest.version = death.version;
            member.dead = Some(now);
            member.times_sent = 0;
            events.push(Event::Died(death.instance.clone()));
        }
    }

    fn find(&self, instance: &id::Instance) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.digest.instance.cmp(instance))
    }

    fn merge_digest(&mut self, now: Time, digest: Digest, events: &mut Vec<Event>) {
        let instance = digest.instance.clone();
        let (joined, leaving) = match self.find(&instance) {
            Ok(index) => {
                let member = &mut self.members[index];
                if digest.logical_time() <= member.digest.logical_time() {
                    return;
                }
                let restarted = digest.incarnation > member.digest.incarnation;
                let joined = restarted || member.dead.is_some();
                let leaving = digest.leaving && (joined || !member.digest.leaving);
                let old = std::mem::replace(member, Member::new(now, digest));
                let routine = !joined && old.digest.is_same_state(&member.digest);
                member.times_sent = if routine { old.times_sent } else { 0 };
                member.monitored_since = old.monitored_since.filter(|_| !joined);
                (joined, leaving)
            }
            Err(index) => {
                let leaving = digest.leaving;
                self.members.insert(index, Member::new(now, digest));
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

    /// Checks the monitored members for silence. It must be called once per control tick,
    /// after the tick of `monitor`.
    pub fn expire(&mut self, now: Time, monitor: &Monitor) -> Vec<Event> {
        let retention = self.settings.retention;
        let expired = |dead: Time| now.since(dead) >= retention;
        self.members
            .retain(|member| !member.dead.is_some_and(expired));
        self.select_monitored(now);
        let tracked = self.live().filter(|m| m.monitored_since.is_some()).count();
        let mut events = Vec::new();
        for member in self.members.iter_mut().filter(|m| m.dead.is_none()) {
            let Some(since) = member.monitored_since else {
                continue;
            };
            let instance = member.digest.instance.clone();
            match monitor.judge(now, member.last_seen.max(since), tracked) {
                Verdict::Dead => {
                    member.dead = Some(now);
                    member.times_sent = 0;
                    events.push(Event::Died(instance));
                }
                Verdict::Own => events.push(Event::Doubted(instance)),
                Verdict::Wait => {}
            }
        }
        events
    }

    /// Selects the members that this instance monitors: its predecessors in the ring.
    fn select_monitored(&mut self, now: Time) {
        let mut ring = self.ring();
        ring.reverse();
        ring.truncate(MONITORS_PER_MEMBER);
        for (index, member) in self.members.iter_mut().enumerate() {
            let is_monitored = ring.contains(&index);
            member.monitored_since = is_monitored.then(|| member.monitored_since.unwrap_or(now));
        }
    }

    /// Indices of the live members in ring order, starting at the successor of this
    /// instance.
    fn ring(&self) -> Vec<usize> {
        let position = |instance: &id::Instance| xxh3_64_with_seed(instance.as_str().as_bytes(), 0);
        let me = position(&self.me.instance);
        let alive = |index: &usize| self.members[*index].dead.is_none();
        let mut ring: Vec<_> = (0..self.members.len()).filter(alive).collect();
        ring.sort_by_cached_key(|index| {
            position(&self.members[*index].digest.instance).wrapping_sub(me)
        });
        ring
    }

    /// Returns the peers to which a heartbeat is due, and the message.
    pub fn heartbeat(&mut self, now: Time) -> (Vec<Digest>, Heartbeat) {
        self.me.version += 1;
        let to = self.targets();
        let mut digests = vec![self.me.clone()];
        let (updates, deaths) = self.updates(now);
        digests.extend(updates);
        let heartbeat = Heartbeat { digests, deaths };
        let bytes = heartbeat.size().0 * to.len() as u64;
        self.sent = self.sent.plus(Bytes(bytes));
        (to, heartbeat)
    }

    /// The next few members in the ring and some random others.
    fn targets(&mut self) -> Vec<Digest> {
        let ring = self.ring();
        let next = self.settings.fanout.min(ring.len());
        let (next, others) = ring.split_at(next);
        let random = (0..self.settings.random_fanout.min(others.len())).filter_map(|_| {
            self.round = self.round.wrapping_add(1);
            let hash = xxh3_64_with_seed(self.me.instance.as_str().as_bytes(), self.round);
            let index = usize::try_from(hash % others.len().max(1) as u64).ok()?;
            others.get(index).copied()
        });
        let mut to: Vec<_> = next.iter().copied().chain(random).collect();
        to.dedup();
        let to = to.into_iter();
        to.map(|index| self.members[index].digest.clone()).collect()
    }

    /// The updates for one heartbeat: deaths and leaving members first, then those that
    /// have been sent least often. Each update is sent a few times. The remaining space
    /// goes to the members that were heard of most recently.
    fn updates(&mut self, now: Time) -> (Vec<Digest>, Vec<Death>) {
        let max_sends = 2 * (usize::BITS - self.members.len().leading_zeros());
        let mut order: Vec<_> = (0..self.members.len()).collect();
        let suspect = self.settings.suspect;
        order.retain(|index| {
            let member = &self.members[*index];
            let recent = member.dead.is_none() && now.since(member.last_seen) < suspect;
            recent || member.times_sent < max_sends
        });
        order.sort_by_key(|index| {
            let member = &self.members[*index];
            let urgent =
                member.times_sent < max_sends && (member.dead.is_some() || member.digest.leaving);
            (
                !urgent,
                member.times_sent.min(max_sends),
                Reverse(member.last_seen),
            )
        });
        order.truncate(self.settings.max_updates);
        let (mut digests, mut deaths) = (Vec::new(), Vec::new());
        for index in order {
            let member = &mut self.members[index];
            member.times_sent += 1;
            match member.dead {
                Some(_) => deaths.push(Death {
                    instance: member.digest.instance.clone(),
                    incarnation: member.digest.incarnation,
                    version: member.digest.version,
                }),
                None => digests.push(member.digest.clone()),
            }
        }
        (digests, deaths)
    }

    /// Live members, without this instance.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.dead.is_none())
    }

    /// A live member by name.
    #[must_use]
    pub fn get(&self, instance: &id::Instance) -> Option<&Member> {
        let member = &self.members[self.find(instance).ok()?];
        member.dead.is_none().then_some(member)
    }

    /// The newer incarnation of a sender, left by a previous process of the same name, if
    /// there is one. The sender must be times_sent, since its digests would be ignored
    /// otherwise.
    #[must_use]
    pub fn newer_incarnation(&self, sender: &Digest) -> Option<Death> {
        let member = &self.members[self.find(&sender.instance).ok()?];
        let later = member.digest.incarnation > sender.incarnation;
        later.then(|| Death {
            instance: sender.instance.clone(),
            incarnation: member.digest.incarnation,
            version: member.digest.version,
        })
    }

    /// All live members and this instance, as candidates for slots.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let mut all: Vec<_> = self.digests().map(candidate).collect();
        all.sort_by(|a, b| a.instance.cmp(&b.instance));
        all
    }

    /// The addresses for callers: all members that are not leaving, except those that this
    /// instance monitors and that have been silent for too long. Addresses are weighted by
    /// free capacity, and each failure domain gets the same total weight.
    #[must_use]
    pub fn addresses(&self, now: Time) -> Addresses {
        let suspect = self.settings.suspect;
        let recently_seen = |member: &&Member| {
            let since = member
                .monitored_since
                .map(|since| member.last_seen.max(since));
            since.is_none_or(|since| now.since(since) < suspect)
        };
        let mut available: Vec<_> = self
            .live()
            .filter(recently_seen)
            .map(|m| &m.digest)
            .collect();
        available.push(&self.me);
        available.retain(|digest| !digest.leaving);
        available.sort_by(|a, b| (&a.domain, &a.callers).cmp(&(&b.domain, &b.callers)));
        let weight = |digest: &&Digest| {
            let first = available.partition_point(|other| other.domain < digest.domain);
            let end = available.partition_point(|other| other.domain <= digest.domain);
            let domain_size = end - first;
            let free = 100 - digest.load.min(95);
            (free * 10 / u32::try_from(domain_size).unwrap_or(u32::MAX)).max(1)
        };
        let addresses = available.iter().map(|digest| Address {
            address: digest.callers.clone(),
            domain: digest.domain.clone(),
            weight: weight(digest),
        });
        Addresses {
            addresses: addresses.collect(),
            ttl: self.settings.ttl,
        }
    }

    /// Whether this instance must read and watch the key-value service. The first few
    /// members of each failure domain by name do so, which needs no coordination. An
    /// instance without peers always does.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let same_domain = |digest: &&Digest| digest.domain == self.me.domain && !digest.leaving;
        let before = |digest: &&Digest| digest.instance < self.me.instance;
        self.digests().filter(same_domain).filter(before).count() < self.settings.watchers
    }

    /// Estimated size of all heartbeats sent so far.
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
            last_seen: now,
            dead: None,
            times_sent: 0,
            monitored_since: None,
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
