//! Whether the store responds, judged by calls that it answers immediately.
//!
//! A watch may wait for up to half a minute, so one that the store has lost looks like one that is
//! waiting. Renewals of this instance's registration are answered immediately; when one succeeds
//! after others have failed, watches are sent again.

use std::cell::Cell;
use std::time::Duration;

use coltsfoothall::clock::Time;
use tokio::sync::Notify;

/// How long a failed call waits for a renewal to succeed before it is retried anyway: long enough
/// for two renewals.
const MAX_RECOVERY_WAIT: Duration = Duration::from_secs(2);

/// Outcome of recent calls to the store.
#[derive(Debug, Default)]
pub struct Health {
    /// When the first of the calls was made that have failed since the last success.
    failing_since: Cell<Option<Time>>,
    notify: Notify,
}

impl Health {
    /// Records that a call made at `called_at` got no response or was rejected.
    pub fn record_failure(&self, called_at: Time) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(called_at));
        }
    }

    /// Records that a call was answered. Returns how long the store was unavailable, if it was.
    pub fn record_answer(&self, now: Time) -> Option<Duration> {
        let since = self.failing_since.take()?;
        self.notify.notify_waiters();
        Some(now.since(since))
    }

    /// Waits before a failed call is retried. While renewals fail too, only they probe whether the
    /// store is available again.
    pub async fn wait_to_retry(&self, delay: Duration) {
        tokio::time::sleep(delay).await;
        if self.failing_since.get().is_some() {
            // If no renewal has succeeded by then, the call itself is the probe.
            let _elapsed = tokio::time::timeout(MAX_RECOVERY_WAIT, self.recovered()).await;
        }
    }

    /// Waits until the store responds again after an outage.
    pub async fn recovered(&self) {
        self.notify.notified().await;
    }
}
