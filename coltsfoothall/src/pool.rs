//! The endpoints of all services and their state.
//!
//! Nodes are sorted by service and name, so the nodes of one service are contiguous.

use std::ops::Range;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::choice::{Endpoint, Query};
use crate::clock::Time;
use crate::id;
use crate::index::{CacheId, Index};
use crate::load::{self, View, Work};
use crate::prefix::Block;
use crate::record::Class;

/// Weight of one report or request in the exponential moving averages of a service.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Assumed duration of a request before any request of the service has ended.
const INITIAL_DURATION: Duration = Duration::from_secs(5);
/// Factor by which the work of earlier requests is discounted with each new request.
const WORK_DECAY: f64 = 0.998;

/// An endpoint and its state.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) endpoint: Endpoint,
    pub(crate) cache: CacheId,
    pub(crate) load: load::State,
    pub(crate) leaving: bool,
    /// The endpoint is avoided until this time.
    pub(crate) suspect: Time,
    /// Number of open requests that must run isolated.
    pub(crate) isolated: u32,
    /// Index of its service in the table.
    pub(crate) pool: usize,
    hash: u64,
    /// Rank among the service's nodes in the order of their hashes, from 0 to 1.
    pub(crate) rank: f64,
}

impl Node {
    /// Whether the endpoint may serve the request.
    pub(crate) fn serves(&self, query: &Query<'_>) -> bool {
        let models = &self.endpoint.models;
        let model = match query.model {
            Some(model) => models.is_empty() || models.binary_search(model).is_ok(),
            None => true,
        };
        let empty = !query.isolated || self.load.own().open < 0.5;
        model && empty && self.isolated == 0 && !self.leaving && !self.excluded(query)
    }

    fn excluded(&self, query: &Query<'_>) -> bool {
        query.exclude.contains(&self.endpoint.id)
    }
}

/// The nodes of one service.
#[derive(Debug)]
struct Pool {
    service: id::Service,
    nodes: Range<usize>,
    /// Moving average of the work that other entry instances have open at one endpoint.
    mean: Work,
    /// Moving average of the time for which a request is open.
    duration: Duration,
    /// Discounted sum of the work sent by this instance: all work, and batch work.
    sent: [f64; 2],
}

/// The node to which a cache belongs.
#[derive(Debug, Clone, Copy)]
struct CacheOwner {
    cache: CacheId,
    node: usize,
}

/// All nodes.
#[derive(Debug, Default)]
pub(crate) struct Table {
    nodes: Vec<Node>,
    /// Node indices sorted by endpoint name.
    names: Vec<usize>,
    /// Nodes sorted by cache.
    cache_owners: Vec<CacheOwner>,
    /// Services, sorted by name.
    pools: Vec<Pool>,
}

impl Table {
    /// Replaces the endpoints. Nodes whose endpoint remains keep their state.
    pub(crate) fn replace(&mut self, endpoints: Vec<Endpoint>, caches: &mut Index) {
        let mut old = std::mem::take(&mut self.nodes);
        old.sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
        for endpoint in endpoints {
            let index = old.binary_search_by(|node| node.endpoint.id.cmp(&endpoint.id));
            let node = match index {
                Ok(index) => Node {
                    endpoint,
                    ..old.remove(index)
                },
                Err(_) => new_node(endpoint, caches),
            };
            self.nodes.push(node);
        }
        for node in &old {
            caches.remove_cache(node.cache);
        }
        self.rebuild();
    }

    pub(crate) fn remove(&mut self, id: &id::Endpoint, caches: &mut Index) {
        if let Some(index) = self.find(id) {
            let node = self.nodes.remove(index);
            caches.remove_cache(node.cache);
            self.rebuild();
        }
    }

    pub(crate) fn get_mut(&mut self, id: &id::Endpoint) -> Option<&mut Node> {
        let index = self.find(id)?;
        Some(&mut self.nodes[index])
    }

    pub(crate) fn at(&self, node: usize) -> &Node {
        &self.nodes[node]
    }

    /// Node indices of a service.
    pub(crate) fn range(&self, service: &id::Service) -> Range<usize> {
        self.pool(service).map_or(0..0, |pool| pool.nodes.clone())
    }

    pub(crate) fn members(&self, service: &id::Service) -> impl Iterator<Item = &Node> {
        self.nodes[self.range(service)].iter()
    }

    /// The node to which a cache belongs.
    pub(crate) fn node_of(&self, cache: CacheId) -> Option<usize> {
        let index = self
            .cache_owners
            .binary_search_by_key(&cache, |owner| owner.cache);
        index.ok().map(|index| self.cache_owners[index].node)
    }

    /// The nodes of a service to which a block hashes by weighted rendezvous hashing.
    /// `weight` gives the usable share of a node by its rank.
    pub(crate) fn hash_targets(
        &self,
        service: &id::Service,
        weight: &dyn Fn(f64) -> f64,
        block: Block,
        count: usize,
    ) -> Vec<usize> {
        let mut targets: Vec<(f64, usize)> = Vec::with_capacity(count + 1);
        for node_index in self.range(service) {
            let node = &self.nodes[node_index];
            let weight = weight(node.rank);
            if node.leaving || weight <= 0.0 {
                continue;
            }
            let score = score(node.hash, block, weight);
            let index = targets.partition_point(|(other, _)| *other > score);
            if index < count {
                targets.insert(index, (score, node_index));
                targets.truncate(count);
            }
        }
        targets.into_iter().map(|(_, node)| node).collect()
    }

