//! One copy of the records of one slot, on its primary or its backup.
//!
//! The primary numbers its changes; the backup applies them in that order. The effect of a change
//! may become visible outside the primary only once the change is released, that is, held by each
//! copy that may take the slot over.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::record::{Cause, Change, End, Name, Record};

pub use crate::copy::{
    Ack, Broken, Chunk, Holder, Life, Row, Seq, Step, Taken, Tombstone, Unsure, Update, Whole,
};

/// Another copy, as tracked by the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Link {
    pub(crate) peer: id::Instance,
    pub(crate) acked: Seq,
    /// Identity of the copy; acknowledgements of any other copy are ignored.
    pub(crate) holder: Holder,
}

/// Origin of a copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Source {
    pub(crate) from: id::Instance,
    /// The sender's process.
    pub(crate) life: Life,
    /// Its number at the sender; `None` if the sender was the backup before and took the records
    /// over in its own copy.
    pub(crate) copy: Option<u64>,
}

/// A copy that is being sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Copying {
    pub(crate) peer: id::Instance,
    pub(crate) copy: u64,
    pub(crate) seq: Seq,
}

/// State of a primary beyond the records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Primary {
    /// The copy that may take over.
    pub(crate) backup: Option<Link>,
    /// The copy that is being sent, if any.
    pub(crate) copying: Option<Copying>,
    /// A complete copy that the table does not name yet; changes are released only once it holds
    /// them.
    pub(crate) learner: Option<Link>,
    /// Changes that some copy has not acknowledged.
    pub(crate) unacked: Vec<Update>,
    /// All changes up to this one may take effect.
    pub(crate) released: Seq,
    /// Idempotent work continues without the backup.
    pub(crate) unreplicated: bool,
    /// The process that held the backup is gone and may have taken the slot over before. Until
    /// this instance has written the table, only idempotent work takes effect.
    pub(crate) contested: bool,
}

/// Role of an instance in a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Role {
    /// The primary.
    Primary(Primary),
    /// The second copy, which may take over from `primary`.
    Backup { primary: id::Instance },
    /// A copy of `primary`'s records that the table does not name yet.
    Learner { primary: id::Instance },
}

/// Keys for which this copy may not know all idempotent attempts: another copy may have run some
/// unreplicated before the slot changed hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Doubt {
    /// Keys minted before this epoch, and all keys chosen by callers.
    pub(crate) before: Epoch,
    pub(crate) since: Time,
}

/// A record with the local state kept about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) record: Box<Record>,
    pub(crate) seq: Seq,
    pub(crate) ended: Option<Time>,
    /// An attempt may have started that is not in the record: the primary was lost, and
    /// idempotent attempts need no second copy.
    pub(crate) unsure: bool,
    /// Confirmation of its "not run", if the request is idempotent and ended so.
    pub(crate) confirmation: Confirmation,
    /// Number of a "not run" that was retracted; it is never reported.
    pub(crate) retracted: Option<Seq>,
}

/// Whether a "not run" of an idempotent request is confirmed by the slot table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// Not confirmed, and no caller is waiting for it.
    #[default]
    None,
    /// Not confirmed yet; a caller has been waiting since this time.
    Awaited(Time),
    /// Confirmed by a read of the table that was sent at this time.
    Confirmed(Time),
}

/// A tombstone with its time on the local clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedTombstone {
    pub(crate) hash: u64,
    pub(crate) since: Time,
}

/// One copy of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Replica {
    pub(crate) slot: Slot,
    pub(crate) epoch: Epoch,
    pub(crate) role: Role,
    /// A sealed primary releases nothing; a sealed backup acknowledges nothing.
    pub(crate) sealed: bool,
    /// A primary that handed the slot over directly; it stays sealed for good.
    pub(crate) yielded: bool,
    /// A primary whose backup has sealed its copy; only the table can settle which of the two
    /// continues.
    pub(crate) backup_sealed: bool,
    /// A primary that accepts no more changes, to hand the slot over.
    pub(crate) draining: bool,
    /// Changes made by a sealed backup.
    pub(crate) divergence: Option<Divergence>,
    /// Origin of a backup's or learner's copy; `None` on a primary.
    pub(crate) source: Option<Source>,
    pub(crate) seq: Seq,
    pub(crate) items: Vec<Item>,
    pub(crate) tombstones: Vec<TimedTombstone>,
    pub(crate) cold: Epoch,
    pub(crate) cold_since: Option<Time>,
    /// Whether the slot was claimed so recently that the previous primary may still report "not
    /// run".
    pub(crate) recently_claimed: bool,
    pub(crate) doubt: Option<Doubt>,
    pub(crate) bytes: usize,
}

