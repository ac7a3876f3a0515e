//! Changes of a slot's primary: proposals for the slot table, and what a new table means for the
//! copies on this instance.
//!
//! A proposal is recorded before it is written. If the answer to the write is lost, the proposal
//! stays recorded until a table of a later version settles it; until then both outcomes are safe.

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::ledger::{Error, Ledger};
use crate::record::{Change, End, Name};
use crate::replica::{
    Broken, Confirmation, Doubt, Holder, Item, Life, Link, Primary, Replica, Role, Source,
};
use crate::slot::{Entry, FIRST_EPOCH, Table};

/// What a new table changed for this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It is the primary of the slot now; open requests are to be resumed.
    Owns(Slot),
    /// It is the backup of the slot now.
    Backs(Slot),
    /// It no longer has a copy of the slot; attempts and answers must stop.
    Dropped(Slot),
    /// A request that a lost primary had sent was ended, or its "not run" was retracted.
    Ended(Name, End),
    /// An invariant is violated.
    Broken(Broken),
}

/// A write of the slot table that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proposal {
    pub(crate) slot: Slot,
    /// Version of the table that it is based on.
    base: u64,
    entry: Entry,
}

impl Ledger {
    /// Seals the copy here: its primary receives no more acknowledgements. Returns the epoch to
    /// name in the takeover, or `None` if there is no copy that may take over.
    pub fn seal(&mut self, slot: Slot) -> Option<Epoch> {
        let replica = self.replica_mut(slot)?;
        match replica.role {
            Role::Backup { .. } => {
                replica.sealed = true;
                Some(replica.epoch)
            }
            Role::Primary(_) | Role::Learner { .. } => None,
        }
    }

    /// Records a change of the table before it is written over version `base`. The same change
    /// may be recorded and written again.
    ///
    /// # Errors
    /// The change is not safe now.
    pub fn propose(&mut self, slot: Slot, base: u64, entry: Entry) -> Result<(), Error> {
        let others = self.proposals.iter().filter(|p| p.slot == slot);
        if others.clone().any(|p| p.base != base || p.entry != entry) {
            return Err(Error::NotOwner(slot));
        }
        let known = others.count() > 0;
        let me = self.me.clone();
        if !known && !self.allows(slot, &entry) {
            return Err(Error::NotOwner(slot));
        }
        if entry.primary != me
            && let Some(replica) = self.replica_mut(slot)
        {
            replica.sealed = true;
        }
        if !known {
            self.proposals.push(Proposal { slot, base, entry });
        }
        Ok(())
    }

    /// Whether a change of the slot's entry is recorded that may still take effect.
    #[must_use]
    pub fn has_proposal(&self, slot: Slot) -> bool {
        self.proposals.iter().any(|proposal| proposal.slot == slot)
    }

    /// Discards a recorded change of the slot's entry that was never sent to the store; a primary
    /// that was about to give the slot up continues.
    pub fn withdraw(&mut self, slot: Slot) {
        self.proposals.retain(|proposal| proposal.slot != slot);
        if let Some(replica) = self.replica_mut(slot)
            && matches!(replica.role, Role::Primary(_))
        {
            replica.sealed = replica.yielded;
        }
    }

    /// Applies a table that was read or written; older versions are ignored.
    pub fn observe(&mut self, now: Time, table: &Table) -> Vec<Event> {
        if table.version < self.version {
            return Vec::new();
        }
        self.version = table.version;
        self.observed = now;
        self.epochs = table.iter().map(|(_, entry)| entry.epoch).collect();
        let mut events = Vec::new();
        for (slot, entry) in table.iter() {
            self.apply_entry(now, slot, entry, &mut events);
        }
        let settled = |proposal: &mut Proposal| proposal.base < table.version;
        let failed: Vec<_> = self.proposals.extract_if(.., settled).collect();
        for proposal in failed {
            // The entry did not change, so the primary that was about to give the slot up
            // continues.
            if let Some(replica) = self.replica_mut(proposal.slot)
                && replica.epoch.next() == proposal.entry.epoch
                && matches!(replica.role, Role::Primary(_))
            {
                replica.sealed = replica.yielded;
            }
        }
        self.end_doubted(now, &mut events);
        events
    }

