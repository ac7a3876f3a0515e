//! The life of a request under a hostile endpoint and a failing backup.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::id::Endpoint;
use coltsfoothall::record::{
    Answer, Cause, Change, Class, End, Finish, Intake, Name, Part, Record, Work,
};
use coltsfoothall::request::{Action, Dropped, Input, Request, Settings};
use coltsfoothall::size::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const TOKENS: u64 = 24;
const RUNS: u64 = 20_000;

fn endpoint(number: u64) -> Endpoint {
    format!("e{number}").parse().unwrap()
}

fn intake(idempotent: bool, completion: bool) -> Intake {
    let work = if completion {
        Work::Completion {
            model: "m".parse().unwrap(),
            adapter: None,
            prompt: "cue sheet".into(),
            max_tokens: TOKENS,
        }
    } else {
        Work::Call {
            method: "POST".into(),
            path: "/book".into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    };
    Intake {
        name: Name {
            workspace: "w".parse().unwrap(),
            key: "k".parse().unwrap(),
        },
        service: "s".parse().unwrap(),
        work,
        idempotent,
        class: Class::Interactive,
        deadline: Millis(10_000),
    }
}

/// Each attempt words its tokens in its own way, so that a mixed answer shows.
fn text(attempt: u64, from: u64, to: u64) -> String {
    let word = |token| format!("t{token}.{attempt} ");
    (from..to).map(word).collect()
}

fn piece(attempt: u64, offset: u64, tokens: u64) -> Part {
    let end = offset + tokens;
    Part {
        offset,
        tokens,
        text: text(attempt, offset, end),
        finish: (end == TOKENS).then_some(Finish::Length),
    }
}

fn whole_answer() -> Box<Answer> {
    Box::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    })
}

struct Owner {
    request: Request,
    /// Changes on the way to the backup, and acknowledgements on the way back.
    sent: VecDeque<(u64, Change)>,
    acks: VecDeque<u64>,
    picks: u32,
    budgets: u32,
    alone: bool,
}

struct Run {
    attempt: u64,
    owner: usize,
    endpoint: Endpoint,
    /// Whether it surely did nothing.
    refused: bool,
    /// The whole text, were this the last attempt.
    full: String,
    /// Pieces sent so far, and what comes next.
    sent: Vec<Input>,
    next: VecDeque<Input>,
}

