//! Messages between callers and entry instances.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/addresses` | [`Addresses`] |
//! | `POST /v1/keys` | [`Minted`] |
//! | `POST /v1/completions` | [`Completion`], or [`Part`]s as server-sent events |
//! | `GET /v1/requests/{key}` | the answer of that request, streamed from `Last-Event-ID` on if it is streamed |
//! | `DELETE /v1/requests/{key}` | 204 |
//! | any `/v1/services/{service}/{path}` | the service's own response |

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::key::Key;
use coltsfoothall::size::{Millis, Tokens};

pub use coltsfoothall::record::{Class, Finish};

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Address of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: String,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Relative share of new connections to open to this address.
    pub weight: u32,
}

/// The addresses that a caller may connect to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Addresses of the entry instances that are not leaving.
    pub addresses: Vec<Address>,
    /// How long the caller may cache this answer.
    pub ttl_ms: Millis,
}

/// A request key minted by an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Minted {
    /// The key to send in the `Idempotency-Key` header.
    pub key: Key,
}

/// A completion request, in the JSON format that existing clients send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Name of the model or adapter.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

fn default_max_tokens() -> u64 {
    256
}

/// Generated text: all of it, or the part that one event carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0, as one choice is generated.
    pub index: u32,
    /// The generated text.
    pub text: String,
    /// Why generation ended; set only in the last part of an answer.
    pub finish_reason: Option<Finish>,
}

/// One event of a streamed answer. The event's id is the number of tokens generated up to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The request's key.
    pub id: Key,
    /// Exactly one choice, with the text of this event.
    pub choices: Vec<Choice>,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Number of tokens generated.
    pub completion_tokens: Tokens,
}

/// A complete, non-streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The request's key.
    pub id: Key,
    /// Name of the model or adapter.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts of the request.
    pub usage: Usage,
}
