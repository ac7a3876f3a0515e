//! A planned stop: when it does what, and which requests it still takes.
//!
//! All its moments count from the signal, as the platform's kill does. A request that is taken
//! is a promise. So one that another instance can take goes there at once, unless its own time
//! limit ends before this process does; with nobody else to take it, it is taken if it is
//! expected to end in time.

use std::time::Duration;

use crate::clock::Time;

/// Times that callers may keep addresses for longer than they were told.
const KEPT_TIMES: u32 = 3;
/// Time before the platform kills the process by which it has ended by itself. An instance
/// with an eighth of a core needs some 0.1 s to write its last answers.
const SPARE: Duration = Duration::from_millis(250);

/// The moments of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the signal was seen.
    pub signalled: Time,
    /// When connections without a request are closed, and no new ones taken: by then callers
    /// were to drop the addresses that name this instance.
    pub closes: Time,
    /// When what is still under way is cut.
    pub cuts: Time,
}

/// How long a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Until its final answer is due.
    pub limit: Duration,
    /// The longest that its like took, if that is known.
    pub longest: Option<Duration>,
    /// Whether another instance takes requests.
    pub elsewhere: bool,
}

impl Need {
    /// The time that must be left for it.
    #[must_use]
    pub fn time(self) -> Duration {
        match self.longest {
            Some(longest) if !self.elsewhere => longest.min(self.limit),
            _ => self.limit,
        }
    }
}

impl Stop {
    /// A stop that the platform ends after `grace`; callers keep addresses for `addresses`.
    #[must_use]
    pub fn new(signalled: Time, grace: Duration, addresses: Duration) -> Self {
        Self {
            signalled,
            closes: signalled + (addresses * KEPT_TIMES).min(grace / 2),
            cuts: signalled + grace.saturating_sub(SPARE),
        }
    }

    /// Whether a request ends before it would be cut.
    #[must_use]
    pub fn allows(&self, now: Time, need: Need) -> bool {
        now + need.time() <= self.cuts
    }
}
