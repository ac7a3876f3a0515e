//! Choice of an endpoint for a request.
//!
//! Endpoints are not asked for their load. Each instance reports to the others what it has open
//! at each endpoint, so the sum is at most one heartbeat old. The cost of a candidate is a sum
//! in microseconds: the prompts queued before the request, the part of its prompt that has to be
//! prefilled, the requests in the same batch, the network hop, and recent failures.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::forward::admission::{Target, Wait};
use crate::forward::brittle::Bound;
use crate::forward::latency::{self, Model, Sample};
use crate::forward::node::Node;
use crate::forward::roster::Roster;
use crate::forward::upgrade::Versions;
use crate::id;
use crate::size::Tokens;

/// Microseconds that a request and the first part of its answer take on the network.
const NETWORK_US: f64 = 4_000.0;

/// Weights and bounds of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Latency that is assumed of engines until their answers are measured.
    pub latency: latency::Settings,
    /// Assumed microseconds of work for a request to an endpoint that is no engine.
    pub plain_work_us: f64,
    /// Cost in microseconds of the hop to another failure domain: traffic between domains is
    /// paid for, about 16 kB for a long answer.
    pub hop_us: f64,
    /// Cost in microseconds of an endpoint that fails every request.
    pub fault_us: f64,
    /// Value in microseconds of learning whether the limit of an endpoint goes on.
    pub confirm_us: f64,
    /// Share of an engine's batch slots and memory that may be taken before it counts as full.
    pub max_fill: f64,
    /// Factor by which the prefill time that a cached prefix saves is weighted. Prefilling the
    /// prefix at another endpoint makes later requests repeat it there.
    pub affinity: f64,
    /// How long a prefix is assumed to stay in an endpoint's cache.
    pub prefix_ttl: Duration,
    /// How long an endpoint that could not be reached is avoided.
    pub avoid_period: Duration,
    /// An endpoint is suspected once a request has waited for its first event for this long
    /// beyond twice the expected time.
    pub silence_timeout: Duration,
    /// Whether requests may wait in the queues of engines whose slots are taken, and are admitted by
    /// the time that is left of their target latency.
    pub queueing: bool,
    /// Whether the work of requests is computed from a second fit, which waiting at overloaded
    /// engines hardly raises. In one overload the first fit raised the load from 30 to 113
    /// endpoints, and twice the endpoints needed were ordered.
    pub robust_pace: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            latency: latency::Settings::default(),
            plain_work_us: 30_000.0,
            hop_us: 3_000.0,
            fault_us: 600_000.0,
            confirm_us: 100_000.0,
            max_fill: 0.95,
            affinity: 2.0,
            prefix_ttl: Duration::from_secs(60),
            avoid_period: Duration::from_millis(1_500),
            silence_timeout: Duration::from_millis(1_500),
            queueing: false,
            robust_pace: false,
        }
    }
}

/// Part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash of its content.
    pub hash: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// Requirements of a request for its endpoint.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Service that is called.
    pub service: &'a id::Service,
    /// Parts of the prompt in order; the last one is specific to the request.
    pub parts: &'a [Part],
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Upper bound of the answer's length.
    pub answer: Tokens,
    /// Failure domain of this instance.
    pub domain: &'a id::Domain,
    /// Endpoints that already failed this request.
    pub exclude: &'a [id::Endpoint],
    /// Token capacity of one endpoint; set if it is an engine.
    pub memory: Option<Tokens>,
    /// Versions of the service that may run the request.
    pub versions: &'a Versions,
    /// When its first event is of use; a request without this waits in no queue of an engine.
    pub target: Option<Target>,
}

impl Query<'_> {
    /// Whether an endpoint can run the request, if it takes work.
    fn fits(&self, node: &Node) -> bool {
        let entry = &node.entry;
        entry.service == *self.service && self.versions.has(entry.version.as_ref())
    }
}

