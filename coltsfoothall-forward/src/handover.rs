//! Hands requests to other instances, and takes theirs.
//!
//! An instance that reaches no endpoint of a service sends the requests of its callers to one that
//! does, on a connection between the two. The other one answers with the endpoint's response, or
//! with a refusal that it marks as its own.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::Unavailable;
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::handover::{Terms, parse_label, write_label};
use coltsfoothall::forward::peer::Profile;
use coltsfoothall::forward::version::Binding;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;
use futures_util::future::LocalBoxFuture;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;

use crate::attempt::{self, Job, Sent, Share};
use crate::connection::Connection;
use crate::dispatch::Trail;
use crate::intake;
use crate::listen::{Handler, Limits};
use crate::origin::{Began, Departs, Origin};
use crate::outgoing::Outgoing;
use crate::pool::{Fault, Link, Payload, Target};
use crate::refusal::{Refusal, bad_gateway, unavailable};
use crate::retries::Reason;
use crate::state::{Open, State};

/// Request header with the [`Terms`] of a request that is handed over.
const TERMS: HeaderName = HeaderName::from_static("coltsfoothall-handover");
/// Response header by which the recipient marks a refusal of its own.
const REFUSED: HeaderName = HeaderName::from_static("coltsfoothall-handover-refused");
/// Value of that header if the request did not run.
const NOT_RUN: &str = "not-run";
/// Value of that header if the request may have run.
const UNKNOWN: &str = "unknown";
/// Response header with the version that sent the first event of a stream.
const VERSION: HeaderName = HeaderName::from_static("coltsfoothall-handover-version");
/// Response header with the endpoint of a response that says that it is leaving, and its start.
const DEPARTS: HeaderName = HeaderName::from_static("coltsfoothall-handover-departs");
/// Maximum number of instances that a request is handed to until one does not refuse it.
const MAX_RECIPIENTS: usize = 3;
/// `Retry-After` if all of them refused it and none said when to come back.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Time for which a connection between instances may stay open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the head of a request must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Size by which the head of a request may exceed the callers' limit, for the added headers.
const MAX_ADDED_BYTES: usize = 1 << 10;

/// What became of a request that was sent to another instance.
enum Outcome {
    Answered(Box<Sent>),
    /// The recipient refused it without running it, and may have said when to come back. Endpoints
    /// may have rejected it there.
    Refused(Option<Duration>),
    /// The recipient did not get it.
    Unsent,
    Unknown,
}

/// Whether another instance can take a request over from an endpoint that is silent, as this one
/// reaches none. One that reaches others might send it to the same endpoint again.
pub fn can_take_over(state: &State, job: &Job, trail: &Trail) -> bool {
    state.roster.borrow().is_lost(state.now(), &job.service)
        && is_possible(state, job, trail, Unavailable::Unreachable)
}

/// Whether a request that no endpoint in reach can run can be handed to another instance now.
fn is_possible(state: &State, job: &Job, trail: &Trail, reason: Unavailable) -> bool {
    job.origin == Origin::Caller
        && trail.recipients.len() < MAX_RECIPIENTS
        && others_may_run(state, job, reason)
        && recipient(state, job, trail).is_some()
}

/// Whether endpoints that could run a request may be in reach of other instances alone.
fn others_may_run(state: &State, job: &Job, reason: Unavailable) -> bool {
    let roster = state.roster.borrow();
    match reason {
        Unavailable::Absent | Unavailable::Unreachable => roster.has_unreachable(&job.service),
        // All instances see the same endpoints full, unless this one sees only a few of them. An
        // endpoint that wants no requests is not asked by way of another instance either.
        Unavailable::Full | Unavailable::BackedOff(_) => roster.is_mostly_unreachable(&job.service),
        Unavailable::Large => false,
    }
}

fn recipient(state: &State, job: &Job, trail: &Trail) -> Option<Profile> {
    let peers = state.peers.borrow();
    let able = peers.reaching(state.now(), &job.service, &state.domain, &trail.recipients);
    able.choose(&mut rand::rng())
        .map(|profile| (*profile).clone())
}

