//! Registrations as they were read, for instances that hear of them from this one.

use bytes::Bytes;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::size::Millis;
use serde::{Deserialize, Serialize};

use crate::adapter::Item;

/// Most removed registrations remembered; one that is forgotten was removed long ago.
const MAX_REMOVED: usize = 4096;

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
    pub position: Position,
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
    pub position: Position,
    /// Age in milliseconds of what the reader knows; none if the store does not answer it.
    pub age_ms: Option<u64>,
    /// The changes.
    pub rows: Vec<Row>,
}

#[derive(Debug)]
struct Record {
    row: Row,
    /// What it says, if it takes work.
    entry: Option<Entry>,
    /// Number of its last change of any account.
    sequence: u64,
    /// When that was written, or earlier.
    changed: Position,
}

/// From where an instance goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// From a number that this process told.
    Sequence(u64),
    /// From a place in the store's history up to which it has read itself.
    Position(Position),
}

/// All registrations, with changes numbered. An endpoint that writes again what stood there
/// has not changed.
#[derive(Debug, Default)]
pub struct Changelog {
    /// Sorted by name.
    records: Vec<Record>,
    sequence: u64,
    position: Position,
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
        let content = Entry {
            position: Position::default(),
            ..entry.clone()
        };
        match self.find(&item.name) {
            Ok(index) if self.records[index].entry.as_ref() == Some(&content) => {
                self.records[index].row = row;
            }
            found => self.record(found, row, Some(content)),
        }
    }

    /// An endpoint is about to leave, as of then; that it still is when it writes again is no
    /// change.
    pub fn record_leaving(&mut self, name: &str, leaves: Option<Millis>, at: Position) {
        let row = Row {
            name: name.to_owned(),
            change: Change::Leaving { leaves },
            position: at,
        };
        match self.find(name) {
            Ok(index) if self.records[index].row.position > at => {}
            Ok(index) if matches!(self.records[index].row.change, Change::Leaving { .. }) => {
                self.records[index].row.position = at;
            }
            found => self.record(found, row, None),
        }
    }

    /// A registration is gone, as of then.
    pub fn remove(&mut self, name: &str, at: Position) {
        let row = Row {
            name: name.to_owned(),
            change: Change::Removed,
            position: at,
        };
        let found = self.find(name);
        if found.is_ok_and(|index| self.records[index].row.position > at) {
            return;
        }
        self.record(found, row, None);
        self.evict_removed();
    }

    /// All changes at the store up to there are in here.
    pub fn advance_to(&mut self, position: Position) {
        self.position = self.position.max(position);
    }

    /// The last change at the store that is in here.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// What changed since then, and the number to go on from. After the number 0 it is all that
    /// is there.
    #[must_use]
    pub fn since(&self, after: Since) -> (u64, Vec<Row>) {
        let is_newer = |record: &&Record| match after {
            Since::Sequence(0) => record.row.change != Change::Removed,
            Since::Sequence(sequence) => record.sequence > sequence,
            Since::Position(position) => record.changed > position,
        };
        let newer = self.records.iter().filter(is_newer);
        (
            self.sequence,
            newer.map(|record| record.row.clone()).collect(),
        )
    }

    fn record(&mut self, found: Result<usize, usize>, row: Row, entry: Option<Entry>) {
        self.sequence += 1;
        let sequence = self.sequence;
        let changed = row.position;
        let record = Record {
            row,
            entry,
            sequence,
            changed,
        };
        match found {
            Ok(index) => self.records[index] = record,
            Err(index) => self.records.insert(index, record),
        }
    }

    fn evict_removed(&mut self) {
        let removed = |record: &&Record| record.row.change == Change::Removed;
        if self.records.iter().filter(removed).count() <= MAX_REMOVED {
            return;
        }
        let oldest = self
            .records
            .iter()
            .filter(removed)
            .map(|record| record.sequence);
        if let Some(oldest) = oldest.min() {
            self.records.retain(|record| record.sequence != oldest);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.row.name.as_str().cmp(name))
    }
}