struct World {
    seed: u64,
    rng: Pcg64,
    now: Time,
    intake: Intake,
    owners: Vec<Owner>,
    /// What the backup holds; moved to the second owner when it takes over.
    backup: Option<Record>,
    sealed: bool,
    runs: Vec<Run>,
    attempts: u64,
    /// The text that the caller has seen.
    seen: String,
    not_run: bool,
    done: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let intake = intake(rng.random_bool(0.6), rng.random_bool(0.6));
        let mut world = Self {
            seed,
            rng,
            now: Time::START,
            owners: Vec::new(),
            backup: None,
            sealed: false,
            runs: Vec::new(),
            attempts: 0,
            seen: String::new(),
            not_run: false,
            done: false,
            intake: intake.clone(),
        };
        world.own(Request::new(intake, Time::START, Settings::default()));
        world.give(0, Input::Begin);
        world
    }

    fn own(&mut self, request: Request) {
        self.owners.push(Owner {
            request,
            sent: VecDeque::new(),
            acks: VecDeque::new(),
            picks: 0,
            budgets: 0,
            alone: false,
        });
    }

    fn give(&mut self, owner: usize, input: Input) {
        let ended = self.owners[owner].request.over();
        let mut actions = Vec::new();
        let request = &mut self.owners[owner].request;
        let result = request.handle(self.now, input.clone(), &mut actions);
        assert_eq!(result, Ok(()), "seed {} at {input:?}", self.seed);
        for action in actions {
            let quiet = matches!(action, Action::Count(_) | Action::Abort { .. });
            assert!(
                !ended || quiet,
                "seed {}: {action:?} after the end",
                self.seed
            );
            self.act(owner, action);
        }
    }

    /// Whether what `owner` relies on is held by whoever may take over.
    fn held(&self, owner: usize) -> Option<&Record> {
        match (self.owners[owner].alone, owner, self.owners.len()) {
            (true, ..) | (_, 1, _) => Some(self.owners[owner].request.record()),
            (_, _, 1) => self.backup.as_ref(),
            _ => Some(self.owners[1].request.record()),
        }
    }

    fn act(&mut self, owner: usize, action: Action) {
        let seed = self.seed;
        match action {
            Action::Record { seq, change } => {
                if matches!(change, Change::Part(_)) {
                    self.check_text(owner);
                }
                self.owners[owner].sent.push_back((seq, change));
            }
            Action::Pick { .. } => self.owners[owner].picks += 1,
            Action::Retry => self.owners[owner].budgets += 1,
            Action::Start {
                attempt,
                endpoint,
                resume,
                offset,
            } => {
                let record = self.owners[owner].request.record();
                assert_eq!(
                    (&resume, offset),
                    (&record.text, record.tokens()),
                    "seed {seed}"
                );

                let held = self.held(owner).map(|record| record.sent.clone());
                let knows = held.is_some_and(|sent| sent.contains(&attempt));
                assert!(
                    knows,
                    "seed {seed}: attempt {attempt} unknown to the backup"
                );
                self.start(owner, attempt, endpoint, offset, resume);
            }
            Action::Abort { attempt } => {
                // Its last pieces may still be on their way.
                if let Some(run) = self.runs.iter_mut().find(|run| run.attempt == attempt)
                    && self.rng.random_bool(0.5)
                {
                    run.next.clear();
                }
            }
            Action::Release { tokens } => {
                let held = self.held(owner).map_or(0, Record::tokens);
                assert!(
                    tokens <= held,
                    "seed {seed}: {tokens} released, {held} held"
                );
                self.see(owner, tokens);
            }
            Action::Finish { end, .. } => self.finish(owner, end),
            Action::Cached { .. } | Action::Count(_) => {}
        }
    }

    fn start(
        &mut self,
        owner: usize,
        attempt: u64,
        endpoint: Endpoint,
        offset: u64,
        resume: String,
    ) {
        let mut next = VecDeque::new();
        if matches!(self.intake.work, Work::Call { .. }) {
            let answer = whole_answer();
            next.push_back(Input::Answer { attempt, answer });
        } else {
            let mut at = offset;
            while at < TOKENS {
                let tokens = self.rng.random_range(1..=4).min(TOKENS - at);
                let part = piece(attempt, at, tokens);
                let cached = None;
                next.push_back(Input::Chunk {
                    attempt,
                    part,
                    cached,
                });
                at += tokens;
            }
        }
        next.push_back(Input::Ended { attempt });
        self.runs.push(Run {
            attempt,
            owner,
            endpoint,
            refused: false,
            full: resume + &text(attempt, offset, TOKENS),
            sent: Vec::new(),
            next,
        });
        let executed = self.runs.iter().filter(|run| !run.refused).count();
        let once = self.intake.idempotent || executed <= 1;
        assert!(once, "seed {}: {executed} executions", self.seed);
    }

    /// An answer is what the last attempt was started with and its own words.
    fn check_text(&self, owner: usize) {
        let text = &self.owners[owner].request.record().text;
        let last = self.runs.iter().rfind(|run| run.owner == owner).unwrap();
        assert!(
            last.full.starts_with(text),
            "seed {}: mixed text {text}",
            self.seed
        );
    }

    /// Shows the caller the answer up to `tokens`; a paused owner may show less.
    fn see(&mut self, owner: usize, tokens: u64) {
        let record = self.owners[owner].request.record();
        let rest = record.text_after(tokens).unwrap().len();
        let shown = record.text[..record.text.len() - rest].to_owned();
        let same = shown.starts_with(&self.seen) || self.seen.starts_with(&shown);
        assert!(same, "seed {}: {} became {shown}", self.seed, self.seen);
        if shown.len() > self.seen.len() {
            self.seen = shown;
        }
    }

    fn finish(&mut self, owner: usize, end: End) {
        let seed = self.seed;
        let record = self.owners[owner].request.record();
        match end {
            End::Done => {
                self.done = true;
                match self.intake.work {
                    Work::Call { .. } => assert_eq!(record.answer, Some(whole_answer())),
                    Work::Completion { .. } => {
                        assert_eq!(record.text, self.seen, "seed {seed}: whole");
                        assert_eq!(record.tokens(), TOKENS, "seed {seed}: whole");
                    }
                }
            }
            End::NotRun(_) => self.not_run = true,
            End::Unknown(_) => {}
        }
    }

    /// Lets the backup take a change, or its acknowledgement arrive.
    fn replicate(&mut self, owner: usize) {
        if self.rng.random_bool(0.4) {
            if let Some(seq) = self.owners[owner].acks.pop_front() {
                self.give(owner, Input::Acked { seq });
            }
            return;
        }
        if (owner == 0 && self.sealed) || self.owners[owner].alone {
            return;
        }
        let Some((seq, change)) = self.owners[owner].sent.pop_front() else {
            return;
        };
        if owner == 0 {
            match (&mut self.backup, change) {
                (backup @ None, Change::Accept(intake)) => *backup = Some(Record::new(*intake)),
                (Some(record), change) => record.apply(change).unwrap(),
                (None, change) => panic!("{change:?} before its accept"),
            }
        }
        self.owners[owner].acks.push_back(seq);
    }

    fn take_over(&mut self) {
        if self.sealed || self.owners[0].alone {
            return;
        }
        self.sealed = true;
        let Some(record) = self.backup.take() else {
            // The caller was never told that it is accepted; the request ends with its owner.
            self.own(Request::new(
                self.intake.clone(),
                self.now,
                Settings::default(),
            ));
            self.give(1, Input::Sealed);
            return;
        };
        self.own(Request::resume(record, self.now, Settings::default()));
        if self.rng.random_bool(0.5) {
            self.owners[1].alone = true;
            self.give(1, Input::Unreplicated);
        }
        self.give(1, Input::Begin);
    }

    fn engine(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.runs.len());
        let owner = self.runs[at].owner;
        let attempt = self.runs[at].attempt;
        let fresh = self.runs[at].sent.is_empty();
        match self.rng.random_range(0..40) {
            0 | 1 if fresh && !self.runs[at].next.is_empty() => {
                self.runs[at].refused = true;
                self.runs[at].next.clear();
                let unsent = self.rng.random_bool(0.5);
                self.give(
                    owner,
                    [Input::Refused { attempt }, Input::Unsent { attempt }][usize::from(unsent)]
                        .clone(),
                );
            }
            2 => {
                self.runs[at].next.clear();
                self.give(owner, Input::Broke { attempt });
            }
            3 => drop(self.runs[at].next.pop_front()),
            4..8 if !fresh => {
                let old = self.rng.random_range(0..self.runs[at].sent.len());
                let input = self.runs[at].sent[old].clone();
                self.give(owner, input);
            }
            8 if self.runs[at].next.len() > 1 => {
                self.runs[at].next.swap(0, 1);
            }
            _ => {
                if let Some(input) = self.runs[at].next.pop_front() {
                    self.runs[at].sent.push(input.clone());
                    self.give(owner, input);
                }
            }
        }
    }

    fn answer_asks(&mut self, owner: usize) {
        if self.owners[owner].budgets > 0 {
            self.owners[owner].budgets -= 1;
            let granted = self.rng.random_bool(0.9);
            self.give(owner, Input::Budget { granted });
        }
        if self.owners[owner].picks > 0 {
            self.owners[owner].picks -= 1;
            self.attempts += 1;
            let input = if self.rng.random_bool(0.9) {
                Input::Picked {
                    endpoint: endpoint(self.rng.random_range(0..6)),
                    attempt: self.attempts,
                }
            } else {
                Input::NoPick {
                    cause: Cause::NoEndpoint,
                    retry_after: Duration::from_millis(50),
                }
            };
            self.give(owner, input);
        }
    }

    fn fault(&mut self, owner: usize) {
        let endpoint = endpoint(self.rng.random_range(0..6));
        match self.rng.random_range(0..40) {
            0..4 => {
                let finishes = self.rng.random_bool(0.3);
                self.give(owner, Input::Leaving { endpoint, finishes });
            }
            4..6 => {
                for run in &mut self.runs {
                    if run.endpoint == endpoint {
                        run.next.clear();
                    }
                }
                self.give(owner, Input::EndpointDied { endpoint });
            }
            6 => self.give(owner, Input::Cancel),
            7..10 => self.take_over(),
            10 if owner == 0 && !self.sealed => {
                self.owners[0].alone = true;
                self.give(0, Input::Unreplicated);
            }
            11 if owner == 0 && self.sealed => self.give(0, Input::Sealed),
            _ => {}
        }
    }

    fn run(&mut self) {
        for _ in 0..600 {
            let owner = self.rng.random_range(0..self.owners.len());
            match self.rng.random_range(0..20) {
                0..8 => self.replicate(owner),
                8..15 => self.engine(),
                15..18 => self.answer_asks(owner),
                18 => self.fault(owner),
                _ => {
                    self.now = self.now + Duration::from_millis(self.rng.random_range(1..60));
                    self.give(owner, Input::Tick);
                }
            }
        }
        self.close();
    }

    /// After its deadline each request ends, once its backup answers.
    fn close(&mut self) {
        self.now = self.now + Duration::from_secs(60);
        let last = self.owners.len() - 1;
        self.give(last, Input::Tick);
        self.owners[last].alone = true;
        self.give(last, Input::Unreplicated);
        assert!(
            self.owners[last].request.over(),
            "seed {}: hangs",
            self.seed
        );
        let ran = self.runs.iter().any(|run| !run.refused);
        assert!(
            !(self.not_run && ran),
            "seed {}: not run, but ran",
            self.seed
        );
    }
}

