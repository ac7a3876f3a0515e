//! Which revision is in force on an entry instance. It only rises.
//!
//! Values come from the key-value service or from peers. An older one is
//! refused and counted, whoever sends it. While an instance cannot know
//! whether it is current, it goes on with the newest that it has seen and
//! says for how long it has not known: to stop instead would break accepted
//! requests over an outage that the brief expects, and to fall back would
//! revert an accepted configuration. An instance that has seen none yet is
//! not ready and must take no requests.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{Catalog, Revision};
use crate::clock::Time;
use crate::id;
use crate::rule;

/// Earlier revisions kept to show what changed since; it bounds their memory.
pub const MAX_PREVIOUS: usize = 4;

/// Who sent a value or vouches for a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The key-value service.
    Store,
    /// A peer that was itself sure of its revision so long ago.
    Peer {
        /// The peer.
        id: id::Instance,
        /// Time since the peer knew that its revision was current; none if it never did.
        age: Option<Duration>,
    },
}

/// What became of an offered value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force from now on.
    Adopted {
        /// The revision before.
        from: Revision,
        /// The revision now.
        to: Revision,
    },
    /// It is in force already.
    Same,
    /// It is older than what is in force, and was refused.
    Older {
        /// Its revision.
        offered: Revision,
        /// The revision that stays in force.
        current: Revision,
    },
    /// It has the revision in force but another plan, and was refused; the
    /// key-value service has lost an accepted write.
    Fork {
        /// The revision.
        revision: Revision,
    },
    /// It breaks a rule, and was refused.
    Bad(rule::Error),
}

/// What to do about a revision that a peer named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Fetch the value: it is newer.
    Fetch,
    /// Send ours: the peer's is older.
    Send,
    /// Nothing.
    None,
}

/// How sure an instance is of its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No configuration was seen yet: not ready.
    Empty,
    /// It was current so long ago.
    Confirmed {
        /// Time since the key-value service, or a peer that heard it, confirmed it.
        age: Duration,
    },
    /// It was never confirmed since the start: taken from peers in an outage.
    Unconfirmed,
    /// A newer revision was named but its value has not come yet.
    Behind {
        /// That revision.
        newest: Revision,
    },
}

/// The configuration in force on one instance.
#[derive(Debug, Default)]
pub struct Config {
    current: Option<Arc<Catalog>>,
    previous: Vec<Arc<Catalog>>,
    newest: Revision,
    confirmed: Option<Time>,
    older: u64,
    forks: u64,
}

impl Config {
    /// No configuration yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force; none before the first.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Catalog>> {
        self.current.as_ref()
    }

    /// The revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let current = self.current.as_ref();
        current.map_or(Revision::default(), |current| current.revision)
    }

    /// A configuration that is or was in force here, if it is still kept.
    #[must_use]
    pub fn at(&self, revision: Revision) -> Option<&Arc<Catalog>> {
        let mut kept = self.previous.iter().chain(&self.current);
        kept.find(|catalog| catalog.revision == revision)
    }

    /// Older values that were refused.
    #[must_use]
    pub fn older(&self) -> u64 {
        self.older
    }

    /// Values of the revision in force with another plan; anything but 0 means
    /// that the key-value service lost an accepted write.
    #[must_use]
    pub fn forks(&self) -> u64 {
        self.forks
    }

    /// Takes a value if it is newer than what is in force.
    pub fn offer(&mut self, source: &Source, offered: Arc<Catalog>, now: Time) -> Outcome {
        let Some(current) = self.current.clone() else {
            return self.adopt(source, offered, now);
        };
        if offered.revision > current.revision {
            return self.adopt(source, offered, now);
        }
        if offered.revision < current.revision {
            self.older += 1;
            return Outcome::Older {
                offered: offered.revision,
                current: current.revision,
            };
        }
        if offered.plan != current.plan {
            self.forks += 1;
            return Outcome::Fork {
                revision: current.revision,
            };
        }
        self.confirm(source, now);
        Outcome::Same
    }

    /// Weighs a revision that a peer named, for instance in a heartbeat.
    pub fn merge_revision(&mut self, source: &Source, revision: Revision, now: Time) -> Need {
        self.newest = self.newest.max(revision);
        let current = self.revision();
        if revision > current || self.current.is_none() && revision == current && vouched(source) {
            return Need::Fetch;
        }
        if revision < current {
            return Need::Send;
        }
        if self.current.is_some() {
            self.confirm(source, now);
        }
        Need::None
    }

    /// How sure this instance is of its revision.
    #[must_use]
    pub fn standing(&self, now: Time) -> Standing {
        if self.current.is_none() {
            return Standing::Empty;
        }
        if self.newest > self.revision() {
            return Standing::Behind {
                newest: self.newest,
            };
        }
        match self.confirmed {
            Some(at) => Standing::Confirmed { age: now.since(at) },
            None => Standing::Unconfirmed,
        }
    }

    /// Time since the revision in force was known to be current, for peers.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    fn adopt(&mut self, source: &Source, offered: Arc<Catalog>, now: Time) -> Outcome {
        if let Err(error) = offered.check() {
            return Outcome::Bad(error);
        }
        let (from, to) = (self.revision(), offered.revision);
        if let Some(old) = self.current.replace(offered) {
            self.previous.push(old);
        }
        let extra = self.previous.len().saturating_sub(MAX_PREVIOUS);
        self.previous.drain(..extra);
        self.newest = self.newest.max(to);
        // What was known of the revision before says nothing of this one.
        self.confirmed = None;
        self.confirm(source, now);
        Outcome::Adopted { from, to }
    }

    fn confirm(&mut self, source: &Source, now: Time) {
        let at = match source {
            Source::Store => Some(now),
            Source::Peer { age, .. } => age.map(|age| now - age),
        };
        self.confirmed = self.confirmed.max(at);
    }
}

/// Whether the key-value service confirmed the source's revision at any time.
fn vouched(source: &Source) -> bool {
    match source {
        Source::Store => true,
        Source::Peer { age, .. } => age.is_some(),
    }
}

/// Instances on which a revision, or a later one, is in force.
#[must_use]
pub fn in_force(revision: Revision, instances: &[Revision]) -> usize {
    instances
        .iter()
        .filter(|current| **current >= revision)
        .count()
}
