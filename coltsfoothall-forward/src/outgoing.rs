//! Responses and their bodies.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use coltsfoothall_wire::body;
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use crate::connection::Busy;
use crate::state::Open;

/// A body that is relayed chunk by chunk.
pub type Chunks = LocalBoxStream<'static, Result<Bytes, io::Error>>;

enum Content {
    Full(Full<Bytes>),
    Parts(Parts),
    Chunks(Chunks),
}

/// A complete body, whose memory is given back when it was sent.
struct Parts {
    body: body::Body,
    /// Number of its parts that were sent.
    sent: usize,
}

impl Parts {
    fn rest(&self) -> &[Bytes] {
        &self.body.parts()[self.sent..]
    }

    fn next(&mut self) -> Option<Bytes> {
        let part = self.rest().first().cloned();
        self.sent += usize::from(part.is_some());
        part
    }
}

/// A response body, either complete or streamed.
pub struct Outgoing {
    content: Content,
    /// Marks the connection as busy until the body is dropped.
    _busy: Option<Busy>,
    /// Counts the request as open until the body is dropped.
    _open: Option<Open>,
}

impl std::fmt::Debug for Outgoing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Outgoing").finish_non_exhaustive()
    }
}

impl Outgoing {
    /// A complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Full(Full::new(bytes.into())),
            _busy: None,
            _open: None,
        }
    }

    /// A complete body that was received in parts.
    #[must_use]
    pub fn parts(body: body::Body) -> Self {
        Self {
            content: Content::Parts(Parts { body, sent: 0 }),
            _busy: None,
            _open: None,
        }
    }

    /// A streamed body; an error in it aborts the connection.
    #[must_use]
    pub fn chunks(chunks: Chunks) -> Self {
        Self {
            content: Content::Chunks(chunks),
            _busy: None,
            _open: None,
        }
    }

    /// Keeps the connection marked as busy until the body is dropped.
    #[must_use]
    pub fn with_busy(self, busy: Busy) -> Self {
        Self {
            _busy: Some(busy),
            ..self
        }
    }

    /// Keeps the request counted as open until the body is dropped.
    #[must_use]
    pub fn with_open(self, open: Open) -> Self {
        Self {
            _open: Some(open),
            ..self
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.content {
            Content::Full(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Content::Parts(parts) => Poll::Ready(parts.next().map(|part| Ok(Frame::data(part)))),
            Content::Chunks(chunks) => {
                let next = Pin::new(chunks).poll_next(cx);
                next.map(|piece| piece.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(body) => body.is_end_stream(),
            Content::Parts(parts) => parts.rest().is_empty(),
            Content::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(body) => body.size_hint(),
            Content::Parts(parts) => {
                let rest = parts.rest().iter().map(|part| part.len() as u64);
                SizeHint::with_exact(rest.sum())
            }
            Content::Chunks(_) => SizeHint::default(),
        }
    }
}

/// A response with these headers.
pub fn answer(status: StatusCode, headers: HeaderMap, body: Outgoing) -> Response<Outgoing> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// An empty response without headers.
#[must_use]
pub fn empty(status: StatusCode) -> Response<Outgoing> {
    answer(status, HeaderMap::new(), Outgoing::full(Bytes::new()))
}

/// A JSON response.
#[must_use]
pub fn json(body: Outgoing) -> Response<Outgoing> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer(StatusCode::OK, headers, body)
}
