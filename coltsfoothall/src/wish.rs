//! Starts that are asked for and not yet answered.

use std::time::Duration;

use crate::clock::Time;
use crate::fleet::Cell;
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
struct Wish {
    token: Token,
    cell: Cell,
    asked_at: Time,
}

/// The open wishes, sorted by token.
#[derive(Debug, Clone)]
pub(crate) struct List {
    service: id::Service,
    fence: Fence,
    number: u64,
    wishes: Vec<Wish>,
}

impl List {
    pub(crate) fn new(service: id::Service, fence: Fence) -> Self {
        Self {
            service,
            fence,
            number: 0,
            wishes: Vec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.wishes.len()
    }

    /// The kinds wished for, one entry a wish.
    pub(crate) fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.wishes.iter().map(|wish| &wish.cell)
    }

    /// Makes a wish. Digits are padded, so that later tokens sort last.
    pub(crate) fn add(&mut self, now: Time, cell: Cell) -> Token {
        self.number += 1;
        let Self {
            service,
            fence,
            number,
            ..
        } = self;
        let token = Token(format!("{service}-{fence:020}-{number:010}"));
        self.wishes.push(Wish {
            token: token.clone(),
            cell,
            asked_at: now,
        });
        token
    }

    /// Removes an answered wish.
    pub(crate) fn take(&mut self, token: &Token) -> Option<Cell> {
        let at = self
            .wishes
            .binary_search_by(|wish| wish.token.cmp(token))
            .ok()?;
        Some(self.wishes.remove(at).cell)
    }

    /// Wishes to ask for again, having waited for `repeat`.
    pub(crate) fn late(&mut self, now: Time, repeat: Duration) -> Vec<(Token, Cell)> {
        let late = |wish: &&mut Wish| wish.asked_at + repeat <= now;
        let again = |wish: &mut Wish| {
            wish.asked_at = now;
            (wish.token.clone(), wish.cell.clone())
        };
        self.wishes.iter_mut().filter(late).map(again).collect()
    }
}
