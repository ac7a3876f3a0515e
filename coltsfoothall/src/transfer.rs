//! Complete copies of slots, for new backups and new primaries.
//!
//! The primary splits the slot into chunks and sends later changes as updates. The table may name
//! the copy only once it is complete.

use crate::clock::Time;
use crate::id;
use crate::key::Slot;
use crate::ledger::Ledger;
use crate::replica::{
    Broken, Chunk, Confirmation, Copying, Doubt, Holder, Item, Link, Replica, Role, Row, Seq,
    Source, Taken, TimedTombstone, Tombstone, Unsure, Update, Whole,
};
use crate::size::Millis;
use crate::slot::Process;

/// Upper bound on the bytes of records in a chunk, beyond the first record; it prevents a copy
/// from blocking the connection for requests.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Upper bound on the tombstones in a chunk, for the same reason.
pub const MAX_TOMBSTONES_PER_CHUNK: usize = 4096;

/// A copy that is being received.
#[derive(Debug)]
pub(crate) struct IncomingCopy {
    source: Source,
    next: u32,
    replica: Replica,
}

impl Ledger {
    /// Splits a slot into chunks for a copy at `to`. An earlier copy that the table does not name
    /// yet is abandoned. `None` unless this instance is the primary and no write of the slot's
    /// entry is under way.
    pub fn export(&mut self, now: Time, slot: Slot, to: &id::Instance) -> Option<Vec<Chunk>> {
        if self.proposals.iter().any(|proposal| proposal.slot == slot) {
            return None;
        }
        self.copies += 1;
        let copy = self.copies;
        let source = Source {
            from: self.me.clone(),
            life: self.settings.life,
            copy: Some(copy),
        };
        let replica = self.replica_mut(slot).filter(|replica| !replica.sealed)?;
        let Role::Primary(primary) = &mut replica.role else {
            return None;
        };
        primary.learner = None;
        primary.copying = Some(Copying {
            peer: to.clone(),
            copy,
            seq: replica.seq,
        });
        let renewed = primary.backup.as_ref().is_some_and(|link| link.peer == *to);
        primary.release(replica.seq);
        if renewed {
            // The backup that is gone may have sealed its copy and continued unreplicated.
            replica.doubt(now, replica.epoch.next());
        }
        let chunks = split(now, replica, &source);
        self.confirmation_pending |= renewed;
        Some(chunks)
    }

    /// Abandons a copy that the table does not name. Returns false, and does nothing, if a write
    /// that names it is under way.
    pub fn give_up(&mut self, slot: Slot) -> bool {
        if self.proposals.iter().any(|proposal| proposal.slot == slot) {
            return false;
        }
        if let Some(replica) = self.replica_mut(slot)
            && let Role::Primary(primary) = &mut replica.role
        {
            primary.copying = None;
            primary.learner = None;
            primary.release(replica.seq);
        }
        true
    }

