//! Refusals of a model engine.

use coltsfoothall_wire::engine::Refusal;

/// A refusal and its HTTP status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denial {
    /// HTTP status.
    pub status: u16,
    /// What the caller is told.
    pub refusal: Refusal,
}

impl Denial {
    /// A refusal that begins nothing.
    #[must_use]
    pub fn new(status: u16, message: impl Into<String>) -> Self {
        let refusal = Refusal {
            message: message.into(),
            started: false,
            fence: None,
        };
        Self { status, refusal }
    }
}
