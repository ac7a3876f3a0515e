//! Admission of requests and choice of their endpoints. Runs on the control thread.

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
use crate::death::{Conclusion, Detector, Finding};
use crate::endpoint::Ended;
use crate::isolation;
pub use crate::pick::{Pick, ticket};
use crate::queue::{Queue, Waiting};
use crate::refusal::RETRY_AFTER;
use crate::retries::Retries;

/// Delay before the next choice when no endpoint can be chosen.
const NO_ENDPOINT_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next choice while the request must wait for more evidence or for an
/// isolated endpoint.
const EVIDENCE_DELAY: Duration = Duration::from_millis(50);

/// How long an endpoint that broke an attempt is avoided.
const AVOID_PERIOD: Duration = Duration::from_secs(2);

/// Admits requests and chooses their endpoints.
#[derive(Debug)]
pub struct Dispatch {
    router: Router,
    gate: Gate,
    domain: id::Domain,
    detector: Detector,
    isolation: isolation::Endpoints,
    retries: Retries,
    claims: Claims,
    queue: Queue,
    attempts: Attempts,
    random: Pcg64Mcg,
    /// Whether this instance is leaving.
    leaving: bool,
}

impl Dispatch {
    /// Creates a dispatch without endpoints, for an instance in `domain`.
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
            detector: Detector::default(),
            isolation: isolation::Endpoints::default(),
            retries: Retries::default(),
            claims: Claims::default(),
            queue: Queue::default(),
            attempts: Attempts::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            leaving: false,
        }
    }

    /// The router, to update it about endpoints.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// The detector of dead endpoints.
    pub fn detector(&mut self) -> &mut Detector {
        &mut self.detector
    }

    /// Marks this instance as leaving: from now on no non-idempotent request is started.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.isolation.set_endpoints(&endpoints);
        let isolation = &self.isolation;
        self.detector
            .retain(|endpoint| isolation.contains(endpoint));
        self.router.set_endpoints(endpoints);
    }

    /// Sets the rank of this instance among all live entry instances, and their number.
    pub fn set_rank(&mut self, rank: usize, count: usize) {
        self.isolation.set_rank(rank, count);
        self.router
            .set_entries(u32::try_from(count).unwrap_or(u32::MAX));
    }

    /// Records the load that an endpoint reported.
    pub fn report(&mut self, now: Time, endpoint: &id::Endpoint, report: &Report) {
        self.router.record_report(now, endpoint, report);
        let total = report.running.saturating_add(report.waiting) as usize;
        let others = total.saturating_sub(self.open_at(endpoint));
        self.isolation.set_others(now, endpoint, others);
    }

    /// Sets the workspaces.
    pub fn set_workspaces(&mut self, workspaces: &[Workspace]) {
        self.gate.set_workspaces(workspaces);
    }

    /// Number of requests that wait at the gate.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.gate.waiting()
    }

    /// Number of admissions that the gate has granted.
    #[must_use]
    pub fn admitted(&self) -> usize {
        self.gate.open()
    }

    /// Number of running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.count()
    }

    /// Number of waiting picks.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.count()
    }

    /// Number of this instance's attempts at an endpoint.
    #[must_use]
    pub fn open_at(&self, endpoint: &id::Endpoint) -> usize {
        self.attempts.count_at(endpoint)
    }

    /// Counts this instance's requests by service, sorted. `machines` must be sorted by name.
    #[must_use]
    pub fn busy(&self, machines: &[Machine]) -> Vec<Busy> {
        busy::count(self.attempts.endpoints(), self.queue.services(), machines)
    }

    /// Admits a request, lets it wait, or refuses it.
    ///
    /// # Errors
    /// The request is refused; the refusal says when to retry.
    pub fn admit(&mut self, now: Time, ticket: &Ticket) -> Result<Number, Refusal> {
        self.update_budget(now, &ticket.service);
        match self.gate.offer(now, ticket) {
            Decision::Admit(number) => {
                self.claims.set_ready(number);
                self.claims.add(now, number);
                Ok(number)
            }
            Decision::Queue(number) => {
                self.claims.add(now, number);
                Ok(number)
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Chooses an endpoint, at once or when the gate grants the admission.
    pub fn pick(&mut self, now: Time, pick: Pick, reply: UnboundedSender<Input>) {
        if self.detector.verdict(now, pick.fingerprint) == suspicion::Verdict::Poisonous {
            send(&reply, Input::Poisoned);
            return;
        }
        // A request that was taken over has no admission here yet, and one that was given up
        // before it asked has lost it.
        let claimed = pick.number.filter(|number| self.claims.claim(*number));
        let ends_with_attempt = claimed.is_none();
        let admitted = claimed.map_or_else(|| self.admit(now, &pick.ticket), Ok);
        let number = match admitted {
            Ok(number) => number,
            Err(refusal) => return send(&reply, given_up(refusal)),
        };
        self.claims.claim(number);
        let waiting = Waiting {
            number,
            ends_with_attempt,
            pick,
            reply,
        };
        // A second pick of the same request keeps its admission.
        if self.claims.is_ready(number) {
            self.choose(now, waiting);
        } else {
            self.queue.push(waiting);
        }
    }

    /// Records that the first piece of an attempt's answer arrived.
    pub fn record_first_piece(&mut self, now: Time, attempt: u64, cached: Tokens) {
        if let Some(running) = self.attempts.get(attempt) {
            self.router
                .record_first_token(now, &mut running.run, Some(cached));
            self.gate.record_prefill(now, running.number);
        }
    }

    /// Records the end of an attempt. Returns its endpoint if that has to be probed now.
    pub fn record_end(&mut self, now: Time, attempt: u64, ended: Ended) -> Option<id::Endpoint> {
        if let Some(waiting) = self.queue.remove_attempt(attempt) {
            if waiting.ends_with_attempt {
                self.release(now, waiting.number);
            }
            return None;
        }
        let running = self.attempts.end(attempt)?;
        let endpoint = running.run.endpoint.clone();
        self.router.record_end(now, running.run);
        if running.ends_with_attempt {
            self.release(now, running.number);
        }
        match ended {
            Ended::Complete | Ended::Refused | Ended::Abandoned => {
                self.detector
                    .record_end(now, attempt, ended == Ended::Complete);
                None
            }
            Ended::Unsent => {
                // Nothing ran there, so this is no evidence against the request.
                self.detector.record_end(now, attempt, false);
                self.start_probe(now, endpoint, None)
            }
            Ended::Broke => {
                self.attempts.add_broken(attempt, &endpoint, running.reply);
                self.start_probe(now, endpoint, Some(attempt))
            }
        }
    }

    /// Starts a probe of an endpoint that may be dead. Returns the endpoint unless it is being
    /// probed already.
    fn start_probe(
        &mut self,
        now: Time,
        endpoint: id::Endpoint,
        broken: Option<u64>,
    ) -> Option<id::Endpoint> {
        self.router.mark_suspect(&endpoint, now + AVOID_PERIOD);
        self.detector
            .start_probe(&endpoint, broken)
            .then_some(endpoint)
    }

    /// Records the result of a probe. Returns whether the endpoint is dead.
    pub fn record_probe(&mut self, now: Time, endpoint: &id::Endpoint, finding: Finding) -> bool {
        let open = self.open_at(endpoint);
        match self.detector.record_finding(now, endpoint, finding, open) {
            Conclusion::Dead => true,
            Conclusion::Alive(broken) => {
                for attempt in broken {
                    if let Some(reply) = self.attempts.remove_broken(attempt) {
                        send(&reply, Input::Broke { attempt });
                    }
                }
                false
            }
        }
    }

    /// Records the death of an endpoint. Returns the marks to report to peers.
    pub fn record_death(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        announced: bool,
    ) -> Vec<Mark> {
        self.router.mark_suspect(endpoint, now + AVOID_PERIOD);
        let lost = self.attempts.remove_broken_at(endpoint) + self.open_at(endpoint);
        if let Some(service) = self.isolation.service(endpoint).cloned() {
            self.retries.grant(now, &service, lost);
        }
        self.detector.record_death(now, endpoint, announced)
    }

    /// Releases the admission of a request that is over.
    pub fn release(&mut self, now: Time, number: Number) {
        self.claims.remove(number);
        self.gate.record_end(now, number);
        self.poll(now);
    }

    /// Decides whether a retry may be made.
    pub fn retry(&mut self, now: Time, service: &id::Service, attempts: u32) -> Verdict {
        self.retries
            .request(now, service, attempts, &mut self.random)
    }

    /// Starts waiting requests that the gate now grants, and refuses those that it gives up.
    pub fn poll(&mut self, now: Time) {
        for service in self.retries.services() {
            self.update_budget(now, &service);
        }
        for number in self.claims.expired(now) {
            self.claims.remove(number);
            self.gate.record_end(now, number);
        }
        for outcome in self.gate.poll(now) {
            match outcome {
                Outcome::Ready(number) => {
                    self.claims.set_ready(number);
                    if let Some(waiting) = self.queue.remove(number) {
                        self.choose(now, waiting);
                    }
                }
                Outcome::Refused(number, refusal) => {
                    self.claims.remove(number);
                    if let Some(waiting) = self.queue.remove(number) {
                        send(&waiting.reply, given_up(refusal));
                    }
                }
            }
        }
    }

    fn choose(&mut self, now: Time, waiting: Waiting) {
        // Its slot could not be handed over while it runs, and it would be cut off with an unknown
        // outcome. New requests are refused from the start of a stop; this one was accepted
        // earlier and waited at the gate.
        if self.leaving && !waiting.pick.idempotent {
            return self.reject(now, &waiting, not_safe());
        }
        let isolated = match self.detector.verdict(now, waiting.pick.fingerprint) {
            suspicion::Verdict::Poisonous => return self.reject(now, &waiting, Input::Poisoned),
            suspicion::Verdict::Later => {
                return self.reject(now, &waiting, no_pick(EVIDENCE_DELAY));
            }
            suspicion::Verdict::Isolated => true,
            suspicion::Verdict::Free => false,
        };
        let exclude = self.excluded(now, &waiting.pick, isolated);
        let query = waiting.pick.query(&self.domain, &exclude, isolated);
        let Some(chosen) = self.router.choose(now, &query) else {
            let wait = if isolated {
                EVIDENCE_DELAY
            } else {
                NO_ENDPOINT_DELAY
            };
            return self.reject(now, &waiting, no_pick(wait));
        };
        let run = self.router.record_start(now, &chosen.endpoint, &query);
        let (attempt, reply) = (waiting.pick.attempt, waiting.reply.clone());
        self.detector.record_start(
            now,
            attempt,
            &chosen.endpoint,
            waiting.pick.fingerprint,
            isolated,
        );
        self.retries.record_sent(now, &waiting.pick.ticket.service);
        self.attempts.begin(waiting.start(run));
        send(
            &reply,
            Input::Picked {
                endpoint: chosen.endpoint,
                attempt,
            },
        );
    }

    /// Tells a request why it gets no endpoint now, and releases an admission that ends with
    /// its attempt.
    fn reject(&mut self, now: Time, waiting: &Waiting, input: Input) {
        send(&waiting.reply, input);
        if waiting.ends_with_attempt {
            self.release(now, waiting.number);
        }
    }

    /// Endpoints that a request must not run at.
    fn excluded(&mut self, now: Time, pick: &Pick, isolated: bool) -> Vec<id::Endpoint> {
        let mut excluded = pick.exclude.clone();
        excluded.extend(self.detector.dead().cloned());
        if isolated {
            // If one of them turns out to be dead, its death would count against this request.
            excluded.extend(self.detector.probed().cloned());
            let own = |endpoint: &id::Endpoint| self.attempts.count_at(endpoint);
            self.isolation
                .exclude_unfit(now, &pick.ticket.service, &own, &mut excluded);
        } else {
            excluded.extend(self.isolation.reserved(now).cloned());
        }
        excluded
    }

    fn update_budget(&mut self, now: Time, service: &id::Service) {
        self.retries.add_service(service);
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

/// The input for a request that may run only once and has not started.
fn not_safe() -> Input {
    Input::GivenUp {
        cause: Cause::NotSafe,
        retry_after: RETRY_AFTER.duration(),
    }
}

fn given_up(refusal: Refusal) -> Input {
    Input::GivenUp {
        cause: refusal.cause,
        retry_after: refusal.retry_after,
    }
}

fn send(reply: &UnboundedSender<Input>, input: Input) {
    // The request may have ended meanwhile; it then ends its attempt itself.
    let _over = reply.send(input);
}
