//! The candidate endpoints of one request.

use crate::prefix::BLOCK_TOKENS;
use crate::record::Class;
use crate::size::Tokens;

/// A candidate node and the number of leading prompt blocks that its cache is estimated to
/// hold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) node: usize,
    pub(crate) blocks: usize,
    /// Whether the prompt hashes to this node.
    pub(crate) is_hash_target: bool,
}

/// Adds a node that may serve the request, unless it is already a candidate.
pub(crate) fn add(candidates: &mut Vec<Candidate>, node: usize, fits: bool) {
    if fits && !candidates.iter().any(|other| other.node == node) {
        candidates.push(Candidate {
            node,
            blocks: 0,
            is_hash_target: false,
        });
    }
}

/// The share of the endpoint at `rank` among `len` endpoints that new prefixes of a class
/// may use, where `batch_share` of all work is batch. Batch has the first endpoints to
/// itself, and the two classes divide the one in between.
pub(crate) fn class_weight(class: Class, batch_share: f64, rank: f64, len: f64) -> f64 {
    let batch = ((batch_share - rank) * len).clamp(0.0, 1.0);
    match class {
        Class::Batch if batch_share > 0.0 => batch,
        Class::Batch => 1.0,
        Class::Interactive => 1.0 - batch,
    }
}

/// Number of tokens in `blocks` blocks.
pub(crate) fn tokens(blocks: usize) -> Tokens {
    Tokens(blocks as u64 * BLOCK_TOKENS.0)
}
