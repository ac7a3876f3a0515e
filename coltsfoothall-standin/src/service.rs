//! A plain service over HTTP that counts its executions, with faults on demand.
//!
//! It answers every method and path, but for `GET /counts` with [`Counts`] and
//! `POST /fault` with [`Fault`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::engine::Refusal;
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::{header, http, limit};

use crate::engine::close;

/// Keys counted one by one; it bounds memory in long runs.
const KEYS: usize = 1 << 17;

/// Settings of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time that a run takes.
    pub delay_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            delay_ms: Millis(5),
        }
    }
}

/// Faults on demand: how many of the next requests meet each, in this order.
///
/// What is posted takes the place of what was pending.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refused with 503 and `coltsfoothall-started: false`.
    pub refuse: u32,
    /// Connection closed before the run.
    pub reset_before: u32,
    /// Connection closed after the run.
    pub reset_after: u32,
    /// Run, and never answered.
    pub hang: u32,
}

/// What one request meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Refuse,
    ResetBefore,
    ResetAfter,
    Hang,
}

impl Fault {
    fn take(&mut self) -> Option<Kind> {
        let pending = [
            (&mut self.refuse, Kind::Refuse),
            (&mut self.reset_before, Kind::ResetBefore),
            (&mut self.reset_after, Kind::ResetAfter),
            (&mut self.hang, Kind::Hang),
        ];
        let (left, kind) = pending.into_iter().find(|(left, _)| **left > 0)?;
        *left -= 1;
        Some(kind)
    }
}

/// Runs of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The request's key, empty where none came.
    pub request: String,
    /// The attempt, empty where none came.
    pub attempt: String,
    /// How often it ran.
    pub runs: u64,
}

/// What a service has done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs in all.
    pub runs: u64,
    /// Requests refused with nothing begun.
    pub refused: u64,
    /// Runs not listed by key, for there are too many keys.
    pub unlisted: u64,
    /// Runs by request and attempt, sorted.
    pub keys: Vec<Count>,
}

impl Counts {
    /// Runs of a request over all its attempts.
    #[must_use]
    pub fn of(&self, request: &str) -> u64 {
        let own = self.keys.iter().filter(|count| count.request == request);
        own.map(|count| count.runs).sum()
    }

    fn add(&mut self, request: &str, attempt: &str) -> u64 {
        self.runs += 1;
        let key = (request, attempt);
        let found = self
            .keys
            .binary_search_by(|count| (count.request.as_str(), count.attempt.as_str()).cmp(&key));
        match found {
            Ok(index) => self.keys[index].runs += 1,
            Err(_) if self.keys.len() >= KEYS => self.unlisted += 1,
            Err(index) => {
                let count = Count {
                    request: request.into(),
                    attempt: attempt.into(),
                    runs: 1,
                };
                self.keys.insert(index, count);
            }
        }
        self.runs
    }
}

/// Answer of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the service.
    pub service: String,
    /// Path that was asked for.
    pub path: String,
    /// Number of the run in this process.
    pub run: u64,
    /// Body that came.
    pub echo: String,
}

/// Serves until `stop`, then lets the running requests finish.
pub async fn run(
    listener: TcpListener,
    name: id::Endpoint,
    settings: Settings,
    stop: CancellationToken,
) {
    let service = Service {
        name: name.as_str().into(),
        settings,
        counts: Mutex::new(Counts::default()),
        fault: Mutex::new(Fault::default()),
    };
    serve::run(listener, Arc::new(service), stop).await;
}

#[derive(Debug)]
struct Service {
    name: String,
    settings: Settings,
    counts: Mutex<Counts>,
    fault: Mutex<Fault>,
}

impl Service {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts
            .lock()
            .expect("nothing panics while it holds the counts")
    }

    fn fault(&self) -> MutexGuard<'_, Fault> {
        self.fault
            .lock()
            .expect("nothing panics while it holds the faults")
    }

    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/counts") => serve::json(200, &*self.counts()),
            (&Method::POST, "/fault") => self.break_on_demand(request).await,
            _ => self.execute(request).await,
        }
    }

    async fn break_on_demand(&self, request: Request<Incoming>) -> Response<Body> {
        match http::read_json(request.into_body(), limit::INTENT).await {
            Ok(fault) => {
                *self.fault() = fault;
                serve::empty(204)
            }
            Err(error) => refusal(400, error.to_string()),
        }
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        let headers = request.headers().clone();
        let path = request.uri().path().into();
        let body = match http::read(request.into_body(), limit::REQUEST).await {
            Ok(body) => body,
            Err(error) => return refusal(400, error.to_string()),
        };
        let fault = self.fault().take();
        match fault {
            Some(Kind::Refuse) => {
                self.counts().refused += 1;
                return refusal(503, "refused on demand".into());
            }
            Some(Kind::ResetBefore) => close(),
            Some(Kind::ResetAfter | Kind::Hang) | None => {}
        }
        let key = text(&headers, header::REQUEST);
        let run = self.counts().add(key, text(&headers, header::ATTEMPT));
        sleep(self.settings.delay_ms.duration()).await;
        match fault {
            Some(Kind::ResetAfter) => close(),
            Some(Kind::Hang) => std::future::pending().await,
            Some(Kind::Refuse | Kind::ResetBefore) | None => {}
        }
        let answer = Run {
            service: self.name.clone(),
            path,
            run,
            echo: String::from_utf8_lossy(&body).into_owned(),
        };
        echo(serve::json(200, &answer), &headers)
    }
}

impl Handler for Service {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move { self.route(request).await })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn refusal(status: u16, message: String) -> Response<Body> {
    let refusal = Refusal {
        message,
        started: false,
        fence: None,
    };
    let mut answer = serve::json(status, &refusal);
    let name = HeaderName::from_static(header::STARTED);
    let value = HeaderValue::from_static("false");
    answer.headers_mut().insert(name, value);
    answer
}

/// Puts the attempt's header into its answer.
fn echo(mut answer: Response<Body>, headers: &HeaderMap) -> Response<Body> {
    if let Some(attempt) = headers.get(header::ATTEMPT) {
        let name = HeaderName::from_static(header::ATTEMPT);
        answer.headers_mut().insert(name, attempt.clone());
    }
    answer
}
