//! Answers of this program's own to requests that get none of an endpoint's.

use std::time::Duration;

use http::StatusCode;

/// Why an answer ends early when this instance does.
pub const SHUTTING_DOWN: &str = "this instance stops";

/// Why a request gets an answer of this program's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The request itself is wrong.
    Bad(StatusCode, &'static str),
    /// It did not run and will not; come back after this time.
    NotRun(StatusCode, &'static str, Duration),
    /// It may have run.
    Unknown(StatusCode, &'static str),
}

impl Refusal {
    /// Its status, its reason and when to come back.
    #[must_use]
    pub fn parts(&self) -> (StatusCode, &'static str, Option<Duration>) {
        match self {
            Self::Bad(status, reason) | Self::Unknown(status, reason) => (*status, reason, None),
            Self::NotRun(status, reason, retry_after) => (*status, reason, Some(*retry_after)),
        }
    }
}

/// A refusal: nothing ran, and there is no room.
#[must_use]
pub fn unavailable(reason: &'static str, retry_after: Duration) -> Refusal {
    Refusal::NotRun(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

/// An endpoint broke off a request that may have run.
#[must_use]
pub fn bad_gateway(reason: &'static str) -> Refusal {
    Refusal::Unknown(StatusCode::BAD_GATEWAY, reason)
}

/// No answer came by when it was due; the request may have run.
#[must_use]
pub fn timed_out() -> Refusal {
    Refusal::Unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
}
