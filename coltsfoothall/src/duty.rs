//! What an instance has to do for the slots, given the table that it knows, its
//! ledger, and who is alive.
//!
//! The function is pure and is asked again and again; each duty is a small step
//! whose outcome the next round sees.

use crate::id;
use crate::key::{Epoch, Slot};
use crate::ledger::Ledger;
use crate::slot::{Candidate, Entry, FIRST_EPOCH, Move, Table};

/// Most copies started in one round; it keeps a change of members from
/// crowding out requests.
pub const MAX_COPIES_PER_ROUND: usize = 32;

/// Bytes of records in the slots that are moved at once, beyond the first few; it
/// keeps moves from taking the bandwidth of requests: 5 MB/s at five rounds a second.
pub const MAX_MOVED_BYTES: usize = 1 << 20;

/// Slots that are moved at once however large they are.
const MIN_MOVES: usize = 4;

/// A step for one slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Duty {
    /// Claim it in the table with no records: those who kept it are lost.
    Claim(Slot),
    /// Seal the copy here and take the slot over in the table.
    TakeOver(Slot),
    /// Send a whole copy.
    Copy {
        /// The slot.
        slot: Slot,
        /// Where to.
        to: id::Instance,
    },
    /// Name the holder of a whole copy as backup in the table.
    Name {
        /// The slot.
        slot: Slot,
        /// The backup.
        backup: id::Instance,
    },
    /// Stop changes so that the copies catch up.
    Drain(Slot),
    /// Name another primary in the table; the slot is drained.
    HandOver {
        /// The slot.
        slot: Slot,
        /// The new primary.
        to: id::Instance,
    },
    /// Let the backup, or the holder of a copy that stands in for it, act as owner
    /// without the service; the slot is drained.
    Yield(Slot),
    /// Tell the backup that the primary's process began anew without the slot's
    /// records; it takes over. If it has none either, they are lost.
    Cede {
        /// The slot.
        slot: Slot,
        /// Its epoch.
        epoch: Epoch,
        /// The backup.
        to: id::Instance,
    },
    /// Ask a leaving backup to drop its copy: nobody can be named in its place
    /// while the service is down, and changes must not wait for it then.
    Dismiss {
        /// The slot.
        slot: Slot,
        /// Its epoch.
        epoch: Epoch,
        /// The backup.
        to: id::Instance,
    },
    /// Take changes again.
    Resume(Slot),
    /// Let idempotent requests go on without a backup.
    RunUnreplicated(Slot),
    /// Wait no longer for a copy that the table does not name: its holder died.
    GiveUp(Slot),
}

/// A backup that the table names and that has no copy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Missing {
    /// The slot.
    pub slot: Slot,
    /// The slot's epoch.
    pub epoch: Epoch,
    /// The backup.
    pub at: id::Instance,
}

/// What duties follow from.
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
    /// Whether the key-value service answered lately.
    pub service: bool,
    /// Whether this instance has been up and undisturbed for long enough to
    /// tell who is dead.
    pub settled: bool,
}

/// The duties of this instance, in the order in which they should be done.
#[must_use]
pub fn duties(context: &Context<'_>) -> Vec<Duty> {
    let moves = context.moves();
    let mut duties = Vec::new();
    for (slot, entry) in context.table.iter() {
        let next = if entry.primary == *context.me {
            let to = moves.iter().find(|m| m.slot == slot).map(|m| &m.to);
            context.lead(slot, entry, to)
        } else if entry.backup.as_ref() == Some(context.me) {
            context.back(slot, entry)
        } else {
            context.watch(slot, entry)
        };
        duties.extend(next);
    }
    if context.service {
        spread_backups(context, &moves, &mut duties);
    }
    bound_copies(duties)
}

/// Chooses backups so that those chosen in this round count for the next choice;
/// else the one with the least copies would get them all.
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
    let mut keep = |duty: &Duty| {
        copies += usize::from(matches!(duty, Duty::Copy { .. }));
        copies <= MAX_COPIES_PER_ROUND || !matches!(duty, Duty::Copy { .. })
    };
    duties.into_iter().filter(|duty| keep(duty)).collect()
}

