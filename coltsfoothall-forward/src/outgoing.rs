//! Bodies of answers to callers.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use crate::connection::Busy;
use crate::state::Open;

/// What is passed on as it comes.
pub type Pieces = LocalBoxStream<'static, Result<Bytes, io::Error>>;

enum Content {
    Whole(Full<Bytes>),
    Pieces(Pieces),
}

/// A body, whole or passed on as it comes.
pub struct Outgoing {
    content: Content,
    /// Tells the connection when the answer has ended.
    _busy: Option<Busy>,
    /// Counts the request as under way.
    _open: Option<Open>,
}

impl std::fmt::Debug for Outgoing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Outgoing").finish_non_exhaustive()
    }
}

impl Outgoing {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(Full::new(bytes.into())),
            _busy: None,
            _open: None,
        }
    }

    /// A body passed on as it comes; an error in it breaks the connection off.
    #[must_use]
    pub fn pieces(pieces: Pieces) -> Self {
        Self {
            content: Content::Pieces(pieces),
            _busy: None,
            _open: None,
        }
    }

    /// The same body, which marks its connection as busy until it is dropped.
    #[must_use]
    pub fn with(self, busy: Busy) -> Self {
        Self {
            _busy: Some(busy),
            ..self
        }
    }

    /// The same body, which counts its request as under way until it is dropped.
    #[must_use]
    pub fn counted(self, open: Open) -> Self {
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
            Content::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Content::Pieces(pieces) => {
                let next = Pin::new(pieces).poll_next(cx);
                next.map(|piece| piece.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(body) => body.is_end_stream(),
            Content::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(body) => body.size_hint(),
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer with these headers.
pub fn answer(status: StatusCode, headers: HeaderMap, body: Outgoing) -> Response<Outgoing> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// An empty answer without headers of its own.
#[must_use]
pub fn plain(status: StatusCode) -> Response<Outgoing> {
    answer(status, HeaderMap::new(), Outgoing::whole(Bytes::new()))
}

/// An answer of JSON.
#[must_use]
pub fn json(body: Outgoing) -> Response<Outgoing> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer(StatusCode::OK, headers, body)
}
