//! The slot table: which instances keep which requests.
//!
//! The table is one value in the platform's key-value store. It changes only with membership,
//! never for a request, and always by compare-and-swap on its revision. The functions here are
//! pure; the caller writes their result.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::copy::Life;
use crate::id;
use crate::key::{Epoch, Slot};

/// Number of slots in a new table. At 330 instances most hold one or two copies; the whole table
/// stays under 64 KB, far below the store's limit of one megabyte.
pub const SLOT_COUNT: u16 = 256;

/// Upper bound on the slots that one instance gives away in one table. A move takes three rounds
/// of duties. Measured on a member that owned all 256 slots: with 32 it distributed them to five
/// others in 6 s and 29 writes; with 4 it took 29 s and 142 writes, each of which may invalidate
/// another instance's write. The bytes moved are bounded separately, see
/// [`crate::duty::MAX_MOVED_BYTES`].
pub const MAX_MOVES: usize = 32;

/// Epoch of the entries of a first table. The instances named there still have to claim their
/// slots, because a restarted instance could not tell otherwise whether it kept requests before.
pub const FIRST_EPOCH: Epoch = Epoch(1);

/// The instances that keep one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The primary.
    pub primary: id::Instance,
    /// The instance that holds the second copy.
    pub backup: Option<id::Instance>,
    /// The process whose copy gives it its role here: the backup's, or that of a primary to which
    /// the slot was handed over. A copy held by another process of the same instance may lack
    /// changes.
    pub holder: Option<Life>,
    /// Epoch of the slot; it increases with each change of the entry.
    pub epoch: Epoch,
    /// Epoch since which the records are complete; requests with older keys may be lost.
    pub cold: Epoch,
    /// Epoch since which all idempotent attempts are known: a backup that lost its role, or took
    /// the slot over, may have run older keys without the primary, or the primary without it.
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

/// The slot table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Increases with each change.
    pub version: u64,
    /// One entry per slot.
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

/// A slot that should move to another primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The slot.
    pub slot: Slot,
    /// The new primary.
    pub to: id::Instance,
}

quick_error! {
    /// A change that the table does not allow.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refused {
        /// The slot does not exist.
        Slot(slot: Slot) {
            display("slot {slot} is not in the table")
        }
        /// The entry has changed since it was read.
        Epoch(slot: Slot, have: Epoch, want: Epoch) {
            display("slot {slot} is at epoch {have}, but the change expects epoch {want}")
        }
        /// The instance does not have the role that this change requires.
        Role(slot: Slot, by: id::Instance) {
            display("{by} does not have the role in slot {slot} that this change requires")
        }
        /// Primary and backup would be the same.
        Same(slot: Slot) {
            display("primary and backup of slot {slot} would be one instance")
        }
        /// No instance can keep slots.
        Nobody {
            display("no instance can keep slots")
        }
    }
}

impl Entry {
    /// `sure` of the next entry, in which this backup has lost its role: it may have sealed its
    /// copy and run idempotent requests.
    fn sure_without(&self, backup: Option<&id::Instance>) -> Epoch {
        match backup {
            Some(_lost) => self.epoch.next(),
            None => self.sure,
        }
    }
}

impl Table {
    /// Creates the first table; any instance that finds none does so. Slots start without
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

    /// Slots that have been claimed, with their epochs. At the first epoch no instance keeps the
    /// slot yet, and the instance that claims it treats keys of that epoch as lost.
    pub fn claimed(&self) -> impl Iterator<Item = (Slot, Epoch)> {
        let claimed = self.iter().filter(|(_, entry)| entry.epoch > FIRST_EPOCH);
        claimed.map(|(slot, entry)| (slot, entry.epoch))
    }

