//! The choice of an endpoint for a request.
//!
//! Load is counted, not asked for: each instance tells the others what it has open at
//! each endpoint, so the sum is at most one heartbeat old. The choice adds up, in
//! microseconds, what a candidate would cost: the prompts queued before it, the part of
//! the prompt that it has to read, requests beside it, the hop, and what it failed lately.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::forward::latency::{self, Model, Sample};
use crate::forward::node::Node;
use crate::forward::roster::Roster;
use crate::forward::upgrade::Versions;
use crate::id;
use crate::size::Tokens;

/// Bounds and weights of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// What is assumed of engines until their answers are seen.
    pub latency: latency::Settings,
    /// Microseconds that a plain request works, before that was measured.
    pub work: f64,
    /// Microseconds that the hop to another failure domain counts as: bytes there are
    /// paid for, about 16 kB a long answer.
    pub hop: f64,
    /// Microseconds that an endpoint which fails every request counts as.
    pub fault: f64,
    /// Part of the batch and of the memory that may be taken before an endpoint is full.
    pub fill: f64,
    /// Times by which the home of a shared part is preferred to the time that it saves there:
    /// reading the part elsewhere makes others read it there again.
    pub home: f64,
    /// How long a prompt part is believed to stay in an endpoint's memory.
    pub keep: Duration,
    /// How long an endpoint that could not be reached is avoided.
    pub avoid: Duration,
    /// An endpoint whose oldest request has had no sign of life for so long is doubted.
    pub silent: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            latency: latency::Settings::default(),
            work: 30_000.0,
            hop: 3_000.0,
            fault: 600_000.0,
            fill: 0.95,
            home: 2.0,
            keep: Duration::from_secs(60),
            avoid: Duration::from_millis(1_500),
            silent: Duration::from_millis(1_500),
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// What it holds, as a number.
    pub mark: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a request asks of an endpoint.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Its service.
    pub service: &'a id::Service,
    /// Parts of its prompt in order; the last one is its own.
    pub parts: &'a [Part],
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub answer: Tokens,
    /// Failure domain of this instance.
    pub domain: &'a id::Domain,
    /// Endpoints that failed it before.
    pub exclude: &'a [id::Endpoint],
    /// Memory of one endpoint, where it is an engine.
    pub memory: Option<Tokens>,
    /// Versions of the service that may run it.
    pub versions: &'a Versions,
}

impl Query<'_> {
    /// Whether an endpoint is of those that may run it.
    fn allows(&self, node: &Node) -> bool {
        let entry = &node.entry;
        entry.service == *self.service
            && !entry.leaving
            && self.versions.has(entry.version.as_ref())
    }
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that it runs, if it says so.
    pub version: Option<id::Version>,
    /// Expected time to the first event or the answer.
    pub wait: Duration,
    /// Tokens of the prompt that it has to read, as believed.
    pub unread: Tokens,
    /// What its first event waits for there.
    pub sample: Sample,
    /// Endpoints that it was chosen from.
    pub among: u32,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no endpoint that takes work.
    Absent,
    /// All are full.
    Full,
    /// The request is larger than the memory of an endpoint.
    Large,
}

impl Roster {
    /// Chooses an endpoint.
    ///
    /// # Errors
    /// Says whether there is none, all are full, or the request fits in none.
    pub fn choose(&self, now: Time, query: &Query<'_>) -> Result<Pick, Unavailable> {
        let needed = query.prompt.plus(query.answer);
        if query.memory.is_some_and(|memory| needed > memory) {
            return Err(Unavailable::Large);
        }
        let chains: Vec<u64> = chains(query.parts).collect();
        let part = shared(query, &chains);
        let home = self.home(now, query, part);
        let model = self.latency_model(query.service);
        let mut unavailable = Unavailable::Absent;
        let mut best: Option<(&Node, Weighed)> = None;
        let mut among = 0;
        for node in &self.nodes {
            if !query.allows(node) || query.exclude.contains(&node.entry.id) {
                continue;
            }
            if self.is_full(now, node, query) {
                unavailable = Unavailable::Full;
                continue;
            }
            among += 1;
            let weighed = self.weigh(now, node, query, &chains, model);
            let kept = part.filter(|part| home.is(node, part.chain));
            // Reading the part elsewhere takes time now, and again when it is asked there.
            let saved = kept.map_or(0.0, |part| model.prefill(part.tokens.0, 0));
            let cost = weighed.cost - saved * self.settings.home;
            if best.is_none_or(|(_, least)| cost < least.cost) {
                best = Some((node, Weighed { cost, ..weighed }));
            }
        }
        let (node, weighed) = best.ok_or(unavailable)?;
        Ok(Pick {
            endpoint: node.entry.id.clone(),
            address: node.entry.address,
            version: node.entry.version.clone(),
            wait: Duration::from_micros(weighed.wait as u64),
            unread: weighed.unread,
            sample: weighed.sample,
            among,
        })
    }

