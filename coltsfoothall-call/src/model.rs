//! One run: engines, entry instances and callers in virtual time.
//!
//! Engines are the stand-ins' model of continuous batching; decisions are a
//! [`Policy`]'s. There are no sockets: events are taken in order of time, and
//! all that an entry instance knows reaches it with the delays of the scenario.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use coltsfoothall::clock::Time;
use coltsfoothall::index::Event;
use coltsfoothall::load::Report;
use coltsfoothall_standin::batch::Batch;
use coltsfoothall_wire::engine;

use crate::agenda::{Agenda, Next};
use crate::policy::{Answer, Call, Policy};
use crate::scenario::{Condition, Scenario};
use crate::score::{Outcome, Score};
use crate::workload::Request;

/// Time between two looks of an entry instance at what waits.
const TICK: Duration = Duration::from_millis(20);
/// Time after which a request is tried again that no engine could take.
const AGAIN: Duration = Duration::from_millis(200);
/// Parts of the run after which the first and the second domain are reclaimed.
const RECLAIMS: [f64; 2] = [0.35, 0.50];

/// An engine's instance.
pub(crate) struct Engine {
    pub(crate) batch: Batch,
    pub(crate) domain: usize,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    pub(crate) began: Time,
    pub(crate) ended: Option<Time>,
    /// End of the step that is waited for.
    pub(crate) waits: Option<Time>,
}

/// A request's way.
#[derive(Debug, Clone, Default)]
pub(crate) struct Track {
    pub(crate) engine: Option<usize>,
    pub(crate) attempt: u8,
    pub(crate) made: u64,
    pub(crate) first: Option<Time>,
    /// One way back from the engine that made the first token.
    pub(crate) back: Duration,
    pub(crate) tried: Vec<usize>,
    pub(crate) over: bool,
}

/// What an engine says of itself, on its way to the entry instances.
pub(crate) struct Word {
    pub(crate) report: Option<Report>,
    pub(crate) events: Vec<Event>,
}

/// A run.
pub struct Model<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) condition: Condition,
    pub(crate) requests: &'a [Request],
    pub(crate) policy: &'a mut dyn Policy,
    pub(crate) now: Time,
    pub(crate) agenda: Agenda,
    pub(crate) engines: Vec<Engine>,
    pub(crate) tracks: Vec<Track>,
    pub(crate) words: Vec<Word>,
    pub(crate) random: Pcg64Mcg,
    pub(crate) score: Score,
}

impl std::fmt::Debug for Model<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Model")
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

impl<'a> Model<'a> {
    /// A run with so many engines, spread over the failure domains.
    #[must_use]
    pub fn new(
        scenario: &'a Scenario,
        condition: Condition,
        requests: &'a [Request],
        policy: &'a mut dyn Policy,
        engines: usize,
        seed: u64,
    ) -> Self {
        let mut model = Self {
            scenario,
            condition,
            requests,
            policy,
            now: Time::START,
            agenda: Agenda::default(),
            engines: Vec::new(),
            tracks: vec![Track::default(); requests.len()],
            words: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            score: Score::new(scenario),
        };
        for number in 0..engines {
            model.add_engine(number % scenario.domains.len());
        }
        model.begin();
        model
    }

    /// Runs to the end.
    #[must_use]
    pub fn run(mut self) -> Score {
        while let Some((at, next)) = self.agenda.take() {
            self.now = at;
            self.take(next);
        }
        self.close()
    }

    pub(crate) fn begin(&mut self) {
        for entry in 0..self.scenario.entries {
            self.tell_members(entry);
            self.after(TICK, Next::Tick(entry));
        }
        for number in 0..self.requests.len() {
            self.at(self.requests[number].at, Next::Arrive(number));
        }
        if self.condition.reclaims() {
            for (domain, part) in RECLAIMS.into_iter().enumerate() {
                let span = self.scenario.length.duration().mul_f64(part);
                self.after(span, Next::Reclaim(domain));
            }
        }
    }

    pub(crate) fn close(mut self) -> Score {
        let end = Time::START + self.scenario.length.duration();
        for engine in &self.engines {
            let span = engine
                .ended
                .map_or(end, |ended| ended.min(end))
                .since(engine.began);
            self.score.engine(
                span,
                self.scenario.domains[engine.domain].price,
                engine.batch.computed(),
            );
        }
        self.score
    }

