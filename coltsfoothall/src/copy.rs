//! Messages between the copies of a slot.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::key::{Epoch, Slot};
use crate::record::{self, Change, Name, Record};
use crate::size::Millis;

/// Sequence number of a change within a slot.
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

/// A change that the primary sends to another copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The slot.
    pub slot: Slot,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// The change's number.
    pub seq: Seq,
    /// The request.
    pub name: Name,
    /// The change.
    pub change: Change,
}

/// A change that was made on this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The slot.
    pub slot: Slot,
    /// The change's number.
    pub seq: Seq,
    /// Whether the effect of the change may become visible now; if not, ask `may_leave` again
    /// after each acknowledgement.
    pub released: bool,
    /// The update to send.
    pub update: Update,
    /// The instances to send it to.
    pub to: Vec<id::Instance>,
}

/// Identifies one copy of a slot. Two processes of one instance may each hold a copy of the same
/// epoch, and one process may hold copies of two primaries' records; an acknowledgement of one
/// copy says nothing about another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The process that holds the copy.
    pub life: Life,
    /// The process of the primary whose changes the copy follows.
    pub owner: Life,
}

/// Answer of a copy to an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ack {
    /// This copy holds all changes up to this number.
    Ok(Seq, Holder),
    /// The sender is no longer the primary; the copy is at this epoch.
    Sealed(Epoch),
    /// Changes are missing; resend from this number.
    Gap(Seq),
    /// There is no copy; send a complete one.
    Missing,
}

/// What remains of a non-idempotent request after its record is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Hash of the request's name.
    pub hash: u64,
    /// Time since the record was dropped.
    pub age: Millis,
}

/// A record in a complete copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The record.
    pub record: Record,
    /// Time since the request ended.
    pub age: Option<Millis>,
    /// Whether an attempt may have started that is not in the record.
    pub unsure: bool,
}

/// Keys for which a copy may not know all idempotent attempts, as sent to another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unsure {
    /// Keys minted before this epoch, and all keys chosen by callers.
    pub before: Epoch,
    /// Time since this has been the case.
    pub age: Millis,
}

/// One chunk of a complete copy of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The slot.
    pub slot: Slot,
    /// The sender, which is the slot's primary.
    pub from: id::Instance,
    /// The sender's process.
    pub life: Life,
    /// The sender's epoch.
    pub epoch: Epoch,
    /// Number of this copy; it increases at the sender.
    pub copy: u64,
    /// Index of the chunk in the copy.
    pub index: u32,
    /// Whether this is the last chunk.
    pub last: bool,
    /// Number of the last change that the copy contains.
    pub seq: Seq,
    /// Epoch since which the slot's records are complete; see
    /// [`Entry::cold`](crate::slot::Entry::cold).
    pub cold: Epoch,
    /// Time since the slot was claimed without records.
    pub cold_age: Option<Millis>,
    /// Keys for which the sender may not know all idempotent attempts.
    pub doubt: Option<Unsure>,
    /// Records, sorted by name.
    pub rows: Vec<Row>,
    /// Tombstones, sorted by hash.
    #[serde(rename = "stubs")]
    pub tombstones: Vec<Tombstone>,
}

/// Identifies one process of an instance: it differs after each restart, so that a message meant
/// for one process has no effect on its successor of the same name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Life(pub u64);

/// A complete copy that a ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// Number that the sender gave the copy.
    pub copy: u64,
    /// The last change that it contains.
    pub seq: Seq,
    /// The process that holds it.
    pub life: Life,
}

/// Answer to a chunk of a complete copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Taken {
    /// Send this chunk next.
    More(u32),
    /// The copy is complete.
    Whole(Whole),
    /// The sender is no longer the primary; the copy is at this epoch.
    Sealed(Epoch),
}

quick_error! {
    /// A violated invariant of the ledger. The program counts and logs it, and exits under test.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// A record rejected the change.
        Record(err: record::Broken) {
            from()
            source(err)
            display("{err}")
        }
        /// The slot has no record of the request.
        Absent(name: Name) {
            display("request {name} was changed but has no record in the ledger")
        }
        /// A peer acknowledged a change that it was never sent.
        Ahead(slot: Slot, peer: id::Instance, acked: Seq) {
            display("{peer} acknowledged change {} of slot {slot}, which was never made", acked.0)
        }
        /// The table names this instance primary without a claim or a copy.
        Unclaimed(slot: Slot, epoch: Epoch) {
            display("slot {slot} at epoch {epoch} was assigned to this instance, which has no copy")
        }
        /// The primary replaced a backup with one whose copy lacked changes that had already
        /// taken effect.
        Behind(slot: Slot, peer: id::Instance) {
            display("{peer} was named backup of slot {slot} before it held all released changes")
        }
    }
}
