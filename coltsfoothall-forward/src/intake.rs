//! A request from its head to its final answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{Nobody, Pick};
use coltsfoothall::forward::roster::End;
use coltsfoothall::forward::table::{Route, Table};
use coltsfoothall::id;
use coltsfoothall::suspicion::{Print, Verdict};
use coltsfoothall_shell::event;
use coltsfoothall_wire::http as body;
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{self, Job, Sent};
use crate::border::Call;
use crate::kept::Fault;
use crate::listen::{Connection, Handler, Limits};
use crate::outgoing::{Outgoing, answer};
use crate::relay;
use crate::state::{Open, State};
use crate::stop;

/// Most sendings of one request, turned away ones included.
const SENDINGS: usize = 5;
/// One request in so many has a log line of its own for its first endpoint: at 120 requests
/// a second that is two lines.
const SAMPLE: u64 = 64;
/// When to come back if there is no room: about one batch of short answers.
const AGAIN: Duration = Duration::from_millis(300);
/// When to come back if nothing is known yet or no endpoint is there.
const AGAIN_LATER: Duration = Duration::from_millis(600);
/// Times the route's aim, or the expected wait, after which an endpoint counts as silent:
/// a lost answer then still comes within the time of most callers.
const PATIENCE: u32 = 2;
/// Times the route's aim that a first event may be expected to take.
const LATE: f64 = 1.5;
/// When to come back with a request whose like crashed endpoints.
const POISONOUS: Duration = Duration::from_secs(30);
/// When to come back with a request that fits in no engine: only other engines would help.
const NEVER_FITS: Duration = Duration::from_secs(30);
/// Why an answer ends early when this instance does.
pub const STOPS: &str = "this instance stops";
/// Wait of a caller that names none.
const WAIT: Duration = Duration::from_secs(30);

/// Why a request gets an answer of this program's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The request itself is wrong.
    Bad(StatusCode, &'static str),
    /// It did not run and will not; come back after this time.
    NotRun(StatusCode, &'static str, Duration),
    /// It may have run.
    Unknown(StatusCode, &'static str),
}

impl Refusal {
    fn parts(&self) -> (StatusCode, &'static str, Option<Duration>) {
        match self {
            Self::Bad(status, reason) | Self::Unknown(status, reason) => (*status, reason, None),
            Self::NotRun(status, reason, again) => (*status, reason, Some(*again)),
        }
    }
}

/// A refusal: nothing ran, and there is no room.
#[must_use]
pub fn full(reason: &'static str, again: Duration) -> Refusal {
    Refusal::NotRun(StatusCode::SERVICE_UNAVAILABLE, reason, again)
}

/// An endpoint broke off a request that may have run.
#[must_use]
pub fn broken(reason: &'static str) -> Refusal {
    Refusal::Unknown(StatusCode::BAD_GATEWAY, reason)
}

/// Callers' requests.
#[derive(Debug)]
pub struct Front(pub Rc<State>);

impl Handler for Front {
    fn limits(&self) -> Limits {
        let configuration = self.0.configuration();
        let limits = configuration.map_or_else(Default::default, |have| have.table.limits);
        Limits {
            head: limits.head,
            head_wait: limits.head_wait,
            idle: limits.idle,
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
            let stopping = state.stopping.is_cancelled();
            let ambiguous = connection.is_ambiguous();
            let mut answer = serve(&state, request, &connection).await;
            if stopping || ambiguous || state.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            answer.map(|body| body.counted(open))
        })
    }
}

async fn serve(
    state: &Rc<State>,
    request: Request<Incoming>,
    connection: &Connection,
) -> Response<Outgoing> {
    let begun = state.now();
    let (head, content) = request.into_parts();
    let call = state.border.call(&head.headers);
    let id = call.id.clone();
    let path = head.uri.path().to_owned();
    let result = if connection.is_ambiguous() {
        Err(Refusal::Bad(StatusCode::BAD_REQUEST, "two framings"))
    } else {
        match admit(state, connection, call, head, content, begun).await {
            Ok(job) => finish(state, job).await,
            Err(refusal) => Err(refusal),
        }
    };
    result.unwrap_or_else(|refusal| refuse(state, id.as_deref(), &path, begun, &refusal))
}

/// Runs an admitted request to its answer and counts how it ended.
async fn finish(state: &Rc<State>, job: Job) -> Result<Response<Outgoing>, Refusal> {
    let job = Rc::new(job);
    let result = run(state, Rc::clone(&job)).await;
    if let Some(workspace) = &job.workspace {
        let labels = state.labels(workspace, job.rank);
        let status = match &result {
            Ok(answer) => answer.status(),
            Err(refusal) => refusal.parts().0,
        };
        if job.route.kind.streams() && status.is_success() {
            state
                .board
                .first_token(&labels, state.now().since(job.begun));
        }
        if status.is_success() {
            state.count_served();
        }
        state.ended(&labels, status.as_u16(), job.begun);
    }
    result
}

fn refuse(
    state: &State,
    id: Option<&str>,
    path: &str,
    begun: Time,
    refusal: &Refusal,
) -> Response<Outgoing> {
    let (status, reason, again) = refusal.parts();
    event::REFUSED.emit(format_args!(
        "request={} path={path} status={} reason={reason:?} ms={} version={}",
        id.unwrap_or("-"),
        status.as_u16(),
        state.now().since(begun).as_millis(),
        state.version(),
    ));
    let headers = state.border.own(id, again);
    answer(
        status,
        headers,
        Outgoing::whole(Bytes::from_static(reason.as_bytes())),
    )
}

/// Reads a request and checks whether it may go on.
async fn admit(
    state: &Rc<State>,
    connection: &Connection,
    call: Call,
    head: http::request::Parts,
    content: Incoming,
    begun: Time,
) -> Result<Job, Refusal> {
    let Some(configuration) = state.configuration() else {
        return Err(full("no configuration yet", AGAIN_LATER));
    };
    let table = configuration.table;
    let route = find(&table, &head)?;
    let (workspace, rank) = identify(&table, route, &call)?;
    let due = begun + call.wait.unwrap_or(WAIT).min(route.timeout.duration());
    let read = body::read(content, table.limits.body);
    let body = match tokio::time::timeout_at(state.clock.instant(due), read).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::Large(_))) => {
            return Err(Refusal::Bad(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too large",
            ));
        }
        Ok(Err(_broken)) => return Err(Refusal::Bad(StatusCode::BAD_REQUEST, "broken body")),
        Err(_elapsed) => {
            return Err(Refusal::Bad(
                StatusCode::REQUEST_TIMEOUT,
                "body came too slowly",
            ));
        }
    };
    let holder = workspace.as_ref().map_or("", id::Workspace::as_str);
    let asked = head.uri.path_and_query().map_or("", |asked| asked.as_str());
    let print = Print::of_call(holder, head.method.as_str(), asked, &body);
    let verdict = state.docket.borrow().verdict(state.now(), print);
    if verdict == Verdict::Poisonous {
        return Err(full("such requests crashed endpoints", POISONOUS));
    }
    let draw = xxh3_64(call.id.as_deref().unwrap_or_default().as_bytes());
    let Some(service) = route.target(draw).cloned() else {
        return Err(full("the route has no service", AGAIN_LATER));
    };
    let engine = table
        .service(&service)
        .and_then(|service| service.engine.as_ref());
    let job = Job {
        route: std::sync::Arc::clone(route),
        memory: engine.map(|engine| engine.memory),
        service,
        call,
        head,
        body,
        workspace,
        rank,
        print,
        begun,
        due,
    };
    // Before its tokens are granted, which the instance that takes it grants too.
    stop::check(state, &job, connection)?;
    grant(state, &job)?;
    Ok(job)
}

