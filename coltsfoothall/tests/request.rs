//! The request state machine under faulty endpoints and a failing backup.

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

/// Each attempt generates different text for its tokens, so that a mixed answer is detected.
fn text(attempt: u64, from: u64, to: u64) -> String {
    let word = |token| format!("t{token}.{attempt} ");
    (from..to).map(word).collect()
}

fn part(attempt: u64, offset: u64, tokens: u64) -> Part {
    let end = offset + tokens;
    Part {
        offset,
        tokens,
        text: text(attempt, offset, end),
        finish: (end == TOKENS).then_some(Finish::Length),
    }
}

fn complete_answer() -> Box<Answer> {
    Box::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    })
}

struct Primary {
    request: Request,
    /// Changes in flight to the backup, and acknowledgements in flight back.
    sent: VecDeque<(u64, Change)>,
    acks: VecDeque<u64>,
    picks: u32,
    budgets: u32,
    unreplicated: bool,
}

struct Run {
    attempt: u64,
    primary: usize,
    endpoint: Endpoint,
    /// Whether it certainly did not execute.
    refused: bool,
    /// The complete text, if this is the last attempt.
    full: String,
    /// Inputs delivered so far, and those still to come.
    sent: Vec<Input>,
    next: VecDeque<Input>,
}

struct World {
    seed: u64,
    rng: Pcg64,
    now: Time,
    intake: Intake,
    primaries: Vec<Primary>,
    /// What the backup holds; passed to the second primary when it takes over.
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
            primaries: Vec::new(),
            backup: None,
            sealed: false,
            runs: Vec::new(),
            attempts: 0,
            seen: String::new(),
            not_run: false,
            done: false,
            intake: intake.clone(),
        };
        world.add_primary(Request::new(intake, Time::START, Settings::default()));
        world.handle(0, Input::Begin);
        world
    }

    fn add_primary(&mut self, request: Request) {
        self.primaries.push(Primary {
            request,
            sent: VecDeque::new(),
            acks: VecDeque::new(),
            picks: 0,
            budgets: 0,
            unreplicated: false,
        });
    }

    fn handle(&mut self, primary: usize, input: Input) {
        let ended = self.primaries[primary].request.over();
        let mut actions = Vec::new();
        let request = &mut self.primaries[primary].request;
        let result = request.handle(self.now, input.clone(), &mut actions);
        assert_eq!(result, Ok(()), "seed {} at {input:?}", self.seed);
        for action in actions {
            let allowed = matches!(action, Action::Count(_) | Action::Abort { .. });
            assert!(
                !ended || allowed,
                "seed {}: {action:?} after the end",
                self.seed
            );
            self.act(primary, action);
        }
    }

    /// The record held by whichever copy may take over from `primary`.
    fn held(&self, primary: usize) -> Option<&Record> {
        match (
            self.primaries[primary].unreplicated,
            primary,
            self.primaries.len(),
        ) {
            (true, ..) | (_, 1, _) => Some(self.primaries[primary].request.record()),
            (_, _, 1) => self.backup.as_ref(),
            _ => Some(self.primaries[1].request.record()),
        }
    }

    fn act(&mut self, primary: usize, action: Action) {
        let seed = self.seed;
        match action {
            Action::Record { seq, change } => {
                if matches!(change, Change::Part(_)) {
                    self.check_text(primary);
                }
                self.primaries[primary].sent.push_back((seq, change));
            }
            Action::Pick { .. } => self.primaries[primary].picks += 1,
            Action::Retry => self.primaries[primary].budgets += 1,
            Action::Start {
                attempt,
                endpoint,
                resume,
                offset,
            } => {
                let record = self.primaries[primary].request.record();
                assert_eq!(
                    (&resume, offset),
                    (&record.text, record.tokens()),
                    "seed {seed}"
                );

                let held = self.held(primary).map(|record| record.sent.clone());
                let knows = held.is_some_and(|sent| sent.contains(&attempt));
                assert!(
                    knows,
                    "seed {seed}: attempt {attempt} unknown to the backup"
                );
                self.start(primary, attempt, endpoint, offset, resume);
            }
            Action::Abort { attempt } => {
                // Its last chunks may still be in flight.
                if let Some(run) = self.runs.iter_mut().find(|run| run.attempt == attempt)
                    && self.rng.random_bool(0.5)
                {
                    run.next.clear();
                }
            }
            Action::Release { tokens } => {
                let held = self.held(primary).map_or(0, Record::tokens);
                assert!(
                    tokens <= held,
                    "seed {seed}: {tokens} released, {held} held"
                );
                self.show(primary, tokens);
            }
            Action::Finish { end, .. } => self.finish(primary, end),
            Action::Cached { .. } | Action::Count(_) => {}
        }
    }

    fn start(
        &mut self,
        primary: usize,
        attempt: u64,
        endpoint: Endpoint,
        offset: u64,
        resume: String,
    ) {
        let mut next = VecDeque::new();
        if matches!(self.intake.work, Work::Call { .. }) {
            let answer = complete_answer();
            next.push_back(Input::Answer { attempt, answer });
        } else {
            let mut at = offset;
            while at < TOKENS {
                let tokens = self.rng.random_range(1..=4).min(TOKENS - at);
                let part = part(attempt, at, tokens);
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
            primary,
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

    /// An answer consists of the text that the last attempt resumed from, followed by its own
    /// text.
    fn check_text(&self, primary: usize) {
        let text = &self.primaries[primary].request.record().text;
        let last = self
            .runs
            .iter()
            .rfind(|run| run.primary == primary)
            .unwrap();
        assert!(
            last.full.starts_with(text),
            "seed {}: mixed text {text}",
            self.seed
        );
    }

    /// Shows the caller the answer up to `tokens`; a paused primary may show less than another
    /// did.
    fn show(&mut self, primary: usize, tokens: u64) {
        let record = self.primaries[primary].request.record();
        let rest = record.text_after(tokens).unwrap().len();
        let shown = record.text[..record.text.len() - rest].to_owned();
        let same = shown.starts_with(&self.seen) || self.seen.starts_with(&shown);
        assert!(same, "seed {}: {} became {shown}", self.seed, self.seen);
        if shown.len() > self.seen.len() {
            self.seen = shown;
        }
    }

    fn finish(&mut self, primary: usize, end: End) {
        let seed = self.seed;
        let record = self.primaries[primary].request.record();
        match end {
            End::Done => {
                self.done = true;
                match self.intake.work {
                    Work::Call { .. } => assert_eq!(record.answer, Some(complete_answer())),
                    Work::Completion { .. } => {
                        assert_eq!(record.text, self.seen, "seed {seed}: incomplete");
                        assert_eq!(record.tokens(), TOKENS, "seed {seed}: incomplete");
                    }
                }
            }
            End::NotRun(_) => self.not_run = true,
            End::Unknown(_) => {}
        }
    }

    /// Delivers a change to the backup, or an acknowledgement to the primary.
    fn replicate(&mut self, primary: usize) {
        if self.rng.random_bool(0.4) {
            if let Some(seq) = self.primaries[primary].acks.pop_front() {
                self.handle(primary, Input::Acked { seq });
            }
            return;
        }
        if (primary == 0 && self.sealed) || self.primaries[primary].unreplicated {
            return;
        }
        let Some((seq, change)) = self.primaries[primary].sent.pop_front() else {
            return;
        };
        if primary == 0 {
            match (&mut self.backup, change) {
                (backup @ None, Change::Accept(intake)) => *backup = Some(Record::new(*intake)),
                (Some(record), change) => record.apply(change).unwrap(),
                (None, change) => panic!("{change:?} before its accept"),
            }
        }
        self.primaries[primary].acks.push_back(seq);
    }

    fn take_over(&mut self) {
        if self.sealed || self.primaries[0].unreplicated {
            return;
        }
        self.sealed = true;
        let Some(record) = self.backup.take() else {
            // The caller was never told that the request was accepted, so it ends with its
            // primary.
            self.add_primary(Request::new(
                self.intake.clone(),
                self.now,
                Settings::default(),
            ));
            self.handle(1, Input::Sealed);
            return;
        };
        self.add_primary(Request::resume(record, self.now, Settings::default()));
        if self.rng.random_bool(0.5) {
            self.primaries[1].unreplicated = true;
            self.handle(1, Input::Unreplicated);
        }
        self.handle(1, Input::Begin);
    }

    fn step_endpoint(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.runs.len());
        let primary = self.runs[at].primary;
        let attempt = self.runs[at].attempt;
        let fresh = self.runs[at].sent.is_empty();
        match self.rng.random_range(0..40) {
            0 | 1 if fresh && !self.runs[at].next.is_empty() => {
                self.runs[at].refused = true;
                self.runs[at].next.clear();
                let unsent = self.rng.random_bool(0.5);
                self.handle(
                    primary,
                    [Input::Refused { attempt }, Input::Unsent { attempt }][usize::from(unsent)]
                        .clone(),
                );
            }
            2 => {
                self.runs[at].next.clear();
                self.handle(primary, Input::Broke { attempt });
            }
            3 => drop(self.runs[at].next.pop_front()),
            4..8 if !fresh => {
                let old = self.rng.random_range(0..self.runs[at].sent.len());
                let input = self.runs[at].sent[old].clone();
                self.handle(primary, input);
            }
            8 if self.runs[at].next.len() > 1 => {
                self.runs[at].next.swap(0, 1);
            }
            _ => {
                if let Some(input) = self.runs[at].next.pop_front() {
                    self.runs[at].sent.push(input.clone());
                    self.handle(primary, input);
                }
            }
        }
    }

    fn answer_requests(&mut self, primary: usize) {
        if self.primaries[primary].budgets > 0 {
            self.primaries[primary].budgets -= 1;
            let granted = self.rng.random_bool(0.9);
            self.handle(primary, Input::Budget { granted });
        }
        if self.primaries[primary].picks > 0 {
            self.primaries[primary].picks -= 1;
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
            self.handle(primary, input);
        }
    }

    fn fault(&mut self, primary: usize) {
        let endpoint = endpoint(self.rng.random_range(0..6));
        match self.rng.random_range(0..40) {
            0..4 => {
                let finishes = self.rng.random_bool(0.3);
                self.handle(primary, Input::Leaving { endpoint, finishes });
            }
            4..6 => {
                for run in &mut self.runs {
                    if run.endpoint == endpoint {
                        run.next.clear();
                    }
                }
                self.handle(primary, Input::EndpointDied { endpoint });
            }
            6 => self.handle(primary, Input::Cancel),
            7..10 => self.take_over(),
            10 if primary == 0 && !self.sealed => {
                self.primaries[0].unreplicated = true;
                self.handle(0, Input::Unreplicated);
            }
            11 if primary == 0 && self.sealed => self.handle(0, Input::Sealed),
            _ => {}
        }
    }

    fn run(&mut self) {
        for _ in 0..600 {
            let primary = self.rng.random_range(0..self.primaries.len());
            match self.rng.random_range(0..20) {
                0..8 => self.replicate(primary),
                8..15 => self.step_endpoint(),
                15..18 => self.answer_requests(primary),
                18 => self.fault(primary),
                _ => {
                    self.now = self.now + Duration::from_millis(self.rng.random_range(1..60));
                    self.handle(primary, Input::Tick);
                }
            }
        }
        self.expire();
    }

    /// After its deadline each request ends, once its backup answers.
    fn expire(&mut self) {
        self.now = self.now + Duration::from_secs(60);
        let last = self.primaries.len() - 1;
        self.handle(last, Input::Tick);
        self.primaries[last].unreplicated = true;
        self.handle(last, Input::Unreplicated);
        assert!(
            self.primaries[last].request.over(),
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
    // The run is meaningful only if each outcome occurred.
    assert!(done > 1_000 && not_run > 100 && moved > 1_000 && resumed > 100);
}

/// A request that runs as attempt 1 on e1, with all changes held by the backup.
fn running(idempotent: bool) -> Request {
    let mut request = Request::new(intake(idempotent, true), Time::START, Settings::default());
    handle(&mut request, Input::Begin);
    choose(&mut request, 1);
    request
}

fn handle(request: &mut Request, input: Input) -> Vec<Action> {
    let mut actions = Vec::new();
    request.handle(Time::START, input, &mut actions).unwrap();
    actions
}

fn choose(request: &mut Request, attempt: u64) -> Vec<Action> {
    let endpoint = endpoint(attempt);
    let picked = handle(request, Input::Picked { endpoint, attempt });
    assert!(!picked.iter().any(|a| matches!(a, Action::Start { .. })));
    let seq = request.seq();
    handle(request, Input::Acked { seq })
}

fn chunk(request: &mut Request, attempt: u64, offset: u64, tokens: u64) -> Vec<Action> {
    let part = part(attempt, offset, tokens);
    let cached = None;
    handle(
        request,
        Input::Chunk {
            attempt,
            part,
            cached,
        },
    )
}

#[test]
fn last_chunk_needs_end_marker() {
    let mut request = running(true);
    chunk(&mut request, 1, 0, 10);
    assert_eq!(chunk(&mut request, 1, 10, 14), []);
    assert_eq!(
        handle(&mut request, Input::Broke { attempt: 1 }),
        [Action::Retry]
    );
    handle(&mut request, Input::Budget { granted: true });
    let actions = choose(&mut request, 2);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Start { offset: 10, .. }))
    );
}

