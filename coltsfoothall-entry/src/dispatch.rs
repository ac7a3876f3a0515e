//! Admission and choice of endpoints, on the control thread.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::catalog::Workspace;
use coltsfoothall::choice::{self, Endpoint, Router};
use coltsfoothall::clock::Time;
use coltsfoothall::fingerprint::Mark;
use coltsfoothall::id;
use coltsfoothall::limit::{self, Decision, Gate, Number, Outcome, Refusal, Ticket};
use coltsfoothall::load::Report;
use coltsfoothall::record::Cause;
use coltsfoothall::retry::Verdict;
use coltsfoothall::size::Tokens;
use coltsfoothall::step::Input;
use coltsfoothall::suspicion;
use coltsfoothall_wire::cloud::Machine;

use crate::attempt::Attempts;
use crate::busy::{self, Busy};
use crate::claim::Claims;
use crate::death::{Found, Judge, Ruling};
use crate::endpoint::Ended;
pub use crate::pick::{Pick, ticket};
use crate::queue::{Queue, Waiting};
use crate::refusal::COME_BACK;
use crate::retries::Retries;
use crate::room::Rooms;

/// Wait before the next choice when no endpoint can be chosen.
const NONE: Duration = Duration::from_millis(100);

/// Wait before the next choice while evidence against the request is awaited.
const LATER: Duration = Duration::from_millis(50);

/// How long an endpoint that broke an attempt is avoided.
const AVOID: Duration = Duration::from_secs(2);

/// Admission and choice of endpoints.
#[derive(Debug)]
pub struct Dispatch {
    router: Router,
    gate: Gate,
    domain: id::Domain,
    judge: Judge,
    rooms: Rooms,
    retries: Retries,
    claims: Claims,
    queue: Queue,
    attempts: Attempts,
    random: Pcg64Mcg,
    /// Whether this instance is leaving.
    leaving: bool,
}

