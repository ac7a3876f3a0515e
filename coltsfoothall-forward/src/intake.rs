//! Handles a request from its headers to its final response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::config::{self, Config, Route};
use coltsfoothall::forward::crash;
use coltsfoothall::id;
use coltsfoothall::suspicion::Fingerprint;
use coltsfoothall_shell::event;
use coltsfoothall_wire::body::{self, Body};
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;

use crate::adapter::Call;
use crate::attempt::Job;
use crate::binding;
use crate::connection::{Connection, Phase};
use crate::culprit;
use crate::dispatch::{self, Trail};
use crate::listen::{Handler, Limits};
use crate::origin::Origin;
use crate::outgoing::{Outgoing, answer};
use crate::refusal::{self, Refusal, bad_gateway, timed_out, unavailable};
use crate::relay;
use crate::retries::Reason;
use crate::state::{Open, State};
use crate::stop;
use crate::suspicion;

/// `Retry-After` while there is no configuration, or a route without a service.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(600);
/// `Retry-After` while other bodies take the memory: about the time of an answer. As much again is
/// added at random, so that a crowd does not return at one moment.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a caller that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the requests of callers.
#[derive(Debug)]
pub struct Front(pub Rc<State>);

impl Handler for Front {
    fn limits(&self) -> Limits {
        let limits = caller_limits(&self.0);
        Limits {
            max_head_bytes: limits.head,
            head_timeout: limits.head_wait,
            idle_timeout: limits.idle,
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
            if stopping || ambiguous || connection.unread.get() || state.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            answer.map(|body| body.with_open(open))
        })
    }
}

/// What the configuration in force allows callers; nothing before there is one.
pub(crate) fn caller_limits(state: &State) -> config::Limits {
    let configuration = state.configuration();
    configuration.map_or_else(Default::default, |have| have.config.limits)
}

/// What a refusal of a request names.
#[derive(Debug)]
pub struct Refused {
    id: Option<String>,
    path: String,
    received_at: Time,
}

impl Refused {
    /// Logs the refusal and builds the response.
    pub fn answer(&self, state: &State, refusal: &Refusal) -> Response<Outgoing> {
        let id = self.id.as_deref();
        refuse(state, id, &self.path, self.received_at, refusal)
    }
}

async fn serve(
    state: &Rc<State>,
    request: Request<Incoming>,
    connection: &Connection,
) -> Response<Outgoing> {
    let (result, refused) = process(state, request, connection, Origin::Caller).await;
    result.unwrap_or_else(|refusal| refused.answer(state, &refusal))
}

/// Admits a request and runs it.
pub async fn process(
    state: &Rc<State>,
    request: Request<Incoming>,
    connection: &Connection,
    origin: Origin,
) -> (Result<Response<Outgoing>, Refusal>, Refused) {
    let received_at = state.now();
    let (head, content) = request.into_parts();
    let call = state.adapter.parse_call(&head.headers);
    let refused = Refused {
        id: call.id.clone(),
        path: head.uri.path().to_owned(),
        received_at,
    };
    let arrival = Arrival {
        call,
        received_at,
        origin,
    };
    let result = if connection.is_ambiguous() {
        Err(Refusal::Bad(StatusCode::BAD_REQUEST, "two framings"))
    } else {
        match admit(state, connection, arrival, head, content).await {
            Ok(job) => finish(state, job).await,
            Err(refusal) => Err(refusal),
        }
    };
    (result, refused)
}

/// How a request came here.
struct Arrival {
    call: Call,
    received_at: Time,
    origin: Origin,
}

/// Runs an admitted request and records its outcome.
async fn finish(state: &Rc<State>, job: Job) -> Result<Response<Outgoing>, Refusal> {
    let job = Rc::new(job);
    let result = run(state, Rc::clone(&job)).await;
    // The instance that took the request from its caller accounts for it.
    if let (Some(workspace), Origin::Caller) = (&job.workspace, &job.origin) {
        if let Err(Refusal::NotRun(..)) = &result {
            let mut rate_limiter = state.rate_limiter.borrow_mut();
            rate_limiter.give_back(workspace, job.units());
        }
        let labels = state.labels(workspace, job.rank);
        let status = match &result {
            Ok(answer) => answer.status(),
            Err(refusal) => refusal.parts().0,
        };
        if job.route.kind.streams() && status.is_success() {
            state
                .board
                .first_token(&labels, state.now().since(job.received_at));
        }
        if status.is_success() {
            state.count_served();
        }
        state.record_ended(&labels, status.as_u16(), job.received_at);
    }
    result
}

