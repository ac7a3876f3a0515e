//! Pool of connections to endpoints and other instances; each carries one request at a time.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::id;
use coltsfoothall_wire::body::Body;
use http::{Request, Response};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::socket;

/// Idle timeout of a connection whose endpoint names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Subtracted from the idle timeout that an endpoint names, to allow for network latency.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Maximum number of idle connections to one endpoint, which bounds file descriptors and memory.
const MAX_IDLE_PER_ENDPOINT: usize = 24;
/// Read buffer of a connection to an endpoint, which also limits a single head.
const MAX_READ_BUFFER: usize = 64 << 10;
/// Bytes read for a response until its head is complete, informational (1xx) heads included. hyper
/// skips informational heads without a limit, and reads them in one go as long as more arrive: that
/// stopped the whole instance for 10 s. The limit is above the largest head and a read buffer of its
/// body.
const MAX_HEAD_BYTES: usize = 2 << 20;

/// A request body that records when all of it was passed to the connection.
#[derive(Debug)]
pub struct Payload {
    body: Body,
    /// Number of its parts that were passed on.
    passed: usize,
    sent: Rc<Cell<bool>>,
}

impl Payload {
    /// The payload of a request with this body; `sent` is set when all of it has been passed on.
    #[must_use]
    pub fn new(body: Body, sent: Rc<Cell<bool>>) -> Self {
        sent.set(body.parts().is_empty());
        Self {
            body,
            passed: 0,
            sent,
        }
    }

    fn rest(&self) -> &[Bytes] {
        &self.body.parts()[self.passed..]
    }
}

impl http_body::Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.rest().first().cloned();
        self.passed += usize::from(part.is_some());
        self.sent.set(self.rest().is_empty());
        Poll::Ready(part.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest().iter().map(|part| part.len() as u64).sum())
    }
}

/// Aborts the task of a connection when it is dropped.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Bytes that may be read until the head of a response is complete; no limit if there is none.
type HeadLimit = Rc<Cell<Option<usize>>>;

/// A socket that fails once it has read more than the limit allows.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    limit: HeadLimit,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.limit.get();
        if limit == Some(0) {
            return Poll::Ready(Err(io::Error::other("the head does not end")));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.limit
            .set(limit.map(|limit| limit.saturating_sub(bytes)));
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Where a connection leads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// To an endpoint.
    Endpoint(id::Endpoint),
    /// To another instance, which runs requests that are handed to it.
    Instance(id::Instance),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(id) => write!(f, "{id}"),
            Self::Instance(id) => write!(f, "{id}"),
        }
    }
}

/// A connection. Dropping it closes it.
#[derive(Debug)]
pub struct Link {
    target: Target,
    sender: SendRequest<Payload>,
    limit: HeadLimit,
    _driver: Driver,
    expires_at: Instant,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum Fault {
    /// Nothing listens at the endpoint's address, so no byte of it was written.
    Refused(String),
    /// No byte of it was written.
    Unsent(String),
    /// It was not written, as its endpoint wants no more requests.
    Withheld,
    /// It may have reached the endpoint.
    Broken(String),
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    /// The target cannot be reached.
    pub async fn open(target: Target, address: SocketAddr) -> Result<Self, Fault> {
        let unsent = |error: String| Fault::Unsent(error);
        let stream = socket::connect(address).await.map_err(|error| {
            let reason = error.to_string();
            match error.kind() {
                io::ErrorKind::ConnectionRefused => Fault::Refused(reason),
                _ => Fault::Unsent(reason),
            }
        })?;
        let limit = HeadLimit::default();
        let socket = Socket {
            stream,
            limit: Rc::clone(&limit),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        let driver = Driver(tokio::task::spawn_local(async move {
            // The sender reports its error.
            let _ended = connection.await;
        }));
        Ok(Self {
            target,
            sender,
            limit,
            _driver: driver,
            expires_at: Instant::now(),
        })
    }

    /// Where it leads.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the headers of the response.
    ///
    /// # Errors
    /// Returns whether anything was written.
    pub async fn send(&mut self, request: Request<Payload>) -> Result<Response<Incoming>, Fault> {
        self.limit.set(Some(MAX_HEAD_BYTES));
        let sent = self.sender.try_send_request(request).await;
        self.limit.set(None);
        match sent {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                let text = error
                    .source()
                    .map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"));
                Err(if unsent {
                    Fault::Unsent(text)
                } else {
                    Fault::Broken(text)
                })
            }
        }
    }
}

#[derive(Debug)]
struct Group {
    target: Target,
    links: Vec<Link>,
}

/// Idle connections to all targets.
#[derive(Debug, Default)]
pub struct Pool {
    /// Sorted by target.
    groups: Vec<Group>,
}

impl Pool {
    /// Takes an idle connection that is still open.
    pub fn take(&mut self, target: &Target, now: Instant) -> Option<Link> {
        let index = self.index(target).ok()?;
        let links = &mut self.groups[index].links;
        while let Some(link) = links.pop() {
            if link.sender.is_ready() && now < link.expires_at {
                return Some(link);
            }
        }
        None
    }

    /// Returns a connection whose response is complete; `keep_alive` is the timeout that the
    /// endpoint named.
    pub fn put(&mut self, mut link: Link, now: Instant, keep_alive: Option<Duration>) {
        let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive| {
            keep_alive
                .saturating_sub(IDLE_TIMEOUT_MARGIN)
                .max(keep_alive / 2)
        });
        link.expires_at = now + idle_timeout;
        let target = link.target.clone();
        let index = self.index(&target).unwrap_or_else(|index| {
            let links = Vec::new();
            self.groups.insert(index, Group { target, links });
            index
        });
        let links = &mut self.groups[index].links;
        links.retain(|link| !link.sender.is_closed() && now < link.expires_at);
        if links.len() < MAX_IDLE_PER_ENDPOINT {
            links.push(link);
        }
    }

    /// Endpoints to which an idle connection is open, sorted.
    #[must_use]
    pub fn kept(&self, now: Instant) -> Vec<id::Endpoint> {
        let open = self.groups.iter().filter(|group| {
            let mut links = group.links.iter();
            links.any(|link| link.sender.is_ready() && now < link.expires_at)
        });
        let endpoints = open.filter_map(|group| match &group.target {
            Target::Endpoint(id) => Some(id.clone()),
            Target::Instance(_) => None,
        });
        endpoints.collect()
    }

    /// Closes the idle connections to an endpoint that is gone.
    pub fn remove(&mut self, endpoint: &id::Endpoint) {
        let target = Target::Endpoint(endpoint.clone());
        if let Ok(index) = self.index(&target) {
            self.groups.remove(index);
        }
    }

    fn index(&self, target: &Target) -> Result<usize, usize> {
        self.groups
            .binary_search_by(|group| group.target.cmp(target))
    }
}
