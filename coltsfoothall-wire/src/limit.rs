//! Size and time limits on everything that comes in.

use std::time::Duration;

/// Largest body of a caller's request; it bounds a request's copy in memory.
pub const REQUEST: usize = 4 << 20;
/// Largest answer of a plain service, which is kept whole until it is committed.
pub const ANSWER: usize = 4 << 20;
/// Largest value of the key-value service, as the platform sets it.
pub const VALUE: usize = 1 << 20;
/// Largest operators' document.
pub const INTENT: usize = 1 << 20;
/// Largest plan: an intent, its steps, and the whole configuration after it.
pub const PLAN: usize = 4 << 20;
/// Largest frame between peers: one request's copy and its envelope.
pub const FRAME: usize = 16 << 20;
/// Largest single event of an engine's stream.
pub const EVENT: usize = 64 << 10;
/// Time in which the head of a request has to arrive.
pub const HEAD: Duration = Duration::from_secs(5);
/// Time in which the body of a request has to arrive.
pub const BODY: Duration = Duration::from_secs(10);
/// Most tokens that one request may ask for.
pub const TOKENS: u64 = 32_768;
/// Longest deadline that a caller may set.
pub const DEADLINE: Duration = Duration::from_secs(3600);
