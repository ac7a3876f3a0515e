//! The steward of a service: the one entry instance that may order.
//!
//! The platform's lease picks the steward and each grant brings a higher
//! fencing number (the store's revision at the write that took the key, so
//! that it rises even when a lapsed lease has removed the key). Two rules keep
//! a superseded steward from undoing its successor's orders:
//!
//! * A steward orders only until `asked_at + ttl - margin` on its own clock.
//!   The margin holds the longest flight of an order and the drift of clocks,
//!   so its last order lands before the lease can lapse.
//! * At endpoints that ignore the number, a new steward first waits a whole
//!   lease and the longest flight from when it heard of its grant. The old
//!   lease may have ended early (released, or dropped by a restarted store),
//!   so the time left on it isn't known. Endpoints that check the number
//!   refuse the old orders themselves and need no wait.
//!
//! [`Steward::permit`] must be asked again just before the bytes are written.
//! A process may still be suspended between that check and the write. Margin
//! and wait together cover a suspension there of
//! `margin + wait - ttl - flight`, less the drift: one second by default, at
//! clocks that drift apart by 4 in 100. Only an endpoint that checks the
//! number is safe from a longer one.

use std::time::Duration;

use quick_error::quick_error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Fencing;
use crate::clock::Time;
use crate::id;

/// Fencing number: higher with each grant.
pub type Fence = u64;

/// Number of a lease at the platform's service.
pub type Lease = u64;

/// Times of a steward's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time to live of the lease; the same on all entry instances.
    pub ttl: Duration,
    /// Longest time from the check before an order to its effect.
    pub flight: Duration,
    /// Time before the lease's end at which orders stop; flight and drift of clocks.
    pub margin: Duration,
    /// Time that a new steward waits at endpoints that ignore the number.
    pub wait: Duration,
    /// Time from one renewal to the next.
    pub renew: Duration,
    /// Time from one look at the key to the next, for a candidate.
    pub poll: Duration,
    /// Entry instances that stand for steward; it stops calls from growing with the fleet.
    pub candidates: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self::with(Duration::from_secs(6), Duration::from_secs(1))
    }
}

impl Settings {
    /// Settings that follow from the lease and the longest flight.
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

/// What a steward hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// This instance's rank among the live members, see [`rank`].
    Rank(Option<usize>),
    /// The key was read; the lease and the fencing number that it stands under.
    Seen(Option<(Lease, Fence)>),
    /// The key was taken.
    Granted {
        /// Fencing number.
        fence: Fence,
        /// The lease.
        lease: Lease,
        /// Time to live, as granted.
        ttl: Duration,
        /// When the lease (not the key) was asked for.
        asked_at: Time,
    },
    /// The lease was renewed.
    Renewed {
        /// The lease.
        lease: Lease,
        /// Time to live, as renewed.
        ttl: Duration,
        /// When the renewal was asked for.
        asked_at: Time,
    },
    /// The service said that the lease has lapsed, or that the key is another's.
    Lost,
    /// The service can't be reached; nothing was done.
    StoreDown,
    /// The answer to taking the key was lost.
    StoreUnknown {
        /// The lease that the key was to be taken under.
        lease: Lease,
        /// When the lease was asked for.
        asked_at: Time,
    },
    /// This entry instance stops.
    Stop,
}

/// What a steward wants from the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Ask for a lease and take the key under it, if absent.
    Acquire,
    /// Renew the lease.
    Renew(Lease),
    /// Give the lease back.
    Release(Lease),
}

quick_error! {
    /// An invariant that the platform's service broke.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// A grant came with a number that isn't higher.
        Fence(had: Fence, got: Fence) {
            display("grant has fencing number {got}, but {had} was seen before")
        }
    }
}

/// Leave to order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number to put into the order.
    pub fence: Fence,
    /// An order is neither sent nor sent again from here on.
    pub until: Time,
}