/// Endpoints among which one is chosen.
#[derive(Debug, Clone, Copy)]
enum Source<'a> {
    /// Those that take work and are in reach.
    Ready,
    /// Those that take work and to which a connection is open; sorted.
    Kept(&'a [id::Endpoint]),
    /// Those that are in reach and have said for less than this time that they are leaving.
    Leaving(Duration),
}

impl Source<'_> {
    fn takes_work(self, now: Time, node: &Node) -> bool {
        match self {
            Self::Ready | Self::Kept(_) => !node.is_leaving(),
            Self::Leaving(limit) => node.may_still_serve(now, limit),
        }
    }

    fn reaches(self, node: &Node) -> bool {
        match self {
            Self::Ready | Self::Leaving(_) => node.is_reachable(),
            Self::Kept(kept) => kept.binary_search(&node.entry.id).is_ok(),
        }
    }
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that it runs, if it reports one.
    pub version: Option<id::Version>,
    /// Expected time to the first event or the answer.
    pub wait: Duration,
    /// Expected time until it gets a slot there, as a part of `wait`.
    pub slot_wait: Duration,
    /// Expected time to the first event if the endpoint were idle.
    pub alone: Duration,
    /// Estimated tokens of the prompt that it has to prefill.
    pub unread: Tokens,
    /// Work before the first event, as input of the latency model.
    pub sample: Sample,
    /// Number of endpoints that it was chosen from.
    pub among: u32,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no endpoint that takes work.
    Absent,
    /// No endpoint that could run the request is in reach of this instance.
    Unreachable,
    /// All endpoints are full.
    Full,
    /// No endpoint wants requests from this instance before this time.
    BackedOff(Time),
    /// The request needs more memory than an endpoint has.
    Large,
}

impl Pick {
    /// The expected wait at the endpoint.
    #[must_use]
    pub fn waits(&self) -> Wait {
        Wait {
            slot: self.slot_wait,
            first_event: self.wait,
            alone: self.alone,
        }
    }
}

impl Roster {
    /// Chooses the endpoint with the lowest cost.
    ///
    /// # Errors
    /// No endpoint takes work, none is in reach, all are full or want no requests, or the request fits
    /// in none.
    pub fn choose(&self, now: Time, query: &Query<'_>) -> Result<Pick, Unavailable> {
        self.choose_from(now, query, Source::Ready)
    }

    /// Chooses among the endpoints `kept`, sorted, to which a connection is open, whether or not a
    /// new one could be opened.
    ///
    /// # Errors
    /// None of them takes work, all are full, or the request fits in none.
    pub fn choose_kept(
        &self,
        now: Time,
        query: &Query<'_>,
        kept: &[id::Endpoint],
    ) -> Result<Pick, Unavailable> {
        self.choose_from(now, query, Source::Kept(kept))
    }

    /// Chooses among the endpoints that are leaving as their answers say, and have said so for less
    /// than `limit`: they still serve for some time.
    ///
    /// # Errors
    /// There is none, none is in reach, all are full, or the request fits in none.
    pub fn choose_leaving(
        &self,
        now: Time,
        query: &Query<'_>,
        limit: Duration,
    ) -> Result<Pick, Unavailable> {
        self.choose_from(now, query, Source::Leaving(limit))
    }

