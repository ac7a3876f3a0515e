//! Connections to endpoints, kept between requests; one request at a time on each.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::id;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::socket;

/// Idle time of a connection whose endpoint names none.
const UNSAID: Duration = Duration::from_millis(900);
/// Taken off the idle time that an endpoint names, for the way there.
const MARGIN: Duration = Duration::from_millis(600);
/// Idle connections kept for one endpoint; it bounds descriptors and memory.
const KEPT: usize = 24;

/// A request's body, which notes when all of it was handed over.
#[derive(Debug)]
pub struct Payload {
    bytes: Option<Bytes>,
    sent: Rc<Cell<bool>>,
}

impl Payload {
    /// A body of these bytes.
    #[must_use]
    pub fn new(bytes: Bytes, sent: Rc<Cell<bool>>) -> Self {
        sent.set(bytes.is_empty());
        let bytes = (!bytes.is_empty()).then_some(bytes);
        Self { bytes, sent }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = self.bytes.take();
        self.sent.set(true);
        Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

/// Ends the connection's task when it is dropped.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an endpoint. Dropping it closes it.
#[derive(Debug)]
pub struct Link {
    endpoint: id::Endpoint,
    sender: SendRequest<Payload>,
    _driver: Driver,
    idle: Instant,
}

/// Why a request was not sent, or what became of it.
#[derive(Debug)]
pub enum Fault {
    /// Not a byte of it was written.
    Unsent(String),
    /// It may have arrived.
    Broken(String),
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    /// The endpoint cannot be reached.
    pub async fn open(endpoint: id::Endpoint, address: SocketAddr) -> Result<Self, Fault> {
        let unsent = |error: String| Fault::Unsent(error);
        let stream = socket::connect(address)
            .await
            .map_err(|error| unsent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        let driver = Driver(tokio::task::spawn_local(async move {
            // Its end shows at the sender, with the reason.
            let _ended = connection.await;
        }));
        Ok(Self {
            endpoint,
            sender,
            _driver: driver,
            idle: Instant::now(),
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Says whether anything was written.
    pub async fn send(&mut self, request: Request<Payload>) -> Result<Response<Incoming>, Fault> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = error.into_error().to_string();
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
struct Shelf {
    endpoint: id::Endpoint,
    links: Vec<Link>,
}

/// Idle connections to all endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    /// Sorted by endpoint.
    shelves: Vec<Shelf>,
}

impl Pool {
    /// An idle connection that still stands.
    pub fn take(&mut self, endpoint: &id::Endpoint, now: Instant) -> Option<Link> {
        let place = self.place(endpoint).ok()?;
        let links = &mut self.shelves[place].links;
        while let Some(link) = links.pop() {
            if link.sender.is_ready() && now < link.idle {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection whose answer came whole; `keep` is the endpoint's own word.
    pub fn put(&mut self, mut link: Link, now: Instant, keep: Option<Duration>) {
        let keep = keep.map_or(UNSAID, |keep| keep.saturating_sub(MARGIN).max(keep / 2));
        link.idle = now + keep;
        let endpoint = link.endpoint.clone();
        let place = self.place(&endpoint).unwrap_or_else(|place| {
            let links = Vec::new();
            self.shelves.insert(place, Shelf { endpoint, links });
            place
        });
        let links = &mut self.shelves[place].links;
        links.retain(|link| !link.sender.is_closed() && now < link.idle);
        if links.len() < KEPT {
            links.push(link);
        }
    }

    /// Closes the idle connections to an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &id::Endpoint) {
        if let Ok(place) = self.place(endpoint) {
            self.shelves.remove(place);
        }
    }

    fn place(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.shelves
            .binary_search_by(|shelf| shelf.endpoint.cmp(endpoint))
    }
}
