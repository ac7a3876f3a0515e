//! The choice of an endpoint for a request, by expected cost.
//!
//! Few candidates are weighed: those whose cache is believed to hold most of
//! the prompt, those that the first unknown block of the prompt hashes to (so
//! that all entry instances bring a new prefix to the same cache), and some at
//! random. A failing endpoint is avoided while another can serve; a leaving one
//! is never chosen.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::budget;
use crate::candidate::{Candidate, add, class_weight, tokens};
use crate::clock::Time;
use crate::id;
use crate::index::{self, CacheId, Estimate, Event, Index, Match};
use crate::load::{self, Report, Work};
use crate::pool::{Node, Table};
use crate::prefix::Block;
use crate::record::Class;
use crate::size::{Millis, Price, Tokens};
use crate::weight::{Risk, Weights};

/// How choices are made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The weights of the cost.
    pub weights: Weights,
    /// How load reports are read.
    pub load: load::Settings,
    /// Bounds of the cache index.
    pub index: index::Settings,
    /// Most candidates that are taken for what they have cached.
    pub holders: usize,
    /// Candidates that the prompt hashes to.
    pub homes: usize,
    /// Candidates taken at random.
    pub sample: usize,
    /// Services with at most so many endpoints have all of them weighed.
    pub all: usize,
    /// Entry instances that send to the same endpoints, this one included.
    pub entries: u32,
    /// Microseconds in which an endpoint reads one prompt token.
    pub read: f64,
    /// Time between tokens, for how long an answer is expected to take.
    pub step: Millis,
    /// Open requests that one endpoint takes before the target is missed.
    pub slots: u32,
    /// Work that one open request counts as beside its uncached prompt.
    pub slot: Tokens,
    /// Uncached prompt that one endpoint takes at once.
    pub depth: Tokens,
    /// Seed of the random candidates; entry instances should differ.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights: Weights::default(),
            load: load::Settings::default(),
            index: index::Settings::default(),
            holders: 8,
            homes: 1,
            sample: 6,
            all: 32,
            entries: 8,
            read: 50.0,
            step: Millis(25),
            slots: 32,
            slot: Tokens(128),
            depth: Tokens(4_096),
            seed: 1,
        }
    }
}

/// An endpoint that requests can go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name.
    pub id: id::Endpoint,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Models that it has loaded, sorted; empty means any.
    pub models: Vec<id::Model>,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Price of its instance.
    pub price: Price,
    /// How likely its instance is to be reclaimed.
    pub risk: Risk,
}

/// What a request asks of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// The model, for engines.
    pub model: Option<&'a id::Model>,
    /// Blocks of the prompt.
    pub blocks: &'a [Block],
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Most tokens still to be generated.
    pub max_tokens: Tokens,
    /// How urgent it is.
    pub class: Class,
    /// Failure domain of this entry instance.
    pub domain: &'a id::Domain,
    /// Endpoints that failed it before.
    pub exclude: &'a [id::Endpoint],
    /// Whether nothing else may run beside it.
    pub isolated: bool,
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Tokens of the prompt that its cache is believed to hold.
    pub cached: Tokens,
    /// Expected wait for the first token.
    pub wait: Duration,
}

/// A request that was sent to an endpoint and has not ended there.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an open request counts as load until `Router::record_end` takes it back"]
pub struct Run {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What was believed cached of the prompt.
    held: Estimate,
    /// Prompt tokens not yet known to be read.
    prefill: Tokens,
    began: Time,
    isolated: bool,
}

/// Chooses endpoints; owned by the control thread.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    table: Table,
    index: Index,
    random: Pcg64Mcg,
    found: Vec<Match>,
    candidates: Vec<Candidate>,
}

