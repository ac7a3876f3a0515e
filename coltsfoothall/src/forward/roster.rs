//! Endpoints known to this instance, those that have ended, and the runs open at each.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::brittle::Bound;
use crate::forward::choice::{Pick, Query, Settings, chains, pairs};
use crate::forward::gossip::{Count, PLACEMENT_INTERVAL, Peer, Placement};
use crate::forward::history::Position;
use crate::forward::latency::{Model, Sample};
use crate::forward::node::{
    Entry, Listing, Load, Node, SLOWNESS_BOUNDS, SLOWNESS_WEIGHT, SUCCESS_WEIGHT, Waiting,
};
use crate::forward::occupancy::Occupancy;
use crate::forward::reach::Contact;
use crate::forward::statement::{Avoided, Unlisted};
use crate::id;
use crate::size::{Millis, Tokens};

/// A request that runs at an endpoint.
#[derive(Debug)]
#[must_use = "an open run counts as load until it is finished"]
pub struct Run {
    pub(super) endpoint: id::Endpoint,
    /// When the endpoint that runs it started.
    pub(super) born: Millis,
    service: id::Service,
    load: Load,
    number: u64,
    began: Time,
    expected: Duration,
    /// Expected time until it got a slot, as a part of `expected`.
    slot_wait: Duration,
    sample: Option<Sample>,
    first: bool,
    /// Whether its endpoint is brittle and has not said yet whether it accepts the request.
    pub(super) at_risk: bool,
    /// Whether it is one of those with which requests begin again after a backoff, and its endpoint
    /// has not said yet whether it accepts the request.
    pub(super) resumes: bool,
}

impl Run {
    /// The endpoint that runs it.
    #[must_use]
    pub fn endpoint(&self) -> &id::Endpoint {
        &self.endpoint
    }

    /// A value for the start of the endpoint that runs it.
    #[must_use]
    pub fn count<T>(&self, value: T) -> Count<T> {
        Count {
            id: self.endpoint.clone(),
            born: self.born,
            value,
        }
    }
}

/// How a run ended, as evidence about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a complete answer.
    Whole,
    /// Refused, as the endpoint is full.
    Refused,
    /// With an error of the endpoint, or with an answer that cannot be used.
    Failed,
    /// Interrupted before the answer was complete.
    Broken,
    /// The endpoint could not be reached.
    Unreachable,
    /// Another endpoint listens at its address.
    Misdirected,
    /// Canceled by this instance; no evidence about the endpoint.
    Abandoned,
}

/// Change in the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A new endpoint takes work.
    Added(id::Endpoint),
    /// An endpoint restarted under its name; its estimates were reset.
    Restarted(id::Endpoint),
    /// An endpoint is draining; it gets no new work.
    Leaving(id::Endpoint),
    /// An endpoint was removed.
    Gone(id::Endpoint),
}

/// An endpoint that was draining or gone at a position in the store's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Its name.
    pub id: id::Endpoint,
    /// The position; a later registration that is not draining overrides this.
    #[serde(rename = "place")]
    pub position: Position,
}

/// All known endpoints.
#[derive(Debug, Clone)]
pub struct Roster {
    pub(super) settings: Settings,
    /// Sorted by id.
    pub(super) nodes: Vec<Node>,
    /// Number of the last listing; restarted and returned endpoints are listed anew.
    pub(super) listings: Listing,
    /// Loads reported by other instances, sorted by boot number.
    pub(super) peers: Vec<Peer>,
    runs: u64,
    /// Shared prefixes that this instance recently sent, oldest first, to be reported.
    pub(super) placements: Vec<Placement>,
    /// Microseconds of endpoints' time that this instance's requests took, by service.
    endpoint_time: Vec<(id::Service, u64)>,
    /// Latency models of the engines, sorted by service.
    latency_models: Vec<(id::Service, Model)>,
    /// Models of the engines' cost without waiting, sorted by service; empty unless
    /// [`Settings::robust_pace`] is set.
    cost_models: Vec<(id::Service, Model)>,
    /// Latency model of engines without an answer yet.
    assumed: Model,
    /// Time for which requests hold slots.
    pub(super) occupancy: Occupancy,
    /// Endpoints that were draining or gone at a position in the store's history; sorted by id.
    ended: Vec<Ended>,
    /// Endpoints whose own registration said that they are leaving, sorted.
    announced: Vec<id::Endpoint>,
    /// Sorted by service.
    pub(super) contacts: Vec<Contact>,
    /// What endpoints without a registration have said; sorted by id.
    pub(super) unlisted: Vec<Unlisted>,
    /// Requests that were not sent to endpoints because of what those had said.
    pub(super) avoided: Avoided,
}