    /// Where all instances look first for the longest part that others share: where it was
    /// sent lately, by whichever instance. A part that is nowhere has the first endpoint of
    /// its rendezvous hash, so that it is read once and not once each.
    fn home(&self, now: Time, query: &Query<'_>, part: Option<Shared>) -> Home<'_> {
        let Some(Shared { chain, .. }) = part else {
            return Home::Nowhere;
        };
        let oldest = now - self.settings.keep;
        let nodes = || self.nodes.iter().filter(|node| query.allows(node));
        if nodes().any(|node| node.knows(chain, oldest)) {
            return Home::Held(oldest);
        }
        let first = nodes().max_by_key(|node| {
            let name = node.entry.id.as_str();
            (xxh3_64_with_seed(name.as_bytes(), chain), name)
        });
        first.map_or(Home::Nowhere, |node| Home::First(&node.entry.id))
    }

    fn is_full(&self, now: Time, node: &Node, query: &Query<'_>) -> bool {
        let load = node.load();
        let slots = f64::from(node.entry.slots.max(1));
        match query.memory {
            Some(memory) => {
                let needed = query
                    .prompt
                    .plus(query.answer)
                    .0
                    .saturating_add(load.memory);
                f64::from(load.open) >= slots * self.settings.fill
                    || (load.open > 0 && needed as f64 > memory.0 as f64 * self.settings.fill)
            }
            // Plain endpoints queue a few more than they run.
            None => now < node.full || f64::from(load.open) >= slots * 2.5,
        }
    }

    fn weigh(
        &self,
        now: Time,
        node: &Node,
        query: &Query<'_>,
        chains: &[u64],
        model: &Model,
    ) -> Weighed {
        let settings = &self.settings;
        let load = node.load();
        let known = self.known(now, node, query, chains);
        let unread = query.prompt.minus(known);
        let sample = Sample {
            tokens: load.unread.saturating_add(unread.0),
            pairs: load.pairs.saturating_add(pairs(query.prompt, unread)),
            open: load.open,
        };
        let work = if query.memory.is_some() {
            model.first_event(sample).as_micros() as f64
        } else {
            let queued = f64::from(load.open) / f64::from(node.entry.slots.max(1));
            settings.work * (1.0 + queued * queued)
        };
        let wait = work * node.slowness + 4_000.0;
        let hop = if node.entry.domain == *query.domain {
            0.0
        } else {
            settings.hop
        };
        let silence = node.silence(now);
        let doubt = if silence > settings.silent {
            settings.fault + silence.as_micros() as f64
        } else {
            0.0
        };
        let avoided = if now < node.avoided {
            4.0 * settings.fault
        } else {
            0.0
        };
        let cost = wait + hop + doubt + avoided + node.unsound(now) * settings.fault;
        Weighed {
            cost,
            wait,
            unread,
            sample,
        }
    }

    /// Tokens at the start of the prompt that the endpoint read lately.
    fn known(&self, now: Time, node: &Node, query: &Query<'_>, chains: &[u64]) -> Tokens {
        let oldest = now - self.settings.keep;
        let mut known = Tokens(0);
        for (part, chain) in query.parts.iter().zip(chains) {
            if !node.knows(*chain, oldest) {
                break;
            }
            known = known.plus(part.tokens);
        }
        known.min(query.prompt)
    }
}

/// What a candidate would cost.
#[derive(Debug, Clone, Copy)]
struct Weighed {
    /// Microseconds, all that counts added up.
    cost: f64,
    /// Microseconds to the first event or the answer.
    wait: f64,
    unread: Tokens,
    sample: Sample,
}

/// The longest start of a prompt that other requests share.
#[derive(Debug, Clone, Copy)]
struct Shared {
    /// Mark of its last part and all before it.
    chain: u64,
    /// Its length.
    tokens: Tokens,
}

/// All parts but the last one, which is the request's own.
fn shared(query: &Query<'_>, chains: &[u64]) -> Option<Shared> {
    let count = query.parts.len().checked_sub(1)?;
    let chain = *chains[..count].last()?;
    let tokens = query.parts[..count].iter().map(|part| part.tokens.0).sum();
    Some(Shared {
        chain,
        tokens: Tokens(tokens),
    })
}

/// Where a shared part is looked for.
#[derive(Debug, Clone, Copy)]
enum Home<'a> {
    /// The prompt shares nothing, or there is no endpoint.
    Nowhere,
    /// Wherever it was sent since.
    Held(Time),
    /// At this endpoint, where nobody has sent it yet.
    First(&'a id::Endpoint),
}

impl Home<'_> {
    fn is(self, node: &Node, chain: u64) -> bool {
        match self {
            Self::Nowhere => false,
            Self::Held(oldest) => node.knows(chain, oldest),
            Self::First(id) => node.entry.id == *id,
        }
    }
}

/// Pairs of each unread token of a prompt with those before it, counted as squares.
pub(super) fn pairs(prompt: Tokens, unread: Tokens) -> u64 {
    let known = prompt.minus(unread);
    let square = |tokens: Tokens| tokens.0.saturating_mul(tokens.0);
    square(prompt).saturating_sub(square(known))
}

/// For each part, a mark of it and all before it.
pub(super) fn chains(parts: &[Part]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0, |chain, part| {
        *chain = xxh3_64_with_seed(&part.mark.to_le_bytes(), *chain);
        Some(*chain)
    })
}
