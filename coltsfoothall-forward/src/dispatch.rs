//! Sends a request to one endpoint after another until one has run it.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::forward::choice::{Pick, Unavailable};
use coltsfoothall::forward::roster::End;
use coltsfoothall::id;
use coltsfoothall_shell::event;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{self, Job, Sent, Share};
use crate::pool::Fault;
use crate::refusal::{Refusal, bad_gateway, unavailable};
use crate::state::State;

/// Most sendings of one request, turned away ones included.
const MAX_SENDS: usize = 5;
/// One request in so many has a log line of its own for its first endpoint: at 120 requests
/// a second that is two lines.
const REQUESTS_PER_CHOICE_LOG: u64 = 64;
/// When to come back if there is no room: about one batch of short answers.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// When to come back if no endpoint is there.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Times the route's aim, or the expected wait, after which an endpoint counts as silent:
/// a lost answer then still comes within the time of most callers.
const SILENCE_FACTOR: u32 = 2;
/// Times the route's aim that a first event may be expected to take.
const MAX_FIRST_EVENT_FACTOR: f64 = 1.5;
/// When to come back with a request that fits in no engine: only other engines would help.
const TOO_LARGE_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Patience with an endpoint where no other could answer.
const LAST_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(30);

/// What is known of a request's sendings so far.
#[derive(Debug, Default)]
pub struct Trail {
    /// Endpoints that failed it or turned it away.
    pub exclude: Vec<id::Endpoint>,
    /// Sendings.
    pub sends: usize,
    /// Sendings that may have run.
    pub runs: u32,
}

/// How long to wait for the head of an answer that another endpoint could give too. One
/// that may run only once, or has no attempt left, waits until it is due.
fn response_timeout(job: &Job, trail: &Trail, pick: &Pick) -> Duration {
    let last = trail.runs + 1 >= job.route.attempts;
    if last || !job.route.kind.repeats() {
        return LAST_ATTEMPT_TIMEOUT;
    }
    job.route.aim.duration().max(pick.wait) * SILENCE_FACTOR
}

/// Whether an engine is so far behind that the first event would be worth little.
fn is_late(job: &Job, pick: &Pick) -> bool {
    job.memory.is_some() && pick.wait > job.route.aim.duration().mul_f64(MAX_FIRST_EVENT_FACTOR)
}

/// Whether a request that may have run can go to one more endpoint.
pub fn may_repeat(state: &State, job: &Job, trail: &Trail) -> bool {
    job.route.kind.repeats() && trail.runs < job.route.attempts && state.may_retry(&job.service)
}

/// Whether to give up an endpoint that is silent and may still answer: only if another one has
/// room for the request now, and a retry is left, which is taken.
pub fn take_over(state: &State, job: &Job, trail: &Trail, silent: &id::Endpoint) -> bool {
    let mut exclude = trail.exclude.clone();
    exclude.push(silent.clone());
    choose(state, job, &exclude).is_ok() && may_repeat(state, job, trail)
}

/// Chooses an endpoint of the versions that may run the request now, the preferred ones first.
fn choose(state: &State, job: &Job, exclude: &[id::Endpoint]) -> Result<Pick, Unavailable> {
    let versions = {
        let upgrades = state.upgrades.borrow();
        upgrades.versions(&job.service, &job.route.name)
    };
    let roster = state.roster.borrow();
    let mut found = Err(Unavailable::Absent);
    for versions in &versions {
        found = roster.choose(state.now(), &job.ask(&state.domain, exclude, versions));
        if found.is_ok() {
            break;
        }
    }
    found
}

/// Sends a request to one endpoint; none if that is silent and another one takes over.
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
    loop {
        if let Ok(outcome) = tokio::time::timeout(response_timeout, sending.as_mut()).await {
            return Some(outcome);
        }
        // It may run there.
        trail.runs += 1;
        if take_over(state, job, trail, &pick.endpoint) {
            return None;
        }
        trail.runs -= 1;
    }
}

