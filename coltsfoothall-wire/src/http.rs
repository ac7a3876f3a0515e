//! Reading and writing of HTTP bodies, for clients and servers.

use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Body;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

quick_error! {
    /// A body that cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// The body is larger than its limit.
        Large(limit: usize) {
            display("body is over {limit} bytes")
        }
        /// The connection ended before the body was complete.
        Broken(message: String) {
            display("body ended early: {message}")
        }
        /// No data arrived for the given time.
        Stalled(pause: Duration) {
            display("body stalled for {pause:?}")
        }
        /// The body is not JSON of the expected type.
        Json(message: String) {
            display("{message}")
        }
    }
}

/// Whether a status is one of a final response. hyper also ends a response at 101 (a change of
/// protocols), and takes any number of three digits for a status.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// The body is over the limit, or the connection ended before it was complete.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // A declared length over the limit is rejected before any of the body is read.
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::Large(limit));
    }
    // The frames are copied: one of a few bytes would keep its whole read buffer alive, and take
    // many times its size itself.
    let mut read = BytesMut::new();
    let mut body = pin!(Limited::new(body, limit));
    loop {
        match body.frame().await.transpose() {
            Ok(None) => return Ok(read.freeze()),
            Ok(Some(frame)) => read.extend(frame.into_data()),
            Err(error) => return Err(body_error(error.as_ref(), limit)),
        }
    }
}

/// Reads a complete body of at most `limit` bytes. The time between two frames may not exceed
/// `pause`; the total time is not limited.
///
/// # Errors
/// As [`read`], or the body stalled.
pub async fn read_steady<B>(body: B, limit: usize, pause: Duration) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::Large(limit));
    }
    let mut read = BytesMut::new();
    let mut body = pin!(Limited::new(body, limit));
    loop {
        let Ok(next) = timeout(pause, body.frame()).await else {
            return Err(Error::Stalled(pause));
        };
        match next.transpose() {
            Ok(None) => return Ok(read.freeze()),
            Ok(Some(frame)) => read.extend(frame.into_data()),
            Err(error) => return Err(body_error(error.as_ref(), limit)),
        }
    }
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> Error {
    if error.is::<LengthLimitError>() {
        return Error::Large(limit);
    }
    Error::Broken(error.to_string())
}

/// Reads a complete body and parses it as JSON.
///
/// # Errors
/// As [`read`], or the body is not JSON of type `T`.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, Error>
where
    T: DeserializeOwned,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read(body, limit).await?;
    parse(&bytes)
}

/// Parses a value from JSON.
///
/// # Errors
/// The bytes are not JSON of type `T`.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Json(error.to_string()))
}

/// Serializes a value to JSON.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("messages have only map keys that JSON can represent")
        .into()
}

/// Serializes a value to a JSON body.
#[must_use]
pub fn json_body<T: Serialize>(value: &T) -> Full<Bytes> {
    Full::new(json(value))
}
