//! The slot table: who keeps which requests.
//!
//! One value of the platform's key-value service. It changes only with
//! membership, always by compare-and-swap on its revision, never for a
//! request. The functions here are pure; the caller writes their result.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::copy::Life;
use crate::id;
use crate::key::{Epoch, Slot};

/// Slots of a new table. At 330 instances most hold one or two copies; the
/// whole table stays under 64 KB, far from the service's limit of a megabyte.
pub const SLOT_COUNT: u16 = 256;

/// Most slots that one instance gives away in one table. A move takes three rounds
/// of duties: a member that owned all 256 slots shared them out to five others in 6 s and
/// 29 writes; at 4 it took 29 s and 142, each of which may stop another's write
/// (measured). Their records are bounded apart, see [`crate::duty::MAX_MOVED_BYTES`].
pub const MAX_MOVES: usize = 32;

/// Epoch of a first table's entries. The instances named there still claim
/// them, since an instance that began anew could not tell otherwise whether it
/// kept requests before.
pub const FIRST_EPOCH: Epoch = Epoch(1);

/// Who keeps one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The owner.
    pub primary: id::Instance,
    /// Holder of the second copy.
    pub backup: Option<id::Instance>,
    /// The process whose copy gives it its role here: the backup's, or that of a primary which
    /// the slot was handed to. A copy of another process of that name may lack changes.
    pub holder: Option<Life>,
    /// Number of this ownership.
    pub epoch: Epoch,
    /// Epoch since which the ledger is complete; older keys may be lost.
    pub cold: Epoch,
    /// Epoch since which all idempotent work is known: a backup that lost its role, or took
    /// the slot over, may have carried older keys on without the owner, or the owner without it.
    pub sure: Epoch,
}

/// One process of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// The instance.
    pub instance: id::Instance,
    /// Its process.
    pub life: Life,
}

/// The whole table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Rises with each change.
    pub version: u64,
    /// One entry a slot.
    pub entries: Vec<Entry>,
}

/// An instance that may keep slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A slot that should change hands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The slot.
    pub slot: Slot,
    /// Who should get it.
    pub to: id::Instance,
}

quick_error! {
    /// A change that the table does not allow.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refused {
        /// There is no such slot.
        Slot(slot: Slot) {
            display("slot {slot} is not in the table")
        }
        /// The entry has changed since it was looked at.
        Epoch(slot: Slot, have: Epoch, want: Epoch) {
            display("slot {slot} is at epoch {have}, the change names {want}")
        }
        /// Whoever asks may not change the entry so.
        Role(slot: Slot, by: id::Instance) {
            display("{by} has not the role in slot {slot} for this change")
        }
        /// Primary and backup would be the same.
        Same(slot: Slot) {
            display("primary and backup of slot {slot} would be one instance")
        }
        /// Nobody could keep slots.
        Nobody {
            display("no instance can keep slots")
        }
    }
}

impl Entry {
    /// `sure` of the next entry, in which this backup has lost its role: it may have sealed
    /// its copy and carried idempotent work on.
    fn sure_without(&self, backup: Option<&id::Instance>) -> Epoch {
        match backup {
            Some(_lost) => self.epoch.next(),
            None => self.sure,
        }
    }
}

impl Table {
    /// The first table, made by whoever finds none. Slots begin without
    /// backups: a backup is named only once it holds a copy.
    ///
    /// # Errors
    /// No candidate can keep slots.
    pub fn first(count: u16, candidates: &[Candidate]) -> Result<Self, Refused> {
        let staying: Vec<_> = candidates.iter().filter(|c| !c.leaving).collect();
        if staying.is_empty() {
            return Err(Refused::Nobody);
        }
        let entry = |index: u16| Entry {
            primary: staying[usize::from(index) % staying.len()].instance.clone(),
            backup: None,
            holder: None,
            epoch: FIRST_EPOCH,
            cold: FIRST_EPOCH,
            sure: FIRST_EPOCH,
        };
        Ok(Self {
            version: 1,
            entries: (0..count).map(entry).collect(),
        })
    }

