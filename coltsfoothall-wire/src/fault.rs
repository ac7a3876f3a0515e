//! Errors returned to callers and operators.

use std::fmt;

use serde::{Deserialize, Serialize};

use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its answer is complete.
    Done,
    /// The request did not run and never will under this key.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Stable error code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The head, the body or a field of the request is invalid.
    BadRequest,
    /// No workspace has this bearer token.
    Unauthorized,
    /// The path, service, model or key is unknown.
    NotFound,
    /// The body is larger than its limit.
    TooLarge,
    /// The key was already used for a different request.
    KeyReused,
    /// A limit of the workspace was reached.
    Limited,
    /// There is no capacity for the request within its deadline.
    Overloaded,
    /// No endpoint of the service is usable at present.
    NoEndpoint,
    /// At-most-once execution cannot be guaranteed at present.
    NotSafe,
    /// This entry instance is leaving or not ready.
    Unavailable,
    /// The deadline passed.
    Deadline,
    /// The request was cancelled by its caller.
    Cancelled,
    /// Endpoints died each time they ran the request.
    Poisonous,
    /// All attempts that the retry budget allows have failed.
    Failed,
    /// The ledger that held the record of this key was lost.
    LedgerLost,
    /// An operator's plan is based on an outdated revision.
    Stale,
    /// The platform's key-value service cannot be reached.
    StoreDown,
    /// An invariant was violated; the violation is logged.
    Internal,
}

impl Code {
    /// HTTP status of answers with this code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Stale => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Poisonous => 422,
            Self::Limited => 429,
            Self::Cancelled => 499,
            Self::Internal => 500,
            Self::Failed | Self::LedgerLost => 502,
            Self::Overloaded
            | Self::NoEndpoint
            | Self::NotSafe
            | Self::Unavailable
            | Self::StoreDown => 503,
            Self::Deadline => 504,
        }
    }

    /// Default outcome for the code; the record in the ledger takes precedence.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Cancelled
            | Self::Deadline
            | Self::Failed
            | Self::Internal
            | Self::LedgerLost
            | Self::Poisonous => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

/// An error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Stable code.
    pub code: Code,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Human-readable description.
    pub message: String,
    /// Name of the invalid field, if the error concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Delay before a retry; also sent as `Retry-After`, in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// The request's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Key>,
}

/// The body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Fault,
}

impl Fault {
    /// Creates an error with the default outcome of its code.
    #[must_use]
    pub fn new(code: Code, message: impl fmt::Display) -> Self {
        Self {
            code,
            outcome: code.outcome(),
            message: message.to_string(),
            field: None,
            retry_after_ms: None,
            request: None,
        }
    }

    /// Creates an error about an invalid field.
    #[must_use]
    pub fn field(name: &str, message: impl fmt::Display) -> Self {
        Self {
            field: Some(name.into()),
            ..Self::new(Code::BadRequest, message)
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({:?}): {}", self.code, self.outcome, self.message)
    }
}

impl std::error::Error for Fault {}
