//! One copy of one slot's records, as its owner or its backup keeps it.
//!
//! The owner numbers its changes; the backup applies them in that order. An
//! effect may leave the owner only once the change behind it is released,
//! that is, held by each copy that may take the slot over.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::record::{Cause, Change, End, Name, Record};

pub use crate::copy::{
    Ack, Broken, Chunk, Holder, Life, Row, Seq, Step, Taken, Tombstone, Unsure, Update, Whole,
};

/// Another copy, as the owner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Link {
    pub(crate) peer: id::Instance,
    pub(crate) acked: Seq,
    /// Whose copy is meant; only its acknowledgements count.
    pub(crate) holder: Holder,
}

/// Where a copy came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Source {
    pub(crate) from: id::Instance,
    /// The sender's process.
    pub(crate) life: Life,
    /// Its number there; none if the sender, once the backup here, took the records over in
    /// its own copy.
    pub(crate) copy: Option<u64>,
}

/// A copy that is being made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Copying {
    pub(crate) peer: id::Instance,
    pub(crate) copy: u64,
    pub(crate) seq: Seq,
}

/// What an owner keeps beyond the records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Primary {
    /// The copy that may take over.
    pub(crate) backup: Option<Link>,
    /// A copy being made: where, its number and its last change.
    pub(crate) copying: Option<Copying>,
    /// A whole copy that the table does not name yet; it must hold what leaves.
    pub(crate) learner: Option<Link>,
    /// Changes that some copy has not acknowledged.
    pub(crate) unacked: Vec<Update>,
    /// All changes up to here may have their effect.
    pub(crate) released: Seq,
    /// Idempotent work goes on without the backup.
    pub(crate) unreplicated: bool,
    /// The process that held the backup is gone, and may have taken the slot over before. Until
    /// the table is written from here, only idempotent work has its effect.
    pub(crate) contested: bool,
}

/// What an instance is to a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Role {
    /// The owner.
    Primary(Primary),
    /// The second copy that may take over from `primary`.
    Backup { primary: id::Instance },
    /// A copy of `primary`'s that the table does not name yet.
    Learner { primary: id::Instance },
}

/// Keys whose idempotent work this copy may not know all of: another copy may
/// have carried some on alone before the slot changed hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Doubt {
    /// Keys minted before this epoch, and all that callers chose.
    pub(crate) before: Epoch,
    pub(crate) since: Time,
}

/// A record with what its holder notes about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) record: Box<Record>,
    pub(crate) seq: Seq,
    pub(crate) ended: Option<Time>,
    /// An attempt may have begun that the record does not know: its owner was
    /// lost, and idempotent attempts need no second copy.
    pub(crate) unsure: bool,
    /// How far its "not run" may be told, if it is idempotent and ended so.
    pub(crate) word: Word,
    /// Number of a "not run" that was taken back; it never leaves.
    pub(crate) denied: Option<Seq>,
}

/// What stands behind a "not run" of an idempotent request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Word {
    /// Nothing, and nobody waits to be told.
    #[default]
    None,
    /// Nothing yet; somebody waits since then.
    Awaited(Time),
    /// The table, asked for then.
    Confirmed(Time),
}

/// A tombstone by its holder's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedTombstone {
    pub(crate) hash: u64,
    pub(crate) since: Time,
}

/// One copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Replica {
    pub(crate) slot: Slot,
    pub(crate) epoch: Epoch,
    pub(crate) role: Role,
    /// An owner that is sealed lets nothing leave; a backup that is sealed
    /// acknowledges nothing.
    pub(crate) sealed: bool,
    /// An owner that gave its backup its word to be sealed for good.
    pub(crate) yielded: bool,
    /// An owner whose backup has sealed its copy; only the table can settle who
    /// goes on.
    pub(crate) told: bool,
    /// An owner that makes no more changes, to hand over.
    pub(crate) draining: bool,
    /// What a sealed backup did of its own.
    pub(crate) parted: Option<Parted>,
    /// Whose records a backup's or learner's copy follows; none at an owner.
    pub(crate) source: Option<Source>,
    pub(crate) seq: Seq,
    pub(crate) items: Vec<Item>,
    pub(crate) tombstones: Vec<TimedTombstone>,
    pub(crate) cold: Epoch,
    pub(crate) cold_since: Option<Time>,
    /// Whether the claim is so young that the owner before may still tell "not run".
    pub(crate) young: bool,
    pub(crate) doubt: Option<Doubt>,
    pub(crate) bytes: usize,
}

