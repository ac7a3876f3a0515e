//! Marks by which requests that crash endpoints are known, and the evidence
//! against them that instances tell each other.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::prefix;
use crate::record::{Intake, Work};
use crate::size::Millis;

/// What evidence is kept against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Mark {
    /// Requests of equal content, of whatever workspace and key.
    Content(u64),
    /// Requests of one workspace that begin alike.
    Kin(u64),
}

/// The marks of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fingerprint {
    /// Its content.
    pub content: Mark,
    /// Its kin.
    pub kin: Mark,
}

impl Fingerprint {
    /// The marks of a request that is forwarded as it came: whose it is, what it asks, and
    /// its body. Such requests have no kin, since their content is not read.
    #[must_use]
    pub fn of_call(workspace: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [workspace.as_bytes(), method.as_bytes(), path.as_bytes()] {
            hash.update(part);
            hash.update(&[0]);
        }
        hash.update(body);
        let digest = hash.digest();
        Self {
            content: Mark::Content(digest),
            kin: Mark::Kin(digest),
        }
    }

    /// The marks of `intake`.
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

/// The first block, or of a shorter prompt the largest power of two in it.
fn head(prompt: &[u8]) -> &[u8] {
    let len = match prompt.len() {
        0 => 0,
        len => (1 << len.ilog2()).min(prefix::BLOCK_BYTES),
    };
    &prompt[..len]
}

/// An endpoint's death, as peers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The attempt that ran there.
    pub attempt: u64,
    /// Time since it began.
    pub began: Millis,
    /// Time since the death was known.
    pub age: Millis,
    /// Whether nothing else ran there.
    #[serde(rename = "alone")]
    pub isolated: bool,
}

/// The evidence against a mark, as peers are told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The mark.
    pub mark: Mark,
    /// Deaths, at most four.
    pub deaths: Vec<Notice>,
    /// Time since it was cleared.
    pub cleared: Option<Millis>,
}
