//! What an instance has to do for the slots, given the latest table, its ledger and the live
//! instances.
//!
//! [`duties`] is pure and is called periodically; each duty is a small step whose outcome the
//! next round observes.

use crate::id;
use crate::key::{Epoch, Slot};
use crate::ledger::Ledger;
use crate::slot::{Candidate, Entry, FIRST_EPOCH, Move, Table};

/// Upper bound on the copies started in one round; it prevents a membership change from crowding
/// out requests.
pub const MAX_COPIES_PER_ROUND: usize = 32;

/// Upper bound on the bytes of records in the slots that are moved at once, beyond `MIN_MOVES`;
/// it prevents moves from using the bandwidth of requests: 5 MB/s at five rounds a second.
pub const MAX_MOVED_BYTES: usize = 1 << 20;

/// Number of slots that may be moved at once regardless of their size.
const MIN_MOVES: usize = 4;

/// A step for one slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Duty {
    /// Claim the slot in the table without records: the instances that kept it are lost.
    Claim(Slot),
    /// Seal the copy here and take the slot over in the table.
    TakeOver(Slot),
    /// Send a complete copy.
    Copy {
        /// The slot.
        slot: Slot,
        /// The receiver.
        to: id::Instance,
    },
    /// Name the holder of a complete copy as backup in the table.
    Name {
        /// The slot.
        slot: Slot,
        /// The backup.
        backup: id::Instance,
    },
    /// Stop accepting changes so that the copies catch up.
    Drain(Slot),
    /// Name another primary in the table; the slot is drained.
    HandOver {
        /// The slot.
        slot: Slot,
        /// The new primary.
        to: id::Instance,
    },
    /// Let the backup, or the holder of a copy that replaces the backup's, act as primary while
    /// the store is down; the slot is drained.
    Yield(Slot),
    /// Tell the backup that the primary's process restarted without the slot's records; the
    /// backup takes over. If it has no records either, they are lost.
    Cede {
        /// The slot.
        slot: Slot,
        /// Its epoch.
        epoch: Epoch,
        /// The backup.
        to: id::Instance,
    },
    /// Ask a leaving backup to drop its copy: no other can be named in its place while the store
    /// is down, and changes must not wait for it.
    Dismiss {
        /// The slot.
        slot: Slot,
        /// Its epoch.
        epoch: Epoch,
        /// The backup.
        to: id::Instance,
    },
    /// Accept changes again.
    Resume(Slot),
    /// Let idempotent requests continue without a backup.
    RunUnreplicated(Slot),
    /// Stop waiting for a copy that the table does not name: its holder died.
    GiveUp(Slot),
}

/// A backup that the table names but that has no copy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Missing {
    /// The slot.
    pub slot: Slot,
    /// The slot's epoch.
    pub epoch: Epoch,
    /// The backup.
    pub at: id::Instance,
}

/// Inputs from which the duties are derived.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// This instance.
    pub me: &'a id::Instance,
    /// The newest table known.
    pub table: &'a Table,
    /// The records kept here.
    pub ledger: &'a Ledger,
    /// Instances that are alive, this one included, sorted by name.
    pub live: &'a [Candidate],
    /// Backups known to have no copy, sorted.
    pub missing: &'a [Missing],
    /// Whether this instance is leaving.
    pub leaving: bool,
    /// Whether the key-value store has answered recently.
    pub service: bool,
    /// Whether this instance has been up without a stall for long enough to tell which others are
    /// dead.
    pub settled: bool,
}

/// The duties of this instance, in the order in which they should be carried out.
#[must_use]
pub fn duties(context: &Context<'_>) -> Vec<Duty> {
    let moves = context.moves();
    let mut duties = Vec::new();
    for (slot, entry) in context.table.iter() {
        let next = if entry.primary == *context.me {
            let to = moves.iter().find(|m| m.slot == slot).map(|m| &m.to);
            context.primary_duty(slot, entry, to)
        } else if entry.backup.as_ref() == Some(context.me) {
            context.backup_duty(slot, entry)
        } else {
            context.bystander_duty(slot, entry)
        };
        duties.extend(next);
    }
    if context.service {
        spread_backups(context, &moves, &mut duties);
    }
    bound_copies(duties)
}

/// Chooses backups such that each choice of this round counts for the next one; otherwise the
/// instance with the fewest copies would receive all of them.
fn spread_backups(context: &Context<'_>, moves: &[Move], duties: &mut [Duty]) {
    let moved = |slot: Slot| moves.iter().any(|step| step.slot == slot);
    let mut planned = context.table.clone();
    for duty in duties {
        let (slot, to) = match duty {
            Duty::Name { slot, backup } => (*slot, backup.clone()),
            Duty::Copy { slot, to } if !moved(*slot) => {
                if let Some(best) = planned.backup_for(*slot, context.live) {
                    *to = best;
                }
                (*slot, to.clone())
            }
            _ => continue,
        };
        planned.entries[usize::from(slot.0)].backup = Some(to);
    }
}

