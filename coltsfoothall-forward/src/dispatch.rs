//! Sends a request to one endpoint after another until one runs it.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{Pick, Unavailable};
use coltsfoothall::forward::reach::SILENCE_TIMEOUT;
use coltsfoothall::forward::roster::End;
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::forward::version::{self, Binding};
use coltsfoothall::id;
use coltsfoothall_shell::event;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{self, Job, Sent, Share};
use crate::culprit;
use crate::handover;
use crate::origin::Origin;
use crate::pool::{Fault, Target};
use crate::probe;
use crate::reach;
use crate::refusal::{Refusal, bad_gateway, unavailable};
use crate::retries::Reason;
use crate::shortage;
use crate::state::State;
use crate::suspicion;

/// Maximum number of times that a request is sent, including those that endpoints reject.
const MAX_SENDS: usize = 5;
/// One request in this many logs the choice of its first endpoint: two lines a second at 120
/// requests a second.
const REQUESTS_PER_CHOICE_LOG: u64 = 64;
/// `Retry-After` when all endpoints are full: about the time of one batch of short answers.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Share of the time until endpoints want requests again by which the times differ that callers are
/// told.
const RETRY_SPREAD: f64 = 0.25;
/// `Retry-After` when there is no endpoint.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Multiple of the route's target latency, or of the expected wait, after which an endpoint counts
/// as silent. A retry then still completes within the timeout of most callers.
const SILENCE_FACTOR: u32 = 2;
/// Multiple of the route's target latency that the first event may be expected to take.
const MAX_FIRST_EVENT_FACTOR: f64 = 1.5;
/// `Retry-After` for a request that exceeds the memory of every engine: only larger engines would
/// help.
const TOO_LARGE_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Response timeout of an endpoint when no other may run the request.
const LAST_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(30);
/// Reason of a refusal after endpoints rejected the request.
const REJECTED: &str = "turned away";

/// Attempts of a request so far.
#[derive(Debug)]
pub struct Trail {
    /// Endpoints that failed or rejected it.
    pub exclude: Vec<id::Endpoint>,
    /// Instances that it was handed to.
    pub recipients: Vec<id::Instance>,
    /// Whether its first attempt is counted towards the retry budget.
    pub counted: bool,
    /// Number of times that it was sent.
    pub sends: usize,
    /// Number of times that it was sent and may have run.
    pub runs: u32,
    /// Which version may run it from now on.
    pub binding: Binding,
}

impl Trail {
    /// The trail of a request before its first attempt here.
    #[must_use]
    pub fn new(job: &Job) -> Self {
        let counted = match &job.origin {
            Origin::Caller => false,
            Origin::Instance(terms) => terms.counted,
        };
        Self {
            exclude: Vec::new(),
            recipients: Vec::new(),
            counted,
            sends: 0,
            runs: 0,
            binding: job.binding.clone(),
        }
    }

    /// Leaves a target out from now on.
    pub fn exclude(&mut self, target: Target) {
        match target {
            Target::Endpoint(endpoint) => self.exclude.push(endpoint),
            Target::Instance(instance) => self.recipients.push(instance),
        }
    }
}

/// How long to wait for the headers of a response before another endpoint may take over. A request
/// that may run only once, or has no attempt left, waits until its deadline.
fn response_timeout(job: &Job, trail: &Trail, pick: &Pick) -> Duration {
    let last = trail.runs + 1 >= job.attempts;
    if last || !job.route.kind.repeats() {
        return LAST_ATTEMPT_TIMEOUT;
    }
    job.route.target_latency.duration().max(pick.wait) * SILENCE_FACTOR
}

/// Whether the first event is expected too late to be of use.
fn is_late(state: &State, job: &Job, pick: &Pick) -> bool {
    if job.memory.is_none() {
        return false;
    }
    if state.roster.borrow().has_queueing() {
        return !job.target().admits(state.now(), &pick.waits());
    }
    pick.wait
        > job
            .route
            .target_latency
            .duration()
            .mul_f64(MAX_FIRST_EVENT_FACTOR)
}

