//! What a model engine reports: its counts, and late its load and its cache events.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use coltsfoothall::clock::Time;
use coltsfoothall::size::Tokens;
use coltsfoothall_wire::engine::{Attempt, Event, Events, Load};

use crate::cache::Cache;
use crate::setting::Settings;

/// Attempts listed on the page of counts; it bounds its memory in long runs.
const RUNS: usize = 100_000;
/// Cache events kept for readers; an older one is a gap for them.
const EVENTS: usize = 1 << 14;

/// What an engine has done, for tests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts taken.
    pub attempts: u64,
    /// Attempts refused with nothing begun.
    pub refused: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Prompt tokens read.
    pub computed: Tokens,
    /// Prompt tokens found in the cache.
    pub saved: Tokens,
    /// Attempts cancelled, by order or by a lost connection.
    pub cancelled: u64,
    /// Orders taken.
    pub orders_taken: u64,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
    /// The newest attempts taken, in order.
    pub runs: VecDeque<Attempt>,
    /// Digests of their prompts, in the same order.
    #[serde(default)]
    pub digests: VecDeque<u32>,
    /// Crashes after which the port stayed open.
    #[serde(default)]
    pub crashes: u32,
}

impl Counts {
    /// Lists an attempt that was taken.
    pub fn ran(&mut self, attempt: Attempt, digest: u32) {
        if self.runs.len() == RUNS {
            self.runs.pop_front();
            self.digests.pop_front();
        }
        self.runs.push_back(attempt);
        self.digests.push_back(digest);
    }
}

/// A load and since when it held.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Time,
    load: Load,
}

/// A cache event and when it happened.
#[derive(Debug, Clone, Copy)]
struct Record {
    at: Time,
    event: Event,
    lost: bool,
}

/// Reports under way.
#[derive(Debug)]
pub struct Log {
    load_lag: Duration,
    event_lag: Duration,
    loss: f64,
    random: Pcg64Mcg,
    samples: VecDeque<Sample>,
    records: VecDeque<Record>,
}

impl Log {
    /// An empty log with an engine's lags and losses.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            load_lag: settings.load_lag_ms.duration(),
            event_lag: settings.event_lag_ms.duration(),
            loss: settings.event_loss.clamp(0.0, 1.0),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            samples: VecDeque::new(),
            records: VecDeque::new(),
        }
    }

    /// The load as reported, if any is old enough.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<Load> {
        let shown = now - self.load_lag;
        let seen = self.samples.iter().rev().find(|s| s.at <= shown);
        seen.map(|sample| sample.load)
    }

    /// Cache events after a number, those that are old enough and not lost.
    #[must_use]
    pub fn events(&self, now: Time, after: u64) -> Events {
        let shown = now - self.event_lag;
        let mut events = Events::default();
        for record in self.records.iter().take_while(|r| r.at <= shown) {
            events.newest = record.event.seq;
            if record.event.seq > after && !record.lost {
                events.events.push(record.event);
            }
        }
        events
    }

    /// Notes the load as of now.
    pub fn note_load(&mut self, now: Time, load: Load) {
        let oldest = now - self.load_lag;
        while self.samples.get(1).is_some_and(|next| next.at <= oldest) {
            self.samples.pop_front();
        }
        if self.samples.back().is_none_or(|last| last.load != load) {
            self.samples.push_back(Sample { at: now, load });
        }
    }

    /// Takes the cache's new events as of now.
    pub fn note_events(&mut self, now: Time, cache: &mut Cache) {
        for event in cache.drain() {
            let lost = self.random.random_bool(self.loss);
            if self.records.len() == EVENTS {
                self.records.pop_front();
            }
            self.records.push_back(Record {
                at: now,
                event,
                lost,
            });
        }
    }
}
