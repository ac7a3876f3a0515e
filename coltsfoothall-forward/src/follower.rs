//! Follows one part of the store, one call after the other.

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

/// Wait after a failed call, doubled up to [`MAX_RETRY_DELAY`]: refused calls are paid for, and
/// the store's rate is shared by all instances.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Wait after an answer from another era than was asked for.
const ERA_MISMATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest wait: what the store says must be in force two seconds after it is back.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// A store that was away for so long may have let registrations lapse.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(900);
/// Rest between two readings of endpoints' registrations: a sixth of the time in which
/// leaving endpoints must get no more work, to save calls while heartbeats change them.
const ENDPOINTS_POLL_DELAY: Duration = Duration::from_millis(350);
/// Rest after a change of the configuration, for several in quick succession.
const CONFIGURATION_POLL_DELAY: Duration = Duration::from_millis(50);
/// Most by which that rest grows.
const MAX_CONFIGURATION_POLL_FACTOR: u32 = 3;
/// Part of the time in which leaving endpoints must get no more work that an instance may
/// rest: the call after it and news from others have the other half.
const DRAIN_DIVISOR: u32 = 2;

/// What a call brought.
#[derive(Debug)]
pub struct Update {
    /// Values or changes.
    pub listing: Listing,
    /// Whether they are all values of the realm.
    pub complete: bool,
}

/// Where following one part of the store stands.
#[derive(Debug)]
pub struct Follower {
    keyspace: Keyspace,
    /// When the first call was made that got no answer since the last one that did.
    failing_since: Option<Time>,
    /// The last change that is known; none before a whole list was read.
    position: Option<Position>,
    retry_delay: Duration,
}

impl Follower {
    /// One that goes on from a place up to which all is known; none if nothing is.
    #[must_use]
    pub fn new(keyspace: Keyspace, position: Option<Position>) -> Self {
        Self {
            keyspace,
            failing_since: None,
            position,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// The place up to which all is known.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The next call reads the values that stand there now, and no history.
    pub fn reset(&mut self) {
        self.position = None;
    }

    /// Makes one call; what it brings, if it brings anything.
    pub async fn tick(&mut self, state: &State) -> Option<Update> {
        let keyspace = self.keyspace;
        let asked = state.now();
        let replaced = |after: &mut Position| Some(after.era) < state.era();
        if self.position.take_if(replaced).is_some() {
            event::STORE.emit(format_args!("realm={keyspace:?} state=history_replaced"));
        }
        let call = async {
            match self.position {
                None => {
                    state.calls.count(Call::List(keyspace));
                    state.adapter.list(keyspace).await
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
            // It is from before the store came back, or goes on in a history that it does not
            // begin in.
            Ok(listing) if !is_current(state, self.position, &listing) => {
                self.position = None;
                tokio::time::sleep(ERA_MISMATCH_DELAY).await;
            }
            Ok(listing) => return Some(self.accept(state, asked, listing)),
            Err(Error::Dropped(_)) => {
                event::STORE.emit(format_args!("realm={keyspace:?} state=history_dropped"));
                self.position = None;
            }
            Err(error) => {
                if self.failing_since.is_none() {
                    self.failing_since = Some(asked);
                    event::STORE.emit(format_args!(
                        "realm={keyspace:?} state=lost reason={error:?}"
                    ));
                }
                match keyspace {
                    Keyspace::Configuration => state.adoption.store_lost.set(true),
                    Keyspace::Endpoints => {
                        state.registrations_as_of.set(None);
                        state.registrations_lost.set(true);
                    }
                    Keyspace::Live | Keyspace::Notes => {}
                }
                state.health.wait_to_retry(self.retry_delay).await;
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
        None
    }

    fn accept(&mut self, state: &State, asked: Time, listing: Listing) -> Update {
        let keyspace = self.keyspace;
        let complete = self.position.is_none();
        self.retry_delay = MIN_RETRY_DELAY;
        if let Some(since) = self.failing_since.take() {
            let away = asked.since(since);
            event::STORE.emit(format_args!(
                "realm={keyspace:?} state=back away_ms={}",
                away.as_millis()
            ));
            if away > OUTAGE_THRESHOLD {
                state.store_returned();
            }
        }
        match keyspace {
            Keyspace::Configuration => state.adoption.store_lost.set(false),
            Keyspace::Endpoints => {
                // Pages of a list are read one after the other; a watch is answered at once
                // when there is a change.
                state
                    .registrations_as_of
                    .set(Some(if complete { asked } else { state.now() }));
                state.registrations_lost.set(false);
            }
            Keyspace::Live | Keyspace::Notes => {}
        }
        self.position = Some(listing.position);
        Update { listing, complete }
    }
}

/// Whether a listing is of the newest era, and of the one that it was asked in.
fn is_current(state: &State, position: Option<Position>, listing: &Listing) -> bool {
    let era = listing.position.era;
    Some(era) >= state.era() && position.is_none_or(|position| position.era == era)
}

/// How long an instance rests after a change, longer in a large fleet. What one reads in its
/// rest the others have told it, and each call is paid for: a fleet of 64 made 5,900 in 76 s.
pub fn poll_delay(state: &State, keyspace: Keyspace) -> Duration {
    let turns = batch::count(state.reach().members as usize, MAX_HEARTBEATS_PER_BATCH) as u32;
    match keyspace {
        Keyspace::Configuration => {
            CONFIGURATION_POLL_DELAY * turns.min(MAX_CONFIGURATION_POLL_FACTOR)
        }
        // Others wait for what this one reads.
        Keyspace::Endpoints if !state.reads_directly() => ENDPOINTS_POLL_DELAY,
        Keyspace::Endpoints => {
            let max_delay = state.settings().bounds.drain.duration() / DRAIN_DIVISOR;
            (ENDPOINTS_POLL_DELAY * turns).min(max_delay.max(ENDPOINTS_POLL_DELAY))
        }
        Keyspace::Live => {
            let rank = state.peers.borrow().rank(state.now());
            poll::Settings::default().of(rank, state.fence().is_some())
        }
        Keyspace::Notes => Duration::ZERO,
    }
}
