//! Follows a keyspace of the store, one call at a time.

use std::pin::pin;
use std::time::Duration;

use coltsfoothall::batch;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::peer::MAX_HEARTBEATS_PER_BATCH;
use coltsfoothall::forward::poll;
use coltsfoothall_shell::event;

use crate::adapter::{Error, Keyspace, Listing};
use crate::calls::Call;
use crate::state::State;

/// Delay after a failed call, doubled up to [`MAX_RETRY_DELAY`]: rejected calls are billed, and all
/// instances share the rate limit of the store.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after a response from another era than expected.
const ERA_MISMATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest delay after a failed call: the state of the store must be in force two seconds after the
/// store recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// After a longer outage of the store, registrations may have lapsed.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(900);
/// Interval at which a list that fails or does not end is logged.
const UNREAD_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Delay between two reads of registrations, which saves calls while heartbeats change them: a
/// sixth of the time in which leaving endpoints must stop getting requests.
const ENDPOINTS_POLL_DELAY: Duration = Duration::from_millis(350);
/// Delay after a change of the configuration, so that one call returns several changes in quick
/// succession.
const CONFIGURATION_POLL_DELAY: Duration = Duration::from_millis(50);
/// Maximum factor by which that delay grows with the fleet.
const MAX_CONFIGURATION_POLL_FACTOR: u32 = 3;
/// Divisor of the time in which leaving endpoints must stop getting requests. Half of it bounds the
/// delay; the other half is for the next call and for changes from other instances.
const DRAIN_DIVISOR: u32 = 2;

/// The result of a call.
#[derive(Debug)]
pub struct Update {
    /// The values or changes.
    pub listing: Listing,
    /// Whether the listing holds all values of the keyspace.
    pub complete: bool,
}

/// Progress in following a keyspace.
#[derive(Debug)]
pub struct Follower {
    keyspace: Keyspace,
    /// When the first of the calls was made that have failed since the last success.
    failing_since: Option<Time>,
    /// Number of calls that have failed since then.
    failures: u32,
    /// When a list that fails was last logged.
    logged_at: Time,
    /// Position of the last known change; none before a complete list was read.
    position: Option<Position>,
    retry_delay: Duration,
}

