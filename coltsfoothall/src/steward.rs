//! The steward of a service: the only entry instance that may send orders to its endpoints.
//!
//! The steward is elected by a lease in the key-value service. Each grant has a higher
//! fencing number: the store's revision at the write that acquired the key, so the number
//! increases even if the key was removed because its lease expired. Two rules prevent a
//! superseded steward from undoing its successor's orders:
//!
//! * A steward sends orders only until `asked_at + ttl - margin` on its own clock. The
//!   margin covers the longest time an order can be in flight and clock drift, so its last
//!   order takes effect before the lease can expire.
//! * If the endpoints ignore the fencing number, a new steward first waits for one lease
//!   TTL plus the longest flight time, starting when it receives its grant. The old lease
//!   may have ended early (released, or lost in a restart of the store), so its remaining
//!   time is unknown. Endpoints that check the number reject outdated orders themselves, so
//!   no wait is needed.
//!
//! [`Steward::permit`] must be checked again immediately before the bytes are written. The
//! process may still be suspended between that check and the write. Margin and wait
//! together tolerate a suspension of `margin + wait - ttl - flight` minus the clock drift:
//! one second by default, with clocks that drift apart by 4 %. Only endpoints that check
//! the number are protected against longer suspensions.

use std::time::Duration;

use quick_error::quick_error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Fencing;
use crate::clock::Time;
use crate::id;

/// Fencing number; it increases with each grant.
pub type Fence = u64;

/// Id of a lease in the key-value service.
pub type Lease = u64;

/// Timing of a steward's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time to live of the lease. It must be the same on all entry instances.
    pub ttl: Duration,
    /// Maximum time from the permit check for an order to its effect.
    pub flight: Duration,
    /// Time before the end of the lease at which orders stop: flight time plus clock drift.
    pub margin: Duration,
    /// Time for which a new steward waits if the endpoints ignore the fencing number.
    pub wait: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time between two reads of the key by a candidate.
    pub poll: Duration,
    /// Number of entry instances that compete for the lease, so that the number of calls
    /// does not grow with the fleet.
    pub candidates: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self::with(Duration::from_secs(6), Duration::from_secs(1))
    }
}

impl Settings {
    /// Derives the settings from the lease TTL and the maximum flight time.
    #[must_use]
    pub fn with(ttl: Duration, flight: Duration) -> Self {
        Self {
            ttl,
            flight,
            margin: flight + ttl / 20,
            wait: ttl + flight,
            renew: ttl / 3,
            poll: ttl,
            candidates: 3,
        }
    }
}

/// An input to a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A timer tick.
    Tick,
    /// The rank of this instance among the live members has changed; see [`rank`].
    Rank(Option<usize>),
    /// The key was read. Holds its lease and fencing number if the key exists.
    Seen(Option<(Lease, Fence)>),
    /// The key was acquired.
    Granted {
        /// Fencing number.
        fence: Fence,
        /// The lease.
        lease: Lease,
        /// Time to live, as granted.
        ttl: Duration,
        /// When the lease (not the key) was requested.
        asked_at: Time,
    },
    /// The lease was renewed.
    Renewed {
        /// The lease.
        lease: Lease,
        /// Time to live, as renewed.
        ttl: Duration,
        /// When the renewal was requested.
        asked_at: Time,
    },
    /// The key-value service reported that the lease has expired, or that another instance
    /// has the key.
    Lost,
    /// The key-value service is unavailable; the call had no effect.
    StoreDown,
    /// The answer to acquiring the key was lost.
    StoreUnknown {
        /// The lease under which the key was to be acquired.
        lease: Lease,
        /// When the lease was requested.
        asked_at: Time,
    },
    /// This entry instance is shutting down.
    Stop,
}

/// A request to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Request a lease and acquire the key under it, if the key is absent.
    Acquire,
    /// Renew the lease.
    Renew(Lease),
    /// Release the lease.
    Release(Lease),
}

quick_error! {
    /// An invariant that the key-value service has violated.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// A grant did not have a higher fencing number.
        Fence(had: Fence, got: Fence) {
            display("grant has fencing number {got}, which is not higher than the previous {had}")
        }
    }
}

/// Permission to send orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number to include in the order.
    pub fence: Fence,
    /// Time from which no order may be sent or sent again.
    pub until: Time,
}

/// The rank of this instance in the rendezvous hash order of the live members.
#[must_use]
pub fn rank(service: &id::Service, me: &id::Instance, members: &[id::Instance]) -> Option<usize> {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let score = |name: &id::Instance| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
    let own_score = (score(me), me);
    members.contains(me).then(|| {
        let higher = members
            .iter()
            .filter(|other| (score(other), *other) > own_score);
        higher.count()
    })
}

#[derive(Debug, Clone, Copy)]
struct Held {
    fence: Fence,
    lease: Lease,
    ends_at: Time,
    first_order_at: Time,
    renew_at: Time,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Idle { retry_at: Time },
    Waiting { since: Time },
    Held(Held),
    Stopped,
}

/// The lease state of one service on one entry instance.
#[derive(Debug, Clone)]
pub struct Steward {
    settings: Settings,
    fencing: Fencing,
    rank: Option<usize>,
    state: State,
    unconfirmed: Option<(Lease, Time)>,
    highest_fence: Fence,
    broken: Option<Broken>,
}

