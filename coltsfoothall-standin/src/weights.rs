//! The weight store: loads share one rate, and too long a queue is refused.
//!
//! `POST /v1/weights/{model}/{version}?bytes=N` is answered at once with a
//! [`Load`], the time that the caller then waits, or with 429.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use coltsfoothall::clock::Time;
use coltsfoothall::size::{Bytes, Millis};
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};

use crate::fault::{self, Gate};
use crate::query;

/// Rate of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Bytes in a second, for all loads together; at least 1.
    pub rate: Bytes,
    /// Longest wait for earlier loads; over it a load is refused.
    pub queue_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: Bytes(10 << 30),
            queue_ms: Millis(30_000),
        }
    }
}

/// A load that was let in.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Seconds until it is done, its wait for earlier loads among them.
    pub seconds: f64,
}

/// The store: loads run one after the other.
#[derive(Debug)]
pub struct Store {
    settings: Settings,
    busy: Time,
}

impl Store {
    /// A store with no load.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            busy: Time::START,
        }
    }

    /// Time that a load of so many bytes takes; none if the queue is too long.
    pub fn load(&mut self, now: Time, bytes: Bytes) -> Option<Duration> {
        if self.busy.since(now) > self.settings.queue_ms.duration() {
            return None;
        }
        let rate = u128::from(self.settings.rate.0.max(1));
        let micros = u128::from(bytes.0) * 1_000_000 / rate;
        let span = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        self.busy = self.busy.max(now) + span;
        Some(self.busy.since(now))
    }
}

/// The store behind its port.
#[derive(Debug)]
pub struct Server {
    store: Mutex<Store>,
    gate: Gate,
    start: Instant,
}

/// Serves until `stop`.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let server = Server {
        store: Mutex::new(Store::new(settings)),
        gate: Gate::new(stop.clone()),
        start: Instant::now(),
    };
    serve::run(listener, Arc::new(server), stop).await;
}

impl Server {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == fault::PATH {
            return self.gate.control(request).await;
        }
        if let Some(outage) = self.gate.enter().await {
            return outage;
        }
        let answer = self.apply(&request);
        let lost = answer.status().is_success() && self.gate.lost(None);
        self.gate.leave().await;
        if lost {
            return serve::hang_up();
        }
        answer
    }

    fn apply(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().strip_prefix("/v1/weights/");
        let named = path.is_some_and(|rest| rest.split('/').count() == 2);
        if request.method() != Method::POST || !named {
            return serve::empty(404);
        }
        let Some(bytes) = query::number(request.uri(), "bytes") else {
            return serve::empty(400);
        };
        let now = Time::since_start(self.start.elapsed());
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match store.load(now, Bytes(bytes)) {
            Some(span) => serve::json(
                200,
                &Load {
                    seconds: span.as_secs_f64(),
                },
            ),
            None => serve::empty(429),
        }
    }
}

impl Handler for Server {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move { self.answer(request).await })
    }
}