    /// Claims a slot whose copies are both lost; requests with older keys are lost with them.
    ///
    /// # Errors
    /// The slot is unknown or at another epoch.
    pub fn claim(&self, slot: Slot, epoch: Epoch, by: &id::Instance) -> Result<Self, Refused> {
        let next = self.entry_at(slot, epoch)?.epoch.next();
        Ok(self.with_entry(
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

    /// The backup becomes the primary, after it has sealed its copy.
    ///
    /// # Errors
    /// `by` is not the backup, or the slot is unknown or at another epoch.
    pub fn takeover(&self, slot: Slot, epoch: Epoch, by: &id::Instance) -> Result<Self, Refused> {
        let entry = self.entry_at(slot, epoch)?;
        if entry.backup.as_ref() != Some(by) {
            return Err(Refused::Role(slot, by.clone()));
        }
        Ok(self.with_entry(
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

    /// The primary names another backup, which already holds a copy, or none.
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
        let entry = self.entry_at(slot, epoch)?;
        if entry.primary != *by {
            return Err(Refused::Role(slot, by.clone()));
        }
        let holder = backup.as_ref().map(|backup| backup.life);
        let backup = backup.map(|backup| backup.instance);
        if backup.as_ref() == Some(by) {
            return Err(Refused::Same(slot));
        }
        Ok(self.with_entry(
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

    /// The primary hands the slot over to `to`, which already holds a copy, and becomes its
    /// backup.
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
        let entry = self.entry_at(slot, epoch)?;
        if entry.primary != *by {
            return Err(Refused::Role(slot, by.clone()));
        }
        let new_primary = &to.instance;
        if new_primary == by {
            return Err(Refused::Same(slot));
        }
        Ok(self.with_entry(
            slot,
            Entry {
                primary: new_primary.clone(),
                backup: Some(by.clone()),
                holder: Some(to.life),
                epoch: entry.epoch.next(),
                cold: entry.cold,
                sure: entry.sure_without(entry.backup.as_ref().filter(|old| *old != new_primary)),
            },
        ))
    }

    /// Merges changes of several slots, each made from this same table, into one write.
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

    /// The instance that should back a slot up: in another failure domain if there is one, then
    /// the one with the fewest backups, then by a hash of slot and name.
    #[must_use]
    pub fn backup_for(&self, slot: Slot, candidates: &[Candidate]) -> Option<id::Instance> {
        let primary = &self.entry(slot)?.primary;
        let primary_domain = candidates.iter().find(|c| c.instance == *primary);
        let primary_domain = primary_domain.map(|c| &c.domain);
        candidates
            .iter()
            .filter(|c| !c.leaving && c.instance != *primary)
            .min_by_key(|c| {
                let same_domain = Some(&c.domain) == primary_domain;
                (
                    same_domain,
                    self.backups(&c.instance),
                    tie_break(slot, &c.instance),
                    &c.instance,
                )
            })
            .map(|c| c.instance.clone())
    }

    /// Slots that `from` should give away, at most [`MAX_MOVES`]: all if it is leaving, otherwise
    /// those above its fair share, to members below theirs.
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
            let least_loaded = (0..staying.len())
                .filter(|index| staying[*index].instance != *from)
                .min_by_key(|index| {
                    (
                        loads[*index],
                        entry.backup.as_ref() != Some(&staying[*index].instance),
                    )
                });
            let Some(to) = least_loaded else { break };
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

    /// Number of slots of which an instance is the primary.
    #[must_use]
    pub fn primaries(&self, instance: &id::Instance) -> usize {
        let owned = self.entries.iter().filter(|e| e.primary == *instance);
        owned.count()
    }

    /// Number of slots that an instance backs up.
    #[must_use]
    pub fn backups(&self, instance: &id::Instance) -> usize {
        let backups = self
            .entries
            .iter()
            .filter(|e| e.backup.as_ref() == Some(instance));
        backups.count()
    }

    fn entry_at(&self, slot: Slot, epoch: Epoch) -> Result<&Entry, Refused> {
        let entry = self.entry(slot).ok_or(Refused::Slot(slot))?;
        if entry.epoch != epoch {
            return Err(Refused::Epoch(slot, entry.epoch, epoch));
        }
        Ok(entry)
    }

    fn with_entry(&self, slot: Slot, entry: Entry) -> Self {
        let mut table = self.clone();
        table.entries[usize::from(slot.0)] = entry;
        table.version += 1;
        table
    }
}

/// Breaks ties differently for each slot, so that equal members share the slots.
fn tie_break(slot: Slot, instance: &id::Instance) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), u64::from(slot.0))
}