    /// The instance that holds a copy which the table does not name; changes are released only
    /// once it holds them.
    #[must_use]
    pub fn learner(&self, slot: Slot) -> Option<&id::Instance> {
        match &self.replica(slot)?.role {
            Role::Primary(primary) => primary.learner.as_ref().map(|link| &link.peer),
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }

    /// Records that the copy at `to` is complete; from now on, changes are released only once it
    /// holds them. Returns the updates that it still lacks, or `None` if the copy was abandoned
    /// or has fallen too far behind.
    ///
    /// # Errors
    /// The peer claims to hold a change that was never sent.
    pub fn copied(
        &mut self,
        slot: Slot,
        to: &id::Instance,
        whole: Whole,
    ) -> Result<Option<Vec<Update>>, Broken> {
        let Whole { copy, seq, life } = whole;
        let me = self.settings.life;
        let Some(replica) = self.replica_mut(slot).filter(|replica| !replica.sealed) else {
            return Ok(None);
        };
        let Role::Primary(primary) = &mut replica.role else {
            return Ok(None);
        };
        let Some(copying) = primary
            .copying
            .take_if(|copying| copying.peer == *to && copying.copy == copy)
        else {
            return Ok(None);
        };
        if seq > replica.seq {
            return Err(Broken::Ahead(slot, to.clone(), seq));
        }
        let link = Link {
            peer: to.clone(),
            acked: copying.seq.min(seq),
            holder: Holder { life, owner: me },
        };
        let missing: Vec<_> = primary.since(link.acked).cloned().collect();
        if missing.len() as u64 != replica.seq.0 - link.acked.0 {
            return Ok(None);
        }
        let backup = primary.backup.as_ref().filter(|backup| backup.peer == *to);
        // The process that held the backup is gone. It may have taken the slot over without this
        // primary's knowledge, and the copy of its successor does not show that.
        primary.contested |= backup.is_some_and(|backup| backup.holder.life != life);
        primary.learner = Some(link);
        primary.release(replica.seq);
        Ok(Some(missing))
    }

    /// The process of `peer` that holds a copy of a slot whose primary is here, to be named in
    /// the table.
    #[must_use]
    pub fn process(&self, slot: Slot, peer: &id::Instance) -> Option<Process> {
        let Role::Primary(primary) = &self.replica(slot)?.role else {
            return None;
        };
        let link = primary.links().find(|link| link.peer == *peer)?;
        Some(Process {
            instance: link.peer.clone(),
            life: link.holder.life,
        })
    }

    /// Whether the copy at `to` may be named in the table.
    #[must_use]
    pub fn ready(&self, slot: Slot, to: &id::Instance) -> bool {
        let Some(replica) = self.replica(slot).filter(|replica| !replica.sealed) else {
            return false;
        };
        let Role::Primary(primary) = &replica.role else {
            return false;
        };
        let mut links = primary.learner.iter().filter(|link| link.peer == *to);
        links.any(|link| link.acked >= primary.released)
    }

    /// Receives a chunk of a copy.
    pub fn import(&mut self, now: Time, chunk: Chunk) -> Taken {
        let slot = chunk.slot;
        let known = self.epochs.get(usize::from(slot.0));
        if let Some(epoch) = known.filter(|epoch| **epoch > chunk.epoch) {
            // A copy of that epoch would acknowledge changes that the current primary does not
            // know.
            return Taken::Sealed(*epoch);
        }
        if let Some(refused) = self
            .replica(slot)
            .and_then(|replica| replica.rejects(&chunk))
        {
            return refused;
        }
        let index = self
            .incoming
            .binary_search_by_key(&slot, |incoming| incoming.replica.slot);
        let index = match index {
            Ok(index) if self.incoming[index].accepts(&chunk) => index,
            Ok(index) if chunk.index == 0 && self.incoming[index].is_older_than(&chunk) => {
                self.incoming[index] = IncomingCopy::new(now, &chunk);
                index
            }
            Ok(_) => return Taken::More(0),
            Err(index) if chunk.index == 0 => {
                self.incoming.insert(index, IncomingCopy::new(now, &chunk));
                index
            }
            Err(_) => return Taken::More(0),
        };
        let incoming = &mut self.incoming[index];
        let (last, copy) = (chunk.last, chunk.copy);
        if chunk.index == incoming.next {
            incoming.add_chunk(now, chunk);
        }
        if !last || incoming.next == 0 {
            return Taken::More(incoming.next);
        }
        let replica = self.incoming.remove(index).replica;
        let life = self.settings.life;
        let seq = self.settle(replica);
        Taken::Whole(Whole { copy, seq, life })
    }

    /// Installs a complete copy. A backup stays the backup: the new copy holds at least what the
    /// old one held.
    fn settle(&mut self, mut replica: Replica) -> Seq {
        let seq = replica.seq;
        match self
            .replicas
            .binary_search_by_key(&replica.slot, |r| r.slot)
        {
            Ok(index) => {
                let have = &mut self.replicas[index];
                if have.epoch == replica.epoch {
                    if have.supersedes(&replica) {
                        return have.seq;
                    }
                    if matches!(have.role, Role::Backup { .. }) {
                        replica.role = have.role.clone();
                    }
                }
                self.replicas[index] = replica;
            }
            Err(index) => self.replicas.insert(index, replica),
        }
        seq
    }
}

impl Replica {
    /// Whether this copy stays although another of its epoch has arrived: the other is older, or
    /// changes have overtaken it. In the latter case the sender refers to the new copy from then
    /// on, so this one takes its identity.
    fn supersedes(&mut self, other: &Self) -> bool {
        let (Some(have), Some(new)) = (&self.source, &other.source) else {
            return false;
        };
        if have.follows(new) {
            return true;
        }
        let overtaken = new.follows(have) && self.seq > other.seq;
        if overtaken {
            self.source.clone_from(&other.source);
            if let Some(doubt) = other.doubt.filter(|doubt| doubt.before > self.sure()) {
                self.doubt(doubt.since, doubt.before);
            }
        }
        overtaken
    }