/// This instance's place in the rendezvous order of the live members.
#[must_use]
pub fn rank(service: &id::Service, me: &id::Instance, members: &[id::Instance]) -> Option<usize> {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let score = |name: &id::Instance| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
    let mine = (score(me), me);
    members.contains(me).then(|| {
        let ahead = members.iter().filter(|other| (score(other), *other) > mine);
        ahead.count()
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
    Asking { since: Time },
    Held(Held),
    Stopped,
}

/// Lease and fencing number of one service on one entry instance.
#[derive(Debug, Clone)]
pub struct Steward {
    settings: Settings,
    fencing: Fencing,
    rank: Option<usize>,
    state: State,
    unsettled: Option<(Lease, Time)>,
    newest: Fence,
    broken: Option<Broken>,
}

impl Steward {
    /// A steward that holds nothing.
    #[must_use]
    pub fn new(settings: Settings, fencing: Fencing) -> Self {
        Self {
            settings,
            fencing,
            rank: None,
            state: State::Idle {
                retry_at: Time::START,
            },
            unsettled: None,
            newest: 0,
            broken: None,
        }
    }

    /// The fencing number to order with, while ordering is allowed.
    #[must_use]
    pub fn permit(&self, now: Time) -> Option<Permit> {
        let State::Held(held) = self.state else {
            return None;
        };
        let until = held.ends_at - self.settings.margin;
        let open = held.first_order_at <= now && now < until;
        open.then_some(Permit {
            fence: held.fence,
            until,
        })
    }

    /// Whether an order may be sent.
    #[must_use]
    pub fn may_order(&self, now: Time) -> bool {
        self.permit(now).is_some()
    }

    /// The first invariant that was seen broken.
    #[must_use]
    pub fn broken(&self) -> Option<&Broken> {
        self.broken.as_ref()
    }

    /// Takes one input.
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
                self.unsettled = Some((lease, asked_at));
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
            State::Asking { since } if since + self.settings.ttl <= now => self.idle(now),
            State::Held(held) if held.ends_at <= now => self.idle(now),
            State::Held(held) if held.renew_at <= now => {
                let renew_at = now + self.settings.renew;
                self.state = State::Held(Held { renew_at, ..held });
                Some(Action::Renew(held.lease))
            }
            State::Idle { .. } | State::Asking { .. } | State::Held(_) | State::Stopped => None,
        }
    }

    fn is_candidate(&self) -> bool {
        self.rank
            .is_some_and(|rank| rank < self.settings.candidates)
    }

    fn ask(&mut self, now: Time, action: Action) -> Option<Action> {
        if matches!(self.state, State::Idle { .. } | State::Asking { .. }) {
            self.state = State::Asking { since: now };
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
            State::Idle { .. } | State::Asking { .. } => self.idle(now),
        }
    }

    fn seen(&mut self, now: Time, seen: Option<(Lease, Fence)>) -> Option<Action> {
        if !matches!(self.state, State::Asking { .. }) {
            return None;
        }
        let unsettled = self.unsettled.take();
        match (seen, unsettled) {
            (None, _) if self.is_candidate() => self.ask(now, Action::Acquire),
            (Some((lease, fence)), Some((mine, asked_at))) if lease == mine => {
                self.granted(now, (lease, fence), asked_at + self.settings.ttl)
            }
            _ => self.idle(now),
        }
    }

    /// Takes a grant on, unless it is too late for any order or breaks the rise of the number.
    fn granted(&mut self, now: Time, grant: (Lease, Fence), ends_at: Time) -> Option<Action> {
        let (lease, fence) = grant;
        let late = ends_at <= now + self.settings.margin;
        let rises = fence > self.newest;
        if !rises && !late {
            self.broken.get_or_insert(Broken::Fence(self.newest, fence));
        }
        if late || !rises || matches!(self.state, State::Stopped) {
            self.idle(now);
            return Some(Action::Release(lease));
        }
        self.newest = fence;
        self.unsettled = None;
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
            State::Idle { .. } | State::Asking { .. } | State::Stopped => None,
        }
    }
}