impl Router {
    /// A router without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            table: Table::default(),
            index: Index::new(settings.index.clone()),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            found: Vec::new(),
            candidates: Vec::new(),
            settings,
        }
    }

    /// Replaces the list of endpoints; what is known of those that stay is kept.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.table.replace(endpoints, &mut self.index);
    }

    /// Tells how many entry instances send to the same endpoints.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries.max(1);
    }

    /// An endpoint leaves: it is not chosen again until it left the list.
    pub fn mark_leaving(&mut self, id: &id::Endpoint) {
        if let Some(node) = self.table.get_mut(id) {
            node.leaving = true;
        }
    }

    /// An endpoint is gone.
    pub fn remove(&mut self, id: &id::Endpoint) {
        self.table.remove(id, &mut self.index);
    }

    /// An endpoint failed: it is chosen before `until` only if no other serves.
    pub fn mark_suspect(&mut self, id: &id::Endpoint, until: Time) {
        if let Some(node) = self.table.get_mut(id) {
            node.suspect = until;
        }
    }

    /// Chooses an endpoint, or none if no endpoint may take the request.
    pub fn choose(&mut self, now: Time, query: &Query<'_>) -> Option<Pick> {
        self.gather(now, query);
        let mut best: Option<(f64, Candidate)> = None;
        // Equal costs are common, and all instances must not settle them alike.
        let from = self.random.random_range(0..self.candidates.len().max(1));
        let (before, after) = self.candidates.split_at(from);
        for candidate in after.iter().chain(before) {
            let cost = self.cost(now, query, *candidate);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *candidate));
            }
        }
        let (_, candidate) = best?;
        Some(self.pick(now, query, candidate))
    }

    /// A request goes to an endpoint.
    pub fn record_start(&mut self, now: Time, endpoint: &id::Endpoint, query: &Query<'_>) -> Run {
        let mut run = Run {
            endpoint: endpoint.clone(),
            held: Estimate::default(),
            prefill: Tokens(0),
            began: now,
            isolated: query.isolated,
        };
        if let Some(node) = self.table.get_mut(endpoint) {
            run.held = self.index.estimate(node.holder, query.blocks);
            run.prefill = query.prompt.minus(tokens(run.held.blocks));
            node.load
                .record_start(now, run.prefill, &self.settings.load);
            node.isolated += u32::from(query.isolated);
            self.index.record_use(node.holder, query.blocks);
            let pool = node.pool;
            let slot = self.settings.step.0 as f64 * 1e3 / f64::from(self.settings.slots.max(1));
            let work = run.prefill.0 as f64 * self.settings.read + query.max_tokens.0 as f64 * slot;
            self.table.note_work(pool, query.class, work);
        }
        run
    }

    /// The first token arrived; `cached` is what the endpoint says that it
    /// read from its cache, which corrects what was believed.
    pub fn record_first_token(&mut self, now: Time, run: &mut Run, cached: Option<Tokens>) {
        let prefill = std::mem::take(&mut run.prefill);
        let Some(node) = self.table.get_mut(&run.endpoint) else {
            return;
        };
        node.load.record_prefill(now, prefill, &self.settings.load);
        if cached.is_some_and(|cached| cached < tokens(run.held.blocks)) {
            self.index.record_miss(node.holder, run.held);
        }
    }

    /// A request ended at its endpoint, in whatever way.
    pub fn record_end(&mut self, now: Time, run: Run) {
        if let Some(node) = self.table.get_mut(&run.endpoint) {
            node.load
                .record_prefill(now, run.prefill, &self.settings.load);
            node.load.record_end(now, &self.settings.load);
            node.isolated = node.isolated.saturating_sub(u32::from(run.isolated));
            let pool = node.pool;
            self.table.note_hold(pool, now.since(run.began));
        }
    }

    /// An endpoint reported its load.
    pub fn record_report(&mut self, now: Time, endpoint: &id::Endpoint, report: &Report) {
        let Some(node) = self.table.get_mut(endpoint) else {
            return;
        };
        self.index.resize(node.holder, report.capacity);
        let others = node.load.record_report(now, report, &self.settings.load);
        let pool = node.pool;
        self.table.note_others(pool, others);
    }

    /// An endpoint's cache events arrived. Returns how many were lost.
    pub fn record_cache_events(&mut self, endpoint: &id::Endpoint, events: &[Event]) -> u64 {
        let Some(node) = self.table.get_mut(endpoint) else {
            return 0;
        };
        let (holder, lost) = self.index.record_events(node.holder, events);
        if holder != node.holder {
            node.holder = holder;
            self.table.seat();
        }
        lost
    }

    /// Work that this instance may have open at a service: what is left by
    /// others, and never less than an equal share.
    #[must_use]
    pub fn budget(&self, now: Time, service: &id::Service) -> Tokens {
        budget::of(now, service, &self.table, &self.settings)
    }

    /// Beliefs that the cache index holds.
    #[must_use]
    pub fn index_entries(&self) -> usize {
        self.index.len()
    }

    /// Fills the list of candidates.
    fn gather(&mut self, now: Time, query: &Query<'_>) {
        self.candidates.clear();
        self.add_candidates(now, query, false);
        if self.candidates.is_empty() {
            self.add_candidates(now, query, true);
        }
    }

    fn add_candidates(&mut self, now: Time, query: &Query<'_>, suspects: bool) {
        let fits = |node: &Node| node.serves(query) && (suspects || node.suspect <= now);
        let members = self.table.range(query.service);
        self.found.clear();
        let usable = |holder: CacheId| {
            let node = self.table.holder(holder);
            node.is_some_and(|node| members.contains(&node) && fits(self.table.at(node)))
        };
        let limit = self.settings.holders;
        self.index
            .find_best(query.blocks, limit, &usable, &mut self.found);
        for found in &self.found {
            if let Some(node) = self.table.holder(found.cache) {
                let blocks = found.blocks;
                self.candidates.push(Candidate {
                    node,
                    blocks,
                    home: false,
                });
            }
        }
        let known = self.found.first().map_or(0, |found| found.blocks);
        let anchor = query.blocks.get(known).or(query.blocks.last());
        if let Some(anchor) = anchor {
            let part = self.table.part(query.service) * self.settings.weights.apart;
            let len = members.len() as f64;
            let weight = |rank: f64| class_weight(query.class, part, rank, len);
            let homes = self.settings.homes;
            for node in self.table.homes(query.service, &weight, *anchor, homes) {
                add(&mut self.candidates, node, fits(self.table.at(node)));
                let home = self.candidates.iter_mut().find(|have| have.node == node);
                if let Some(home) = home {
                    home.home = true;
                }
            }
        }
        if members.len() <= self.settings.all {
            for node in members {
                add(&mut self.candidates, node, fits(self.table.at(node)));
            }
            return;
        }
        let enough = self.candidates.len() + self.settings.sample;
        for _ in 0..self.settings.sample * 2 {
            let node = self.random.random_range(members.clone());
            add(&mut self.candidates, node, fits(self.table.at(node)));
            if self.candidates.len() >= enough {
                return;
            }
        }
        if self.candidates.is_empty() {
            for node in members {
                add(&mut self.candidates, node, fits(self.table.at(node)));
            }
        }
    }

    /// Expected cost of a candidate in microseconds.
    fn cost(&self, now: Time, query: &Query<'_>, candidate: Candidate) -> f64 {
        let weights = &self.settings.weights;
        let node = self.table.at(candidate.node);
        let work = self.work(now, node);
        let uncached = query.prompt.minus(tokens(candidate.blocks));
        let hop = f64::from(u8::from(node.endpoint.domain != *query.domain));
        let home = f64::from(u8::from(candidate.home));
        weights.queued * work.prefill
            + weights.open * work.open
            + weights.uncached * uncached.0 as f64
            + weights.hop * hop
            - weights.home * home * uncached.0 as f64
    }

    fn work(&self, now: Time, node: &Node) -> Work {
        let view = self.table.pool_view(node.pool, &self.settings.load);
        node.load.estimate(now, &view)
    }

    fn pick(&self, now: Time, query: &Query<'_>, candidate: Candidate) -> Pick {
        let node = self.table.at(candidate.node);
        let cached = tokens(candidate.blocks).min(query.prompt);
        let unread = self.work(now, node).prefill + query.prompt.minus(cached).0 as f64;
        Pick {
            endpoint: node.endpoint.id.clone(),
            cached,
            wait: Duration::from_secs_f64(unread * self.settings.read / 1e6),
        }
    }
}
