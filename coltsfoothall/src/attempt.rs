//! One attempt to run a request on an endpoint, and the classification of its answer chunks.

use crate::id;
use crate::record::{Answer, Intake, Part, Record, Work};

/// Upper bound on the size of one answer; it prevents an endpoint from filling the ledgers.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// An attempt to run a request on one endpoint.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number, unique in the fleet.
    pub number: u64,
    /// The endpoint it runs on.
    pub endpoint: id::Endpoint,
    /// Number of the change that recorded it as sent.
    pub seq: u64,
    /// Tokens of the answer generated before it started.
    pub offset: u64,
    /// Whether its endpoint was given notice to stop.
    pub leaving: bool,
    /// Whether part of an answer has arrived, so the attempt has started.
    pub begun: bool,
    /// The last chunk, held until the end marker arrives.
    pub last: Option<Part>,
    /// The answer of a plain service, held until the end marker arrives.
    pub answer: Option<Box<Answer>>,
}

/// How a chunk relates to the recorded answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// It continues the answer.
    Next,
    /// It continues and ends the answer.
    Last,
    /// It contains no tokens.
    Empty,
    /// It has already arrived.
    Duplicate,
    /// Tokens before it are missing.
    Gap,
    /// It is inconsistent with the request or the recorded answer.
    Malformed,
}

impl Attempt {
    /// Creates an attempt whose [`Change::Sent`](crate::record::Change::Sent) has number `seq`.
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

    /// Classifies a chunk against the recorded answer.
    #[must_use]
    pub fn classify(&self, record: &Record, part: &Part) -> ChunkKind {
        let have = record.tokens();
        let Some(limit) = limit(&record.intake) else {
            return ChunkKind::Malformed;
        };
        let Some(end) = part.offset.checked_add(part.tokens) else {
            return ChunkKind::Malformed;
        };
        let text_without_tokens = part.tokens == 0 && !part.text.is_empty();
        if text_without_tokens
            || end > limit
            || record.text.len() + part.text.len() > MAX_ANSWER_BYTES
        {
            return ChunkKind::Malformed;
        }
        if let Some(last) = &self.last {
            return classify_after_last(last, part);
        }
        if part.offset > have {
            return ChunkKind::Gap;
        }
        if part.offset < have {
            // A chunk that overlaps the recorded answer only in part was split at other
            // positions, so it belongs to another generation of the answer.
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

    /// Whether this answer of a plain service is acceptable.
    #[must_use]
    pub fn takes(&self, record: &Record, answer: &Answer) -> bool {
        let call = matches!(record.intake.work, Work::Call { .. });
        call && self.answer.is_none() && answer.body.len() <= MAX_ANSWER_BYTES
    }
}

/// Classifies a chunk that arrives after the last one.
fn classify_after_last(last: &Part, part: &Part) -> ChunkKind {
    let known = part.offset < last.offset && part.finish.is_none();
    if part == last || known {
        ChunkKind::Duplicate
    } else {
        ChunkKind::Malformed
    }
}

/// Maximum tokens of the answer, or `None` for a plain service.
fn limit(intake: &Intake) -> Option<u64> {
    match intake.work {
        Work::Completion { max_tokens, .. } => Some(max_tokens),
        Work::Call { .. } => None,
    }
}
