//! The records that this instance keeps, as owner and as backup.
//!
//! The ledger decides what may be accepted, sent and answered. Its rules:
//!
//! - A change's effect leaves once every copy that may take the slot over holds
//!   the change ([`Ledger::released`]).
//! - A backup seals its copy before it asks for the slot; a sealed copy
//!   acknowledges nothing, so a paused owner that wakes sends nothing.
//! - A copy that the table is to name holds what has left before the table is
//!   written, and from then on holds what leaves.
//! - The role that the table gives counts only with a copy of the same epoch;
//!   an instance that restarted under its old name has none.
//!
//! An ended request keeps its answer and a digest of what was asked, not its
//! prompt or body. Its record stays for [`Settings::retention`] or until the
//! bytes of all records reach [`Settings::bytes`], whichever comes first; the
//! oldest ended ones go first. A key older than that is, if idempotent, new
//! again; if not, its name stays and it is answered [`Begin::Retired`], never
//! run again. Open requests, and ends that a copy still lacks, are never
//! dropped: only when they alone reach the bound is a new request refused.
//!
//! Times at which a caller's key can run twice are in docs/PROOFS.md.

use std::time::Duration;

use quick_error::quick_error;

use crate::clock::Time;
use crate::id;
use crate::key::{Epoch, Slot};
use crate::record::{Change, Intake, Name};
use crate::replica::{Replica, Role};
use crate::size::Bytes;
use crate::takeover::Proposal;
use crate::transfer::Arrival;

pub use crate::handoff::Handoff;
pub use crate::replica::{Ack, Broken, Holder, Life, Seq, Step, Update};
pub use crate::takeover::Event;

/// Limits of the ledger.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long an ended request is kept, if the bytes allow. Deadlines have to be under half of
    /// it, so that no key outlives what is known about it.
    pub retention: Duration,
    /// How long the name of an ended non-idempotent request is kept.
    pub tombstone_retention: Duration,
    /// Bytes of all records, backup copies included; it stops slow callers and
    /// long answers from filling the memory. The oldest ended records go first.
    pub bytes: Bytes,
    /// Changes of a slot that wait for a copy; it stops a dead backup from
    /// filling the memory.
    pub max_unacked: usize,
    /// Names of ended requests in a slot, 16 bytes each; it stops a flood of
    /// short requests from filling the memory. The oldest go first.
    pub tombstones: usize,
    /// Longest time for which a read of the table vouches for a "not run" of an idempotent
    /// request, from when it was sent; whoever claims a slot waits twice as long before it
    /// runs older keys. It has to be well above the service's usual answer of a few
    /// milliseconds, and twice it below the 2 s for which a new request waits for an owner.
    pub confirmation_ttl: Duration,
    /// Tells this process from the one before it of the same name: a number drawn
    /// at its start.
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

/// What becomes of a request that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// It is new and now recorded.
    New(Step),
    /// The same request is known; answer from its record once `seq` is released.
    Join(Seq),
    /// The key names another request.
    Reused,
    /// It ended so long ago that its answer is no longer kept.
    Retired,
    /// It may have run at an owner whose records are lost: unknown.
    Lost,
    /// This instance does not own the slot.
    NotOwner,
    /// At most once could not be kept up now: not run.
    NotSafe,
    /// Open requests alone fill the ledger: not run.
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
            display("slot {slot} is not owned here")
        }
        /// At most once could not be kept up now.
        NotSafe(name: Name) {
            display("request {name} cannot be sent safely now")
        }
        /// Too many changes wait for a copy.
        Full(slot: Slot) {
            display("too many changes of slot {slot} wait for its backup")
        }
        /// A rule is broken.
        Broken(err: Broken) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// What an owner does after an acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing more.
    Nothing,
    /// Send the changes of [`Ledger::resend`], at most once a tick: each would
    /// bring a gap of its own otherwise, and those more of them.
    Resend,
    /// Make a whole copy there, or elsewhere.
    Copy,
    /// Read the slot table: the slot may have another owner.
    Table,
}

/// A copy that lacks changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lag {
    /// The slot.
    pub slot: Slot,
    /// Who keeps the copy.
    pub to: id::Instance,
    /// The first change that it lacks.
    pub seq: Seq,
}