    fn choose_from(
        &self,
        now: Time,
        query: &Query<'_>,
        source: Source<'_>,
    ) -> Result<Pick, Unavailable> {
        let needed = query.prompt.plus(query.answer);
        if query.memory.is_some_and(|memory| needed > memory) {
            return Err(Unavailable::Large);
        }
        let chains: Vec<u64> = chains(query.parts).collect();
        let prefix = shared_prefix(query, &chains);
        let preferred = self.preferred(now, query, source, prefix);
        let model = self.latency_model(query.service);
        let mut unavailable = Unavailable::Absent;
        let mut best: Option<(&Node, Estimate)> = None;
        let mut among = 0;
        let mut some_unreachable = false;
        let mut resumes = None;
        for node in &self.nodes {
            let takes_work = query.fits(node) && source.takes_work(now, node);
            if !takes_work || query.exclude.contains(&node.entry.id) {
                continue;
            }
            if !source.reaches(node) {
                some_unreachable = true;
                if unavailable == Unavailable::Absent {
                    unavailable = Unavailable::Unreachable;
                }
                continue;
            }
            if let Some(backoff) = node.said.backoff.filter(|backoff| !backoff.allows(now)) {
                let earliest = backoff.earliest(now);
                resumes = Some(resumes.map_or(earliest, |other| earliest.min(other)));
                continue;
            }
            let limited = node.limit.as_ref().is_some_and(|limit| !limit.allows(now));
            let room = self.room(now, node, query);
            if limited || self.is_risky(now, node) || room == Room::Full {
                unavailable = Unavailable::Full;
                continue;
            }
            let estimate = self.estimate(now, node, query, &chains, model);
            let is_queued = room == Room::Queue;
            if is_queued
                && !query
                    .target
                    .is_some_and(|target| target.admits(now, &estimate.waits()))
            {
                unavailable = Unavailable::Full;
                continue;
            }
            among += 1;
            let cached = prefix.filter(|prefix| preferred.includes(node, prefix.chain));
            // Prefilling the prefix elsewhere takes time now, and for later requests there.
            let saved = cached.map_or(0.0, |prefix| model.prefill(prefix.tokens.0, 0));
            let cost = estimate.cost - saved * self.settings.affinity;
            if best.is_none_or(|(_, lowest)| cost < lowest.cost) {
                best = Some((node, Estimate { cost, ..estimate }));
            }
        }
        let asks_all = matches!(source, Source::Ready);
        if some_unreachable && asks_all && self.is_lost(now, query.service) {
            return Err(Unavailable::Unreachable);
        }
        if unavailable != Unavailable::Full
            && let Some(resumes) = resumes
        {
            unavailable = Unavailable::BackedOff(resumes);
        }
        let (node, estimate) = best.ok_or(unavailable)?;
        Ok(Pick {
            endpoint: node.entry.id.clone(),
            address: node.entry.address,
            version: node.entry.version.clone(),
            wait: Duration::from_micros(estimate.wait as u64),
            slot_wait: Duration::from_micros(estimate.slot_wait as u64),
            alone: Duration::from_micros(estimate.alone as u64),
            unread: estimate.unread,
            sample: estimate.sample,
            among,
        })
    }

