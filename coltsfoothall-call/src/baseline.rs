//! The policies that the project's own is measured against.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use coltsfoothall::clock::Time;
use coltsfoothall::index::Event;
use coltsfoothall::load::{self, Report};
use coltsfoothall::size::Tokens;

use crate::policy::{Answer, Call, Member, Policy};
use crate::workload::Request;

/// Time after which a caller may come back where no engine is known.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// How an engine is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// One after another.
    RoundRobin,
    /// The one with the fewest open requests, own ones and reported ones.
    Least,
    /// The one that the first blocks of the prompt hash to.
    Hash,
    /// The less busy of two drawn at random.
    TwoChoice,
}

/// What the prompt is hashed by: its first blocks, so many at most. All
/// documents of the scenarios differ within them.
const HASHED: usize = 16;

/// A policy without limits or queues.
#[derive(Debug)]
pub struct Baseline {
    pick: Pick,
    entries: Vec<Entry>,
    settings: load::Settings,
    /// Engine that each request is at, by request number.
    at: Vec<Option<usize>>,
}

#[derive(Debug)]
struct Entry {
    /// Sorted by engine.
    nodes: Vec<Node>,
    next: usize,
    random: Pcg64Mcg,
}

#[derive(Debug)]
struct Node {
    engine: usize,
    leaving: bool,
    load: load::State,
}

impl Baseline {
    /// A policy for a number of entry instances and requests.
    #[must_use]
    pub fn new(pick: Pick, entries: usize, requests: usize, seed: u64) -> Self {
        let entry = |number: usize| Entry {
            nodes: Vec::new(),
            next: number,
            random: Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 32),
        };
        Self {
            pick,
            entries: (0..entries).map(entry).collect(),
            settings: load::Settings::default(),
            at: vec![None; requests],
        }
    }

    fn choose(&mut self, now: Time, entry: usize, call: Call<'_>) -> Option<usize> {
        let settings = &self.settings;
        let entry = &mut self.entries[entry];
        let fits = |node: &Node| !node.leaving && !call.exclude.contains(&node.engine);
        let open: Vec<usize> = (0..entry.nodes.len())
            .filter(|place| fits(&entry.nodes[*place]))
            .collect();
        if open.is_empty() {
            return None;
        }
        let busy = |place: usize| {
            let load = &entry.nodes[place].load;
            load.own().open
        };
        let place = match self.pick {
            Pick::RoundRobin => {
                entry.next += 1;
                open[entry.next % open.len()]
            }
            Pick::Least => {
                let from = entry.random.random_range(0..open.len());
                let turned = (0..open.len()).map(|n| open[(from + n) % open.len()]);
                turned.min_by(|a, b| busy(*a).total_cmp(&busy(*b)))?
            }
            Pick::Hash => {
                let hashed = call.request.blocks.iter().take(HASHED).next_back();
                // A prompt without a whole block has no prefix to keep together.
                let hashed = hashed.map_or(call.number as u64, |block| block.0);
                let block = hashed.to_le_bytes();
                let rank = |place: &usize| {
                    let engine = entry.nodes[*place].engine as u64;
                    xxh3_64_with_seed(&block, engine)
                };
                open.into_iter().max_by_key(rank)?
            }
            Pick::TwoChoice => {
                let one = open[entry.random.random_range(0..open.len())];
                let two = open[entry.random.random_range(0..open.len())];
                if busy(one) <= busy(two) { one } else { two }
            }
        };
        let node = &mut entry.nodes[place];
        node.load.record_start(now, Tokens(0), settings);
        self.at[call.number] = Some(node.engine);
        Some(node.engine)
    }

    fn node(&mut self, entry: usize, engine: usize) -> Option<&mut Node> {
        let nodes = &mut self.entries[entry].nodes;
        let place = nodes.binary_search_by_key(&engine, |node| node.engine);
        place.ok().map(|place| &mut nodes[place])
    }
}

impl Policy for Baseline {
    fn members(&mut self, entry: usize, members: &[Member]) {
        let nodes = &mut self.entries[entry].nodes;
        nodes.retain(|node| members.iter().any(|member| member.engine == node.engine));
        for member in members {
            let place = nodes.binary_search_by_key(&member.engine, |node| node.engine);
            if let Err(place) = place {
                let node = Node {
                    engine: member.engine,
                    leaving: false,
                    load: load::State::default(),
                };
                nodes.insert(place, node);
            }
        }
    }

    fn leaving(&mut self, entry: usize, engine: usize) {
        if let Some(node) = self.node(entry, engine) {
            node.leaving = true;
        }
    }

    fn offer(&mut self, now: Time, entry: usize, call: Call<'_>) -> Answer {
        match self.choose(now, entry, call) {
            Some(engine) => Answer::Send(engine),
            None => Answer::Refuse(RETRY_AFTER),
        }
    }

    fn carry(&mut self, now: Time, entry: usize, call: Call<'_>) -> Option<usize> {
        self.choose(now, entry, call)
    }

    fn first(&mut self, _now: Time, _entry: usize, _number: usize, _cached: Tokens) {}

    fn left(&mut self, now: Time, entry: usize, number: usize) {
        let settings = self.settings.clone();
        if let Some(engine) = self.at[number].take()
            && let Some(node) = self.node(entry, engine)
        {
            node.load.record_end(now, &settings);
        }
    }

    fn ended(&mut self, _now: Time, _entry: usize, _number: usize) {}

    fn report(&mut self, now: Time, entry: usize, engine: usize, report: &Report) {
        let settings = self.settings.clone();
        if let Some(node) = self.node(entry, engine) {
            node.load.record_report(now, report, &settings);
        }
    }

    fn events(&mut self, _now: Time, _entry: usize, _engine: usize, _events: &[Event]) {}

    fn poll(&mut self, _now: Time, _entry: usize, _requests: &[Request]) -> Vec<(usize, Answer)> {
        Vec::new()
    }
}