    /// How the load reports of a service are interpreted.
    pub(crate) fn view(&self, service: &id::Service, settings: &load::Settings) -> View {
        match self.pool(service) {
            Some(pool) => View::new(pool.mean, pool.duration, settings),
            None => View::new(Work::default(), INITIAL_DURATION, settings),
        }
    }

    pub(crate) fn pool_view(&self, pool: usize, settings: &load::Settings) -> View {
        let pool = &self.pools[pool];
        View::new(pool.mean, pool.duration, settings)
    }

    /// Records the time for which a request was open in the moving average of its service.
    pub(crate) fn record_duration(&mut self, pool: usize, duration: Duration) {
        let mean = &mut self.pools[pool].duration;
        *mean = mean.mul_f64(1.0 - AVERAGE_WEIGHT) + duration.mul_f64(AVERAGE_WEIGHT);
    }

    /// Records the work of others shown by a report in the moving average of its service.
    pub(crate) fn record_others(&mut self, pool: usize, work: Work) {
        let mean = &mut self.pools[pool].mean;
        *mean = mean.towards(work, AVERAGE_WEIGHT);
    }

    /// Records work that was sent, in microseconds of an endpoint's time.
    pub(crate) fn record_work(&mut self, pool: usize, class: Class, work: f64) {
        let [all, batch] = &mut self.pools[pool].sent;
        *all = *all * WORK_DECAY + work;
        *batch *= WORK_DECAY;
        if class == Class::Batch {
            *batch += work;
        }
    }

    /// Share of batch in a service's work.
    pub(crate) fn batch_share(&self, service: &id::Service) -> f64 {
        let [all, batch] = self.pool(service).map_or([0.0; 2], |pool| pool.sent);
        if all > 0.0 { batch / all } else { 0.0 }
    }

    /// Rebuilds the cache lookup table.
    pub(crate) fn index_caches(&mut self) {
        self.cache_owners.clear();
        for (node, state) in self.nodes.iter().enumerate() {
            let cache = state.cache;
            self.cache_owners.push(CacheOwner { cache, node });
        }
        self.cache_owners.sort_unstable_by_key(|owner| owner.cache);
    }

    fn find(&self, id: &id::Endpoint) -> Option<usize> {
        let by_name = |node: &usize| self.nodes[*node].endpoint.id.cmp(id);
        let index = self.names.binary_search_by(by_name).ok()?;
        Some(self.names[index])
    }

    fn pool(&self, service: &id::Service) -> Option<&Pool> {
        let index = self
            .pools
            .binary_search_by(|pool| pool.service.cmp(service));
        index.ok().map(|index| &self.pools[index])
    }

    /// Sorts the nodes and rebuilds the lookup tables.
    fn rebuild(&mut self) {
        self.nodes.sort_by(|a, b| {
            let service = a.endpoint.service.cmp(&b.endpoint.service);
            service.then_with(|| a.endpoint.id.cmp(&b.endpoint.id))
        });
        let mut names: Vec<usize> = (0..self.nodes.len()).collect();
        names.sort_by(|a, b| self.nodes[*a].endpoint.id.cmp(&self.nodes[*b].endpoint.id));
        self.names = names;
        self.group();
        self.rank();
        self.index_caches();
    }

    /// Ranks the nodes of each service by hash.
    fn rank(&mut self) {
        for pool in &self.pools {
            let mut order: Vec<usize> = pool.nodes.clone().collect();
            order.sort_by_key(|node| self.nodes[*node].hash);
            let len = order.len() as f64;
            for (index, node) in order.into_iter().enumerate() {
                self.nodes[node].rank = index as f64 / len;
            }
        }
    }

    /// Recomputes the node ranges of the services, keeping their moving averages.
    fn group(&mut self) {
        let old = std::mem::take(&mut self.pools);
        for node_index in 0..self.nodes.len() {
            let endpoint = &self.nodes[node_index].endpoint;
            let same = |pool: &&mut Pool| pool.service == endpoint.service;
            if let Some(pool) = self.pools.last_mut().filter(same) {
                pool.nodes.end = node_index + 1;
            } else {
                let known = old.iter().find(|pool| pool.service == endpoint.service);
                self.pools.push(Pool {
                    service: endpoint.service.clone(),
                    nodes: node_index..node_index + 1,
                    mean: known.map_or(Work::default(), |pool| pool.mean),
                    duration: known.map_or(INITIAL_DURATION, |pool| pool.duration),
                    sent: known.map_or([0.0; 2], |pool| pool.sent),
                });
            }
            self.nodes[node_index].pool = self.pools.len() - 1;
        }
    }
}

fn new_node(endpoint: Endpoint, caches: &mut Index) -> Node {
    Node {
        cache: caches.add_cache(),
        load: load::State::default(),
        leaving: false,
        suspect: Time::START,
        isolated: 0,
        pool: 0,
        rank: 0.0,
        hash: xxh3_64(endpoint.id.as_str().as_bytes()),
        endpoint,
    }
}

/// Rendezvous score of an endpoint for a block. The block hashes to the endpoint with the
/// highest score.
fn score(hash: u64, block: Block, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(&block.0.to_le_bytes(), hash);
    let fraction = hash as f64 / u64::MAX as f64;
    if weight >= 1.0 {
        fraction
    } else {
        fraction.powf(1.0 / weight)
    }
}