/// Takes a request's tokens from its workspace's rate.
fn grant(state: &State, job: &Job) -> Result<(), Refusal> {
    let Some(workspace) = &job.workspace else {
        return Ok(());
    };
    let tokens = job.call.tokens.map(|(prompt, most)| prompt.plus(most));
    let reach = state.reach();
    let mut allowance = state.allowance.borrow_mut();
    let Err(short) = allowance.take(state.now(), workspace, tokens, reach) else {
        return Ok(());
    };
    event::OVER_RATE.emit(format_args!(
        "request={} workspace={workspace} units={} level={:.0} rate={} members={} heard={}",
        job.id(),
        short.units,
        short.level,
        short.rate,
        reach.members,
        reach.heard
    ));
    Err(Refusal::NotRun(
        StatusCode::TOO_MANY_REQUESTS,
        "over the workspace's rate",
        short.again,
    ))
}

fn find<'a>(
    table: &'a Table,
    head: &http::request::Parts,
) -> Result<&'a std::sync::Arc<Route>, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    table
        .route(&name.to_ascii_lowercase(), head.uri.path())
        .ok_or(Refusal::Bad(StatusCode::NOT_FOUND, "no such route"))
}

/// Whose request it is, and how urgent.
fn identify(
    table: &Table,
    route: &Route,
    call: &Call,
) -> Result<(Option<id::Workspace>, u8), Refusal> {
    let holder = call.key.as_deref().and_then(|key| table.holder(key));
    match holder {
        Some(workspace) => {
            let rank = workspace.rank.unwrap_or(route.rank);
            Ok((Some(workspace.name.clone()), rank))
        }
        None if route.public || table.workspaces().is_empty() => Ok((None, route.rank)),
        None => Err(Refusal::Bad(StatusCode::UNAUTHORIZED, "unknown key")),
    }
}

/// What is known of a request's sendings so far.
#[derive(Debug, Default)]
pub struct Trail {
    /// Endpoints that failed it or turned it away.
    pub exclude: Vec<id::Endpoint>,
    /// Sendings.
    pub sendings: usize,
    /// Sendings that may have run.
    pub runs: u32,
}