    /// Whether it is safe for this instance to write the entry.
    fn allows(&self, slot: Slot, entry: &Entry) -> bool {
        let Some(replica) = self.replica(slot) else {
            return entry.primary == self.me
                && entry.cold == entry.epoch
                && entry.epoch > FIRST_EPOCH;
        };
        if entry.epoch != replica.epoch.next() {
            return false;
        }
        let mine = entry.primary == self.me;
        match &replica.role {
            Role::Primary(_) | Role::Backup { .. } if entry.cold != replica.cold => false,
            Role::Primary(_) if mine => match &entry.backup {
                Some(backup) => self.ready(slot, backup) && self.named(slot, backup, entry),
                None => !replica.sealed,
            },
            Role::Primary(_) => {
                replica.drained() && !replica.sealed && self.named(slot, &entry.primary, entry)
            }
            Role::Backup { .. } => mine && replica.sealed && entry.backup.is_none(),
            Role::Learner { .. } => mine && entry.cold == entry.epoch,
        }
    }

    /// Whether the entry names the process of `peer` that holds a copy.
    fn named(&self, slot: Slot, peer: &id::Instance, entry: &Entry) -> bool {
        let process = self.process(slot, peer);
        process.is_some_and(|process| entry.holder == Some(process.life))
    }

    fn apply_entry(&mut self, now: Time, slot: Slot, entry: &Entry, events: &mut Vec<Event>) {
        let proposed = self
            .proposals
            .iter()
            .any(|p| p.slot == slot && p.entry == *entry);
        let Ok(index) = self.replicas.binary_search_by_key(&slot, |r| r.slot) else {
            if proposed {
                self.create_claimed(now, slot, entry, events);
            }
            return;
        };
        let (me, life) = (self.me.clone(), self.settings.life);
        let replica = &mut self.replicas[index];
        if entry.epoch == replica.epoch && replica.confirmed(entry, &me, life) {
            replica.become_backup(entry);
            replica.learn(now, entry);
            events.push(Event::Backs(slot));
        }
        if entry.epoch <= replica.epoch {
            return;
        }
        let claimed = entry.cold == entry.epoch;
        let transition = replica.transition(entry, &me, life, proposed);
        replica.learn(now, entry);
        match transition {
            Transition::Kept => {}
            Transition::Owns => events.push(Event::Owns(slot)),
            Transition::Backs => events.push(Event::Backs(slot)),
            Transition::TookOver => {
                events.push(Event::Owns(slot));
                self.end_orphans(now, slot, events);
            }
            Transition::Dropped => {
                self.replicas.remove(index);
                events.push(Event::Dropped(slot));
                if proposed && claimed && entry.primary == me {
                    self.create_claimed(now, slot, entry, events);
                }
            }
        }
    }

    /// Creates an empty copy for a slot that this instance claimed.
    fn create_claimed(&mut self, now: Time, slot: Slot, entry: &Entry, events: &mut Vec<Event>) {
        if entry.primary != self.me || entry.cold != entry.epoch {
            return;
        }
        let mut replica = Replica::new(slot, entry.epoch, Role::Primary(Primary::default()));
        // No instance holds a slot at the epoch of the first table, so no records were lost.
        replica.cold_since = (entry.epoch > FIRST_EPOCH.next()).then_some(now);
        replica.recently_claimed = replica.cold_since.is_some();
        if let Err(index) = self.replicas.binary_search_by_key(&slot, |r| r.slot) {
            self.replicas.insert(index, replica);
            events.push(Event::Owns(slot));
        }
    }

    fn end_orphans(&mut self, now: Time, slot: Slot, events: &mut Vec<Event>) {
        let orphans = self.replica(slot).map(Replica::orphans).unwrap_or_default();
        self.end_all(now, slot, orphans, events);
    }

    /// Records the ends that follow from a change of the slot's primary or copies.
    pub(crate) fn end_all(
        &mut self,
        now: Time,
        slot: Slot,
        ends: Vec<(Name, End)>,
        events: &mut Vec<Event>,
    ) {
        for (name, end) in ends {
            match self.record_change(now, slot, name.clone(), Change::End(end)) {
                Ok(_step) => events.push(Event::Ended(name, end)),
                Err(Error::Broken(err)) => events.push(Event::Broken(err)),
                Err(_) => {}
            }
        }
    }
}

/// What became of a copy under a newer entry.
enum Transition {
    Kept,
    Owns,
    TookOver,
    Backs,
    Dropped,
}

impl Replica {
    /// Becomes the primary. The given backup holds the same records except for the changes that
    /// this copy made while it was sealed.
    pub(crate) fn become_primary(&mut self, me: Life, backup: Option<id::Instance>) {
        let divergence = self.divergence.take().filter(|_| backup.is_some());
        let acked = divergence
            .as_ref()
            .map_or(self.seq, |divergence| divergence.before);
        let mut unacked = divergence
            .and_then(|divergence| divergence.updates)
            .unwrap_or_default();
        for update in &mut unacked {
            update.epoch = self.epoch;
        }
        let source = self.source.take();
        let backup = backup.zip(source).map(|(peer, source)| {
            let (life, owner) = (source.life, me);
            let holder = Holder { life, owner };
            Link {
                peer,
                acked,
                holder,
            }
        });
        self.role = Role::Primary(Primary {
            backup,
            unacked,
            released: acked,
            ..Primary::default()
        });
        self.sealed = false;
        self.yielded = false;
        self.backup_sealed = false;
        self.draining = false;
    }