/// Own changes that a sealed backup keeps for the backup that the table may give it: a long
/// answer has some thousand. With more, that backup gets a whole copy instead.
const PARTED: usize = 4096;

/// Changes that a sealed backup made of its own; no other copy holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Parted {
    /// The last change before them.
    pub(crate) before: Seq,
    /// All of them, or none if they were too many to keep.
    pub(crate) updates: Option<Vec<Update>>,
}

impl Parted {
    /// None yet; the first will have this number.
    fn after(first: Seq) -> Self {
        Self {
            before: Seq(first.0 - 1),
            updates: Some(Vec::new()),
        }
    }

    fn add(&mut self, update: Update) {
        self.updates.take_if(|updates| updates.len() == PARTED);
        if let Some(updates) = &mut self.updates {
            updates.push(update);
        }
    }
}

impl Link {
    /// Whether word of `from`'s copy `holder` is about this one.
    fn is(&self, from: &id::Instance, holder: Holder) -> bool {
        self.peer == *from && self.holder == holder
    }
}

impl Primary {
    /// The copies that are kept in step. A new copy that the backup's process has in place of
    /// one that is gone stands in for it.
    pub(crate) fn links(&self) -> impl Iterator<Item = &Link> {
        let backup = self.backup.as_ref();
        let kept = backup.filter(|_| self.renewed().is_none());
        kept.into_iter().chain(&self.learner)
    }

    /// Notes what a copy holds.
    pub(crate) fn acked(&mut self, from: &id::Instance, holder: Holder, seq: Seq) {
        let links = self.backup.iter_mut().chain(&mut self.learner);
        links
            .filter(|link| link.is(from, holder))
            .for_each(|link| link.acked = link.acked.max(seq));
    }

    /// The last change that all copies in step hold, if there are any.
    fn held(&self) -> Option<Seq> {
        self.links().map(|link| link.acked).min()
    }

    /// Whether idempotent work may have its effect although the change `seq` is not released.
    fn unreleased(&self, seq: Seq) -> bool {
        self.unreplicated || self.contested && self.held().is_none_or(|held| seq <= held)
    }

    /// Moves `released` up to what all copies hold; it never falls.
    pub(crate) fn release(&mut self, seq: Seq) {
        let held = self.held().unwrap_or(seq);
        if !self.contested {
            self.released = self.released.max(held);
        }
        self.unreplicated &= held < seq;
        let cut = self.copying.as_ref().map_or(held, |copying| copying.seq);
        self.unacked.retain(|update| update.seq > held.min(cut));
    }

    /// The copy that may act as owner after this one's word: the backup's, or one
    /// that stands in for it since the backup has begun anew or dropped its own.
    pub(crate) fn successor(&self) -> Option<&Link> {
        let known = self.renewed().or(self.backup.as_ref());
        known.or(self.learner.as_ref())
    }

    /// The new copy that the backup's process has in place of its own.
    fn renewed(&self) -> Option<&Link> {
        let (backup, learner) = (self.backup.as_ref()?, self.learner.as_ref()?);
        (backup.peer == learner.peer).then_some(learner)
    }

    /// Changes after `seq`.
    pub(crate) fn since(&self, seq: Seq) -> impl Iterator<Item = &Update> {
        self.unacked.iter().filter(move |update| update.seq > seq)
    }
}

impl Replica {
    /// An empty copy.
    pub(crate) fn new(slot: Slot, epoch: Epoch, role: Role) -> Self {
        Self {
            slot,
            epoch,
            role,
            sealed: false,
            yielded: false,
            told: false,
            draining: false,
            parted: None,
            source: None,
            seq: Seq(0),
            items: Vec::new(),
            tombstones: Vec::new(),
            cold: epoch,
            cold_since: None,
            young: false,
            doubt: None,
            bytes: 0,
        }
    }

