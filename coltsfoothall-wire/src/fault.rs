//! Errors as callers and operators see them.

use std::fmt;

use serde::{Deserialize, Serialize};

use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and its answer is whole.
    Done,
    /// It did not run and never will under this key.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Stable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request's head, body or a field cannot be taken.
    BadRequest,
    /// No workspace has this bearer token.
    Unauthorized,
    /// Nothing is known under this path, service, model or key.
    NotFound,
    /// The body is over its limit.
    TooLarge,
    /// The key was used for a different request.
    KeyReused,
    /// A limit of the workspace is reached.
    Limited,
    /// There is no capacity for the request within its deadline.
    Overloaded,
    /// No endpoint of the service can be used now.
    NoEndpoint,
    /// At-most-once cannot be kept up now.
    NotSafe,
    /// This entry instance is leaving or not ready.
    Unavailable,
    /// The deadline passed.
    Deadline,
    /// The request was cancelled by its caller.
    Cancelled,
    /// Endpoints died each time that the request ran.
    Poisonous,
    /// Every attempt that the retry budget allows has failed.
    Failed,
    /// The ledger that knew of this key was lost.
    LedgerLost,
    /// An operator's plan was made on an older revision.
    Stale,
    /// The platform's key-value service cannot be reached.
    StoreDown,
    /// A rule of the system was broken; it is logged.
    Internal,
}

impl Code {
    /// HTTP status that goes with the code.
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

    /// Outcome that goes with the code unless the ledger says otherwise.
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
    /// What became of the request.
    pub outcome: Outcome,
    /// What went wrong, for people.
    pub message: String,
    /// The field that is wrong, if one is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// When to come back; also sent as `Retry-After` in whole seconds.
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
    /// An error with the code's usual outcome.
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

    /// A bad field.
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
