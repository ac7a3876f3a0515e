//! The record of a request, as the primary of its slot and the backup keep it.
//!
//! [`Change::Accept`] creates a record; later changes are applied to it in order. Primary and
//! backup apply the same changes, so either can continue the request or answer for it.

use std::fmt;

use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::id;
use crate::key::Key;
use crate::size::Millis;

/// Identifies a request in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// The request's key within the workspace.
    pub key: Key,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// Priority class of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The caller waits for the first token; latency matters.
    #[default]
    Interactive,
    /// Only the time to the complete answer matters.
    Batch,
}

/// A header that is forwarded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name, in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// The work that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model engine.
    Completion {
        /// The model.
        model: id::Model,
        /// The adapter on top of it.
        adapter: Option<id::Adapter>,
        /// The prompt.
        prompt: String,
        /// Upper bound on the generated tokens.
        max_tokens: u64,
    },
    /// A call of a plain service.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query behind the service's prefix.
        path: String,
        /// Forwarded headers.
        headers: Vec<Header>,
        /// Body.
        body: Bytes,
    },
}

/// A request as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intake {
    /// Its name.
    pub name: Name,
    /// The service that runs it.
    pub service: id::Service,
    /// The work that a request asks for.
    pub work: Work,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its priority class.
    pub class: Class,
    /// Time to the deadline when the request was accepted.
    pub deadline: Millis,
}

impl Intake {
    /// Digest that distinguishes requests under one key; equal requests have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.service.as_str().as_bytes());
        match &self.work {
            Work::Completion {
                model,
                adapter,
                prompt,
                max_tokens,
            } => {
                hash.update(model.as_str().as_bytes());
                hash.update(adapter.as_ref().map_or("", |a| a.as_str()).as_bytes());
                hash.update(&max_tokens.to_le_bytes());
                hash.update(prompt.as_bytes());
            }
            Work::Call {
                method, path, body, ..
            } => {
                hash.update(method.as_bytes());
                hash.update(path.as_bytes());
                hash.update(body);
            }
        }
        hash.digest()
    }
}

/// Why a completion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model emitted its end token.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// A chunk of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Tokens of the answer before this chunk.
    pub offset: u64,
    /// Tokens in this chunk.
    pub tokens: u64,
    /// Text of this chunk.
    pub text: String,
    /// Set in the last chunk.
    pub finish: Option<Finish>,
}

/// A complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Forwarded headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// Why a request ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its caller cancelled it.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// No endpoint was available.
    NoEndpoint,
    /// No capacity became free before its deadline.
    Overloaded,
    /// Its attempts failed and its retry budget is exhausted.
    Failed,
    /// Endpoints crashed each time it ran.
    Poisonous,
    /// The primary of its slot was lost after the request may have been sent.
    OwnerLost,
    /// At-most-once execution could not be guaranteed.
    NotSafe,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With its complete answer.
    Done,
    /// No endpoint started it.
    NotRun(Cause),
    /// It may have run; the outcome is unknown.
    Unknown(Cause),
}

/// A change to a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The request was accepted.
    Accept(Box<Intake>),
    /// An attempt is about to be sent; recorded before its first byte leaves.
    Sent {
        /// The attempt's number, unique in the fleet.
        attempt: u64,
        /// The endpoint it is sent to.
        endpoint: id::Endpoint,
    },
    /// The endpoint rejected the attempt before it started.
    Refused {
        /// The attempt.
        attempt: u64,
    },
    /// A chunk of a completion arrived.
    Part(Part),
    /// The complete answer of a plain service arrived.
    Answer(Box<Answer>),
    /// The request ended.
    End(End),
}

quick_error! {
    /// A change that violates an invariant of the record.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// The record was changed after its end.
        Ended(name: Name) {
            display("request {name} was changed after its end")
        }
        /// The request was accepted twice.
        Twice(name: Name) {
            display("request {name} was accepted twice")
        }
        /// A chunk does not follow the one before it.
        Gap(name: Name, have: u64, got: u64) {
            display("request {name} has {have} tokens, but the chunk starts at token {got}")
        }
        /// A non-idempotent request was sent again after it may have started.
        Again(name: Name) {
            display("non-idempotent request {name} was about to be sent a second time")
        }
        /// The request ended as done without a complete answer.
        Partial(name: Name) {
            display("request {name} ended as done without a complete answer")
        }
        /// The request ended as not run although an attempt may have started.
        Ran(name: Name) {
            display("request {name} ended as not run although an attempt may have started")
        }
    }
}

/// Position in the text at which a chunk ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Tokens up to this position.
    pub tokens: u64,
    /// Bytes of text up to this position.
    pub bytes: usize,
}

