//! The endpoints of all services, with what is known of each.
//!
//! Nodes are sorted by service and name, so a service's nodes stand together.

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

/// Share of one report or request in the running means of a service.
const MEAN_SHARE: f64 = 0.05;

/// Time that requests are taken to be open before any has ended.
const FIRST_HOLD: Duration = Duration::from_secs(5);
/// Weight that a request's work keeps with each further request.
const WORK_KEPT: f64 = 0.998;

/// An endpoint and its state.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) endpoint: Endpoint,
    pub(crate) holder: CacheId,
    pub(crate) load: load::State,
    pub(crate) leaving: bool,
    /// Avoided before this time.
    pub(crate) suspect: Time,
    /// Open requests that nothing may run beside.
    pub(crate) isolated: u32,
    /// Place of its service in the table.
    pub(crate) pool: usize,
    hash: u64,
    /// Place among the service's nodes by hash, between 0 and 1.
    pub(crate) rank: f64,
}

impl Node {
    /// Whether the endpoint may take the request.
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
    /// Running mean of others' work at one endpoint.
    mean: Work,
    /// Running mean of the time that a request is open.
    hold: Duration,
    /// Work sent from here, older work counting less: all, and batch.
    sent: [f64; 2],
}

/// Which node a holder is.
#[derive(Debug, Clone, Copy)]
struct Seat {
    holder: CacheId,
    node: usize,
}

/// All nodes.
#[derive(Debug, Default)]
pub(crate) struct Table {
    nodes: Vec<Node>,
    /// Nodes by name.
    names: Vec<usize>,
    /// Nodes by holder.
    seats: Vec<Seat>,
    /// Services, sorted.
    pools: Vec<Pool>,
}

impl Table {
    /// Takes a new list; nodes whose endpoint stays keep their state.
    pub(crate) fn replace(&mut self, endpoints: Vec<Endpoint>, index: &mut Index) {
        let mut old = std::mem::take(&mut self.nodes);
        old.sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
        for endpoint in endpoints {
            let place = old.binary_search_by(|node| node.endpoint.id.cmp(&endpoint.id));
            let node = match place {
                Ok(place) => Node {
                    endpoint,
                    ..old.remove(place)
                },
                Err(_) => fresh(endpoint, index),
            };
            self.nodes.push(node);
        }
        for node in &old {
            index.remove_cache(node.holder);
        }
        self.arrange();
    }

    pub(crate) fn remove(&mut self, id: &id::Endpoint, index: &mut Index) {
        if let Some(place) = self.place(id) {
            let node = self.nodes.remove(place);
            index.remove_cache(node.holder);
            self.arrange();
        }
    }

    pub(crate) fn get_mut(&mut self, id: &id::Endpoint) -> Option<&mut Node> {
        let place = self.place(id)?;
        Some(&mut self.nodes[place])
    }

    pub(crate) fn at(&self, node: usize) -> &Node {
        &self.nodes[node]
    }

    /// Nodes of a service.
    pub(crate) fn range(&self, service: &id::Service) -> Range<usize> {
        self.pool(service).map_or(0..0, |pool| pool.nodes.clone())
    }

    pub(crate) fn members(&self, service: &id::Service) -> impl Iterator<Item = &Node> {
        self.nodes[self.range(service)].iter()
    }

    /// The node that a holder is.
    pub(crate) fn holder(&self, holder: CacheId) -> Option<usize> {
        let place = self.seats.binary_search_by_key(&holder, |seat| seat.holder);
        place.ok().map(|place| self.seats[place].node)
    }

    /// The nodes of a service that a block hashes to, by weighted rendezvous
    /// hashing; `weight` says how much of a node may be used, by its rank.
    pub(crate) fn homes(
        &self,
        service: &id::Service,
        weight: &dyn Fn(f64) -> f64,
        block: Block,
        count: usize,
    ) -> Vec<usize> {
        let mut homes: Vec<(f64, usize)> = Vec::with_capacity(count + 1);
        for at in self.range(service) {
            let node = &self.nodes[at];
            let weight = weight(node.rank);
            if node.leaving || weight <= 0.0 {
                continue;
            }
            let score = score(node.hash, block, weight);
            let place = homes.partition_point(|(have, _)| *have > score);
            if place < count {
                homes.insert(place, (score, at));
                homes.truncate(count);
            }
        }
        homes.into_iter().map(|(_, node)| node).collect()
    }

    /// How the reports of a service are seen.
    pub(crate) fn view(&self, service: &id::Service, settings: &load::Settings) -> View {
        match self.pool(service) {
            Some(pool) => View::new(pool.mean, pool.hold, settings),
            None => View::new(Work::default(), FIRST_HOLD, settings),
        }
    }