impl Context<'_> {
    /// Slots that are to change hands now.
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
        let most = small.count().max(MIN_MOVES);
        moves.truncate(most);
        let staying = self.live.iter().filter(|c| !c.leaving).count();
        let fair = self.table.entries.len() / staying.max(1);
        for step in &mut moves {
            if let Some(copy) = self.copied(step.slot)
                && self.table.primaries(copy) < fair
            {
                step.to = copy.clone();
            }
        }
        // A slot that stands still is given away before others are copied.
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
        found.is_ok_and(|at| !self.live[at].leaving)
    }

    /// Whether the backup that the table names can take over.
    fn backed(&self, slot: Slot, entry: &Entry, backup: &id::Instance) -> bool {
        let missing = |m: &Missing| (m.slot, m.epoch, &m.at) == (slot, entry.epoch, backup);
        self.alive(backup) && !self.missing.iter().any(missing)
    }

    /// Whether a backup is in this instance's failure domain although there are others.
    fn near(&self, backup: &id::Instance) -> bool {
        let domain = |instance: &id::Instance| {
            let found = self.live.binary_search_by(|c| c.instance.cmp(instance));
            found.ok().map(|at| &self.live[at].domain)
        };
        let home = domain(self.me);
        let apart = |c: &Candidate| !c.leaving && Some(&c.domain) != home;
        domain(backup) == home && self.live.iter().any(apart)
    }

    /// Duties of a primary without its copy: it handed the slot over, nobody has
    /// kept it yet, or a restart under the same name lost the records.
    fn lead_bare(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
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

    /// Duties of a slot's primary.
    fn lead(&self, slot: Slot, entry: &Entry, to: Option<&id::Instance>) -> Option<Duty> {
        if !self.ledger.keeps(slot, entry.epoch) {
            return self.lead_bare(slot, entry);
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
                self.pass_on(slot, backup?)
            }
            None => self.find_backup(slot, entry),
            Some(backup) if self.leaving && self.staying(backup) => self.hand_over(slot, backup),
            Some(_leaving) if self.leaving => self.stay_on(slot, entry),
            Some(backup) => match to {
                Some(to) if to == backup => self.hand_over(slot, to),
                Some(to) if self.ledger.ready(slot, to) => self.hand_over(slot, to),
                Some(to) => Some(Duty::Copy {
                    slot,
                    to: to.clone(),
                }),
                None if !self.staying(backup) || self.near(backup) => self.find_backup(slot, entry),
                None if self.ledger.drained(slot) => Some(Duty::Resume(slot)),
                None => None,
            },
        }
    }

    /// Who has a whole copy of an owned slot that the table does not name, if it
    /// may be named. It is kept to: the one with the least slots changes with each
    /// table that others write, and a copy made for that one alone is often in vain.
    fn copied(&self, slot: Slot) -> Option<&id::Instance> {
        let learner = self.ledger.learner(slot)?;
        let fits = self.staying(learner) && self.ledger.ready(slot, learner);
        fits.then_some(learner)
    }

    fn find_backup(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        let known = entry.backup.as_ref();
        if !self.service {
            return self.unbacked(slot, entry, known?);
        }
        let copied = self.copied(slot).filter(|copy| !self.near(copy));
        let backup = match copied {
            Some(copy) => copy.clone(),
            None => self.table.backup_for(slot, self.live)?,
        };
        if self.ledger.ready(slot, &backup) {
            return Some(Duty::Name { slot, backup });
        }
        Some(Duty::Copy { slot, to: backup })
    }

    /// Duties of a primary whose backup is lost or leaving, with the service down.
    fn unbacked(&self, slot: Slot, entry: &Entry, backup: &id::Instance) -> Option<Duty> {
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

    /// Duties of a primary that is leaving like its backup: a slot that went to
    /// the backup would only come back. It goes to one that stays, if any does.
    fn stay_on(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        if self.ledger.drained(slot) {
            return Some(Duty::Resume(slot));
        }
        let stays = self.live.iter().any(|candidate| !candidate.leaving);
        stays.then(|| self.find_backup(slot, entry)).flatten()
    }

    /// Duties of a leaving owner without a backup, with the service down: the
    /// other instance that the table names gets a new copy, and the slot by word.
    /// Without that the slot would have no owner until the service is back.
    fn pass_on(&self, slot: Slot, to: &id::Instance) -> Option<Duty> {
        if !self.ledger.drained(slot) && !self.ledger.ready(slot, to) {
            return Some(Duty::Copy {
                slot,
                to: to.clone(),
            });
        }
        self.hand_over(slot, to)
    }

    /// A slot is handed over once nothing in it could end as unknown by that.
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

    /// Duties of a slot's backup.
    fn back(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        let lost = self.settled && !self.alive(&entry.primary);
        if !self.ledger.keeps(slot, entry.epoch) {
            if self.ledger.drained(slot) {
                return Some(Duty::Yield(slot));
            }
            // This process began anew, and the owner died before it made another copy.
            let claim = lost && self.service && !self.leaving;
            return claim.then_some(Duty::Claim(slot));
        }
        // Once a copy is sealed, only the table can tell who goes on.
        let owns = self.ledger.released(slot).is_some();
        if owns && self.leaving && !self.service && self.staying(&entry.primary) {
            return self.pass_on(slot, &entry.primary);
        }
        (owns || self.ledger.serving(slot) || lost).then_some(Duty::TakeOver(slot))
    }

    /// Duties of the others: a slot that nobody keeps any more goes to one of them.
    fn watch(&self, slot: Slot, entry: &Entry) -> Option<Duty> {
        let backup = entry
            .backup
            .as_ref()
            .is_some_and(|backup| self.alive(backup));
        if !self.settled || !self.service || backup || self.alive(&entry.primary) {
            return None;
        }
        let staying: Vec<_> = self.live.iter().filter(|c| !c.leaving).collect();
        let heir = staying.get(usize::from(slot.0) % staying.len().max(1))?;
        (heir.instance == *self.me).then_some(Duty::Claim(slot))
    }
}
