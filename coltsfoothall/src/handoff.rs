//! Direct handoff of slots, without a write of the table: a leaving primary lets the holder of
//! another copy act as primary, or a leaving backup drops its copy.
//!
//! A handoff is a message from one process to another. It carries what the sender knew about its
//! own role, and grants no more than that.

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::ledger::Ledger;
use crate::replica::{Life, Link, Replica, Role, Seq};

use serde::{Deserialize, Serialize};

/// A primary's statement that it is sealed and that the holder of another copy may act as
/// primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// The slot.
    pub slot: Slot,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// Number of its last change.
    pub seq: Seq,
    /// The last change whose effect may have become visible.
    pub released: Seq,
    /// Whether a lost backup may have taken the slot over before.
    pub contested: bool,
    /// The process that holds the copy.
    pub life: Life,
}

impl Ledger {
    /// Stops changes of a slot whose primary is here, so that the other copies catch up.
    pub fn drain(&mut self, slot: Slot) {
        if let Some(replica) = self.replica_mut(slot)
            && matches!(replica.role, Role::Primary(_))
        {
            replica.draining = true;
        }
    }

    /// Accepts changes of a drained slot again, unless it has been handed over.
    pub fn resume(&mut self, slot: Slot) {
        if let Some(replica) = self.replica_mut(slot) {
            replica.draining &= replica.sealed;
        }
    }

    /// Whether the other copies of a drained slot hold all changes.
    #[must_use]
    pub fn drained(&self, slot: Slot) -> bool {
        self.replica(slot).is_some_and(Replica::drained)
    }

    /// Seals a drained slot for good and lets its backup, or the holder of a copy that replaces
    /// the backup's, act as primary without a write of the table. `None` while that copy lacks a
    /// change, there is none, or a write of the entry is under way.
    pub fn hand_over(&mut self, slot: Slot) -> Option<(id::Instance, Handoff)> {
        if self.proposals.iter().any(|proposal| proposal.slot == slot) {
            return None;
        }
        let replica = self.replica_mut(slot).filter(|replica| replica.drained())?;
        let Role::Primary(primary) = &replica.role else {
            return None;
        };
        let Link { peer, holder, .. } = primary.successor()?.clone();
        let handoff = Handoff {
            slot,
            epoch: replica.epoch,
            seq: replica.seq,
            released: primary.released,
            contested: primary.contested,
            life: holder.life,
        };
        replica.sealed = true;
        replica.yielded = true;
        Some((peer, handoff))
    }

    /// Becomes primary by a direct handoff; false if the copy here lacks a change. The takeover
    /// should be written to the table soon.
    ///
    /// The handoff is for the process that received the copy. Within one epoch, a process is
    /// sealed for good once it has been primary, so a duplicate or late handoff creates no second
    /// primary.
    pub fn accept(&mut self, now: Time, handoff: Handoff) -> bool {
        let mine = handoff.life == self.settings.life;
        let Some(replica) = self.replica_mut(handoff.slot) else {
            return false;
        };
        let same = replica.epoch == handoff.epoch;
        let complete = same && mine && replica.seq >= handoff.seq;
        match replica.role {
            Role::Backup { .. } if complete => {
                replica.become_primary(handoff.life, None);
                replica.inherit(handoff);
                true
            }
            Role::Learner { .. } if complete => {
                replica.become_primary(handoff.life, None);
                replica.inherit(handoff);
                replica.doubt(now, handoff.epoch.next());
                true
            }
            Role::Primary(_) => same,
            Role::Backup { .. } | Role::Learner { .. } => false,
        }
    }

    /// Drops the copy here for good, at the primary's request. Returns this process if it has no
    /// copy left that could take the slot over at `epoch`: an instance that claims the slot after
    /// its primary then treats its keys as lost.
    pub fn resign(&mut self, slot: Slot, epoch: Epoch) -> Option<Life> {
        let life = self.settings.life;
        let known = self.epochs.get(usize::from(slot.0));
        if known.is_some_and(|known| *known > epoch) {
            // The copy here may have taken the slot over and handed it on.
            return None;
        }
        let Ok(index) = self.replicas.binary_search_by_key(&slot, |r| r.slot) else {
            return Some(life);
        };
        let replica = &self.replicas[index];
        let backs = matches!(replica.role, Role::Backup { .. } | Role::Learner { .. });
        if !backs || replica.sealed || replica.epoch > epoch {
            return None;
        }
        self.replicas.remove(index);
        Some(life)
    }

    /// Stops waiting for a backup after its process `life` dropped its copy at `epoch`.
    pub fn resigned(
        &mut self,
        now: Time,
        slot: Slot,
        epoch: Epoch,
        backup: &id::Instance,
        life: Life,
    ) {
        if self.proposals.iter().any(|proposal| proposal.slot == slot) {
            return;
        }
        if let Some(replica) = self.replica_mut(slot).filter(|r| r.epoch == epoch) {
            if replica.backed() {
                // An earlier process may have sealed its copy and continued unreplicated.
                replica.doubt(now, epoch.next());
            }
            let Role::Primary(primary) = &mut replica.role else {
                return;
            };
            let lost = primary.backup.take_if(|link| link.peer == *backup);
            // Only the process that held the backup can vouch that it did not take the slot over.
            primary.contested |= lost.is_some_and(|link| link.holder.life != life);
            // A copy that was made earlier does not include the doubt.
            primary.learner = None;
            primary.release(replica.seq);
            self.confirmation_pending = true;
        }
    }

    /// Whether changes of the slot wait for this backup.
    #[must_use]
    pub fn awaits(&self, slot: Slot, backup: &id::Instance) -> bool {
        let replica = self.replica(slot).filter(|replica| replica.leads());
        let Some(Role::Primary(primary)) = replica.map(|replica| &replica.role) else {
            return false;
        };
        !self.has_proposal(slot)
            && primary
                .backup
                .as_ref()
                .is_some_and(|link| link.peer == *backup)
    }
}

impl Replica {
    /// Takes over the restrictions of the previous primary.
    fn inherit(&mut self, handoff: Handoff) {
        if let Role::Primary(primary) = &mut self.role
            && handoff.contested
        {
            primary.contested = true;
            primary.released = handoff.released;
        }
    }
}