    pub(crate) fn pool_view(&self, pool: usize, settings: &load::Settings) -> View {
        let pool = &self.pools[pool];
        View::new(pool.mean, pool.hold, settings)
    }

    /// Takes the time that a request was open into the mean of its service.
    pub(crate) fn note_hold(&mut self, pool: usize, hold: Duration) {
        let mean = &mut self.pools[pool].hold;
        *mean = mean.mul_f64(1.0 - MEAN_SHARE) + hold.mul_f64(MEAN_SHARE);
    }

    /// Takes a report's view of others' work into the mean of its service.
    pub(crate) fn note_others(&mut self, pool: usize, work: Work) {
        let mean = &mut self.pools[pool].mean;
        *mean = mean.towards(work, MEAN_SHARE);
    }

    /// Notes work that was sent, in microseconds of an endpoint.
    pub(crate) fn note_work(&mut self, pool: usize, class: Class, work: f64) {
        let [all, batch] = &mut self.pools[pool].sent;
        *all = *all * WORK_KEPT + work;
        *batch *= WORK_KEPT;
        if class == Class::Batch {
            *batch += work;
        }
    }

    /// Part of a service's work that is batch.
    pub(crate) fn part(&self, service: &id::Service) -> f64 {
        let [all, batch] = self.pool(service).map_or([0.0; 2], |pool| pool.sent);
        if all > 0.0 { batch / all } else { 0.0 }
    }

    /// Sorts the holders anew.
    pub(crate) fn seat(&mut self) {
        self.seats.clear();
        for (node, state) in self.nodes.iter().enumerate() {
            let holder = state.holder;
            self.seats.push(Seat { holder, node });
        }
        self.seats.sort_unstable_by_key(|seat| seat.holder);
    }

    fn place(&self, id: &id::Endpoint) -> Option<usize> {
        let by_name = |node: &usize| self.nodes[*node].endpoint.id.cmp(id);
        let place = self.names.binary_search_by(by_name).ok()?;
        Some(self.names[place])
    }

    fn pool(&self, service: &id::Service) -> Option<&Pool> {
        let place = self
            .pools
            .binary_search_by(|pool| pool.service.cmp(service));
        place.ok().map(|place| &self.pools[place])
    }

    /// Sorts the nodes and builds what finds them.
    fn arrange(&mut self) {
        self.nodes.sort_by(|a, b| {
            let service = a.endpoint.service.cmp(&b.endpoint.service);
            service.then_with(|| a.endpoint.id.cmp(&b.endpoint.id))
        });
        let mut names: Vec<usize> = (0..self.nodes.len()).collect();
        names.sort_by(|a, b| self.nodes[*a].endpoint.id.cmp(&self.nodes[*b].endpoint.id));
        self.names = names;
        self.group();
        self.rank();
        self.seat();
    }

    /// Ranks each service's nodes by hash.
    fn rank(&mut self) {
        for pool in &self.pools {
            let mut order: Vec<usize> = pool.nodes.clone().collect();
            order.sort_by_key(|node| self.nodes[*node].hash);
            let len = order.len() as f64;
            for (place, node) in order.into_iter().enumerate() {
                self.nodes[node].rank = place as f64 / len;
            }
        }
    }

    /// Finds the services' ranges, keeping their means.
    fn group(&mut self) {
        let old = std::mem::take(&mut self.pools);
        for at in 0..self.nodes.len() {
            let endpoint = &self.nodes[at].endpoint;
            let same = |pool: &&mut Pool| pool.service == endpoint.service;
            if let Some(pool) = self.pools.last_mut().filter(same) {
                pool.nodes.end = at + 1;
            } else {
                let known = old.iter().find(|pool| pool.service == endpoint.service);
                self.pools.push(Pool {
                    service: endpoint.service.clone(),
                    nodes: at..at + 1,
                    mean: known.map_or(Work::default(), |pool| pool.mean),
                    hold: known.map_or(FIRST_HOLD, |pool| pool.hold),
                    sent: known.map_or([0.0; 2], |pool| pool.sent),
                });
            }
            self.nodes[at].pool = self.pools.len() - 1;
        }
    }
}

fn fresh(endpoint: Endpoint, index: &mut Index) -> Node {
    Node {
        holder: index.add_cache(),
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

/// Score of an endpoint for a block: the highest is the block's home.
fn score(hash: u64, block: Block, weight: f64) -> f64 {
    let drawn = xxh3_64_with_seed(&block.0.to_le_bytes(), hash);
    let part = drawn as f64 / u64::MAX as f64;
    if weight >= 1.0 {
        part
    } else {
        part.powf(1.0 / weight)
    }
}
