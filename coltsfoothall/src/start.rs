//! Starts and stops that bring the running instances to the wanted set.
//!
//! An instance with a notice no longer counts, so its replacement starts while it still
//! serves. A refused start puts its kind into backoff, and the load moves to the next
//! cheapest kind that is available. Once the cheaper kind is available again, the more
//! expensive substitute is released as soon as its successor serves.
//!
//! Three rules prevent duplicate starts. Each start has a token made of service, fencing
//! number and request number, so retrying after a lost answer does not start a second
//! instance. A new steward starts nothing until the lagging list must contain everything
//! that its predecessor started. An instance that disappears from the list keeps counting
//! until it has been absent for `absence_timeout`, or for `outage_timeout` if many
//! disappear at once.

use std::time::Duration;

use crate::backoff;
use crate::clock::Time;
use crate::fleet::{Allocation, Capacity, Kind, Offer};
use crate::id;
use crate::instances::{self, Known, Tally};
use crate::pending;
use crate::size::Price;
use crate::steward::Fence;

pub use crate::instances::{Machine, Phase};
pub use crate::pending::Token;

/// Window of [`Settings::max_per_minute`], and time between two stop requests for one
/// instance.
const MINUTE: Duration = Duration::from_secs(60);

/// Limits of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of unanswered starts; it limits the load on the cloud API.
    pub max_pending: usize,
    /// Maximum number of starts per minute, so that a wrong list cannot cause a second
    /// fleet to be bought.
    pub max_per_minute: usize,
    /// Maximum lag of the instance list, including the time a start request takes to
    /// arrive.
    pub max_lag: Duration,
    /// Time for which an instance must be absent from the list to be considered gone.
    pub absence_timeout: Duration,
    /// The same if more than a quarter of the instances is absent at once.
    pub outage_timeout: Duration,
    /// Initial backoff of a kind after a refusal.
    pub backoff: Duration,
    /// Time between two requests for a start whose answer was lost.
    pub retry_interval: Duration,
    /// Time that a start may take; after that the instance is stopped and replaced.
    pub start_timeout: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_pending: 32,
            max_per_minute: 240,
            max_lag: Duration::from_secs(15),
            absence_timeout: Duration::from_secs(30),
            outage_timeout: Duration::from_secs(300),
            backoff: Duration::from_secs(10),
            retry_interval: Duration::from_secs(5),
            start_timeout: Duration::from_secs(600),
            seed: 0,
        }
    }
}

/// The wanted instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wanted {
    /// The instances of the plan.
    pub allocations: Vec<Allocation>,
    /// All offers, for substitutes.
    pub offers: Vec<Offer>,
    /// Capacity of each machine class, sorted by class.
    pub capacities: Vec<Capacity>,
}

/// An input to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A timer tick.
    Tick,
    /// The wanted instances.
    Wanted(Wanted),
    /// The instance list was read.
    Listed(Vec<Machine>),
    /// An instance has received a reclaim notice, or is known to be dead.
    Notice(id::Instance),
    /// A start succeeded.
    Started {
        /// Token of the start.
        token: Token,
        /// The instance.
        id: id::Instance,
    },
    /// A start was refused.
    Refused(Token),
    /// The answer to a start was lost, or the cloud API is unavailable.
    Unknown(Token),
}

/// A request to the cloud API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an instance.
    Start {
        /// Token of the start.
        token: Token,
        /// The kind.
        kind: Kind,
    },
    /// Stop an instance: drain it, then release it.
    Stop(id::Instance),
}

/// Counters since the queue was created, and its current progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of starts requested.
    pub requested: u64,
    /// Number of starts refused.
    pub refused: u64,
    /// Number of starts that were retried after a lost answer.
    pub retries: u64,
    /// Load carried by the instances, including those that are starting or requested.
    pub held_load: u64,
    /// Load of the wanted instances.
    pub wanted_load: u64,
}

/// Starts and stops of one service under one steward's fencing number.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    first_start_at: Time,
    /// Whether a list has been read that contains everything a predecessor started.
    list_complete: bool,
    wanted: Wanted,
    instances: instances::Set,
    pending: pending::List,
    backoffs: backoff::Table,
    recent_starts: Vec<Time>,
    progress: Progress,
}