impl Dispatch {
    /// A dispatch without endpoints, in a failure domain.
    #[must_use]
    pub fn new(domain: id::Domain, seed: u64) -> Self {
        let settings = choice::Settings {
            seed,
            ..choice::Settings::default()
        };
        Self {
            router: Router::new(settings),
            gate: Gate::new(limit::Settings::default()),
            domain,
            judge: Judge::default(),
            rooms: Rooms::default(),
            retries: Retries::default(),
            claims: Claims::default(),
            queue: Queue::default(),
            attempts: Attempts::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            leaving: false,
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

    /// This instance is leaving: from now on no non-idempotent request begins.
    pub fn leave(&mut self) {
        self.leaving = true;
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
        self.router
            .set_entries(u32::try_from(count).unwrap_or(u32::MAX));
    }

    /// An endpoint reported its load.
    pub fn report(&mut self, now: Time, endpoint: &id::Endpoint, report: &Report) {
        self.router.record_report(now, endpoint, report);
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
        self.attempts.count()
    }

    /// Picks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.count()
    }

    /// Own attempts at an endpoint.
    #[must_use]
    pub fn open_at(&self, endpoint: &id::Endpoint) -> usize {
        self.attempts.at(endpoint)
    }

    /// Requests by service, sorted. `machines` is sorted by name.
    #[must_use]
    pub fn busy(&self, machines: &[Machine]) -> Vec<Busy> {
        busy::count(self.attempts.endpoints(), self.queue.services(), machines)
    }

    /// Admits a request, lets it wait, or refuses it.
    ///
    /// # Errors
    /// It is given up on; the refusal says when to come back.
    pub fn admit(&mut self, now: Time, ticket: &Ticket) -> Result<Number, Refusal> {
        self.update_room(now, &ticket.service);
        match self.gate.offer(now, ticket) {
            Decision::Admit(number) => {
                self.claims.set_ready(number);
                self.claims.hold(now, number);
                Ok(number)
            }
            Decision::Queue(number) => {
                self.claims.hold(now, number);
                Ok(number)
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Chooses an endpoint, at once or when the request's turn comes.
    pub fn pick(&mut self, now: Time, pick: Pick, reply: UnboundedSender<Input>) {
        if self.judge.verdict(now, pick.fingerprint) == suspicion::Verdict::Poisonous {
            tell(&reply, Input::Poisoned);
            return;
        }
        // A request that was carried on here has no place at the gate yet, and
        // one that was given up before it asked has none any more.
        let had = pick.number.filter(|number| self.claims.claim(*number));
        let own = had.is_none();
        let admitted = had.map_or_else(|| self.admit(now, &pick.ticket), Ok);
        let number = match admitted {
            Ok(number) => number,
            Err(refusal) => return tell(&reply, refused(refusal)),
        };
        self.claims.claim(number);
        let waiting = Waiting {
            number,
            own,
            pick,
            reply,
        };
        // A second pick of the same request keeps its place.
        if self.claims.is_ready(number) {
            self.choose(now, waiting);
        } else {
            self.queue.push(waiting);
        }
    }

    /// The first piece of an attempt's answer came.
    pub fn first(&mut self, now: Time, attempt: u64, cached: Tokens) {
        if let Some(open) = self.attempts.get(attempt) {
            self.router
                .record_first_token(now, &mut open.run, Some(cached));
            self.gate.record_prefill(now, open.number);
        }
    }

    /// An attempt ended. Returns its endpoint if that is to be tried for it.
    pub fn ended(&mut self, now: Time, attempt: u64, ended: Ended) -> Option<id::Endpoint> {
        if let Some(waiting) = self.queue.take_attempt(attempt) {
            if waiting.own {
                self.over(now, waiting.number);
            }
            return None;
        }
        let open = self.attempts.end(attempt)?;
        let endpoint = open.run.endpoint.clone();
        self.router.record_end(now, open.run);
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
                self.accuse(now, endpoint, None)
            }
            Ended::Broke => {
                self.attempts.broke(attempt, &endpoint, open.reply);
                self.accuse(now, endpoint, Some(attempt))
            }
        }
    }

    /// An endpoint may be dead. Returns it if it is to be tried.
    fn accuse(
        &mut self,
        now: Time,
        endpoint: id::Endpoint,
        broken: Option<u64>,
    ) -> Option<id::Endpoint> {
        self.router.mark_suspect(&endpoint, now + AVOID);
        self.judge.accuse(&endpoint, broken).then_some(endpoint)
    }

    /// A trial of an endpoint ended; true if it is dead.
    pub fn rule(&mut self, now: Time, endpoint: &id::Endpoint, found: Found) -> bool {
        let open = self.open_at(endpoint);
        match self.judge.rule(now, endpoint, found, open) {
            Ruling::Dead => true,
            Ruling::Lives(broken) => {
                for attempt in broken {
                    if let Some(reply) = self.attempts.lives(attempt) {
                        tell(&reply, Input::Broke { attempt });
                    }
                }
                false
            }
        }
    }

    /// An endpoint died. Returns the marks to tell peers of.
    pub fn died(&mut self, now: Time, endpoint: &id::Endpoint, announced: bool) -> Vec<Mark> {
        self.router.mark_suspect(endpoint, now + AVOID);
        let owed = self.attempts.dead(endpoint) + self.open_at(endpoint);
        if let Some(service) = self.rooms.service(endpoint).cloned() {
            self.retries.owe(now, &service, owed);
        }
        self.judge.died(now, endpoint, announced)
    }

    /// A request is over; its place at the gate is free.
    pub fn over(&mut self, now: Time, number: Number) {
        self.claims.drop(number);
        self.gate.record_end(now, number);
        self.poll(now);
    }

    /// Whether a retry may be made.
    pub fn retry(&mut self, now: Time, service: &id::Service, attempts: u32) -> Verdict {
        self.retries.ask(now, service, attempts, &mut self.random)
    }

    /// Lets waiting requests go on, or gives them up.
    pub fn poll(&mut self, now: Time) {
        for service in self.retries.services() {
            self.update_room(now, &service);
        }
        for number in self.claims.late(now) {
            self.claims.drop(number);
            self.gate.record_end(now, number);
        }
        for outcome in self.gate.poll(now) {
            match outcome {
                Outcome::Ready(number) => {
                    self.claims.set_ready(number);
                    if let Some(waiting) = self.queue.take(number) {
                        self.choose(now, waiting);
                    }
                }
                Outcome::Refused(number, refusal) => {
                    self.claims.drop(number);
                    if let Some(waiting) = self.queue.take(number) {
                        tell(&waiting.reply, refused(refusal));
                    }
                }
            }
        }
    }

    fn choose(&mut self, now: Time, waiting: Waiting) {
        // Its slot could not be handed over while it runs, and it would be cut off
        // with an unknown outcome. The desk refuses only what comes after the stop began;
        // this was taken in before and waited at the gate.
        if self.leaving && !waiting.pick.idempotent {
            return self.stop(now, &waiting, not_safe());
        }
        let alone = match self.judge.verdict(now, waiting.pick.fingerprint) {
            suspicion::Verdict::Poisonous => return self.stop(now, &waiting, Input::Poisoned),
            suspicion::Verdict::Later => return self.stop(now, &waiting, no_pick(LATER)),
            suspicion::Verdict::Isolated => true,
            suspicion::Verdict::Free => false,
        };
        let exclude = self.unfit(now, &waiting.pick, alone);
        let query = waiting.pick.query(&self.domain, &exclude, alone);
        let Some(chosen) = self.router.choose(now, &query) else {
            let wait = if alone { LATER } else { NONE };
            return self.stop(now, &waiting, no_pick(wait));
        };
        let run = self.router.record_start(now, &chosen.endpoint, &query);
        let (attempt, reply) = (waiting.pick.attempt, waiting.reply.clone());
        self.judge.started(
            now,
            attempt,
            &chosen.endpoint,
            waiting.pick.fingerprint,
            alone,
        );
        self.retries.sent(now, &waiting.pick.ticket.service);
        self.attempts.begin(waiting.open(run));
        tell(
            &reply,
            Input::Picked {
                endpoint: chosen.endpoint,
                attempt,
            },
        );
    }

    /// Tells a request why it gets no endpoint now, and gives its own place back.
    fn stop(&mut self, now: Time, waiting: &Waiting, input: Input) {
        tell(&waiting.reply, input);
        if waiting.own {
            self.over(now, waiting.number);
        }
    }

    /// Endpoints that a request is not to run at.
    fn unfit(&mut self, now: Time, pick: &Pick, alone: bool) -> Vec<id::Endpoint> {
        let mut unfit = pick.exclude.clone();
        unfit.extend(self.judge.dead().cloned());
        if alone {
            // If one of them is dead already, that would count against this request.
            unfit.extend(self.judge.tried().cloned());
            let at = |endpoint: &id::Endpoint| self.attempts.at(endpoint);
            self.rooms.unfit(now, &pick.ticket.service, &at, &mut unfit);
        } else {
            unfit.extend(self.rooms.reserved(now).cloned());
        }
        unfit
    }

    fn update_room(&mut self, now: Time, service: &id::Service) {
        self.retries.note(service);
        let budget = self.router.budget(now, service);
        self.gate.set_budget(service, budget);
    }
}

fn no_pick(retry_after: Duration) -> Input {
    Input::NoPick {
        cause: Cause::NoEndpoint,
        retry_after,
    }
}

/// For a request that may run once and has not begun.
fn not_safe() -> Input {
    Input::GivenUp {
        cause: Cause::NotSafe,
        retry_after: COME_BACK.duration(),
    }
}

fn refused(refusal: Refusal) -> Input {
    Input::GivenUp {
        cause: refusal.cause,
        retry_after: refusal.retry_after,
    }
}

fn tell(reply: &UnboundedSender<Input>, input: Input) {
    // The request may have ended meanwhile; its attempt is then given back by it.
    let _over = reply.send(input);
}