/// What this instance keeps.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) me: id::Instance,
    pub(crate) settings: Settings,
    /// Sorted by slot.
    pub(crate) replicas: Vec<Replica>,
    pub(crate) proposals: Vec<Proposal>,
    pub(crate) version: u64,
    /// Epochs of all slots in that table, by slot.
    pub(crate) epochs: Vec<Epoch>,
    /// When the last read that confirmed that table was sent.
    pub(crate) confirmed: Time,
    /// When a table was last taken in.
    pub(crate) observed: Time,
    /// Whether a "not run" waits for the table.
    pub(crate) awaited: bool,
    pub(crate) copies: u64,
    pub(crate) arrivals: Vec<Arrival>,
    /// Changes that took effect without a second copy.
    pub(crate) unreplicated: u64,
}

impl Ledger {
    /// An empty ledger.
    #[must_use]
    pub fn new(me: id::Instance, settings: Settings) -> Self {
        // An answer to a copy that an earlier process sent must not pass for one of these.
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
            awaited: false,
            copies,
            arrivals: Vec::new(),
            unreplicated: 0,
        }
    }

    /// Takes in a request from a caller. `slot` is its key's slot.
    ///
    /// # Errors
    /// A rule is broken.
    pub fn begin(&mut self, now: Time, intake: Intake, slot: Slot) -> Result<Begin, Error> {
        self.ripen(now, slot);
        let Some(replica) = self.replica(slot).filter(|replica| serves(replica)) else {
            return Ok(Begin::NotOwner);
        };
        if (intake.name.key.minted()).is_some_and(|mint| mint.epoch > replica.epoch) {
            // Whoever minted it owns the slot now; the table has not come here yet.
            return Ok(Begin::NotOwner);
        }
        if let Ok(at) = replica.find(&intake.name) {
            let item = &replica.items[at];
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
        let step = self.step(now, slot, name.clone(), Change::Accept(Box::new(intake)))?;
        if let Some(replica) = self.replica_mut(slot) {
            replica.mark(&name, unsure);
        }
        Ok(Begin::New(step))
    }

    /// Changes a request. A `Sent` of a non-idempotent request must be released
    /// before the first byte leaves; so must any part, answer or end.
    ///
    /// # Errors
    /// The slot is not owned here, the change is not safe, or it breaks a rule.
    pub fn change(
        &mut self,
        now: Time,
        slot: Slot,
        name: Name,
        change: Change,
    ) -> Result<Step, Error> {
        self.ripen(now, slot);
        let replica = self.replica(slot).filter(|replica| serves(replica));
        let replica = replica.ok_or(Error::NotOwner(slot))?;
        let at = replica.find(&name);
        let at = at.map_err(|_place| Broken::Absent(name.clone()))?;
        if !self.safe(now, &replica.items[at], replica, &change) {
            return Err(Error::NotSafe(name));
        }
        if backlog(replica) >= self.settings.max_unacked {
            return Err(Error::Full(slot));
        }
        self.step(now, slot, name, change)
    }

    /// Applies a change that `from` sent as the owner to the copy here.
    ///
    /// # Errors
    /// The change breaks a rule.
    pub fn receive(
        &mut self,
        now: Time,
        from: &id::Instance,
        update: Update,
    ) -> Result<Ack, Broken> {
        if matches!(update.change, Change::Accept(_)) {
            self.make_room(now);
        }
        // What is not known of a key's past at its owner is not known here either.
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
        replica.mark(&update.name, unsure);
        Ok(Ack::Ok(seq, replica.holder(life)))
    }

    /// Notes what a copy said to an update of `epoch`. `released` tells what may leave then.
    ///
    /// # Errors
    /// The peer acknowledged what was never sent.
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
        let Role::Primary(owner) = &mut replica.role else {
            return Ok(Next::Nothing);
        };
        match ack {
            Ack::Ok(acked, holder) => {
                owner.acked(from, holder, acked);
                if owner.links().any(|link| link.acked > seq) {
                    return Err(Broken::Ahead(slot, from.clone(), acked));
                }
                owner.release(seq);
                Ok(Next::Nothing)
            }
            Ack::Sealed(_) => {
                let backup = owner.backup.as_ref().is_some_and(|link| link.peer == *from);
                replica.told |= backup;
                Ok(Next::Table)
            }
            Ack::Gap(from) if owner.unacked.first().is_some_and(|u| u.seq <= from) => {
                Ok(Next::Resend)
            }
            Ack::Gap(_) | Ack::Missing => {
                // A copy that the table does not name is made anew, not waited for.
                if !writing && owner.learner.take_if(|link| link.peer == *from).is_some() {
                    owner.release(seq);
                }
                Ok(Next::Copy)
            }
        }
    }

    /// All changes of the slot up to this one may have their effect. None
    /// while the slot is not owned here or sealed: nothing may leave.
    #[must_use]
    pub fn released(&self, slot: Slot) -> Option<Seq> {
        let replica = self.replica(slot).filter(|replica| replica.leads())?;
        match &replica.role {
            Role::Primary(owner) => Some(owner.released),
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }

    /// Whether the effect of a request's change may leave; this holds the
    /// exception for idempotent requests that go on alone.
    #[must_use]
    pub fn may_leave(&self, slot: Slot, name: &Name, seq: Seq) -> bool {
        let replica = self.replica(slot);
        replica.is_some_and(|replica| replica.may_leave(name, seq))
    }

    /// Changes that a copy has not acknowledged, to be sent to it again.
    #[must_use]
    pub fn resend(&self, slot: Slot, to: &id::Instance) -> Vec<Update> {
        let Some(replica) = self.replica(slot).filter(|replica| !replica.sealed) else {
            return Vec::new();
        };
        let Role::Primary(owner) = &replica.role else {
            return Vec::new();
        };
        let Some(link) = owner.links().find(|link| link.peer == *to) else {
            return Vec::new();
        };
        owner.since(link.acked).cloned().collect()
    }

    /// Copies that lack changes, with the first change that each lacks.
    #[must_use]
    pub fn lags(&self) -> Vec<Lag> {
        let mut lags = Vec::new();
        for replica in self.replicas.iter().filter(|replica| !replica.sealed) {
            let Role::Primary(owner) = &replica.role else {
                continue;
            };
            for link in owner.links() {
                let first = owner.since(link.acked).next();
                lags.extend(first.map(|update| Lag {
                    slot: replica.slot,
                    to: link.peer.clone(),
                    seq: update.seq,
                }));
            }
        }
        lags
    }

    /// Lets idempotent requests go on while the backup is out of reach and the
    /// service is down. Non-idempotent ones wait. It ends once the backup holds
    /// all changes. A slot that was drained for the backup is taken up again.
    pub fn run_unreplicated(&mut self, slot: Slot) {
        self.resume(slot);
        if let Some(replica) = self.replica_mut(slot)
            && let Role::Primary(owner) = &mut replica.role
        {
            // A backup that dropped its copy is not waited for at all.
            owner.unreplicated = owner.backup.is_some() || owner.learner.is_some();
        }
    }

    /// Drops requests that ended long ago, or for whose records there is no
    /// room; names of non-idempotent ones stay.
    pub fn retire(&mut self, now: Time) {
        let settings = self.settings.clone();
        let wait = self.wait();
        for replica in &mut self.replicas {
            replica.ripen(now, wait);
            replica.retire(
                now,
                settings.retention,
                settings.tombstone_retention,
                settings.tombstones,
            );
        }
        self.make_room(now);
    }

    /// Whether too many changes of a slot wait for a copy: none may be made now.
    #[must_use]
    pub fn behind(&self, slot: Slot) -> bool {
        let replica = self.replica(slot);
        replica.is_some_and(|replica| backlog(replica) >= self.settings.max_unacked)
    }

    pub(crate) fn replica(&self, slot: Slot) -> Option<&Replica> {
        let at = self.replicas.binary_search_by_key(&slot, |r| r.slot).ok()?;
        Some(&self.replicas[at])
    }

    pub(crate) fn replica_mut(&mut self, slot: Slot) -> Option<&mut Replica> {
        let at = self.replicas.binary_search_by_key(&slot, |r| r.slot).ok()?;
        Some(&mut self.replicas[at])
    }

    pub(crate) fn step(
        &mut self,
        now: Time,
        slot: Slot,
        name: Name,
        change: Change,
    ) -> Result<Step, Error> {
        let replica = self.replica_mut(slot).ok_or(Error::NotOwner(slot))?;
        let seq = replica.apply(now, &name, change.clone())?;
        let step = replica.publish(seq, name, change);
        let denies = |at: usize| replica.items[at].denies();
        self.awaited |= replica.find(&step.update.name).is_ok_and(denies);
        self.unreplicated += u64::from(step.released);
        Ok(step)
    }
}

/// Whether requests may be taken and changed: by its owner, or by a backup that
/// has sealed it and carries idempotent work on.
pub(crate) fn serves(replica: &Replica) -> bool {
    match replica.role {
        Role::Primary(_) => replica.leads() && !replica.draining,
        Role::Backup { .. } => replica.sealed,
        Role::Learner { .. } => false,
    }
}

/// Changes of a slot that wait for a copy.
pub(crate) fn backlog(replica: &Replica) -> usize {
    match &replica.role {
        Role::Primary(owner) => owner.unacked.len(),
        Role::Backup { .. } | Role::Learner { .. } => 0,
    }
}
