//! Registrations as they were read, for instances that hear of them from this one.

use bytes::Bytes;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::size::Millis;
use serde::{Deserialize, Serialize};

use crate::border::Item;

/// Most removed registrations remembered; one that is forgotten was removed long ago.
const REMOVED: usize = 4096;

/// What became of a registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It says this, and that its endpoint takes work.
    Registered(Bytes),
    /// Its endpoint is about to leave. When a domain is reclaimed all of its endpoints leave at
    /// once, and what else they say would take narrow links seconds.
    Leaving {
        /// Time left until it is taken away, as of the registration, if it said so.
        leaves: Option<Millis>,
    },
    /// It was removed.
    Removed,
}

/// A registration as one instance tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the endpoint.
    pub name: String,
    /// What became of it.
    pub change: Change,
    /// When that was written.
    pub place: Position,
}

/// What changed after a number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Part {
    /// The process that counts so.
    pub boot: u64,
    /// The number to go on from.
    pub next: u64,
    /// The last change at the store that the reader knows of.
    pub place: Position,
    /// Age in milliseconds of what the reader knows; none if the store does not answer it.
    pub age_ms: Option<u64>,
    /// The changes.
    pub rows: Vec<Row>,
}

#[derive(Debug)]
struct Kept {
    row: Row,
    /// What it says, if it takes work.
    entry: Option<Entry>,
    /// Number of its last change of any account.
    number: u64,
    /// When that was written, or earlier.
    changed: Position,
}

/// From where an instance goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// From a number that this process told.
    Number(u64),
    /// From a place in the store's history up to which it has read itself.
    Place(Position),
}

/// All registrations, with changes numbered. An endpoint that writes again what stood there
/// has not changed.
#[derive(Debug, Default)]
pub struct Passed {
    /// Sorted by name.
    kept: Vec<Kept>,
    number: u64,
    place: Position,
}

impl Passed {
    /// A registration was read.
    pub fn put(&mut self, item: &Item, entry: &Entry) {
        if entry.leaving {
            self.left(&item.name, entry.leaves.map(Millis::from), item.place);
            return;
        }
        let row = Row {
            name: item.name.clone(),
            change: Change::Registered(item.value.clone().unwrap_or_default()),
            place: item.place,
        };
        let says = Entry {
            position: Position::default(),
            ..entry.clone()
        };
        match self.find(&item.name) {
            Ok(place) if self.kept[place].entry.as_ref() == Some(&says) => {
                self.kept[place].row = row;
            }
            found => self.change(found, row, Some(says)),
        }
    }

    /// An endpoint is about to leave, as of then; that it still is when it writes again is no
    /// change.
    pub fn left(&mut self, name: &str, leaves: Option<Millis>, at: Position) {
        let row = Row {
            name: name.to_owned(),
            change: Change::Leaving { leaves },
            place: at,
        };
        match self.find(name) {
            Ok(place) if self.kept[place].row.place > at => {}
            Ok(place) if matches!(self.kept[place].row.change, Change::Leaving { .. }) => {
                self.kept[place].row.place = at;
            }
            found => self.change(found, row, None),
        }
    }

    /// A registration is gone, as of then.
    pub fn remove(&mut self, name: &str, at: Position) {
        let row = Row {
            name: name.to_owned(),
            change: Change::Removed,
            place: at,
        };
        let found = self.find(name);
        if found.is_ok_and(|place| self.kept[place].row.place > at) {
            return;
        }
        self.change(found, row, None);
        self.forget_old();
    }

    /// All changes at the store up to there are in here.
    pub fn read_to(&mut self, place: Position) {
        self.place = self.place.max(place);
    }

    /// The last change at the store that is in here.
    #[must_use]
    pub fn place(&self) -> Position {
        self.place
    }

    /// What changed since then, and the number to go on from. After the number 0 it is all that
    /// is there.
    #[must_use]
    pub fn since(&self, after: After) -> (u64, Vec<Row>) {
        let is_news = |kept: &&Kept| match after {
            After::Number(0) => kept.row.change != Change::Removed,
            After::Number(number) => kept.number > number,
            After::Place(place) => kept.changed > place,
        };
        let news = self.kept.iter().filter(is_news);
        (self.number, news.map(|kept| kept.row.clone()).collect())
    }

    fn change(&mut self, found: Result<usize, usize>, row: Row, entry: Option<Entry>) {
        self.number += 1;
        let number = self.number;
        let changed = row.place;
        let kept = Kept {
            row,
            entry,
            number,
            changed,
        };
        match found {
            Ok(place) => self.kept[place] = kept,
            Err(place) => self.kept.insert(place, kept),
        }
    }

    fn forget_old(&mut self) {
        let removed = |kept: &&Kept| kept.row.change == Change::Removed;
        if self.kept.iter().filter(removed).count() <= REMOVED {
            return;
        }
        let oldest = self.kept.iter().filter(removed).map(|kept| kept.number);
        if let Some(oldest) = oldest.min() {
            self.kept.retain(|kept| kept.number != oldest);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.kept
            .binary_search_by(|kept| kept.row.name.as_str().cmp(name))
    }
}
