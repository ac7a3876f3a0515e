//! Small helpers around HTTP bodies, on both sides.

use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

quick_error! {
    /// A body that cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// It is over its limit.
        Large(limit: usize) {
            display("body is over {limit} bytes")
        }
        /// The connection ended within it.
        Broken(message: String) {
            display("body ended early: {message}")
        }
        /// No more of it came for so long.
        Stalled(pause: Duration) {
            display("body stalled for {pause:?}")
        }
        /// It is not the JSON that was asked for.
        Json(message: String) {
            display("{message}")
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// The body is over the limit, or the connection ended within it.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // A length that is over the limit is refused before any of the body comes.
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::Large(limit));
    }
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) => Err(broken(error.as_ref(), limit)),
    }
}

/// Reads a whole body of at most `limit` bytes, as long as it goes on without a longer `pause`.
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
    let mut whole = BytesMut::new();
    let mut body = pin!(Limited::new(body, limit));
    loop {
        let Ok(next) = timeout(pause, body.frame()).await else {
            return Err(Error::Stalled(pause));
        };
        match next.transpose() {
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(frame)) => whole.extend(frame.into_data()),
            Err(error) => return Err(broken(error.as_ref(), limit)),
        }
    }
}

fn broken(error: &(dyn std::error::Error + Send + Sync + 'static), limit: usize) -> Error {
    if error.is::<LengthLimitError>() {
        return Error::Large(limit);
    }
    Error::Broken(error.to_string())
}

/// Reads a whole body as JSON.
///
/// # Errors
/// As [`read`], or the body is not the JSON that was asked for.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, Error>
where
    T: DeserializeOwned,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read(body, limit).await?;
    parse(&bytes)
}

/// Reads a value from JSON.
///
/// # Errors
/// The bytes are not the JSON that was asked for.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Json(error.to_string()))
}

/// A value as JSON bytes.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("messages have no map keys that JSON refuses")
        .into()
}

/// A value as a JSON body.
#[must_use]
pub fn json_body<T: Serialize>(value: &T) -> Full<Bytes> {
    Full::new(json(value))
}
