//! A planned stop: when it does what, and which requests it still takes.
//!
//! All its moments count from the signal, since the platform's kill does. A request that is
//! taken is a promise, so one that is not expected to end before the process does goes to
//! another instance at once, while its caller has most of its time left.

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
    /// When connections without a request are closed, and no new ones taken: nobody can
    /// then still hold an answer that names this instance.
    pub closes: Time,
    /// When what is still under way is cut.
    pub cuts: Time,
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

    /// Whether a request that may take so long from now ends before it would be cut.
    #[must_use]
    pub fn allows(&self, now: Time, longest: Duration) -> bool {
        now + longest <= self.cuts
    }
}
