//! Admission and choice of endpoints, on the control thread.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::catalog::Workspace;
use coltsfoothall::choice::{self, Ask, Endpoint, Router, Run};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::limit::{self, Decision, Gate, Number, Outcome, Refusal, Ticket};
use coltsfoothall::load::Report;
use coltsfoothall::prefix::{self, Block};
use coltsfoothall::print::{Mark, Print};
use coltsfoothall::record::{Cause, Intake, Work};
use coltsfoothall::retry::{self, Budget, Verdict};
use coltsfoothall::size::Tokens;
use coltsfoothall::step::Input;
use coltsfoothall_wire::cloud::Machine;

use crate::view::Busy;
use coltsfoothall::suspicion;

use crate::death::{Found, Judge, Ruling};
use crate::endpoint::Ended;
use crate::room::Rooms;

/// Wait before the next choice when no endpoint can be chosen.
const NONE: Duration = Duration::from_millis(100);

/// Wait before the next choice while evidence against the request is awaited.
const LATER: Duration = Duration::from_millis(50);

/// How long an endpoint that broke an attempt is avoided.
const AVOID: Duration = Duration::from_secs(2);

/// Time in which an admitted request asks for its endpoint. One that does not
/// was dropped on its way, and its place would be taken for ever.
const CLAIM: Duration = Duration::from_secs(30);

/// Prompt tokens that an engine under full load reads between two tokens.
const PIECE: Tokens = Tokens(2_048);

/// Most tokens that count for how long an answer takes; more overflow nothing.
const LONGEST: u32 = 1 << 16;

/// Time in which retries are owed to requests whose endpoint died.
const OWED: Duration = Duration::from_secs(5);

/// A request that asks for an endpoint.
#[derive(Debug)]
pub struct Pick {
    /// Its place at the gate, if it was admitted here.
    pub number: Option<Number>,
    /// What it asks of the gate.
    pub ticket: Ticket,
    /// Number of the attempt to be made.
    pub attempt: u64,
    /// Endpoints that are not to be chosen, sorted.
    pub exclude: Vec<id::Endpoint>,
    /// The marks of its content.
    pub print: Print,
    model: Option<id::Model>,
    blocks: Vec<Block>,
    prompt: Tokens,
    max_tokens: Tokens,
}

impl Pick {
    /// What a request asks for. `text` is what was generated already.
    #[must_use]
    pub fn new(
        intake: &Intake,
        text: &str,
        attempt: u64,
        exclude: Vec<id::Endpoint>,
        deadline: Time,
    ) -> Self {
        // One that is carried on is owed its place until its deadline.
        let ticket = demand(intake, deadline);
        let print = Print::new(intake);
        match &intake.work {
            Work::Completion { model, adapter, prompt, max_tokens } => {
                let seed = prefix::seed(model, adapter.as_ref());
                let blocks = if text.is_empty() {
                    prefix::blocks(seed, prompt)
                } else {
                    prefix::blocks(seed, &format!("{prompt}{text}"))
                };
                Self {
                    number: None,
                    ticket,
                    attempt,
                    exclude,
                    print,
                    model: Some(model.clone()),
                    blocks,
                    prompt: prefix::tokens(prompt),
                    max_tokens: Tokens(*max_tokens),
                }
            }
            Work::Call { .. } => Self {
                number: None,
                ticket,
                attempt,
                exclude,
                print,
                model: None,
                blocks: Vec::new(),
                prompt: Tokens(1),
                max_tokens: Tokens(1),
            },
        }
    }
}

/// What a new request asks of the gate: to begin early enough for its answer to
/// be whole at its deadline.
#[must_use]
pub fn ticket(intake: &Intake, deadline: Time) -> Ticket {
    let span = intake.deadline.duration();
    demand(intake, deadline - expected(intake).min(span / 2))
}

