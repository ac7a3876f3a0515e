//! What a primary may accept and do without breaking a guarantee.

use std::time::Duration;

use crate::clock::Time;
use crate::ledger::{Begin, Ledger};
use crate::record::{Change, End, Intake};
use crate::replica::{Item, Replica, Role, name_hash};

impl Ledger {
    /// Why a new non-idempotent request is refused, or `None` if it is accepted.
    pub(crate) fn refusal(&self, now: Time, intake: &Intake, replica: &Replica) -> Option<Begin> {
        if replica.has_tombstone(name_hash(&intake.name)) {
            return Some(Begin::Retired);
        }
        if self.records_lost(now, intake, replica) {
            return Some(Begin::Lost);
        }
        let backed = match &replica.role {
            Role::Primary(primary) => {
                primary.backup.is_some() && !primary.unreplicated && !primary.contested
            }
            Role::Backup { .. } | Role::Learner { .. } => false,
        };
        let known = self.is_key_known(now, intake, self.settings.retention / 2);
        (!backed || !known).then_some(Begin::NotSafe)
    }

    /// Whether the key may have been used on a primary whose records are lost.
    pub(crate) fn records_lost(&self, now: Time, intake: &Intake, replica: &Replica) -> bool {
        match intake.name.key.minted() {
            Some(mint) => mint.epoch < replica.cold,
            None => replica
                .cold_since
                .is_some_and(|since| now.since(since) < self.settings.retention),
        }
    }

    /// Whether a new request may have run before without a record here.
    pub(crate) fn unsure(&self, now: Time, intake: &Intake, replica: &Replica) -> bool {
        self.records_lost(now, intake, replica) || self.doubted(now, intake, replica)
    }

    /// Whether idempotent attempts for the key may have run without a record here, so that "not
    /// run" could be wrong.
    pub(crate) fn doubted(&self, now: Time, intake: &Intake, replica: &Replica) -> bool {
        let Some(doubt) = replica.doubt else {
            return false;
        };
        let old = intake.name.key.minted();
        let old = old.is_none_or(|mint| mint.epoch < doubt.before);
        intake.idempotent && old && now.since(doubt.since) < self.settings.retention
    }

    /// Whether no other instance can treat the key as new: minted keys carry their epoch, others
    /// rely on a table that is recent enough.
    fn is_key_known(&self, now: Time, intake: &Intake, age: Duration) -> bool {
        intake.name.key.minted().is_some() || now.since(self.confirmed) < age
    }

    /// Whether a request may be changed so now. "Not run" requires a primary that knows all
    /// attempts. A sealed copy may not change non-idempotent requests. A primary without a backup
    /// may send what it has accepted: an instance that claims its slot answers "unknown" for the
    /// key.
    pub(crate) fn is_safe(
        &self,
        now: Time,
        item: &Item,
        replica: &Replica,
        change: &Change,
    ) -> bool {
        let intake = &item.record.intake;
        let primary = match &replica.role {
            Role::Primary(primary) => Some(primary).filter(|primary| !primary.unreplicated),
            Role::Backup { .. } | Role::Learner { .. } => None,
        };
        match change {
            Change::End(End::NotRun(_)) => primary.is_some() && !item.unsure,
            Change::Sent { .. } if !intake.idempotent => {
                primary.is_some() && self.is_key_known(now, intake, self.settings.retention)
            }
            _ => intake.idempotent || matches!(replica.role, Role::Primary(_)),
        }
    }

    /// Whether there is room for one more record, after evicting the records that ended first if
    /// necessary. An eighth of the bound is evicted at a time, so that the search for candidates
    /// is rare.
    pub(crate) fn make_room(&mut self, now: Time) -> bool {
        let (have, max) = (self.bytes().0, self.settings.bytes.0);
        if have < max {
            return true;
        }
        let mut ended: Vec<_> = self.replicas.iter().flat_map(Replica::evictable).collect();
        ended.sort_unstable();
        let mut left = have - (max - max / 8).min(have);
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
            replicas.for_each(|replica| replica.evict(now, until, tombstones));
        }
        self.bytes().0 < max
    }
}