fn bound_copies(duties: Vec<Duty>) -> Vec<Duty> {
    let mut copies = 0;
    let mut within_bound = |duty: &Duty| {
        copies += usize::from(matches!(duty, Duty::Copy { .. }));
        copies <= MAX_COPIES_PER_ROUND || !matches!(duty, Duty::Copy { .. })
    };
    duties
        .into_iter()
        .filter(|duty| within_bound(duty))
        .collect()
}

impl Context<'_> {
    /// Slots that should move to another primary now.
    fn moves(&self) -> Vec<Move> {
        if !self.service || !self.settled {
            return Vec::new();
        }
        let mut moves = self.table.moves(self.me, self.live);
        let mut bytes = 0;
        let small = moves.iter().take_while(|step| {
            bytes += self.ledger.size(step.slot);
            bytes <= MAX_MOVED_BYTES
        });
        let count = small.count().max(MIN_MOVES);
        moves.truncate(count);
        let staying = self.live.iter().filter(|c| !c.leaving).count();
        let fair = self.table.entries.len() / staying.max(1);
        for step in &mut moves {
            if let Some(copy) = self.copied(step.slot)
                && self.table.primaries(copy) < fair
            {
                step.to = copy.clone();
            }
        }
        // Slots that are already drained serve no requests, so they are handed over before others
        // are copied.
        let drained = |step: &Move| self.ledger.drained(step.slot);
        if moves.iter().any(drained) {
            moves.retain(drained);
        }
        moves
    }

    fn alive(&self, instance: &id::Instance) -> bool {
        let found = self.live.binary_search_by(|c| c.instance.cmp(instance));
        found.is_ok()
    }

    fn staying(&self, instance: &id::Instance) -> bool {
        let found = self.live.binary_search_by(|c| c.instance.cmp(instance));
        found.is_ok_and(|index| !self.live[index].leaving)
    }

    /// Whether the backup that the table names is able to take over.
    fn backed(&self, slot: Slot, entry: &Entry, backup: &id::Instance) -> bool {
        let missing = |m: &Missing| (m.slot, m.epoch, &m.at) == (slot, entry.epoch, backup);
        self.alive(backup) && !self.missing.iter().any(missing)
    }

    /// Whether a backup is in this instance's failure domain although another domain is
    /// available.
    fn same_domain(&self, backup: &id::Instance) -> bool {
        let domain = |instance: &id::Instance| {
            let found = self.live.binary_search_by(|c| c.instance.cmp(instance));
            found.ok().map(|index| &self.live[index].domain)
        };
        let own_domain = domain(self.me);
        let elsewhere = |c: &Candidate| !c.leaving && Some(&c.domain) != own_domain;
        domain(backup) == own_domain && self.live.iter().any(elsewhere)
    }

    /// Duty of a primary without a copy: it handed the slot over, no instance has kept the slot
    /// yet, or a restart under the same name lost the records.
    fn bare_primary_duty(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        if self.ledger.drained(slot) {
            return Some(Duty::Yield(slot));
        }
        if let Some(backup) = entry.backup.as_ref().filter(|backup| self.alive(backup)) {
            return Some(Duty::Cede {
                slot,
                epoch: entry.epoch,
                to: backup.clone(),
            });
        }
        let lost = self.settled || entry.epoch == FIRST_EPOCH;
        let claim = lost && self.service && !self.leaving;
        claim.then_some(Duty::Claim(slot))
    }

    /// Duty of a slot's primary.
    fn primary_duty(&self, slot: Slot, entry: &Entry, to: Option<&id::Instance>) -> Option<Duty> {
        if !self.ledger.keeps(slot, entry.epoch) {
            return self.bare_primary_duty(slot, entry);
        }
        if self
            .ledger
            .learner(slot)
            .is_some_and(|learner| !self.alive(learner))
        {
            return Some(Duty::GiveUp(slot));
        }
        let backup = entry.backup.as_ref();
        match backup.filter(|backup| self.backed(slot, entry, backup)) {
            None if self.leaving && !self.service && backup.is_some_and(|b| self.staying(b)) => {
                self.hand_to_restarted(slot, backup?)
            }
            None => self.find_backup(slot, entry),
            Some(backup) if self.leaving && self.staying(backup) => self.hand_over(slot, backup),
            Some(_leaving) if self.leaving => self.leaving_pair_duty(slot, entry),
            Some(backup) => match to {
                Some(to) if to == backup => self.hand_over(slot, to),
                Some(to) if self.ledger.ready(slot, to) => self.hand_over(slot, to),
                Some(to) => Some(Duty::Copy {
                    slot,
                    to: to.clone(),
                }),
                None if !self.staying(backup) || self.same_domain(backup) => {
                    self.find_backup(slot, entry)
                }
                None if self.ledger.drained(slot) => Some(Duty::Resume(slot)),
                None => None,
            },
        }
    }

    /// The holder of a complete copy of the slot that the table does not name, if it may be
    /// named. The primary stays with this holder: the instance with the fewest slots changes with
    /// each table that others write, and a copy sent to that one would often be wasted.
    fn copied(&self, slot: Slot) -> Option<&id::Instance> {
        let learner = self.ledger.learner(slot)?;
        let fits = self.staying(learner) && self.ledger.ready(slot, learner);
        fits.then_some(learner)
    }

    fn find_backup(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        let known = entry.backup.as_ref();
        if !self.service {
            return self.unreplicated_duty(slot, entry, known?);
        }
        let copied = self.copied(slot).filter(|copy| !self.same_domain(copy));
        let backup = match copied {
            Some(copy) => copy.clone(),
            None => self.table.backup_for(slot, self.live)?,
        };
        if self.ledger.ready(slot, &backup) {
            return Some(Duty::Name { slot, backup });
        }
        Some(Duty::Copy { slot, to: backup })
    }

    /// Duty of a primary whose backup is lost or leaving, while the store is down.
    fn unreplicated_duty(&self, slot: Slot, entry: &Entry, backup: &id::Instance) -> Option<Duty> {
        if !self.backed(slot, entry, backup) {
            return Some(Duty::RunUnreplicated(slot));
        }
        let awaited = self.ledger.awaits(slot, backup);
        let dismiss = awaited && !self.leaving && !self.staying(backup);
        dismiss.then(|| Duty::Dismiss {
            slot,
            epoch: entry.epoch,
            to: backup.clone(),
        })
    }

    /// Duty of a primary that is leaving together with its backup: a slot handed to the backup
    /// would only come back. It goes to an instance that stays, if there is one.
    fn leaving_pair_duty(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        if self.ledger.drained(slot) {
            return Some(Duty::Resume(slot));
        }
        let stays = self.live.iter().any(|candidate| !candidate.leaving);
        stays.then(|| self.find_backup(slot, entry)).flatten()
    }

    /// Duty of a leaving primary without a usable backup, while the store is down: the other
    /// instance that the table names receives a new copy and a direct handoff. Otherwise the slot
    /// would have no primary until the store is back.
    fn hand_to_restarted(&self, slot: Slot, to: &id::Instance) -> Option<Duty> {
        if !self.ledger.drained(slot) && !self.ledger.ready(slot, to) {
            return Some(Duty::Copy {
                slot,
                to: to.clone(),
            });
        }
        self.hand_over(slot, to)
    }

    /// Hands a slot over once no request in it would end as unknown because of that.
    fn hand_over(&self, slot: Slot, to: &id::Instance) -> Option<Duty> {
        let begun = |r: &crate::record::Record| !r.intake.idempotent && r.begun();
        if self.ledger.open(slot).any(begun) {
            return None;
        }
        if !self.ledger.drained(slot) {
            return Some(Duty::Drain(slot));
        }
        if self.service {
            return Some(Duty::HandOver {
                slot,
                to: to.clone(),
            });
        }
        Some(Duty::Yield(slot))
    }

    /// Duty of a slot's backup.
    fn backup_duty(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        let lost = self.settled && !self.alive(&entry.primary);
        if !self.ledger.keeps(slot, entry.epoch) {
            if self.ledger.drained(slot) {
                return Some(Duty::Yield(slot));
            }
            // This process restarted, and the primary died before it sent another copy.
            let claim = lost && self.service && !self.leaving;
            return claim.then_some(Duty::Claim(slot));
        }
        // Once a copy is sealed, only the table can settle which instance continues.
        let owns = self.ledger.released(slot).is_some();
        if owns && self.leaving && !self.service && self.staying(&entry.primary) {
            return self.hand_to_restarted(slot, &entry.primary);
        }
        (owns || self.ledger.serving(slot) || lost).then_some(Duty::TakeOver(slot))
    }

    /// Duty of the other instances: one of them claims a slot that no live instance keeps.
    fn bystander_duty(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        let backup = entry
            .backup
            .as_ref()
            .is_some_and(|backup| self.alive(backup));
        if !self.settled || !self.service || backup || self.alive(&entry.primary) {
            return None;
        }
        let staying: Vec<_> = self.live.iter().filter(|c| !c.leaving).collect();
        let claimant = staying.get(usize::from(slot.0) % staying.len().max(1))?;
        (claimant.instance == *self.me).then_some(Duty::Claim(slot))
    }
}
