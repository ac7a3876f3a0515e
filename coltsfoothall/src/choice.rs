//! Selection of an endpoint for a request by expected cost.
//!
//! The cost is computed for a few candidates only: the endpoints whose prefix cache is
//! estimated to hold most of the prompt, those to which the first uncached block of the
//! prompt hashes (so that all entry instances send a new prefix to the same cache), and
//! some random ones. A suspect endpoint is avoided as long as another can serve, and a
//! leaving endpoint is never chosen.

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

/// Settings of the endpoint selection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weights of the cost terms.
    pub weights: Weights,
    /// How load reports are interpreted.
    pub load: load::Settings,
    /// Bounds of the prefix cache index.
    pub index: index::Settings,
    /// Maximum number of candidates selected for their cached prefix.
    pub holders: usize,
    /// Number of candidates to which the prompt hashes.
    pub homes: usize,
    /// Number of random candidates.
    pub sample: usize,
    /// All endpoints of a service are candidates if it has at most this many.
    pub all: usize,
    /// Number of entry instances that send to the same endpoints, including this one.
    pub entries: u32,
    /// Time in microseconds in which an endpoint processes one prompt token.
    pub read: f64,
    /// Time between generated tokens, used to estimate the duration of a response.
    pub step: Millis,
    /// Number of open requests that one endpoint can serve within the latency target.
    pub slots: u32,
    /// Work that one open request counts as, in addition to its uncached prompt.
    pub slot: Tokens,
    /// Uncached prompt tokens that one endpoint can have pending.
    pub depth: Tokens,
    /// Seed for the random candidates; it should differ between entry instances.
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

/// An endpoint that can serve requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name.
    pub id: id::Endpoint,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Models that it has loaded, sorted; empty means that it serves any model.
    pub models: Vec<id::Model>,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Price of its instance.
    pub price: Price,
    /// Risk that its instance is reclaimed.
    pub risk: Risk,
}

/// The requirements of one request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// The model, if the service runs one.
    pub model: Option<&'a id::Model>,
    /// Hashed blocks of the prompt.
    pub blocks: &'a [Block],
    /// Length of the prompt in tokens.
    pub prompt: Tokens,
    /// Maximum number of tokens that remain to be generated.
    pub max_tokens: Tokens,
    /// Priority class of the request.
    pub class: Class,
    /// Failure domain of this entry instance.
    pub domain: &'a id::Domain,
    /// Endpoints on which this request has already failed.
    pub exclude: &'a [id::Endpoint],
    /// Whether no other request may run on the endpoint at the same time.
    pub isolated: bool,
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Number of prompt tokens that its cache is estimated to hold.
    pub cached: Tokens,
    /// Expected time to the first token.
    pub wait: Duration,
}

/// A request that is open at an endpoint.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an open request counts as load until it is passed to `Router::record_end`"]
pub struct Run {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Estimate of the cached prefix when the request was sent.
    estimate: Estimate,
    /// Prompt tokens that are not known to be processed yet.
    prefill: Tokens,
    began: Time,
    isolated: bool,
}