    /// Endpoints that all instances prefer for the longest shared prefix: those that any instance
    /// sent it to recently. For a prefix that was sent nowhere it is the first endpoint of the
    /// prefix's rendezvous hash, so that the prefix is prefilled once rather than once for each
    /// instance.
    fn preferred(
        &self,
        now: Time,
        query: &Query<'_>,
        source: Source<'_>,
        prefix: Option<Prefix>,
    ) -> Preferred<'_> {
        let Some(Prefix { chain, .. }) = prefix else {
            return Preferred::None;
        };
        let oldest = now - self.settings.prefix_ttl;
        let nodes = || {
            let nodes = self.nodes.iter();
            nodes.filter(|node| query.fits(node) && source.takes_work(now, node))
        };
        if nodes().any(|node| node.has_cached(chain, oldest)) {
            return Preferred::Cached(oldest);
        }
        let first = nodes().max_by_key(|node| {
            let name = node.entry.id.as_str();
            (xxh3_64_with_seed(name.as_bytes(), chain), name)
        });
        first.map_or(Preferred::None, |node| Preferred::First(&node.entry.id))
    }

    /// Whether an endpoint might reject the request, and would not stand it.
    fn is_risky(&self, now: Time, node: &Node) -> bool {
        node.brittle
            .as_ref()
            .is_some_and(|brittle| !brittle.allows(now, node.load().open, node.entry.slots))
    }

    fn room(&self, now: Time, node: &Node, query: &Query<'_>) -> Room {
        let load = node.load();
        let slots = f64::from(node.entry.slots.max(1));
        let (has_slot, may_queue) = match query.memory {
            Some(memory) => {
                let needed = query
                    .prompt
                    .plus(query.answer)
                    .0
                    .saturating_add(load.memory);
                if load.open > 0 && needed as f64 > memory.0 as f64 * self.settings.max_fill {
                    return Room::Full;
                }
                let has_slot = f64::from(load.open) < slots * self.settings.max_fill;
                (has_slot, self.may_queue(now, node))
            }
            None => {
                let is_below = f64::from(load.open) < slots * queue_factor(node);
                (now >= node.full_until && is_below, false)
            }
        };
        match (has_slot, may_queue) {
            (true, _) => Room::Slot,
            (false, true) => Room::Queue,
            (false, false) => Room::Full,
        }
    }

    /// Whether one more request may wait at an engine whose slots are taken. An engine that is
    /// leaving, or that names how many requests or rejections it stands, gets none to queue.
    fn may_queue(&self, now: Time, node: &Node) -> bool {
        let is_limited = node
            .limit
            .as_ref()
            .is_some_and(|limit| limit.rate().is_some());
        let is_brittle = node.brittle.as_ref().is_some_and(Bound::is_brittle);
        let queued = node.load().open.saturating_sub(node.entry.slots);
        self.settings.queueing
            && now >= node.full_until
            && queued < node.entry.slots
            && !is_limited
            && !is_brittle
            && !node.is_leaving()
    }

    /// Microseconds until a slot of an engine is expected to be free.
    fn slot_wait(&self, node: &Node, query: &Query<'_>) -> f64 {
        let (open, slots) = (node.load().open, node.entry.slots);
        let is_free = f64::from(open) < f64::from(slots) * self.settings.max_fill;
        match query.target {
            Some(target) if self.settings.queueing && query.memory.is_some() && !is_free => {
                let mean = self.occupancy.mean(query.service);
                target.slot_wait(open, slots, mean).as_micros() as f64 * node.slowness
            }
            Some(_) | None => 0.0,
        }
    }

    fn estimate(
        &self,
        now: Time,
        node: &Node,
        query: &Query<'_>,
        chains: &[u64],
        model: &Model,
    ) -> Estimate {
        let settings = &self.settings;
        let load = node.load();
        let cached = self.cached(now, node, query, chains);
        let unread = query.prompt.minus(cached);
        let sample = Sample {
            tokens: load.unread.saturating_add(unread.0),
            pairs: load.pairs.saturating_add(pairs(query.prompt, unread)),
            open: load.open,
        };
        let work = if query.memory.is_some() {
            model.first_event(sample).as_micros() as f64
        } else {
            let queued = f64::from(load.open) / f64::from(node.entry.slots.max(1));
            settings.plain_work_us * (1.0 + queued * queued)
        };
        let slot_wait = self.slot_wait(node, query);
        let wait = work * node.slowness + NETWORK_US + slot_wait;
        let own = Sample {
            tokens: unread.0,
            pairs: pairs(query.prompt, unread),
            open: 0,
        };
        let own = model.first_event(own).as_micros() as f64;
        // That the endpoint is slow counts as a delay; that it is fast shortens both.
        let alone = own * node.slowness.min(1.0) + NETWORK_US;
        let hop = if node.entry.domain == *query.domain {
            0.0
        } else {
            settings.hop_us
        };
        let silence = node.silence(now);
        let suspicion = if silence > settings.silence_timeout {
            settings.fault_us + silence.as_micros() as f64
        } else {
            0.0
        };
        let avoidance = if now < node.avoided_until {
            4.0 * settings.fault_us
        } else {
            0.0
        };
        let unconfirmed = node
            .limit
            .as_ref()
            .is_some_and(|limit| limit.is_unconfirmed(now));
        let confirmation = if unconfirmed {
            settings.confirm_us
        } else {
            0.0
        };
        let cost = wait + hop + suspicion + avoidance - confirmation
            + node.failure_rate(now) * settings.fault_us;
        Estimate {
            cost,
            wait,
            slot_wait,
            alone,
            unread,
            sample,
        }
    }

    /// Tokens at the start of the prompt that the endpoint is assumed to have cached.
    fn cached(&self, now: Time, node: &Node, query: &Query<'_>, chains: &[u64]) -> Tokens {
        let oldest = now - self.settings.prefix_ttl;
        let mut cached = Tokens(0);
        for (part, chain) in query.parts.iter().zip(chains) {
            if !node.has_cached(*chain, oldest) {
                break;
            }
            cached = cached.plus(part.tokens);
        }
        cached.min(query.prompt)
    }
}

