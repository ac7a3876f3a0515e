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
const TRUSTED: Duration = Duration::from_secs(2);

/// What is known of the store's answers.
#[derive(Debug, Default)]
pub struct Health {
    /// When the first call was made that got no answer since the last one that did.
    silent: Cell<Option<Time>>,
    back: Notify,
}

impl Health {
    /// A call that was made then got no answer, or was turned away.
    pub fn failed(&self, asked: Time) {
        if self.silent.get().is_none() {
            self.silent.set(Some(asked));
        }
    }

    /// A call was answered; returns how long the store was away, if it was.
    pub fn answered(&self, now: Time) -> Option<Duration> {
        let since = self.silent.take()?;
        self.back.notify_waiters();
        Some(now.since(since))
    }

    /// Waits before a call that failed is made again: while renewals fail too, they alone find
    /// out when the store is back.
    pub async fn pause(&self, pause: Duration) {
        tokio::time::sleep(pause).await;
        if self.silent.get().is_some() {
            // The call itself is the test if a renewal has not answered by then.
            let _elapsed = tokio::time::timeout(TRUSTED, self.back()).await;
        }
    }

    /// Waits until the store answers again after it was away.
    pub async fn back(&self) {
        self.back.notified().await;
    }
}
