//! Starts and stops that bring the instances held to the set wanted.
//!
//! An instance with notice no longer counts, so its replacement starts while
//! it still serves. A refused start backs its kind off and the load goes to
//! the next cheapest kind elsewhere; once the cheaper kind can be had again,
//! the costlier substitute is given back after its successor serves.
//!
//! Three things keep starts from multiplying. Each start has a token of
//! service, fencing number and wish number, so asking again after a lost
//! answer starts nothing more. A new steward starts nothing until the lagging
//! list must show what its predecessor started. An instance that the list no
//! longer shows counts as held until it has been absent for long, longer
//! still when many go at once.

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

/// Span of [`Settings::max_per_minute`], and time from one telling to stop to the next.
const MINUTE: Duration = Duration::from_secs(60);

/// Limits of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Most starts without an answer; it stops a storm on the cloud's API.
    pub max_pending: usize,
    /// Most starts in a minute; it stops a wrong list from buying a second fleet.
    pub max_per_minute: usize,
    /// Longest lag of the instance list, the flight of a start included.
    pub max_lag: Duration,
    /// Time that an instance must be absent from the list to be believed gone.
    pub absence_timeout: Duration,
    /// The same where more than a quarter is absent at once.
    pub outage_timeout: Duration,
    /// First backoff of a kind after a refusal.
    pub backoff: Duration,
    /// Time from one asking to the next while an answer is lost.
    pub retry_interval: Duration,
    /// Time that a start may take; a later one is stopped and replaced.
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

/// What is to be held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wanted {
    /// The plan's instances.
    pub allocations: Vec<Allocation>,
    /// All that can be had, for substitutes.
    pub offers: Vec<Offer>,
    /// What the classes carry, sorted by class.
    pub capacities: Vec<Capacity>,
}

/// What the queue hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// What is to be held.
    Wanted(Wanted),
    /// The instance list was read.
    Listed(Vec<Machine>),
    /// An instance was given notice, or is known to be dead.
    Notice(id::Instance),
    /// A start was answered.
    Started {
        /// The wish.
        token: Token,
        /// The instance.
        id: id::Instance,
    },
    /// A start was refused.
    Refused(Token),
    /// A start's answer was lost, or the cloud's API is down.
    Unknown(Token),
}

/// What the queue wants from the cloud's API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an instance.
    Start {
        /// Names the wish.
        token: Token,
        /// The kind.
        kind: Kind,
    },
    /// Stop an instance: drain it, then give it back.
    Stop(id::Instance),
}

/// Counts since the queue began, and how far it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Wishes made.
    pub requested: u64,
    /// Starts refused.
    pub refused: u64,
    /// Starts asked again after a lost answer.
    pub retries: u64,
    /// Load held, instances on the way included.
    pub held_load: u64,
    /// Load wanted.
    pub wanted_load: u64,
}

/// Starts and stops of one service under one steward's fencing number.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    first_start_at: Time,
    /// Whether a list was read that shows all that a predecessor started.
    listed: bool,
    wanted: Wanted,
    set: instances::Set,
    pending: pending::List,
    backoffs: backoff::Table,
    started: Vec<Time>,
    progress: Progress,
}

impl Queue {
    /// The queue of a steward whose first order may be sent at `now`.
    #[must_use]
    pub fn new(now: Time, settings: Settings, service: id::Service, fence: Fence) -> Self {
        Self {
            settings,
            first_start_at: now + settings.max_lag,
            listed: false,
            wanted: Wanted::default(),
            set: instances::Set::default(),
            pending: pending::List::new(service, fence),
            backoffs: backoff::Table::new(settings.backoff, settings.seed ^ fence),
            started: Vec::new(),
            progress: Progress::default(),
        }
    }

