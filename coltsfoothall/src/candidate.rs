//! The endpoints that are weighed for one request.

use crate::prefix::BLOCK_TOKENS;
use crate::record::Class;
use crate::size::Tokens;

/// A node that is weighed, and the blocks that it is believed to hold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) node: usize,
    pub(crate) blocks: usize,
    /// Whether the prompt hashes to it.
    pub(crate) home: bool,
}

/// Adds a node that fits, if it is not there yet.
pub(crate) fn add(candidates: &mut Vec<Candidate>, node: usize, fits: bool) {
    if fits && !candidates.iter().any(|have| have.node == node) {
        candidates.push(Candidate {
            node,
            blocks: 0,
            home: false,
        });
    }
}

/// How much of the endpoint at `rank` among `len` a class's new prefixes may
/// use, where `part` of all work is batch. Batch has the first endpoints to
/// itself, and the two classes divide the one in between.
pub(crate) fn class_weight(class: Class, part: f64, rank: f64, len: f64) -> f64 {
    let batch = ((part - rank) * len).clamp(0.0, 1.0);
    match class {
        Class::Batch if part > 0.0 => batch,
        Class::Batch => 1.0,
        Class::Interactive => 1.0 - batch,
    }
}

/// Tokens in so many blocks.
pub(crate) fn tokens(blocks: usize) -> Tokens {
    Tokens(blocks as u64 * BLOCK_TOKENS.0)
}
