//! Registrations as they were read, for instances that hear of them from this one.

use bytes::Bytes;
use coltsfoothall::forward::history::Place;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::size::Millis;
use serde::{Deserialize, Serialize};

use crate::adapter::Item;

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
    #[serde(rename = "place")]
    pub position: Place,
}

/// What changed after a number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// The process that counts so.
    pub boot: u64,
    /// The number to go on from.
    pub next: u64,
    /// The last change at the store that the reader knows of.
    #[serde(rename = "place")]
    pub position: Place,
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
    changed: Place,
}

/// From where an instance goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// From a number that this process told.
    Sequence(u64),
    /// From a place in the store's history up to which it has read itself.
    Position(Place),
}

/// All registrations, with changes numbered. An endpoint that writes again what stood there
/// has not changed.
#[derive(Debug, Default)]
pub struct Changelog {
    /// Sorted by name.
    kept: Vec<Kept>,
    number: u64,
    place: Place,
}

impl Changelog {
    /// A registration was read.
    pub fn put(&mut self, item: &Item, entry: &Entry) {
        if entry.leaving {
            self.record_leaving(&item.name, entry.leaves.map(Millis::from), item.position);
            return;
        }
        let row = Row {
            name: item.name.clone(),
            change: Change::Registered(item.value.clone().unwrap_or_default()),
            position: item.position,
        };
        let says = Entry {
            place: Place::default(),
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
    pub fn record_leaving(&mut self, name: &str, leaves: Option<Millis>, at: Place) {
        let row = Row {
            name: name.to_owned(),
            change: Change::Leaving { leaves },
            position: at,
        };
        match self.find(name) {
            Ok(place) if self.kept[place].row.position > at => {}
            Ok(place) if matches!(self.kept[place].row.change, Change::Leaving { .. }) => {
                self.kept[place].row.position = at;
            }
            found => self.change(found, row, None),
        }
    }

    /// A registration is gone, as of then.
    pub fn remove(&mut self, name: &str, at: Place) {
        let row = Row {
            name: name.to_owned(),
            change: Change::Removed,
            position: at,
        };
        let found = self.find(name);
        if found.is_ok_and(|place| self.kept[place].row.position > at) {
            return;
        }
        self.change(found, row, None);
        self.evict_removed();
    }

    /// All changes at the store up to there are in here.
    pub fn advance_to(&mut self, place: Place) {
        self.place = self.place.max(place);
    }

    /// The last change at the store that is in here.
    #[must_use]
    pub fn position(&self) -> Place {
        self.place
    }

    /// What changed since then, and the number to go on from. After the number 0 it is all that
    /// is there.
    #[must_use]
    pub fn since(&self, after: Since) -> (u64, Vec<Row>) {
        let is_news = |kept: &&Kept| match after {
            Since::Sequence(0) => kept.row.change != Change::Removed,
            Since::Sequence(number) => kept.number > number,
            Since::Position(place) => kept.changed > place,
        };
        let news = self.kept.iter().filter(is_news);
        (self.number, news.map(|kept| kept.row.clone()).collect())
    }

    fn change(&mut self, found: Result<usize, usize>, row: Row, entry: Option<Entry>) {
        self.number += 1;
        let number = self.number;
        let changed = row.position;
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

    fn evict_removed(&mut self) {
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
