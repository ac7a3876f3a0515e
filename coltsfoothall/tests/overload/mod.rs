//! Engines that serve requests in batches, and the instances that choose among them.
//!
//! Each step of an engine writes one event of each prefilled request in its batch, and prefills a
//! chunk of the others. Each instance learns what the others have open once in a heartbeat round.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::admission::Target;
use coltsfoothall::forward::choice::{Part, Query, Settings};
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::roster::{End, Roster, Run};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Microseconds of a step, and of each request in its batch.
const STEP_US: f64 = 3_410.0;
const REQUEST_US: f64 = 97.0;
/// Microseconds to prefill a token.
const TOKEN_US: f64 = 1_000.0 / 112.0;
/// Tokens that a step prefills at most.
const CHUNK: u64 = 2_048;
/// Requests that an engine queues, as a multiple of its slots; it rejects more.
const QUEUE_FACTOR: usize = 2;
/// Milliseconds between two heartbeats of an instance.
const ROUND: u64 = 400;
/// Milliseconds between two events of a stream after which it is late.
const MAX_PAUSE: u64 = 500;
/// Multiple of the target latency beyond which the rule without queueing refuses.
const MAX_FIRST_EVENT_FACTOR: f64 = 1.5;
const MAX_SENDS: usize = 5;
const WORKSPACES: usize = 16;
/// One request in this many has a prompt of [`LARGE_FACTOR`] times the usual length.
const LARGE_PERIOD: u64 = 10;
const LARGE_FACTOR: f64 = 2.5;

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
struct Kind {
    /// Share of all requests.
    share: f64,
    prompt: u64,
    shared: u64,
    events: u64,
    target: u64,
    rank: u8,
}

const KINDS: [Kind; 2] = [
    Kind {
        share: 0.85,
        prompt: 2_368,
        shared: 568,
        events: 3,
        target: 500,
        rank: 0,
    },
    Kind {
        share: 0.15,
        prompt: 11_992,
        shared: 5_382,
        events: 48,
        target: 1_500,
        rank: 2,
    },
];

/// A deployment and its load.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub instances: usize,
    pub engines: usize,
    pub slots: u32,
    /// Requests a second, as a multiple of the capacity.
    pub load: f64,
    pub queueing: bool,
    /// Seconds before requests count, and in which they count.
    pub settle: u64,
    pub measured: u64,
    pub seed: u64,
}

/// Requests that arrived in the measured time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    pub offered: u32,
    pub sent: u32,
    /// Answered within the target latency.
    pub timely: u32,
}

impl Count {
    pub fn share_sent(&self) -> f64 {
        f64::from(self.sent) / f64::from(self.offered.max(1))
    }
}

/// What a scenario leads to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub all: Count,
    /// Requests of the largest tenth of each kind.
    pub large: Count,
    /// Requests of each kind, the short ones first.
    pub kinds: [Count; KINDS.len()],
    /// Timely answers a second.
    pub goodput: f64,
}

#[derive(Debug)]
struct Request {
    instance: usize,
    run: Option<Run>,
    kind: Kind,
    index: usize,
    is_large: bool,
    is_counted: bool,
    received: u64,
    unread: u64,
    events: u64,
    last_event: Option<u64>,
    is_timely: bool,
}

#[derive(Debug, Default)]
struct Engine {
    queue: Vec<Request>,
    batch: Vec<Request>,
    /// When the current step ends, in microseconds.
    step_ends: Option<u64>,
    cached: [[bool; WORKSPACES]; KINDS.len()],
}

impl Engine {
    fn begin_step(&mut self, now_us: u64, slots: usize) {
        while self.batch.len() < slots && !self.queue.is_empty() {
            let urgent = self.queue.iter().map(|request| request.kind.rank).min();
            let next = self
                .queue
                .iter()
                .position(|request| Some(request.kind.rank) == urgent);
            self.batch
                .push(self.queue.remove(next.expect("a request waits")));
        }
        if self.batch.is_empty() {
            self.step_ends = None;
            return;
        }
        let mut chunk = CHUNK;
        for request in &mut self.batch {
            let read = request.unread.min(chunk);
            request.unread -= read;
            chunk -= read;
        }
        let step =
            STEP_US + REQUEST_US * self.batch.len() as f64 + (CHUNK - chunk) as f64 * TOKEN_US;
        self.step_ends = Some(now_us + step as u64);
    }

