//! Who sent a request to this instance, and what its answer tells them.

use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::handover::Terms;
use coltsfoothall::forward::version::Label;

/// Who sent a request to this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, for one of its callers; it has charged the request.
    Instance(Terms),
}

/// The endpoint of a response that says that it is leaving, in the extensions of the response.
#[derive(Debug, Clone)]
pub struct Departs(pub Count<()>);

/// The version that sent the first event of a stream, in the extensions of its response.
#[derive(Debug, Clone)]
pub struct Began(pub Label);