/// The refusal of a request that must not be sent once more, as its content or a part of its prompt
/// crashes endpoints.
fn forbid(state: &State, job: &Job, trail: &Trail) -> Option<Refusal> {
    if suspicion::is_poisonous(state, job.id(), job.fingerprint) {
        return Some(suspicion::refusal(trail.runs));
    }
    culprit::refuse(state, job.id(), &job.marks, trail.runs)
}

/// Whether a request that may have run can be retried at another endpoint.
pub fn may_repeat(state: &State, job: &Job, trail: &Trail, reason: Reason) -> bool {
    job.route.kind.repeats()
        && trail.runs < job.attempts
        && forbid(state, job, trail).is_none()
        && state.may_retry(job.id(), &job.service, reason)
}

/// Whether another endpoint takes over from a silent one that may still answer: only if one has
/// room for the request now and a retry is left, which is then used up.
pub fn take_over(state: &State, job: &Job, trail: &Trail, silent: &id::Endpoint) -> bool {
    let mut exclude = trail.exclude.clone();
    exclude.push(silent.clone());
    let is_possible = choose(state, job, &trail.binding, &exclude).is_ok()
        || handover::can_take_over(state, job, trail);
    is_possible && may_repeat(state, job, trail, Reason::Silent)
}

/// The versions that may run a request now, in order of preference.
fn versions(state: &State, job: &Job, binding: &Binding) -> Vec<Versions> {
    match binding {
        Binding::Free => {
            let upgrades = state.upgrades.borrow();
            upgrades.versions(&job.service, &job.route.name)
        }
        Binding::Only(version) => vec![Versions::Exactly(version.clone())],
        Binding::Unknown => Vec::new(),
    }
}

/// Chooses an endpoint among the versions that may run the request now; one that is leaving as its
/// answers say only if no other can run it.
fn choose(
    state: &State,
    job: &Job,
    binding: &Binding,
    exclude: &[id::Endpoint],
) -> Result<Pick, Unavailable> {
    let versions = versions(state, job, binding);
    let roster = state.roster.borrow();
    let mut found = Err(Unavailable::Absent);
    for versions in &versions {
        found = roster.choose(state.now(), &job.query(&state.domain, exclude, versions));
        if found.is_ok() {
            return found;
        }
    }
    let limit = state.departure_limit();
    let mut leaving = versions.iter().filter_map(|versions| {
        let query = job.query(&state.domain, exclude, versions);
        roster.choose_leaving(state.now(), &query, limit).ok()
    });
    leaving.next().map_or(found, Ok)
}

/// Chooses an endpoint to which a connection is still open, if no other instance can run the
/// request: connections may live on while new ones are refused.
fn choose_kept(state: &State, job: &Job, trail: &Trail) -> Option<Pick> {
    let kept = {
        let now = tokio::time::Instant::now();
        state.pool.borrow().kept(now)
    };
    let versions = versions(state, job, &trail.binding);
    let roster = state.roster.borrow();
    let mut picks = versions.iter().filter_map(|versions| {
        let query = job.query(&state.domain, &trail.exclude, versions);
        roster.choose_kept(state.now(), &query, &kept).ok()
    });
    picks.next()
}

/// Sends a request to one endpoint; none if it stays silent and another one takes over.
async fn send(
    state: &Rc<State>,
    job: &Job,
    pick: &Pick,
    trail: &mut Trail,
    after: Option<&str>,
) -> Option<Result<Sent, (Fault, Share)>> {
    let exclude = trail.exclude.clone();
    let response_timeout = response_timeout(job, trail, pick);
    let mut sending = pin!(attempt::send(state, job, pick, &exclude, after));
    // A connection that was opened before a cut hangs, but a new one fails at once.
    let until_check = response_timeout.min(SILENCE_TIMEOUT);
    if let Ok(outcome) = tokio::time::timeout(until_check, sending.as_mut()).await {
        return Some(outcome);
    }
    reach::check_silent(state, &pick.endpoint);
    let mut wait = response_timeout.saturating_sub(until_check);
    loop {
        if let Ok(outcome) = tokio::time::timeout(wait, sending.as_mut()).await {
            return Some(outcome);
        }
        wait = response_timeout;
        // The request may be running there.
        trail.runs += 1;
        if take_over(state, job, trail, &pick.endpoint) {
            return None;
        }
        trail.runs -= 1;
    }
}