    /// Ends a step; the requests that are complete leave the batch.
    fn end_step(&mut self, now: u64, rosters: &mut [Roster]) -> Vec<Request> {
        for request in self.batch.iter_mut().filter(|request| request.unread == 0) {
            match request.last_event {
                None => {
                    request.is_timely = now - request.received <= request.kind.target;
                    if let Some(run) = &mut request.run {
                        rosters[request.instance].record_first_event(at(now), run);
                    }
                }
                Some(last) => request.is_timely &= now - last <= MAX_PAUSE,
            }
            request.last_event = Some(now);
            request.events -= 1;
        }
        self.batch
            .extract_if(.., |request| request.events == 0)
            .collect()
    }
}

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn name(index: usize) -> id::Endpoint {
    format!("e{index:03}").parse().expect("a name")
}

pub fn entry(index: usize, slots: u32) -> Entry {
    Entry {
        id: name(index),
        born: Millis(1),
        service: "reader".parse().expect("a name"),
        version: None,
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".parse().expect("a name"),
        slots,
        leaving: false,
        leaves: None,
        reclaimable: true,
        position: Position::default(),
    }
}

/// Requests a second that an engine serves with all slots taken and all shared prefixes cached.
pub fn capacity(slots: u32) -> f64 {
    let large = 1.0 + (LARGE_FACTOR - 1.0) / LARGE_PERIOD as f64;
    let micros = KINDS.iter().map(|kind| {
        let step = STEP_US / f64::from(slots) + REQUEST_US;
        let unread = kind.prompt as f64 * large - kind.shared as f64;
        kind.share * (kind.events as f64 * step + unread * TOKEN_US)
    });
    1e6 / micros.sum::<f64>()
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Outcome {
    let Scenario { slots, .. } = scenario;
    let mut random = Pcg64::seed_from_u64(scenario.seed);
    let mut rosters: Vec<Roster> = (0..scenario.instances)
        .map(|_| {
            let mut roster = Roster::new(Settings {
                queueing: scenario.queueing,
                ..Settings::default()
            });
            for index in 0..scenario.engines {
                let _added = roster.registered(Time::START, entry(index, slots));
            }
            roster
        })
        .collect();
    let mut engines: Vec<Engine> = (0..scenario.engines).map(|_| Engine::default()).collect();
    let mut outcome = Outcome::default();
    let per_milli = scenario.load * capacity(slots) * scenario.engines as f64 / 1e3;
    let mut arrived = 0.0;
    let end = (scenario.settle + scenario.measured) * 1_000;
    // Requests that arrive in the measured time have this long to be answered.
    for now in 0..end + 3_000 {
        for index in 0..rosters.len() {
            if now % ROUND == index as u64 * ROUND / rosters.len() as u64 {
                let report = rosters[index].own_loads();
                let placed = rosters[index].placements(at(now), Duration::from_millis(ROUND));
                for (other, roster) in rosters.iter_mut().enumerate() {
                    if other != index {
                        let _restarted = roster.merge_loads(at(now), index as u64 + 1, &report);
                        roster.merge_placements(at(now), &placed);
                    }
                }
            }
        }
        for engine in &mut engines {
            while let Some(ends) = engine.step_ends.filter(|ends| *ends <= now * 1_000) {
                for request in engine.end_step(now, &mut rosters) {
                    if let Some(run) = &request.run {
                        rosters[request.instance].finish(at(now), run, End::Whole);
                    }
                    if request.is_counted && request.is_timely {
                        outcome.all.timely += 1;
                        outcome.kinds[request.index].timely += 1;
                        outcome.large.timely += u32::from(request.is_large);
                    }
                }
                engine.begin_step(ends, slots as usize);
            }
        }
        arrived += -(1.0 - random.random::<f64>()).ln() * per_milli;
        while arrived >= 1.0 {
            arrived -= 1.0;
            let is_counted = now >= scenario.settle * 1_000 && now < end;
            arrive(
                &scenario,
                now,
                is_counted,
                &mut random,
                &mut rosters,
                &mut engines,
                &mut outcome,
            );
        }
        for engine in engines
            .iter_mut()
            .filter(|engine| engine.step_ends.is_none())
        {
            engine.begin_step(now * 1_000, slots as usize);
        }
    }
    outcome.goodput = f64::from(outcome.all.timely) / scenario.measured as f64;
    outcome
}

fn arrive(
    scenario: &Scenario,
    now: u64,
    is_counted: bool,
    random: &mut Pcg64,
    rosters: &mut [Roster],
    engines: &mut [Engine],
    outcome: &mut Outcome,
) {
    let index = usize::from(random.random::<f64>() > KINDS[0].share);
    let kind = KINDS[index];
    let workspace = random.random_range(0..WORKSPACES);
    let is_large = random.random_range(0..LARGE_PERIOD) == 0;
    let factor = if is_large { LARGE_FACTOR } else { 1.0 };
    let prompt = (kind.prompt as f64 * factor) as u64;
    let parts = [
        (1 + workspace as u64 * 2 + index as u64, kind.shared),
        (random.random(), prompt - kind.shared),
    ]
    .map(|(hash, tokens)| Part {
        hash,
        tokens: Tokens(tokens),
    });
    let instance = random.random_range(0..rosters.len());
    let roster = &mut rosters[instance];
    let (service, domain) = (
        "reader".parse().expect("a name"),
        "north".parse().expect("a name"),
    );
    let target = Target {
        latency: Duration::from_millis(kind.target),
        shortest: Duration::from_millis(KINDS[0].target),
        received_at: at(now),
        rank: kind.rank,
    };
    let mut exclude = Vec::new();
    let mut is_sent = false;
    for sends in 0..MAX_SENDS {
        let query = Query {
            service: &service,
            parts: &parts,
            prompt: Tokens(prompt),
            answer: Tokens(kind.events * 4),
            domain: &domain,
            exclude: &exclude,
            memory: Some(Tokens(672_663)),
            versions: &Versions::Any,
            target: Some(target),
        };
        let Ok(pick) = roster.choose(at(now), &query) else {
            break;
        };
        let is_late = if scenario.queueing {
            !target.admits(at(now), &pick.waits())
        } else {
            pick.wait > target.latency.mul_f64(MAX_FIRST_EVENT_FACTOR)
        };
        if sends == 0 && is_late {
            break;
        }
        let run = roster.begin(at(now), &pick, &query);
        let chosen = (0..engines.len()).find(|index| name(*index) == pick.endpoint);
        let engine = &mut engines[chosen.expect("a known engine")];
        let is_full = engine.batch.len() >= scenario.slots as usize;
        if is_full && engine.queue.len() >= QUEUE_FACTOR * scenario.slots as usize {
            roster.finish(at(now), &run, End::Refused);
            exclude.push(pick.endpoint);
            continue;
        }
        let cached = std::mem::replace(&mut engine.cached[index][workspace], true);
        engine.queue.push(Request {
            instance,
            run: Some(run),
            kind,
            index,
            is_large,
            is_counted,
            received: now,
            unread: if cached { prompt - kind.shared } else { prompt },
            events: kind.events,
            last_event: None,
            is_timely: false,
        });
        is_sent = true;
        break;
    }
    if is_counted {
        let counts = [
            Some(&mut outcome.all),
            Some(&mut outcome.kinds[index]),
            is_large.then_some(&mut outcome.large),
        ];
        for count in counts.into_iter().flatten() {
            count.offered += 1;
            count.sent += u32::from(is_sent);
        }
    }
}
