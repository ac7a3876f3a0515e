//! One attempt to run a request at one endpoint.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::admission;
use coltsfoothall::forward::choice::{Pick, Query};
use coltsfoothall::forward::config::Route;
use coltsfoothall::forward::crash::Mark;
use coltsfoothall::forward::culprit;
use coltsfoothall::forward::departure;
use coltsfoothall::forward::limit::{Notice, Rate};
use coltsfoothall::forward::roster::{End, Run};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::forward::version::{Binding, Label};
use coltsfoothall::id;
use coltsfoothall::size::Tokens;
use coltsfoothall::suspicion::Fingerprint;
use coltsfoothall_shell::event;
use coltsfoothall_wire::body::Body;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use hyper::body::{Body as _, Incoming};

use crate::adapter::{Call, Forward, Reply};
use crate::origin::{Departs, Origin};
use crate::pool::{Fault, Link, Payload, Target};
use crate::probe;
use crate::reach;
use crate::settings::Feature;
use crate::state::State;

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// The route that it matched.
    pub route: std::sync::Arc<Route>,
    /// The service chosen for it.
    pub service: id::Service,
    /// The parsed headers.
    pub call: Call,
    /// Method, path and headers.
    pub head: Parts,
    /// The body; empty once it will not be sent again.
    pub body: RefCell<Body>,
    /// The workspace that it belongs to.
    pub workspace: Option<id::Workspace>,
    /// The priority; 0 is the most urgent.
    pub rank: u8,
    /// Memory of one engine, in tokens, if the service runs on engines.
    pub memory: Option<Tokens>,
    /// Fingerprint by which requests that crash endpoints are recognised.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt by which it may crash endpoints.
    pub marks: Rc<[Mark]>,
    /// The shortest target latency among the routes to its service.
    pub shortest_target: Duration,
    /// When its headers were read.
    pub received_at: Time,
    /// Deadline of its response.
    pub due: Time,
    /// Number of endpoints that may run it.
    pub attempts: u32,
    /// Who sent it to this instance.
    pub origin: Origin,
    /// Which version may run it.
    pub binding: Binding,
}

impl Job {
    /// Tokens that count towards the rate of its workspace, if it names any.
    #[must_use]
    pub fn units(&self) -> Option<Tokens> {
        let (prompt, max_answer) = self.call.tokens?;
        Some(prompt.plus(max_answer))
    }

    /// The query by which an endpoint is chosen for it.
    #[must_use]
    pub fn query<'a>(
        &'a self,
        domain: &'a id::Domain,
        exclude: &'a [id::Endpoint],
        versions: &'a Versions,
    ) -> Query<'a> {
        let (prompt, answer) = self.call.tokens.unwrap_or_default();
        Query {
            service: &self.service,
            parts: &self.call.parts,
            prompt,
            answer,
            domain,
            exclude,
            memory: self.memory,
            versions,
            target: Some(self.target()),
        }
    }

    /// When its first event is of use.
    #[must_use]
    pub fn target(&self) -> admission::Target {
        admission::Target {
            latency: self.route.target_latency.duration(),
            shortest: self.shortest_target,
            received_at: self.received_at,
            rank: self.rank,
        }
    }

    /// Gives the memory of the body back if no other endpoint may run the request any more. What is
    /// still being sent keeps its part until then.
    pub fn release_body(&self) {
        if !self.route.kind.repeats() {
            self.body.take();
        }
    }

    /// The request id for the log, or `-`.
    #[must_use]
    pub fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }
}

/// A run's share of an endpoint's load, released when it is dropped.
#[derive(Debug)]
pub struct Share {
    state: Rc<State>,
    run: Option<Run>,
    fingerprint: Fingerprint,
    marks: Rc<[Mark]>,
    route: std::sync::Arc<Route>,
    service: id::Service,
    /// The version that runs it, as far as it is known.
    version: Option<Label>,
    started_at: Time,
    /// Whether the first event, or the complete response, was counted.
    answered: bool,
    /// When the first event of the answer arrived.
    writing: Option<Time>,
    /// Whether the answer has shown that the parts of the prompt are harmless.
    proven: bool,
    /// Upper bound of the answer's length, if an engine writes it.
    max_answer: Option<Tokens>,
    /// Events of the answer so far.
    events: Cell<u64>,
    /// Its endpoint, if the answer says that it is leaving.
    departs: Option<Departs>,
    /// The endpoint, or the instance that the request was handed to.
    pub target: Target,
}

