//! Counts calls to the store by kind. Every call is billed, rejected ones included.

use std::cell::Cell;
use std::fmt;

use crate::adapter::Keyspace;

/// A kind of call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Reads all values of a keyspace.
    List(Keyspace),
    /// Waits for changes of a keyspace.
    Watch(Keyspace),
    /// Writes values.
    Write,
    /// Obtains or revokes a lease.
    Lease,
    /// Renews a lease.
    Renew,
}

/// Names of the kinds in the log, in the order of [`Call::index`].
const NAMES: [&str; 13] = [
    "list_configuration",
    "list_endpoints",
    "list_live",
    "list_notes",
    "list_versions",
    "watch_configuration",
    "watch_endpoints",
    "watch_live",
    "watch_notes",
    "watch_versions",
    "write",
    "lease",
    "renew",
];

impl Call {
    fn index(self) -> usize {
        match self {
            Self::List(keyspace) => keyspace_index(keyspace),
            Self::Watch(keyspace) => 5 + keyspace_index(keyspace),
            Self::Write => 10,
            Self::Lease => 11,
            Self::Renew => 12,
        }
    }
}

fn keyspace_index(keyspace: Keyspace) -> usize {
    match keyspace {
        Keyspace::Configuration => 0,
        Keyspace::Endpoints => 1,
        Keyspace::Live => 2,
        Keyspace::Notes => 3,
        Keyspace::Versions => 4,
    }
}

/// Number of calls since the start of the process, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    counts: [Cell<u64>; NAMES.len()],
}

impl Calls {
    /// Counts a call.
    pub fn count(&self, call: Call) {
        let count = &self.counts[call.index()];
        count.set(count.get() + 1);
    }
}

impl fmt::Display for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let by_kind = NAMES.iter().zip(&self.counts);
        for (index, (name, count)) in by_kind.filter(|(_, count)| count.get() > 0).enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{name}:{}", count.get())?;
        }
        Ok(())
    }
}
