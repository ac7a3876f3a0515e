//! Whole copies of slots, for new backups and new owners.
//!
//! The owner cuts the slot as it is into pieces and sends the changes after
//! them as updates. The copy counts once it is whole; the table may name it
//! only then.

use crate::clock::Time;
use crate::id;
use crate::key::Slot;
use crate::ledger::Ledger;
use crate::replica::{
    Broken, Chunk, Copying, Doubt, Holder, Item, Link, Replica, Role, Row, Seq, Source, Taken,
    TimedTombstone, Tombstone, Unsure, Update, Whole, Word,
};
use crate::size::Millis;
use crate::slot::Process;

/// Bytes of records in a piece, beyond the first record; it keeps a copy from
/// blocking the connection for requests.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Tombstones in a piece, for the same reason.
pub const MAX_TOMBSTONES_PER_CHUNK: usize = 4096;

/// A copy that is on its way here.
#[derive(Debug)]
pub(crate) struct Arrival {
    source: Source,
    next: u32,
    replica: Replica,
}

impl Ledger {
    /// Cuts a slot into pieces for a copy at `to`. An earlier copy that the
    /// table does not name yet is given up. None unless the slot is owned here
    /// and no write of its entry is under way.
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
        let Role::Primary(owner) = &mut replica.role else {
            return None;
        };
        owner.learner = None;
        owner.copying = Some(Copying {
            peer: to.clone(),
            copy,
            seq: replica.seq,
        });
        let renewed = owner.backup.as_ref().is_some_and(|link| link.peer == *to);
        owner.release(replica.seq);
        if renewed {
            // The backup that is gone may have sealed its copy and worked on alone.
            replica.doubt(now, replica.epoch.next());
        }
        let chunks = cut(now, replica, &source);
        self.awaited |= renewed;
        Some(chunks)
    }

    /// Gives up a copy that the table does not name, unless a write that names
    /// it is under way; false then.
    pub fn give_up(&mut self, slot: Slot) -> bool {
        if self.proposals.iter().any(|proposal| proposal.slot == slot) {
            return false;
        }
        if let Some(replica) = self.replica_mut(slot)
            && let Role::Primary(owner) = &mut replica.role
        {
            owner.copying = None;
            owner.learner = None;
            owner.release(replica.seq);
        }
        true
    }

    /// Who holds a copy that the table does not name; what leaves waits for it.
    #[must_use]
    pub fn learner(&self, slot: Slot) -> Option<&id::Instance> {
        match &self.replica(slot)?.role {
            Role::Primary(owner) => owner.learner.as_ref().map(|link| &link.peer),
            Role::Backup { .. } | Role::Learner { .. } => None,
        }
    }

    /// Notes that the copy at `to` is whole. From now on it has to hold what leaves. The updates are those that it still lacks; none means
    /// that the copy was given up or has fallen too far behind.
    ///
    /// # Errors
    /// The peer holds what was never sent.
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
        let Role::Primary(owner) = &mut replica.role else {
            return Ok(None);
        };
        let Some(copying) = owner
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
        let missing: Vec<_> = owner.since(link.acked).cloned().collect();
        if missing.len() as u64 != replica.seq.0 - link.acked.0 {
            return Ok(None);
        }
        let backup = owner.backup.as_ref().filter(|backup| backup.peer == *to);
        // The process that held the backup is gone. It may have taken the slot over without
        // this owner's knowledge, and what its successor holds does not tell.
        owner.contested |= backup.is_some_and(|backup| backup.holder.life != life);
        owner.learner = Some(link);
        owner.release(replica.seq);
        Ok(Some(missing))
    }

    /// The process of `peer` that holds a copy of an owned slot, to be named in the table.
    #[must_use]
    pub fn process(&self, slot: Slot, peer: &id::Instance) -> Option<Process> {
        let Role::Primary(owner) = &self.replica(slot)?.role else {
            return None;
        };
        let link = owner.links().find(|link| link.peer == *peer)?;
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
        let Role::Primary(owner) = &replica.role else {
            return false;
        };
        let mut links = owner.learner.iter().filter(|link| link.peer == *to);
        links.any(|link| link.acked >= owner.released)
    }

    /// Takes in a piece of a copy.
    pub fn import(&mut self, now: Time, chunk: Chunk) -> Taken {
        let slot = chunk.slot;
        let known = self.epochs.get(usize::from(slot.0));
        if let Some(epoch) = known.filter(|epoch| **epoch > chunk.epoch) {
            // A copy of it would acknowledge what another owner does not know.
            return Taken::Sealed(*epoch);
        }
        if let Some(refused) = self.replica(slot).and_then(|replica| replica.bars(&chunk)) {
            return refused;
        }
        let at = self
            .arrivals
            .binary_search_by_key(&slot, |arrival| arrival.replica.slot);
        let at = match at {
            Ok(at) if self.arrivals[at].serves(&chunk) => at,
            Ok(at) if chunk.index == 0 && self.arrivals[at].older(&chunk) => {
                self.arrivals[at] = Arrival::new(now, &chunk);
                at
            }
            Ok(_) => return Taken::More(0),
            Err(at) if chunk.index == 0 => {
                self.arrivals.insert(at, Arrival::new(now, &chunk));
                at
            }
            Err(_) => return Taken::More(0),
        };
        let arrival = &mut self.arrivals[at];
        let (last, copy) = (chunk.last, chunk.copy);
        if chunk.index == arrival.next {
            arrival.take(now, chunk);
        }
        if !last || arrival.next == 0 {
            return Taken::More(arrival.next);
        }
        let replica = self.arrivals.remove(at).replica;
        let life = self.settings.life;
        let seq = self.settle(replica);
        Taken::Whole(Whole { copy, seq, life })
    }

    /// Puts a whole copy in its place. A backup stays one: the new copy holds
    /// at least what the old one held.
    fn settle(&mut self, mut replica: Replica) -> Seq {
        let seq = replica.seq;
        match self
            .replicas
            .binary_search_by_key(&replica.slot, |r| r.slot)
        {
            Ok(at) => {
                let have = &mut self.replicas[at];
                if have.epoch == replica.epoch {
                    if have.keeps(&replica) {
                        return have.seq;
                    }
                    if matches!(have.role, Role::Backup { .. }) {
                        replica.role = have.role.clone();
                    }
                }
                self.replicas[at] = replica;
            }
            Err(at) => self.replicas.insert(at, replica),
        }
        seq
    }
}

