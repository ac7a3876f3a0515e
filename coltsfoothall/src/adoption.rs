//! The configuration revision in force on an entry instance. It never decreases.
//!
//! Configurations come from the key-value service or from peers. An older one is refused
//! and counted, whatever its source. While an instance cannot confirm that its revision is
//! current, it keeps serving with the newest one it has received and reports how long ago
//! that revision was last confirmed. Stopping instead would fail accepted requests during
//! an expected kind of outage, and falling back would revert an accepted configuration. An
//! instance without a configuration is not ready and must not accept requests.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{Catalog, Revision};
use crate::clock::Time;
use crate::id;
use crate::rule;

/// Maximum number of previous revisions that are retained to show what has changed since;
/// it bounds their memory.
pub const MAX_PREVIOUS: usize = 4;

/// The source of a configuration, or of the claim that a revision is current.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The key-value service.
    Store,
    /// A peer.
    Peer {
        /// Name of the peer.
        id: id::Instance,
        /// Time since the peer's revision was confirmed as current; `None` if it never was.
        age: Option<Duration>,
    },
}

/// The result of offering a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is now in force.
    Adopted {
        /// The previous revision.
        from: Revision,
        /// The new revision.
        to: Revision,
    },
    /// It is already in force.
    Same,
    /// It is older than the configuration in force and was refused.
    Older {
        /// Revision of the offered configuration.
        offered: Revision,
        /// Revision that remains in force.
        current: Revision,
    },
    /// It has the revision in force but was written by a different plan, and was refused.
    /// The key-value service has lost an accepted write.
    Fork {
        /// The revision.
        revision: Revision,
    },
    /// It violates a rule and was refused.
    Bad(rule::Error),
}

/// The action required after a peer has reported its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Fetch the peer's configuration: it is newer.
    Fetch,
    /// Send the local configuration: the peer's is older.
    Send,
    /// No action is required.
    None,
}

/// How certain an instance is that its revision is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No configuration has been received yet; the instance is not ready.
    Empty,
    /// The revision has been confirmed as current.
    Confirmed {
        /// Time since the last confirmation by the key-value service, directly or through a
        /// peer.
        age: Duration,
    },
    /// The revision has not been confirmed since the process started: it came from peers
    /// during an outage.
    Unconfirmed,
    /// A newer revision has been reported, but its configuration has not been received yet.
    Behind {
        /// The newer revision.
        newest: Revision,
    },
}

/// The configuration state of one instance.
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
    /// Creates an instance state without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force; `None` before the first one.
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

    /// The current or a previous configuration with this revision, if it is still retained.
    #[must_use]
    pub fn at(&self, revision: Revision) -> Option<&Arc<Catalog>> {
        let mut retained = self.previous.iter().chain(&self.current);
        retained.find(|catalog| catalog.revision == revision)
    }

    /// Number of older configurations that were refused.
    #[must_use]
    pub fn older(&self) -> u64 {
        self.older
    }

    /// Number of configurations received with the revision in force but a different plan.
    /// Any value other than 0 means that the key-value service lost an accepted write.
    #[must_use]
    pub fn forks(&self) -> u64 {
        self.forks
    }

    /// Adopts a configuration if it is newer than the one in force.
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

    /// Merges a revision reported by a peer, for example in a heartbeat.
    pub fn merge_revision(&mut self, source: &Source, revision: Revision, now: Time) -> Need {
        self.newest = self.newest.max(revision);
        let current = self.revision();
        if revision > current
            || self.current.is_none() && revision == current && was_confirmed(source)
        {
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

    /// How certain this instance is that its revision is current.
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

    /// Time since the revision in force was confirmed as current, as reported to peers.
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
        let excess = self.previous.len().saturating_sub(MAX_PREVIOUS);
        self.previous.drain(..excess);
        self.newest = self.newest.max(to);
        // A confirmation of the previous revision does not apply to this one.
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

/// Whether the key-value service has ever confirmed the source's revision.
fn was_confirmed(source: &Source) -> bool {
    match source {
        Source::Store => true,
        Source::Peer { age, .. } => age.is_some(),
    }
}

/// Number of instances on which this revision or a later one is in force.
#[must_use]
pub fn in_force(revision: Revision, instances: &[Revision]) -> usize {
    instances.iter().filter(|own| **own >= revision).count()
}