impl Share {
    fn new(state: &Rc<State>, pick: &Pick, query: &Query<'_>, job: &Job) -> Self {
        let now = state.now();
        if query.memory.is_some() && state.settings().has(Feature::OfferedLoad) {
            let mut demand = state.demand.borrow_mut();
            demand.record_prompt(&job.service, query.prompt, pick.unread);
        }
        let run = state.roster.borrow_mut().begin(now, pick, query);
        let version = pick.version.as_ref();
        let route = &job.route.name;
        state
            .upgrades
            .borrow_mut()
            .record_sent(&job.service, route, version);
        Self {
            state: Rc::clone(state),
            run: Some(run),
            fingerprint: job.fingerprint,
            marks: Rc::clone(&job.marks),
            route: std::sync::Arc::clone(&job.route),
            service: job.service.clone(),
            version: Some(pick.version.clone()),
            started_at: now,
            answered: false,
            writing: None,
            proven: false,
            max_answer: query.memory.map(|_engine| query.answer),
            events: Cell::new(0),
            departs: None,
            target: Target::Endpoint(pick.endpoint.clone()),
        }
    }

    /// The share of a request that another instance runs, which counts its load and its outcome, and
    /// may have told at which version.
    pub(crate) fn remote(
        state: &Rc<State>,
        job: &Job,
        target: Target,
        version: Option<Label>,
    ) -> Self {
        Self {
            state: Rc::clone(state),
            run: None,
            fingerprint: job.fingerprint,
            marks: Rc::clone(&job.marks),
            route: std::sync::Arc::clone(&job.route),
            service: job.service.clone(),
            version,
            started_at: state.now(),
            answered: true,
            writing: None,
            proven: false,
            max_answer: None,
            events: Cell::new(0),
            departs: None,
            target,
        }
    }

    /// The version that the endpoint reported when it was chosen, if that is known here.
    #[must_use]
    pub fn version(&self) -> Option<&Label> {
        self.version.as_ref()
    }

    /// Counts the run for its workspace, unless another instance does.
    pub fn count_run(&self, job: &Job) {
        match &self.target {
            Target::Endpoint(_) => self.state.count_run(job.workspace.as_ref()),
            Target::Instance(_) => {}
        }
    }

    /// Records that the endpoint answered: the first event of a stream arrived, or another response
    /// is complete. Interrupted responses are not counted against the endpoint's version, since any
    /// endpoint may be reclaimed.
    pub fn record_answer(&mut self, failed: bool) {
        if !std::mem::replace(&mut self.answered, true) {
            let took = self.state.now().since(self.started_at);
            let route = &self.route.name;
            let version = self.version.as_ref().and_then(Option::as_ref);
            let mut upgrades = self.state.upgrades.borrow_mut();
            upgrades.record_answer(&self.service, route, version, took, failed);
        }
    }

    /// Records that the first part of the response arrived.
    pub fn record_first_event(&mut self) {
        if let Some(run) = &mut self.run {
            let now = self.state.now();
            self.state.roster.borrow_mut().record_first_event(now, run);
        }
    }

    /// Records that events of a stream arrived. Once it has been written for long enough, the parts
    /// of the prompt are known to be harmless.
    pub fn record_writing(&mut self) {
        if self.proven {
            return;
        }
        let now = self.state.now();
        let since = *self.writing.get_or_insert(now);
        let is_proven = self.state.culprits.borrow().is_proven(Some(since), now);
        if is_proven {
            self.record_harmless();
        }
    }

    /// Records that the endpoint has answered the request, unless another instance does.
    pub fn record_harmless(&mut self) {
        if self.run.is_some() && !std::mem::replace(&mut self.proven, true) {
            self.state.record_harmless(&self.marks);
        }
    }

    /// Records what the response says of the endpoint's limit.
    pub fn record_limit(&self, notice: &Notice) {
        let (endpoint, now) = (&self.target, self.state.now());
        let Some(run) = &self.run else {
            return;
        };
        let mut roster = self.state.roster.borrow_mut();
        let rate = match notice {
            Notice::Unlimited => None,
            Notice::Limited(rate) => Some(*rate),
            Notice::Invalid(error) => {
                if roster.record_invalid_limit(run) {
                    let reason = error.to_string();
                    event::ENDPOINT_LIMIT
                        .emit(format_args!("endpoint={endpoint} reason={reason:?}"));
                }
                return;
            }
        };
        let changed = roster.record_limit(now, run, rate);
        drop(roster);
        if changed {
            self.state.share_limits();
            let rate = rate.map_or_else(|| "none".into(), |rate| rate.to_string());
            event::ENDPOINT_LIMIT.emit(format_args!("endpoint={endpoint} rate={rate}"));
        }
    }