impl Follower {
    /// A follower that resumes from a position up to which all changes are known, if any.
    #[must_use]
    pub fn new(keyspace: Keyspace, position: Option<Position>) -> Self {
        Self {
            keyspace,
            failing_since: None,
            failures: 0,
            logged_at: Time::START,
            position,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// The position up to which all changes are known.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Makes the next call read the current values instead of the history.
    pub fn reset(&mut self) {
        self.position = None;
    }

    /// Makes one call. Returns its result, if it succeeded.
    pub async fn tick(&mut self, state: &State) -> Option<Update> {
        let keyspace = self.keyspace;
        let called_at = state.now();
        let replaced = |after: &mut Position| Some(after.era) < state.era();
        if self.position.take_if(replaced).is_some() {
            event::STORE.emit(format_args!("realm={keyspace:?} state=history_replaced"));
        }
        let call = async {
            match self.position {
                None => {
                    state.calls.count(Call::List(keyspace));
                    log_pending(keyspace, state.adapter.list(keyspace)).await
                }
                Some(after) => {
                    state.calls.count(Call::Watch(keyspace));
                    state.adapter.watch(keyspace, after).await
                }
            }
        };
        let outcome = tokio::select! {
            outcome = call => outcome,
            () = state.health.recovered() => return None,
            () = state.era_changed.notified() => return None,
        };
        state.refresh_era();
        match outcome {
            // The response is from before the store was restored, or from another era than the
            // position of the watch.
            Ok(listing) if !is_current(state, self.position, &listing) => {
                self.position = None;
                tokio::time::sleep(ERA_MISMATCH_DELAY).await;
            }
            Ok(listing) => return Some(self.accept(state, called_at, listing)),
            Err(Error::Dropped(_)) => {
                event::STORE.emit(format_args!("realm={keyspace:?} state=history_dropped"));
                self.position = None;
            }
            Err(error) => {
                if self.failing_since.is_none() {
                    self.failing_since = Some(called_at);
                    event::STORE.emit(format_args!(
                        "realm={keyspace:?} state=lost reason={error:?}"
                    ));
                    self.logged_at = called_at;
                }
                self.failures += 1;
                self.log_failing(state, &error);
                match keyspace {
                    Keyspace::Configuration => state.adoption.store_lost.set(true),
                    Keyspace::Endpoints => {
                        state.registrations_as_of.set(None);
                        state.registrations_lost.set(true);
                    }
                    Keyspace::Live | Keyspace::Notes | Keyspace::Versions => {}
                }
                state.health.wait_to_retry(self.retry_delay).await;
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
        None
    }

    /// Logs at intervals that the keyspace cannot be listed.
    fn log_failing(&mut self, state: &State, error: &Error) {
        let now = state.now();
        let (Some(since), None) = (self.failing_since, self.position) else {
            return;
        };
        if now.since(self.logged_at) < UNREAD_LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        event::STORE_UNREAD.emit(format_args!(
            "realm={:?} state=failing failures={} ms={} reason={error:?}",
            self.keyspace,
            self.failures,
            now.since(since).as_millis()
        ));
    }

    fn accept(&mut self, state: &State, called_at: Time, listing: Listing) -> Update {
        let keyspace = self.keyspace;
        let complete = self.position.is_none();
        self.retry_delay = MIN_RETRY_DELAY;
        self.failures = 0;
        if complete {
            event::STORE.emit(format_args!(
                "realm={keyspace:?} state=listed items={} pages={} ms={}",
                listing.items.len(),
                listing.pages,
                state.now().since(called_at).as_millis()
            ));
        }
        if let Some(since) = self.failing_since.take() {
            let outage = called_at.since(since);
            event::STORE.emit(format_args!(
                "realm={keyspace:?} state=back away_ms={}",
                outage.as_millis()
            ));
            if outage > OUTAGE_THRESHOLD {
                state.store_returned();
            }
        }
        match keyspace {
            Keyspace::Configuration => state.adoption.store_lost.set(false),
            Keyspace::Endpoints => {
                // A list reads its pages one after the other, so it is current as of its start; a
                // watch returns as soon as there is a change.
                state
                    .registrations_as_of
                    .set(Some(if complete { called_at } else { state.now() }));
                state.registrations_lost.set(false);
            }
            Keyspace::Live | Keyspace::Notes | Keyspace::Versions => {}
        }
        self.position = Some(listing.position);
        Update { listing, complete }
    }
}

/// Awaits a list, and logs at intervals that it has not ended.
async fn log_pending<T>(keyspace: Keyspace, list: impl Future<Output = T>) -> T {
    let mut list = pin!(list);
    let mut pending = Duration::ZERO;
    loop {
        if let Ok(outcome) = tokio::time::timeout(UNREAD_LOG_INTERVAL, list.as_mut()).await {
            return outcome;
        }
        pending += UNREAD_LOG_INTERVAL;
        event::STORE_UNREAD.emit(format_args!(
            "realm={keyspace:?} state=pending ms={}",
            pending.as_millis()
        ));
    }
}

/// Whether a listing is of the newest era, and of the era of the position that was watched.
fn is_current(state: &State, position: Option<Position>, listing: &Listing) -> bool {
    let era = listing.position.era;
    Some(era) >= state.era() && position.is_none_or(|position| position.era == era)
}

/// Delay after a change, longer in a large fleet. Meanwhile, other instances report what they read,
/// and every call is billed: a fleet of 64 made 5,900 calls in 76 s.
pub fn poll_delay(state: &State, keyspace: Keyspace) -> Duration {
    let batches = batch::count(state.coverage().members as usize, MAX_HEARTBEATS_PER_BATCH) as u32;
    match keyspace {
        Keyspace::Configuration => {
            CONFIGURATION_POLL_DELAY * batches.min(MAX_CONFIGURATION_POLL_FACTOR)
        }
        // Other instances depend on what this one reads.
        Keyspace::Endpoints if !state.reads_directly() => ENDPOINTS_POLL_DELAY,
        Keyspace::Endpoints => {
            let max_delay = state.settings().bounds.drain.duration() / DRAIN_DIVISOR;
            (ENDPOINTS_POLL_DELAY * batches).min(max_delay.max(ENDPOINTS_POLL_DELAY))
        }
        Keyspace::Live => {
            let rank = state.peers.borrow().rank(state.now());
            poll::Settings::default().of(rank, state.fence().is_some())
        }
        Keyspace::Notes | Keyspace::Versions => Duration::ZERO,
    }
}
