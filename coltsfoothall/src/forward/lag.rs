//! How long an instance has lacked the newest configuration that it knows to exist, and how it
//! catches up.

use std::time::Duration;

use crate::clock::Time;

/// Bounds the versions that are remembered with the time at which each became known.
const MAX_VERSIONS: usize = 32;
/// How long an instance that follows the store waits for the newest configuration from there
/// before it asks a peer. Most instances get it from the store in time, and a peer's answer would
/// compete with the store's for the same link.
const PEER_DELAY: Duration = Duration::from_secs(1);
/// How long an instance may lack a configuration that others have before the lag is reported.
const OVERDUE_THRESHOLD: Duration = Duration::from_secs(2);

/// A version that another instance has in force.
#[derive(Debug, Clone, Copy)]
struct Known {
    version: u64,
    since: Time,
}

/// Versions that are known to exist and are newer than the one in force.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Sorted by version.
    known: Vec<Known>,
    /// Whether the present lag was already reported.
    reported: bool,
}

impl Lag {
    /// Records that another instance has a version in force that is newer than the one here.
    pub fn record_known(&mut self, now: Time, version: u64) {
        let full = self.known.len() == MAX_VERSIONS;
        match self.known.last_mut() {
            Some(last) if last.version >= version => {}
            Some(last) if full => last.version = version,
            Some(_) | None => self.known.push(Known {
                version,
                since: now,
            }),
        }
    }

    /// Records that a version is in force. Returns how long it, or the oldest version that it
    /// supersedes, had been known to exist.
    pub fn record_applied(&mut self, now: Time, version: u64) -> Option<Duration> {
        let reached = self.known.partition_point(|known| known.version <= version);
        let first = self.known.drain(..reached).next()?;
        self.reported &= !self.known.is_empty();
        Some(now.since(first.since))
    }

    /// How long a version newer than the one in force has been known to exist.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.known.first().map(|known| now.since(known.since))
    }

    /// Whether to ask a peer for the newest configuration. `follows_store` is true if a
    /// configuration is in force and the store answered the last call for it.
    #[must_use]
    pub fn should_ask_peer(&self, now: Time, follows_store: bool) -> bool {
        let delay = if follows_store {
            PEER_DELAY
        } else {
            Duration::ZERO
        };
        self.age(now).is_some_and(|age| age >= delay)
    }

    /// The newest version known to exist that is not in force.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.known.last().map(|known| known.version)
    }

    /// The newest version known to exist and the age of the lag, if it is overdue. Returned once
    /// until the instance has caught up.
    pub fn take_overdue(&mut self, now: Time) -> Option<(u64, Duration)> {
        let age = self.age(now).filter(|age| *age > OVERDUE_THRESHOLD)?;
        let newest = self.newest()?;
        let first = !std::mem::replace(&mut self.reported, true);
        first.then_some((newest, age))
    }
}

/// Decides whether to read the store's current value rather than its history.
///
/// A watch delivers every version since the last one that it delivered, each in full. If other
/// instances already have a newer version, reading the current value alone never takes more bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    /// The newest version that the store delivered.
    delivered: u64,
    /// The newest version that was known at the last call of [`Self::should_skip_history`].
    known: u64,
}

impl Backlog {
    /// Records that the store delivered a version.
    pub fn record_delivered(&mut self, version: u64) {
        self.delivered = self.delivered.max(version);
    }

    /// Whether to read the store's current value and skip its history, because a version is known
    /// that the store has not delivered. True once for each such version.
    pub fn should_skip_history(&mut self, known: u64) -> bool {
        let is_behind = known > self.delivered.max(self.known);
        self.known = self.known.max(known);
        is_behind
    }
}
