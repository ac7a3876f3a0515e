//! Messages between entry instances and model engines.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/completions` with [`Generate`] | [`Chunk`]s as server-sent events, then `[DONE]`; or [`Refusal`] |
//! | `DELETE /v1/attempts/{attempt}` | 204 |
//! | `GET /v1/load` | [`Load`] |
//! | `GET /v1/cache/events?after=N` | [`Events`] |
//! | `GET /v1/cache/blocks/{block}` | exported cache, opaque bytes |
//! | `PUT /v1/cache/blocks/{block}` | 204, imported |
//! | `POST /v1/orders` with [`Order`] | [`State`], or 409 with [`Refusal`] for an old fencing number |
//! | `GET /v1/state` | [`State`] |

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::prefix::Block;
use coltsfoothall::size::Tokens;

pub use coltsfoothall::order::{Loaded, Role};
pub use coltsfoothall::record::Finish;

/// Number of an attempt: the request's slot epoch and counter, unique in the fleet.
pub type Attempt = u64;

/// Number of one run of an engine's process, drawn at random when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(pub u64);

/// Order in which an engine serves; lower goes first.
pub type Priority = u8;

/// A completion to generate, from the start or from a committed offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Echoed in every chunk.
    pub attempt: Attempt,
    /// The model.
    pub model: id::Model,
    /// The adapter, if one is asked for.
    #[serde(default)]
    pub adapter: Option<id::Adapter>,
    /// The prompt.
    pub prompt: String,
    /// Text that was already generated and delivered.
    #[serde(default)]
    pub resume: String,
    /// Tokens in `resume`.
    #[serde(default)]
    pub offset: u64,
    /// Most tokens in all, those in `resume` included.
    pub max_tokens: u64,
    /// Place in the engine's queue.
    #[serde(default)]
    pub priority: Priority,
}

/// A piece of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt it belongs to.
    pub attempt: Attempt,
    /// Index of its first token in the whole answer.
    pub offset: u64,
    /// Tokens in this piece.
    pub tokens: u64,
    /// Their text.
    pub text: String,
    /// Set in the last piece.
    #[serde(default)]
    pub finish: Option<Finish>,
    /// In the first piece: tokens of prompt and `resume` read from cache.
    #[serde(default)]
    pub cached: Option<Tokens>,
}

/// An endpoint's refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why, for people.
    pub message: String,
    /// Whether anything was begun.
    pub started: bool,
    /// The newest fencing number seen, where an order was too old.
    #[serde(default)]
    pub fence: Option<u64>,
}

/// Load that an engine reports, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Prompt tokens still to be read.
    pub prefill: Tokens,
    /// Tokens held in the prefix cache.
    pub cached: Tokens,
    /// Size of the prefix cache.
    pub capacity: Tokens,
    /// The process that reports; an engine that does not say shows no quick restart.
    #[serde(default)]
    pub boot: Option<Boot>,
}

/// What happened to a block of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It was stored.
    Stored(Block),
    /// It was evicted.
    Evicted(Block),
    /// All were dropped.
    Cleared,
}

/// A cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number; a jump says that events were lost.
    pub seq: u64,
    /// What happened.
    pub change: Change,
}

/// Cache events after a number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The events, in order, perhaps with gaps.
    pub events: Vec<Event>,
    /// The newest number that the engine will show.
    pub newest: u64,
}

/// The state that an engine is ordered to be in; a repeat is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the one who orders.
    pub fence: u64,
    /// The model to run.
    pub model: Loaded,
    /// Adapters to hold, sorted.
    #[serde(default)]
    pub adapters: Vec<Loaded>,
    /// Role to take.
    #[serde(default)]
    pub role: Role,
}

/// The state that an engine is in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The model that runs, if one is loaded.
    pub model: Option<Loaded>,
    /// Adapters held, sorted.
    pub adapters: Vec<Loaded>,
    /// What is being loaded, if anything.
    pub loading: Option<Loaded>,
    /// Role.
    pub role: Role,
    /// Newest fencing number seen.
    pub fence: u64,
}