    /// Answer to a chunk that must not replace this copy. A primary of an older epoch waits for
    /// the table first, so that it stops its work.
    fn rejects(&self, chunk: &Chunk) -> Option<Taken> {
        let sealed = Some(Taken::Sealed(self.epoch));
        match self.role {
            _ if self.epoch > chunk.epoch => sealed,
            Role::Primary(_) if self.epoch == chunk.epoch => sealed,
            Role::Primary(_) => Some(Taken::More(0)),
            Role::Backup { .. } if self.epoch == chunk.epoch && self.sealed => sealed,
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }
}

impl IncomingCopy {
    fn new(now: Time, chunk: &Chunk) -> Self {
        let source = source(chunk);
        let primary = chunk.from.clone();
        let mut replica = Replica::new(chunk.slot, chunk.epoch, Role::Learner { primary });
        replica.source = Some(source.clone());
        replica.doubt = chunk.doubt.map(|doubt| Doubt {
            before: doubt.before,
            since: now - doubt.age.duration(),
        });
        replica.seq = chunk.seq;
        replica.cold = chunk.cold;
        replica.cold_since = chunk.cold_age.map(|age| now - age.duration());
        replica.recently_claimed = replica.cold_since.is_some();
        Self {
            source,
            next: 0,
            replica,
        }
    }

    fn accepts(&self, chunk: &Chunk) -> bool {
        self.replica.epoch == chunk.epoch && self.source == source(chunk)
    }

    fn is_older_than(&self, chunk: &Chunk) -> bool {
        let current = (self.replica.epoch, &self.source);
        let new = source(chunk);
        current.0 < chunk.epoch || current.0 == chunk.epoch && !current.1.follows(&new)
    }

    fn add_chunk(&mut self, now: Time, chunk: Chunk) {
        let replica = &mut self.replica;
        let rows = chunk.rows.into_iter().map(|row| Item {
            record: Box::new(row.record),
            seq: chunk.seq,
            ended: row.age.map(|age| now - age.duration()),
            unsure: row.unsure,
            confirmation: Confirmation::None,
            retracted: None,
        });
        let first = replica.items.len();
        replica.items.extend(rows);
        let added = replica.items[first..].iter().map(|item| item.record.size());
        replica.bytes += added.sum::<usize>();
        replica
            .tombstones
            .extend(chunk.tombstones.iter().map(|tombstone| TimedTombstone {
                hash: tombstone.hash,
                since: now - tombstone.age.duration(),
            }));
        self.next += 1;
    }
}

/// The copy that a chunk belongs to.
fn source(chunk: &Chunk) -> Source {
    Source {
        from: chunk.from.clone(),
        life: chunk.life,
        copy: Some(chunk.copy),
    }
}

impl Source {
    /// Whether this copy was started after the other, or is the same. Copies of different
    /// processes cannot be ordered; the one that arrives later counts as newer.
    fn follows(&self, other: &Self) -> bool {
        let same = (&self.from, self.life) == (&other.from, other.life);
        same && self.copy >= other.copy
    }
}

fn split(now: Time, replica: &Replica, source: &Source) -> Vec<Chunk> {
    let age = |since: Time| Millis::from(now.since(since));
    let empty = |index: usize| Chunk {
        slot: replica.slot,
        from: source.from.clone(),
        life: source.life,
        epoch: replica.epoch,
        copy: source.copy.unwrap_or_default(),
        index: u32::try_from(index).unwrap_or(u32::MAX),
        last: false,
        seq: replica.seq,
        cold: replica.cold,
        cold_age: replica.cold_since.map(age),
        doubt: replica.doubt.map(|doubt| Unsure {
            before: doubt.before,
            age: age(doubt.since),
        }),
        rows: Vec::new(),
        tombstones: Vec::new(),
    };
    let mut chunks = vec![empty(0)];
    let mut bytes = 0;
    for item in &replica.items {
        if bytes > 0 && bytes + item.record.size() > MAX_CHUNK_BYTES {
            chunks.push(empty(chunks.len()));
            bytes = 0;
        }
        bytes += item.record.size();
        let row = Row {
            record: (*item.record).clone(),
            age: item.ended.map(age),
            unsure: item.unsure,
        };
        let last = chunks.len() - 1;
        chunks[last].rows.push(row);
    }
    for tombstones in replica.tombstones.chunks(MAX_TOMBSTONES_PER_CHUNK) {
        let mut chunk = empty(chunks.len());
        let tombstones = tombstones.iter().map(|mark| Tombstone {
            hash: mark.hash,
            age: age(mark.since),
        });
        chunk.tombstones.extend(tombstones);
        chunks.push(chunk);
    }
    let last = chunks.len() - 1;
    chunks[last].last = true;
    chunks
}
