//! Tells one's own stall from the death of others.
//!
//! Silence looks the same whether a peer died or its listener stood still or
//! was cut off. Before a missed heartbeat leads to something that cannot be
//! undone, [`Monitor::judge`] asks what this instance can show for itself: its
//! control ticks came on time, and it heard from somebody after the peer went
//! overdue.

use std::time::Duration;

use crate::clock::Time;

/// What an overdue peer's silence means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The peer is dead.
    Dead,
    /// This instance stalled or is cut off; the silence says nothing.
    Own,
    /// The peer is not overdue.
    Wait,
}

/// Limits of the watch.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time between control ticks.
    pub tick: Duration,
    /// Lateness of a tick that counts as a stall; below it lies the noise of
    /// a busy machine.
    pub lag: Duration,
    /// Silence after which a peer is overdue; at least two heartbeats and a half.
    pub timeout: Duration,
    /// Time after a stall in which peers may be heard again, at least two
    /// heartbeats.
    pub settle: Duration,
    /// Longest time that total silence puts a verdict off: a whole fleet that
    /// died is told from one's own cut by nothing but this.
    pub grace: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(200),
            lag: Duration::from_millis(600),
            timeout: Duration::from_secs(3),
            settle: Duration::from_secs(2),
            grace: Duration::from_secs(30),
        }
    }
}

/// What this instance knows about itself.
#[derive(Debug)]
pub struct Monitor {
    settings: Settings,
    /// The last control tick.
    ticked: Time,
    /// End of the last stall or cut.
    stalled: Option<Time>,
    /// Last time that anybody was heard.
    heard: Time,
}

impl Monitor {
    /// A watch that begins now.
    #[must_use]
    pub fn new(now: Time, settings: Settings) -> Self {
        Self {
            settings,
            ticked: now,
            stalled: None,
            heard: now,
        }
    }

    /// Notes a control tick; true if it came so late that this instance stalled.
    pub fn tick(&mut self, now: Time) -> bool {
        let gap = now.since(self.ticked);
        self.ticked = now;
        let late = gap >= self.settings.tick + self.settings.lag;
        if late {
            self.stalled = Some(now);
        }
        late
    }

    /// Notes that somebody was heard: a peer's message, not one's own timer. The
    /// first message after a long silence ends a cut, which is like a stall:
    /// the others need a moment to be heard again.
    pub fn record_message(&mut self, now: Time) {
        if now.since(self.heard) >= self.settings.timeout / 2 {
            self.stalled = Some(now);
        }
        self.heard = self.heard.max(now);
    }

    /// Judges a peer that was last heard at `last`, among `tracked` peers.
    /// Call [`tick`](Self::tick) first, so that a stall is seen before its
    /// consequences.
    #[must_use]
    pub fn judge(&self, now: Time, last: Time, tracked: usize) -> Verdict {
        let due = last + self.settings.timeout;
        if now < due {
            return Verdict::Wait;
        }
        if now.since(due) >= self.settings.grace {
            return Verdict::Dead;
        }
        // After a stall, what peers sent meanwhile is read first.
        let settling = self
            .stalled
            .is_some_and(|end| last < end && now.since(end) < self.settings.settle);
        // Half the timeout holds a heartbeat of each living peer, so a single
        // death is found as fast as by a plain timeout.
        let silent = tracked >= 2 && self.heard + self.settings.timeout / 2 < due;
        if settling || silent {
            return Verdict::Own;
        }
        Verdict::Dead
    }
}
