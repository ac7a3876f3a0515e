//! Endpoints as they are known here, who among them ended, and what is open at each.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::choice::{Pick, Query, Settings, chains, pairs};
use crate::forward::gossip::{PLACED_AGAIN, Placed, Told};
use crate::forward::history::Position;
use crate::forward::latency::{Model, Sample};
use crate::forward::node::{Entry, Listing, Load, NEWEST, Node, Open, SLOWNESS, SUCCESS};
use crate::id;
use crate::size::Millis;

/// A request that is open at an endpoint.
#[derive(Debug)]
#[must_use = "an open run counts as load until it is ended"]
pub struct Run {
    pub(super) endpoint: id::Endpoint,
    /// Start of the endpoint that runs it.
    pub(super) born: Millis,
    service: id::Service,
    load: Load,
    number: u64,
    began: Time,
    expected: Duration,
    sample: Option<Sample>,
    first: bool,
}

/// How a run ended, as far as the endpoint's soundness goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Whole,
    /// It was turned away: the endpoint is full.
    Refused,
    /// With an error of the endpoint's own, or broken off.
    Failed,
    /// The endpoint could not be reached.
    Unreachable,
    /// Given up here; says nothing about the endpoint.
    Abandoned,
}

/// What changed in the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A new one takes work.
    Added(id::Endpoint),
    /// One started again under its name; nothing that was believed of it holds.
    Restarted(id::Endpoint),
    /// One is about to leave; it gets no new work.
    Leaving(id::Endpoint),
    /// One is gone.
    Gone(id::Endpoint),
}

/// An endpoint that was leaving or gone at a place in the store's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Its name.
    pub id: id::Endpoint,
    /// When; a later registration that does not leave is believed again.
    #[serde(rename = "place")]
    pub position: Position,
}

/// All endpoints.
#[derive(Debug, Clone)]
pub struct Roster {
    pub(super) settings: Settings,
    /// Sorted by id.
    pub(super) nodes: Vec<Node>,
    /// Endpoints listed so far, restarted and returned ones anew.
    pub(super) listings: Listing,
    /// What other instances have open; sorted by boot.
    pub(super) told: Vec<Told>,
    runs: u64,
    /// Shared parts that were sent from here lately, the oldest first, for others to know.
    pub(super) placed: Vec<Placed>,
    /// Microseconds of endpoints' time that requests from here took, by service.
    work: Vec<(id::Service, u64)>,
    /// How fast the engines are, sorted by service.
    latency_models: Vec<(id::Service, Model)>,
    /// The latency model of engines that gave no answer yet.
    assumed: Model,
    /// Endpoints that were leaving or gone at a place in the store's history; sorted by id.
    ended: Vec<Ended>,
}

/// Most ended endpoints remembered; it stops a long life from filling memory.
const ENDED: usize = 4096;

impl Roster {
    /// A roster without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            assumed: Model::new(settings.latency),
            latency_models: Vec::new(),
            settings,
            nodes: Vec::new(),
            listings: Listing::default(),
            told: Vec::new(),
            runs: 0,
            placed: Vec::new(),
            work: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// All endpoints, sorted by id.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// An endpoint by its id.
    #[must_use]
    pub fn node(&self, id: &id::Endpoint) -> Option<&Node> {
        self.place(id).ok().map(|place| &self.nodes[place])
    }

    /// An endpoint registered, or its registration changed.
    pub fn registered(&mut self, now: Time, entry: Entry) -> Option<Event> {
        let id = entry.id.clone();
        let leaving = entry.leaving || self.is_ended(&id, entry.position);
        if leaving {
            self.note_ended(&id, entry.position);
        }
        let entry = Entry { leaving, ..entry };
        match self.place(&id) {
            Err(place) => {
                let node = Node::new(entry, self.listings.advance(), now);
                self.nodes.insert(place, node);
                Some(if leaving {
                    Event::Leaving(id)
                } else {
                    Event::Added(id)
                })
            }
            Ok(place) => {
                let node = &mut self.nodes[place];
                if entry.position < node.entry.position || entry.born < node.entry.born {
                    return None;
                }
                if entry.born > node.entry.born {
                    *node = Node::new(entry, self.listings.advance(), now);
                    return Some(if leaving {
                        Event::Leaving(id)
                    } else {
                        Event::Restarted(id)
                    });
                }
                if let Some(leaves) = entry.leaves {
                    let until = now + leaves;
                    node.until = Some(node.until.map_or(until, |had| had.min(until)));
                }
                let newly = leaving && !node.entry.leaving;
                node.entry = entry;
                newly.then_some(Event::Leaving(id))
            }
        }
    }

