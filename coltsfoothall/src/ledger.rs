//! The request records that this instance keeps, as primary and as backup.
//!
//! The ledger decides what may be accepted, sent and answered. Its rules:
//!
//! - The effect of a change becomes visible only once every copy that may take the slot over
//!   holds the change ([`Ledger::released`]).
//! - A backup seals its copy before it asks for the slot; a sealed copy acknowledges nothing, so
//!   a paused primary that resumes can release nothing.
//! - Before the table is written to name a copy, that copy holds all changes that have been
//!   released; from then on it must hold each change before its release.
//! - A role in the table counts only with a copy of the same epoch; an instance that restarted
//!   under its old name has none.
//!
//! An ended request keeps its answer and a digest of the request, not its prompt or body. Its
//! record stays for [`Settings::retention`] or until the bytes of all records reach
//! [`Settings::bytes`], whichever comes first; the records that ended first are evicted first.
//! After that, an idempotent key counts as new again; the name of a non-idempotent request stays
//! as a tombstone, and the request is answered [`Begin::Retired`] and never run again. Open
//! requests, and ends that a copy still lacks, are never dropped: a new request is refused only
//! when they reach the bound by themselves.
//!
//! The cases in which a caller's key can run twice are in docs/PROOFS.md.

use std::time::Duration;

use quick_error::quick_error;

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::record::{Change, Intake, Name};
use crate::replica::{Replica, Role};
use crate::size::Bytes;
use crate::takeover::Proposal;
use crate::transfer::IncomingCopy;

pub use crate::handoff::Handoff;
pub use crate::replica::{Ack, Broken, Holder, Life, Seq, Step, Update};
pub use crate::takeover::Event;

/// Limits of the ledger.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long the record of an ended request is kept, if [`Self::bytes`] allows. Deadlines must
    /// be less than half of it, so that no key outlives what is known about it.
    pub retention: Duration,
    /// How long the tombstone of an ended non-idempotent request is kept.
    pub tombstone_retention: Duration,
    /// Upper bound on the bytes of all records, backup copies included; it prevents slow callers
    /// and long answers from exhausting memory. The records that ended first are evicted first.
    pub bytes: Bytes,
    /// Upper bound on the changes of a slot that wait for a copy; it prevents a dead backup from
    /// exhausting memory.
    pub max_unacked: usize,
    /// Upper bound on the tombstones of a slot, 16 bytes each; it prevents a flood of short
    /// requests from exhausting memory. The oldest are dropped first.
    pub tombstones: usize,
    /// How long a read of the table confirms the "not run" of an idempotent request, from when
    /// the read was sent. An instance that claims a slot waits twice as long before it runs older
    /// keys. The value has to be well above the store's usual latency of a few milliseconds, and
    /// twice the value has to be below the 2 s for which a new request waits for a primary.
    pub confirmation_ttl: Duration,
    /// Identifies this process among all processes of the same name: a number drawn at startup.
    pub life: Life,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            tombstone_retention: Duration::from_secs(86_400),
            bytes: Bytes(24 << 20),
            max_unacked: 4096,
            tombstones: 16_384,
            confirmation_ttl: Duration::from_millis(750),
            life: Life::default(),
        }
    }
}

/// Outcome of [`Ledger::begin`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// The request is new and is now recorded.
    New(Step),
    /// The same request is known; answer from its record once the given change is released.
    Join(Seq),
    /// The key belongs to a different request.
    Reused,
    /// The request ended so long ago that its answer is no longer kept.
    Retired,
    /// The request may have run on a primary whose records are lost: unknown.
    Lost,
    /// This instance does not serve the slot.
    NotOwner,
    /// At-most-once execution cannot be guaranteed now: not run.
    NotSafe,
    /// Open requests fill the ledger: not run.
    Full,
    /// Too many changes of the slot wait for a copy: not run.
    Behind,
}