    /// Number of slots.
    #[must_use]
    pub fn count(&self) -> u16 {
        u16::try_from(self.entries.len()).unwrap_or(u16::MAX)
    }

    /// A slot's entry.
    #[must_use]
    pub fn entry(&self, slot: Slot) -> Option<&Entry> {
        self.entries.get(usize::from(slot.0))
    }

    /// Slots and entries, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Entry)> {
        (0..self.count()).map(Slot).zip(&self.entries)
    }

    /// Slots that somebody keeps, with their epochs. At the first epoch nobody
    /// does yet, and whoever claims the slot takes keys of that epoch for lost.
    pub fn claimed(&self) -> impl Iterator<Item = (Slot, Epoch)> {
        let claimed = self.iter().filter(|(_, entry)| entry.epoch > FIRST_EPOCH);
        claimed.map(|(slot, entry)| (slot, entry.epoch))
    }

    /// Claims a slot whose copies are both lost: older keys are lost with them.
    ///
    /// # Errors
    /// The slot is unknown or at another epoch.
    pub fn claim(&self, slot: Slot, epoch: Epoch, by: &id::Instance) -> Result<Self, Refused> {
        let next = self.at(slot, epoch)?.epoch.next();
        Ok(self.with(
            slot,
            Entry {
                primary: by.clone(),
                backup: None,
                holder: None,
                epoch: next,
                cold: next,
                sure: next,
            },
        ))
    }

    /// The backup becomes the owner, after it sealed its copy.
    ///
    /// # Errors
    /// `by` is not the backup, or the slot is unknown or at another epoch.
    pub fn takeover(&self, slot: Slot, epoch: Epoch, by: &id::Instance) -> Result<Self, Refused> {
        let entry = self.at(slot, epoch)?;
        if entry.backup.as_ref() != Some(by) {
            return Err(Refused::Role(slot, by.clone()));
        }
        Ok(self.with(
            slot,
            Entry {
                primary: by.clone(),
                backup: None,
                holder: None,
                epoch: entry.epoch.next(),
                cold: entry.cold,
                sure: entry.epoch.next(),
            },
        ))
    }

    /// The primary names another backup, which holds a copy already, or none.
    ///
    /// # Errors
    /// `by` is not the primary, or the slot is unknown or at another epoch.
    pub fn replace_backup(
        &self,
        slot: Slot,
        epoch: Epoch,
        by: &id::Instance,
        backup: Option<Process>,
    ) -> Result<Self, Refused> {
        let entry = self.at(slot, epoch)?;
        if entry.primary != *by {
            return Err(Refused::Role(slot, by.clone()));
        }
        let holder = backup.as_ref().map(|backup| backup.life);
        let backup = backup.map(|backup| backup.instance);
        if backup.as_ref() == Some(by) {
            return Err(Refused::Same(slot));
        }
        Ok(self.with(
            slot,
            Entry {
                primary: by.clone(),
                backup,
                holder,
                epoch: entry.epoch.next(),
                cold: entry.cold,
                sure: entry.sure_without(entry.backup.as_ref()),
            },
        ))
    }

    /// The primary gives the slot to `to`, which holds a copy already, and
    /// stays as its backup.
    ///
    /// # Errors
    /// `by` is not the primary, or the slot is unknown or at another epoch.
    pub fn hand_over(
        &self,
        slot: Slot,
        epoch: Epoch,
        by: &id::Instance,
        to: &Process,
    ) -> Result<Self, Refused> {
        let entry = self.at(slot, epoch)?;
        if entry.primary != *by {
            return Err(Refused::Role(slot, by.clone()));
        }
        let heir = &to.instance;
        if heir == by {
            return Err(Refused::Same(slot));
        }
        Ok(self.with(
            slot,
            Entry {
                primary: heir.clone(),
                backup: Some(by.clone()),
                holder: Some(to.life),
                epoch: entry.epoch.next(),
                cold: entry.cold,
                sure: entry.sure_without(entry.backup.as_ref().filter(|old| *old != heir)),
            },
        ))
    }

    /// Joins the changes of several slots, made from this same table, into one
    /// write.
    #[must_use]
    pub fn merge(&self, changed: &[Self]) -> Self {
        let mut all = self.clone();
        for table in changed {
            let pairs = all.entries.iter_mut().zip(&table.entries);
            pairs
                .filter(|(have, new)| new.epoch > have.epoch)
                .for_each(|(have, new)| have.clone_from(new));
        }
        all.version = self.version + 1;
        all
    }

    /// The instance that should back a slot up: in another failure domain
    /// where there is one, with the fewest backups, then by name.
    #[must_use]
    pub fn backup_for(&self, slot: Slot, candidates: &[Candidate]) -> Option<id::Instance> {
        let primary = &self.entry(slot)?.primary;
        let home = candidates.iter().find(|c| c.instance == *primary);
        let home = home.map(|c| &c.domain);
        candidates
            .iter()
            .filter(|c| !c.leaving && c.instance != *primary)
            .min_by_key(|c| {
                let near = Some(&c.domain) == home;
                (
                    near,
                    self.backups(&c.instance),
                    spread(slot, &c.instance),
                    &c.instance,
                )
            })
            .map(|c| c.instance.clone())
    }

    /// Slots that `from` should give away: all if it is leaving, else those
    /// above its fair share, to members under theirs; at most [`MAX_MOVES`].
    #[must_use]
    pub fn moves(&self, from: &id::Instance, candidates: &[Candidate]) -> Vec<Move> {
        let staying: Vec<_> = candidates.iter().filter(|c| !c.leaving).collect();
        let leaving = !staying.iter().any(|c| c.instance == *from);
        let mut loads: Vec<_> = staying
            .iter()
            .map(|c| self.primaries(&c.instance))
            .collect();
        let fair = self.entries.len() / staying.len().max(1);
        let mut have = self.primaries(from);
        let mut moves = Vec::new();
        for (slot, entry) in self.iter().filter(|(_, entry)| entry.primary == *from) {
            let least = (0..staying.len())
                .filter(|at| staying[*at].instance != *from)
                .min_by_key(|at| {
                    (
                        loads[*at],
                        entry.backup.as_ref() != Some(&staying[*at].instance),
                    )
                });
            let Some(to) = least else { break };
            let wanted =
                leaving || (have > fair && loads[to] + 1 < have && loads[to] < fair.max(1));
            if !wanted || moves.len() == MAX_MOVES {
                break;
            }
            loads[to] += 1;
            have -= 1;
            moves.push(Move {
                slot,
                to: staying[to].instance.clone(),
            });
        }
        moves
    }

    /// Slots that an instance owns.
    #[must_use]
    pub fn primaries(&self, instance: &id::Instance) -> usize {
        let owned = self.entries.iter().filter(|e| e.primary == *instance);
        owned.count()
    }

    /// Slots that an instance backs up.
    #[must_use]
    pub fn backups(&self, instance: &id::Instance) -> usize {
        let kept = self
            .entries
            .iter()
            .filter(|e| e.backup.as_ref() == Some(instance));
        kept.count()
    }

    fn at(&self, slot: Slot, epoch: Epoch) -> Result<&Entry, Refused> {
        let entry = self.entry(slot).ok_or(Refused::Slot(slot))?;
        if entry.epoch != epoch {
            return Err(Refused::Epoch(slot, entry.epoch, epoch));
        }
        Ok(entry)
    }

    fn with(&self, slot: Slot, entry: Entry) -> Self {
        let mut table = self.clone();
        table.entries[usize::from(slot.0)] = entry;
        table.version += 1;
        table
    }
}

/// Breaks ties differently for each slot, so equal members share them.
fn spread(slot: Slot, instance: &id::Instance) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), u64::from(slot.0))
}
