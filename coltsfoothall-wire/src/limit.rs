//! Size and time limits on all input.

use std::time::Duration;

/// Maximum size of a caller's request body; it bounds the memory that a replicated request takes.
pub const REQUEST: usize = 4 << 20;
/// Maximum size of an answer of a plain service, which is buffered completely until it is committed.
pub const ANSWER: usize = 4 << 20;
/// Maximum size of a value in the key-value service, set by the platform.
pub const VALUE: usize = 1 << 20;
/// Maximum size of an operator's intent document.
pub const INTENT: usize = 1 << 20;
/// Maximum size of a plan: the intent, its steps and the complete resulting configuration.
pub const PLAN: usize = 4 << 20;
/// Maximum size of a frame between peers: the copy of one request and its envelope.
pub const FRAME: usize = 16 << 20;
/// Maximum size of a single event in an engine's stream.
pub const EVENT: usize = 64 << 10;
/// Read timeout for the head of a request.
pub const HEAD: Duration = Duration::from_secs(5);
/// Read timeout for the body of a request.
pub const BODY: Duration = Duration::from_secs(10);
/// Maximum number of tokens that one request may ask for.
pub const TOKENS: u64 = 32_768;
/// Longest deadline that a caller may set.
pub const DEADLINE: Duration = Duration::from_secs(3600);