    /// An instance that reads registrations says that an endpoint is about to leave, as of then,
    /// and in which time it is taken away if that is known.
    pub fn left(
        &mut self,
        now: Time,
        id: &id::Endpoint,
        at: Position,
        leaves: Option<Duration>,
    ) -> Option<Event> {
        let Some(node) = self.node(id) else {
            self.note_ended(id, at);
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

    /// Another instance says that an endpoint left or was leaving.
    pub fn ended(&mut self, ended: &Ended) -> Option<Event> {
        if self.is_ended(&ended.id, ended.position) {
            return None;
        }
        self.note_ended(&ended.id, ended.position);
        let place = self.place(&ended.id).ok()?;
        let node = &mut self.nodes[place];
        if node.entry.leaving || node.entry.position > ended.position {
            return None;
        }
        node.entry.leaving = true;
        Some(Event::Leaving(ended.id.clone()))
    }

    /// A registration was removed then.
    pub fn removed(&mut self, id: &id::Endpoint, at: Position) -> Option<Event> {
        self.note_ended(id, at);
        let place = self.place(id).ok()?;
        if self.nodes[place].entry.position > at {
            return None;
        }
        self.nodes.remove(place);
        Some(Event::Gone(id.clone()))
    }

    /// Endpoints that are on this list and in no later one.
    #[must_use]
    pub fn missing(&self, listed: &[Entry]) -> Vec<id::Endpoint> {
        let mut listed: Vec<&id::Endpoint> = listed.iter().map(|entry| &entry.id).collect();
        listed.sort_unstable();
        let nodes = self.nodes.iter();
        let gone = nodes.filter(|node| listed.binary_search(&&node.entry.id).is_err());
        gone.map(|node| node.entry.id.clone()).collect()
    }

    /// Share of the places of a service that are taken, over all endpoints that take work.
    #[must_use]
    pub fn taken(&self, service: &id::Service) -> f64 {
        let nodes = self
            .nodes
            .iter()
            .filter(|node| node.entry.service == *service && !node.entry.leaving);
        let (open, slots) = nodes.fold((0, 0), |(open, slots), node| {
            (
                open + u64::from(node.load().open),
                slots + u64::from(node.entry.slots),
            )
        });
        open as f64 / (slots as f64).max(1.0)
    }

    /// A request goes to the picked endpoint.
    pub fn began(&mut self, now: Time, pick: &Pick, query: &Query<'_>) -> Run {
        self.runs += 1;
        let load = Load {
            open: 1,
            unread: pick.unread.0,
            pairs: pairs(query.prompt, pick.unread),
            memory: query.prompt.plus(query.answer).0,
        };
        let number = self.runs;
        if query.memory.is_some() {
            let work = self
                .latency_model(query.service)
                .prefill(load.unread, load.pairs);
            self.note_work(query.service, work as u64);
        }
        let mut born = Millis(0);
        let mut placed = Vec::new();
        if let Ok(place) = self.place(&pick.endpoint) {
            let node = &mut self.nodes[place];
            born = node.entry.born;
            node.own = node.own.plus(load);
            node.waiting.push(Open {
                number,
                began: now,
                expected: pick.wait,
            });
            let shared = query.parts.len().saturating_sub(1);
            for (place, chain) in chains(query.parts).enumerate() {
                let is_news = !node.knows(chain, now - PLACED_AGAIN);
                node.remember(chain, now);
                if is_news && place < shared {
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
            sample: query.memory.map(|_engine| pick.sample),
            first: false,
        };
        self.note_placed(now, &run, &placed);
        run
    }

    /// The first part of the answer came.
    pub fn first(&mut self, now: Time, run: &mut Run) {
        if std::mem::replace(&mut run.first, true) {
            return;
        }
        let took = now.since(run.began);
        let read = Load {
            unread: run.load.unread,
            pairs: run.load.pairs,
            ..Load::default()
        };
        if let Some(sample) = run.sample {
            self.latency_model_mut(&run.service).record(sample, took);
        }
        let Some(node) = self.runs_at(run) else {
            return;
        };
        run.load = run.load.minus(read);
        node.own = node.own.minus(read);
        node.waiting.retain(|open| open.number != run.number);
        let ratio = took.as_secs_f64() / run.expected.as_secs_f64().max(0.005);
        let (least, most) = SLOWNESS;
        node.slowness += NEWEST * (ratio * node.slowness - node.slowness);
        node.slowness = node.slowness.clamp(least, most);
    }

    /// More events of a run's answer came.
    pub fn wrote(&mut self, run: &Run, events: u64) {
        if run.sample.is_some() {
            let work = self.latency_model(&run.service).event() * events as f64;
            self.note_work(&run.service, work as u64);
        }
    }

    /// How fast the engines of a service are, as far as it is known.
    #[must_use]
    pub fn latency_model(&self, service: &id::Service) -> &Model {
        let found = self
            .latency_models
            .binary_search_by(|(have, _)| have.cmp(service));
        found.map_or(&self.assumed, |place| &self.latency_models[place].1)
    }

    fn latency_model_mut(&mut self, service: &id::Service) -> &mut Model {
        let found = self
            .latency_models
            .binary_search_by(|(have, _)| have.cmp(service));
        let place = found.unwrap_or_else(|place| {
            let model = self.assumed.clone();
            self.latency_models.insert(place, (service.clone(), model));
            place
        });
        &mut self.latency_models[place].1
    }

    /// A run ended at its endpoint.
    pub fn finish(&mut self, now: Time, run: &Run, end: End) {
        let avoid = self.settings.avoid;
        let Some(node) = self.runs_at(run) else {
            return;
        };
        node.own = node.own.minus(run.load);
        node.waiting.retain(|open| open.number != run.number);
        match end {
            End::Whole => node.failures -= SUCCESS * node.failures,
            End::Failed => {
                node.failed += 1;
                node.note_failure(now);
            }
            End::Refused => node.full = now + avoid / 5,
            End::Unreachable => node.avoided = now + avoid,
            End::Abandoned => {}
        }
    }

    /// Microseconds of endpoints' time that requests from here took, by service.
    #[must_use]
    pub fn work(&self) -> &[(id::Service, u64)] {
        &self.work
    }

    fn note_work(&mut self, service: &id::Service, micros: u64) {
        match self.work.binary_search_by(|(have, _)| have.cmp(service)) {
            Ok(place) => self.work[place].1 += micros,
            Err(place) => self.work.insert(place, (service.clone(), micros)),
        }
    }

    /// The endpoint of a run, unless it started again since.
    fn runs_at(&mut self, run: &Run) -> Option<&mut Node> {
        let place = self.place(&run.endpoint).ok()?;
        let node = &mut self.nodes[place];
        (node.entry.born == run.born).then_some(node)
    }

    /// How much of what it is asked an endpoint is believed to fail, 0 to 1.
    #[must_use]
    pub fn doubt(&self, now: Time, id: &id::Endpoint) -> f64 {
        self.node(id).map_or(0.0, |node| node.unsound(now))
    }

    /// Whether an endpoint was leaving or gone then or later.
    fn is_ended(&self, id: &id::Endpoint, at: Position) -> bool {
        let found = self.ended.binary_search_by(|ended| ended.id.cmp(id));
        found.is_ok_and(|place| self.ended[place].position >= at)
    }

    fn note_ended(&mut self, id: &id::Endpoint, at: Position) {
        if self.ended.len() >= ENDED {
            let nodes = &self.nodes;
            self.ended
                .retain(|ended| nodes.iter().any(|node| node.entry.id == ended.id));
        }
        match self.ended.binary_search_by(|ended| ended.id.cmp(id)) {
            Ok(place) => {
                let ended = &mut self.ended[place];
                ended.position = ended.position.max(at);
            }
            Err(place) => {
                let id = id.clone();
                self.ended.insert(place, Ended { id, position: at });
            }
        }
    }

    pub(super) fn place(&self, id: &id::Endpoint) -> Result<usize, usize> {
        self.nodes.binary_search_by(|node| node.entry.id.cmp(id))
    }
}
