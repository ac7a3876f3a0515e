//! How slots change hands: proposals for the table, and what a table means for
//! the copies here.
//!
//! A proposal is noted before it is written. If the write's answer is lost it
//! stays noted until a table of a later version settles it, and meanwhile
//! both its outcomes are safe.

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::ledger::{Error, Ledger};
use crate::record::{Change, End, Name};
use crate::replica::{
    Broken, Doubt, Holder, Item, Life, Link, Primary, Replica, Role, Source, Word,
};
use crate::slot::{Entry, FIRST_EPOCH, Table};

/// What a new table meant for this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It owns the slot now. Open requests are to be carried on.
    Owns(Slot),
    /// It backs the slot up now.
    Backs(Slot),
    /// It kept the slot and no longer does; attempts and answers are to stop.
    Dropped(Slot),
    /// A request that a lost owner had sent ended here, or its "not run" was taken back.
    Ended(Name, End),
    /// A rule is broken.
    Broken(Broken),
}

/// A write of the slot table that may take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proposal {
    pub(crate) slot: Slot,
    /// Version of the table that it changes.
    base: u64,
    entry: Entry,
}

impl Ledger {
    /// Seals the copy here: its owner gets no more acknowledgements. Returns
    /// the epoch to name in the takeover, or none if there is no copy that
    /// may take over.
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

    /// Notes a change of the table before it is written over version `base`.
    /// The same change may be noted and written again.
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

    /// Whether a change of the slot's entry is noted that may take effect.
    #[must_use]
    pub fn has_proposal(&self, slot: Slot) -> bool {
        self.proposals.iter().any(|proposal| proposal.slot == slot)
    }

    /// Forgets a noted change of the slot's entry that was never sent to the
    /// service; an owner that was to give the slot up goes on.
    pub fn withdraw(&mut self, slot: Slot) {
        self.proposals.retain(|proposal| proposal.slot != slot);
        if let Some(replica) = self.replica_mut(slot)
            && matches!(replica.role, Role::Primary(_))
        {
            replica.sealed = replica.yielded;
        }
    }

