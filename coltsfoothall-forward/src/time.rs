//! The clocks of this process.

use std::time::Duration;

use coltsfoothall::clock::Time;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The runtime's clock, read as time since the process began.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current reading.
    #[must_use]
    pub fn now(self) -> Time {
        Time::since_start(self.start.elapsed())
    }

    /// The runtime's instant that corresponds to a reading.
    #[must_use]
    pub fn instant(self, time: Time) -> Instant {
        self.start + time.since(Time::START)
    }
}

/// Time since the Unix epoch by the wall clock of this machine, which may jump.
#[must_use]
pub fn wall() -> Duration {
    read(ClockId::Realtime)
}

/// Time since the machine booted, including time spent suspended.
///
/// The runtime's clock stops while a machine is suspended; leases keep running.
#[must_use]
pub fn boot() -> Time {
    Time::since_start(read(ClockId::Boottime))
}

fn read(clock: ClockId) -> Duration {
    let now = clock_gettime(clock);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
