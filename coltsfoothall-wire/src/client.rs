//! An HTTP client around `hyper`, whose errors name the step and the peer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{http, limit};

/// Time in which a connection has to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// Time between probes of a silent connection; two without an answer end it, so that a
/// peer that vanished is noticed while a call waits for it.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 2;
/// Bytes unacknowledged for so long mean that the peer is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Longest pause within an answer whose size is not known before: links that lose packets
/// send them again within it.
const PAUSE: Duration = Duration::from_secs(2);
/// Time in which an answer must be whole in any case.
const LONGEST: Duration = Duration::from_secs(60);
/// Idle connections kept for each peer.
const IDLE: usize = 32;

quick_error! {
    /// A call that failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection came up, so nothing was sent.
        Connect(step: String, peer: String, message: String) {
            display("{step}: cannot connect to {peer}: {message}")
        }
        /// The call broke after it may have been sent.
        Broken(step: String, peer: String, message: String) {
            display("{step}: {peer} broke off: {message}")
        }
        /// No answer came in time.
        Timeout(step: String, peer: String) {
            display("{step}: no answer from {peer} in time")
        }
        /// The answer has another status than success.
        Status(step: String, peer: String, status: u16, body: Bytes) {
            display("{step}: {peer} answered {status}: {}", String::from_utf8_lossy(body))
        }
        /// The answer cannot be read.
        Body(step: String, peer: String, message: String) {
            display("{step}: cannot read the answer of {peer}: {message}")
        }
        /// The call cannot be put together.
        Call(step: String, peer: String, message: String) {
            display("{step}: cannot call {peer}: {message}")
        }
    }
}

impl Error {
    /// Whether the peer cannot have seen the call.
    #[must_use]
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Call(..))
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// The body of a success.
    ///
    /// # Errors
    /// The status is another one.
    pub fn success(self, step: &str, peer: &str) -> Result<Bytes, Error> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let status = self.status.as_u16();
        Err(Error::Status(step.into(), peer.into(), status, self.body))
    }
}

/// A client that keeps connections open.
#[derive(Debug, Clone)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client with no connection yet.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE));
        connector.set_keepalive_interval(Some(PROBE));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        connector.set_connect_timeout(Some(CONNECT));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE)
            // A silent second try would break at-most-once.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// The error says whether the peer can have seen the call.
    pub async fn send(
        &self,
        step: &str,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let peer = request
            .uri()
            .authority()
            .map(ToString::to_string)
            .unwrap_or_default();
        match timeout(within, self.inner.request(request)).await {
            Err(_elapsed) => Err(Error::Timeout(step.into(), peer)),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_connect() => {
                Err(Error::Connect(step.into(), peer, chain(&error)))
            }
            Ok(Err(error)) => Err(Error::Broken(step.into(), peer, chain(&error))),
        }
    }

    /// Calls `http://{peer}{path}` with a body and reads the whole answer.
    ///
    /// # Errors
    /// As [`Client::send`]; any status but success is an error too.
    pub async fn call(
        &self,
        step: &str,
        method: Method,
        peer: &str,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Bytes, Error> {
        let answer = self.ask(step, method, peer, path, body, within).await?;
        answer.success(step, peer)
    }

    /// Calls `http://{peer}{path}` with a body and reads the whole answer, of any status.
    ///
    /// # Errors
    /// As [`Client::send`].
    pub async fn ask(
        &self,
        step: &str,
        method: Method,
        peer: &str,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Answer, Error> {
        let request = request(step, method, peer, path, body)?;
        let whole = async {
            let (head, body) = self.send(step, request, within).await?.into_parts();
            let body = http::read(body, limit::FRAME).await;
            answer(step, peer, head, body)
        };
        match timeout(within, whole).await {
            Ok(result) => result,
            Err(_elapsed) => Err(Error::Timeout(step.into(), peer.into())),
        }
    }

    /// `GET` of an answer of any size and status: it must begin in time, and then go on. A limit
    /// on the whole answer would be one on its size, and on what else the link carries.
    ///
    /// # Errors
    /// As [`Client::send`], or the answer stalled.
    pub async fn fetch(
        &self,
        step: &str,
        peer: &str,
        path: &str,
        begins_within: Duration,
    ) -> Result<Answer, Error> {
        let request = request(step, Method::GET, peer, path, Bytes::new())?;
        let whole = async {
            let (head, body) = self.send(step, request, begins_within).await?.into_parts();
            let body = http::read_steady(body, limit::FRAME, PAUSE).await;
            answer(step, peer, head, body)
        };
        match timeout(begins_within + LONGEST, whole).await {
            Ok(result) => result,
            Err(_elapsed) => Err(Error::Timeout(step.into(), peer.into())),
        }
    }

    /// `GET` of a JSON value.
    ///
    /// # Errors
    /// As [`Client::call`], or the answer is not the JSON that was asked for.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &str,
        peer: &str,
        path: &str,
        within: Duration,
    ) -> Result<T, Error> {
        let body = self
            .call(step, Method::GET, peer, path, Bytes::new(), within)
            .await?;
        read(step, peer, &body)
    }

    /// A call with a JSON value that is answered with another.
    ///
    /// # Errors
    /// As [`Client::get`].
    pub async fn exchange<A: Serialize, T: DeserializeOwned>(
        &self,
        step: &str,
        method: Method,
        peer: &str,
        path: &str,
        value: &A,
        within: Duration,
    ) -> Result<T, Error> {
        let body = self
            .call(step, method, peer, path, http::json(value), within)
            .await?;
        read(step, peer, &body)
    }
}

fn request(
    step: &str,
    method: Method,
    peer: &str,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| Error::Call(step.into(), peer.into(), error.to_string()))
}

fn answer(
    step: &str,
    peer: &str,
    head: Parts,
    body: Result<Bytes, http::Error>,
) -> Result<Answer, Error> {
    let body = body.map_err(|error| Error::Body(step.into(), peer.into(), error.to_string()))?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn read<T: DeserializeOwned>(step: &str, peer: &str, body: &[u8]) -> Result<T, Error> {
    http::parse(body).map_err(|error| Error::Body(step.into(), peer.into(), error.to_string()))
}

/// The error and what caused it, as one line.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