/// Least share of the cost in the latency model that counts as work. Engines that cost several times
/// what is assumed of them are always crowded when too few are ordered, and the cost model then
/// hardly learns.
const MIN_COST_SHARE: f64 = 0.5;
/// Share of an engine's slots from which on it counts as crowded.
const CROWDED_FILL: f64 = 0.5;
/// Prompt tokens of other requests queued at an engine from which on it counts as crowded: those of
/// some 0.2 s.
const CROWDED_TOKENS: u64 = 20_000;
/// Bounds the memory for ended endpoints of a process that runs for long.
const MAX_ENDED: usize = 4096;

impl Roster {
    /// Creates a roster without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            assumed: Model::new(settings.latency),
            latency_models: Vec::new(),
            cost_models: Vec::new(),
            settings,
            nodes: Vec::new(),
            listings: Listing::default(),
            peers: Vec::new(),
            runs: 0,
            placements: Vec::new(),
            endpoint_time: Vec::new(),
            occupancy: Occupancy::default(),
            ended: Vec::new(),
            announced: Vec::new(),
            contacts: Vec::new(),
            unlisted: Vec::new(),
            avoided: Avoided::default(),
        }
    }

    /// Whether requests may wait in the queues of engines.
    #[must_use]
    pub fn has_queueing(&self) -> bool {
        self.settings.queueing
    }

    /// All endpoints, sorted by id.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// An endpoint by its id.
    #[must_use]
    pub fn node(&self, id: &id::Endpoint) -> Option<&Node> {
        self.index(id).ok().map(|index| &self.nodes[index])
    }

    /// Records a new or changed registration of an endpoint.
    pub fn registered(&mut self, now: Time, entry: Entry) -> Option<Event> {
        let id = entry.id.clone();
        if entry.leaving {
            self.record_announced(&id);
        }
        let leaving = entry.leaving || self.is_ended(&id, entry.position);
        if leaving {
            self.record_ended(&id, entry.position);
        }
        let entry = Entry { leaving, ..entry };
        match self.index(&id) {
            Err(index) => {
                let node = self.listed(now, entry);
                let leaving = node.is_leaving();
                self.nodes.insert(index, node);
                Some(if leaving {
                    Event::Leaving(id)
                } else {
                    Event::Added(id)
                })
            }
            Ok(index) => {
                let known = &self.nodes[index].entry;
                if entry.position < known.position || entry.born < known.born {
                    return None;
                }
                if entry.born > known.born {
                    let node = self.listed(now, entry);
                    let leaving = node.is_leaving();
                    self.nodes[index] = node;
                    return Some(if leaving {
                        Event::Leaving(id)
                    } else {
                        Event::Restarted(id)
                    });
                }
                let node = &mut self.nodes[index];
                if let Some(leaves) = entry.leaves {
                    let until = now + leaves;
                    node.until = Some(node.until.map_or(until, |known| known.min(until)));
                }
                let newly_leaving = leaving && !node.entry.leaving;
                node.entry = entry;
                newly_leaving.then_some(Event::Leaving(id))
            }
        }
    }

    /// Records a reader's report that an endpoint is draining as of the position `at`, and the time
    /// until it is reclaimed if that is known.
    pub fn record_draining(
        &mut self,
        now: Time,
        id: &id::Endpoint,
        at: Position,
        leaves: Option<Duration>,
    ) -> Option<Event> {
        let Some(node) = self.node(id) else {
            self.record_ended(id, at);
            return None;
        };
        let entry = Entry {
            leaving: true,
            leaves,
            position: at,
            ..node.entry.clone()
        };
        self.registered(now, entry)
    }

    /// Merges another instance's report that an endpoint was draining or gone.
    pub fn merge_ended(&mut self, ended: &Ended) -> Option<Event> {
        if self.is_ended(&ended.id, ended.position) {
            return None;
        }
        self.record_ended(&ended.id, ended.position);
        let index = self.index(&ended.id).ok()?;
        let node = &mut self.nodes[index];
        if node.entry.leaving || node.entry.position > ended.position {
            return None;
        }
        node.entry.leaving = true;
        Some(Event::Leaving(ended.id.clone()))
    }

    /// Records that a registration was removed at `at`.
    pub fn removed(&mut self, now: Time, id: &id::Endpoint, at: Position) -> Option<Event> {
        self.record_ended(id, at);
        let index = self.index(id).ok()?;
        if self.nodes[index].entry.position > at {
            return None;
        }
        let node = self.nodes.remove(index);
        self.keep_statement(now, &node);
        Some(Event::Gone(id.clone()))
    }

    /// Whether an endpoint announced the departure that has ended now. A peer's report is no
    /// announcement: it may have been the first to read that a registration lapsed.
    pub fn take_announced(&mut self, id: &id::Endpoint) -> bool {
        let found = self.announced.binary_search(id);
        found.is_ok_and(|index| {
            self.announced.remove(index);
            true
        })
    }

    pub(super) fn record_announced(&mut self, id: &id::Endpoint) {
        if let Err(index) = self.announced.binary_search(id) {
            self.announced.insert(index, id.clone());
        }
    }

    /// Known endpoints that are absent from `listed`.
    #[must_use]
    pub fn missing(&self, listed: &[Entry]) -> Vec<id::Endpoint> {
        let mut listed: Vec<&id::Endpoint> = listed.iter().map(|entry| &entry.id).collect();
        listed.sort_unstable();
        let nodes = self.nodes.iter();
        let gone = nodes.filter(|node| listed.binary_search(&&node.entry.id).is_err());
        gone.map(|node| node.entry.id.clone()).collect()
    }

    /// Share of a service's slots that are in use, over all endpoints that take work.
    #[must_use]
    pub fn utilization(&self, service: &id::Service) -> f64 {
        let nodes = self
            .nodes
            .iter()
            .filter(|node| node.entry.service == *service && !node.is_leaving());
        let (open, slots) = nodes.fold((0, 0), |(open, slots), node| {
            (
                open + u64::from(node.load().open),
                slots + u64::from(node.entry.slots),
            )
        });
        open as f64 / (slots as f64).max(1.0)
    }

    /// Begins the run of a request at the chosen endpoint.
    pub fn begin(&mut self, now: Time, pick: &Pick, query: &Query<'_>) -> Run {
        self.runs += 1;
        let load = Load {
            open: 1,
            unread: pick.unread.0,
            pairs: pairs(query.prompt, pick.unread),
            memory: query.prompt.plus(query.answer).0,
        };
        let number = self.runs;
        if query.memory.is_some() {
            let work = self.prefill_cost(query.service, load.unread, load.pairs);
            self.record_endpoint_time(query.service, work as u64);
        }
        let mut born = Millis(0);
        let mut at_risk = false;
        let mut resumes = false;
        let mut placed = Vec::new();
        if let Ok(index) = self.index(&pick.endpoint) {
            let node = &mut self.nodes[index];
            born = node.entry.born;
            node.own = node.own.plus(load);
            if let Some(limit) = &mut node.limit {
                limit.take(now);
            }
            if let Some(brittle) = node.brittle.as_mut().filter(|brittle| brittle.is_brittle()) {
                brittle.begin();
                at_risk = true;
            }
            if let Some(backoff) = &mut node.said.backoff {
                resumes = backoff.begin(now);
            }
            node.waiting.push(Waiting {
                number,
                began: now,
                expected: pick.wait,
            });
            let shared = query.parts.len().saturating_sub(1);
            for (index, chain) in chains(query.parts).enumerate() {
                let is_new = !node.has_cached(chain, now - PLACEMENT_INTERVAL);
                node.record_cached(chain, now);
                if is_new && index < shared {
                    placed.push(chain);
                }
            }
        }
        let run = Run {
            endpoint: pick.endpoint.clone(),
            born,
            service: query.service.clone(),
            load,
            number,
            began: now,
            expected: pick.wait,
            slot_wait: pick.slot_wait,
            sample: query.memory.map(|_engine| pick.sample),
            first: false,
            at_risk,
            resumes,
        };
        self.record_avoided(now, query);
        self.record_placements(now, &run, &placed);
        run
    }

    /// Records the first event of a run's answer.
    pub fn record_first_event(&mut self, now: Time, run: &mut Run) {
        if std::mem::replace(&mut run.first, true) {
            return;
        }
        let took = now.since(run.began);
        let prefilled = Load {
            unread: run.load.unread,
            pairs: run.load.pairs,
            ..Load::default()
        };
        // The latency models describe engines with a free slot.
        if let Some(sample) = run.sample
            && run.slot_wait.is_zero()
        {
            let assumed = &self.assumed;
            model_mut(&mut self.latency_models, &run.service, assumed).record(sample, took);
            if self.settings.robust_pace {
                // What others send becomes known while the run waits, so the load now counts too.
                let crowded = self
                    .node(&run.endpoint)
                    .is_none_or(|node| is_crowded(node, run, sample));
                model_mut(&mut self.cost_models, &run.service, &self.assumed)
                    .record_cost(sample, took, crowded);
            }
        }
        let Some(node) = self.endpoint_of(run) else {
            return;
        };
        run.load = run.load.minus(prefilled);
        node.own = node.own.minus(prefilled);
        node.waiting.retain(|open| open.number != run.number);
        node.answered_at = now;
        let ratio = took.as_secs_f64() / run.expected.as_secs_f64().max(0.005);
        let (min, max) = SLOWNESS_BOUNDS;
        node.slowness += SLOWNESS_WEIGHT * (ratio * node.slowness - node.slowness);
        node.slowness = node.slowness.clamp(min, max);
    }

    /// Records further events of a run's answer.
    pub fn record_events(&mut self, run: &Run, events: u64) {
        if run.sample.is_some() {
            let work = self.event_cost(&run.service) * events as f64;
            self.record_endpoint_time(&run.service, work as u64);
        }
    }

    /// Microseconds of an endpoint's time that a request takes which prefills `unread` tokens of its
    /// prompt and writes `events` events.
    #[must_use]
    pub fn work(&self, service: &id::Service, prompt: Tokens, unread: Tokens, events: f64) -> u64 {
        let prefill = self.prefill_cost(service, unread.0, pairs(prompt, unread));
        (prefill + self.event_cost(service) * events) as u64
    }

    /// Whether all endpoints of a service that take work restrict what they are sent: they name a limit
    /// or are brittle. Their slots then say nothing of the service's capacity.
    #[must_use]
    pub fn is_restricted(&self, service: &id::Service) -> bool {
        let takers = self.nodes.iter().filter(|node| node.takes_work(service));
        let mut takers = takers.peekable();
        takers.peek().is_some()
            && takers.all(|node| {
                let is_limited = node
                    .limit
                    .as_ref()
                    .is_some_and(|limit| limit.rate().is_some());
                let is_brittle = node.brittle.as_ref().is_some_and(Bound::is_brittle);
                is_limited || is_brittle
            })
    }

    /// Latency model of a service's engines; the assumed one before their first answer.
    #[must_use]
    pub fn latency_model(&self, service: &id::Service) -> &Model {
        let found = self
            .latency_models
            .binary_search_by(|(name, _)| name.cmp(service));
        found.map_or(&self.assumed, |index| &self.latency_models[index].1)
    }

    /// Microseconds of an endpoint's time that a prefill costs.
    fn prefill_cost(&self, service: &id::Service, tokens: u64, pairs: u64) -> f64 {
        let least = self.latency_model(service).prefill(tokens, pairs) * MIN_COST_SHARE;
        self.cost_model(service).prefill(tokens, pairs).max(least)
    }

    /// Microseconds of an endpoint's time that an event of an answer costs.
    fn event_cost(&self, service: &id::Service) -> f64 {
        let least = self.latency_model(service).event() * MIN_COST_SHARE;
        self.cost_model(service).event().max(least)
    }

    /// The model from which the work of requests is computed.
    fn cost_model(&self, service: &id::Service) -> &Model {
        if !self.settings.robust_pace {
            return self.latency_model(service);
        }
        let found = self
            .cost_models
            .binary_search_by(|(name, _)| name.cmp(service));
        found.map_or(&self.assumed, |index| &self.cost_models[index].1)
    }

    /// Ends a run.
    pub fn finish(&mut self, now: Time, run: &Run, end: End) {
        self.settle(now, run, end == End::Refused);
        self.settle_backoff(now, run, false);
        if end == End::Whole {
            let held = now.since(run.began).saturating_sub(run.slot_wait);
            self.occupancy.record(&run.service, held);
        }
        let avoid_period = self.settings.avoid_period;
        let Some(node) = self.endpoint_of(run) else {
            return;
        };
        node.own = node.own.minus(run.load);
        node.waiting.retain(|open| open.number != run.number);
        match end {
            End::Whole => node.failures -= SUCCESS_WEIGHT * node.failures,
            End::Failed => {
                node.failed += 1;
                node.record_failure(now);
            }
            End::Broken => {
                node.unconfirmed += 1;
                node.record_failure(now);
            }
            End::Refused => node.full_until = now + avoid_period / 5,
            End::Unreachable => node.record_lost(now),
            End::Misdirected => node.avoided_until = now + avoid_period,
            End::Abandoned => {}
        }
    }

    /// Microseconds of endpoints' time that this instance's requests took, by service.
    #[must_use]
    pub fn endpoint_time(&self) -> &[(id::Service, u64)] {
        &self.endpoint_time
    }

    fn record_endpoint_time(&mut self, service: &id::Service, micros: u64) {
        match self
            .endpoint_time
            .binary_search_by(|(name, _)| name.cmp(service))
        {
            Ok(index) => self.endpoint_time[index].1 += micros,
            Err(index) => self.endpoint_time.insert(index, (service.clone(), micros)),
        }
    }

    /// The endpoint of a run, unless it has restarted since.
    pub(super) fn endpoint_of(&mut self, run: &Run) -> Option<&mut Node> {
        let index = self.index(&run.endpoint).ok()?;
        let node = &mut self.nodes[index];
        (node.entry.born == run.born).then_some(node)
    }

    /// Estimated share of its requests that an endpoint fails, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Time, id: &id::Endpoint) -> f64 {
        self.node(id).map_or(0.0, |node| node.failure_rate(now))
    }

    /// Whether an endpoint was draining or gone at this position or a later one.
    fn is_ended(&self, id: &id::Endpoint, at: Position) -> bool {
        let found = self.ended.binary_search_by(|ended| ended.id.cmp(id));
        found.is_ok_and(|index| self.ended[index].position >= at)
    }

    fn record_ended(&mut self, id: &id::Endpoint, at: Position) {
        if self.ended.len() >= MAX_ENDED {
            let nodes = &self.nodes;
            self.ended
                .retain(|ended| nodes.iter().any(|node| node.entry.id == ended.id));
        }
        match self.ended.binary_search_by(|ended| ended.id.cmp(id)) {
            Ok(index) => {
                let ended = &mut self.ended[index];
                ended.position = ended.position.max(at);
            }
            Err(index) => {
                let id = id.clone();
                self.ended.insert(index, Ended { id, position: at });
            }
        }
    }

    pub(super) fn index(&self, id: &id::Endpoint) -> Result<usize, usize> {
        self.nodes.binary_search_by(|node| node.entry.id.cmp(id))
    }
}

/// Model of a service, which begins as the `assumed` one.
fn model_mut<'a>(
    models: &'a mut Vec<(id::Service, Model)>,
    service: &id::Service,
    assumed: &Model,
) -> &'a mut Model {
    let found = models.binary_search_by(|(name, _)| name.cmp(service));
    let index = found.unwrap_or_else(|index| {
        models.insert(index, (service.clone(), assumed.clone()));
        index
    });
    &mut models[index].1
}

/// Whether requests may have waited at an engine when a run began there or since.
fn is_crowded(node: &Node, run: &Run, sample: Sample) -> bool {
    let load = node.load();
    let queued = sample
        .tokens
        .max(load.unread)
        .saturating_sub(run.load.unread);
    let max_open = f64::from(node.entry.slots) * CROWDED_FILL;
    f64::from(sample.open.max(load.open)) >= max_open || queued >= CROWDED_TOKENS
}
