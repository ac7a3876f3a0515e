//! Schedule of a graceful shutdown, and which requests are still accepted during it.
//!
//! All times count from the signal, as does the time after which the platform kills the process.
//! An accepted request must be answered. While other instances accept callers, a request is
//! therefore accepted only if its time limit ends before this process does. If there is no other
//! instance, it is accepted if it is expected to end in time.

use std::time::Duration;

use crate::clock::Time;

/// Factor by which callers may exceed the time for which they may keep addresses.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// Time between the end of the process and the kill by the platform. An instance with an eighth
/// of a core needs some 0.1 s to write its last answers.
const KILL_MARGIN: Duration = Duration::from_millis(250);

/// Schedule of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the signal was received.
    pub signalled: Time,
    /// When idle connections are closed and no new ones are accepted. By then callers should have
    /// dropped the addresses of this instance.
    pub closes: Time,
    /// When requests that still run are cut off.
    pub cuts: Time,
}

/// Time that a request may need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Time until its final answer is due.
    pub limit: Duration,
    /// Longest recent time of a request on the same route, if known.
    pub longest: Option<Duration>,
    /// Whether another instance accepts requests.
    pub elsewhere: bool,
}

impl Need {
    /// Time that must be left before the cut-off for it to be accepted.
    #[must_use]
    pub fn time(self) -> Duration {
        match self.longest {
            Some(longest) if !self.elsewhere => longest.min(self.limit),
            _ => self.limit,
        }
    }
}

impl Stop {
    /// Plans a shutdown. The platform kills the process after `grace`, and callers may keep
    /// addresses for `addresses`.
    #[must_use]
    pub fn new(signalled: Time, grace: Duration, addresses: Duration) -> Self {
        Self {
            signalled,
            closes: signalled + (addresses * ADDRESS_TTL_FACTOR).min(grace / 2),
            cuts: signalled + grace.saturating_sub(KILL_MARGIN),
        }
    }

    /// Whether a request is expected to end before the cut-off.
    #[must_use]
    pub fn allows(&self, now: Time, need: Need) -> bool {
        now + need.time() <= self.cuts
    }
}
