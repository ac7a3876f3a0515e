//! One try of a request at one endpoint, and what its pieces are worth.

use crate::id;
use crate::record::{Answer, Intake, Part, Record, Work};

/// Most bytes of one answer; it stops an endpoint from filling the ledgers.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A try of a request at one endpoint.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number, unique in the fleet.
    pub number: u64,
    /// Where it runs.
    pub endpoint: id::Endpoint,
    /// Number of the change that recorded it as sent.
    pub seq: u64,
    /// Tokens of the answer that it was started with.
    pub offset: u64,
    /// Whether its endpoint was given notice.
    pub leaving: bool,
    /// Whether a piece of an answer came, so it has begun.
    pub begun: bool,
    /// The last piece, kept back until the end marker comes.
    pub last: Option<Part>,
    /// A plain service's answer, kept back until the end marker comes.
    pub answer: Option<Box<Answer>>,
}

/// What a piece is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// It continues the answer.
    Next,
    /// It continues and ends the answer.
    Last,
    /// It holds nothing.
    Empty,
    /// It came before.
    Duplicate,
    /// Something before it is missing.
    Gap,
    /// It makes no sense.
    Malformed,
}

impl Attempt {
    /// An attempt that is recorded as sent by the change `seq`.
    #[must_use]
    pub fn new(number: u64, endpoint: id::Endpoint, seq: u64) -> Self {
        Self {
            number,
            endpoint,
            seq,
            offset: 0,
            leaving: false,
            begun: false,
            last: None,
            answer: None,
        }
    }

    /// Weighs a piece against what is recorded.
    #[must_use]
    pub fn classify(&self, record: &Record, part: &Part) -> ChunkKind {
        let have = record.tokens();
        let Some(limit) = limit(&record.intake) else {
            return ChunkKind::Malformed;
        };
        let Some(end) = part.offset.checked_add(part.tokens) else {
            return ChunkKind::Malformed;
        };
        let silent = part.tokens == 0 && !part.text.is_empty();
        if silent || end > limit || record.text.len() + part.text.len() > MAX_ANSWER_BYTES {
            return ChunkKind::Malformed;
        }
        if let Some(last) = &self.last {
            return behind(last, part);
        }
        if part.offset > have {
            return ChunkKind::Gap;
        }
        if part.offset < have {
            // A piece that only partly came before was cut elsewhere: a mixed-up answer.
            let known = end <= have && part.finish.is_none();
            return if known {
                ChunkKind::Duplicate
            } else {
                ChunkKind::Malformed
            };
        }
        match (part.finish, part.tokens) {
            (Some(_), _) => ChunkKind::Last,
            (None, 0) => ChunkKind::Empty,
            (None, _) => ChunkKind::Next,
        }
    }

    /// Whether a plain service's answer can be taken.
    #[must_use]
    pub fn takes(&self, record: &Record, answer: &Answer) -> bool {
        let call = matches!(record.intake.work, Work::Call { .. });
        call && self.answer.is_none() && answer.body.len() <= MAX_ANSWER_BYTES
    }
}

/// What a piece after the last one is worth.
fn behind(last: &Part, part: &Part) -> ChunkKind {
    let known = part.offset < last.offset && part.finish.is_none();
    if part == last || known {
        ChunkKind::Duplicate
    } else {
        ChunkKind::Malformed
    }
}

/// Most tokens of the answer, or none for a plain service.
fn limit(intake: &Intake) -> Option<u64> {
    match intake.work {
        Work::Completion { max_tokens, .. } => Some(max_tokens),
        Work::Call { .. } => None,
    }
}
