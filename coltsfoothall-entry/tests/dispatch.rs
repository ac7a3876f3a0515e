//! Admission and choice: whatever the order of events, nothing stays behind.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::catalog::Workspace;
use coltsfoothall::choice::Endpoint;
use coltsfoothall::clock::Time;
use coltsfoothall::id::Endpoint as Id;
use coltsfoothall::limit::Number;
use coltsfoothall::load::Report;
use coltsfoothall::record::{Class, Intake, Name, Work};
use coltsfoothall::size::{Millis, Price, Tokens};
use coltsfoothall::step::Input;
use coltsfoothall::weight::Risk;
use coltsfoothall_entry::death::Finding;
use coltsfoothall_entry::dispatch::{Dispatch, Pick, ticket};
use coltsfoothall_entry::endpoint::Ended;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

const ENDPOINTS: usize = 5;

/// A request as its relay drives it.
struct Caller {
    intake: Intake,
    deadline: Time,
    number: Option<Number>,
    reply: UnboundedSender<Input>,
    heard: UnboundedReceiver<Input>,
    /// Attempts asked for and not ended.
    asked: Vec<u64>,
    running: Vec<u64>,
    over: bool,
}

struct World {
    random: Pcg64Mcg,
    dispatch: Dispatch,
    callers: Vec<Caller>,
    now: Time,
    next: u64,
    /// Whether requests may run more than once.
    idempotent: bool,
}

fn endpoint(at: usize) -> Endpoint {
    Endpoint {
        id: format!("engine-{at}").parse().unwrap(),
        service: "reader".parse().unwrap(),
        models: Vec::new(),
        domain: "karlin".parse().unwrap(),
        price: Price(300),
        risk: Risk::default(),
    }
}