/// How long an answer takes once it begins, at full load: it waits behind what
/// one endpoint reads at once, and a piece of others' prompts is read between
/// any two of its tokens.
fn expected(intake: &Intake) -> Duration {
    let settings = choice::Settings::default();
    let reading = |tokens: Tokens| Duration::from_secs_f64(tokens.0 as f64 * settings.read / 1e6);
    match &intake.work {
        Work::Completion { prompt, max_tokens, .. } => {
            let tokens = u32::try_from(*max_tokens).unwrap_or(u32::MAX).min(LONGEST);
            let each = settings.step.duration() + reading(PIECE);
            reading(settings.depth) + reading(prefix::tokens(prompt)) + each * tokens
        }
        Work::Call { .. } => Duration::ZERO,
    }
}

fn demand(intake: &Intake, deadline: Time) -> Ticket {
    let cost = match &intake.work {
        Work::Completion { prompt, .. } => prefix::tokens(prompt),
        Work::Call { .. } => Tokens(1),
    };
    Ticket {
        workspace: intake.name.workspace.clone(),
        class: intake.class,
        service: intake.service.clone(),
        deadline,
        cost,
    }
}

/// A pick that waits at the gate.
#[derive(Debug)]
struct Waiting {
    number: Number,
    own: bool,
    pick: Pick,
    reply: UnboundedSender<Input>,
}

/// An attempt under way.
#[derive(Debug)]
struct Open {
    attempt: u64,
    run: Run,
    number: Number,
    /// Whether the place at the gate ends with the attempt, not the request.
    own: bool,
    /// Gets what a later finding says of the attempt.
    reply: UnboundedSender<Input>,
}

/// An attempt that broke and whose endpoint is on trial.
#[derive(Debug)]
struct Broken {
    attempt: u64,
    endpoint: id::Endpoint,
    reply: UnboundedSender<Input>,
}

/// A place at the gate.
#[derive(Debug)]
struct Held {
    number: Number,
    /// Until when its request has to ask for an endpoint, if it did not yet.
    claim: Option<Time>,
}

/// The retries of one service.
#[derive(Debug)]
struct Retries {
    service: id::Service,
    budget: Budget,
    /// Retries owed to requests whose endpoint died, which are no one's fault.
    owed: usize,
    owed_until: Time,
}

/// Admission and choice of endpoints.
#[derive(Debug)]
pub struct Dispatch {
    router: Router,
    gate: Gate,
    domain: id::Domain,
    judge: Judge,
    rooms: Rooms,
    /// Sorted by service.
    retries: Vec<Retries>,
    /// Sorted by number.
    held: Vec<Held>,
    /// Admitted and not yet picked for, or queued; sorted by number.
    ready: Vec<Number>,
    waiting: Vec<Waiting>,
    /// Sorted by attempt.
    open: Vec<Open>,
    broken: Vec<Broken>,
    random: Pcg64Mcg,
}

impl Dispatch {
    /// A dispatch without endpoints, in a failure domain.
    #[must_use]
    pub fn new(domain: id::Domain, seed: u64) -> Self {
        let settings = choice::Settings { seed, ..choice::Settings::default() };
        Self {
            router: Router::new(settings),
            gate: Gate::new(limit::Settings::default()),
            domain,
            judge: Judge::default(),
            rooms: Rooms::default(),
            retries: Vec::new(),
            held: Vec::new(),
            ready: Vec::new(),
            waiting: Vec::new(),
            open: Vec::new(),
            broken: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The router, for news of endpoints.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// The judge of endpoints' deaths.
    pub fn judge(&mut self) -> &mut Judge {
        &mut self.judge
    }

    /// Takes the list of endpoints.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.rooms.set(&endpoints);
        let rooms = &self.rooms;
        self.judge.keep(|endpoint| rooms.has(endpoint));
        self.router.set_endpoints(endpoints);
    }

    /// Sets this instance's place among all entry instances, and their number.
    pub fn set_place(&mut self, place: usize, count: usize) {
        self.rooms.set_place(place, count);
        self.router.set_entries(u32::try_from(count).unwrap_or(u32::MAX));
    }

    /// An endpoint reported its load.
    pub fn report(&mut self, now: Time, endpoint: &id::Endpoint, report: &Report) {
        self.router.report(now, endpoint, report);
        let all = report.running.saturating_add(report.waiting) as usize;
        let others = all.saturating_sub(self.open_at(endpoint));
        self.rooms.note(now, endpoint, others);
    }

    /// Sets the workspaces.
    pub fn set_workspaces(&mut self, workspaces: &[Workspace]) {
        self.gate.set_workspaces(workspaces);
    }

    /// Requests that wait for an endpoint.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.gate.waiting()
    }

