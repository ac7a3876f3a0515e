//! Names of the HTTP headers that the system reads and writes.

/// A caller's key for a request (customary name).
pub const KEY: &str = "idempotency-key";
/// `false` marks a request as non-idempotent: it runs at most once.
pub const IDEMPOTENT: &str = "coltsfoothall-idempotent";
/// Milliseconds that the caller will wait in all.
pub const DEADLINE: &str = "coltsfoothall-deadline-ms";
/// `interactive` or `batch`.
pub const CLASS: &str = "coltsfoothall-class";
/// Name of the entry instance that passed a request on; such a request is not passed on again.
pub const HOP: &str = "coltsfoothall-hop";
/// The request's key in every answer, for resuming and cancelling.
pub const REQUEST: &str = "coltsfoothall-request";
/// Offset of the last event that a caller has (customary name).
pub const LAST_EVENT: &str = "last-event-id";
/// Number of an attempt at an endpoint; plain services may echo it.
pub const ATTEMPT: &str = "coltsfoothall-attempt";
/// Fencing number of an order or of a non-idempotent call.
pub const FENCE: &str = "coltsfoothall-fence";
/// `false` in an endpoint's refusal says that it began nothing.
pub const STARTED: &str = "coltsfoothall-started";
