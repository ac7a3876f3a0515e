//! Distinguishes a stall of this instance from the death of others.
//!
//! A missing heartbeat looks the same whether the peer died, or this instance stalled or was cut
//! off from the network. Before a missed heartbeat leads to something irreversible,
//! [`Monitor::judge`] checks the evidence about this instance: its control ticks came on time,
//! and it received a message from some peer after this one went overdue.

use std::time::Duration;

use crate::clock::Time;

/// What an overdue peer's silence means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The peer is dead.
    Dead,
    /// This instance stalled or is cut off; the silence is no evidence.
    Own,
    /// The peer is not overdue.
    Wait,
}

/// Limits of the monitor.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Interval of the control ticks.
    pub tick: Duration,
    /// Lateness of a tick that counts as a stall; it has to be above the scheduling noise of a
    /// busy machine.
    pub lag: Duration,
    /// Silence after which a peer is overdue; at least two and a half heartbeat intervals.
    pub timeout: Duration,
    /// Time after a stall that peers have to report again; at least two heartbeat intervals.
    pub settle: Duration,
    /// Upper bound on the time for which total silence delays a verdict: nothing else
    /// distinguishes the death of the whole fleet from a network cut of this instance.
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

/// What this instance knows about its own health.
#[derive(Debug)]
pub struct Monitor {
    settings: Settings,
    /// Time of the last control tick.
    last_tick: Time,
    /// End of the last stall or network cut.
    stall_ended: Option<Time>,
    /// When the last message from any peer arrived.
    last_message: Time,
}

impl Monitor {
    /// Creates a monitor that starts now.
    #[must_use]
    pub fn new(now: Time, settings: Settings) -> Self {
        Self {
            settings,
            last_tick: now,
            stall_ended: None,
            last_message: now,
        }
    }

    /// Records a control tick; true if it came so late that this instance stalled.
    pub fn tick(&mut self, now: Time) -> bool {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        let late = gap >= self.settings.tick + self.settings.lag;
        if late {
            self.stall_ended = Some(now);
        }
        late
    }

    /// Records a message from a peer, as opposed to a local timer. The first message after a long
    /// silence ends a network cut, which is treated like a stall: the other peers need a moment
    /// to be heard again.
    pub fn record_message(&mut self, now: Time) {
        if now.since(self.last_message) >= self.settings.timeout / 2 {
            self.stall_ended = Some(now);
        }
        self.last_message = self.last_message.max(now);
    }

    /// Judges a peer that was last heard from at `last_seen`, among `tracked` peers. Call
    /// [`tick`](Self::tick) first, so that a stall is detected before its consequences are
    /// judged.
    #[must_use]
    pub fn judge(&self, now: Time, last_seen: Time, tracked: usize) -> Verdict {
        let due = last_seen + self.settings.timeout;
        if now < due {
            return Verdict::Wait;
        }
        if now.since(due) >= self.settings.grace {
            return Verdict::Dead;
        }
        // After a stall, messages that peers sent meanwhile have to be read first.
        let settling = self
            .stall_ended
            .is_some_and(|end| last_seen < end && now.since(end) < self.settings.settle);
        // Half the timeout contains a heartbeat of each live peer, so a single death is detected
        // as fast as by a plain timeout.
        let silent = tracked >= 2 && self.last_message + self.settings.timeout / 2 < due;
        if settling || silent {
            return Verdict::Own;
        }
        Verdict::Dead
    }
}