fn refuse(
    state: &State,
    id: Option<&str>,
    path: &str,
    received_at: Time,
    refusal: &Refusal,
) -> Response<Outgoing> {
    let (status, reason, retry_after) = refusal.parts();
    event::REFUSED.emit(format_args!(
        "request={} path={path} status={} reason={reason:?} ms={} version={}",
        id.unwrap_or("-"),
        status.as_u16(),
        state.now().since(received_at).as_millis(),
        state.version(),
    ));
    let headers = state.adapter.own_headers(id, retry_after);
    answer(
        status,
        headers,
        Outgoing::full(Bytes::from_static(reason.as_bytes())),
    )
}

/// Reads a request and decides whether it may run.
async fn admit(
    state: &Rc<State>,
    connection: &Connection,
    arrival: Arrival,
    head: http::request::Parts,
    content: Incoming,
) -> Result<Job, Refusal> {
    let Arrival {
        call,
        received_at,
        origin,
    } = arrival;
    let Some(configuration) = state.configuration() else {
        return Err(unavailable("no configuration yet", NOT_READY_RETRY_DELAY));
    };
    let config = configuration.config;
    let route = find_route(&config, &head)?;
    let (workspace, rank) = identify(&config, route, &call)?;
    let due = received_at
        + call
            .timeout
            .unwrap_or(DEFAULT_TIMEOUT)
            .min(route.timeout.duration());
    let body = read_body(state, connection, content, config.limits.body, due).await?;
    let holder = workspace.as_ref().map_or("", id::Workspace::as_str);
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let fingerprint = Fingerprint::of_call(holder, head.method.as_str(), target, body.parts());
    let id = call.id.as_deref().unwrap_or("-");
    if suspicion::is_poisonous(state, id, fingerprint) {
        return Err(suspicion::refusal(0));
    }
    let marks = crash::marks(&call.parts);
    if !marks.is_empty() {
        state.informed().await;
    }
    culprit::admit(state, id, &marks)?;
    // A stream that is taken up goes on at the service that began it.
    let hash = binding::hash(call.began().unwrap_or_default());
    let Some(service) = route.target(hash).cloned() else {
        return Err(unavailable(
            "the route has no service",
            NOT_READY_RETRY_DELAY,
        ));
    };
    let engine = config
        .service(&service)
        .and_then(|service| service.engine.as_ref());
    let attempts = match &origin {
        Origin::Caller => route.attempts,
        Origin::Instance(terms) => route.attempts.min(terms.attempts),
    };
    let shortest_target = config
        .shortest_target(&service)
        .unwrap_or(route.target_latency);
    let binding = binding::bind(state, route, &service, &call, &origin)?;
    let job = Job {
        marks: marks.into(),
        attempts,
        origin,
        binding,
        route: std::sync::Arc::clone(route),
        memory: engine.map(|engine| engine.memory),
        shortest_target: shortest_target.duration(),
        service,
        call,
        head,
        body: body.into(),
        workspace,
        rank,
        fingerprint,
        received_at,
        due,
    };
    // This precedes the rate limit: the instance that takes over a refused request charges its
    // tokens too.
    stop::check(state, &job, connection)?;
    match &job.origin {
        Origin::Caller => charge(state, &job)?,
        Origin::Instance(_) => {}
    }
    Ok(job)
}