    /// Records what the response says of the rejections that the endpoint stands, and whether it is
    /// one.
    pub fn record_brittle(&mut self, notice: &Notice, rejected: bool) {
        let now = self.state.now();
        let Some(run) = &mut self.run else {
            return;
        };
        let bound = match notice {
            Notice::Limited(bound) => Some(*bound),
            // An endpoint that says something of it is brittle.
            Notice::Invalid(_) => Some(Rate::MIN),
            Notice::Unlimited => None,
        };
        let changed = {
            let mut roster = self.state.roster.borrow_mut();
            roster.record_brittle(now, run, bound, rejected)
        };
        if changed {
            self.state.share_limits();
            let bound = bound.map_or_else(|| "none".into(), |bound| bound.to_string());
            event::ENDPOINT_BRITTLE
                .emit(format_args!("endpoint={} rejections={bound}", self.target));
        }
    }

    /// Records what the head of the response says of its endpoint.
    pub fn record_statements(&mut self, job: &Job, status: StatusCode, reply: &Reply) {
        let is_own = reply.signed || !status.is_success();
        if let Some(run) = self.run.as_mut().filter(|_| is_own) {
            if reply.departure == departure::Notice::Leaving {
                self.departs = Some(Departs(run.count(())));
            }
            let accepted = !reply.not_run && status != StatusCode::SERVICE_UNAVAILABLE;
            self.state.record_statements(job.id(), run, reply, accepted);
        }
    }

    /// The endpoint of the response, if that says that it is leaving.
    #[must_use]
    pub fn departs(&self) -> Option<Departs> {
        self.departs.clone()
    }

    /// Records that more events of the response arrived.
    pub fn record_events(&self, events: u64) {
        if let Some(run) = &self.run {
            self.events.set(self.events.get() + events);
            self.state.roster.borrow_mut().record_events(run, events);
        }
    }

    /// Ends the run.
    pub fn end(mut self, end: End) {
        self.finish(end);
    }

    fn finish(&mut self, end: End) {
        let (Some(run), Target::Endpoint(endpoint)) = (self.run.take(), &self.target) else {
            return;
        };
        let now = self.state.now();
        let is_counted = self.state.settings().has(Feature::OfferedLoad);
        if let (End::Whole, Some(answer), true) = (end, self.max_answer, is_counted) {
            let mut demand = self.state.demand.borrow_mut();
            demand.record_answer(&self.service, answer, self.events.get());
        }
        self.state.roster.borrow_mut().finish(now, &run, end);
        self.state
            .record_evidence(endpoint, self.fingerprint, self.started_at, end);
        if end == End::Broken {
            self.state.record_suspect(culprit::Run {
                endpoint: endpoint.clone(),
                marks: self.marks.to_vec(),
                content: self.fingerprint.content_hash(),
                writing: self.writing,
                at: now,
            });
            probe::start(&self.state, endpoint);
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.finish(End::Abandoned);
    }
}

/// A response whose headers have arrived.
#[derive(Debug)]
pub struct Sent {
    /// The response.
    pub response: Response<Incoming>,
    /// The parsed headers.
    pub reply: Reply,
    /// The connection that carries it.
    pub link: Link,
    /// The run's share of the endpoint's load.
    pub share: Share,
    body_sent: Rc<Cell<bool>>,
}

/// A connection that may return to the pool.
#[derive(Debug)]
pub struct Checkout {
    link: Link,
    body_sent: Rc<Cell<bool>>,
    keep_alive: Option<Duration>,
    usable: bool,
}

impl Checkout {
    /// Whether all of the request's body has been passed to the connection.
    #[must_use]
    pub fn is_request_sent(&self) -> bool {
        self.body_sent.get()
    }