#[test]
fn hostile_endpoint() {
    let (mut done, mut not_run, mut moved, mut resumed) = (0, 0, 0, 0);
    for seed in 0..RUNS {
        let mut world = World::new(seed);
        world.run();
        done += u32::from(world.done);
        not_run += u32::from(world.not_run);
        moved += u32::from(world.runs.len() > 1);
        resumed += u32::from(world.sealed && world.done);
    }
    println!("{RUNS} runs: {done} done, {not_run} not run, {moved} moved, {resumed} taken over");
    // The run is worth something only if each way was gone.
    assert!(done > 1_000 && not_run > 100 && moved > 1_000 && resumed > 100);
}

/// A request that runs as attempt 1 on e1, with all changes held.
fn running(idempotent: bool) -> Request {
    let mut request = Request::new(intake(idempotent, true), Time::START, Settings::default());
    give(&mut request, Input::Begin);
    choose(&mut request, 1);
    request
}

fn give(request: &mut Request, input: Input) -> Vec<Action> {
    let mut actions = Vec::new();
    request.handle(Time::START, input, &mut actions).unwrap();
    actions
}

fn choose(request: &mut Request, attempt: u64) -> Vec<Action> {
    let endpoint = endpoint(attempt);
    let picked = give(request, Input::Picked { endpoint, attempt });
    assert!(!picked.iter().any(|a| matches!(a, Action::Start { .. })));
    let seq = request.seq();
    give(request, Input::Acked { seq })
}

