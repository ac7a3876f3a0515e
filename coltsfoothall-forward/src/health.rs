//! Whether the store answers, as seen from calls whose answers are due at once.
//!
//! A watch waits for up to half a minute, so one that was lost in a silence of the store
//! looks like one that waits. Renewals of this instance's registration are answered at
//! once; when one is answered after others were not, watches are sent again.

use std::cell::Cell;
use std::time::Duration;

use coltsfoothall::clock::Time;
use tokio::sync::Notify;

/// Time for which failing renewals stand for all calls: two of them are made in it.
const MAX_RECOVERY_WAIT: Duration = Duration::from_secs(2);

/// What is known of the store's answers.
#[derive(Debug, Default)]
pub struct Health {
    /// When the first call was made that got no answer since the last one that did.
    failing_since: Cell<Option<Time>>,
    notify: Notify,
}

impl Health {
    /// A call that was made then got no answer, or was turned away.
    pub fn record_failure(&self, asked: Time) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(asked));
        }
    }

    /// A call was answered; returns how long the store was away, if it was.
    pub fn record_answer(&self, now: Time) -> Option<Duration> {
        let since = self.failing_since.take()?;
        self.notify.notify_waiters();
        Some(now.since(since))
    }

    /// Waits before a call that failed is made again: while renewals fail too, they alone find
    /// out when the store is back.
    pub async fn wait_to_retry(&self, delay: Duration) {
        tokio::time::sleep(delay).await;
        if self.failing_since.get().is_some() {
            // The call itself is the test if a renewal has not answered by then.
            let _elapsed = tokio::time::timeout(MAX_RECOVERY_WAIT, self.recovered()).await;
        }
    }

    /// Waits until the store answers again after it was away.
    pub async fn recovered(&self) {
        self.notify.notified().await;
    }
}
