//! Log of changes to registrations, for the instances that read them from this one.

use bytes::Bytes;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::size::Millis;
use serde::{Deserialize, Serialize};

use crate::adapter::Item;

/// Maximum number of removed registrations in the log; the oldest are evicted.
const MAX_REMOVED: usize = 4096;

/// A change to a registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The endpoint accepts requests; the value of its registration.
    Registered(Bytes),
    /// The endpoint is about to leave. When a failure domain is reclaimed, all of its endpoints
    /// leave at once, and sending their complete registrations would take seconds on narrow links.
    Leaving {
        /// Time until the machine is reclaimed, as of the registration, if it says so.
        leaves: Option<Millis>,
    },
    /// The registration was removed.
    Removed,
}

/// The last change to a registration, as sent to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the endpoint.
    pub name: String,
    /// The change.
    pub change: Change,
    /// Position at which the change was written.
    #[serde(rename = "place")]
    pub position: Position,
}

/// The changes after a sequence number or position.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// The run of the process that assigned the sequence numbers.
    pub boot: u64,
    /// The sequence number from which to resume.
    pub next: u64,
    /// Position of the last change at the store that the reader knows.
    #[serde(rename = "place")]
    pub position: Position,
    /// Age of the reader's data in milliseconds; none if the store does not answer the reader.
    pub age_ms: Option<u64>,
    /// The changes.
    pub rows: Vec<Row>,
}

#[derive(Debug)]
struct Record {
    row: Row,
    /// The parsed registration, if the endpoint accepts requests.
    entry: Option<Entry>,
    /// Sequence number of its last relevant change.
    sequence: u64,
    /// Position of that change.
    changed: Position,
}

/// Where an instance resumes reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// After a sequence number of this process.
    Sequence(u64),
    /// After a position in the history of the store, up to which the instance has read by itself.
    Position(Position),
}

/// All registrations, with numbered changes. A heartbeat that rewrites an unchanged registration is
/// not a change.
#[derive(Debug, Default)]
pub struct Changelog {
    /// Sorted by name.
    records: Vec<Record>,
    sequence: u64,
    position: Position,
}

impl Changelog {
    /// Records a registration.
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

    /// Records that an endpoint is about to leave. Later heartbeats of a leaving endpoint are not
    /// changes.
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

    /// Records that a registration is gone.
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

    /// Records that all changes up to a position are in the log.
    pub fn advance_to(&mut self, position: Position) {
        self.position = self.position.max(position);
    }

    /// The position up to which all changes are in the log.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// The changes later than `after`, and the sequence number from which to resume. After sequence
    /// number 0, these are all current registrations.
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
