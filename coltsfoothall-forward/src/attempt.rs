//! One sending of a request to one endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{Pick, Query};
use coltsfoothall::forward::config::Route;
use coltsfoothall::forward::roster::{End, Run};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::id;
use coltsfoothall::size::Tokens;
use coltsfoothall::suspicion::Fingerprint;
use http::request::Parts;
use http::{Request, Response, Uri};
use hyper::body::Incoming;

use crate::adapter::{Call, Forward, Reply};
use crate::pool::{Fault, Link, Payload};
use crate::state::State;

/// A request as it was admitted.
#[derive(Debug)]
pub struct Job {
    /// Its route.
    pub route: std::sync::Arc<Route>,
    /// The service chosen for it.
    pub service: id::Service,
    /// What the caller said.
    pub call: Call,
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// Whose it is.
    pub workspace: Option<id::Workspace>,
    /// Its urgency.
    pub rank: u8,
    /// Memory of one engine, if engines run it.
    pub memory: Option<Tokens>,
    /// What it is known by if it crashes endpoints.
    pub fingerprint: Fingerprint,
    /// When its head was read.
    pub begun: Time,
    /// When its final answer is due.
    pub due: Time,
}

impl Job {
    /// What it asks of an endpoint.
    #[must_use]
    pub fn ask<'a>(
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
        }
    }

    /// The caller's name of it, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }
}

/// A run's share of the endpoint's load, given back when it is dropped.
#[derive(Debug)]
pub struct Share {
    state: Rc<State>,
    run: Option<Run>,
    fingerprint: Fingerprint,
    route: std::sync::Arc<Route>,
    service: id::Service,
    version: Option<id::Version>,
    began: Time,
    /// Whether its first event, or its whole answer, was counted.
    answered: bool,
    /// The endpoint.
    pub endpoint: id::Endpoint,
}

impl Share {
    fn new(state: &Rc<State>, pick: &Pick, ask: &Query<'_>, job: &Job) -> Self {
        let now = state.now();
        let run = state.roster.borrow_mut().begin(now, pick, ask);
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
            route: std::sync::Arc::clone(&job.route),
            service: job.service.clone(),
            version: pick.version.clone(),
            began: now,
            answered: false,
            endpoint: pick.endpoint.clone(),
        }
    }

    /// The endpoint answered: the first event of a stream came, or another answer is whole.
    /// What broke off says nothing of the endpoint's version, as any endpoint may be lost.
    pub fn record_answer(&mut self, failed: bool) {
        if !std::mem::replace(&mut self.answered, true) {
            let took = self.state.now().since(self.began);
            let (route, version) = (&self.route.name, self.version.as_ref());
            let mut upgrades = self.state.upgrades.borrow_mut();
            upgrades.record_answer(&self.service, route, version, took, failed);
        }
    }

    /// The first part of the answer came.
    pub fn record_first_event(&mut self) {
        if let Some(run) = &mut self.run {
            let now = self.state.now();
            self.state.roster.borrow_mut().record_first_event(now, run);
        }
    }

    /// More events of the answer came.
    pub fn record_events(&self, events: u64) {
        if let Some(run) = &self.run {
            self.state.roster.borrow_mut().record_events(run, events);
        }
    }

    /// The run ended.
    pub fn end(mut self, end: End) {
        self.finish(end);
    }

    fn finish(&mut self, end: End) {
        if let Some(run) = self.run.take() {
            let now = self.state.now();
            self.state.roster.borrow_mut().finish(now, &run, end);
            self.state
                .record_evidence(&self.endpoint, self.fingerprint, end);
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.finish(End::Abandoned);
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Sent {
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub reply: Reply,
    /// The connection that it comes on.
    pub link: Link,
    /// Its share of the load.
    pub share: Share,
    body_sent: Rc<Cell<bool>>,
}

/// The connection and what is needed to keep it.
#[derive(Debug)]
pub struct Checkout {
    link: Link,
    keep_alive: Option<Duration>,
    usable: bool,
}

impl Checkout {
    /// Keeps the connection for another request; the answer came whole.
    pub fn release(self, state: &State) {
        if self.usable {
            let now = tokio::time::Instant::now();
            state.pool.borrow_mut().put(self.link, now, self.keep_alive);
        }
    }
}

impl Sent {
    /// Takes the answer apart.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Reply, Share, Checkout) {
        let checkout = Checkout {
            link: self.link,
            keep_alive: self.reply.keep_alive,
            // What is left of a body that was answered early would be read as a request.
            usable: self.body_sent.get() && !self.reply.close,
        };
        (self.response, self.reply, self.share, checkout)
    }
}

/// Sends a request and waits for the head of the answer; a stream goes on behind the event
/// `after`, if there is one.
///
/// # Errors
/// Says whether the endpoint can have seen it, and gives the share back.
pub async fn send(
    state: &Rc<State>,
    job: &Job,
    pick: &Pick,
    exclude: &[id::Endpoint],
    after: Option<&str>,
) -> Result<Sent, (Fault, Share)> {
    let ask = job.ask(&state.domain, exclude, &Versions::Any);
    let share = Share::new(state, pick, &ask, job);
    let body_sent = Rc::new(Cell::new(false));
    let mut pooled = {
        let now = tokio::time::Instant::now();
        state.pool.borrow_mut().take(&pick.endpoint, now)
    };
    loop {
        let fresh = pooled.is_none();
        let mut link = match pooled.take() {
            Some(link) => link,
            None => match Link::open(pick.endpoint.clone(), pick.address).await {
                Ok(link) => link,
                Err(fault) => return Err((fault, share)),
            },
        };
        let request = request(state, job, pick, after, &body_sent);
        match link.send(request).await {
            Ok(response) => {
                let status = response.status().as_u16();
                let reply = state.adapter.parse_reply(status, response.headers());
                if reply.id.is_some() && reply.id != job.call.id {
                    let fault = Fault::Broken("the answer belongs to another request".into());
                    return Err((fault, share));
                }
                return Ok(Sent {
                    response,
                    reply,
                    link,
                    share,
                    body_sent,
                });
            }
            // The kept connection closed before anything was written: a fresh one decides.
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
    let payload = Payload::new(job.body.clone(), Rc::clone(body_sent));
    let mut request = Request::new(payload);
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    *request.headers_mut() = headers;
    request
}

/// The path and query alone, as an endpoint expects them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