/// Upper bound on the changes that a sealed backup keeps for the backup that the table may give
/// it; a long answer has several thousand. Beyond it, that backup receives a complete copy
/// instead.
const MAX_DIVERGED_UPDATES: usize = 4096;

/// Changes that a sealed backup made; no other copy holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Divergence {
    /// The last change before them.
    pub(crate) before: Seq,
    /// All of them, or `None` if there were too many to keep.
    pub(crate) updates: Option<Vec<Update>>,
}

impl Divergence {
    /// Starts an empty list whose first change will have the number `first`.
    fn after(first: Seq) -> Self {
        Self {
            before: Seq(first.0 - 1),
            updates: Some(Vec::new()),
        }
    }

    fn add(&mut self, update: Update) {
        self.updates
            .take_if(|updates| updates.len() == MAX_DIVERGED_UPDATES);
        if let Some(updates) = &mut self.updates {
            updates.push(update);
        }
    }
}

impl Link {
    /// Whether a message about `from`'s copy `holder` refers to this link.
    fn is(&self, from: &id::Instance, holder: Holder) -> bool {
        self.peer == *from && self.holder == holder
    }
}

impl Primary {
    /// The copies that receive each change. If the backup's process holds a replacement for a
    /// copy that is gone, the replacement is used instead.
    pub(crate) fn links(&self) -> impl Iterator<Item = &Link> {
        let backup = self.backup.as_ref();
        let backup = backup.filter(|_| self.replacement().is_none());
        backup.into_iter().chain(&self.learner)
    }

    /// Records what a copy holds.
    pub(crate) fn acked(&mut self, from: &id::Instance, holder: Holder, seq: Seq) {
        let links = self.backup.iter_mut().chain(&mut self.learner);
        links
            .filter(|link| link.is(from, holder))
            .for_each(|link| link.acked = link.acked.max(seq));
    }

    /// The last change that all linked copies hold, or `None` without links.
    fn held(&self) -> Option<Seq> {
        self.links().map(|link| link.acked).min()
    }

    /// Whether idempotent work may take effect although the change `seq` is not released.
    fn unreleased(&self, seq: Seq) -> bool {
        self.unreplicated || self.contested && self.held().is_none_or(|held| seq <= held)
    }

    /// Advances `released` to what all copies hold; it never decreases.
    pub(crate) fn release(&mut self, seq: Seq) {
        let held = self.held().unwrap_or(seq);
        if !self.contested {
            self.released = self.released.max(held);
        }
        self.unreplicated &= held < seq;
        let cut = self.copying.as_ref().map_or(held, |copying| copying.seq);
        self.unacked.retain(|update| update.seq > held.min(cut));
    }

    /// The copy that may become primary by a direct handoff: the backup's, or one that replaces
    /// it because the backup restarted or dropped its own.
    pub(crate) fn successor(&self) -> Option<&Link> {
        let known = self.replacement().or(self.backup.as_ref());
        known.or(self.learner.as_ref())
    }

    /// The new copy that the backup's process holds in place of its own.
    fn replacement(&self) -> Option<&Link> {
        let (backup, learner) = (self.backup.as_ref()?, self.learner.as_ref()?);
        (backup.peer == learner.peer).then_some(learner)
    }

    /// Unacknowledged changes after `seq`.
    pub(crate) fn since(&self, seq: Seq) -> impl Iterator<Item = &Update> {
        self.unacked.iter().filter(move |update| update.seq > seq)
    }
}