fn workspace(name: &str) -> Workspace {
    serde_json::from_str(&format!(
        r#"{{"name": "{name}", "tokens": ["{name}"], "open": 40}}"#
    ))
    .unwrap()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut dispatch = Dispatch::new("karlin".parse().unwrap(), seed);
        dispatch.set_endpoints((0..ENDPOINTS).map(endpoint).collect());
        dispatch.set_workspaces(&[workspace("film"), workspace("theatre")]);
        dispatch.set_rank(0, 2);
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            dispatch,
            callers: Vec::new(),
            now: Time::START,
            next: 1,
            idempotent: true,
        }
    }

    fn intake(&mut self) -> Intake {
        let workspace = if self.random.random_bool(0.7) {
            "film"
        } else {
            "theatre"
        };
        let content = self.random.random_range(0..12);
        self.next += 1;
        Intake {
            name: Name {
                workspace: workspace.parse().unwrap(),
                key: format!("key-{:08}", self.next).parse().unwrap(),
            },
            service: "reader".parse().unwrap(),
            class: if self.random.random_bool(0.2) {
                Class::Batch
            } else {
                Class::Interactive
            },
            idempotent: self.idempotent,
            deadline: Millis(20_000),
            work: Work::Completion {
                model: "rights-1".parse().unwrap(),
                adapter: None,
                prompt: format!("{content} ").repeat(self.random.random_range(1..3000)),
                max_tokens: 20,
            },
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..60));
        match self.random.random_range(0..14) {
            0..=3 => self.arrive(),
            4..=7 => self.end_attempt(),
            8 => self.end_request(),
            9 => {
                let at = self.random.random_range(0..ENDPOINTS);
                self.die(at);
            }
            10 => {
                let at = self.random.random_range(0..ENDPOINTS);
                let running = self.random.random_range(0..40);
                let report = Report {
                    running,
                    ..Report::default()
                };
                self.dispatch.report(self.now, &endpoint(at).id, &report);
            }
            11 => {
                let found = self.random.random_range(0..ENDPOINTS);
                let list = (0..ENDPOINTS)
                    .filter(|at| *at != found)
                    .map(endpoint)
                    .collect();
                self.dispatch.set_endpoints(list);
            }
            12 => self
                .dispatch
                .set_endpoints((0..ENDPOINTS).map(endpoint).collect()),
            _ => self.dispatch.poll(self.now),
        }
        for endpoint in self.dispatch.detector().due_probes(self.now) {
            self.settle(&endpoint, Finding::Alive);
        }
        self.hear();
    }

    fn arrive(&mut self) {
        let intake = self.intake();
        let deadline = self.now + Duration::from_secs(20);
        let Ok(number) = self.dispatch.admit(self.now, &ticket(&intake, deadline)) else {
            return;
        };
        if self.random.random_bool(0.05) {
            // Its caller left before the request was begun, and nobody knows.
            return;
        }
        let (reply, heard) = unbounded_channel();
        let carried = self.random.random_bool(0.1);
        if carried {
            // Carried on here: it has no place of its own.
            self.dispatch.release(self.now, number);
        }
        let number = Some(number).filter(|_| !carried);
        self.callers.push(Caller {
            intake,
            deadline,
            number,
            reply,
            heard,
            asked: Vec::new(),
            running: Vec::new(),
            over: false,
        });
        self.pick(self.callers.len() - 1);
    }

    fn pick(&mut self, at: usize) {
        let attempt = self.next;
        self.next += 1;
        let caller = &mut self.callers[at];
        caller.asked.push(attempt);
        let mut pick = Pick::new(&caller.intake, "", attempt, Vec::new(), caller.deadline);
        pick.number = caller.number;
        let reply = caller.reply.clone();
        self.dispatch.pick(self.now, pick, reply);
    }

    /// What relays do with what they hear.
    fn hear(&mut self) {
        for at in 0..self.callers.len() {
            while let Ok(input) = self.callers[at].heard.try_recv() {
                self.take(at, input);
            }
        }
        self.callers.retain(|caller| !caller.over);
    }

    fn take(&mut self, at: usize, input: Input) {
        match input {
            Input::Picked { attempt, .. } => {
                let caller = &mut self.callers[at];
                caller.asked.retain(|have| *have != attempt);
                caller.running.push(attempt);
            }
            Input::NoPick { retry_after, .. } => {
                self.callers[at].asked.clear();
                if self.callers[at].deadline < self.now + retry_after {
                    self.over(at);
                }
            }
            Input::GivenUp { .. } | Input::Poisoned => self.over(at),
            Input::Broke { .. } => self.pick(at),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn end_attempt(&mut self) {
        let open: Vec<usize> = (0..self.callers.len())
            .filter(|at| !self.callers[*at].running.is_empty())
            .collect();
        if open.is_empty() {
            return;
        }
        let at = open[self.random.random_range(0..open.len())];
        let attempt = self.callers[at].running.pop().unwrap();
        let ended = [
            Ended::Complete,
            Ended::Complete,
            Ended::Refused,
            Ended::Unsent,
            Ended::Broke,
        ][self.random.random_range(0..5)];
        self.dispatch
            .record_first_piece(self.now, attempt, Tokens(0));
        let tried = self.dispatch.record_end(self.now, attempt, ended);
        if let Some(endpoint) = tried {
            let found = [
                Finding::Alive,
                Finding::Silent,
                Finding::Dead { domain: false },
                Finding::Alive,
            ][self.random.random_range(0..4)];
            self.settle(&endpoint, found);
        }
        match ended {
            Ended::Complete => self.over(at),
            Ended::Refused | Ended::Unsent => self.pick(at),
            Ended::Broke | Ended::Abandoned => {}
        }
    }

    fn end_request(&mut self) {
        if !self.callers.is_empty() {
            let at = self.random.random_range(0..self.callers.len());
            self.over(at);
        }
    }

    fn die(&mut self, at: usize) {
        let endpoint = endpoint(at).id;
        if self.dispatch.detector().start_probe(&endpoint, None) {
            self.settle(&endpoint, Finding::Dead { domain: false });
        }
    }

    fn settle(&mut self, endpoint: &coltsfoothall::id::Endpoint, found: Finding) {
        if self.dispatch.record_probe(self.now, endpoint, found) {
            let announced = self.random.random_bool(0.5);
            self.dispatch.record_death(self.now, endpoint, announced);
        }
    }

    /// A request is over: its relay gives all back.
    fn over(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        if std::mem::replace(&mut caller.over, true) {
            return;
        }
        let attempts: Vec<u64> = caller
            .running
            .drain(..)
            .chain(caller.asked.drain(..))
            .collect();
        let number = caller.number;
        for attempt in attempts {
            self.dispatch
                .record_end(self.now, attempt, Ended::Abandoned);
        }
        if let Some(number) = number {
            self.dispatch.release(self.now, number);
        }
    }
}

#[test]
fn nothing_left() {
    for seed in 0..300 {
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.step();
        }
        let callers = world.callers.len();
        for at in 0..callers {
            world.over(at);
        }
        for _ in 0..70 {
            world.now = world.now + Duration::from_secs(1);
            world.dispatch.poll(world.now);
            world.hear();
        }
        let left = (
            world.dispatch.admitted(),
            world.dispatch.waiting(),
            world.dispatch.running(),
        );
        assert_eq!(left, (0, 0, 0), "seed {seed}: places, picks, attempts");
        assert_eq!(world.dispatch.queued(), 0, "seed {seed}");
        assert_eq!(world.dispatch.detector().running(), 0, "seed {seed}");
    }
}

