//! Calls to the store, counted by kind: each is paid for, refused ones too.

use std::cell::Cell;
use std::fmt;

use crate::adapter::Keyspace;

/// A kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A whole realm is read.
    List(Keyspace),
    /// Changes of a realm are waited for.
    Watch(Keyspace),
    /// Values are written.
    Write,
    /// A lease is taken or ended.
    Lease,
    /// A lease is renewed.
    Renew,
}

/// Names of the kinds in the log, in the order of [`Call::index`].
const NAMES: [&str; 11] = [
    "list_configuration",
    "list_endpoints",
    "list_live",
    "list_notes",
    "watch_configuration",
    "watch_endpoints",
    "watch_live",
    "watch_notes",
    "write",
    "lease",
    "renew",
];

impl Call {
    fn index(self) -> usize {
        match self {
            Self::List(keyspace) => keyspace_index(keyspace),
            Self::Watch(keyspace) => 4 + keyspace_index(keyspace),
            Self::Write => 8,
            Self::Lease => 9,
            Self::Renew => 10,
        }
    }
}

fn keyspace_index(keyspace: Keyspace) -> usize {
    match keyspace {
        Keyspace::Configuration => 0,
        Keyspace::Endpoints => 1,
        Keyspace::Live => 2,
        Keyspace::Notes => 3,
    }
}

/// Calls since the start, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    counts: [Cell<u64>; NAMES.len()],
}

impl Calls {
    /// A call is made.
    pub fn count(&self, call: Call) {
        let count = &self.counts[call.index()];
        count.set(count.get() + 1);
    }
}

impl fmt::Display for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let made = NAMES.iter().zip(&self.counts);
        for (index, (name, count)) in made.filter(|(_, count)| count.get() > 0).enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{name}:{}", count.get())?;
        }
        Ok(())
    }
}
