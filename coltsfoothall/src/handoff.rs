//! Slots that change hands by word, without a write of the table: an owner that leaves lets
//! another copy's holder act for it, or a backup that leaves drops its copy.
//!
//! A word is from one process to another. It holds what the first knew of its own standing,
//! and gives no more.

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::ledger::Ledger;
use crate::replica::{Life, Link, Replica, Role, Seq};

use serde::{Deserialize, Serialize};

/// An owner's word that it is sealed and another copy's holder may act as owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// The slot.
    pub slot: Slot,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Number of its last change.
    pub seq: Seq,
    /// The last change whose effect may have left.
    pub released: Seq,
    /// Whether a lost backup may have taken the slot over before.
    pub contested: bool,
    /// The process that holds the copy.
    pub life: Life,
}

impl Ledger {
    /// Stops changes of an owned slot, so that the other copies catch up.
    pub fn drain(&mut self, slot: Slot) {
        if let Some(replica) = self.replica_mut(slot)
            && matches!(replica.role, Role::Primary(_))
        {
            replica.draining = true;
        }
    }

    /// Takes a drained slot up again, unless it is handed over already.
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

    /// Seals a drained slot for good and lets its backup act as owner, or the
    /// holder of a copy that stands in for it, without a write of the table. None
    /// while that copy lacks a change, or there is none, or a write of the entry
    /// is under way.
    pub fn hand_over(&mut self, slot: Slot) -> Option<(id::Instance, Handoff)> {
        if self.proposals.iter().any(|proposal| proposal.slot == slot) {
            return None;
        }
        let replica = self.replica_mut(slot).filter(|replica| replica.drained())?;
        let Role::Primary(owner) = &replica.role else {
            return None;
        };
        let Link { peer, holder, .. } = owner.successor()?.clone();
        let handoff = Handoff {
            slot,
            epoch: replica.epoch,
            seq: replica.seq,
            released: owner.released,
            contested: owner.contested,
            life: holder.life,
        };
        replica.sealed = true;
        replica.yielded = true;
        Some((peer, handoff))
    }

    /// Acts as owner after the owner's word; false if the copy here lacks a
    /// change. The takeover should be written to the table soon.
    ///
    /// The word is for the process that took the copy: within one epoch a life is
    /// sealed for good once it has owned the slot, so a word that comes twice or late
    /// makes no second owner.
    pub fn accept(&mut self, now: Time, handoff: Handoff) -> bool {
        let mine = handoff.life == self.settings.life;
        let Some(replica) = self.replica_mut(handoff.slot) else {
            return false;
        };
        let same = replica.epoch == handoff.epoch;
        let whole = same && mine && replica.seq >= handoff.seq;
        match replica.role {
            Role::Backup { .. } if whole => {
                replica.own(handoff.life, None);
                replica.inherit(handoff);
                true
            }
            Role::Learner { .. } if whole => {
                replica.own(handoff.life, None);
                replica.inherit(handoff);
                replica.doubt(now, handoff.epoch.next());
                true
            }
            Role::Primary(_) => same,
            Role::Backup { .. } | Role::Learner { .. } => false,
        }
    }

    /// Drops the copy here for good, at its owner's wish. Some, with the process that
    /// says so, if it has no copy left that could take the slot over at `epoch`: whoever
    /// claims the slot after its owner then takes its keys for lost.
    pub fn resign(&mut self, slot: Slot, epoch: Epoch) -> Option<Life> {
        let life = self.settings.life;
        let known = self.epochs.get(usize::from(slot.0));
        if known.is_some_and(|known| *known > epoch) {
            // The copy here may have taken the slot over and given it on.
            return None;
        }
        let Ok(at) = self.replicas.binary_search_by_key(&slot, |r| r.slot) else {
            return Some(life);
        };
        let replica = &self.replicas[at];
        let backs = matches!(replica.role, Role::Backup { .. } | Role::Learner { .. });
        if !backs || replica.sealed || replica.epoch > epoch {
            return None;
        }
        self.replicas.remove(at);
        Some(life)
    }

    /// Waits for a backup no longer after its process `life` dropped its copy at `epoch`.
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
                // A process before this one may have sealed its copy and worked on alone.
                replica.doubt(now, epoch.next());
            }
            let Role::Primary(owner) = &mut replica.role else {
                return;
            };
            let lost = owner.backup.take_if(|link| link.peer == *backup);
            // Another process than the one that held it cannot speak for that.
            owner.contested |= lost.is_some_and(|link| link.holder.life != life);
            // A copy that was made before does not know of the doubt.
            owner.learner = None;
            owner.release(replica.seq);
            self.awaited = true;
        }
    }

    /// Whether changes of the slot wait for this backup.
    #[must_use]
    pub fn awaits(&self, slot: Slot, backup: &id::Instance) -> bool {
        let replica = self.replica(slot).filter(|replica| replica.leads());
        let Some(Role::Primary(owner)) = replica.map(|replica| &replica.role) else {
            return false;
        };
        !self.has_proposal(slot)
            && owner
                .backup
                .as_ref()
                .is_some_and(|link| link.peer == *backup)
    }
}

impl Replica {
    /// Takes on what the owner before, which gave its word, knew of its own standing.
    fn inherit(&mut self, handoff: Handoff) {
        if let Role::Primary(owner) = &mut self.role
            && handoff.contested
        {
            owner.contested = true;
            owner.released = handoff.released;
        }
    }
}
