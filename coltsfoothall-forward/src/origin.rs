//! Who sent a request to this instance.

use coltsfoothall::forward::handover::Terms;

/// Who sent a request to this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, for one of its callers; it has charged the request.
    Instance(Terms),
}