fn chunk(request: &mut Request, attempt: u64, offset: u64, tokens: u64) -> Vec<Action> {
    let part = piece(attempt, offset, tokens);
    let cached = None;
    give(
        request,
        Input::Chunk {
            attempt,
            part,
            cached,
        },
    )
}

#[test]
fn end_marker() {
    let mut request = running(true);
    chunk(&mut request, 1, 0, 10);
    assert_eq!(chunk(&mut request, 1, 10, 14), []);
    assert_eq!(
        give(&mut request, Input::Broke { attempt: 1 }),
        [Action::Retry]
    );
    give(&mut request, Input::Budget { granted: true });
    let actions = choose(&mut request, 2);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Start { offset: 10, .. }))
    );
}

#[test]
fn notice_moves() {
    let mut request = running(true);
    let endpoint = endpoint(1);
    let finishes = false;
    let actions = give(&mut request, Input::Leaving { endpoint, finishes });
    assert!(matches!(&actions[..], [Action::Pick { exclude }] if exclude.len() == 1));
    assert_eq!(chunk(&mut request, 1, 0, 3).len(), 1);
    let actions = choose(&mut request, 2);
    assert!(actions.contains(&Action::Abort { attempt: 1 }));
    let late = chunk(&mut request, 1, 3, 3);
    assert_eq!(late, [Action::Count(Dropped::Superseded)]);
}

#[test]
fn gap_breaks() {
    let mut request = running(true);
    chunk(&mut request, 1, 0, 4);
    let actions = chunk(&mut request, 1, 8, 4);
    let abort = Action::Abort { attempt: 1 };
    assert_eq!(actions, [Action::Count(Dropped::Gap), abort, Action::Retry]);
}

#[test]
fn broken_once() {
    let mut request = running(false);
    give(&mut request, Input::Broke { attempt: 1 });
    let seq = request.seq();
    give(&mut request, Input::Acked { seq });
    assert_eq!(request.end(), Some(End::Unknown(Cause::Failed)));
    assert_eq!(give(&mut request, Input::Begin), []);
}

#[test]
fn attempts_bounded() {
    let mut request = running(true);
    for attempt in 1..4 {
        give(&mut request, Input::Broke { attempt });
        give(&mut request, Input::Budget { granted: true });
        choose(&mut request, attempt + 1);
    }
    give(&mut request, Input::Broke { attempt: 4 });
    give(&mut request, Input::Unreplicated);
    assert_eq!(request.end(), Some(End::Unknown(Cause::Failed)));
}

#[test]
fn unrecorded_ack() {
    let mut request = running(true);
    let mut actions = Vec::new();
    let input = Input::Acked { seq: 99 };
    assert!(request.handle(Time::START, input, &mut actions).is_err());
    assert_eq!(actions[0], Action::Abort { attempt: 1 });
    give(&mut request, Input::Unreplicated);
    assert_eq!(request.end(), Some(End::Unknown(Cause::Failed)));
}