/// Logs where a request goes: each second sending, and the first of one request in
/// [`REQUESTS_PER_CHOICE_LOG`], the same ones at all instances.
fn log_choice(state: &State, job: &Job, trail: &Trail, pick: &Pick) {
    if trail.sends == 1 && !xxh3_64(job.id().as_bytes()).is_multiple_of(REQUESTS_PER_CHOICE_LOG) {
        return;
    }
    event::CHOSEN.emit(format_args!(
        "request={} endpoint={} service={} among={} wait_ms={} unread={} sending={} excluded={} pace={}",
        job.id(),
        pick.endpoint,
        job.service,
        pick.among,
        pick.wait.as_millis(),
        pick.unread.0,
        trail.sends,
        trail.exclude.len(),
        state.roster.borrow().latency_model(&job.service),
    ));
}

/// The head of an answer of an endpoint that ran the request; a stream goes on behind the
/// event `after`, if there is one.
///
/// # Errors
/// No endpoint took it, or the last one broke it off.
pub async fn next(
    state: &Rc<State>,
    job: &Job,
    trail: &mut Trail,
    after: Option<&str>,
) -> Result<Sent, Refusal> {
    loop {
        let pick = match choose(state, job, &trail.exclude) {
            // An answer that comes late anyway makes others late too; this one has not run.
            Ok(pick) if trail.sends == 0 && is_late(job, &pick) => {
                let retry_after = pick.wait.saturating_sub(job.route.aim.duration() / 2);
                return Err(unavailable(
                    "all endpoints are behind",
                    retry_after.max(FULL_RETRY_DELAY),
                ));
            }
            Ok(pick) => pick,
            Err(_) if trail.runs > 0 => return Err(bad_gateway("no other endpoint")),
            Err(Unavailable::Full) => {
                return Err(unavailable("all endpoints are full", FULL_RETRY_DELAY));
            }
            Err(Unavailable::Absent) => {
                return Err(unavailable("no endpoint", NO_ENDPOINT_RETRY_DELAY));
            }
            Err(Unavailable::Large) => {
                return Err(unavailable(
                    "larger than an engine's memory",
                    TOO_LARGE_RETRY_DELAY,
                ));
            }
        };
        if trail.sends == 0 {
            state.count_sent(&job.service);
        }
        trail.sends += 1;
        log_choice(state, job, trail, &pick);
        let Some(outcome) = send(state, job, &pick, trail, after).await else {
            event::BROKE_OFF.emit(format_args!(
                "request={} endpoint={} reason=silent expected_ms={}",
                job.id(),
                pick.endpoint,
                pick.wait.as_millis(),
            ));
            trail.exclude.push(pick.endpoint);
            continue;
        };
        let reason = match outcome {
            Ok(sent) if sent.reply.misdirected => {
                sent.share.end(End::Unreachable);
                "another endpoint has the address"
            }
            Ok(sent) if sent.reply.not_run => {
                let (_response, _reply, share, _checkout) = sent.split();
                share.end(End::Refused);
                "turned away"
            }
            Ok(sent) => {
                trail.runs += 1;
                return Ok(sent);
            }
            Err((Fault::Unsent(_reason), share)) => {
                share.end(End::Unreachable);
                if trail.sends < MAX_SENDS {
                    trail.exclude.push(pick.endpoint);
                    continue;
                }
                "cannot be reached"
            }
            Err((Fault::Broken(reason), share)) => {
                share.end(End::Failed);
                trail.runs += 1;
                trail.exclude.push(pick.endpoint.clone());
                event::BROKE_OFF.emit(format_args!(
                    "request={} endpoint={} reason={reason:?} after_ms={}",
                    job.id(),
                    pick.endpoint,
                    state.now().since(job.begun).as_millis(),
                ));
                if may_repeat(state, job, trail) {
                    continue;
                }
                state.count_run(job.workspace.as_ref());
                return Err(bad_gateway("the endpoint broke off"));
            }
        };
        trail.exclude.push(pick.endpoint);
        if trail.sends >= MAX_SENDS || !state.may_retry(&job.service) {
            return Err(if trail.runs > 0 {
                bad_gateway(reason)
            } else {
                unavailable(reason, FULL_RETRY_DELAY)
            });
        }
    }
}
