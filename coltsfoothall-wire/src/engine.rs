//! Messages between entry instances and model engines.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/completions` with [`Generate`] | [`Chunk`]s as server-sent events, then `[DONE]`; or [`Refusal`] |
//! | `DELETE /v1/attempts/{attempt}` | 204 |
//! | `GET /v1/load` | [`Load`] |
//! | `GET /v1/cache/events?after=N` | [`Events`] |
//! | `GET /v1/cache/blocks/{block}` | the exported cache block, opaque bytes |
//! | `PUT /v1/cache/blocks/{block}` | 204 once the block is imported |
//! | `POST /v1/orders` with [`Order`] | [`State`], or 409 with [`Refusal`] for an outdated fencing token |
//! | `GET /v1/state` | [`State`] |

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::prefix::Block;
use coltsfoothall::size::Tokens;

pub use coltsfoothall::order::{Loaded, Role};
pub use coltsfoothall::record::Finish;

/// Number of an attempt at running a request: slot epoch and counter, unique in the fleet.
pub type Attempt = u64;

/// Random number that identifies one run of an engine process, drawn when the process starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// Scheduling priority in an engine; lower values run first.
pub type Priority = u8;

/// Request to generate a completion, from the start or from a committed offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Attempt number, echoed in every chunk.
    pub attempt: Attempt,
    /// Name of the model.
    pub model: id::Model,
    /// Name of the adapter, if one is requested.
    #[serde(default)]
    pub adapter: Option<id::Adapter>,
    /// Text to complete.
    pub prompt: String,
    /// Text that an earlier attempt generated and that was delivered to the caller.
    #[serde(default)]
    pub resume: String,
    /// Number of tokens in `resume`.
    #[serde(default)]
    pub offset: u64,
    /// Maximum number of generated tokens, including those in `resume`.
    pub max_tokens: u64,
    /// Priority in the engine's queue.
    #[serde(default)]
    pub priority: Priority,
}

/// Part of an engine's streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt that the chunk belongs to.
    pub attempt: Attempt,
    /// Index of the first token of the chunk within the complete answer.
    pub offset: u64,
    /// Number of tokens in the chunk.
    pub tokens: u64,
    /// Text of these tokens.
    pub text: String,
    /// Why generation ended; set only in the last chunk.
    #[serde(default)]
    pub finish: Option<Finish>,
    /// Tokens of the prompt and of `resume` that were read from the prefix cache; set only in the
    /// first chunk.
    #[serde(default)]
    pub cached: Option<Tokens>,
}

/// Body of the answer with which an endpoint refuses a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Human-readable reason.
    pub message: String,
    /// Whether the endpoint had started to run the call.
    pub started: bool,
    /// Newest fencing token that the endpoint has seen, if it refused an outdated order.
    #[serde(default)]
    pub fence: Option<u64>,
}

/// Load that an engine reports; the figures lag behind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens that are still to be prefilled.
    pub prefill: Tokens,
    /// Tokens held in the prefix cache.
    pub cached: Tokens,
    /// Capacity of the prefix cache.
    pub capacity: Tokens,
    /// The reporting process. Without it, a restart that is quick enough to be missed otherwise
    /// cannot be detected.
    #[serde(default)]
    pub boot: Option<Boot>,
}

/// Change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A block was stored.
    Stored(Block),
    /// A block was evicted.
    Evicted(Block),
    /// All blocks were dropped.
    Cleared,
}

/// A numbered cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// The change of the cache.
    pub change: Change,
}

/// Cache events after a given sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The events in order; numbers may be missing.
    pub events: Vec<Event>,
    /// Newest sequence number that the engine reports.
    pub newest: u64,
}

/// Desired state of an engine; orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the instance that sends the order.
    pub fence: u64,
    /// Model to run.
    pub model: Loaded,
    /// Adapters to keep loaded, sorted.
    #[serde(default)]
    pub adapters: Vec<Loaded>,
    /// Role to assume.
    #[serde(default)]
    pub role: Role,
}

/// Current state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Running model, if one is loaded.
    pub model: Option<Loaded>,
    /// Loaded adapters, sorted.
    pub adapters: Vec<Loaded>,
    /// Model or adapter that is being loaded, if any.
    pub loading: Option<Loaded>,
    /// Current role.
    pub role: Role,
    /// Newest fencing token that the engine has seen.
    pub fence: u64,
}
