//! An HTTP client on top of `hyper`. Its errors name the operation (`step`) and the peer.

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

/// Limit on establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time before the first TCP keepalive probe, and the interval between probes. Keepalive
/// detects a peer that vanished while a call waits for its answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long sent data may stay unacknowledged before the peer is considered gone. On Linux the same
/// time, and not the number of probes, decides when keepalive gives up.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest pause within an answer whose size is not known in advance. It is long enough for
/// lost packets to be retransmitted.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the time for a complete answer whose size is not known in advance, added to the
/// limit on the time until it begins.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of idle connections kept open to each peer.
const MAX_IDLE_PER_PEER: usize = 32;

quick_error! {
    /// A call that failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was established, so nothing was sent.
        Connect(step: String, peer: String, message: String) {
            display("{step}: cannot connect to {peer}: {message}")
        }
        /// The connection failed after the request may have been sent.
        Broken(step: String, peer: String, message: String) {
            display("{step}: connection to {peer} failed: {message}")
        }
        /// The answer did not arrive within the time limit.
        Timeout(step: String, peer: String) {
            display("{step}: timed out waiting for an answer from {peer}")
        }
        /// The answer has a status other than 2xx.
        Status(step: String, peer: String, status: u16, body: Bytes) {
            display("{step}: {peer} answered {status}: {}", String::from_utf8_lossy(body))
        }
        /// The body of the answer could not be read or parsed.
        Body(step: String, peer: String, message: String) {
            display("{step}: cannot read the answer from {peer}: {message}")
        }
        /// The request could not be built, for example because the peer address is invalid.
        Call(step: String, peer: String, message: String) {
            display("{step}: cannot call {peer}: {message}")
        }
    }
}

impl Error {
    /// Whether it is certain that the peer did not receive the request.
    #[must_use]
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Call(..))
    }
}

/// A completely received answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body if the status is a success.
    ///
    /// # Errors
    /// [`Error::Status`] for any status other than 2xx.
    pub fn success(self, step: &str, peer: &str) -> Result<Bytes, Error> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let status = self.status.as_u16();
        Err(Error::Status(step.into(), peer.into(), status, self.body))
    }
}

/// A client that pools connections.
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
    /// Creates a client without any open connection.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_PEER)
            // A retry inside the client would break at-most-once execution.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`Error::unsent`] says whether the peer can have received the request.
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
                Err(Error::Connect(step.into(), peer, format_chain(&error)))
            }
            Ok(Err(error)) => Err(Error::Broken(step.into(), peer, format_chain(&error))),
        }
    }

    /// Calls `http://{peer}{path}` with a body and reads the complete answer.
    ///
    /// # Errors
    /// As [`Client::send`]; a status other than 2xx is an error too.
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

    /// Calls `http://{peer}{path}` with a body and reads the complete answer, whatever its status.
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
        let complete = async {
            let (head, body) = self.send(step, request, within).await?.into_parts();
            let body = http::read(body, limit::FRAME).await;
            answer(step, peer, head, body)
        };
        match timeout(within, complete).await {
            Ok(result) => result,
            Err(_elapsed) => Err(Error::Timeout(step.into(), peer.into())),
        }
    }

    /// `GET` of an answer whose size is not known in advance, whatever its status. The head must
    /// arrive within `begins_within`, and the body must not pause for longer than
    /// `STALL_TIMEOUT`. A short limit on the complete answer would also limit its size and
    /// depend on the other traffic of the link.
    ///
    /// # Errors
    /// As [`Client::send`], or the body stalled.
    pub async fn fetch(
        &self,
        step: &str,
        peer: &str,
        path: &str,
        begins_within: Duration,
    ) -> Result<Answer, Error> {
        let request = request(step, Method::GET, peer, path, Bytes::new())?;
        let complete = async {
            let (head, body) = self.send(step, request, begins_within).await?.into_parts();
            let body = http::read_steady(body, limit::FRAME, STALL_TIMEOUT).await;
            answer(step, peer, head, body)
        };
        match timeout(begins_within + FETCH_TIMEOUT, complete).await {
            Ok(result) => result,
            Err(_elapsed) => Err(Error::Timeout(step.into(), peer.into())),
        }
    }

    /// `GET` of a JSON value.
    ///
    /// # Errors
    /// As [`Client::call`], or the body is not JSON of type `T`.
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

    /// Sends a JSON value and parses the JSON value in the answer.
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

/// Formats an error and its chain of sources on one line.
fn format_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
