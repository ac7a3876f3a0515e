//! When an idempotent request may be told "not run".
//!
//! Others than its owner can run it: a sealed backup, and whoever claims the slot while
//! the owner still lives. So its "not run" leaves only once each copy that may run it
//! holds it, and a read of the table that began after that still named this owner.
//! Whoever claims the slot takes older keys in, and runs none before such a word has been
//! told. A "not run" that cannot be confirmed is taken back: the request ends as unknown.

use std::time::Duration;

use crate::clock::Time;
use crate::key::Slot;
use crate::ledger::Ledger;
use crate::record::{End, Name};
use crate::replica::{Item, Replica, Role, Seq, Word};
use crate::takeover::Event;

impl Ledger {
    /// Notes that the service answered with the table that this ledger knows to
    /// a read sent at `asked`: until then nobody else had claimed a slot.
    pub fn confirm(&mut self, asked: Time, version: u64) {
        if version != self.version {
            return;
        }
        self.confirmed = asked;
        if self.observed.since(asked) > self.settings.confirmation_ttl {
            return;
        }
        let owned = self.replicas.iter_mut().filter(|replica| replica.leads());
        owned.for_each(|replica| replica.confirm(asked));
        self.awaited = self.replicas.iter().any(Replica::awaited);
    }

    /// Whether a "not run" waits for the table to be read.
    #[must_use]
    pub fn unconfirmed(&self) -> bool {
        self.awaited
    }

    /// Lets a "not run" that was confirmed long ago, or elsewhere, wait for the table
    /// anew before it is told: the slot may have been claimed since.
    pub fn recheck(&mut self, now: Time, slot: Slot, name: &Name) {
        let fresh = self.settings.confirmation_ttl;
        let Some(replica) = self.replica_mut(slot).filter(|replica| replica.leads()) else {
            return;
        };
        let Ok(at) = replica.find(name) else {
            return;
        };
        let item = &mut replica.items[at];
        if item.denies() && item.word.old(now, fresh) {
            item.word = Word::Awaited(now);
            self.awaited = true;
        }
    }

    /// Takes back each "not run" that has waited for the table for so long.
    pub fn retract(&mut self, now: Time, waited: Duration) -> Vec<Event> {
        if !self.awaited {
            return Vec::new();
        }
        let old = |item: &Item| matches!(item.word, Word::Awaited(at) if now.since(at) >= waited);
        for replica in self.replicas.iter_mut().filter(|replica| replica.leads()) {
            let items = replica.items.iter_mut().filter(|item| old(item));
            items.for_each(|item| item.unsure = true);
        }
        let mut events = Vec::new();
        self.end_doubted(now, &mut events);
        events
    }

    /// Records each "not run" that another copy may have made untrue as unknown.
    pub(crate) fn end_doubted(&mut self, now: Time, events: &mut Vec<Event>) {
        let owned = self.replicas.iter().filter(|replica| replica.leads());
        let doubted: Vec<_> = owned
            .filter_map(|replica| Some((replica.slot, replica.doubted()?)))
            .collect();
        for (slot, ends) in doubted {
            self.end_all(now, slot, ends, events);
        }
    }

    /// How long the owner before may still tell "not run" after a claim: one `fresh` until
    /// its read is answered, one until its word is out.
    pub(crate) fn wait(&self) -> Duration {
        self.settings.confirmation_ttl * 2
    }

    /// Lets older keys of a claimed slot run once its former owner tells "not run" no more.
    pub(crate) fn ripen(&mut self, now: Time, slot: Slot) {
        let wait = self.wait();
        if let Some(replica) = self.replica_mut(slot) {
            replica.ripen(now, wait);
        }
    }
}

impl Replica {
    /// Ends the wait after a claim, once it is that old.
    pub(crate) fn ripen(&mut self, now: Time, wait: Duration) {
        let young = |since: Time| now.since(since) < wait;
        self.young &= self.cold_since.is_some_and(young);
    }

    /// Whether a request waits: the owner before the claim may still tell that it did not run.
    pub(crate) fn waits(&self, item: &Item) -> bool {
        let intake = &item.record.intake;
        let minted = intake.name.key.minted();
        let older = minted.is_none_or(|mint| mint.epoch < self.cold);
        self.young && intake.idempotent && older && item.record.end.is_none()
    }

    fn confirm(&mut self, asked: Time) {
        let Role::Primary(owner) = &self.role else {
            return;
        };
        let held = |item: &Item| item.seq <= owner.released && !item.unsure;
        for item in self.items.iter_mut().filter(|item| held(item)) {
            item.word.confirm(asked);
        }
    }

    fn awaited(&self) -> bool {
        let waits = |item: &Item| matches!(item.word, Word::Awaited(_));
        self.leads() && self.items.iter().any(waits)
    }

    /// Requests whose "not run" is in doubt, and how they end instead.
    fn doubted(&self) -> Option<Vec<(Name, End)>> {
        let unknown = |item: &Item| match item.record.end {
            Some(End::NotRun(cause)) if item.unsure => {
                Some((item.record.intake.name.clone(), End::Unknown(cause)))
            }
            _ => None,
        };
        let ends: Vec<_> = self.items.iter().filter_map(unknown).collect();
        (!ends.is_empty()).then_some(ends)
    }

    /// Whether a "not run" is in doubt and not yet recorded as unknown.
    pub(crate) fn doubts(&self) -> bool {
        self.doubted().is_some()
    }
}

impl Item {
    /// Whether an idempotent request ended as not run.
    pub(crate) fn denies(&self) -> bool {
        self.record.intake.idempotent && matches!(self.record.end, Some(End::NotRun(_)))
    }

    /// Whether the change `seq` is a "not run" that is not confirmed, or was taken back.
    pub(crate) fn withholds(&self, seq: Seq) -> bool {
        let unconfirmed = self.denies() && !matches!(self.word, Word::Confirmed(_));
        self.denied == Some(seq) || (unconfirmed && self.seq == seq)
    }

    /// Whether the record may be dropped for room, if copies hold all changes up to `held`.
    pub(crate) fn droppable(&self, held: Seq) -> bool {
        self.ended.is_some() && self.seq <= held && !matches!(self.word, Word::Awaited(_))
    }

    /// Notes a change of the record, which is made already.
    pub(crate) fn follow(&mut self, now: Time, seq: Seq, denied: bool, owner: bool) {
        if denied {
            self.denied = Some(self.seq);
        }
        self.seq = seq;
        self.word = match owner && self.denies() {
            true => Word::Awaited(now),
            false => Word::None,
        };
    }
}

impl Word {
    /// Whether it has to be confirmed before it is told now.
    fn old(self, now: Time, fresh: Duration) -> bool {
        match self {
            Self::None => true,
            Self::Awaited(_) => false,
            Self::Confirmed(asked) => now.since(asked) > fresh,
        }
    }

    fn confirm(&mut self, asked: Time) {
        match *self {
            Self::Awaited(since) if since < asked => *self = Self::Confirmed(asked),
            Self::Confirmed(_) => *self = Self::Confirmed(asked),
            Self::None | Self::Awaited(_) => {}
        }
    }
}