impl Steward {
    /// Creates a steward without a lease.
    #[must_use]
    pub fn new(settings: Settings, fencing: Fencing) -> Self {
        Self {
            settings,
            fencing,
            rank: None,
            state: State::Idle {
                retry_at: Time::START,
            },
            unconfirmed: None,
            highest_fence: 0,
            broken: None,
        }
    }

    /// The permission to send orders, as long as the lease allows it.
    #[must_use]
    pub fn permit(&self, now: Time) -> Option<Permit> {
        let State::Held(held) = self.state else {
            return None;
        };
        let until = held.ends_at - self.settings.margin;
        let permitted = held.first_order_at <= now && now < until;
        permitted.then_some(Permit {
            fence: held.fence,
            until,
        })
    }

    /// Whether orders may be sent.
    #[must_use]
    pub fn may_order(&self, now: Time) -> bool {
        self.permit(now).is_some()
    }

    /// The first invariant violation that was detected.
    #[must_use]
    pub fn broken(&self) -> Option<&Broken> {
        self.broken.as_ref()
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Time, input: Input) -> Option<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Rank(rank) => {
                self.rank = rank;
                None
            }
            Input::Seen(seen) => self.seen(now, seen),
            Input::Granted {
                fence,
                lease,
                ttl,
                asked_at,
            } => self.granted(now, (lease, fence), asked_at + ttl),
            Input::Renewed {
                lease,
                ttl,
                asked_at,
            } => {
                self.renewed(lease, asked_at + ttl);
                None
            }
            Input::Lost => self.idle(now),
            Input::StoreDown => self.down(now),
            Input::StoreUnknown { lease, asked_at } => {
                self.unconfirmed = Some((lease, asked_at));
                self.ask(now, Action::Read)
            }
            Input::Stop => self.stop(),
        }
    }

    fn tick(&mut self, now: Time) -> Option<Action> {
        match self.state {
            State::Idle { retry_at } if retry_at <= now && self.is_candidate() => {
                self.ask(now, Action::Read)
            }
            State::Waiting { since } if since + self.settings.ttl <= now => self.idle(now),
            State::Held(held) if held.ends_at <= now => self.idle(now),
            State::Held(held) if held.renew_at <= now => {
                let renew_at = now + self.settings.renew;
                self.state = State::Held(Held { renew_at, ..held });
                Some(Action::Renew(held.lease))
            }
            State::Idle { .. } | State::Waiting { .. } | State::Held(_) | State::Stopped => None,
        }
    }

    fn is_candidate(&self) -> bool {
        self.rank
            .is_some_and(|rank| rank < self.settings.candidates)
    }

    fn ask(&mut self, now: Time, action: Action) -> Option<Action> {
        if matches!(self.state, State::Idle { .. } | State::Waiting { .. }) {
            self.state = State::Waiting { since: now };
            return Some(action);
        }
        None
    }

    fn idle(&mut self, now: Time) -> Option<Action> {
        if !matches!(self.state, State::Stopped) {
            let retry_at = now + self.settings.poll;
            self.state = State::Idle { retry_at };
        }
        None
    }

    fn down(&mut self, now: Time) -> Option<Action> {
        match self.state {
            State::Held(_) | State::Stopped => None,
            State::Idle { .. } | State::Waiting { .. } => self.idle(now),
        }
    }

    fn seen(&mut self, now: Time, seen: Option<(Lease, Fence)>) -> Option<Action> {
        if !matches!(self.state, State::Waiting { .. }) {
            return None;
        }
        let unconfirmed = self.unconfirmed.take();
        match (seen, unconfirmed) {
            (None, _) if self.is_candidate() => self.ask(now, Action::Acquire),
            (Some((lease, fence)), Some((mine, asked_at))) if lease == mine => {
                self.granted(now, (lease, fence), asked_at + self.settings.ttl)
            }
            _ => self.idle(now),
        }
    }

    /// Accepts a grant, unless it comes too late for any order or its fencing number is not
    /// higher than the previous one.
    fn granted(&mut self, now: Time, grant: (Lease, Fence), ends_at: Time) -> Option<Action> {
        let (lease, fence) = grant;
        let late = ends_at <= now + self.settings.margin;
        let increases = fence > self.highest_fence;
        if !increases && !late {
            self.broken
                .get_or_insert(Broken::Fence(self.highest_fence, fence));
        }
        if late || !increases || matches!(self.state, State::Stopped) {
            self.idle(now);
            return Some(Action::Release(lease));
        }
        self.highest_fence = fence;
        self.unconfirmed = None;
        let wait = match self.fencing {
            Fencing::Checked => Duration::ZERO,
            Fencing::Ignored => self.settings.wait,
        };
        self.state = State::Held(Held {
            fence,
            lease,
            ends_at,
            first_order_at: now + wait,
            renew_at: now + self.settings.renew,
        });
        None
    }

    fn renewed(&mut self, lease: Lease, ends_at: Time) {
        if let State::Held(held) = &mut self.state
            && held.lease == lease
        {
            held.ends_at = held.ends_at.max(ends_at);
        }
    }

    fn stop(&mut self) -> Option<Action> {
        let state = std::mem::replace(&mut self.state, State::Stopped);
        match state {
            State::Held(held) => Some(Action::Release(held.lease)),
            State::Idle { .. } | State::Waiting { .. } | State::Stopped => None,
        }
    }
}
