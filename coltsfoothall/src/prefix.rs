//! Prompt prefixes as chains of hashed blocks, the unit of prefix caches.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id;
use crate::size::Tokens;

/// Number of prompt bytes in one block.
pub const BLOCK_BYTES: usize = 1024;
/// Bytes of prompt that count as one token, until an engine reports the actual number.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block.
pub const BLOCK_TOKENS: Tokens = Tokens((BLOCK_BYTES / BYTES_PER_TOKEN) as u64);

/// Hash of a block and of all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Block(pub u64);

/// Hash seed for the blocks of a model, so that blocks of different models and adapters
/// differ.
#[must_use]
pub fn seed(model: &id::Model, adapter: Option<&id::Adapter>) -> u64 {
    match adapter {
        None => xxh3_64(model.as_str().as_bytes()),
        Some(adapter) => xxh3_64(format!("{model}/{adapter}").as_bytes()),
    }
}

/// Hashes the complete blocks of a prompt. A remainder shorter than a block is ignored.
///
/// `seed` distinguishes prompts of different models.
#[must_use]
pub fn blocks(seed: u64, prompt: &str) -> Vec<Block> {
    let mut hash = seed;
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            Block(hash)
        })
        .collect()
}

/// Estimated number of tokens of a prompt, at least one.
#[must_use]
pub fn tokens(prompt: &str) -> Tokens {
    Tokens(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64)
}