/// What waits for a place that becomes free when the instance is leaving.
#[test]
fn leaving_begins() {
    for idempotent in [true, false] {
        let mut world = World {
            idempotent,
            ..World::new(7)
        };
        while world.dispatch.waiting() == 0 {
            world.arrive();
            world.hear();
        }
        world.dispatch.leave();
        let mut running = world.dispatch.running();
        while world.dispatch.waiting() > 0 {
            let runs = |caller: &Caller| !caller.running.is_empty();
            let at = world.callers.iter().position(runs).unwrap();
            world.over(at);
            running -= 1;
            world.hear();
        }
        let begun = world.dispatch.running() > running;
        assert_eq!(begun, idempotent);
    }
}

/// A request that may be to blame for a death was sent alone to an endpoint that had just broken
/// another one off, died there with that one's endpoint, and was condemned for it.
#[test]
fn trial_awaited() {
    let mut world = World::new(1);
    // Of three endpoints this instance may use the first and the last for requests alone.
    world.dispatch.set_endpoints((0..3).map(endpoint).collect());
    let (blamed, innocent) = (world.asking("blamed"), world.asking("innocent"));
    assert_eq!(world.chosen(&blamed, 1, &[1, 2]), Some(endpoint(0).id));
    assert_eq!(world.chosen(&innocent, 2, &[1, 2]), Some(endpoint(0).id));
    world.dispatch.record_end(world.now, 1, Ended::Broke);
    world.dispatch.record_end(world.now, 2, Ended::Broke);
    let dead = Finding::Dead { domain: false };
    assert!(
        world
            .dispatch
            .record_probe(world.now, &endpoint(0).id, dead)
    );
    world
        .dispatch
        .record_death(world.now, &endpoint(0).id, false);
    world.now = world.now + Duration::from_secs(1);
    assert_eq!(world.chosen(&blamed, 3, &[]), Some(endpoint(2).id), "alone");
    world.dispatch.record_end(world.now, 3, Ended::Broke);
    assert_eq!(world.chosen(&innocent, 4, &[]), None, "it is on trial");
    assert!(
        !world
            .dispatch
            .record_probe(world.now, &endpoint(2).id, Finding::Alive)
    );
    assert_eq!(world.chosen(&innocent, 5, &[]), Some(endpoint(2).id));
}

impl World {
    fn asking(&mut self, text: &str) -> Intake {
        let mut intake = self.intake();
        if let Work::Completion { prompt, .. } = &mut intake.work {
            *prompt = text.into();
        }
        intake
    }

    /// The endpoint chosen for an attempt, if there is one, without these.
    fn chosen(&mut self, intake: &Intake, attempt: u64, without: &[usize]) -> Option<Id> {
        let exclude = without.iter().map(|at| endpoint(*at).id).collect();
        let deadline = self.now + Duration::from_secs(20);
        let (reply, mut heard) = unbounded_channel();
        let pick = Pick::new(intake, "", attempt, exclude, deadline);
        self.dispatch.pick(self.now, pick, reply);
        match heard.try_recv() {
            Ok(Input::Picked { endpoint, .. }) => Some(endpoint),
            Ok(Input::NoPick { .. }) => None,
            other => panic!("unexpected {other:?}"),
        }
    }
}
