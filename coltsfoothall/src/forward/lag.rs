//! How long an instance has known that it lacks the newest configuration, and how it catches up.

use std::time::Duration;

use crate::clock::Time;

/// Versions that are remembered with the time at which each was heard of.
const REMEMBERED: usize = 32;
/// Time for which an instance that follows the store waits for the newest configuration from
/// there: most of them get it so, and a peer's answer would share the link with the store's.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time after which a configuration that is known elsewhere counts as overdue here.
const OVERDUE: Duration = Duration::from_secs(2);

/// A version that another instance has in force.
#[derive(Debug, Clone, Copy)]
struct Heard {
    version: u64,
    at: Time,
}

/// Versions known to exist, newer than the one in force.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Sorted by version.
    heard: Vec<Heard>,
    /// Whether the lag was found overdue before.
    reported: bool,
}

impl Lag {
    /// Another instance has a version in force that is newer than the one here.
    pub fn record_known(&mut self, now: Time, version: u64) {
        let full = self.heard.len() == REMEMBERED;
        match self.heard.last_mut() {
            Some(last) if last.version >= version => {}
            Some(last) if full => last.version = version,
            Some(_) | None => self.heard.push(Heard { version, at: now }),
        }
    }

    /// A version is in force. Returns how long it, or one before it, had been known to exist.
    pub fn record_applied(&mut self, now: Time, version: u64) -> Option<Duration> {
        let known = self.heard.partition_point(|heard| heard.version <= version);
        let first = self.heard.drain(..known).next()?;
        self.reported &= !self.heard.is_empty();
        Some(now.since(first.at))
    }

    /// How long a version newer than the one in force has been known to exist.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.heard.first().map(|heard| now.since(heard.at))
    }

    /// Whether to ask a peer for the newest configuration. `waits` if there is one in force and the
    /// store answered the last call for it.
    #[must_use]
    pub fn should_ask_peer(&self, now: Time, waits: bool) -> bool {
        let patience = if waits { PATIENCE } else { Duration::ZERO };
        self.age(now).is_some_and(|age| age >= patience)
    }

    /// The newest version known to exist that is not in force.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.heard.last().map(|heard| heard.version)
    }

    /// The newest version known to exist, and the age of the lag, once it is overdue; told once
    /// until the instance has caught up.
    pub fn take_overdue(&mut self, now: Time) -> Option<(u64, Duration)> {
        let age = self.age(now).filter(|age| *age > OVERDUE)?;
        let newest = self.newest()?;
        let first = !std::mem::replace(&mut self.reported, true);
        first.then_some((newest, age))
    }
}

/// Whether the store's history may hold versions that nobody needs any more.
///
/// A watch brings each version since the last one that it brought, whole. If others have a newer
/// one already, reading the value that stands there now is never more than that.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    /// The newest version that the store brought.
    brought: u64,
    /// The newest version that was known when this was last asked.
    known: u64,
}

impl Backlog {
    /// The store brought a version.
    pub fn record_delivered(&mut self, version: u64) {
        self.brought = self.brought.max(version);
    }

    /// Whether to read the value that stands in the store now, and no history, as a version is
    /// known that the store has not brought. True once for each.
    pub fn grew(&mut self, known: u64) -> bool {
        let grew = known > self.brought.max(self.known);
        self.known = self.known.max(known);
        grew
    }
}
