//! Prompt prefixes as chains of hashed blocks, the unit of prefix caches.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id;
use crate::size::Tokens;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 1024;
/// Bytes that count as one token of a prompt, before an engine says better.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block.
pub const BLOCK_TOKENS: Tokens = Tokens((BLOCK_BYTES / BYTES_PER_TOKEN) as u64);

/// Hash of a block and of all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Block(pub u64);

/// Seed of a model's blocks, which keeps models and adapters apart.
#[must_use]
pub fn seed(model: &id::Model, adapter: Option<&id::Adapter>) -> u64 {
    match adapter {
        None => xxh3_64(model.as_str().as_bytes()),
        Some(adapter) => xxh3_64(format!("{model}/{adapter}").as_bytes()),
    }
}

/// Hashes the whole blocks of a prompt; a rest shorter than a block is left out.
///
/// `seed` keeps prompts of different models apart.
#[must_use]
pub fn blocks(seed: u64, prompt: &str) -> Vec<Block> {
    let mut hash = seed;
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            Block(hash)
        })
        .collect()
}

/// Tokens that a prompt counts as, at least one.
#[must_use]
pub fn tokens(prompt: &str) -> Tokens {
    Tokens(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64)
}
