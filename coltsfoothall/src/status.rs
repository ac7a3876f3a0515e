//! What a ledger tells about what it keeps.

use crate::key::{Epoch, Slot};
use crate::ledger::{Ledger, serves};
use crate::record::{Name, Record};
use crate::replica::{Role, Seq};
use crate::size::Bytes;

impl Ledger {
    /// A request's record.
    #[must_use]
    pub fn record(&self, slot: Slot, name: &Name) -> Option<&Record> {
        let replica = self.replica(slot)?;
        let at = replica.find(name).ok()?;
        Some(&replica.items[at].record)
    }

    /// The number of a request's last change.
    #[must_use]
    pub fn seq(&self, slot: Slot, name: &Name) -> Option<Seq> {
        let replica = self.replica(slot)?;
        let at = replica.find(name).ok()?;
        Some(replica.items[at].seq)
    }

    /// Requests of a slot that have not ended.
    pub fn open(&self, slot: Slot) -> impl Iterator<Item = &Record> {
        let items = self.replica(slot).map_or(&[][..], |replica| &replica.items);
        let records = items.iter().map(|item| &*item.record);
        records.filter(|record| record.end.is_none())
    }

    /// Slots that this instance may serve, with their epochs.
    pub fn served_slots(&self) -> impl Iterator<Item = (Slot, Epoch)> {
        let serving = self.replicas.iter().filter(|replica| serves(replica));
        serving.map(|replica| (replica.slot, replica.epoch))
    }

    /// Whether a slot may be served here: by its owner, or by a backup that
    /// has sealed its copy.
    #[must_use]
    pub fn serving(&self, slot: Slot) -> bool {
        self.replica(slot).is_some_and(serves)
    }

    /// Whether a write of the table is noted that may still take effect.
    #[must_use]
    pub fn has_proposals(&self) -> bool {
        !self.proposals.is_empty()
    }

    /// The epoch of the copy here.
    #[must_use]
    pub fn epoch(&self, slot: Slot) -> Option<Epoch> {
        self.replica(slot).map(|replica| replica.epoch)
    }

    /// Whether the copy here may serve the slot at this epoch, now or after a
    /// takeover. An owner that handed over may not.
    #[must_use]
    pub fn keeps(&self, slot: Slot, epoch: Epoch) -> bool {
        let copy = self.replica(slot).filter(|replica| replica.epoch == epoch);
        copy.is_some_and(|replica| match replica.role {
            Role::Primary(_) => !replica.sealed,
            Role::Backup { .. } => true,
            Role::Learner { .. } => false,
        })
    }

    /// Bytes of all records.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        let bytes: usize = self.replicas.iter().map(|replica| replica.bytes).sum();
        Bytes(bytes as u64)
    }

    /// Bytes of a slot's records.
    pub(crate) fn size(&self, slot: Slot) -> usize {
        self.replica(slot).map_or(0, |replica| replica.bytes)
    }

    /// Changes that took effect without a second copy.
    #[must_use]
    pub fn unreplicated(&self) -> u64 {
        self.unreplicated
    }
}
