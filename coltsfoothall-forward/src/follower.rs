//! Follows one part of the store, one call after the other.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::peer::MAX_HEARTBEATS_PER_BATCH;
use coltsfoothall::forward::poll;
use coltsfoothall::turn;
use coltsfoothall_shell::event;

use crate::border::{Error, Listing, Realm};
use crate::calls::Call;
use crate::state::State;

/// Wait after a failed call, doubled up to [`LONGEST_PAUSE`]: refused calls are paid for, and
/// the store's rate is shared by all instances.
const PAUSE: Duration = Duration::from_millis(250);
/// Wait after an answer from another era than was asked for.
const CONFUSED: Duration = Duration::from_millis(50);
/// Longest wait: what the store says must be in force two seconds after it is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// A store that was away for so long may have let registrations lapse.
pub const AWAY: Duration = Duration::from_millis(900);
/// Rest between two readings of endpoints' registrations: a sixth of the time in which
/// leaving endpoints must get no more work, to save calls while heartbeats change them.
const ENDPOINTS_REST: Duration = Duration::from_millis(350);
/// Rest after a change of the configuration, for several in quick succession.
const CONFIGURATION_REST: Duration = Duration::from_millis(50);
/// Most by which that rest grows.
const LONGEST_REST: u32 = 3;
/// Part of the time in which leaving endpoints must get no more work that an instance may
/// rest: the call after it and news from others have the other half.
const RESTED_OF_DRAIN: u32 = 2;

/// What a call brought.
#[derive(Debug)]
pub struct News {
    /// Values or changes.
    pub listing: Listing,
    /// Whether they are all values of the realm.
    pub whole: bool,
}

/// Where following one part of the store stands.
#[derive(Debug)]
pub struct Follower {
    realm: Realm,
    /// When the first call was made that got no answer since the last one that did.
    lost: Option<Time>,
    /// The last change that is known; none before a whole list was read.
    after: Option<Position>,
    pause: Duration,
}

impl Follower {
    /// One that goes on from a place up to which all is known; none if nothing is.
    #[must_use]
    pub fn new(realm: Realm, after: Option<Position>) -> Self {
        Self {
            realm,
            lost: None,
            after,
            pause: PAUSE,
        }
    }

    /// The place up to which all is known.
    #[must_use]
    pub fn after(&self) -> Option<Position> {
        self.after
    }

    /// The next call reads the values that stand there now, and no history.
    pub fn read_anew(&mut self) {
        self.after = None;
    }

    /// Makes one call; what it brings, if it brings anything.
    pub async fn step(&mut self, state: &State) -> Option<News> {
        let realm = self.realm;
        let asked = state.now();
        let replaced = |after: &mut Position| Some(after.era) < state.era();
        if self.after.take_if(replaced).is_some() {
            event::STORE.emit(format_args!("realm={realm:?} state=history_replaced"));
        }
        let call = async {
            match self.after {
                None => {
                    state.calls.count(Call::List(realm));
                    state.border.list(realm).await
                }
                Some(after) => {
                    state.calls.count(Call::Watch(realm));
                    state.border.watch(realm, after).await
                }
            }
        };
        let outcome = tokio::select! {
            outcome = call => outcome,
            () = state.health.back() => return None,
            () = state.risen.notified() => return None,
        };
        state.look_at_era();
        match outcome {
            // It is from before the store came back, or goes on in a history that it does not
            // begin in.
            Ok(listing) if !is_current(state, self.after, &listing) => {
                self.after = None;
                tokio::time::sleep(CONFUSED).await;
            }
            Ok(listing) => return Some(self.take(state, asked, listing)),
            Err(Error::Dropped(_)) => {
                event::STORE.emit(format_args!("realm={realm:?} state=history_dropped"));
                self.after = None;
            }
            Err(error) => {
                if self.lost.is_none() {
                    self.lost = Some(asked);
                    event::STORE.emit(format_args!("realm={realm:?} state=lost reason={error:?}"));
                }
                match realm {
                    Realm::Configuration => state.adoption.store_lost.set(true),
                    Realm::Endpoints => {
                        state.fresh.set(None);
                        state.unread.set(true);
                    }
                    Realm::Live | Realm::Notes => {}
                }
                state.health.pause(self.pause).await;
                self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            }
        }
        None
    }

    fn take(&mut self, state: &State, asked: Time, listing: Listing) -> News {
        let realm = self.realm;
        let whole = self.after.is_none();
        self.pause = PAUSE;
        if let Some(since) = self.lost.take() {
            let away = asked.since(since);
            event::STORE.emit(format_args!(
                "realm={realm:?} state=back away_ms={}",
                away.as_millis()
            ));
            if away > AWAY {
                state.store_returned();
            }
        }
        match realm {
            Realm::Configuration => state.adoption.store_lost.set(false),
            Realm::Endpoints => {
                // Pages of a list are read one after the other; a watch is answered at once
                // when there is a change.
                state
                    .fresh
                    .set(Some(if whole { asked } else { state.now() }));
                state.unread.set(false);
            }
            Realm::Live | Realm::Notes => {}
        }
        self.after = Some(listing.place);
        News { listing, whole }
    }
}

/// Whether a listing is of the newest era, and of the one that it was asked in.
fn is_current(state: &State, after: Option<Position>, listing: &Listing) -> bool {
    let era = listing.place.era;
    Some(era) >= state.era() && after.is_none_or(|after| after.era == era)
}

/// How long an instance rests after a change, longer in a large fleet. What one reads in its
/// rest the others have told it, and each call is paid for: a fleet of 64 made 5,900 in 76 s.
pub fn rest(state: &State, realm: Realm) -> Duration {
    let turns = turn::turns(state.reach().members as usize, MAX_HEARTBEATS_PER_BATCH) as u32;
    match realm {
        Realm::Configuration => CONFIGURATION_REST * turns.min(LONGEST_REST),
        // Others wait for what this one reads.
        Realm::Endpoints if !state.reads_alone() => ENDPOINTS_REST,
        Realm::Endpoints => {
            let longest = state.settings().bounds.drain.duration() / RESTED_OF_DRAIN;
            (ENDPOINTS_REST * turns).min(longest.max(ENDPOINTS_REST))
        }
        Realm::Live => {
            let rank = state.peers.borrow().rank(state.now());
            poll::Settings::default().of(rank, state.fence().is_some())
        }
        Realm::Notes => Duration::ZERO,
    }
}