quick_error! {
    /// Why a change was not made.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// This instance may not change the slot.
        NotOwner(slot: Slot) {
            display("slot {slot} is not served by this instance")
        }
        /// At-most-once execution cannot be guaranteed now.
        NotSafe(name: Name) {
            display("request {name} cannot be changed safely now")
        }
        /// Too many changes wait for a copy.
        Full(slot: Slot) {
            display("too many changes of slot {slot} are waiting for its backup")
        }
        /// An invariant is violated.
        Broken(err: Broken) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// What the primary does after an acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Nothing,
    /// Send the changes of [`Ledger::resend`], at most once per tick: otherwise each gap would
    /// trigger a resend, which would produce further gaps.
    Resend,
    /// Send a complete copy there, or to another instance.
    Copy,
    /// Read the slot table: the slot may have another primary.
    Table,
}

/// A copy that lacks changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lag {
    /// The slot.
    pub slot: Slot,
    /// The instance that holds the copy.
    pub to: id::Instance,
    /// The first change that it lacks.
    pub seq: Seq,
}

/// The records and copies that this instance keeps.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) me: id::Instance,
    pub(crate) settings: Settings,
    /// Sorted by slot.
    pub(crate) replicas: Vec<Replica>,
    pub(crate) proposals: Vec<Proposal>,
    pub(crate) version: u64,
    /// Epochs of all slots in the table of that version, by slot.
    pub(crate) epochs: Vec<Epoch>,
    /// When the last read that confirmed that table was sent.
    pub(crate) confirmed: Time,
    /// When a table was last observed.
    pub(crate) observed: Time,
    /// Whether a "not run" waits for a read of the table.
    pub(crate) confirmation_pending: bool,
    pub(crate) copies: u64,
    pub(crate) incoming: Vec<IncomingCopy>,
    /// Number of changes that took effect without a second copy.
    pub(crate) unreplicated: u64,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(me: id::Instance, settings: Settings) -> Self {
        // Copy numbers start at the life, so that an answer to a copy sent by an earlier process
        // is not taken for an answer to one of these.
        let copies = settings.life.0;
        Self {
            me,
            settings,
            replicas: Vec::new(),
            proposals: Vec::new(),
            version: 0,
            epochs: Vec::new(),
            confirmed: Time::START,
            observed: Time::START,
            confirmation_pending: false,
            copies,
            incoming: Vec::new(),
            unreplicated: 0,
        }
    }

    /// Accepts a request from a caller. `slot` is its key's slot.
    ///
    /// # Errors
    /// An invariant is violated.
    pub fn begin(&mut self, now: Time, intake: Intake, slot: Slot) -> Result<Begin, Error> {
        self.end_claim_wait(now, slot);
        let Some(replica) = self.replica(slot).filter(|replica| serves(replica)) else {
            return Ok(Begin::NotOwner);
        };
        if (intake.name.key.minted()).is_some_and(|mint| mint.epoch > replica.epoch) {
            // The instance that minted the key is primary now; its table has not arrived here
            // yet.
            return Ok(Begin::NotOwner);
        }
        if let Ok(index) = replica.find(&intake.name) {
            let item = &replica.items[index];
            let (seq, same) = (item.seq, item.record.digest == intake.digest());
            self.recheck(now, slot, &intake.name);
            return Ok(if same {
                Begin::Join(seq)
            } else {
                Begin::Reused
            });
        }
        if !intake.idempotent
            && let Some(refused) = self.refusal(now, &intake, replica)
        {
            return Ok(refused);
        }
        if backlog(replica) >= self.settings.max_unacked {
            return Ok(Begin::Behind);
        }
        let name = intake.name.clone();
        let unsure = self.unsure(now, &intake, replica);
        if !self.make_room(now) {
            return Ok(Begin::Full);
        }
        let step = self.record_change(now, slot, name.clone(), Change::Accept(Box::new(intake)))?;
        if let Some(replica) = self.replica_mut(slot) {
            replica.mark_unsure(&name, unsure);
        }
        Ok(Begin::New(step))
    }

    /// Changes a request. A `Sent` of a non-idempotent request must be released before its first
    /// byte leaves; a part, answer or end must be released before it is shown to the caller.
    ///
    /// # Errors
    /// The slot is not served here, the change is not safe, or it violates an invariant.
    pub fn change(
        &mut self,
        now: Time,
        slot: Slot,
        name: Name,
        change: Change,
    ) -> Result<Step, Error> {
        self.end_claim_wait(now, slot);
        let replica = self.replica(slot).filter(|replica| serves(replica));
        let replica = replica.ok_or(Error::NotOwner(slot))?;
        let index = replica.find(&name);
        let index = index.map_err(|_place| Broken::Absent(name.clone()))?;
        if !self.is_safe(now, &replica.items[index], replica, &change) {
            return Err(Error::NotSafe(name));
        }
        if backlog(replica) >= self.settings.max_unacked {
            return Err(Error::Full(slot));
        }
        self.record_change(now, slot, name, change)
    }

    /// Applies a change that `from` sent as the primary to the copy here.
    ///
    /// # Errors
    /// The change violates an invariant.
    pub fn receive(
        &mut self,
        now: Time,
        from: &id::Instance,
        update: Update,
    ) -> Result<Ack, Broken> {
        if matches!(update.change, Change::Accept(_)) {
            self.make_room(now);
        }
        // If the primary may not know the history of a key, neither does this copy.
        let unsure = match (&update.change, self.replica(update.slot)) {
            (Change::Accept(intake), Some(replica)) => self.unsure(now, intake, replica),
            _ => false,
        };
        let life = self.settings.life;
        let Some(replica) = self.replica_mut(update.slot) else {
            return Ok(Ack::Missing);
        };
        if let Some(refused) = replica.admit(from, &update) {
            return Ok(refused);
        }
        if update.seq <= replica.seq {
            return Ok(Ack::Ok(replica.seq, replica.holder(life)));
        }
        if update.seq > replica.seq.next() {
            return Ok(Ack::Gap(replica.seq.next()));
        }
        let seq = replica.apply(now, &update.name, update.change)?;
        replica.mark_unsure(&update.name, unsure);
        Ok(Ack::Ok(seq, replica.holder(life)))
    }

    /// Handles the answer of a copy to an update of `epoch`. Afterwards, [`Ledger::released`]
    /// tells which changes may take effect.
    ///
    /// # Errors
    /// The peer acknowledged a change that was never sent.
    pub fn acked(
        &mut self,
        slot: Slot,
        epoch: Epoch,
        from: &id::Instance,
        ack: Ack,
    ) -> Result<Next, Broken> {
        let writing = self.has_proposal(slot);
        let Some(replica) = self.replica_mut(slot).filter(|r| r.epoch == epoch) else {
            return Ok(Next::Nothing);
        };
        let seq = replica.seq;
        let Role::Primary(primary) = &mut replica.role else {
            return Ok(Next::Nothing);
        };
        match ack {
            Ack::Ok(acked, holder) => {
                primary.acked(from, holder, acked);
                if primary.links().any(|link| link.acked > seq) {
                    return Err(Broken::Ahead(slot, from.clone(), acked));
                }
                primary.release(seq);
                Ok(Next::Nothing)
            }
            Ack::Sealed(_) => {
                let backup = primary
                    .backup
                    .as_ref()
                    .is_some_and(|link| link.peer == *from);
                replica.backup_sealed |= backup;
                Ok(Next::Table)
            }
            Ack::Gap(from) if primary.unacked.first().is_some_and(|u| u.seq <= from) => {
                Ok(Next::Resend)
            }
            Ack::Gap(_) | Ack::Missing => {
                // A copy that the table does not name is replaced rather than waited for.
                if !writing && primary.learner.take_if(|link| link.peer == *from).is_some() {
                    primary.release(seq);
                }
                Ok(Next::Copy)
            }
        }
    }

    /// The changes of the slot up to this one may take effect. `None` while the slot is sealed or
    /// this instance is not its primary: nothing may take effect.
    #[must_use]
    pub fn released(&self, slot: Slot) -> Option<Seq> {
        let replica = self.replica(slot).filter(|replica| replica.leads())?;
        match &replica.role {
            Role::Primary(primary) => Some(primary.released),
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }

    /// Whether the effect of a request's change may become visible, including the exception for
    /// idempotent requests that run unreplicated.
    #[must_use]
    pub fn may_leave(&self, slot: Slot, name: &Name, seq: Seq) -> bool {
        let replica = self.replica(slot);
        replica.is_some_and(|replica| replica.may_leave(name, seq))
    }

    /// Changes that a copy has not acknowledged, to be resent to it.
    #[must_use]
    pub fn resend(&self, slot: Slot, to: &id::Instance) -> Vec<Update> {
        let Some(replica) = self.replica(slot).filter(|replica| !replica.sealed) else {
            return Vec::new();
        };
        let Role::Primary(primary) = &replica.role else {
            return Vec::new();
        };
        let Some(link) = primary.links().find(|link| link.peer == *to) else {
            return Vec::new();
        };
        primary.since(link.acked).cloned().collect()
    }

    /// Copies that lack changes, each with the first change that it lacks.
    #[must_use]
    pub fn lags(&self) -> Vec<Lag> {
        let mut lags = Vec::new();
        for replica in self.replicas.iter().filter(|replica| !replica.sealed) {
            let Role::Primary(primary) = &replica.role else {
                continue;
            };
            for link in primary.links() {
                let first = primary.since(link.acked).next();
                lags.extend(first.map(|update| Lag {
                    slot: replica.slot,
                    to: link.peer.clone(),
                    seq: update.seq,
                }));
            }
        }
        lags
    }

    /// Lets idempotent requests continue while the backup is unreachable and the store is down;
    /// non-idempotent ones wait. The state ends once the backup holds all changes. A slot that
    /// was draining towards the backup accepts changes again.
    pub fn run_unreplicated(&mut self, slot: Slot) {
        self.resume(slot);
        if let Some(replica) = self.replica_mut(slot)
            && let Role::Primary(primary) = &mut replica.role
        {
            // There is no need for this state if the backup dropped its copy, as changes do not
            // wait for it.
            primary.unreplicated = primary.backup.is_some() || primary.learner.is_some();
        }
    }

    /// Drops the records of requests that ended long ago, or that exceed the memory bound;
    /// tombstones of non-idempotent ones stay.
    pub fn retire(&mut self, now: Time) {
        let settings = self.settings.clone();
        let wait = self.claim_wait();
        for replica in &mut self.replicas {
            replica.end_claim_wait(now, wait);
            replica.retire(
                now,
                settings.retention,
                settings.tombstone_retention,
                settings.tombstones,
            );
        }
        self.make_room(now);
    }

    /// Whether too many changes of a slot wait for a copy, so that no further one may be made.
    #[must_use]
    pub fn behind(&self, slot: Slot) -> bool {
        let replica = self.replica(slot);
        replica.is_some_and(|replica| backlog(replica) >= self.settings.max_unacked)
    }

    pub(crate) fn replica(&self, slot: Slot) -> Option<&Replica> {
        let index = self.replicas.binary_search_by_key(&slot, |r| r.slot).ok()?;
        Some(&self.replicas[index])
    }

    pub(crate) fn replica_mut(&mut self, slot: Slot) -> Option<&mut Replica> {
        let index = self.replicas.binary_search_by_key(&slot, |r| r.slot).ok()?;
        Some(&mut self.replicas[index])
    }

    pub(crate) fn record_change(
        &mut self,
        now: Time,
        slot: Slot,
        name: Name,
        change: Change,
    ) -> Result<Step, Error> {
        let replica = self.replica_mut(slot).ok_or(Error::NotOwner(slot))?;
        let seq = replica.apply(now, &name, change.clone())?;
        let step = replica.publish(seq, name, change);
        let denies = |index: usize| replica.items[index].ended_not_run();
        self.confirmation_pending |= replica.find(&step.update.name).is_ok_and(denies);
        self.unreplicated += u64::from(step.released);
        Ok(step)
    }
}

/// Whether requests may be accepted and changed: on the primary, or on a backup that has sealed
/// its copy and continues idempotent work.
pub(crate) fn serves(replica: &Replica) -> bool {
    match replica.role {
        Role::Primary(_) => replica.leads() && !replica.draining,
        Role::Backup { .. } => replica.sealed,
        Role::Learner { .. } => false,
    }
}

/// Number of changes of a slot that wait for a copy.
pub(crate) fn backlog(replica: &Replica) -> usize {
    match &replica.role {
        Role::Primary(primary) => primary.unacked.len(),
        Role::Backup { .. } | Role::Learner { .. } => 0,
    }
}
