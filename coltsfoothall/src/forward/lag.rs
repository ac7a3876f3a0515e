//! How long an instance has known that it lacks the newest configuration.

use std::time::Duration;

use crate::clock::Time;

/// Versions that are remembered with the time at which each was heard of.
const REMEMBERED: usize = 32;
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
    pub fn hear(&mut self, now: Time, version: u64) {
        let full = self.heard.len() == REMEMBERED;
        match self.heard.last_mut() {
            Some(last) if last.version >= version => {}
            Some(last) if full => last.version = version,
            Some(_) | None => self.heard.push(Heard { version, at: now }),
        }
    }

    /// A version is in force. Returns how long it, or one before it, had been known to exist.
    pub fn reach(&mut self, now: Time, version: u64) -> Option<Duration> {
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

    /// The newest version known to exist, and the age of the lag, once it is overdue; told once
    /// until the instance has caught up.
    pub fn overdue(&mut self, now: Time) -> Option<(u64, Duration)> {
        let age = self.age(now).filter(|age| *age > OVERDUE)?;
        let newest = self.heard.last()?.version;
        let first = !std::mem::replace(&mut self.reported, true);
        first.then_some((newest, age))
    }
}