    pub(crate) fn take(&mut self, next: Next) {
        match next {
            Next::Arrive(number) => self.arrive(number),
            Next::Submit { number, attempt } => self.submit(number, attempt),
            Next::Step(engine) => self.step(engine),
            Next::Report(engine) => self.send_report(engine),
            Next::Events(engine) => self.send_events(engine),
            Next::Told { engine, report } => self.told(engine, report),
            Next::Tick(entry) => self.tick(entry),
            Next::Deadline(number) => self.deadline(number),
            Next::Again(number) => self.carry(number),
            Next::Reclaim(domain) => self.reclaim(domain),
            Next::Heard { entry, domain } => self.heard(entry, domain),
            Next::Gone(domain) => self.gone(domain),
            Next::Start { domain, count } => self.start(domain, count),
        }
    }

    pub(crate) fn at(&mut self, at: Time, next: Next) {
        self.agenda.add(at, next);
    }

    pub(crate) fn after(&mut self, span: Duration, next: Next) {
        self.at(self.now + span, next);
    }

    pub(crate) fn running(&self) -> bool {
        self.now < Time::START + self.scenario.length.duration()
    }

    // Callers and entry instances.

    pub(crate) fn arrive(&mut self, number: usize) {
        let request = &self.requests[number];
        self.at(request.deadline, Next::Deadline(number));
        let call = Call {
            number,
            request,
            made: 0,
            exclude: &[],
        };
        let answer = self.policy.offer(self.now, request.entry, call);
        self.act(number, answer);
    }

    pub(crate) fn act(&mut self, number: usize, answer: Answer) {
        match answer {
            Answer::Send(engine) => self.send(number, engine),
            Answer::Wait => {}
            Answer::Refuse(_) => self.over(number, Outcome::GivenUp),
        }
    }

    pub(crate) fn send(&mut self, number: usize, engine: usize) {
        let track = &mut self.tracks[number];
        track.engine = Some(engine);
        track.attempt += 1;
        let attempt = track.attempt;
        let hop = self.hop(self.requests[number].entry, engine);
        self.after(hop, Next::Submit { number, attempt });
    }

    pub(crate) fn hop(&self, entry: usize, engine: usize) -> Duration {
        let platform = &self.scenario.platform;
        let near = entry % self.scenario.domains.len() == self.engines[engine].domain;
        Duration::from_micros(if near {
            platform.near_us
        } else {
            platform.hop_us
        })
    }

    pub(crate) fn tick(&mut self, entry: usize) {
        self.poll(entry);
        if self.running() {
            self.after(TICK, Next::Tick(entry));
        }
    }

    pub(crate) fn poll(&mut self, entry: usize) {
        let answers = self.policy.poll(self.now, entry, self.requests);
        for (number, answer) in answers {
            if !self.tracks[number].over {
                self.act(number, answer);
            }
        }
    }

    pub(crate) fn deadline(&mut self, number: usize) {
        if self.tracks[number].over {
            return;
        }
        if let Some(engine) = self.tracks[number].engine {
            self.engines[engine]
                .batch
                .cancel(id(number, self.tracks[number].attempt));
        }
        self.leave(number);
        self.over(number, Outcome::Late);
    }

    /// The request is no longer at its engine.
    pub(crate) fn leave(&mut self, number: usize) {
        if self.tracks[number].engine.take().is_some() {
            let entry = self.requests[number].entry;
            self.policy.left(self.now, entry, number);
        }
    }

    pub(crate) fn over(&mut self, number: usize, outcome: Outcome) {
        let request = &self.requests[number];
        let track = &mut self.tracks[number];
        track.over = true;
        let client = Duration::from_micros(self.scenario.platform.client_us);
        let first = track
            .first
            .map(|first| first.since(request.at) + track.back + client);
        let between = track
            .first
            .filter(|_| track.made > 1)
            .map(|first| self.now.since(first) / (track.made - 1) as u32);
        self.score
            .request(request, outcome, first, between, track.made);
        self.policy.ended(self.now, request.entry, number);
        self.poll(request.entry);
    }

    /// A request goes on at another engine, from where it is.
    pub(crate) fn carry(&mut self, number: usize) {
        if self.tracks[number].over {
            return;
        }
        let request = &self.requests[number];
        let track = &self.tracks[number];
        let call = Call {
            number,
            request,
            made: track.made,
            exclude: &track.tried,
        };
        match self.policy.carry(self.now, request.entry, call) {
            Some(engine) => self.send(number, engine),
            None => self.after(AGAIN, Next::Again(number)),
        }
    }
}

/// Number of a request's attempt, as engines see it.
pub(crate) fn id(number: usize, attempt: u8) -> engine::Attempt {
    (number as u64) << 8 | u64::from(attempt)
}

/// The request and its attempt of a number.
pub(crate) fn parts(attempt: engine::Attempt) -> (usize, u8) {
    ((attempt >> 8) as usize, attempt as u8)
}