/// Reads the body of a request, and has the connection closed after the refusal if that fails.
async fn read_body(
    state: &State,
    connection: &Connection,
    content: Incoming,
    limit: usize,
    due: Time,
) -> Result<Body, Refusal> {
    let memory = state.settings().memory();
    state.bodies.resize_for_requests(memory, limit);
    let advance = || {
        connection.enter(Phase::Body);
        state.now()
    };
    let read = body::read(&state.bodies, advance, content, limit);
    let refusal = match tokio::time::timeout_at(state.clock.instant(due), read).await {
        Ok(Ok(body)) => {
            connection.enter(Phase::Busy);
            return Ok(body);
        }
        Ok(Err(body::Error::Large)) => {
            Refusal::Bad(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
        }
        Ok(Err(body::Error::Broken)) => Refusal::Bad(StatusCode::BAD_REQUEST, "broken body"),
        Ok(Err(body::Error::Evicted)) => {
            let spread = NO_MEMORY_RETRY_DELAY.mul_f64(rand::rng().random());
            unavailable(refusal::NO_MEMORY, NO_MEMORY_RETRY_DELAY + spread)
        }
        Err(_elapsed) => Refusal::Bad(StatusCode::REQUEST_TIMEOUT, "body came too slowly"),
    };
    state.board.body_refused(refusal.parts().1);
    connection.unread.set(true);
    connection.enter(Phase::Busy);
    Err(refusal)
}

/// Charges a request to the rate limit of its workspace.
fn charge(state: &State, job: &Job) -> Result<(), Refusal> {
    let Some(workspace) = &job.workspace else {
        return Ok(());
    };
    let coverage = state.coverage();
    let mut rate_limiter = state.rate_limiter.borrow_mut();
    let Err(short) = rate_limiter.take(state.now(), workspace, job.units(), coverage) else {
        return Ok(());
    };
    event::OVER_RATE.emit(format_args!(
        "request={} workspace={workspace} units={} level={:.0} rate={} members={} heard={}",
        job.id(),
        short.units,
        short.level,
        short.rate,
        coverage.members,
        coverage.reporting
    ));
    Err(Refusal::NotRun(
        StatusCode::TOO_MANY_REQUESTS,
        "over the workspace's rate",
        short.retry_after,
    ))
}

fn find_route<'a>(
    config: &'a Config,
    head: &http::request::Parts,
) -> Result<&'a std::sync::Arc<Route>, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    config
        .route(&name.to_ascii_lowercase(), head.uri.path())
        .ok_or(Refusal::Bad(StatusCode::NOT_FOUND, "no such route"))
}

/// The workspace and priority of a request.
fn identify(
    config: &Config,
    route: &Route,
    call: &Call,
) -> Result<(Option<id::Workspace>, u8), Refusal> {
    let workspace = call
        .key
        .as_deref()
        .and_then(|key| config.workspace_by_key(key));
    match workspace {
        Some(workspace) => {
            let rank = workspace.rank.unwrap_or(route.rank);
            Ok((Some(workspace.name.clone()), rank))
        }
        None if route.public || config.workspaces().is_empty() => Ok((None, route.rank)),
        None => Err(Refusal::Bad(StatusCode::UNAUTHORIZED, "unknown key")),
    }
}

/// Runs a request to its final response, or until shutdown aborts it.
async fn run(state: &Rc<State>, job: Rc<Job>) -> Result<Response<Outgoing>, Refusal> {
    tokio::select! {
        answer = send(state, job) => answer,
        () = state.abort.cancelled() => Err(bad_gateway(refusal::SHUTTING_DOWN)),
    }
}

async fn send(state: &Rc<State>, job: Rc<Job>) -> Result<Response<Outgoing>, Refusal> {
    let mut trail = Trail::new(&job);
    let due = state.clock.instant(job.due);
    loop {
        let sent = match tokio::time::timeout_at(due, dispatch::next(state, &job, &mut trail, None))
            .await
        {
            Ok(sent) => sent?,
            Err(_elapsed) => return Err(time_out(state, &job)),
        };
        job.release_body();
        let end = tokio::time::timeout_at(due, relay::answer(state, &job, sent, &mut trail)).await;
        match end {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(failure)) => {
                if !dispatch::may_repeat(state, &job, &trail, Reason::Failed) {
                    return failure.answer.ok_or(failure.refusal);
                }
            }
            Err(_elapsed) => return Err(time_out(state, &job)),
        }
    }
}

/// Records that the request took at least this long, and refuses it.
fn time_out(state: &State, job: &Job) -> Refusal {
    state.record_duration(&job.route, job.received_at);
    timed_out()
}