/// Requests that an endpoint other than an engine takes, as a multiple of those that it runs at
/// once: it queues a few more, but fewer or none while it is brittle.
fn queue_factor(node: &Node) -> f64 {
    match &node.brittle {
        Some(brittle) if brittle.is_brittle() => 1.0,
        Some(_) | None => 2.5,
    }
}

/// Estimated cost of a candidate.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Sum of all costs in microseconds.
    cost: f64,
    /// Microseconds until the first event or the answer.
    wait: f64,
    /// Microseconds until a slot is free, as a part of `wait`.
    slot_wait: f64,
    /// Microseconds until the first event if the endpoint were idle.
    alone: f64,
    unread: Tokens,
    sample: Sample,
}

impl Estimate {
    fn waits(&self) -> Wait {
        let micros = |micros: f64| Duration::from_micros(micros as u64);
        Wait {
            slot: micros(self.slot_wait),
            first_event: micros(self.wait),
            alone: micros(self.alone),
        }
    }
}

/// Whether an endpoint takes one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    /// It has a free slot.
    Slot,
    /// The request may wait there.
    Queue,
    /// It takes none.
    Full,
}

/// Longest prefix of a prompt that other requests share.
#[derive(Debug, Clone, Copy)]
struct Prefix {
    /// Chained hash of all its parts.
    chain: u64,
    /// Its length.
    tokens: Tokens,
}

/// All parts but the last one, which is specific to the request.
fn shared_prefix(query: &Query<'_>, chains: &[u64]) -> Option<Prefix> {
    let count = query.parts.len().checked_sub(1)?;
    let chain = *chains[..count].last()?;
    let tokens = query.parts[..count].iter().map(|part| part.tokens.0).sum();
    Some(Prefix {
        chain,
        tokens: Tokens(tokens),
    })
}

/// Endpoints that are preferred for a shared prefix.
#[derive(Debug, Clone, Copy)]
enum Preferred<'a> {
    /// None: the prompt has no shared prefix, or there is no endpoint.
    None,
    /// All endpoints that it was sent to since this time.
    Cached(Time),
    /// This one, as no instance has sent the prefix to any endpoint recently.
    First(&'a id::Endpoint),
}

impl Preferred<'_> {
    fn includes(self, node: &Node, chain: u64) -> bool {
        match self {
            Self::None => false,
            Self::Cached(oldest) => node.has_cached(chain, oldest),
            Self::First(id) => node.entry.id == *id,
        }
    }
}

/// Token pairs in the attention of a prefill: the square of the prompt's length less the square
/// of its cached length.
pub(super) fn pairs(prompt: Tokens, unread: Tokens) -> u64 {
    let cached = prompt.minus(unread);
    let square = |tokens: Tokens| tokens.0.saturating_mul(tokens.0);
    square(prompt).saturating_sub(square(cached))
}

/// For each part, the chained hash of it and all parts before it.
pub(super) fn chains(parts: &[Part]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0, |chain, part| {
        *chain = xxh3_64_with_seed(&part.hash.to_le_bytes(), *chain);
        Some(*chain)
    })
}