    /// Applies a newer entry of the table.
    fn transition(
        &mut self,
        entry: &Entry,
        me: &id::Instance,
        life: Life,
        proposed: bool,
    ) -> Transition {
        if entry.epoch != self.epoch.next() || entry.cold == entry.epoch {
            // The slot was claimed without records, or advanced by more than one epoch without
            // this copy.
            return Transition::Dropped;
        }
        let mine = entry.primary == *me;
        let backing = entry.backup.as_ref() == Some(me);
        match &mut self.role {
            Role::Primary(primary) if mine && proposed => {
                let learner = primary.learner.take();
                primary.backup = learner.filter(|link| Some(&link.peer) == entry.backup.as_ref());
                primary.contested = false;
                for update in &mut primary.unacked {
                    update.epoch = entry.epoch;
                }
                self.epoch = entry.epoch;
                primary.release(self.seq);
                self.backup_sealed = false;
                Transition::Kept
            }
            Role::Primary(primary) if backing && proposed => {
                let successor = primary.links().find(|link| link.peer == entry.primary);
                self.source = successor.map(|link| Source {
                    from: link.peer.clone(),
                    life: link.holder.life,
                    copy: None,
                });
                self.become_backup(entry);
                Transition::Backs
            }
            Role::Backup { .. } if mine && proposed => {
                self.epoch = entry.epoch;
                self.become_primary(life, None);
                Transition::TookOver
            }
            Role::Backup { primary } | Role::Learner { primary }
                if mine && entry.backup.as_ref() == Some(primary) && entry.holder == Some(life) =>
            {
                self.epoch = entry.epoch;
                self.become_primary(life, entry.backup.clone());
                Transition::Owns
            }
            Role::Backup { primary } | Role::Learner { primary }
                if backing
                    && entry.primary == *primary
                    && entry.holder == Some(life)
                    && self.divergence.is_none() =>
            {
                self.become_backup(entry);
                Transition::Backs
            }
            Role::Primary(_) | Role::Backup { .. } | Role::Learner { .. } => Transition::Dropped,
        }
    }

    /// Whether the entry gives a role to a copy that its primary's changes had already advanced
    /// to the entry's epoch.
    fn confirmed(&self, entry: &Entry, me: &id::Instance, life: Life) -> bool {
        let Role::Learner { primary } = &self.role else {
            return false;
        };
        let named = entry.backup.as_ref() == Some(me) && entry.holder == Some(life);
        named && entry.primary == *primary
    }

    /// Raises the epoch of [`Self::sure`] if the entry says that older idempotent attempts may be
    /// unknown.
    fn learn(&mut self, now: Time, entry: &Entry) {
        let arisen = entry.sure == entry.epoch && entry.cold < entry.epoch;
        if arisen || entry.sure > self.sure() {
            self.doubt(now, entry.sure);
        }
    }

    /// The epoch since which this copy knows all idempotent attempts.
    pub(crate) fn sure(&self) -> Epoch {
        self.doubt.map_or(self.cold, |doubt| doubt.before)
    }

    /// Whether the primary here has a backup. Any backup may have sealed its copy and continued
    /// unreplicated, even one that holds all changes: the primary learns of it only with the next
    /// change.
    pub(crate) fn backed(&self) -> bool {
        matches!(&self.role, Role::Primary(primary) if primary.backup.is_some())
    }

    fn become_backup(&mut self, entry: &Entry) {
        self.epoch = entry.epoch;
        self.role = Role::Backup {
            primary: entry.primary.clone(),
        };
        (self.items.iter_mut()).for_each(|item| item.confirmation = Confirmation::None);
        self.sealed = false;
        self.yielded = false;
        self.backup_sealed = false;
        self.draining = false;
    }

    /// Records that idempotent requests may have been run by another copy: by a primary that is
    /// lost, or by a backup that had sealed its copy and dropped it since. No request older than
    /// this change may be reported as "not run", unless that was reported already.
    pub(crate) fn doubt(&mut self, now: Time, before: Epoch) {
        self.doubt = Some(Doubt { before, since: now });
        let reported = |item: &Item| item.record.end.is_some() && !item.withholds(item.seq);
        let open = self.items.iter_mut().filter(|item| !reported(item));
        open.for_each(|item| item.unsure |= item.record.intake.idempotent);
    }
}