#[test]
fn notice_moves_attempt() {
    let mut request = running(true);
    let endpoint = endpoint(1);
    let finishes = false;
    let actions = handle(&mut request, Input::Leaving { endpoint, finishes });
    assert!(matches!(&actions[..], [Action::Pick { exclude }] if exclude.len() == 1));
    assert_eq!(chunk(&mut request, 1, 0, 3).len(), 1);
    let actions = choose(&mut request, 2);
    assert!(actions.contains(&Action::Abort { attempt: 1 }));
    let late = chunk(&mut request, 1, 3, 3);
    assert_eq!(late, [Action::Count(Dropped::Superseded)]);
}

#[test]
fn gap_aborts_attempt() {
    let mut request = running(true);
    chunk(&mut request, 1, 0, 4);
    let actions = chunk(&mut request, 1, 8, 4);
    let abort = Action::Abort { attempt: 1 };
    assert_eq!(actions, [Action::Count(Dropped::Gap), abort, Action::Retry]);
}

#[test]
fn non_idempotent_not_retried() {
    let mut request = running(false);
    handle(&mut request, Input::Broke { attempt: 1 });
    let seq = request.seq();
    handle(&mut request, Input::Acked { seq });
    assert_eq!(request.end(), Some(End::Unknown(Cause::Failed)));
    assert_eq!(handle(&mut request, Input::Begin), []);
}

#[test]
fn attempts_bounded() {
    let mut request = running(true);
    for attempt in 1..4 {
        handle(&mut request, Input::Broke { attempt });
        handle(&mut request, Input::Budget { granted: true });
        choose(&mut request, attempt + 1);
    }
    handle(&mut request, Input::Broke { attempt: 4 });
    handle(&mut request, Input::Unreplicated);
    assert_eq!(request.end(), Some(End::Unknown(Cause::Failed)));
}

#[test]
fn unrecorded_change_acknowledged() {
    let mut request = running(true);
    let mut actions = Vec::new();
    let input = Input::Acked { seq: 99 };
    assert!(request.handle(Time::START, input, &mut actions).is_err());
    assert_eq!(actions[0], Action::Abort { attempt: 1 });
    handle(&mut request, Input::Unreplicated);
    assert_eq!(request.end(), Some(End::Unknown(Cause::Failed)));
}
