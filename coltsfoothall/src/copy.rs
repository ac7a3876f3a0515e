//! Messages between the copies of a slot.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::key::{Epoch, Slot};
use crate::record::{self, Change, Name, Record};
use crate::size::Millis;

/// Number of a change within a slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seq(pub u64);

impl Seq {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A change on its way from the owner to another copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The slot.
    pub slot: Slot,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The change's number.
    pub seq: Seq,
    /// The request.
    pub name: Name,
    /// The change.
    pub change: Change,
}

/// A change that was made here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The slot.
    pub slot: Slot,
    /// The change's number.
    pub seq: Seq,
    /// Whether its effect may leave now; else ask `may_leave` after an
    /// acknowledgement.
    pub released: bool,
    /// What to send.
    pub update: Update,
    /// Whom to send it to.
    pub to: Vec<id::Instance>,
}

/// Whose copy of a slot is spoken of. Two processes of one instance may each hold one of the
/// same epoch, and so may one process of two owners' records; word of the one says nothing
/// of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The process that holds it.
    pub life: Life,
    /// The owner's process whose changes it follows.
    pub owner: Life,
}

/// What a copy says to an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ack {
    /// All changes up to this number are held by this copy.
    Ok(Seq, Holder),
    /// The sender is no longer the owner; the copy is at this epoch.
    Sealed(Epoch),
    /// Changes are missing; go on from this number.
    Gap(Seq),
    /// There is no copy; send a whole one.
    Missing,
}

/// What stays of a non-idempotent request after its record is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Hash of its name.
    pub hash: u64,
    /// Time since it was dropped.
    pub age: Millis,
}

/// A record in a whole copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The record.
    pub record: Record,
    /// Time since it ended.
    pub age: Option<Millis>,
    /// Whether an attempt may have begun that the record does not know.
    pub unsure: bool,
}

/// Keys whose idempotent work a copy may not know all of, as it is told to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unsure {
    /// Keys minted before this epoch, and all that callers chose.
    pub before: Epoch,
    /// Time since it is so.
    pub age: Millis,
}

/// A piece of a whole copy of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The slot.
    pub slot: Slot,
    /// The sender, which owns the slot.
    pub from: id::Instance,
    /// The sender's process.
    pub life: Life,
    /// The sender's epoch.
    pub epoch: Epoch,
    /// Number of this copy, rising at its sender.
    pub copy: u64,
    /// Place of the piece in the copy.
    pub index: u32,
    /// Whether it is the last piece.
    pub last: bool,
    /// Number of the last change that the copy holds.
    pub seq: Seq,
    /// The slot's cold epoch.
    pub cold: Epoch,
    /// Time since the slot went cold.
    pub cold_age: Option<Millis>,
    /// Keys whose idempotent work the sender may not know all of.
    pub doubt: Option<Unsure>,
    /// Records, sorted by name.
    pub rows: Vec<Row>,
    /// Tombstones, sorted by hash.
    #[serde(rename = "stubs")]
    pub tombstones: Vec<Tombstone>,
}

/// Number of a ledger's life: it differs after each start of its process, so
/// that word given to a process does not count with the next of its name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Life(pub u64);

/// A whole copy that a ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// Number of the copy, as its sender gave it.
    pub copy: u64,
    /// The last change that it holds.
    pub seq: Seq,
    /// The life of the ledger that holds it.
    pub life: Life,
}

/// What a copy says to a piece of a whole copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Taken {
    /// Send this piece next.
    More(u32),
    /// The copy is whole.
    Whole(Whole),
    /// The sender is no longer the owner; the copy is at this epoch.
    Sealed(Epoch),
}

quick_error! {
    /// A rule of the ledger that is broken; the program counts it, logs it and
    /// ends itself under test.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// A record cannot take the change.
        Record(err: record::Broken) {
            from()
            source(err)
            display("{err}")
        }
        /// The request is not in the slot.
        Absent(name: Name) {
            display("request {name} was changed but is not in the ledger")
        }
        /// A peer acknowledged what it was never sent.
        Ahead(slot: Slot, peer: id::Instance, acked: Seq) {
            display("{peer} acknowledged change {} of slot {slot}, which was not made", acked.0)
        }
        /// The table names this instance owner without a claim or a copy.
        Unclaimed(slot: Slot, epoch: Epoch) {
            display("slot {slot} at epoch {epoch} was given to this instance without a copy")
        }
        /// The owner replaced a backup before its copy held what had left.
        Behind(slot: Slot, peer: id::Instance) {
            display("{peer} was named for slot {slot} before it held what had left")
        }
    }
}