    /// Places taken at the gate.
    #[must_use]
    pub fn held(&self) -> usize {
        self.gate.open()
    }

    /// Attempts under way.
    #[must_use]
    pub fn running(&self) -> usize {
        self.open.len()
    }

    /// Picks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Own attempts at an endpoint.
    #[must_use]
    pub fn open_at(&self, endpoint: &id::Endpoint) -> usize {
        self.open.iter().filter(|open| open.run.endpoint == *endpoint).count()
    }

    /// Requests by service, sorted. `machines` is sorted by name.
    #[must_use]
    pub fn busy(&self, machines: &[Machine]) -> Vec<Busy> {
        let mut busy: Vec<Busy> = Vec::new();
        for open in &self.open {
            let name = open.run.endpoint.as_str();
            if let Ok(at) = machines.binary_search_by(|m| m.id.as_str().cmp(name)) {
                row(&mut busy, &machines[at].service).open += 1;
            }
        }
        for waiting in &self.waiting {
            row(&mut busy, &waiting.pick.ticket.service).queued += 1;
        }
        busy
    }

    /// Admits a request, lets it wait, or refuses it.
    ///
    /// # Errors
    /// It is given up on; the refusal says when to come back.
    pub fn admit(&mut self, now: Time, ticket: &Ticket) -> Result<Number, Refusal> {
        self.update_room(now, &ticket.service);
        match self.gate.offer(now, ticket) {
            Decision::Admit(number) => {
                self.note_ready(number);
                self.note_held(now, number);
                Ok(number)
            }
            Decision::Queue(number) => {
                self.note_held(now, number);
                Ok(number)
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Chooses an endpoint, at once or when the request's turn comes.
    pub fn pick(&mut self, now: Time, pick: Pick, reply: UnboundedSender<Input>) {
        if self.judge.verdict(now, pick.print) == suspicion::Verdict::Poisonous {
            tell(&reply, Input::Poisoned);
            return;
        }
        // A request that was carried on here has no place at the gate yet, and
        // one that was given up before it asked has none any more.
        let had = pick.number.filter(|number| self.claim(*number));
        let own = had.is_none();
        let number = match had {
            Some(number) => number,
            None => match self.admit(now, &pick.ticket) {
                Ok(number) => number,
                Err(refusal) => {
                    tell(&reply, refused(refusal));
                    return;
                }
            },
        };
        self.claim(number);
        let waiting = Waiting { number, own, pick, reply };
        // A second pick of the same request keeps its place.
        if self.ready.binary_search(&number).is_ok() {
            self.choose(now, waiting);
        } else {
            self.waiting.push(waiting);
        }
    }

    /// The first piece of an attempt's answer came.
    pub fn first(&mut self, now: Time, attempt: u64, cached: Tokens) {
        if let Ok(at) = self.find(attempt) {
            let open = &mut self.open[at];
            self.router.first(now, &mut open.run, Some(cached));
            self.gate.read(now, open.number);
        }
    }

    /// An attempt ended. Returns its endpoint if that is to be tried for it.
    pub fn ended(&mut self, now: Time, attempt: u64, ended: Ended) -> Option<id::Endpoint> {
        if let Some(at) = self.waiting.iter().position(|w| w.pick.attempt == attempt) {
            let waiting = self.waiting.remove(at);
            if waiting.own {
                self.over(now, waiting.number);
            }
            return None;
        }
        let at = self.find(attempt).ok()?;
        let open = self.open.remove(at);
        let endpoint = open.run.endpoint.clone();
        self.router.ended(now, open.run);
        if open.own {
            self.over(now, open.number);
        }
        match ended {
            Ended::Whole | Ended::Refused | Ended::Unheard => {
                self.judge.ended(now, attempt, ended == Ended::Whole);
                None
            }
            Ended::Unsent => {
                // Nothing of it ran there, so it is no evidence.
                self.judge.ended(now, attempt, false);
                self.router.suspect(&endpoint, now + AVOID);
                self.judge.accuse(&endpoint, None).then_some(endpoint)
            }
            Ended::Broke => {
                self.broken.push(Broken { attempt, endpoint: endpoint.clone(), reply: open.reply });
                self.router.suspect(&endpoint, now + AVOID);
                self.judge.accuse(&endpoint, Some(attempt)).then_some(endpoint)
            }
        }
    }

    /// A trial of an endpoint ended; true if it is dead.
    pub fn rule(&mut self, now: Time, endpoint: &id::Endpoint, found: Found) -> bool {
        let open = self.open_at(endpoint);
        match self.judge.rule(now, endpoint, found, open) {
            Ruling::Dead => true,
            Ruling::Lives(broken) => {
                for attempt in broken {
                    let Some(at) = self.broken.iter().position(|b| b.attempt == attempt) else {
                        continue;
                    };
                    let broken = self.broken.swap_remove(at);
                    tell(&broken.reply, Input::Broke { attempt });
                }
                false
            }
        }
    }

    /// An endpoint died. Returns the marks to tell peers of.
    pub fn died(&mut self, now: Time, endpoint: &id::Endpoint, announced: bool) -> Vec<Mark> {
        self.router.suspect(endpoint, now + AVOID);
        let before = self.broken.len();
        self.broken.retain(|broken| broken.endpoint != *endpoint);
        let owed = before - self.broken.len() + self.open_at(endpoint);
        if let Some(service) = self.rooms.service(endpoint).cloned() {
            let at = self.budget(&service);
            self.retries[at].owed += owed;
            self.retries[at].owed_until = now + OWED;
        }
        self.judge.died(now, endpoint, announced)
    }

    /// A request is over; its place at the gate is free.
    pub fn over(&mut self, now: Time, number: Number) {
        if let Ok(at) = self.ready.binary_search(&number) {
            self.ready.remove(at);
        }
        self.drop_held(number);
        self.gate.ended(now, number);
        self.poll(now);
    }

    /// Whether a retry may be made.
    pub fn retry(&mut self, now: Time, service: &id::Service, attempts: u32) -> Verdict {
        let at = self.budget(service);
        let retries = &mut self.retries[at];
        if retries.owed > 0 && now < retries.owed_until {
            retries.owed -= 1;
            return Verdict::After(Duration::ZERO);
        }
        retries.owed = 0;
        retries.budget.retry(now, attempts, &mut self.random)
    }

    /// Lets waiting requests go on, or gives them up.
    pub fn poll(&mut self, now: Time) {
        for at in 0..self.retries.len() {
            let service = self.retries[at].service.clone();
            self.update_room(now, &service);
        }
        let late = |held: &&Held| held.claim.is_some_and(|claim| claim <= now);
        let late: Vec<Number> = self.held.iter().filter(late).map(|held| held.number).collect();
        for number in late {
            self.drop_held(number);
            if let Ok(at) = self.ready.binary_search(&number) {
                self.ready.remove(at);
            }
            self.gate.ended(now, number);
        }
        for outcome in self.gate.poll(now) {
            match outcome {
                Outcome::Ready(number) => {
                    self.note_ready(number);
                    if let Some(waiting) = self.take_waiting(number) {
                        self.choose(now, waiting);
                    }
                }
                Outcome::Refused(number, refusal) => {
                    self.drop_held(number);
                    if let Some(waiting) = self.take_waiting(number) {
                        tell(&waiting.reply, refused(refusal));
                    }
                }
            }
        }
    }

    fn choose(&mut self, now: Time, waiting: Waiting) {
        let Waiting { number, own, pick, reply } = waiting;
        let verdict = self.judge.verdict(now, pick.print);
        let alone = verdict == suspicion::Verdict::Alone;
        if matches!(verdict, suspicion::Verdict::Poisonous | suspicion::Verdict::Later) {
            let later = Input::NoPick { cause: Cause::NoEndpoint, retry_after: LATER };
            let poisoned = verdict == suspicion::Verdict::Poisonous;
            tell(&reply, if poisoned { Input::Poisoned } else { later });
            if own {
                self.over(now, number);
            }
            return;
        }
        let service = &pick.ticket.service;
        let mut exclude = pick.exclude.clone();
        exclude.extend(self.judge.dead().cloned());
        if alone {
            let open = &self.open;
            let at = |endpoint: &id::Endpoint| {
                open.iter().filter(|open| open.run.endpoint == *endpoint).count()
            };
            self.rooms.unfit(now, service, &at, &mut exclude);
        } else {
            exclude.extend(self.rooms.reserved(now).cloned());
        }
        let ask = Ask {
            service: &pick.ticket.service,
            model: pick.model.as_ref(),
            blocks: &pick.blocks,
            prompt: pick.prompt,
            max_tokens: pick.max_tokens,
            class: pick.ticket.class,
            domain: &self.domain,
            exclude: &exclude,
            alone,
        };
        let Some(chosen) = self.router.choose(now, &ask) else {
            let retry_after = if alone { LATER } else { NONE };
            let input = Input::NoPick { cause: Cause::NoEndpoint, retry_after };
            tell(&reply, input);
            if own {
                self.over(now, number);
            }
            return;
        };
        let run = self.router.began(now, &chosen.endpoint, &ask);
        self.judge.started(now, pick.attempt, &chosen.endpoint, pick.print, alone);
        let at = self.budget(&pick.ticket.service);
        self.retries[at].budget.sent(now);
        let input = Input::Picked { endpoint: chosen.endpoint, attempt: pick.attempt };
        let open = Open { attempt: pick.attempt, run, number, own, reply: reply.clone() };
        if let Err(at) = self.find(open.attempt) {
            self.open.insert(at, open);
        }
        tell(&reply, input);
    }

    fn update_room(&mut self, now: Time, service: &id::Service) {
        self.budget(service);
        let room = self.router.room(now, service);
        self.gate.set_room(service, room);
    }

    fn budget(&mut self, service: &id::Service) -> usize {
        match self.retries.binary_search_by(|have| have.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let budget = Budget::new(retry::Settings::default());
                let retries =
                    Retries { service: service.clone(), budget, owed: 0, owed_until: Time::START };
                self.retries.insert(at, retries);
                at
            }
        }
    }

    fn note_held(&mut self, now: Time, number: Number) {
        if let Err(at) = self.held.binary_search_by_key(&number, |held| held.number) {
            self.held.insert(at, Held { number, claim: Some(now + CLAIM) });
        }
    }

    /// A request asks for its endpoint; false if it has no place any more.
    fn claim(&mut self, number: Number) -> bool {
        let place = self.held.binary_search_by_key(&number, |held| held.number);
        place.map(|at| self.held[at].claim = None).is_ok()
    }

    fn drop_held(&mut self, number: Number) {
        if let Ok(at) = self.held.binary_search_by_key(&number, |held| held.number) {
            self.held.remove(at);
        }
    }

    fn note_ready(&mut self, number: Number) {
        if let Err(at) = self.ready.binary_search(&number) {
            self.ready.insert(at, number);
        }
    }

    fn take_waiting(&mut self, number: Number) -> Option<Waiting> {
        let at = self.waiting.iter().position(|waiting| waiting.number == number)?;
        Some(self.waiting.remove(at))
    }

    fn find(&self, attempt: u64) -> Result<usize, usize> {
        self.open.binary_search_by_key(&attempt, |open| open.attempt)
    }
}

fn refused(refusal: Refusal) -> Input {
    Input::GivenUp { cause: refusal.cause, retry_after: refusal.retry_after }
}

fn tell(reply: &UnboundedSender<Input>, input: Input) {
    // The request may have ended meanwhile; its attempt is then given back by it.
    let _over = reply.send(input);
}

fn row<'a>(busy: &'a mut Vec<Busy>, service: &id::Service) -> &'a mut Busy {
    let found = busy.binary_search_by(|row| row.service.cmp(service));
    let at = found.unwrap_or_else(|at| {
        busy.insert(at, Busy { service: service.clone(), open: 0, queued: 0 });
        at
    });
    &mut busy[at]
}
