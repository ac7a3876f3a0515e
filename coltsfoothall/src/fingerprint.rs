//! Fingerprints of requests, and the evidence against requests that crash endpoints, as instances
//! report it to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::prefix;
use crate::record::{Intake, Work};
use crate::size::Millis;

/// A set of requests that evidence is collected against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Mark {
    /// Requests of equal content, in any workspace and under any key.
    Content(u64),
    /// Kin: requests of one workspace that start alike.
    Kin(u64),
}

/// The marks of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fingerprint {
    /// Mark of its content.
    pub content: Mark,
    /// Mark of its kin.
    pub kin: Mark,
}

impl Fingerprint {
    /// The fingerprint of a request that is forwarded unread, from its workspace, method, path
    /// and the parts of its body. Its kin equals its content, since the body is not parsed.
    #[must_use]
    pub fn of_call(workspace: &str, method: &str, path: &str, body: &[Bytes]) -> Self {
        let mut hash = Xxh3::new();
        for part in [workspace.as_bytes(), method.as_bytes(), path.as_bytes()] {
            hash.update(part);
            hash.update(&[0]);
        }
        for part in body {
            hash.update(part);
        }
        let digest = hash.digest();
        Self {
            content: Mark::Content(digest),
            kin: Mark::Content(digest),
        }
    }

    /// Hash of the content.
    #[must_use]
    pub fn digest(&self) -> u64 {
        match self.content {
            Mark::Content(digest) | Mark::Kin(digest) => digest,
        }
    }

    /// Short hash of the content.
    #[must_use]
    pub fn content_hash(&self) -> u32 {
        self.digest() as u32
    }

    /// The fingerprint of `intake`.
    #[must_use]
    pub fn new(intake: &Intake) -> Self {
        let mut hash = Xxh3::new();
        hash.update(intake.name.workspace.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(intake.service.as_str().as_bytes());
        hash.update(&[0]);
        match &intake.work {
            Work::Completion { model, prompt, .. } => {
                hash.update(model.as_str().as_bytes());
                hash.update(&[0]);
                hash.update(head(prompt.as_bytes()));
            }
            Work::Call { method, path, .. } => {
                hash.update(method.as_bytes());
                hash.update(&[0]);
                hash.update(path.as_bytes());
            }
        }
        Self {
            content: Mark::Content(intake.digest()),
            kin: Mark::Kin(hash.digest()),
        }
    }
}

/// The first block of the prompt, or for a shorter prompt the largest power of two bytes.
fn head(prompt: &[u8]) -> &[u8] {
    let len = match prompt.len() {
        0 => 0,
        len => (1 << len.ilog2()).min(prefix::BLOCK_BYTES),
    };
    &prompt[..len]
}

/// Death of an endpoint, as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The attempt that ran there.
    pub attempt: u64,
    /// Time since the attempt started.
    pub began: Millis,
    /// Time since the attempt was interrupted, or else since the death was detected.
    pub age: Millis,
    /// Whether the attempt was isolated: nothing else ran there.
    #[serde(rename = "alone")]
    pub isolated: bool,
}

/// The evidence against a mark, as reported to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The mark.
    pub mark: Mark,
    /// Deaths, at most four.
    pub deaths: Vec<Notice>,
    /// Time since the mark was cleared.
    pub cleared: Option<Millis>,
}