/// The refusal of a request while no endpoint wants any before `resumes`. Callers are told different
/// times, so that they do not return at one moment.
fn back_off(state: &State, resumes: Time) -> Refusal {
    state.board.refused_in_backoff();
    let left = resumes.since(state.now());
    let spread = left.mul_f64(RETRY_SPREAD).max(FULL_RETRY_DELAY);
    let retry_after = left + spread.mul_f64(rand::rng().random());
    unavailable("no endpoint wants requests now", retry_after)
}

/// The refusal of a request that an endpoint rejected and that is not sent once more.
fn reject(state: &State, job: &Job, trail: &Trail, reason: &'static str) -> Refusal {
    match choose(state, job, &trail.binding, &[]) {
        Err(Unavailable::BackedOff(resumes)) => back_off(state, resumes),
        Ok(_) | Err(_) if reason == REJECTED => {
            shortage::refuse(state, job, reason, FULL_RETRY_DELAY)
        }
        Ok(_) | Err(_) => unavailable(reason, FULL_RETRY_DELAY),
    }
}

/// Records a refusal for lack of capacity. A request that was sent before counts as sent, and what
/// its endpoints answered is no shortage.
fn record_shortage(state: &State, job: &Job, trail: &Trail) {
    if trail.sends == 0 {
        state.record_shortage(job);
    }
}

/// Logs the chosen endpoint: for every retry, and for the first send of one request in
/// [`REQUESTS_PER_CHOICE_LOG`], sampled by request id so that all instances log the same requests.
fn log_choice(state: &State, job: &Job, trail: &Trail, pick: &Pick) {
    if trail.sends == 1 && !xxh3_64(job.id().as_bytes()).is_multiple_of(REQUESTS_PER_CHOICE_LOG) {
        return;
    }
    event::CHOSEN.emit(format_args!(
        "request={} endpoint={} version={} service={} among={} wait_ms={} unread={} sending={} excluded={} pace={}",
        job.id(),
        pick.endpoint,
        version::name(pick.version.as_ref()),
        job.service,
        pick.among,
        pick.wait.as_millis(),
        pick.unread.0,
        trail.sends,
        trail.exclude.len(),
        state.roster.borrow().latency_model(&job.service),
    ));
}