/// Hands a request that no endpoint in reach can run to other instances, until one does not refuse
/// it; none if there is none to hand it to. A stream resumes after the event `after`, if given.
pub async fn send(
    state: &Rc<State>,
    job: &Job,
    trail: &mut Trail,
    reason: Unavailable,
    after: Option<&str>,
) -> Option<Result<Sent, Refusal>> {
    let mut refusal = None;
    while is_possible(state, job, trail, reason) {
        let recipient = recipient(state, job, trail)?;
        trail.recipients.push(recipient.name.clone());
        let began = state.now();
        let terms = Terms {
            attempts: job.attempts.saturating_sub(trail.runs),
            counted: trail.counted,
            version: match &trail.binding {
                Binding::Only(version) => Some(version.clone()),
                Binding::Free | Binding::Unknown => None,
            },
        };
        let outcome = send_to(state, job, &recipient, &terms, after).await;
        log(state, job, &recipient, began, &outcome);
        match outcome {
            Outcome::Answered(sent) => {
                trail.runs = job.attempts;
                return Some(Ok(*sent));
            }
            Outcome::Unknown => {
                trail.runs = job.attempts;
                return Some(Err(bad_gateway("another instance broke it off")));
            }
            Outcome::Unsent => refusal = refusal.or(Some(None)),
            Outcome::Refused(retry_after) => {
                refusal = Some(retry_after);
                if !state.may_retry(job.id(), &job.service, Reason::Rejected) {
                    break;
                }
            }
        }
    }
    let retry_after = refusal?;
    if trail.runs > 0 {
        return Some(Err(bad_gateway("no other endpoint")));
    }
    let retry_after = retry_after.filter(|delay| !delay.is_zero());
    Some(Err(unavailable(
        "other instances refused it",
        retry_after.unwrap_or(REFUSED_RETRY_DELAY),
    )))
}

fn log(state: &State, job: &Job, recipient: &Profile, began: Time, outcome: &Outcome) {
    let result = match outcome {
        Outcome::Answered(_sent) => "answered",
        Outcome::Refused(_retry_after) => "refused",
        Outcome::Unsent => "unsent",
        Outcome::Unknown => "unknown",
    };
    state.board.handed_over(result);
    event::HANDED_OVER.emit(format_args!(
        "request={} service={} to={} result={result} ms={}",
        job.id(),
        job.service,
        recipient.name,
        state.now().since(began).as_millis(),
    ));
}

async fn send_to(
    state: &Rc<State>,
    job: &Job,
    recipient: &Profile,
    terms: &Terms,
    after: Option<&str>,
) -> Outcome {
    let target = Target::Instance(recipient.name.clone());
    let mut pooled = attempt::take_pooled(state, &target);
    loop {
        let fresh = pooled.is_none();
        let mut link = match pooled.take() {
            Some(link) => link,
            None => match Link::open(target.clone(), recipient.peer).await {
                Ok(link) => link,
                Err(_fault) => return Outcome::Unsent,
            },
        };
        let body_sent = Rc::new(Cell::new(false));
        let request = request(state, job, terms, after, &body_sent);
        match link.send(request).await {
            Ok(response) => return read(state, job, response, link, body_sent),
            Err(Fault::Unsent(_)) if !fresh => {}
            Err(Fault::Unsent(_) | Fault::Refused(_) | Fault::Withheld) => return Outcome::Unsent,
            Err(Fault::Broken(_)) => return Outcome::Unknown,
        }
    }
}

fn request(
    state: &State,
    job: &Job,
    terms: &Terms,
    after: Option<&str>,
    body_sent: &Rc<Cell<bool>>,
) -> Request<Payload> {
    let time_left = job.due.since(state.now());
    let mut headers = state
        .adapter
        .handover_headers(&job.head.headers, time_left, after);
    if let Ok(terms) = HeaderValue::from_str(&terms.to_string()) {
        headers.insert(TERMS, terms);
    }
    attempt::build_request(job, headers, body_sent)
}