    /// Returns the connection to the pool once the response is complete.
    pub fn release(self, state: &State) {
        if self.usable {
            let now = tokio::time::Instant::now();
            state.pool.borrow_mut().put(self.link, now, self.keep_alive);
        }
    }
}

impl Sent {
    /// A response whose request body was passed on completely if `body_sent` is set.
    pub(crate) fn new(
        response: Response<Incoming>,
        reply: Reply,
        link: Link,
        share: Share,
        body_sent: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            response,
            reply,
            link,
            share,
            body_sent,
        }
    }

    /// Whether the response is a success of the endpoint itself, with the body that it wrote.
    #[must_use]
    pub fn is_own_success(&self) -> bool {
        self.response.status().is_success() && self.reply.signed && !self.reply.encoded
    }

    /// Whether the response says where its body ends. Otherwise the end of the connection does, and
    /// that may be a crash.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || self.response.body().is_end_stream()
    }

    /// Splits the response into its parts.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Reply, Share, Checkout) {
        let checkout = Checkout {
            link: self.link,
            keep_alive: self.reply.keep_alive,
            // If the endpoint answered before the whole request body was sent, it would read the
            // rest of the body as the next request.
            usable: self.body_sent.get() && !self.reply.close,
            body_sent: self.body_sent,
        };
        (self.response, self.reply, self.share, checkout)
    }
}

/// Sends a request and waits for the headers of the response; a stream resumes after the event
/// `after`, if given.
///
/// # Errors
/// Returns whether the endpoint can have seen the request, and the share of the load.
pub async fn send(
    state: &Rc<State>,
    job: &Job,
    pick: &Pick,
    exclude: &[id::Endpoint],
    after: Option<&str>,
) -> Result<Sent, (Fault, Share)> {
    let query = job.query(&state.domain, exclude, &Versions::Any);
    let mut share = Share::new(state, pick, &query, job);
    let body_sent = Rc::new(Cell::new(false));
    let target = Target::Endpoint(pick.endpoint.clone());
    let mut pooled = take_pooled(state, &target);
    loop {
        let fresh = pooled.is_none();
        let mut link = match pooled.take() {
            Some(link) => link,
            None => match Link::open(target.clone(), pick.address).await {
                Ok(link) => link,
                Err(fault) => return Err((fault, share)),
            },
        };
        // The endpoint may have said something since it was chosen.
        if state.is_withheld(&pick.endpoint) {
            return Err((Fault::Withheld, share));
        }
        let request = request(state, job, pick, after, &body_sent);
        match link.send(request).await {
            Ok(response) => {
                let status = response.status();
                let reply = state
                    .adapter
                    .parse_reply(status.as_u16(), response.headers());
                if reply.id.is_some() && reply.id != job.call.id {
                    let fault = Fault::Broken("the answer belongs to another request".into());
                    return Err((fault, share));
                }
                if fresh {
                    reach::record_reached(state, &pick.endpoint);
                }
                if !reply.misdirected {
                    share.record_limit(&reply.limit);
                    share.record_brittle(&reply.brittle, reply.not_run);
                    share.record_statements(job, status, &reply);
                }
                return Ok(Sent::new(response, reply, link, share, body_sent));
            }
            // The pooled connection was closed before anything was written: retry on a new one.
            Err(Fault::Unsent(_)) if !fresh => {}
            Err(fault) => return Err((fault, share)),
        }
    }
}

fn request(
    state: &State,
    job: &Job,
    pick: &Pick,
    after: Option<&str>,
    body_sent: &Rc<Cell<bool>>,
) -> Request<Payload> {
    let time_left = Time::since(job.due, state.now());
    let headers = state.adapter.request_headers(
        &job.head.headers,
        &Forward {
            endpoint: &pick.endpoint,
            time_left,
            workspace: job.workspace.as_ref(),
            rank: job.memory.map(|_engine| job.rank),
            last_event_id: after,
        },
    );
    build_request(job, headers, body_sent)
}

/// An idle connection from the pool.
pub(crate) fn take_pooled(state: &State, target: &Target) -> Option<Link> {
    let now = tokio::time::Instant::now();
    state.pool.borrow_mut().take(target, now)
}

/// The request of a job with other headers; `body_sent` is set when its body has been passed on.
pub(crate) fn build_request(
    job: &Job,
    headers: HeaderMap,
    body_sent: &Rc<Cell<bool>>,
) -> Request<Payload> {
    let payload = Payload::new(job.body.borrow().clone(), Rc::clone(body_sent));
    let mut request = Request::new(payload);
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    *request.headers_mut() = headers;
    request
}

/// The request target in origin form: path and query only.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