impl Replica {
    /// Whether this copy stays although another of its epoch has come: that one is older,
    /// or changes have overtaken it. The sender means the new one from then on.
    fn keeps(&mut self, other: &Self) -> bool {
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

    /// What a piece is told if it must not replace this copy. An owner of an
    /// older epoch waits for the table first, so that it stops its work.
    fn bars(&self, chunk: &Chunk) -> Option<Taken> {
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

impl Arrival {
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
        replica.young = replica.cold_since.is_some();
        Self {
            source,
            next: 0,
            replica,
        }
    }

    fn serves(&self, chunk: &Chunk) -> bool {
        self.replica.epoch == chunk.epoch && self.source == source(chunk)
    }

    fn older(&self, chunk: &Chunk) -> bool {
        let begun = (self.replica.epoch, &self.source);
        let new = source(chunk);
        begun.0 < chunk.epoch || begun.0 == chunk.epoch && !begun.1.follows(&new)
    }

    fn take(&mut self, now: Time, chunk: Chunk) {
        let replica = &mut self.replica;
        let rows = chunk.rows.into_iter().map(|row| Item {
            record: Box::new(row.record),
            seq: chunk.seq,
            ended: row.age.map(|age| now - age.duration()),
            unsure: row.unsure,
            word: Word::None,
            denied: None,
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

/// Which copy a piece is of.
fn source(chunk: &Chunk) -> Source {
    Source {
        from: chunk.from.clone(),
        life: chunk.life,
        copy: Some(chunk.copy),
    }
}

impl Source {
    /// Whether this copy was begun after the other, or is the same. Copies of different
    /// processes cannot be told apart so; the one that comes later is the newer.
    fn follows(&self, other: &Self) -> bool {
        let same = (&self.from, self.life) == (&other.from, other.life);
        same && self.copy >= other.copy
    }
}

fn cut(now: Time, replica: &Replica, source: &Source) -> Vec<Chunk> {
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
