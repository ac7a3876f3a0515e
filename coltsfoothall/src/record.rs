//! What the owner of a request and its backup keep of it.
//!
//! A record is made by [`Change::Accept`] and then changed by the further
//! changes, in order. Owner and backup apply the same changes, so both can
//! carry the request on or answer for it.

use std::fmt;

use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::id;
use crate::key::Key;
use crate::size::Millis;

/// Names a request in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// The request's key there.
    pub key: Key,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// How urgent a request is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the first token.
    #[default]
    Interactive,
    /// Only the whole answer matters.
    Batch,
}

/// A header that is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// What is to be done.
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
        /// Most tokens to generate.
        max_tokens: u64,
    },
    /// A call of a plain service.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query behind the service's prefix.
        path: String,
        /// Headers that are passed on.
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
    /// The service that does it.
    pub service: id::Service,
    /// What is to be done.
    pub work: Work,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// How urgent it is.
    pub class: Class,
    /// Time that was left to its deadline when it was accepted.
    pub deadline: Millis,
}

impl Intake {
    /// Tells requests under one key apart; equal requests have equal digests.
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
    /// The model ended it.
    Stop,
    /// The request's most tokens were reached.
    Length,
}

/// A piece of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Tokens of the answer before this piece.
    pub offset: u64,
    /// Tokens in this piece.
    pub tokens: u64,
    /// Its text.
    pub text: String,
    /// Set in the last piece.
    pub finish: Option<Finish>,
}

/// A whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// Why a request ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its caller cancelled it.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// No endpoint could take it.
    NoEndpoint,
    /// There was no capacity within its deadline.
    Overloaded,
    /// Its retry budget is used up.
    Failed,
    /// Endpoints died each time that it ran.
    Poisonous,
    /// Its owner was lost after it may have been sent.
    OwnerLost,
    /// At-most-once could not be kept up.
    NotSafe,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With its whole answer.
    Done,
    /// It was never begun at any endpoint.
    NotRun(Cause),
    /// It may have run.
    Unknown(Cause),
}

/// A change of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The request is accepted.
    Accept(Box<Intake>),
    /// An attempt is about to be sent; recorded before the first byte leaves.
    Sent {
        /// The attempt's number, unique in the fleet.
        attempt: u64,
        /// Where it goes.
        endpoint: id::Endpoint,
    },
    /// The endpoint refused the attempt before it began.
    Refused {
        /// The attempt.
        attempt: u64,
    },
    /// A piece of the answer arrived.
    Part(Part),
    /// The whole answer of a plain service arrived.
    Answer(Box<Answer>),
    /// The request ended.
    End(End),
}

quick_error! {
    /// A change that a record cannot take; a rule of the system is broken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// Changed after its end.
        Ended(name: Name) {
            display("request {name} was changed after its end")
        }
        /// Accepted twice.
        Twice(name: Name) {
            display("request {name} was accepted twice")
        }
        /// A piece does not follow the one before.
        Gap(name: Name, have: u64, got: u64) {
            display("request {name} has {have} tokens, the piece begins at {got}")
        }
        /// A non-idempotent request was sent again after it may have begun.
        Again(name: Name) {
            display("non-idempotent request {name} was about to be sent a second time")
        }
        /// It ended as done without a whole answer.
        Partial(name: Name) {
            display("request {name} ended as done without its whole answer")
        }
        /// It ended as not run although an attempt may have begun.
        Ran(name: Name) {
            display("request {name} ended as not run but may have run")
        }
    }
}

/// Where a piece ends in the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Tokens up to here.
    pub tokens: u64,
    /// Bytes of text up to here.
    pub bytes: usize,
}

/// The state of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request; its work is empty once an ended record was trimmed.
    pub intake: Intake,
    /// Digest of the whole request, which tells another one under its key.
    pub digest: u64,
    /// Attempts that may have begun; those refused before they began are taken out.
    pub sent: Vec<u64>,
    /// Attempts recorded in all.
    pub attempts: u32,
    /// Text generated so far.
    pub text: String,
    /// Ends of the pieces of `text`, rising.
    pub marks: Vec<Mark>,
    /// Set once the completion is whole.
    pub finish: Option<Finish>,
    /// Set once the plain service's answer is whole.
    pub answer: Option<Box<Answer>>,
    /// Set once the request has ended.
    pub end: Option<End>,
}

impl Record {
    /// The record of a request that was just accepted.
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

    /// Whether the answer is whole.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.finish.is_some() || self.answer.is_some()
    }

    /// Whether an attempt may have begun.
    #[must_use]
    pub fn begun(&self) -> bool {
        !self.sent.is_empty()
    }

    /// The text after `tokens` tokens, or none if no piece ends there.
    #[must_use]
    pub fn text_after(&self, tokens: u64) -> Option<&str> {
        if tokens == 0 {
            return Some(&self.text);
        }
        let at = self
            .marks
            .binary_search_by_key(&tokens, |mark| mark.tokens)
            .ok()?;
        Some(&self.text[self.marks[at].bytes..])
    }

    /// Bytes of memory that the record takes, roughly.
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

    /// Drops what only a running request needs; the answer and the digest stay.
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
    /// The change breaks a rule; the record stays as it was.
    pub fn apply(&mut self, change: Change) -> Result<(), Broken> {
        let name = &self.intake.name;
        if (self.end).is_some_and(|end| !takes_back(end, &change)) {
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

/// Whether the change takes a "not run" back that nobody was told.
fn takes_back(end: End, change: &Change) -> bool {
    matches!(end, End::NotRun(_)) && matches!(change, Change::End(End::Unknown(_)))
}
