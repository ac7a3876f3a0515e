//! Starts that are asked for and not yet answered.

use std::time::Duration;

use crate::clock::Time;
use crate::fleet::Kind;
use crate::id;
use crate::steward::Fence;

/// Name of a wish; the platform starts at most one instance for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(String);

impl Token {
    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

#[derive(Debug, Clone)]
struct Pending {
    token: Token,
    kind: Kind,
    asked_at: Time,
}

/// The open starts, sorted by token.
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

    /// The kinds wished for, one entry a start.
    pub(crate) fn kinds(&self) -> impl Iterator<Item = &Kind> {
        self.starts.iter().map(|start| &start.kind)
    }

    /// Makes a start. Digits are padded, so that later tokens sort last.
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
            asked_at: now,
        });
        token
    }

    /// Removes an answered start.
    pub(crate) fn take(&mut self, token: &Token) -> Option<Kind> {
        let at = self
            .starts
            .binary_search_by(|start| start.token.cmp(token))
            .ok()?;
        Some(self.starts.remove(at).kind)
    }

    /// Wishes to ask for again, having waited for `repeat`.
    pub(crate) fn late(&mut self, now: Time, repeat: Duration) -> Vec<(Token, Kind)> {
        let late = |start: &&mut Pending| start.asked_at + repeat <= now;
        let again = |start: &mut Pending| {
            start.asked_at = now;
            (start.token.clone(), start.kind.clone())
        };
        self.starts.iter_mut().filter(late).map(again).collect()
    }
}
