//! When an idempotent request may be reported as "not run".
//!
//! Instances other than its primary can run it: a sealed backup, and an instance that claims the
//! slot while the primary is still alive. Its "not run" therefore becomes visible only once each
//! copy that may run the request holds the end, and a read of the table that was sent after that
//! still names this primary. An instance that claims a slot accepts older keys, but runs none
//! until no such report can still be on its way. A "not run" that cannot be confirmed is
//! retracted: the request ends as unknown.

use std::time::Duration;

use crate::clock::Time;
use crate::key::Slot;
use crate::ledger::Ledger;
use crate::record::{End, Name};
use crate::replica::{Confirmation, Item, Replica, Role, Seq};
use crate::takeover::Event;

impl Ledger {
    /// Records that the store answered a read sent at `asked` with the table that this ledger
    /// knows: until then no other instance had claimed a slot.
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
        self.confirmation_pending = self.replicas.iter().any(Replica::confirmation_pending);
    }

    /// Whether a "not run" waits for a read of the table.
    #[must_use]
    pub fn unconfirmed(&self) -> bool {
        self.confirmation_pending
    }

    /// Requires a new confirmation for a "not run" that was confirmed long ago, or on another
    /// instance: the slot may have been claimed since.
    pub fn recheck(&mut self, now: Time, slot: Slot, name: &Name) {
        let ttl = self.settings.confirmation_ttl;
        let Some(replica) = self.replica_mut(slot).filter(|replica| replica.leads()) else {
            return;
        };
        let Ok(index) = replica.find(name) else {
            return;
        };
        let item = &mut replica.items[index];
        if item.ended_not_run() && item.confirmation.needs_recheck(now, ttl) {
            item.confirmation = Confirmation::Awaited(now);
            self.confirmation_pending = true;
        }
    }

    /// Retracts each "not run" that has waited for a read of the table for at least `waited`.
    pub fn retract(&mut self, now: Time, waited: Duration) -> Vec<Event> {
        if !self.confirmation_pending {
            return Vec::new();
        }
        let old = |item: &Item| matches!(item.confirmation, Confirmation::Awaited(at) if now.since(at) >= waited);
        for replica in self.replicas.iter_mut().filter(|replica| replica.leads()) {
            let items = replica.items.iter_mut().filter(|item| old(item));
            items.for_each(|item| item.unsure = true);
        }
        let mut events = Vec::new();
        self.end_doubted(now, &mut events);
        events
    }

    /// Ends as unknown each request whose "not run" may be wrong, because another copy may have
    /// run it.
    pub(crate) fn end_doubted(&mut self, now: Time, events: &mut Vec<Event>) {
        let owned = self.replicas.iter().filter(|replica| replica.leads());
        let doubted: Vec<_> = owned
            .filter_map(|replica| Some((replica.slot, replica.doubted()?)))
            .collect();
        for (slot, ends) in doubted {
            self.end_all(now, slot, ends, events);
        }
    }

    /// How long the previous primary may still report "not run" after a claim: one
    /// `confirmation_ttl` until its read is answered, and one until its report is out.
    pub(crate) fn claim_wait(&self) -> Duration {
        self.settings.confirmation_ttl * 2
    }

    /// Lets older keys of a claimed slot run once its previous primary can no longer report "not
    /// run".
    pub(crate) fn end_claim_wait(&mut self, now: Time, slot: Slot) {
        let wait = self.claim_wait();
        if let Some(replica) = self.replica_mut(slot) {
            replica.end_claim_wait(now, wait);
        }
    }
}

impl Replica {
    /// Ends the wait after a claim that is at least `wait` old.
    pub(crate) fn end_claim_wait(&mut self, now: Time, wait: Duration) {
        let recent = |since: Time| now.since(since) < wait;
        self.recently_claimed &= self.cold_since.is_some_and(recent);
    }

    /// Whether a request has to wait because the primary before the claim may still report that
    /// it did not run.
    pub(crate) fn waits(&self, item: &Item) -> bool {
        let intake = &item.record.intake;
        let minted = intake.name.key.minted();
        let older = minted.is_none_or(|mint| mint.epoch < self.cold);
        self.recently_claimed && intake.idempotent && older && item.record.end.is_none()
    }

    fn confirm(&mut self, asked: Time) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let held = |item: &Item| item.seq <= primary.released && !item.unsure;
        for item in self.items.iter_mut().filter(|item| held(item)) {
            item.confirmation.confirm(asked);
        }
    }

    fn confirmation_pending(&self) -> bool {
        let waits = |item: &Item| matches!(item.confirmation, Confirmation::Awaited(_));
        self.leads() && self.items.iter().any(waits)
    }

    /// Requests whose "not run" may be wrong, with the ends to record instead.
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

    /// Whether a "not run" may be wrong and is not yet recorded as unknown.
    pub(crate) fn doubts(&self) -> bool {
        self.doubted().is_some()
    }
}

impl Item {
    /// Whether the request is idempotent and ended as not run.
    pub(crate) fn ended_not_run(&self) -> bool {
        self.record.intake.idempotent && matches!(self.record.end, Some(End::NotRun(_)))
    }

    /// Whether the change `seq` is a "not run" that is not confirmed or was retracted.
    pub(crate) fn withholds(&self, seq: Seq) -> bool {
        let unconfirmed =
            self.ended_not_run() && !matches!(self.confirmation, Confirmation::Confirmed(_));
        self.retracted == Some(seq) || (unconfirmed && self.seq == seq)
    }

    /// Whether the record may be evicted, if the other copies hold all changes up to `held`.
    pub(crate) fn is_evictable(&self, held: Seq) -> bool {
        self.ended.is_some()
            && self.seq <= held
            && !matches!(self.confirmation, Confirmation::Awaited(_))
    }

    /// Updates the local state after a change of the record.
    pub(crate) fn record_change(&mut self, now: Time, seq: Seq, denied: bool, is_primary: bool) {
        if denied {
            self.retracted = Some(self.seq);
        }
        self.seq = seq;
        self.confirmation = match is_primary && self.ended_not_run() {
            true => Confirmation::Awaited(now),
            false => Confirmation::None,
        };
    }
}

impl Confirmation {
    /// Whether it has to be confirmed again before it may be reported.
    fn needs_recheck(self, now: Time, ttl: Duration) -> bool {
        match self {
            Self::None => true,
            Self::Awaited(_) => false,
            Self::Confirmed(asked) => now.since(asked) > ttl,
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
