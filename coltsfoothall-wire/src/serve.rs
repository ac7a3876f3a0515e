//! An HTTP server loop around `hyper`, for every program that listens.

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

/// Body of an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An answer under way.
pub type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Most connections open at once; it bounds the memory that idle callers can take.
pub const CONNECTIONS: usize = 8192;

/// What answers requests.
pub trait Handler: Send + Sync {
    /// Answers one request that came from `peer`.
    fn call(self: Arc<Self>, request: Request<Incoming>, peer: SocketAddr) -> Answer;
}

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// An empty answer with a status.
#[must_use]
pub fn empty(status: u16) -> Response<Body> {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = code(status);
    answer
}

/// A value as a JSON answer.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    let mut answer = Response::new(full(http::json(value)));
    *answer.status_mut() = code(status);
    let kind = HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    answer
}

/// An error as its JSON answer, with `Retry-After` where it says when to come back.
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

/// Mark of an answer that is not given.
#[derive(Debug, Clone, Copy)]
struct Silence;

quick_error! {
    /// The connection ends without an answer.
    #[derive(Debug)]
    enum Error {
        /// The handler wants it so.
        Silent {
            display("closed without an answer")
        }
    }
}

/// In place of an answer: the connection closes, and the peer gets none.
#[must_use]
pub fn hang_up() -> Response<Body> {
    let mut answer = empty(500);
    answer.extensions_mut().insert(Silence);
    answer
}

fn spoken(answer: Response<Body>) -> Result<Response<Body>, Error> {
    match answer.extensions().get::<Silence>() {
        Some(Silence) => Err(Error::Silent),
        None => Ok(answer),
    }
}

fn code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// When a server stops, in two steps.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    /// From then on no connection is accepted, and each ends with its next answer.
    pub last: CancellationToken,
    /// From then on connections without a request are closed. Until then a caller that has
    /// not heard of the stop gets an answer on one; later its request would meet a closed one,
    /// and it could not tell whether it was read.
    pub idle: CancellationToken,
}

impl From<CancellationToken> for Stop {
    /// Both steps at once, for programs whose callers need no notice.
    fn from(stop: CancellationToken) -> Self {
        Self {
            last: stop.clone(),
            idle: stop,
        }
    }
}

/// Time after the stop in which connections are accepted that the system made before: closing
/// the listener would reset them.
const BACKLOG: Duration = Duration::from_millis(50);

/// Accepts connections until `stop`, then lets the open ones finish their requests.
///
/// It returns when the last connection has ended.
pub async fn run(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    run_until(listener, handler, Stop::from(stop)).await;
}

/// Accepts connections until `stop.last`, then lets the open ones finish their requests.
///
/// It returns when the last connection has ended.
pub async fn run_until(listener: TcpListener, handler: Arc<dyn Handler>, stop: Stop) {
    let open = TaskTracker::new();
    let stopped = async {
        stop.last.cancelled().await;
        sleep(BACKLOG).await;
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
            // Out of descriptors: wait for connections to end instead of spinning.
            Err(_transient) => sleep(Duration::from_millis(10)).await,
        }
    }
    drop(listener);
    open.close();
    open.wait().await;
}

async fn connection(stream: TcpStream, peer: SocketAddr, handler: Arc<dyn Handler>, stop: Stop) {
    // Parts of an answer are small and must not wait for each other.
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
            spoken(answer)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limit::HEAD)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            // A connection's end, clean or not, concerns that connection alone.
            _ended = connection.as_mut() => return,
            () = idle.cancelled(), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
