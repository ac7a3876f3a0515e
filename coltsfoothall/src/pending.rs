//! Starts that have been requested but not yet answered.

use std::time::Duration;

use crate::clock::Time;
use crate::fleet::Kind;
use crate::id;
use crate::steward::Fence;

/// Idempotency token of a start; the platform starts at most one instance for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(String);

impl Token {
    /// The token as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

#[derive(Debug, Clone)]
struct Pending {
    token: Token,
    kind: Kind,
    requested_at: Time,
}

/// The pending starts, sorted by token.
#[derive(Debug, Clone)]
pub(crate) struct List {
    service: id::Service,
    fence: Fence,
    number: u64,
    starts: Vec<Pending>,
}

impl List {
    pub(crate) fn new(service: id::Service, fence: Fence) -> Self {
        Self {
            service,
            fence,
            number: 0,
            starts: Vec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    /// The requested kinds, one entry for each pending start.
    pub(crate) fn kinds(&self) -> impl Iterator<Item = &Kind> {
        self.starts.iter().map(|start| &start.kind)
    }

    /// Adds a pending start. The digits are padded so that later tokens sort last.
    pub(crate) fn add(&mut self, now: Time, kind: Kind) -> Token {
        self.number += 1;
        let Self {
            service,
            fence,
            number,
            ..
        } = self;
        let token = Token(format!("{service}-{fence:020}-{number:010}"));
        self.starts.push(Pending {
            token: token.clone(),
            kind,
            requested_at: now,
        });
        token
    }

    /// Removes a start that was answered.
    pub(crate) fn take(&mut self, token: &Token) -> Option<Kind> {
        let at = self
            .starts
            .binary_search_by(|start| start.token.cmp(token))
            .ok()?;
        Some(self.starts.remove(at).kind)
    }

    /// Starts to request again, after waiting for `retry_interval`.
    pub(crate) fn take_due(&mut self, now: Time, retry_interval: Duration) -> Vec<(Token, Kind)> {
        let is_due = |start: &&mut Pending| start.requested_at + retry_interval <= now;
        let retry = |start: &mut Pending| {
            start.requested_at = now;
            (start.token.clone(), start.kind.clone())
        };
        self.starts.iter_mut().filter(is_due).map(retry).collect()
    }
}
