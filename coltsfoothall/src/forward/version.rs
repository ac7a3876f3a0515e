//! The version of a service at which a stream begins, told from the id of its request.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that sent
//! its first event. A table names a version for each of the [`SLOTS`] that ids hash to. Streams begin
//! at that version alone, so that any instance can tell where one began, even after all instances
//! that ran it are gone.
//!
//! The leader writes the table to the store; heartbeats spread it. A slot that moves to another
//! version is announced before it moves, and remembered afterwards for as long as its streams may
//! last. Meanwhile the slot does not tell where a stream began.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::roster::Roster;
use crate::id;

/// Number of slots that ids hash to.
pub const SLOTS: usize = 64;
/// Bounds the versions of a row.
const MAX_VERSIONS: usize = 64;

/// The version that an endpoint reports; none if it reports none.
pub type Label = Option<id::Version>;

/// A version for the log, `-` if there is none.
#[must_use]
pub fn name(version: Option<&id::Version>) -> &str {
    version.map_or("-", id::Version::as_str)
}

/// A version that some endpoints of a service run, as one instance knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Present {
    /// The version.
    pub version: Label,
    /// Requests that those in reach run at once.
    pub capacity: u32,
    /// When the first of them that is still there became known.
    pub since: Time,
}

/// Which version may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Binding {
    /// Any version.
    Free,
    /// Only this one.
    Only(Label),
    /// Only the one that began the stream, which is not known.
    Unknown,
}

/// A slot and a version of its row, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Move {
    /// The slot.
    pub slot: u8,
    /// Index of the version.
    pub version: u8,
}

/// Where the streams of a service begin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: id::Service,
    /// All versions that the row names.
    pub versions: Vec<Label>,
    /// Index of the version of each slot.
    pub slots: Vec<u8>,
    /// Slots that are about to move, and where to; sorted.
    pub announced: Vec<Move>,
    /// Versions of slots that have moved, as long as their streams may last; sorted.
    pub former: Vec<Move>,
    /// Whether streams that began before there was a row may still last.
    pub settling: bool,
}

/// Where the streams of all services begin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Rises with each change; zero stands for no table.
    pub generation: u64,
    /// Sorted by service.
    pub rows: Vec<Row>,
}

impl Roster {
    /// Versions of the endpoints of a service that take work, sorted.
    #[must_use]
    pub fn versions(&self, service: &id::Service) -> Vec<Present> {
        let mut present: Vec<Present> = Vec::new();
        for node in &self.nodes {
            let entry = &node.entry;
            if entry.service != *service || node.is_leaving() {
                continue;
            }
            let capacity = if node.is_reachable() {
                entry.slots.max(1)
            } else {
                0
            };
            match present.binary_search_by(|one| one.version.cmp(&entry.version)) {
                Ok(index) => {
                    let one = &mut present[index];
                    one.capacity += capacity;
                    one.since = one.since.min(node.listed_at);
                }
                Err(index) => present.insert(
                    index,
                    Present {
                        version: entry.version.clone(),
                        capacity,
                        since: node.listed_at,
                    },
                ),
            }
        }
        present
    }
}

/// The slot of an id's hash.
#[must_use]
pub fn slot(hash: u64) -> u8 {
    (hash % SLOTS as u64) as u8
}

impl Row {
    /// The version of a slot.
    #[must_use]
    pub fn version_of(&self, slot: u8) -> &Label {
        &self.versions[usize::from(self.slots[usize::from(slot)])]
    }

    /// The version at which a stream begins.
    #[must_use]
    pub fn begins(&self, hash: u64) -> &Label {
        self.version_of(slot(hash))
    }

    /// The version at which a stream began; none if its slot does not tell.
    #[must_use]
    pub fn began(&self, hash: u64) -> Option<&Label> {
        let slot = slot(hash);
        let moves = |moves: &[Move]| moves.iter().any(|one| one.slot == slot);
        let tells = !self.settling && !moves(&self.announced) && !moves(&self.former);
        tells.then(|| self.begins(hash))
    }

    /// Whether every slot tells where its streams began.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        !self.settling && self.announced.is_empty() && self.former.is_empty()
    }

    /// The version of all streams, if there is only one.
    #[must_use]
    pub fn only(&self) -> Option<&Label> {
        match self.versions.as_slice() {
            [only] if !self.settling => Some(only),
            _ => None,
        }
    }

    /// Number of slots of a version.
    #[must_use]
    pub fn count(&self, version: usize) -> usize {
        let mine = |slot: &&u8| usize::from(**slot) == version;
        self.slots.iter().filter(mine).count()
    }

    fn is_valid(&self) -> bool {
        let known = |version: u8| usize::from(version) < self.versions.len();
        let moves = self.announced.iter().chain(&self.former);
        self.versions.len() <= MAX_VERSIONS
            && self.slots.len() == SLOTS
            && self.slots.iter().all(|version| known(*version))
            && moves
                .clone()
                .all(|one| known(one.version) && usize::from(one.slot) < SLOTS)
    }
}

impl Table {
    /// The row of a service.
    #[must_use]
    pub fn row(&self, service: &id::Service) -> Option<&Row> {
        let index = self.rows.binary_search_by(|row| row.service.cmp(service));
        index.ok().map(|index| &self.rows[index])
    }

    /// Whether the table, which another instance wrote, can be used here.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.rows.iter().all(Row::is_valid) && self.rows.is_sorted_by(|a, b| a.service < b.service)
    }
}
