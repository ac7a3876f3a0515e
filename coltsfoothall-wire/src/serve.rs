//! An HTTP server on top of `hyper`, used by every program that accepts connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use quick_error::quick_error;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::fault::{Body as FaultBody, Fault};
use crate::{http, limit};

/// Body of an answer, complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Future of an answer.
pub type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Maximum number of open connections; it bounds the memory that idle callers can use.
pub const CONNECTIONS: usize = 8192;

/// A request handler.
pub trait Handler: Send + Sync {
    /// Answers one request that came from `peer`.
    fn call(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> Answer;
}

/// Creates a complete body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Creates an answer with a status and an empty body.
#[must_use]
pub fn empty(status: u16) -> Response<Body> {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = status_code(status);
    answer
}

/// Creates an answer with a JSON body.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    let mut answer = Response::new(full(http::json(value)));
    *answer.status_mut() = status_code(status);
    let kind = HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    answer
}

/// Creates the JSON answer for an error, with `Retry-After` if the error has a retry delay.
#[must_use]
pub fn fault(fault: &Fault) -> Response<Body> {
    let mut answer = json(
        fault.code.status(),
        &FaultBody {
            error: fault.clone(),
        },
    );
    if let Some(wait) = fault.retry_after_ms {
        let seconds = wait.0.div_ceil(1000).max(1);
        answer
            .headers_mut()
            .insert(hyper::header::RETRY_AFTER, seconds.into());
    }
    answer
}

/// Response extension that makes the server close the connection instead of answering.
#[derive(Debug, Clone, Copy)]
struct HangUp;

quick_error! {
    /// Error that makes `hyper` close the connection without an answer.
    #[derive(Debug)]
    enum Error {
        /// The handler asked for it with [`hang_up`].
        HangUp {
            display("closed without an answer")
        }
    }
}

/// Creates a response that makes the server close the connection without sending an answer.
#[must_use]
pub fn hang_up() -> Response<Body> {
    let mut answer = empty(500);
    answer.extensions_mut().insert(HangUp);
    answer
}

fn check_hang_up(answer: Response<Body>) -> Result<Response<Body>, Error> {
    match answer.extensions().get::<HangUp>() {
        Some(HangUp) => Err(Error::HangUp),
        None => Ok(answer),
    }
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Signals that stop a server in two steps.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    /// Once cancelled, each open connection is closed after its next answer, and new ones are
    /// accepted only while the backlog is drained.
    pub last: CancellationToken,
    /// Once cancelled, idle connections are closed. Until then, a caller that does not know of
    /// the stop yet still gets an answer on an idle connection. After that, its request would
    /// arrive at a closed connection, and it could not tell whether the request was read.
    pub idle: CancellationToken,
}

impl From<CancellationToken> for Stop {
    /// Runs both steps at once, for programs whose callers need no advance notice.
    fn from(stop: CancellationToken) -> Self {
        Self {
            last: stop.clone(),
            idle: stop,
        }
    }
}

/// How long connections are still accepted after the stop. The kernel has established those in
/// the backlog already, and closing the listener would reset them.
const BACKLOG_DRAIN_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is cancelled, then lets the open ones finish their requests.
///
/// Returns when the last connection has ended.
pub async fn run(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    run_until(listener, handler, Stop::from(stop)).await;
}

/// Accepts connections until `stop.last` is cancelled, then lets the open ones finish their
/// requests.
///
/// Returns when the last connection has ended.
pub async fn run_until(listener: TcpListener, handler: Arc<dyn Handler>, stop: Stop) {
    let open = TaskTracker::new();
    let stopped = async {
        stop.last.cancelled().await;
        sleep(BACKLOG_DRAIN_DELAY).await;
    };
    let mut stopped = std::pin::pin!(stopped);
    loop {
        let accepted = tokio::select! {
            () = stopped.as_mut() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) if open.len() < CONNECTIONS => {
                let connection = connection(stream, peer, Arc::clone(&handler), stop.clone());
                open.spawn(connection);
            }
            Ok(_over_limit) => {}
            // Typically out of file descriptors: wait for connections to end instead of spinning.
            Err(_transient) => sleep(Duration::from_millis(10)).await,
        }
    }
    drop(listener);
    open.close();
    open.wait().await;
}

async fn connection(stream: TcpStream, peer: SocketAddr, handler: Arc<dyn Handler>, stop: Stop) {
    // Parts of a streamed answer are small; Nagle's algorithm would delay them.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Stop { last, idle } = stop;
    let service = service_fn(move |request| {
        let answer = Arc::clone(&handler).call(request, peer);
        let last = last.clone();
        async move {
            let mut answer = answer.await;
            if last.is_cancelled() && answer.status() != StatusCode::SWITCHING_PROTOCOLS {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            check_hang_up(answer)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limit::HEAD)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    let mut shutting_down = false;
    loop {
        tokio::select! {
            // An error on one connection does not affect the others.
            _ended = connection.as_mut() => return,
            () = idle.cancelled(), if !shutting_down => {
                shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