    /// Counts since the queue began, and how far it is.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Kinds that can't be had for now, for an operator to see.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = &Kind> {
        self.backoffs.waiting(now)
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => return self.tick(now),
            Input::Wanted(wanted) => self.wanted = wanted,
            Input::Listed(machines) => {
                self.listed |= self.first_start_at <= now;
                self.set.listed(now, machines);
            }
            Input::Notice(id) => self.set.notice(now, id),
            Input::Started { token, id } => self.started(now, &token, id),
            Input::Refused(token) => self.refuse(now, &token),
            Input::Unknown(_token) => {}
        }
        Vec::new()
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        self.set.forget(
            now,
            self.settings.absence_timeout,
            self.settings.outage_timeout,
        );
        let mut actions = self.repeat(now);
        let mut tally = self.set.tally(self.pending.kinds());
        if self.listed {
            self.start(now, &mut tally, &mut actions);
            self.stop_slow(now);
            self.stop_surplus(now, &mut tally);
        }
        self.stops(now, &mut actions);
        self.progress.wanted_load = self.wanted_load();
        self.progress.held_load = self.load_of(&tally, |row| row.held);
        actions
    }

    fn started(&mut self, now: Time, token: &Token, id: id::Instance) {
        let Some(kind) = self.pending.take(token) else {
            return;
        };
        self.backoffs.clear(&kind);
        let phase = Phase::Starting;
        self.set.started(now, Machine { id, kind, phase });
    }

    fn refuse(&mut self, now: Time, token: &Token) {
        if let Some(kind) = self.pending.take(token) {
            self.progress.refused += 1;
            self.backoffs.refuse(now, kind);
        }
    }

    fn repeat(&mut self, now: Time) -> Vec<Action> {
        let late = self.pending.late(now, self.settings.retry_interval);
        self.progress.retries += late.len() as u64;
        let again = |(token, kind)| Action::Start { token, kind };
        late.into_iter().map(again).collect()
    }

    fn start(&mut self, now: Time, tally: &mut Tally, actions: &mut Vec<Action>) {
        self.started.retain(|at| now < *at + MINUTE);
        let rest = self
            .settings
            .max_per_minute
            .saturating_sub(self.started.len());
        let idle = self.settings.max_pending.saturating_sub(self.pending.len());
        for _start in 0..rest.min(idle) {
            let Some(kind) = self.next_kind(now, tally) else {
                return;
            };
            tally.add(&kind, false);
            let token = self.pending.add(now, kind.clone());
            self.progress.requested += 1;
            self.started.push(now);
            actions.push(Action::Start { token, kind });
        }
    }

    /// The kind to start next: one that the plan lacks, else a substitute for refused load.
    fn next_kind(&self, now: Time, tally: &Tally) -> Option<Kind> {
        let lacks =
            |allocation: &&Allocation| tally.held(&allocation.offer.kind) < allocation.count;
        let mut lacking = self.wanted.allocations.iter().filter(lacks).peekable();
        lacking.peek()?;
        let free = lacking.find(|allocation| self.is_free(now, &allocation.offer.kind));
        let held = self.load_of(tally, |row| row.held);
        match free {
            Some(allocation) => Some(allocation.offer.kind.clone()),
            None if held < self.wanted_load() => self.substitute(now, tally),
            None => None,
        }
    }

    /// The cheapest kind for its load that isn't backed off; the least held among equals.
    fn substitute(&self, now: Time, tally: &Tally) -> Option<Kind> {
        let free = |offer: &&Offer| self.is_free(now, &offer.kind);
        let cost = |offer: &Offer| {
            let load = self.load(&offer.kind);
            let price = u128::from(offer.price.0) * 1_000_000;
            (load > 0).then(|| (price / u128::from(load), tally.held(&offer.kind)))
        };
        let offers = self.wanted.offers.iter().filter(free);
        let costs = offers.filter_map(|offer| Some((cost(offer)?, &offer.kind)));
        costs.min().map(|(_cost, kind)| kind.clone())
    }

    /// Whether a kind may be asked for; one that was refused is probed by one start at a time.
    fn is_free(&self, now: Time, kind: &Kind) -> bool {
        let probed = || self.pending.kinds().any(|wished| wished == kind);
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

    fn load_of(&self, tally: &Tally, count: impl Fn(&instances::Row) -> u32) -> u64 {
        let load = |row: &instances::Row| self.load(&row.kind) * u64::from(count(row));
        tally.rows.iter().map(load).sum()
    }

    /// Gives up on starts that take too long.
    fn stop_slow(&mut self, now: Time) {
        let slow = self.settings.start_timeout;
        let starting = |known: &&mut Known| known.machine.phase == Phase::Starting;
        for known in self.set.known.iter_mut().filter(starting) {
            if known.since + slow <= now {
                known.stop(now);
            }
        }
    }

    /// Stops what is held beyond the plan once the rest carries the plan's load.
    fn stop_surplus(&mut self, now: Time, tally: &mut Tally) {
        for _stop in 0..self.settings.max_pending {
            let live = self.load_of(tally, |row| row.live);
            let spare = live.saturating_sub(self.wanted_load());
            let Some(at) = self.surplus(tally, spare) else {
                return;
            };
            self.set.known[at].stop(now);
            *tally = self.set.tally(self.pending.kinds());
        }
    }

    /// The costliest live instance beyond the plan whose load can be spared.
    fn surplus(&self, tally: &Tally, spare: u64) -> Option<usize> {
        let fits = |row: &&instances::Row| self.is_surplus(row, spare);
        let rows = tally.rows.iter().filter(fits);
        let row = rows.max_by_key(|row| (self.price(&row.kind), &row.kind))?;
        let live = |k: &Known| k.machine.phase == Phase::Live && k.machine.kind == row.kind;
        self.set.known.iter().rposition(live)
    }

    fn is_surplus(&self, row: &instances::Row, spare: u64) -> bool {
        let allocation = self
            .wanted
            .allocations
            .iter()
            .find(|allocation| allocation.offer.kind == row.kind);
        let count = allocation.map_or(0, |allocation| allocation.count);
        row.live > 0 && row.held > count && self.load(&row.kind) <= spare
    }

    fn price(&self, kind: &Kind) -> Price {
        let offer = self.wanted.offers.iter().find(|offer| offer.kind == *kind);
        offer.map_or(Price(0), |offer| offer.price)
    }

    /// Stops that are new, or not yet seen done.
    fn stops(&mut self, now: Time, actions: &mut Vec<Action>) {
        for known in &mut self.set.known {
            if known.stop_at.is_some_and(|at| at <= now) {
                known.stop_at = Some(now + MINUTE);
                actions.push(Action::Stop(known.machine.id.clone()));
            }
        }
    }
}
