//! Messages between callers and entry instances.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/addresses` | [`Addresses`] |
//! | `POST /v1/keys` | [`Minted`] |
//! | `POST /v1/completions` | [`Completion`], or [`Part`]s as server-sent events |
//! | `GET /v1/requests/{key}` | the same, after `Last-Event-ID` |
//! | `DELETE /v1/requests/{key}` | 204 |
//! | any `/v1/services/{service}/{path}` | the service's own answer |

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::key::Key;
use coltsfoothall::size::{Millis, Tokens};

pub use coltsfoothall::record::{Class, Finish};

/// Text of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// One address of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP number and port.
    pub address: String,
    /// Failure domain it is in.
    pub domain: id::Domain,
    /// Share of new connections to open there.
    pub weight: u32,
}

/// The addresses to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Addresses, leaving instances left out.
    pub addresses: Vec<Address>,
    /// How long to keep this answer.
    pub ttl_ms: Millis,
}

/// A key that the system minted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Minted {
    /// The key, for `Idempotency-Key`.
    pub key: Key,
}

/// A request for a completion, in the shape that existing clients speak.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The model or adapter.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    #[serde(default = "most")]
    pub max_tokens: u64,
    /// Whether to answer in parts.
    #[serde(default)]
    pub stream: bool,
}

fn most() -> u64 {
    256
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text.
    pub text: String,
    /// Set in the last piece.
    pub finish_reason: Option<Finish>,
}

/// One event of a streamed answer. The event's id is the count of tokens up to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The request's key.
    pub id: Key,
    /// The piece.
    pub choices: Vec<Choice>,
}

/// Tokens that a request took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated.
    pub completion_tokens: Tokens,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The request's key.
    pub id: Key,
    /// The model or adapter.
    pub model: String,
    /// One choice.
    pub choices: Vec<Choice>,
    /// Tokens taken.
    pub usage: Usage,
}