    /// The place of a request's record.
    pub(crate) fn find(&self, name: &Name) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| item.record.intake.name.cmp(name))
    }

    /// Applies a change and numbers it.
    pub(crate) fn apply(&mut self, now: Time, name: &Name, change: Change) -> Result<Seq, Broken> {
        let seq = self.seq.next();
        let owner = matches!(self.role, Role::Primary(_));
        match (self.find(name), change) {
            (Err(at), Change::Accept(intake)) => {
                let record = Box::new(Record::new(*intake));
                self.bytes += record.size();
                let item = Item {
                    record,
                    seq,
                    ended: None,
                    unsure: false,
                    word: Word::None,
                    denied: None,
                };
                self.items.insert(at, item);
            }
            // A "not run" is taken back whose record was dropped here for room.
            (Err(_), Change::End(End::Unknown(_))) if !owner => {}
            (Err(_), _) => return Err(Broken::Absent(name.clone())),
            (Ok(at), change) => {
                let item = &mut self.items[at];
                let before = item.record.size();
                let denied = item.denies();
                item.record.apply(change)?;
                item.follow(now, seq, denied, owner);
                item.ended = item.record.end.map(|_| now);
                if item.ended.is_some() {
                    item.record.trim();
                }
                self.bytes = self.bytes - before + item.record.size();
            }
        }
        self.seq = seq;
        Ok(seq)
    }

    /// Marks a request of which an attempt may have begun that the copy here does not know.
    pub(crate) fn mark(&mut self, name: &Name, unsure: bool) {
        if let Ok(at) = self.find(name) {
            self.items[at].unsure |= unsure;
        }
    }

    /// Non-idempotent requests that may have begun at a lost owner, and how
    /// they end now.
    pub(crate) fn orphans(&self) -> Vec<(Name, End)> {
        let open = self.items.iter().map(|item| &item.record);
        let begun = open.filter(|r| r.end.is_none() && !r.intake.idempotent && r.begun());
        begun
            .map(|record| {
                let unknown = End::Unknown(Cause::OwnerLost);
                let end = if record.is_complete() {
                    End::Done
                } else {
                    unknown
                };
                (record.intake.name.clone(), end)
            })
            .collect()
    }

    /// What an update is told if it does not come from this copy's owner.
    pub(crate) fn admit(&mut self, from: &id::Instance, update: &Update) -> Option<Ack> {
        if update.epoch < self.epoch {
            return Some(Ack::Sealed(self.epoch));
        }
        let later = update.epoch > self.epoch;
        match &self.role {
            // The owner has written the table, which has not come here yet.
            // Another sender has claimed the slot or taken it over: its records differ.
            // Whether it names this copy, only the table tells.
            Role::Learner { primary } if update.epoch == self.epoch.next() && from == primary => {
                self.epoch = update.epoch;
                None
            }
            Role::Primary(_) | Role::Backup { .. } if later => Some(Ack::Gap(self.seq.next())),
            Role::Learner { .. } if later => Some(Ack::Missing),
            Role::Primary(_) => Some(Ack::Sealed(self.epoch)),
            Role::Backup { .. } | Role::Learner { .. } if self.sealed => {
                Some(Ack::Sealed(self.epoch))
            }
            // The sender's changes follow on a copy of its own.
            Role::Backup { .. } | Role::Learner { .. } if !self.follows(from) => Some(Ack::Missing),
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }

    /// Whether this copy is one of `from`'s records.
    fn follows(&self, from: &id::Instance) -> bool {
        (self.source.as_ref()).is_some_and(|source| source.from == *from)
    }

    /// This copy, held by the process `life`.
    pub(crate) fn holder(&self, life: Life) -> Holder {
        let owner = self.source.as_ref().map(|source| source.life);
        Holder {
            life,
            owner: owner.unwrap_or(life),
        }
    }

    /// Makes a change known to the other copies.
    pub(crate) fn publish(&mut self, seq: Seq, name: Name, change: Change) -> Step {
        let (slot, epoch) = (self.slot, self.epoch);
        let update = Update {
            slot,
            epoch,
            seq,
            name,
            change,
        };
        let mut to = Vec::new();
        match &mut self.role {
            Role::Primary(owner) => {
                to.extend(owner.links().map(|link| link.peer.clone()));
                if !to.is_empty() || owner.copying.is_some() {
                    owner.unacked.push(update.clone());
                }
                owner.release(seq);
            }
            Role::Backup { .. } | Role::Learner { .. } => {
                let parted = self.parted.get_or_insert_with(|| Parted::after(seq));
                parted.add(update.clone());
            }
        }
        let released = self.may_leave(&update.name, seq);
        Step {
            slot,
            seq,
            released,
            update,
            to,
        }
    }

    /// Whether the effect of a request's change may leave. A change that waited in a copy
    /// which another has replaced since has no record here.
    pub(crate) fn may_leave(&self, name: &Name, seq: Seq) -> bool {
        let found = self.find(name).ok().map(|at| &self.items[at]);
        let leaves = |item: &&Item| !item.withholds(seq) && !self.waits(item);
        let Some(item) = found.filter(leaves) else {
            return false;
        };
        let idempotent = item.record.intake.idempotent;
        match &self.role {
            Role::Primary(owner) => {
                let early = idempotent && owner.unreleased(seq);
                self.leads() && (seq <= owner.released || early)
            }
            Role::Backup { .. } => self.sealed && idempotent,
            Role::Learner { .. } => false,
        }
    }

    /// Whether this copy is its owner's and nothing speaks against it.
    pub(crate) fn leads(&self) -> bool {
        matches!(self.role, Role::Primary(_)) && !self.sealed && !self.told
    }

    /// Whether every change is held by every other copy, and no more are made.
    pub(crate) fn drained(&self) -> bool {
        let Role::Primary(owner) = &self.role else {
            return false;
        };
        if !self.draining || self.doubts() {
            return false;
        }
        let whole = owner.links().all(|link| link.acked == self.seq);
        whole && (owner.renewed().is_some() || !owner.unreplicated)
    }

    /// Whether a request of this name ended and was dropped.
    pub(crate) fn has_tombstone(&self, hash: u64) -> bool {
        self.tombstones
            .binary_search_by_key(&hash, |tombstone| tombstone.hash)
            .is_ok()
    }

    /// Drops records that ended before `keep`, and tombstones since before `names`.
    pub(crate) fn retire(&mut self, now: Time, keep: Duration, names: Duration, most: usize) {
        let old = |item: &Item| item.ended.is_some_and(|ended| now.since(ended) >= keep);
        let dropped: Vec<_> = self.items.extract_if(.., |item| old(item)).collect();
        self.bury(now, dropped);
        self.tombstones
            .retain(|tombstone| now.since(tombstone.since) < names);
        self.cap(most);
    }

    /// Times and sizes of the records that may be dropped for room: those that
    /// ended, and whose end the other copies hold.
    pub(crate) fn settled(&self) -> impl Iterator<Item = (Time, usize)> {
        let held = self.held();
        let ended = self.items.iter().filter(move |item| item.droppable(held));
        ended.filter_map(|item| Some((item.ended?, item.record.size())))
    }

    /// Drops records that ended by `until` to make room, as [`Self::retire`] does.
    pub(crate) fn shed(&mut self, now: Time, until: Time, most: usize) {
        let held = self.held();
        let old = |item: &Item| item.droppable(held) && item.ended.is_some_and(|at| at <= until);
        let dropped: Vec<_> = self.items.extract_if(.., |item| old(item)).collect();
        self.bury(now, dropped);
        self.cap(most);
    }

    /// The last change that the other copies hold, as far as it matters here.
    fn held(&self) -> Seq {
        match &self.role {
            Role::Primary(owner) => owner.released,
            Role::Backup { .. } | Role::Learner { .. } => self.seq,
        }
    }

    /// Forgets dropped records, but for the names of non-idempotent ones.
    fn bury(&mut self, now: Time, dropped: Vec<Item>) {
        for item in dropped {
            self.bytes = self.bytes.saturating_sub(item.record.size());
            if !item.record.intake.idempotent {
                self.remember(name_hash(&item.record.intake.name), now);
            }
        }
    }

    /// Keeps the youngest `most` tombstones.
    fn cap(&mut self, most: usize) {
        if self.tombstones.len() > most {
            let mut since: Vec<_> = self
                .tombstones
                .iter()
                .map(|tombstone| tombstone.since)
                .collect();
            since.sort_unstable();
            let limit = since[since.len() - most];
            self.tombstones.retain(|tombstone| tombstone.since >= limit);
        }
    }

    fn remember(&mut self, hash: u64, since: Time) {
        if let Err(at) = self
            .tombstones
            .binary_search_by_key(&hash, |tombstone| tombstone.hash)
        {
            self.tombstones.insert(at, TimedTombstone { hash, since });
        }
    }
}

/// Hash of a request's name for its tombstone.
pub(crate) fn name_hash(name: &Name) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(name.workspace.as_str().as_bytes());
    hash.update(b"/");
    hash.update(name.key.as_str().as_bytes());
    hash.digest()
}