/// Sends a request until an endpoint runs it, and returns the headers of its response. A stream
/// resumes after the event `after`, if given.
///
/// # Errors
/// No endpoint accepted the request, or the last one interrupted it.
pub async fn next(
    state: &Rc<State>,
    job: &Job,
    trail: &mut Trail,
    after: Option<&str>,
) -> Result<Sent, Refusal> {
    loop {
        // The first send follows the admission, which has checked this.
        if trail.sends > 0
            && let Some(refusal) = forbid(state, job, trail)
        {
            return Err(refusal);
        }
        let mut chosen = choose(state, job, &trail.binding, &trail.exclude);
        if let Err(reason) = chosen {
            let handed = handover::send(state, job, trail, reason, after).await;
            if let Some(Ok(sent)) = handed {
                if !trail.counted {
                    state.record_offered(job);
                }
                return Ok(sent);
            }
            // A request that was handed over and may have run there is not sent again.
            let may_have_run = matches!(handed, Some(Err(Refusal::Unknown(..))));
            if chosen == Err(Unavailable::Unreachable)
                && !may_have_run
                && let Some(pick) = choose_kept(state, job, trail)
            {
                chosen = Ok(pick);
            } else if let Some(Err(refusal)) = handed {
                return Err(refusal);
            }
        }
        let pick = match chosen {
            // A response that would be late anyway would delay others as well; this request has not
            // run yet.
            Ok(pick) if trail.sends == 0 && is_late(state, job, &pick) => {
                state.record_shortage(job);
                let retry_after = pick
                    .wait
                    .saturating_sub(job.route.target_latency.duration() / 2);
                return Err(shortage::refuse(
                    state,
                    job,
                    "all endpoints are behind",
                    retry_after.max(FULL_RETRY_DELAY),
                ));
            }
            Ok(pick) => pick,
            Err(_) if trail.runs > 0 => return Err(bad_gateway("no other endpoint")),
            Err(Unavailable::Full) => {
                record_shortage(state, job, trail);
                return Err(shortage::refuse(
                    state,
                    job,
                    "all endpoints are full",
                    FULL_RETRY_DELAY,
                ));
            }
            Err(Unavailable::BackedOff(resumes)) => return Err(back_off(state, resumes)),
            Err(Unavailable::Absent) if trail.binding != Binding::Free => {
                return Err(unavailable(
                    "no endpoint of the stream's version",
                    NO_ENDPOINT_RETRY_DELAY,
                ));
            }
            Err(Unavailable::Absent) => {
                record_shortage(state, job, trail);
                return Err(shortage::refuse(
                    state,
                    job,
                    "no endpoint",
                    NO_ENDPOINT_RETRY_DELAY,
                ));
            }
            Err(Unavailable::Unreachable) => {
                return Err(unavailable(
                    "no endpoint is in reach",
                    NO_ENDPOINT_RETRY_DELAY,
                ));
            }
            Err(Unavailable::Large) => {
                return Err(unavailable(
                    "larger than an engine's memory",
                    TOO_LARGE_RETRY_DELAY,
                ));
            }
        };
        if !std::mem::replace(&mut trail.counted, true) {
            state.count_sent(&job.service);
            state.record_offered(job);
        }
        trail.sends += 1;
        log_choice(state, job, trail, &pick);
        let Some(outcome) = send(state, job, &pick, trail, after).await else {
            event::BROKE_OFF.emit(format_args!(
                "request={} endpoint={} version={} reason=silent expected_ms={}",
                job.id(),
                pick.endpoint,
                version::name(pick.version.as_ref()),
                pick.wait.as_millis(),
            ));
            trail.exclude.push(pick.endpoint);
            continue;
        };
        let reason = match outcome {
            Ok(sent) if sent.reply.misdirected => {
                sent.share.end(End::Misdirected);
                "another endpoint has the address"
            }
            Ok(sent) if sent.reply.not_run => {
                let (_response, _reply, share, _checkout) = sent.split();
                share.end(End::Refused);
                REJECTED
            }
            Ok(sent) => {
                trail.runs += 1;
                return Ok(sent);
            }
            Err((Fault::Withheld, share)) => {
                share.end(End::Abandoned);
                if trail.sends < MAX_SENDS {
                    trail.exclude.push(pick.endpoint);
                    continue;
                }
                "wants no requests"
            }
            Err((fault @ (Fault::Refused(_) | Fault::Unsent(_)), share)) => {
                reach::record_unreachable(state, &pick.endpoint, &fault);
                share.end(End::Unreachable);
                if matches!(fault, Fault::Refused(_)) {
                    let (state, endpoint) = (Rc::clone(state), pick.endpoint.clone());
                    tokio::task::spawn_local(async move {
                        probe::confirm_crash(&state, &endpoint).await;
                    });
                }
                if trail.sends < MAX_SENDS {
                    trail.exclude.push(pick.endpoint);
                    continue;
                }
                "cannot be reached"
            }
            Err((Fault::Broken(reason), share)) => {
                share.end(End::Broken);
                trail.runs += 1;
                trail.exclude.push(pick.endpoint.clone());
                event::BROKE_OFF.emit(format_args!(
                    "request={} endpoint={} version={} reason={reason:?} after_ms={}",
                    job.id(),
                    pick.endpoint,
                    version::name(pick.version.as_ref()),
                    state.now().since(job.received_at).as_millis(),
                ));
                if may_repeat(state, job, trail, Reason::Interrupted) {
                    continue;
                }
                state.count_run(job.workspace.as_ref());
                return Err(bad_gateway("the endpoint broke off"));
            }
        };
        trail.exclude.push(pick.endpoint);
        if trail.sends >= MAX_SENDS || !state.may_retry(job.id(), &job.service, Reason::Rejected) {
            return Err(if trail.runs > 0 {
                bad_gateway(reason)
            } else {
                reject(state, job, trail, reason)
            });
        }
    }
}
