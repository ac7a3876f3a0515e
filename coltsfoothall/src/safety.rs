//! What an owner may take in and do without risking a promise.

use std::time::Duration;

use crate::clock::Time;
use crate::ledger::{Begin, Ledger};
use crate::record::{Change, End, Intake};
use crate::replica::{Item, Replica, Role, name_hash};

impl Ledger {
    /// Why a new non-idempotent request is not taken in, if it is not.
    pub(crate) fn refusal(&self, now: Time, intake: &Intake, replica: &Replica) -> Option<Begin> {
        if replica.has_tombstone(name_hash(&intake.name)) {
            return Some(Begin::Retired);
        }
        if self.lost(now, intake, replica) {
            return Some(Begin::Lost);
        }
        let backed = match &replica.role {
            Role::Primary(owner) => {
                owner.backup.is_some() && !owner.unreplicated && !owner.contested
            }
            Role::Backup { .. } | Role::Learner { .. } => false,
        };
        let known = self.known(now, intake, self.settings.retention / 2);
        (!backed || !known).then_some(Begin::NotSafe)
    }

    /// Whether the key may have been used at an owner whose records are lost.
    pub(crate) fn lost(&self, now: Time, intake: &Intake, replica: &Replica) -> bool {
        match intake.name.key.minted() {
            Some(mint) => mint.epoch < replica.cold,
            None => replica
                .cold_since
                .is_some_and(|since| now.since(since) < self.settings.retention),
        }
    }

    /// Whether a new request may have run before without the copy here knowing.
    pub(crate) fn unsure(&self, now: Time, intake: &Intake, replica: &Replica) -> bool {
        self.lost(now, intake, replica) || self.doubted(now, intake, replica)
    }

    /// Whether idempotent work of the key may have been done that the copy here
    /// does not know: "not run" would be a guess then.
    pub(crate) fn doubted(&self, now: Time, intake: &Intake, replica: &Replica) -> bool {
        let Some(doubt) = replica.doubt else {
            return false;
        };
        let old = intake.name.key.minted();
        let old = old.is_none_or(|mint| mint.epoch < doubt.before);
        intake.idempotent && old && now.since(doubt.since) < self.settings.retention
    }

    /// Whether nobody else can take the key for new: minted keys tell their
    /// epoch, others rely on a table that is not too old.
    fn known(&self, now: Time, intake: &Intake, age: Duration) -> bool {
        intake.name.key.minted().is_some() || now.since(self.confirmed) < age
    }

    /// Whether a request may take the change now. "Not run" needs an owner that
    /// knows all attempts. A sealed copy may not touch non-idempotent requests.
    /// What an owner without backup has accepted, it may send: whoever claims
    /// its slot answers "unknown" for the key.
    pub(crate) fn safe(&self, now: Time, item: &Item, replica: &Replica, change: &Change) -> bool {
        let intake = &item.record.intake;
        let owner = match &replica.role {
            Role::Primary(owner) => Some(owner).filter(|owner| !owner.unreplicated),
            Role::Backup { .. } | Role::Learner { .. } => None,
        };
        match change {
            Change::End(End::NotRun(_)) => owner.is_some() && !item.unsure,
            Change::Sent { .. } if !intake.idempotent => {
                owner.is_some() && self.known(now, intake, self.settings.retention)
            }
            _ => intake.idempotent || matches!(replica.role, Role::Primary(_)),
        }
    }

    /// Whether there is room for one more record, after the oldest ended ones
    /// have gone if need be. They go an eighth of the bound at a time, so that
    /// the search for them is rare.
    pub(crate) fn make_room(&mut self, now: Time) -> bool {
        let (have, most) = (self.bytes().0, self.settings.bytes.0);
        if have < most {
            return true;
        }
        let mut ended: Vec<_> = self.replicas.iter().flat_map(Replica::settled).collect();
        ended.sort_unstable();
        let mut left = have - (most - most / 8).min(have);
        let mut until = None;
        for (at, size) in ended {
            if left == 0 && until != Some(at) {
                break;
            }
            left = left.saturating_sub(size as u64);
            until = Some(at);
        }
        if let Some(until) = until {
            let tombstones = self.settings.tombstones;
            let replicas = self.replicas.iter_mut();
            replicas.for_each(|replica| replica.shed(now, until, tombstones));
        }
        self.bytes().0 < most
    }
}
