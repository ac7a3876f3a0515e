//! Admission and choice of endpoints, on the control thread.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::catalog::Workspace;
use coltsfoothall::choice::{self, Ask, Router, Run};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::limit::{self, Decision, Gate, Number, Outcome, Refusal, Ticket};
use coltsfoothall::prefix::{self, Block};
use coltsfoothall::record::{Cause, Intake, Work};
use coltsfoothall::retry::{self, Budget, Verdict};
use coltsfoothall::size::Tokens;
use coltsfoothall::step::Input;

/// Wait before the next choice when no endpoint can be chosen.
const NONE: Duration = Duration::from_millis(100);

/// How long an endpoint that broke an attempt is avoided.
const AVOID: Duration = Duration::from_secs(2);

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
        let ticket = ticket(intake, deadline);
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
                model: None,
                blocks: Vec::new(),
                prompt: Tokens(1),
                max_tokens: Tokens(1),
            },
        }
    }
}

/// What a request asks of the gate.
#[must_use]
pub fn ticket(intake: &Intake, deadline: Time) -> Ticket {
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
}

/// The retries of one service.
#[derive(Debug)]
struct Retries {
    service: id::Service,
    budget: Budget,
}

/// Admission and choice of endpoints.
#[derive(Debug)]
pub struct Dispatch {
    router: Router,
    gate: Gate,
    domain: id::Domain,
    /// Sorted by service.
    retries: Vec<Retries>,
    /// Admitted and not yet picked for, or queued; sorted by number.
    ready: Vec<Number>,
    waiting: Vec<Waiting>,
    /// Sorted by attempt.
    open: Vec<Open>,
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
            retries: Vec::new(),
            ready: Vec::new(),
            waiting: Vec::new(),
            open: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The router, for news of endpoints.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
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

    /// Own attempts at an endpoint.
    #[must_use]
    pub fn open_at(&self, endpoint: &id::Endpoint) -> usize {
        self.open.iter().filter(|open| open.run.endpoint == *endpoint).count()
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
                Ok(number)
            }
            Decision::Queue(number) => Ok(number),
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Chooses an endpoint, at once or when the request's turn comes.
    pub fn pick(&mut self, now: Time, pick: Pick, reply: UnboundedSender<Input>) {
        // A request that was carried on here has no place at the gate yet.
        let own = pick.number.is_none();
        let number = match pick.number {
            Some(number) => number,
            None => match self.admit(now, &pick.ticket) {
                Ok(number) => number,
                Err(refusal) => {
                    tell(&reply, refused(refusal));
                    return;
                }
            },
        };
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

    /// An attempt ended. Returns where it ran.
    pub fn ended(&mut self, now: Time, attempt: u64) -> Option<id::Endpoint> {
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
        Some(endpoint)
    }

    /// An endpoint broke an attempt: it is avoided for a while.
    pub fn broke(&mut self, now: Time, endpoint: &id::Endpoint) {
        self.router.suspect(endpoint, now + AVOID);
    }

    /// A request is over; its place at the gate is free.
    pub fn over(&mut self, now: Time, number: Number) {
        if let Ok(at) = self.ready.binary_search(&number) {
            self.ready.remove(at);
        }
        self.gate.ended(now, number);
        self.poll(now);
    }

    /// Whether a retry may be made.
    pub fn retry(&mut self, now: Time, service: &id::Service, attempts: u32) -> Verdict {
        let at = self.budget(service);
        self.retries[at].budget.retry(now, attempts, &mut self.random)
    }

    /// Lets waiting requests go on, or gives them up.
    pub fn poll(&mut self, now: Time) {
        for at in 0..self.retries.len() {
            let service = self.retries[at].service.clone();
            self.update_room(now, &service);
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
                    if let Some(waiting) = self.take_waiting(number) {
                        tell(&waiting.reply, refused(refusal));
                    }
                }
            }
        }
    }

    fn choose(&mut self, now: Time, waiting: Waiting) {
        let Waiting { number, own, pick, reply } = waiting;
        let ask = Ask {
            service: &pick.ticket.service,
            model: pick.model.as_ref(),
            blocks: &pick.blocks,
            prompt: pick.prompt,
            max_tokens: pick.max_tokens,
            class: pick.ticket.class,
            domain: &self.domain,
            exclude: &pick.exclude,
            alone: false,
        };
        let Some(chosen) = self.router.choose(now, &ask) else {
            let input = Input::NoPick { cause: Cause::NoEndpoint, retry_after: NONE };
            tell(&reply, input);
            if own {
                self.over(now, number);
            }
            return;
        };
        let run = self.router.began(now, &chosen.endpoint, &ask);
        let at = self.budget(&pick.ticket.service);
        self.retries[at].budget.sent(now);
        let input = Input::Picked { endpoint: chosen.endpoint, attempt: pick.attempt };
        let open = Open { attempt: pick.attempt, run, number, own };
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
                self.retries.insert(at, Retries { service: service.clone(), budget });
                at
            }
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
