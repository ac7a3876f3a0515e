//! Answers of a model engine: each token names its prompt, its index and its maker.

use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use coltsfoothall_wire::engine::{Attempt, Chunk, Finish, Generate};

/// A request that gets tokens.
#[derive(Debug)]
pub(crate) struct Stream {
    /// Its attempt.
    pub attempt: Attempt,
    /// Where its tokens go.
    pub sender: UnboundedSender<Chunk>,
    /// Digest of its prompt.
    pub digest: u32,
    /// Index of its next token in the whole answer.
    pub next: u64,
    /// Why it will end.
    pub finish: Finish,
    /// Whether the engine dies when its prompt is read.
    pub crash: bool,
    /// Seed of its blocks.
    pub seed: u64,
    /// All text so far, prompt first.
    pub text: String,
}

/// Digest of a prompt that every token of its answer carries.
#[must_use]
pub fn digest(prompt: &str) -> u32 {
    // The low half is as good a hash as the whole.
    xxh3_64(prompt.as_bytes()) as u32
}

/// Text of a token.
#[must_use]
pub fn token(digest: u32, index: u64, name: &str) -> String {
    format!(" {digest:08x}.{index}.{name}")
}

/// Tokens of the whole answer and why it ends there.
pub(crate) fn last(request: &Generate) -> (u64, Finish) {
    let stop = request.prompt.split("stop-after=").nth(1).and_then(|rest| {
        let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
        digits.and_then(|digits| digits.parse().ok())
    });
    match stop {
        Some(stop) if stop <= request.max_tokens => (stop, Finish::Stop),
        _ => (request.max_tokens, Finish::Length),
    }
}