    /// Takes in a table that was read or written. Older ones are passed over.
    pub fn observe(&mut self, now: Time, table: &Table) -> Vec<Event> {
        if table.version < self.version {
            return Vec::new();
        }
        self.version = table.version;
        self.observed = now;
        self.epochs = table.iter().map(|(_, entry)| entry.epoch).collect();
        let mut events = Vec::new();
        for (slot, entry) in table.iter() {
            self.adopt(now, slot, entry, &mut events);
        }
        let settled = |proposal: &mut Proposal| proposal.base < table.version;
        let failed: Vec<_> = self.proposals.extract_if(.., settled).collect();
        for proposal in failed {
            // The entry is as it was, so the owner that was to give it up goes on.
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

    /// Whether the copy here allows the entry to be written.
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

    fn adopt(&mut self, now: Time, slot: Slot, entry: &Entry, events: &mut Vec<Event>) {
        let proposed = self
            .proposals
            .iter()
            .any(|p| p.slot == slot && p.entry == *entry);
        let Ok(at) = self.replicas.binary_search_by_key(&slot, |r| r.slot) else {
            if proposed {
                self.found(now, slot, entry, events);
            }
            return;
        };
        let (me, life) = (self.me.clone(), self.settings.life);
        let replica = &mut self.replicas[at];
        if entry.epoch == replica.epoch && replica.confirmed(entry, &me, life) {
            replica.back(entry);
            replica.learn(now, entry);
            events.push(Event::Backs(slot));
        }
        if entry.epoch <= replica.epoch {
            return;
        }
        let fresh = entry.cold == entry.epoch;
        let follow = replica.follow(entry, &me, life, proposed);
        replica.learn(now, entry);
        match follow {
            Follow::Kept => {}
            Follow::Owns => events.push(Event::Owns(slot)),
            Follow::Backs => events.push(Event::Backs(slot)),
            Follow::TookOver => {
                events.push(Event::Owns(slot));
                self.end_orphans(now, slot, events);
            }
            Follow::Dropped => {
                self.replicas.remove(at);
                events.push(Event::Dropped(slot));
                if proposed && fresh && entry.primary == me {
                    self.found(now, slot, entry, events);
                }
            }
        }
    }

    /// An empty copy for a slot that was claimed.
    fn found(&mut self, now: Time, slot: Slot, entry: &Entry, events: &mut Vec<Event>) {
        if entry.primary != self.me || entry.cold != entry.epoch {
            return;
        }
        let mut replica = Replica::new(slot, entry.epoch, Role::Primary(Primary::default()));
        // Nobody keeps a slot at the first table's epoch, so nothing was lost.
        replica.cold_since = (entry.epoch > FIRST_EPOCH.next()).then_some(now);
        replica.young = replica.cold_since.is_some();
        if let Err(at) = self.replicas.binary_search_by_key(&slot, |r| r.slot) {
            self.replicas.insert(at, replica);
            events.push(Event::Owns(slot));
        }
    }

    fn end_orphans(&mut self, now: Time, slot: Slot, events: &mut Vec<Event>) {
        let orphans = self.replica(slot).map(Replica::orphans).unwrap_or_default();
        self.end_all(now, slot, orphans, events);
    }

    /// Records ends that follow from a change of the slot's owner or copies.
    pub(crate) fn end_all(
        &mut self,
        now: Time,
        slot: Slot,
        ends: Vec<(Name, End)>,
        events: &mut Vec<Event>,
    ) {
        for (name, end) in ends {
            match self.step(now, slot, name.clone(), Change::End(end)) {
                Ok(_step) => events.push(Event::Ended(name, end)),
                Err(Error::Broken(err)) => events.push(Event::Broken(err)),
                Err(_) => {}
            }
        }
    }
}

/// What became of a copy under a newer entry.
enum Follow {
    Kept,
    Owns,
    TookOver,
    Backs,
    Dropped,
}

impl Replica {
    /// Becomes the owner with the given backup, which holds the same but for the changes
    /// that this copy made while it was sealed.
    pub(crate) fn own(&mut self, me: Life, backup: Option<id::Instance>) {
        let parted = self.parted.take().filter(|_| backup.is_some());
        let acked = parted.as_ref().map_or(self.seq, |parted| parted.before);
        let mut unacked = parted.and_then(|parted| parted.updates).unwrap_or_default();
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
        self.told = false;
        self.draining = false;
    }

    /// Follows a newer entry of the table.
    fn follow(&mut self, entry: &Entry, me: &id::Instance, life: Life, proposed: bool) -> Follow {
        if entry.epoch != self.epoch.next() || entry.cold == entry.epoch {
            // Claimed cold, or moved on by more than a step without this copy.
            return Follow::Dropped;
        }
        let mine = entry.primary == *me;
        let backing = entry.backup.as_ref() == Some(me);
        match &mut self.role {
            Role::Primary(owner) if mine && proposed => {
                let learner = owner.learner.take();
                owner.backup = learner.filter(|link| Some(&link.peer) == entry.backup.as_ref());
                owner.contested = false;
                for update in &mut owner.unacked {
                    update.epoch = entry.epoch;
                }
                self.epoch = entry.epoch;
                owner.release(self.seq);
                self.told = false;
                Follow::Kept
            }
            Role::Primary(owner) if backing && proposed => {
                let heir = owner.links().find(|link| link.peer == entry.primary);
                self.source = heir.map(|link| Source {
                    from: link.peer.clone(),
                    life: link.holder.life,
                    copy: None,
                });
                self.back(entry);
                Follow::Backs
            }
            Role::Backup { .. } if mine && proposed => {
                self.epoch = entry.epoch;
                self.own(life, None);
                Follow::TookOver
            }
            Role::Backup { primary } | Role::Learner { primary }
                if mine && entry.backup.as_ref() == Some(primary) && entry.holder == Some(life) =>
            {
                self.epoch = entry.epoch;
                self.own(life, entry.backup.clone());
                Follow::Owns
            }
            Role::Backup { primary } | Role::Learner { primary }
                if backing
                    && entry.primary == *primary
                    && entry.holder == Some(life)
                    && self.parted.is_none() =>
            {
                self.back(entry);
                Follow::Backs
            }
            Role::Primary(_) | Role::Backup { .. } | Role::Learner { .. } => Follow::Dropped,
        }
    }

    /// Whether the entry gives a role to the copy here, which its owner's changes brought to
    /// the entry's epoch before the table came.
    fn confirmed(&self, entry: &Entry, me: &id::Instance, life: Life) -> bool {
        let Role::Learner { primary } = &self.role else {
            return false;
        };
        let named = entry.backup.as_ref() == Some(me) && entry.holder == Some(life);
        named && entry.primary == *primary
    }

    /// Learns from an entry that idempotent work may not be known.
    fn learn(&mut self, now: Time, entry: &Entry) {
        let arisen = entry.sure == entry.epoch && entry.cold < entry.epoch;
        if arisen || entry.sure > self.sure() {
            self.doubt(now, entry.sure);
        }
    }

    /// The epoch since which this copy knows all idempotent work.
    pub(crate) fn sure(&self) -> Epoch {
        self.doubt.map_or(self.cold, |doubt| doubt.before)
    }

    /// Whether the owner here has a backup. Any may have sealed its copy and worked on
    /// alone, also one that holds all changes: its owner hears of it with the next only.
    pub(crate) fn backed(&self) -> bool {
        matches!(&self.role, Role::Primary(owner) if owner.backup.is_some())
    }

    fn back(&mut self, entry: &Entry) {
        self.epoch = entry.epoch;
        self.role = Role::Backup {
            primary: entry.primary.clone(),
        };
        (self.items.iter_mut()).for_each(|item| item.word = Word::None);
        self.sealed = false;
        self.yielded = false;
        self.told = false;
        self.draining = false;
    }

    /// Idempotent requests may have been carried on by another copy alone: by an
    /// owner that is lost, or by a backup that had sealed its copy and dropped it
    /// since. None that is older than this change can be told "not run", unless it was.
    pub(crate) fn doubt(&mut self, now: Time, before: Epoch) {
        self.doubt = Some(Doubt { before, since: now });
        let told = |item: &Item| item.record.end.is_some() && !item.withholds(item.seq);
        let open = self.items.iter_mut().filter(|item| !told(item));
        open.for_each(|item| item.unsure |= item.record.intake.idempotent);
    }
}