/// Selects endpoints. It is owned by the control thread.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    table: Table,
    index: Index,
    random: Pcg64Mcg,
    matches: Vec<Match>,
    candidates: Vec<Candidate>,
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            table: Table::default(),
            index: Index::new(settings.index.clone()),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            matches: Vec::new(),
            candidates: Vec::new(),
            settings,
        }
    }

    /// Replaces the list of endpoints. The state of endpoints that remain in the list is
    /// kept.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.table.replace(endpoints, &mut self.index);
    }

    /// Sets the number of entry instances that send to the same endpoints.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries.max(1);
    }

    /// Marks an endpoint as leaving: it is not chosen again for as long as it stays in the
    /// list.
    pub fn mark_leaving(&mut self, id: &id::Endpoint) {
        if let Some(node) = self.table.get_mut(id) {
            node.leaving = true;
        }
    }

    /// Removes an endpoint that has terminated.
    pub fn remove(&mut self, id: &id::Endpoint) {
        self.table.remove(id, &mut self.index);
    }

    /// Marks an endpoint as failing: until `until` it is chosen only if no other endpoint
    /// can serve.
    pub fn mark_suspect(&mut self, id: &id::Endpoint, until: Time) {
        if let Some(node) = self.table.get_mut(id) {
            node.suspect = until;
        }
    }

    /// Chooses an endpoint, or returns `None` if no endpoint may serve the request.
    pub fn choose(&mut self, now: Time, query: &Query<'_>) -> Option<Pick> {
        self.collect_candidates(now, query);
        let mut best: Option<(f64, Candidate)> = None;
        // Equal costs are common. Starting at a random candidate keeps entry instances from
        // all breaking ties the same way.
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

    /// Records that a request is sent to an endpoint.
    pub fn record_start(&mut self, now: Time, endpoint: &id::Endpoint, query: &Query<'_>) -> Run {
        let mut run = Run {
            endpoint: endpoint.clone(),
            estimate: Estimate::default(),
            prefill: Tokens(0),
            began: now,
            isolated: query.isolated,
        };
        if let Some(node) = self.table.get_mut(endpoint) {
            run.estimate = self.index.estimate(node.cache, query.blocks);
            run.prefill = query.prompt.minus(tokens(run.estimate.blocks));
            node.load
                .record_start(now, run.prefill, &self.settings.load);
            node.isolated += u32::from(query.isolated);
            self.index.record_use(node.cache, query.blocks);
            let pool = node.pool;
            let slot = self.settings.step.0 as f64 * 1e3 / f64::from(self.settings.slots.max(1));
            let work = run.prefill.0 as f64 * self.settings.read + query.max_tokens.0 as f64 * slot;
            self.table.record_work(pool, query.class, work);
        }
        run
    }

    /// Records that the first token of a request has arrived. `cached` is the number of
    /// prompt tokens that the endpoint reports to have read from its cache; it corrects the
    /// estimate in the index.
    pub fn record_first_token(&mut self, now: Time, run: &mut Run, cached: Option<Tokens>) {
        let prefill = std::mem::take(&mut run.prefill);
        let Some(node) = self.table.get_mut(&run.endpoint) else {
            return;
        };
        node.load.record_prefill(now, prefill, &self.settings.load);
        if cached.is_some_and(|cached| cached < tokens(run.estimate.blocks)) {
            self.index.record_miss(node.cache, run.estimate);
        }
    }

    /// Records that a request has ended at its endpoint, successfully or not.
    pub fn record_end(&mut self, now: Time, run: Run) {
        if let Some(node) = self.table.get_mut(&run.endpoint) {
            node.load
                .record_prefill(now, run.prefill, &self.settings.load);
            node.load.record_end(now, &self.settings.load);
            node.isolated = node.isolated.saturating_sub(u32::from(run.isolated));
            let pool = node.pool;
            self.table.record_duration(pool, now.since(run.began));
        }
    }

    /// Records an endpoint's load report.
    pub fn record_report(&mut self, now: Time, endpoint: &id::Endpoint, report: &Report) {
        let Some(node) = self.table.get_mut(endpoint) else {
            return;
        };
        self.index.resize(node.cache, report.capacity);
        let others = node.load.record_report(now, report, &self.settings.load);
        let pool = node.pool;
        self.table.record_others(pool, others);
    }

    /// Records an endpoint's cache events. Returns the number of events that were lost.
    pub fn record_cache_events(&mut self, endpoint: &id::Endpoint, events: &[Event]) -> u64 {
        let Some(node) = self.table.get_mut(endpoint) else {
            return 0;
        };
        let (cache, lost) = self.index.record_events(node.cache, events);
        if cache != node.cache {
            node.cache = cache;
            self.table.index_caches();
        }
        lost
    }

    /// Work that this entry instance may have open at a service: its part of what the other
    /// instances leave unused, but never less than an equal share.
    #[must_use]
    pub fn budget(&self, now: Time, service: &id::Service) -> Tokens {
        budget::of(now, service, &self.table, &self.settings)
    }

    /// Number of entries in the cache index.
    #[must_use]
    pub fn index_entries(&self) -> usize {
        self.index.len()
    }

    /// Collects the candidates. Suspect endpoints are used only if no other endpoint can
    /// serve.
    fn collect_candidates(&mut self, now: Time, query: &Query<'_>) {
        self.candidates.clear();
        self.add_candidates(now, query, false);
        if self.candidates.is_empty() {
            self.add_candidates(now, query, true);
        }
    }

    fn add_candidates(&mut self, now: Time, query: &Query<'_>, suspects: bool) {
        let fits = |node: &Node| node.serves(query) && (suspects || node.suspect <= now);
        let members = self.table.range(query.service);
        self.matches.clear();
        let usable = |cache: CacheId| {
            let node = self.table.node_of(cache);
            node.is_some_and(|node| members.contains(&node) && fits(self.table.at(node)))
        };
        let limit = self.settings.holders;
        self.index
            .find_best(query.blocks, limit, &usable, &mut self.matches);
        for found in &self.matches {
            if let Some(node) = self.table.node_of(found.cache) {
                let blocks = found.blocks;
                self.candidates.push(Candidate {
                    node,
                    blocks,
                    is_hash_target: false,
                });
            }
        }
        let known = self.matches.first().map_or(0, |found| found.blocks);
        let anchor = query.blocks.get(known).or(query.blocks.last());
        if let Some(anchor) = anchor {
            let batch_share = self.table.batch_share(query.service) * self.settings.weights.apart;
            let len = members.len() as f64;
            let weight = |rank: f64| class_weight(query.class, batch_share, rank, len);
            let count = self.settings.homes;
            for node in self
                .table
                .hash_targets(query.service, &weight, *anchor, count)
            {
                add(&mut self.candidates, node, fits(self.table.at(node)));
                let candidate = self.candidates.iter_mut().find(|other| other.node == node);
                if let Some(candidate) = candidate {
                    candidate.is_hash_target = true;
                }
            }
        }
        if members.len() <= self.settings.all {
            for node in members {
                add(&mut self.candidates, node, fits(self.table.at(node)));
            }
            return;
        }
        let limit = self.candidates.len() + self.settings.sample;
        for _ in 0..self.settings.sample * 2 {
            let node = self.random.random_range(members.clone());
            add(&mut self.candidates, node, fits(self.table.at(node)));
            if self.candidates.len() >= limit {
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
        let home = f64::from(u8::from(candidate.is_hash_target));
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
        let pending = self.work(now, node).prefill + query.prompt.minus(cached).0 as f64;
        Pick {
            endpoint: node.endpoint.id.clone(),
            cached,
            wait: Duration::from_secs_f64(pending * self.settings.read / 1e6),
        }
    }
}
