//! A model engine over HTTP, with faults on demand.
//!
//! Beside the calls of `coltsfoothall_wire::engine` it answers `GET /v1/counts`
//! with [`Counts`](crate::report::Counts) and takes `POST /fault` with [`Fault`].

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::prefix::Block;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::engine::{Attempt, Chunk, Generate, Order};
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::{header, http, limit, sse};

use crate::denial::Denial;
use crate::model::Model;
use crate::setting::Settings;

/// Exit code of a crash on demand.
const CRASHED: i32 = 70;
/// Time for bytes already written to leave before a connection is closed under them.
const FLUSH: Duration = Duration::from_millis(20);

/// Where a connection is closed on demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reset {
    /// Before anything has begun.
    Before,
    /// After the request has begun, with no head of an answer.
    After,
}

/// Faults on demand; what is posted takes the place of what was pending.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The next requests to be refused with nothing begun.
    pub refuse: u32,
    /// The next stream is closed after so many tokens, without its end.
    pub cut_after: Option<u64>,
    /// All streams pause for this long from now.
    pub stall_ms: Millis,
    /// The next request's connection is closed.
    pub reset: Option<Reset>,
    /// The first chunk of the next stream echoes a wrong attempt.
    pub wrong_attempt: bool,
    /// The process ends at once.
    pub crash: bool,
    /// The next stream's chunks are sent twice.
    pub double: bool,
}

/// Who an engine is.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Short name, part of every token.
    pub name: id::Endpoint,
    /// Model that it starts with.
    pub model: id::Model,
    /// Speed, size and lags.
    pub settings: Settings,
}

/// Serves until `stop`, then lets the running requests finish.
pub async fn run(listener: TcpListener, setup: Setup, stop: CancellationToken) {
    let engine = Arc::new(Engine {
        model: Mutex::new(Model::new(
            setup.name.as_str(),
            &setup.model,
            setup.settings,
        )),
        fault: Mutex::new(Fault::default()),
        wake: Notify::new(),
        start: Instant::now(),
    });
    let driver = tokio::spawn(drive(Arc::clone(&engine)));
    let drain = async {
        stop.cancelled().await;
        engine.model().drain();
        std::future::pending::<()>().await;
    };
    let handler: Arc<dyn Handler> = Arc::clone(&engine) as Arc<dyn Handler>;
    tokio::select! {
        () = serve::run(listener, handler, stop.clone()) => {}
        () = drain => {}
    }
    driver.abort();
}

/// Ends the steps of the batch and the loads as they fall due.
async fn drive(engine: Arc<Engine>) {
    loop {
        let next = engine.model().next_at();
        let due = async {
            match next {
                Some(at) => sleep_until(engine.start + at.since(Time::START)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = engine.wake.notified() => {}
        }
        let now = engine.now();
        engine.model().advance(now);
    }
}

#[derive(Debug)]
struct Engine {
    model: Mutex<Model>,
    fault: Mutex<Fault>,
    wake: Notify,
    start: Instant,
}

impl Engine {
    fn model(&self) -> MutexGuard<'_, Model> {
        self.model
            .lock()
            .expect("nothing panics while it holds the model")
    }

    fn fault(&self) -> MutexGuard<'_, Fault> {
        self.fault
            .lock()
            .expect("nothing panics while it holds the faults")
    }

    fn now(&self) -> Time {
        Time::since_start(self.start.elapsed())
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Denial> {
        let method = request.method().clone();
        let path: String = request.uri().path().into();
        let mut parts = path.trim_matches('/').splitn(4, '/');
        let place = [(); 4].map(|()| parts.next().unwrap_or_default());
        let now = self.now();
        match (method, place) {
            (Method::POST, ["v1", "completions", "", ""]) => {
                let generate = read(request, limit::REQUEST).await?;
                self.complete(generate).await
            }
            (Method::DELETE, ["v1", "attempts", attempt, ""]) => {
                let attempt = number(attempt)?;
                self.model().cancel(now, attempt);
                Ok(serve::empty(204))
            }
            (Method::GET, ["v1", "load", "", ""]) => Ok(serve::json(200, &self.model().load(now))),
            (Method::GET, ["v1", "cache", "events", ""]) => {
                let after = after(request.uri().query())?;
                Ok(serve::json(200, &self.model().events(now, after)))
            }
            (Method::GET, ["v1", "cache", "blocks", block]) => {
                let block = Block(number(block)?);
                let image = self.model().export(block);
                let image = image.ok_or_else(|| deny(404, "block is not held"))?;
                Ok(Response::new(serve::full(image)))
            }
            (Method::PUT, ["v1", "cache", "blocks", block]) => {
                let block = Block(number(block)?);
                let bytes = bytes(request, limit::REQUEST).await?;
                self.model().import(now, block, &bytes)?;
                Ok(serve::empty(204))
            }
            (Method::POST, ["v1", "orders", "", ""]) => {
                let order: Order = read(request, limit::INTENT).await?;
                let state = self.model().order(now, order)?;
                self.wake.notify_one();
                Ok(serve::json(200, &state))
            }
            (Method::GET, ["v1", "state", "", ""]) => Ok(serve::json(200, &self.model().state())),
            (Method::GET, ["v1", "counts", "", ""]) => Ok(serve::json(200, &self.model().counts())),
            (Method::POST, ["fault", "", "", ""]) => {
                let fault = read(request, limit::INTENT).await?;
                self.break_on_demand(fault);
                Ok(serve::empty(204))
            }
            _ => Err(deny(404, "no such call")),
        }
    }

    fn break_on_demand(&self, fault: Fault) {
        if fault.crash {
            std::process::exit(CRASHED);
        }
        if fault.stall_ms.0 > 0 {
            let until = self.now() + fault.stall_ms.duration();
            self.model().stall(until);
        }
        *self.fault() = fault;
    }

    /// Takes what is pending for the next request.
    fn take_fault(&self) -> Fault {
        let mut pending = self.fault();
        if pending.refuse > 0 {
            // A refused request uses up no other fault.
            pending.refuse -= 1;
            return Fault {
                refuse: 1,
                ..Fault::default()
            };
        }
        std::mem::take(&mut *pending)
    }

    async fn complete(self: Arc<Self>, request: Generate) -> Result<Response<Body>, Denial> {
        let fault = self.take_fault();
        if fault.refuse > 0 {
            return Err(self.model().refuse());
        }
        if fault.reset == Some(Reset::Before) {
            close();
        }
        let attempt = request.attempt;
        let chunks = self.model().submit(self.now(), request)?;
        self.wake.notify_one();
        let reply = Reply {
            engine: self,
            attempt,
            chunks,
            fault,
            sent: 0,
            ready: VecDeque::new(),
            ended: false,
        };
        if fault.reset == Some(Reset::After) {
            close();
        }
        Ok(reply.into_answer())
    }
}

impl Handler for Engine {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move {
            match self.route(request).await {
                Ok(answer) => answer,
                Err(denial) => refuse(&denial),
            }
        })
    }
}

