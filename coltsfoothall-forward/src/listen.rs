//! Accepts connections and enforces their limits.
//!
//! A connection is idle, is receiving the head of a request, or is busy with one. The time limits
//! of the first two phases are enforced at the socket, so that they do not apply while a request is
//! served. The socket also scans each head for conflicting message lengths.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection::{Busy, Connection, Phase};
use crate::outgoing::Outgoing;
use crate::slots::Slots;
use crate::socket;

/// Delay after a failed accept, which keeps a lack of file descriptors from causing a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which the rest of a request is discarded after its refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are discarded at once.
const DRAIN_BUFFER_BYTES: usize = 4 << 10;
/// Minimum size of a connection's read buffer; it grows to the largest head that is allowed.
const MIN_BUFFER_BYTES: usize = 32 << 10;

/// Limits of a connection, read when it is accepted.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the head of a request.
    pub max_head_bytes: usize,
    /// Time in which the head must be complete.
    pub head_timeout: Duration,
    /// Time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// Answers the requests of a listener.
pub trait Handler {
    /// The limits of a new connection.
    fn limits(&self) -> Limits;
    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> LocalBoxFuture<'static, Response<Outgoing>>;
}

/// The connections of a listener.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    closing: CancellationToken,
    open: TaskTracker,
}

impl Connections {
    /// Stops accepting, closes idle connections at once, and the others after their response.
    pub fn close(&self) {
        self.closing.cancel();
        self.open.close();
    }

    /// Waits until all connections are closed and their responses written.
    pub async fn closed(&self) {
        self.open.wait().await;
    }
}

/// Accepts connections until they are to be closed.
pub async fn run(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    connections: Connections,
    slots: Rc<Slots>,
) {
    let closing = &connections.closing;
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            // A connection for which there is no room is closed before anything is read.
            Ok((stream, _peer)) if slots.make_room().await => {
                let connection = Rc::new(Connection::new());
                let slot = slots.add(&connection);
                let serving = serve(stream, connection, Rc::clone(&handler), closing.clone());
                connections.open.spawn_local(async move {
                    tokio::select! {
                        () = serving => {}
                        () = slot.closing() => {}
                    }
                });
            }
            Ok(_no_room) => {}
            Err(_transient) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(
    stream: TcpStream,
    connection: Rc<Connection>,
    handler: Rc<dyn Handler>,
    closing: CancellationToken,
) {
    if socket::set_options(&stream).is_err() {
        // The peer has already closed the connection.
        return;
    }
    let limits = handler.limits();
    let timed = TimedStream {
        stream,
        connection: Rc::clone(&connection),
        limits,
        sleep: None,
        scan: Scan::default(),
        lingers: false,
    };
    let service = service_fn(move |request| {
        let busy = Busy::new(&connection);
        let answer = Rc::clone(&handler).handle(request, Rc::clone(&connection));
        async move {
            let answer = answer.await;
            Ok::<_, std::convert::Infallible>(answer.map(|body| body.with_busy(busy)))
        }
    });
    let serving = http1::Builder::new()
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(timed), service);
    let mut serving = std::pin::pin!(serving);
    let mut shutting_down = false;
    loop {
        tokio::select! {
            // An error on a connection affects only its caller.
            _ended = serving.as_mut() => return,
            () = closing.cancelled(), if !shutting_down => {
                shutting_down = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Scans the head of a request for conflicting message lengths, as used for request smuggling.
#[derive(Debug, Default)]
struct Scan {
    line: Vec<u8>,
    lengths: u32,
    chunked: u32,
    /// Whether the empty line was seen, after which the body begins.
    ended: bool,
}

/// Prefix of a line that is inspected: it holds the longest header name in question.
const MAX_LINE_PREFIX_BYTES: usize = 20;

impl Scan {
    /// Scans the next bytes. Returns whether the head has more than one `Content-Length` or
    /// `Transfer-Encoding` header, counted together.
    fn push(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if self.ended {
                break;
            }
            if *byte == b'\n' {
                self.end_line();
                self.line.clear();
            } else if self.line.len() < MAX_LINE_PREFIX_BYTES {
                self.line.push(byte.to_ascii_lowercase());
            }
        }
        self.lengths > 1 || self.chunked > 1 || (self.lengths > 0 && self.chunked > 0)
    }

    fn end_line(&mut self) {
        self.ended = matches!(self.line.as_slice(), b"" | b"\r");
        self.lengths += u32::from(self.line.starts_with(b"content-length"));
        self.chunked += u32::from(self.line.starts_with(b"transfer-encoding"));
    }
}

/// A stream that enforces the time limits of its connection.
struct TimedStream {
    stream: TcpStream,
    connection: Rc<Connection>,
    limits: Limits,
    sleep: Option<Pin<Box<Sleep>>>,
    scan: Scan,
    /// Whether the last response was sent and the rest of its request is being discarded.
    lingers: bool,
}

impl TimedStream {
    /// The deadline of the current phase.
    fn deadline(&self) -> Option<Instant> {
        let since = self.connection.since.get();
        if self.lingers {
            return Some(since + LINGER_TIMEOUT);
        }
        match self.connection.phase.get() {
            Phase::Idle => Some(since + self.limits.idle_timeout),
            Phase::Head => Some(since + self.limits.head_timeout),
            Phase::Body | Phase::Busy => None,
        }
    }

    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.deadline() else {
            return Poll::Pending;
        };
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if sleep.deadline() != deadline {
            sleep.as_mut().reset(deadline);
        }
        sleep.as_mut().poll(context)
    }

    /// Discards what the client still sends, until it closes the connection or time is over. Closing
    /// with unread bytes would reset the connection, and the client might lose the response.
    fn poll_drained(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DRAIN_BUFFER_BYTES];
        // A timer is not due as long as more bytes are there whenever it is polled.
        while self
            .deadline()
            .is_some_and(|deadline| Instant::now() < deadline)
        {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_ended) => return Poll::Ready(()),
                Poll::Pending => return self.poll_expired(cx),
            }
        }
        Poll::Ready(())
    }

    /// Restarts the idle time when bytes of a response are written. A response is buffered before
    /// all of it is written, and a caller that is still reading it is not idle.
    fn record_write(&self) {
        if self.connection.phase.get() == Phase::Idle {
            self.connection.enter(Phase::Idle);
        }
    }

    fn record_read(&mut self, bytes: &[u8]) {
        if self.connection.phase.get() == Phase::Idle {
            self.connection.enter(Phase::Head);
            self.scan = Scan::default();
        }
        if self.connection.phase.get() == Phase::Head && self.scan.push(bytes) {
            self.connection.ambiguous.set(true);
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(read) => read?,
            Poll::Pending => {
                ready!(self.poll_expired(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        if buf.filled().len() > before {
            self.record_read(&buf.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.record_write();
        Poll::Ready(wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.lingers {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.connection.unread.get() {
            self.lingers = true;
            ready!(self.poll_drained(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.record_write();
        Poll::Ready(wrote)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