impl Replica {
    /// Creates an empty copy.
    pub(crate) fn new(slot: Slot, epoch: Epoch, role: Role) -> Self {
        Self {
            slot,
            epoch,
            role,
            sealed: false,
            yielded: false,
            backup_sealed: false,
            draining: false,
            divergence: None,
            source: None,
            seq: Seq(0),
            items: Vec::new(),
            tombstones: Vec::new(),
            cold: epoch,
            cold_since: None,
            recently_claimed: false,
            doubt: None,
            bytes: 0,
        }
    }

    /// Index of a request's record, or where to insert it.
    pub(crate) fn find(&self, name: &Name) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| item.record.intake.name.cmp(name))
    }

    /// Applies a change and returns its number.
    pub(crate) fn apply(&mut self, now: Time, name: &Name, change: Change) -> Result<Seq, Broken> {
        let seq = self.seq.next();
        let is_primary = matches!(self.role, Role::Primary(_));
        match (self.find(name), change) {
            (Err(index), Change::Accept(intake)) => {
                let record = Box::new(Record::new(*intake));
                self.bytes += record.size();
                let item = Item {
                    record,
                    seq,
                    ended: None,
                    unsure: false,
                    confirmation: Confirmation::None,
                    retracted: None,
                };
                self.items.insert(index, item);
            }
            // A "not run" was retracted after its record had been dropped here to free memory.
            (Err(_), Change::End(End::Unknown(_))) if !is_primary => {}
            (Err(_), _) => return Err(Broken::Absent(name.clone())),
            (Ok(index), change) => {
                let item = &mut self.items[index];
                let before = item.record.size();
                let denied = item.ended_not_run();
                item.record.apply(change)?;
                item.record_change(now, seq, denied, is_primary);
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

    /// Marks a request that may have an attempt which is not in the record here.
    pub(crate) fn mark_unsure(&mut self, name: &Name, unsure: bool) {
        if let Ok(index) = self.find(name) {
            self.items[index].unsure |= unsure;
        }
    }

    /// Non-idempotent requests that may have started on a lost primary, with the ends to record
    /// for them.
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

    /// Answer to an update that does not come from the primary of this copy; `None` accepts it.
    pub(crate) fn admit(&mut self, from: &id::Instance, update: &Update) -> Option<Ack> {
        if update.epoch < self.epoch {
            return Some(Ack::Sealed(self.epoch));
        }
        let later = update.epoch > self.epoch;
        match &self.role {
            // The primary has written a table that has not arrived here yet. Another sender has
            // claimed the slot or taken it over, so its records differ. Only the table says
            // whether it names this copy.
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
            // The sender's changes continue a copy of its own.
            Role::Backup { .. } | Role::Learner { .. } if !self.follows(from) => Some(Ack::Missing),
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }

    /// Whether this copy originates from `from`.
    fn follows(&self, from: &id::Instance) -> bool {
        (self.source.as_ref()).is_some_and(|source| source.from == *from)
    }

    /// Identity of this copy, held by the process `life`.
    pub(crate) fn holder(&self, life: Life) -> Holder {
        let owner = self.source.as_ref().map(|source| source.life);
        Holder {
            life,
            owner: owner.unwrap_or(life),
        }
    }

    /// Queues a change for the other copies.
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
            Role::Primary(primary) => {
                to.extend(primary.links().map(|link| link.peer.clone()));
                if !to.is_empty() || primary.copying.is_some() {
                    primary.unacked.push(update.clone());
                }
                primary.release(seq);
            }
            Role::Backup { .. } | Role::Learner { .. } => {
                let divergence = self
                    .divergence
                    .get_or_insert_with(|| Divergence::after(seq));
                divergence.add(update.clone());
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

    /// Whether the effect of a request's change may become visible. A change that waited in a
    /// copy which was replaced since has no record here.
    pub(crate) fn may_leave(&self, name: &Name, seq: Seq) -> bool {
        let found = self.find(name).ok().map(|index| &self.items[index]);
        let leaves = |item: &&Item| !item.withholds(seq) && !self.waits(item);
        let Some(item) = found.filter(leaves) else {
            return false;
        };
        let idempotent = item.record.intake.idempotent;
        match &self.role {
            Role::Primary(primary) => {
                let early = idempotent && primary.unreleased(seq);
                self.leads() && (seq <= primary.released || early)
            }
            Role::Backup { .. } => self.sealed && idempotent,
            Role::Learner { .. } => false,
        }
    }

    /// Whether this instance is the primary and is neither sealed nor superseded by its backup.
    pub(crate) fn leads(&self) -> bool {
        matches!(self.role, Role::Primary(_)) && !self.sealed && !self.backup_sealed
    }

    /// Whether the slot is draining and every other copy holds every change.
    pub(crate) fn drained(&self) -> bool {
        let Role::Primary(primary) = &self.role else {
            return false;
        };
        if !self.draining || self.doubts() {
            return false;
        }
        let complete = primary.links().all(|link| link.acked == self.seq);
        complete && (primary.replacement().is_some() || !primary.unreplicated)
    }

    /// Whether a request with this name hash ended and its record was dropped.
    pub(crate) fn has_tombstone(&self, hash: u64) -> bool {
        self.tombstones
            .binary_search_by_key(&hash, |tombstone| tombstone.hash)
            .is_ok()
    }

    /// Drops records that ended at least `retention` ago, and tombstones at least `tombstone_retention` old.
    pub(crate) fn retire(
        &mut self,
        now: Time,
        retention: Duration,
        tombstone_retention: Duration,
        max_tombstones: usize,
    ) {
        let old = |item: &Item| {
            item.ended
                .is_some_and(|ended| now.since(ended) >= retention)
        };
        let dropped: Vec<_> = self.items.extract_if(.., |item| old(item)).collect();
        self.drop_records(now, dropped);
        self.tombstones
            .retain(|tombstone| now.since(tombstone.since) < tombstone_retention);
        self.cap_tombstones(max_tombstones);
    }

    /// End times and sizes of the records that may be evicted: those that ended and whose end the
    /// other copies hold.
    pub(crate) fn evictable(&self) -> impl Iterator<Item = (Time, usize)> {
        let held = self.held();
        let ended = self
            .items
            .iter()
            .filter(move |item| item.is_evictable(held));
        ended.filter_map(|item| Some((item.ended?, item.record.size())))
    }

    /// Evicts records that ended by `until`, to free memory.
    pub(crate) fn evict(&mut self, now: Time, until: Time, max_tombstones: usize) {
        let held = self.held();
        let old = |item: &Item| item.is_evictable(held) && item.ended.is_some_and(|at| at <= until);
        let dropped: Vec<_> = self.items.extract_if(.., |item| old(item)).collect();
        self.drop_records(now, dropped);
        self.cap_tombstones(max_tombstones);
    }

    /// The last change that the other copies hold, as far as eviction is concerned.
    fn held(&self) -> Seq {
        match &self.role {
            Role::Primary(primary) => primary.released,
            Role::Backup { .. } | Role::Learner { .. } => self.seq,
        }
    }

    /// Accounts for dropped records and leaves tombstones for the non-idempotent ones.
    fn drop_records(&mut self, now: Time, dropped: Vec<Item>) {
        for item in dropped {
            self.bytes = self.bytes.saturating_sub(item.record.size());
            if !item.record.intake.idempotent {
                self.add_tombstone(name_hash(&item.record.intake.name), now);
            }
        }
    }

    /// Keeps the newest `max` tombstones.
    fn cap_tombstones(&mut self, max: usize) {
        if self.tombstones.len() > max {
            let mut since: Vec<_> = self
                .tombstones
                .iter()
                .map(|tombstone| tombstone.since)
                .collect();
            since.sort_unstable();
            let limit = since[since.len() - max];
            self.tombstones.retain(|tombstone| tombstone.since >= limit);
        }
    }

    fn add_tombstone(&mut self, hash: u64, since: Time) {
        if let Err(index) = self
            .tombstones
            .binary_search_by_key(&hash, |tombstone| tombstone.hash)
        {
            self.tombstones
                .insert(index, TimedTombstone { hash, since });
        }
    }
}

/// Hash of a request's name, for its tombstone.
pub(crate) fn name_hash(name: &Name) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(name.workspace.as_str().as_bytes());
    hash.update(b"/");
    hash.update(name.key.as_str().as_bytes());
    hash.digest()
}
