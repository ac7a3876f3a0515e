//! The engines' side of a run: steps, what they say of themselves, reclaims.

use std::time::Duration;

use rand::Rng;

use coltsfoothall::index::{Change, Event};
use coltsfoothall::load::Report;
use coltsfoothall::record::Class;
use coltsfoothall::size::Tokens;
use coltsfoothall_standin::batch::{Batch, Job, Output};
use coltsfoothall_wire::engine;

use crate::agenda::Next;
use crate::model::{Engine, Model, Word, id, parts};
use crate::policy::Member;
use crate::scenario::Condition;
use crate::score::Outcome;

/// Most engines with a full queue that a request is offered to.
const TRIES: usize = 3;
/// Part of the cache events that is lost where the condition says so.
const LOST: f64 = 1.0 / 3.0;
/// Further age of reports and events where the condition says so.
const STALE: Duration = Duration::from_secs(2);

impl Model<'_> {
    pub(crate) fn add_engine(&mut self, domain: usize) {
        let engine = self.engines.len();
        self.engines.push(Engine {
            batch: Batch::new(self.scenario.engine),
            domain,
            alive: true,
            leaving: false,
            began: self.now,
            ended: None,
            waits: None,
        });
        let platform = &self.scenario.platform;
        // Engines do not all report at the same moment.
        let offset = self.random.random_range(0.0..1.0);
        let report = platform.report_every.duration().mul_f64(offset);
        let events = platform.events_every.duration().mul_f64(offset);
        self.after(report, Next::Report(engine));
        self.after(events, Next::Events(engine));
    }

    pub(crate) fn submit(&mut self, number: usize, attempt: u8) {
        let track = &self.tracks[number];
        let Some(engine) = track
            .engine
            .filter(|_| track.attempt == attempt && !track.over)
        else {
            return;
        };
        if !self.engines[engine].alive {
            self.lost(number);
            return;
        }
        let request = &self.requests[number];
        let job = Job {
            attempt: id(number, attempt),
            priority: u8::from(request.class == Class::Batch),
            prompt: request.prompt.plus(Tokens(track.made)),
            blocks: request.blocks.clone(),
            tokens: request.answer - track.made,
        };
        if self.engines[engine].batch.submit(self.now, job).is_err() {
            self.refused(number, engine);
        }
        self.await_step(engine);
    }

    pub(crate) fn refused(&mut self, number: usize, engine: usize) {
        self.leave(number);
        self.tracks[number].tried.push(engine);
        if self.tracks[number].tried.len() >= TRIES {
            self.over(number, Outcome::GivenUp);
        } else {
            self.carry(number);
        }
    }

    pub(crate) fn lost(&mut self, number: usize) {
        self.leave(number);
        let made = Tokens(self.tracks[number].made);
        let again = self.requests[number].prompt.plus(made);
        self.score.moved(again);
        self.carry(number);
    }

    pub(crate) fn await_step(&mut self, engine: usize) {
        let ends = self.engines[engine].batch.next_at();
        if let Some(ends) = ends.filter(|_| self.engines[engine].waits != ends) {
            self.engines[engine].waits = Some(ends);
            self.at(ends, Next::Step(engine));
        }
    }

    pub(crate) fn step(&mut self, engine: usize) {
        if !self.engines[engine].alive || self.engines[engine].waits != Some(self.now) {
            return;
        }
        self.engines[engine].waits = None;
        let outputs = self.engines[engine].batch.step(self.now);
        self.await_step(engine);
        for output in outputs {
            self.output(output);
        }
    }

    pub(crate) fn output(&mut self, output: Output) {
        let (number, attempt) = parts(output.attempt);
        let track = &mut self.tracks[number];
        if track.over || track.attempt != attempt {
            return;
        }
        track.made += 1;
        let entry = self.requests[number].entry;
        if track.first.is_none() {
            let engine = track.engine;
            track.first = Some(self.now);
            let back = engine.map(|engine| self.hop(entry, engine));
            self.tracks[number].back = back.unwrap_or_default();
        }
        if let Some(cached) = output.cached {
            self.policy.first(self.now, entry, number, cached);
        }
        if output.done {
            self.leave(number);
            self.over(number, Outcome::Done);
        } else if output.cached.is_some() {
            self.poll(entry);
        }
    }

    // What engines say of themselves.

    pub(crate) fn send_report(&mut self, engine: usize) {
        if !self.engines[engine].alive || !self.running() {
            return;
        }
        let report = mirror(self.engines[engine].batch.load());
        let word = Word {
            report: Some(report),
            events: Vec::new(),
        };
        self.send_word(engine, word, self.scenario.platform.report_lag.duration());
        let every = self.scenario.platform.report_every.duration();
        self.after(every, Next::Report(engine));
    }

    pub(crate) fn send_events(&mut self, engine: usize) {
        if !self.engines[engine].alive || !self.running() {
            return;
        }
        let drained: Vec<engine::Event> = self.engines[engine].batch.cache.drain().collect();
        let lost = if self.condition == Condition::Stale {
            LOST
        } else {
            0.0
        };
        let kept = drained
            .into_iter()
            .filter(|_| !self.random.random_bool(lost));
        let word = Word {
            report: None,
            events: kept.map(event).collect(),
        };
        self.send_word(engine, word, self.scenario.platform.events_lag.duration());
        let every = self.scenario.platform.events_every.duration();
        self.after(every, Next::Events(engine));
    }

    pub(crate) fn send_word(&mut self, engine: usize, word: Word, lag: Duration) {
        let stale = if self.condition == Condition::Stale {
            STALE
        } else {
            Duration::ZERO
        };
        let report = self.words.len() as u32;
        self.words.push(word);
        self.after(lag + stale, Next::Told { engine, report });
    }

    pub(crate) fn told(&mut self, engine: usize, report: u32) {
        let word = &mut self.words[report as usize];
        let events = std::mem::take(&mut word.events);
        let report = word.report;
        for entry in 0..self.scenario.entries {
            if let Some(report) = &report {
                self.policy.report(self.now, entry, engine, report);
            }
            if !events.is_empty() {
                self.policy.events(self.now, entry, engine, &events);
            }
        }
    }

    // Instances.

    pub(crate) fn tell_members(&mut self, entry: usize) {
        let alive = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, have)| have.alive);
        let members: Vec<Member> = alive
            .map(|(number, engine)| Member {
                engine: number,
                domain: self.scenario.domains[engine.domain].name.clone(),
                price: self.scenario.domains[engine.domain].price,
                risk: self.scenario.domains[engine.domain].risk,
            })
            .collect();
        self.policy.members(entry, &members);
    }

    pub(crate) fn reclaim(&mut self, domain: usize) {
        let mut count = 0;
        for engine in &mut self.engines {
            if engine.domain == domain && engine.alive {
                engine.leaving = true;
                count += 1;
            }
        }
        let heard = self.scenario.platform.heard.duration();
        for entry in 0..self.scenario.entries {
            let span = heard.mul_f64(self.random.random_range(0.0..1.0));
            self.after(span, Next::Heard { entry, domain });
        }
        self.after(self.scenario.platform.notice.duration(), Next::Gone(domain));
        let mut start = self.scenario.platform.start.duration();
        if self.condition == Condition::Refused {
            start += self.scenario.platform.refused.duration();
        }
        let last = self.scenario.domains.len() - 1;
        self.after(
            start,
            Next::Start {
                domain: last,
                count,
            },
        );
    }

    pub(crate) fn heard(&mut self, entry: usize, domain: usize) {
        for number in 0..self.engines.len() {
            let engine = &self.engines[number];
            if engine.domain == domain && engine.leaving {
                self.policy.leaving(entry, number);
            }
        }
    }

    pub(crate) fn gone(&mut self, domain: usize) {
        for engine in &mut self.engines {
            if engine.domain == domain && engine.leaving {
                engine.alive = false;
                engine.ended = Some(self.now);
            }
        }
        for entry in 0..self.scenario.entries {
            self.tell_members(entry);
        }
        for number in 0..self.requests.len() {
            let track = &self.tracks[number];
            let dead = track
                .engine
                .is_some_and(|engine| !self.engines[engine].alive);
            if dead && !track.over {
                self.lost(number);
            }
        }
    }

    pub(crate) fn start(&mut self, domain: usize, count: usize) {
        for _ in 0..count {
            self.add_engine(domain);
        }
        for entry in 0..self.scenario.entries {
            self.tell_members(entry);
        }
    }
}

fn mirror(load: engine::Load) -> Report {
    Report {
        running: load.running,
        waiting: load.waiting,
        prefill: load.prefill,
        cached: load.cached,
        capacity: load.capacity,
    }
}

fn event(event: engine::Event) -> Event {
    Event {
        seq: event.seq,
        change: match event.change {
            engine::Change::Stored(block) => Change::Stored(block),
            engine::Change::Evicted(block) => Change::Evicted(block),
            engine::Change::Cleared => Change::Cleared,
        },
    }
}