fn read(
    state: &Rc<State>,
    job: &Job,
    mut response: Response<Incoming>,
    link: Link,
    body_sent: Rc<Cell<bool>>,
) -> Outcome {
    let status = response.status().as_u16();
    let reply = state.adapter.parse_reply(status, response.headers());
    if let Some(refused) = response.headers().get(&REFUSED) {
        return if refused == NOT_RUN {
            Outcome::Refused(reply.retry_after)
        } else {
            Outcome::Unknown
        };
    }
    if reply.id.is_some() && reply.id != job.call.id {
        return Outcome::Unknown;
    }
    if let Some(departs) = take_departs(response.headers_mut()) {
        state.merge_departures(&[departs], true);
    }
    let version = response.headers_mut().remove(&VERSION);
    let version = version.and_then(|version| parse_label(version.to_str().ok()?));
    let share = Share::remote(state, job, link.target().clone(), version);
    let sent = Sent::new(response, reply, link, share, body_sent);
    Outcome::Answered(Box::new(sent))
}

/// Serves requests that other instances hand over.
#[derive(Debug)]
pub struct Receiver(pub Rc<State>);

impl Handler for Receiver {
    fn limits(&self) -> Limits {
        Limits {
            max_head_bytes: intake::caller_limits(&self.0).head + MAX_ADDED_BYTES,
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> LocalBoxFuture<'static, Response<Outgoing>> {
        Box::pin(async move {
            let state = Rc::clone(&self.0);
            let open = Open::new(&state);
            let mut answer = serve(&state, request, &connection).await;
            if state.stopping.is_cancelled() || connection.unread.get() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            answer.map(|body| body.with_open(open))
        })
    }
}

async fn serve(
    state: &Rc<State>,
    mut request: Request<Incoming>,
    connection: &Connection,
) -> Response<Outgoing> {
    let Some(terms) = take_terms(request.headers_mut()) else {
        return refused(
            crate::outgoing::empty(http::StatusCode::BAD_REQUEST),
            NOT_RUN,
        );
    };
    let (result, refuse) =
        intake::process(state, request, connection, Origin::Instance(terms)).await;
    match result {
        Ok(mut answer) => {
            answer.headers_mut().remove(&REFUSED);
            answer.headers_mut().remove(&VERSION);
            answer.headers_mut().remove(&DEPARTS);
            if let Some(Departs(count)) = answer.extensions_mut().remove()
                && let Ok(departs) =
                    HeaderValue::from_str(&format!("{} {}", count.id, count.born.0))
            {
                answer.headers_mut().insert(DEPARTS, departs);
            }
            if let Some(Began(version)) = answer.extensions_mut().remove()
                && let Ok(version) = HeaderValue::from_str(&write_label(&version))
            {
                answer.headers_mut().insert(VERSION, version);
            }
            answer
        }
        Err(refusal) => {
            let mark = match &refusal {
                Refusal::Bad(..) | Refusal::NotRun(..) => NOT_RUN,
                Refusal::Unknown(..) => UNKNOWN,
            };
            refused(refuse.answer(state, &refusal), mark)
        }
    }
}

fn take_terms(headers: &mut HeaderMap) -> Option<Terms> {
    let value = headers.remove(&TERMS)?;
    value.to_str().ok()?.parse().ok()
}

/// The endpoint that a response names as leaving, with the time since it said so.
fn take_departs(headers: &mut HeaderMap) -> Option<Count<Millis>> {
    let value = headers.remove(&DEPARTS)?;
    let (id, born) = value.to_str().ok()?.split_once(' ')?;
    Some(Count {
        id: id.parse().ok()?,
        born: Millis(born.parse().ok()?),
        value: Millis(0),
    })
}

fn refused(mut answer: Response<Outgoing>, mark: &'static str) -> Response<Outgoing> {
    let mark = HeaderValue::from_static(mark);
    answer.headers_mut().insert(REFUSED, mark);
    answer
}