/// Sends a request until it has its final answer, at the latest when a stop ends.
async fn run(state: &Rc<State>, job: Rc<Job>) -> Result<Response<Outgoing>, Refusal> {
    tokio::select! {
        answer = send(state, job) => answer,
        () = state.cutting.cancelled() => Err(broken(STOPS)),
    }
}

async fn send(state: &Rc<State>, job: Rc<Job>) -> Result<Response<Outgoing>, Refusal> {
    let mut trail = Trail::default();
    let due = state.clock.instant(job.due);
    loop {
        let sent = match tokio::time::timeout_at(due, next(state, &job, &mut trail, None)).await {
            Ok(sent) => sent?,
            Err(_elapsed) => return Err(late()),
        };
        let end = tokio::time::timeout_at(due, relay::answer(state, &job, sent, &mut trail)).await;
        match end {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(failure)) => {
                if !may_repeat(state, &job, &trail) {
                    return failure.answer.ok_or(failure.refusal);
                }
            }
            Err(_elapsed) => return Err(late()),
        }
    }
}

/// How long to wait for the head of an answer that another endpoint could give too. One
/// that may run only once, or has no attempt left, waits until it is due.
fn patience(job: &Job, trail: &Trail, pick: &Pick) -> Duration {
    let last = trail.runs + 1 >= job.route.attempts;
    if last || !job.route.kind.repeats() {
        return WAIT;
    }
    job.route.aim.duration().max(pick.wait) * PATIENCE
}

/// Whether an engine is so far behind that the first event would be worth little.
fn is_late(job: &Job, pick: &Pick) -> bool {
    job.memory.is_some() && pick.wait > job.route.aim.duration().mul_f64(LATE)
}

fn late() -> Refusal {
    Refusal::Unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
}

/// Whether a request that may have run can go to one more endpoint.
pub fn may_repeat(state: &State, job: &Job, trail: &Trail) -> bool {
    job.route.kind.repeats() && trail.runs < job.route.attempts && state.may_retry(&job.service)
}

/// Logs where a request goes: each second sending, and the first of one request in
/// [`SAMPLE`], the same ones at all instances.
fn tell_choice(state: &State, job: &Job, trail: &Trail, pick: &Pick) {
    if trail.sendings == 1 && !xxh3_64(job.id().as_bytes()).is_multiple_of(SAMPLE) {
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
        trail.sendings,
        trail.exclude.len(),
        state.roster.borrow().pace(&job.service),
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
        let pick = {
            let ask = job.ask(&state.domain, &trail.exclude);
            state.roster.borrow().choose(state.now(), &ask)
        };
        let pick = match pick {
            // An answer that comes late anyway makes others late too; this one has not run.
            Ok(pick) if trail.sendings == 0 && is_late(job, &pick) => {
                let again = pick.wait.saturating_sub(job.route.aim.duration() / 2);
                return Err(full("all endpoints are behind", again.max(AGAIN)));
            }
            Ok(pick) => pick,
            Err(_) if trail.runs > 0 => return Err(broken("no other endpoint")),
            Err(Nobody::Full) => return Err(full("all endpoints are full", AGAIN)),
            Err(Nobody::Absent) => return Err(full("no endpoint", AGAIN_LATER)),
            Err(Nobody::Large) => return Err(full("larger than an engine's memory", NEVER_FITS)),
        };
        if trail.sendings == 0 {
            state.count_sent(&job.service);
        }
        trail.sendings += 1;
        tell_choice(state, job, trail, &pick);
        let sending = attempt::send(state, job, &pick, &trail.exclude, after);
        let Ok(outcome) = tokio::time::timeout(patience(job, trail, &pick), sending).await else {
            trail.runs += 1;
            trail.exclude.push(pick.endpoint.clone());
            event::BROKE_OFF.emit(format_args!(
                "request={} endpoint={} reason=silent expected_ms={}",
                job.id(),
                pick.endpoint,
                pick.wait.as_millis(),
            ));
            if may_repeat(state, job, trail) {
                continue;
            }
            return Err(broken("the endpoint stays silent"));
        };
        let reason = match outcome {
            Ok(sent) if sent.reply.stranger => {
                sent.share.end(End::Unreachable);
                "another endpoint has the address"
            }
            Ok(sent) if sent.reply.not_run => {
                let (_response, _reply, share, _tail) = sent.split();
                share.end(End::Refused);
                "turned away"
            }
            Ok(sent) => {
                trail.runs += 1;
                return Ok(sent);
            }
            Err((Fault::Unsent(_reason), share)) => {
                share.end(End::Unreachable);
                if trail.sendings < SENDINGS {
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
                return Err(broken("the endpoint broke off"));
            }
        };
        trail.exclude.push(pick.endpoint);
        if trail.sendings >= SENDINGS || !state.may_retry(&job.service) {
            return Err(if trail.runs > 0 {
                broken(reason)
            } else {
                full(reason, AGAIN)
            });
        }
    }
}