impl Queue {
    /// Creates the queue of a steward that may send its first order at `now`.
    #[must_use]
    pub fn new(now: Time, settings: Settings, service: id::Service, fence: Fence) -> Self {
        Self {
            settings,
            first_start_at: now + settings.max_lag,
            list_complete: false,
            wanted: Wanted::default(),
            instances: instances::Set::default(),
            pending: pending::List::new(service, fence),
            backoffs: backoff::Table::new(settings.backoff, settings.seed ^ fence),
            recent_starts: Vec::new(),
            progress: Progress::default(),
        }
    }

    /// Counters since the queue was created, and its current progress.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Kinds that are currently refused, for display to an operator.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = &Kind> {
        self.backoffs.waiting(now)
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => return self.tick(now),
            Input::Wanted(wanted) => self.wanted = wanted,
            Input::Listed(machines) => {
                self.list_complete |= self.first_start_at <= now;
                self.instances.merge_list(now, machines);
            }
            Input::Notice(id) => self.instances.record_notice(now, id),
            Input::Started { token, id } => self.started(now, &token, id),
            Input::Refused(token) => self.refuse(now, &token),
            Input::Unknown(_token) => {}
        }
        Vec::new()
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        self.instances.expire(
            now,
            self.settings.absence_timeout,
            self.settings.outage_timeout,
        );
        let mut actions = self.retry(now);
        let mut tally = self.instances.tally(self.pending.kinds());
        if self.list_complete {
            self.start(now, &mut tally, &mut actions);
            self.stop_slow(now);
            self.stop_surplus(now, &mut tally);
        }
        self.request_stops(now, &mut actions);
        self.progress.wanted_load = self.wanted_load();
        self.progress.held_load = self.load_of(&tally, |count| count.total);
        actions
    }

    fn started(&mut self, now: Time, token: &Token, id: id::Instance) {
        let Some(kind) = self.pending.take(token) else {
            return;
        };
        self.backoffs.clear(&kind);
        let phase = Phase::Starting;
        self.instances
            .record_start(now, Machine { id, kind, phase });
    }

    fn refuse(&mut self, now: Time, token: &Token) {
        if let Some(kind) = self.pending.take(token) {
            self.progress.refused += 1;
            self.backoffs.refuse(now, kind);
        }
    }

    fn retry(&mut self, now: Time) -> Vec<Action> {
        let due = self.pending.take_due(now, self.settings.retry_interval);
        self.progress.retries += due.len() as u64;
        let retry = |(token, kind)| Action::Start { token, kind };
        due.into_iter().map(retry).collect()
    }

    fn start(&mut self, now: Time, tally: &mut Tally, actions: &mut Vec<Action>) {
        self.recent_starts.retain(|at| now < *at + MINUTE);
        let budget = self
            .settings
            .max_per_minute
            .saturating_sub(self.recent_starts.len());
        let free = self.settings.max_pending.saturating_sub(self.pending.len());
        for _start in 0..budget.min(free) {
            let Some(kind) = self.next_kind(now, tally) else {
                return;
            };
            tally.add(&kind, false);
            let token = self.pending.add(now, kind.clone());
            self.progress.requested += 1;
            self.recent_starts.push(now);
            actions.push(Action::Start { token, kind });
        }
    }

    /// The kind to start next: one that the plan lacks, or else a substitute for refused
    /// load.
    fn next_kind(&self, now: Time, tally: &Tally) -> Option<Kind> {
        let lacks =
            |allocation: &&Allocation| tally.total(&allocation.offer.kind) < allocation.count;
        let mut lacking = self.wanted.allocations.iter().filter(lacks).peekable();
        lacking.peek()?;
        let free = lacking.find(|allocation| self.is_free(now, &allocation.offer.kind));
        let held = self.load_of(tally, |count| count.total);
        match free {
            Some(allocation) => Some(allocation.offer.kind.clone()),
            None if held < self.wanted_load() => self.substitute(now, tally),
            None => None,
        }
    }

    /// The kind with the lowest price per unit of load that is not backing off. Ties are
    /// broken in favor of the kind with the fewest instances.
    fn substitute(&self, now: Time, tally: &Tally) -> Option<Kind> {
        let free = |offer: &&Offer| self.is_free(now, &offer.kind);
        let cost = |offer: &Offer| {
            let load = self.load(&offer.kind);
            let price = u128::from(offer.price.0) * 1_000_000;
            (load > 0).then(|| (price / u128::from(load), tally.total(&offer.kind)))
        };
        let offers = self.wanted.offers.iter().filter(free);
        let costs = offers.filter_map(|offer| Some((cost(offer)?, &offer.kind)));
        costs.min().map(|(_cost, kind)| kind.clone())
    }

    /// Whether a kind may be requested. A kind that was refused is probed with one start at
    /// a time.
    fn is_free(&self, now: Time, kind: &Kind) -> bool {
        let probed = || self.pending.kinds().any(|pending| pending == kind);
        let probing = self.backoffs.is_suspect(kind) && probed();
        !probing && !self.backoffs.waits(now, kind)
    }

    fn load(&self, kind: &Kind) -> u64 {
        let capacity = self
            .wanted
            .capacities
            .iter()
            .find(|capacity| capacity.class == kind.class);
        capacity.map_or(0, |capacity| capacity.load)
    }

    fn wanted_load(&self) -> u64 {
        self.wanted
            .allocations
            .iter()
            .map(|allocation| allocation.load * u64::from(allocation.count))
            .sum()
    }

    fn load_of(&self, tally: &Tally, number: impl Fn(&instances::Count) -> u32) -> u64 {
        let load = |count: &instances::Count| self.load(&count.kind) * u64::from(number(count));
        tally.counts.iter().map(load).sum()
    }

    /// Stops instances that take too long to start.
    fn stop_slow(&mut self, now: Time) {
        let timeout = self.settings.start_timeout;
        let starting = |known: &&mut Known| known.machine.phase == Phase::Starting;
        for known in self.instances.known.iter_mut().filter(starting) {
            if known.since + timeout <= now {
                known.stop(now);
            }
        }
    }

    /// Stops instances beyond the plan once the remaining ones carry the plan's load.
    fn stop_surplus(&mut self, now: Time, tally: &mut Tally) {
        for _stop in 0..self.settings.max_pending {
            let live = self.load_of(tally, |count| count.live);
            let spare = live.saturating_sub(self.wanted_load());
            let Some(index) = self.surplus(tally, spare) else {
                return;
            };
            self.instances.known[index].stop(now);
            *tally = self.instances.tally(self.pending.kinds());
        }
    }

    /// Index of the most expensive live instance beyond the plan whose load can be spared.
    fn surplus(&self, tally: &Tally, spare: u64) -> Option<usize> {
        let fits = |count: &&instances::Count| self.is_surplus(count, spare);
        let counts = tally.counts.iter().filter(fits);
        let count = counts.max_by_key(|count| (self.price(&count.kind), &count.kind))?;
        let live = |k: &Known| k.machine.phase == Phase::Live && k.machine.kind == count.kind;
        self.instances.known.iter().rposition(live)
    }

    fn is_surplus(&self, count: &instances::Count, spare: u64) -> bool {
        let allocation = self
            .wanted
            .allocations
            .iter()
            .find(|allocation| allocation.offer.kind == count.kind);
        let planned = allocation.map_or(0, |allocation| allocation.count);
        count.live > 0 && count.total > planned && self.load(&count.kind) <= spare
    }

    fn price(&self, kind: &Kind) -> Price {
        let offer = self.wanted.offers.iter().find(|offer| offer.kind == *kind);
        offer.map_or(Price(0), |offer| offer.price)
    }

    /// Adds stop requests that are new or not yet confirmed by the list.
    fn request_stops(&mut self, now: Time, actions: &mut Vec<Action>) {
        for known in &mut self.instances.known {
            if known.stop_at.is_some_and(|at| at <= now) {
                known.stop_at = Some(now + MINUTE);
                actions.push(Action::Stop(known.machine.id.clone()));
            }
        }
    }
}
