//! Names of the HTTP headers that entry instances read and write.

/// Idempotency key that a caller gives a request (de facto standard name).
pub const KEY: &str = "idempotency-key";
/// `false` marks a request as non-idempotent: it runs at most once.
pub const IDEMPOTENT: &str = "coltsfoothall-idempotent";
/// Total time that the caller will wait, in milliseconds.
pub const DEADLINE: &str = "coltsfoothall-deadline-ms";
/// Class of a request: `interactive` or `batch`.
pub const CLASS: &str = "coltsfoothall-class";
/// Name of the entry instance that forwarded a request; such a request is not forwarded again.
pub const HOP: &str = "coltsfoothall-hop";
/// The request's key, sent in every answer; used to resume or cancel the request.
pub const REQUEST: &str = "coltsfoothall-request";
/// Id of the last event that a caller received (standard name for server-sent events).
pub const LAST_EVENT: &str = "last-event-id";
/// Number of an attempt at running a request on an endpoint; plain services may echo it.
pub const ATTEMPT: &str = "coltsfoothall-attempt";
/// Fencing token of an order or of a non-idempotent call.
pub const FENCE: &str = "coltsfoothall-fence";
/// `false` in an endpoint's refusal means that the request was not started.
pub const STARTED: &str = "coltsfoothall-started";