/// The answer to one attempt; dropping it early cancels the attempt.
#[derive(Debug)]
struct Reply {
    engine: Arc<Engine>,
    attempt: Attempt,
    chunks: UnboundedReceiver<Chunk>,
    fault: Fault,
    /// Tokens sent.
    sent: u64,
    ready: VecDeque<Bytes>,
    ended: bool,
}

impl Reply {
    fn into_answer(self) -> Response<Body> {
        let frames = stream::unfold(self, |mut reply| async move {
            let bytes = reply.next().await?;
            Some((Ok::<_, Infallible>(Frame::data(bytes)), reply))
        });
        let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(CONTENT_TYPE, kind);
        answer
    }

    async fn next(&mut self) -> Option<Bytes> {
        if let Some(bytes) = self.ready.pop_front() {
            return Some(bytes);
        }
        if self.ended {
            return None;
        }
        if self.fault.cut_after.is_some_and(|cut| self.sent >= cut) {
            sleep(FLUSH).await;
            close();
        }
        // A cancelled attempt ends without a finish and without the end marker.
        let mut chunk = self.chunks.recv().await?;
        self.gather(&mut chunk);
        self.ended = chunk.finish.is_some();
        self.sent += chunk.tokens;
        if std::mem::take(&mut self.fault.wrong_attempt) {
            chunk.attempt = chunk.attempt.wrapping_add(1);
        }
        let bytes = encode(&chunk);
        if self.fault.double {
            self.ready.push_back(bytes.clone());
        }
        if self.ended {
            self.ready.push_back(end());
        }
        Some(bytes)
    }

    /// Adds the tokens that piled up behind a chunk.
    fn gather(&mut self, chunk: &mut Chunk) {
        if self.fault.cut_after.is_some() {
            return;
        }
        while chunk.text.len() < limit::EVENT / 2
            && let Ok(next) = self.chunks.try_recv()
        {
            chunk.tokens += next.tokens;
            chunk.text.push_str(&next.text);
            chunk.finish = next.finish;
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        let now = self.engine.now();
        // An attempt that has ended is no longer known, and nothing happens.
        self.engine.model().cancel(now, self.attempt);
    }
}

/// Closes the connection whose request is being answered.
///
/// Unwinding ends the connection's task and nothing else, without a panic's message.
pub(crate) fn close() -> ! {
    std::panic::resume_unwind(Box::new("connection closed on demand"))
}

fn encode(chunk: &Chunk) -> Bytes {
    let data = String::from_utf8_lossy(&http::json(chunk)).into_owned();
    sse::Event { id: None, data }.encode().into()
}

fn end() -> Bytes {
    let data = "[DONE]".into();
    sse::Event { id: None, data }.encode().into()
}

fn refuse(denial: &Denial) -> Response<Body> {
    let mut answer = serve::json(denial.status, &denial.refusal);
    let name = HeaderName::from_static(header::STARTED);
    let value = HeaderValue::from_static("false");
    answer.headers_mut().insert(name, value);
    answer
}

fn deny(status: u16, message: impl Into<String>) -> Denial {
    Denial::new(status, message)
}

async fn bytes(request: Request<Incoming>, limit: usize) -> Result<Bytes, Denial> {
    let body = http::read(request.into_body(), limit).await;
    body.map_err(|error| deny(400, error.to_string()))
}

async fn read<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<T, Denial> {
    let bytes = bytes(request, limit).await?;
    http::parse(&bytes).map_err(|error| deny(400, error.to_string()))
}

fn number(text: &str) -> Result<u64, Denial> {
    text.parse()
        .map_err(|error| deny(400, format!("{text:?}: {error}")))
}

fn after(query: Option<&str>) -> Result<u64, Denial> {
    let pairs = query.unwrap_or_default().split('&');
    let found = pairs.filter_map(|pair| pair.strip_prefix("after=")).next();
    found.map_or(Ok(0), number)
}
