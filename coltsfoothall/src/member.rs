//! Entry instances as each of them sees the others.
//!
//! Members stand in a ring by the hash of their names. Each tick an instance
//! sends its digest to its next few in the ring and to a few others drawn anew
//! each time, with the latest news. Only the next two in the ring judge its
//! silence, so the bytes of a node and the time to find a death do not grow
//! with the fleet; others hear of the death as news. The newest incarnation
//! and version of a member wins, so one that is believed dead and is not comes
//! back with its next digest.

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

/// Members that judge one's silence: one may die together with it.
const JUDGES: usize = 2;

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
    /// Next members in the ring that get a heartbeat each tick, beside those
    /// in `random_fanout`. Bytes grow with it, not with the fleet. One more than judge,
    /// as views of the ring differ for a moment.
    pub fanout: usize,
    /// Others that get one each tick, drawn anew each time, so that news reach
    /// the whole fleet in a few ticks.
    pub random_fanout: usize,
    /// Digests of others, and deaths, in a heartbeat, for the same reason.
    pub max_updates: usize,
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

/// A member and when it was heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What it last said.
    pub digest: Digest,
    /// When that became known here.
    pub last_seen: Time,
    /// Since when it counts as dead.
    pub dead: Option<Time>,
    /// How often its news were passed on.
    told: u32,
    /// Since when this instance judges its silence.
    judged: Option<Time>,
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
        let mut events = Vec::new();
        for digest in heartbeat.digests {
            if digest.instance != self.me.instance {
                self.learn(now, digest, &mut events);
            }
        }
        for death in heartbeat.deaths {
            self.mourn(now, &death, &mut events);
        }
        events
    }

    /// Takes in news of a death, unless something later is known. One's own is
    /// refuted with the next heartbeat.
    fn mourn(&mut self, now: Time, death: &Death, events: &mut Vec<Event>) {
        if death.instance == self.me.instance {
            if death.incarnation == self.me.incarnation {
                self.me.version = self.me.version.max(death.version);
            }
            // A former process of this name; others pass over what is older.
            if death.incarnation > self.me.incarnation {
                self.me.incarnation = death.incarnation + 1;
            }
            return;
        }
        let found = self.find(&death.instance);
        let Some(member) = found.ok().map(|at| &mut self.members[at]) else {
            return;
        };
        let later = member.digest.age() > (death.incarnation, death.version);
        if !later && member.dead.is_none() {
            // Older news of its life are no news any more.
            member.digest.incarnation = death.incarnation;
            member.digest.version = death.version;
            member.dead = Some(now);
            member.told = 0;
            events.push(Event::Died(death.instance.clone()));
        }
    }

    fn find(&self, instance: &id::Instance) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.digest.instance.cmp(instance))
    }

    fn learn(&mut self, now: Time, digest: Digest, events: &mut Vec<Event>) {
        let instance = digest.instance.clone();
        let (joined, leaving) = match self.find(&instance) {
            Ok(at) => {
                let member = &mut self.members[at];
                if digest.age() <= member.digest.age() {
                    return;
                }
                let anew = digest.incarnation > member.digest.incarnation;
                let joined = anew || member.dead.is_some();
                let leaving = digest.leaving && (joined || !member.digest.leaving);
                let old = std::mem::replace(member, Member::new(now, digest));
                let routine = !joined && old.digest.same(&member.digest);
                member.told = if routine { old.told } else { 0 };
                member.judged = old.judged.filter(|_| !joined);
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
    pub fn expire(&mut self, now: Time, watch: &Monitor) -> Vec<Event> {
        let forget = self.settings.retention;
        let gone = |dead: Time| now.since(dead) >= forget;
        self.members.retain(|member| !member.dead.is_some_and(gone));
        self.judge(now);
        let tracked = self.live().filter(|m| m.judged.is_some()).count();
        let mut events = Vec::new();
        for member in self.members.iter_mut().filter(|m| m.dead.is_none()) {
            let Some(since) = member.judged else { continue };
            let instance = member.digest.instance.clone();
            match watch.judge(now, member.last_seen.max(since), tracked) {
                Verdict::Dead => {
                    member.dead = Some(now);
                    member.told = 0;
                    events.push(Event::Died(instance));
                }
                Verdict::Own => events.push(Event::Doubted(instance)),
                Verdict::Wait => {}
            }
        }
        events
    }

    /// Chooses whom this instance judges: those before it in the ring.
    fn judge(&mut self, now: Time) {
        let mut ring = self.ring();
        ring.reverse();
        ring.truncate(JUDGES);
        for (at, member) in self.members.iter_mut().enumerate() {
            let judged = ring.contains(&at);
            member.judged = judged.then(|| member.judged.unwrap_or(now));
        }
    }

    /// Places of live members, from the one after this instance round the ring.
    fn ring(&self) -> Vec<usize> {
        let place = |instance: &id::Instance| xxh3_64_with_seed(instance.as_str().as_bytes(), 0);
        let me = place(&self.me.instance);
        let alive = |at: &usize| self.members[*at].dead.is_none();
        let mut ring: Vec<_> = (0..self.members.len()).filter(alive).collect();
        ring.sort_by_cached_key(|at| place(&self.members[*at].digest.instance).wrapping_sub(me));
        ring
    }

    /// The peers to send a heartbeat to now, and the message.
    pub fn heartbeat(&mut self, now: Time) -> (Vec<Digest>, Heartbeat) {
        self.me.version += 1;
        let to = self.targets();
        let mut digests = vec![self.me.clone()];
        let (news, deaths) = self.news(now);
        digests.extend(news);
        let heartbeat = Heartbeat { digests, deaths };
        let bytes = heartbeat.size().0 * to.len() as u64;
        self.sent = self.sent.plus(Bytes(bytes));
        (to, heartbeat)
    }

    /// The next few in the ring, and some of the others in turn.
    fn targets(&mut self) -> Vec<Digest> {
        let ring = self.ring();
        let next = self.settings.fanout.min(ring.len());
        let (next, others) = ring.split_at(next);
        let turns = (0..self.settings.random_fanout.min(others.len())).filter_map(|_| {
            self.round = self.round.wrapping_add(1);
            let turn = xxh3_64_with_seed(self.me.instance.as_str().as_bytes(), self.round);
            let turn = usize::try_from(turn % others.len().max(1) as u64).ok()?;
            others.get(turn).copied()
        });
        let mut to: Vec<_> = next.iter().copied().chain(turns).collect();
        to.dedup();
        let to = to.into_iter();
        to.map(|at| self.members[at].digest.clone()).collect()
    }

    /// News, deaths and leaving members first, then what was told least; each is
    /// told a few times. Room that is left goes to the members heard last.
    fn news(&mut self, now: Time) -> (Vec<Digest>, Vec<Death>) {
        let most = 2 * (usize::BITS - self.members.len().leading_zeros());
        let mut order: Vec<_> = (0..self.members.len()).collect();
        let suspect = self.settings.suspect;
        order.retain(|at| {
            let member = &self.members[*at];
            let fresh = member.dead.is_none() && now.since(member.last_seen) < suspect;
            fresh || member.told < most
        });
        order.sort_by_key(|at| {
            let member = &self.members[*at];
            let urgent = member.told < most && (member.dead.is_some() || member.digest.leaving);
            (!urgent, member.told.min(most), Reverse(member.last_seen))
        });
        order.truncate(self.settings.max_updates);
        let (mut digests, mut deaths) = (Vec::new(), Vec::new());
        for at in order {
            let member = &mut self.members[at];
            member.told += 1;
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

    /// Members that count as alive, without this instance.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.dead.is_none())
    }

    /// A member that counts as alive.
    #[must_use]
    pub fn get(&self, instance: &id::Instance) -> Option<&Member> {
        let member = &self.members[self.find(instance).ok()?];
        member.dead.is_none().then_some(member)
    }

    /// Later news of the sender than its own digest: a former process of its
    /// name. It is told, since its digests would be passed over otherwise.
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

    /// All live members and this instance, as keepers of slots.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let mut all: Vec<_> = self.digests().map(candidate).collect();
        all.sort_by(|a, b| a.instance.cmp(&b.instance));
        all
    }

    /// The addresses for callers: members that stay, without those whose
    /// silence is judged here and has grown long,
    /// weighted by free capacity, each failure domain alike.
    #[must_use]
    pub fn addresses(&self, now: Time) -> Addresses {
        let suspect = self.settings.suspect;
        let heard = |member: &&Member| {
            let since = member.judged.map(|since| member.last_seen.max(since));
            since.is_none_or(|since| now.since(since) < suspect)
        };
        let mut fit: Vec<_> = self.live().filter(heard).map(|m| &m.digest).collect();
        fit.push(&self.me);
        fit.retain(|digest| !digest.leaving);
        fit.sort_by(|a, b| (&a.domain, &a.callers).cmp(&(&b.domain, &b.callers)));
        let weight = |digest: &&Digest| {
            let first = fit.partition_point(|other| other.domain < digest.domain);
            let end = fit.partition_point(|other| other.domain <= digest.domain);
            let near = end - first;
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
    pub fn is_watcher(&self) -> bool {
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
            last_seen: now,
            dead: None,
            told: 0,
            judged: None,
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
