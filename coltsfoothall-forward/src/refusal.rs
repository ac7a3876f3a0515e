//! Responses that this program generates when a request gets none from an endpoint.

use std::time::Duration;

use http::StatusCode;

/// Reason for aborting a response when this instance shuts down.
pub const SHUTTING_DOWN: &str = "this instance stops";

/// Reason of a refusal while the bodies of other requests take the memory.
pub const NO_MEMORY: &str = "no memory for the body";

/// Reason of a failure while other answers take the memory.
pub const NO_ANSWER_MEMORY: &str = "no memory for the answer";

/// Why a request gets no response from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The request itself is invalid.
    Bad(StatusCode, &'static str),
    /// It did not run and will not run; the caller may retry after this time.
    NotRun(StatusCode, &'static str, Duration),
    /// It may have run.
    Unknown(StatusCode, &'static str),
}

impl Refusal {
    /// The status, the reason and the delay of a retry.
    #[must_use]
    pub fn parts(&self) -> (StatusCode, &'static str, Option<Duration>) {
        match self {
            Self::Bad(status, reason) | Self::Unknown(status, reason) => (*status, reason, None),
            Self::NotRun(status, reason, retry_after) => (*status, reason, Some(*retry_after)),
        }
    }
}

/// A refusal of a request that did not run, for lack of capacity.
#[must_use]
pub fn unavailable(reason: &'static str, retry_after: Duration) -> Refusal {
    Refusal::NotRun(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

/// An endpoint interrupted a request that may have run.
#[must_use]
pub fn bad_gateway(reason: &'static str) -> Refusal {
    Refusal::Unknown(StatusCode::BAD_GATEWAY, reason)
}

/// No response arrived by the deadline; the request may have run.
#[must_use]
pub fn timed_out() -> Refusal {
    Refusal::Unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
}
