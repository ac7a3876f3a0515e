//! Rate limits of the platform's services, over a sliding second.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::size::Rate;

/// Span over which calls are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Calls admitted within the last second, at most [`Rate`] of them.
#[derive(Debug)]
pub struct Window {
    limit: Rate,
    admitted: VecDeque<Time>,
}

impl Window {
    /// A window with no call in it.
    #[must_use]
    pub fn new(limit: Rate) -> Self {
        Self {
            limit,
            admitted: VecDeque::new(),
        }
    }

    /// Admits a call, or says that it is over the limit.
    pub fn admit(&mut self, now: Time) -> bool {
        while let Some(oldest) = self.admitted.front()
            && now.since(*oldest) >= SPAN
        {
            self.admitted.pop_front();
        }
        let free = (self.admitted.len() as u64) < self.limit.0;
        if free {
            self.admitted.push_back(now);
        }
        free
    }
}