/// The state of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request; its prompt or body is empty once the ended record was trimmed.
    pub intake: Intake,
    /// Digest of the request as accepted; detects another request under the same key.
    pub digest: u64,
    /// Attempts that may have started; those rejected before they started are removed.
    pub sent: Vec<u64>,
    /// Total number of attempts recorded.
    pub attempts: u32,
    /// Text generated so far.
    pub text: String,
    /// Ends of the chunks of `text`, ascending.
    pub marks: Vec<Mark>,
    /// Set once the completion is complete.
    pub finish: Option<Finish>,
    /// Set once the answer of a plain service is complete.
    pub answer: Option<Box<Answer>>,
    /// Set once the request has ended.
    pub end: Option<End>,
}

impl Record {
    /// Creates the record of a request that was just accepted.
    #[must_use]
    pub fn new(intake: Intake) -> Self {
        Self {
            digest: intake.digest(),
            intake,
            sent: Vec::new(),
            attempts: 0,
            text: String::new(),
            marks: Vec::new(),
            finish: None,
            answer: None,
            end: None,
        }
    }

    /// Tokens generated so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.marks.last().map_or(0, |mark| mark.tokens)
    }

    /// Whether the answer is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.finish.is_some() || self.answer.is_some()
    }

    /// Whether an attempt may have started.
    #[must_use]
    pub fn begun(&self) -> bool {
        !self.sent.is_empty()
    }

    /// The text after `tokens` tokens, or `None` if no chunk ends there.
    #[must_use]
    pub fn text_after(&self, tokens: u64) -> Option<&str> {
        if tokens == 0 {
            return Some(&self.text);
        }
        let index = self
            .marks
            .binary_search_by_key(&tokens, |mark| mark.tokens)
            .ok()?;
        Some(&self.text[self.marks[index].bytes..])
    }

    /// Approximate memory use of the record, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let work = match &self.intake.work {
            Work::Completion { prompt, .. } => prompt.len(),
            Work::Call { body, .. } => body.len(),
        };
        let answer = self.answer.as_ref().map_or(0, |answer| answer.body.len());
        let marks = self.marks.len() * size_of::<Mark>();
        size_of::<Self>() + work + answer + marks + self.text.len()
    }

    /// Drops what only a running request needs: prompt, body and request headers. The answer and
    /// the digest stay.
    pub fn trim(&mut self) {
        match &mut self.intake.work {
            Work::Completion { prompt, .. } => *prompt = String::new(),
            Work::Call { headers, body, .. } => {
                *headers = Vec::new();
                *body = Bytes::new();
            }
        }
        self.text.shrink_to_fit();
        self.marks.shrink_to_fit();
    }

    /// Applies a change.
    ///
    /// # Errors
    /// The change violates an invariant; the record stays as it was.
    pub fn apply(&mut self, change: Change) -> Result<(), Broken> {
        let name = &self.intake.name;
        if (self.end).is_some_and(|end| !retracts(end, &change)) {
            return Err(Broken::Ended(name.clone()));
        }
        match change {
            Change::Accept(_) => return Err(Broken::Twice(name.clone())),
            Change::Sent { attempt, .. } => {
                if !self.intake.idempotent && self.begun() {
                    return Err(Broken::Again(name.clone()));
                }
                self.sent.push(attempt);
                self.attempts += 1;
            }
            Change::Refused { attempt } => self.sent.retain(|sent| *sent != attempt),
            Change::Part(part) => {
                let have = self.tokens();
                if part.offset != have || self.finish.is_some() {
                    return Err(Broken::Gap(name.clone(), have, part.offset));
                }
                self.append(&part);
            }
            Change::Answer(answer) => self.answer = Some(answer),
            Change::End(end) => {
                self.check(end)?;
                self.end = Some(end);
            }
        }
        Ok(())
    }

    fn append(&mut self, part: &Part) {
        self.text.push_str(&part.text);
        if part.tokens > 0 {
            let tokens = part.offset + part.tokens;
            self.marks.push(Mark {
                tokens,
                bytes: self.text.len(),
            });
        }
        self.finish = part.finish;
    }

    fn check(&self, end: End) -> Result<(), Broken> {
        let name = &self.intake.name;
        match end {
            End::Done if !self.is_complete() => Err(Broken::Partial(name.clone())),
            End::NotRun(_) if self.begun() => Err(Broken::Ran(name.clone())),
            End::Done | End::NotRun(_) | End::Unknown(_) => Ok(()),
        }
    }
}

/// Whether the change replaces a "not run" that has not been reported to any caller.
fn retracts(end: End, change: &Change) -> bool {
    matches!(end, End::NotRun(_)) && matches!(change, Change::End(End::Unknown(_)))
}
