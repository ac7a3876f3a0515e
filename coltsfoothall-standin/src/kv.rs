//! State of the key-value service: entries, versions, the revision and leases.
//!
//! A key's versions go on rising after it was removed and made again, so a
//! swap on an old version never succeeds by accident.

use std::time::Duration;

use quick_error::quick_error;

use coltsfoothall::clock::Time;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::limit;
use coltsfoothall_wire::store::{Entry, Lease, List, Put, Version};

/// Most removed keys that are remembered; it bounds what lapsed leases leave behind.
pub const REMOVED: usize = 65_536;
/// Longest life of a lease; it stops a mistyped one from living for ever.
pub const LONGEST: Duration = Duration::from_secs(3600);

quick_error! {
    /// A write that had no effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The key has another version.
        Conflict(current: Option<Entry>) {
            display("the key has version {}", current.as_ref().map_or(0, |entry| entry.version))
        }
        /// There is no such lease, or it has lapsed.
        Lapsed(lease: u64) {
            display("lease {lease} has lapsed")
        }
        /// The value is too large.
        Large(bytes: usize) {
            display("value has {bytes} bytes, at most {} are taken", limit::VALUE)
        }
    }
}

/// A key that is there or was removed.
#[derive(Debug)]
struct Slot {
    entry: Entry,
    lease: Option<u64>,
    removed: bool,
}

impl Slot {
    fn live(&self) -> Option<&Entry> {
        (!self.removed).then_some(&self.entry)
    }

    /// The entry as a watch shows it.
    fn shown(&self) -> Entry {
        let version = if self.removed { 0 } else { self.entry.version };
        Entry {
            version,
            ..self.entry.clone()
        }
    }

    fn remove(&mut self, revision: u64) {
        self.entry.value.clear();
        self.entry.revision = revision;
        self.lease = None;
        self.removed = true;
    }
}

/// A lease that is held.
#[derive(Debug)]
struct Held {
    id: u64,
    ttl: Duration,
    until: Time,
}

impl Held {
    fn lease(&self) -> Lease {
        Lease {
            id: self.id,
            ttl_ms: self.ttl.into(),
        }
    }
}

/// The whole state. Every call lets leases lapse first.
#[derive(Debug, Default)]
pub struct Store {
    /// Sorted by key.
    slots: Vec<Slot>,
    /// Sorted by number, which rises.
    leases: Vec<Held>,
    revision: u64,
    newest: u64,
}

impl Store {
    /// Removes the leases that have lapsed, with their keys.
    pub fn advance(&mut self, now: Time) {
        while let Some(lapsed) = self.leases.iter().position(|held| held.until <= now) {
            self.end(lapsed);
        }
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entry of a key.
    pub fn get(&mut self, now: Time, key: &str) -> Option<Entry> {
        self.advance(now);
        self.current(key).cloned()
    }

    /// Sets a key if it has the version that the caller expects.
    ///
    /// # Errors
    /// The key has another version, the lease has lapsed, or the value is too large.
    pub fn put(&mut self, now: Time, key: &str, put: Put) -> Result<Entry, Error> {
        self.advance(now);
        if put.value.len() > limit::VALUE {
            return Err(Error::Large(put.value.len()));
        }
        self.compare(key, put.version)?;
        if let Some(lease) = put.lease
            && self.held(lease).is_none()
        {
            return Err(Error::Lapsed(lease));
        }
        Ok(self.write(key, put))
    }

    /// Removes a key if it has the version that the caller expects; none for any.
    ///
    /// # Errors
    /// The key has another version.
    pub fn delete(&mut self, now: Time, key: &str, version: Option<Version>) -> Result<(), Error> {
        self.advance(now);
        self.compare(key, version)?;
        if let Ok(at) = self.find(key)
            && !self.slots[at].removed
        {
            self.revision += 1;
            self.slots[at].remove(self.revision);
            self.forget();
        }
        Ok(())
    }

    /// Entries whose keys begin with `prefix`.
    pub fn list(&mut self, now: Time, prefix: &str) -> List {
        self.advance(now);
        let entries = self.under(prefix).filter_map(Slot::live).cloned().collect();
        List {
            entries,
            revision: self.revision,
        }
    }

    /// Entries under `prefix` that changed after a revision, removed ones too.
    pub fn changes(&mut self, now: Time, prefix: &str, after: u64) -> List {
        self.advance(now);
        let entries = self
            .under(prefix)
            .filter(|slot| slot.entry.revision > after)
            .map(Slot::shown)
            .collect();
        List {
            entries,
            revision: self.revision,
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Time, ttl: Millis) -> Lease {
        self.advance(now);
        self.newest += 1;
        let ttl = ttl.duration().min(LONGEST);
        let held = Held {
            id: self.newest,
            ttl,
            until: now + ttl,
        };
        let lease = held.lease();
        self.leases.push(held);
        lease
    }

    /// Lets a lease live on for its whole time from now.
    ///
    /// # Errors
    /// It has lapsed.
    pub fn renew(&mut self, now: Time, id: u64) -> Result<Lease, Error> {
        self.advance(now);
        let at = self.held(id).ok_or(Error::Lapsed(id))?;
        let held = &mut self.leases[at];
        held.until = now + held.ttl;
        Ok(held.lease())
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    /// It has lapsed.
    pub fn revoke(&mut self, now: Time, id: u64) -> Result<(), Error> {
        self.advance(now);
        let at = self.held(id).ok_or(Error::Lapsed(id))?;
        self.end(at);
        Ok(())
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|slot| slot.entry.key.as_str().cmp(key))
    }

    fn held(&self, id: u64) -> Option<usize> {
        self.leases.binary_search_by_key(&id, |held| held.id).ok()
    }

    fn current(&self, key: &str) -> Option<&Entry> {
        self.find(key).ok().and_then(|at| self.slots[at].live())
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Slot> {
        let start = self.find(prefix).unwrap_or_else(|at| at);
        self.slots[start..]
            .iter()
            .take_while(move |slot| slot.entry.key.starts_with(prefix))
    }

    fn compare(&self, key: &str, version: Option<Version>) -> Result<(), Error> {
        let current = self.current(key);
        let found = current.map_or(0, |entry| entry.version);
        match version {
            Some(expected) if expected != found => Err(Error::Conflict(current.cloned())),
            Some(_) | None => Ok(()),
        }
    }

    fn write(&mut self, key: &str, put: Put) -> Entry {
        self.revision += 1;
        let at = self.find(key);
        let last = at.map_or(0, |at| self.slots[at].entry.version);
        let entry = Entry {
            key: key.into(),
            value: put.value,
            version: last + 1,
            revision: self.revision,
        };
        let slot = Slot {
            entry: entry.clone(),
            lease: put.lease,
            removed: false,
        };
        match at {
            Ok(at) => self.slots[at] = slot,
            Err(at) => self.slots.insert(at, slot),
        }
        entry
    }

    /// Ends the lease at a place in the list.
    fn end(&mut self, at: usize) {
        let id = self.leases.remove(at).id;
        for slot in &mut self.slots {
            if slot.lease == Some(id) {
                self.revision += 1;
                slot.remove(self.revision);
            }
        }
        self.forget();
    }

    /// Forgets the keys that were removed longest ago once there are too many.
    fn forget(&mut self) {
        let removed = self.slots.iter().filter(|slot| slot.removed);
        let mut revisions: Vec<u64> = removed.map(|slot| slot.entry.revision).collect();
        if revisions.len() <= REMOVED {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - REMOVED];
        self.slots
            .retain(|slot| !slot.removed || slot.entry.revision >= oldest);
    }
}
