//! What an instance knows and believes; owned by its one thread.
//!
//! No borrow of a cell lives across a wait, so none can be found taken.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice;
use coltsfoothall::forward::config::Route;
use coltsfoothall::forward::duration;
use coltsfoothall::forward::history::{Era, Fence, Position};
use coltsfoothall::forward::leader::Leader;
use coltsfoothall::forward::order::{self, Meter};
use coltsfoothall::forward::peer::{self, Peers, Profile};
use coltsfoothall::forward::rate_limit::{self, Coverage};
use coltsfoothall::forward::roster::{End, Ended, Event, Roster};
use coltsfoothall::forward::stop::Stop;
use coltsfoothall::forward::upgrade;
use coltsfoothall::forward::usage;
use coltsfoothall::id;
use coltsfoothall::suspicion::{self, Fingerprint, Tracker};
use coltsfoothall_shell::event;
use coltsfoothall_shell::metric::Board;
use rand::Rng;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::adapter::Adapter;
use crate::adoption::Adoption;
use crate::calls::Calls;
use crate::changelog::Changelog;
use crate::health::Health;
use crate::pool::Pool;
use crate::retries::Retries;
use crate::settings::Settings;
use crate::time::{self, Clock};

/// How long an attempt that broke off waits for word of its endpoint: registrations lapse
/// after three heartbeats, and the store may be away meanwhile.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(15);
/// How long news of ended endpoints is told to others.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(6);
/// After the store came back, removed endpoints get so long to register again.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
pub struct Open(Rc<State>);

impl Open {
    /// One more request is under way.
    #[must_use]
    pub fn new(state: &Rc<State>) -> Self {
        state.open.set(state.open.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// News of an ended endpoint.
#[derive(Debug, Clone)]
pub struct Departure {
    /// What ended, and when.
    pub ended: Ended,
    at: Time,
}

/// All state of an instance.
pub struct State {
    settings: RefCell<Rc<Settings>>,
    /// Name of this instance.
    pub name: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The platform.
    pub adapter: Rc<dyn Adapter>,
    /// The runtime's clock.
    pub clock: Clock,
    /// Number of this boot, drawn at random.
    pub boot: u64,
    /// Set at the first signal to stop.
    pub stopping: CancellationToken,
    /// The moments of the stop that is under way.
    pub stop: Cell<Option<Stop>>,
    /// Set when a planned stop waits no longer for what is under way.
    pub abort: CancellationToken,
    /// Endpoints.
    pub roster: RefCell<Roster>,
    /// Connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Rates of workspaces.
    pub rate_limiter: RefCell<rate_limit::Limiter>,
    /// How long answers take.
    pub durations: RefCell<duration::History>,
    /// Services that move to another version.
    pub upgrades: RefCell<upgrade::Registry>,
    /// Requests that began to run.
    pub usage: RefCell<usage::Counter>,
    /// Other instances.
    pub peers: RefCell<Peers>,
    /// The election of who acts for all.
    pub leader: RefCell<Leader>,
    /// Registrations of endpoints as they were read, for instances that lack them.
    pub changelog: RefCell<Changelog>,
    /// As of when the registrations known here are the store's own; none while it does not
    /// answer, or is not asked.
    pub registrations_as_of: Cell<Option<Time>>,
    /// Whether the store did not answer the last call for registrations.
    pub registrations_lost: Cell<bool>,
    /// The configuration in force, and what is known of newer ones.
    pub adoption: Adoption,
    /// Whether the store answers.
    pub health: Health,
    era: Cell<Option<Era>>,
    /// Wakes who waits when the store came back from an older copy.
    pub era_changed: Notify,
    reported: Cell<Option<u64>>,
    /// Calls to the store.
    pub calls: Calls,
    /// Evidence against requests that crash endpoints.
    pub suspicions: RefCell<Tracker>,
    next_attempt: Cell<u64>,
    /// Requests under way.
    pub open: Cell<usize>,
    /// Counters and histograms for a scrape.
    pub board: Board,
    pub(crate) served: Cell<u64>,
    retries: RefCell<Retries>,
    departures: RefCell<Vec<Departure>>,
    store_returned_at: Cell<Option<Time>>,
    meters: RefCell<Vec<(id::Service, Meter)>>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl State {
    /// The state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: Settings,
        name: id::Instance,
        domain: id::Domain,
        adapter: Rc<dyn Adapter>,
        stopping: CancellationToken,
        board: Board,
    ) -> Self {
        let boot = rand::rng().random();
        Self {
            roster: RefCell::new(Roster::new(choice::Settings::default())),
            pool: RefCell::default(),
            rate_limiter: RefCell::default(),
            upgrades: RefCell::new(upgrade::Registry::new(upgrade::Settings::default(), boot)),
            usage: RefCell::new(usage::Counter::new(
                boot,
                settings.bounds.usage_window.duration(),
            )),
            peers: RefCell::new(Peers::new(name.clone(), peer::Settings::default())),
            leader: RefCell::new(Leader::new(settings.bounds.lease.duration())),
            changelog: RefCell::default(),
            registrations_as_of: Cell::default(),
            registrations_lost: Cell::default(),
            adoption: Adoption::default(),
            health: Health::default(),
            era: Cell::default(),
            era_changed: Notify::new(),
            reported: Cell::default(),
            calls: Calls::default(),
            suspicions: RefCell::new(Tracker::new(suspicion::Settings::default())),
            next_attempt: Cell::new(boot),
            open: Cell::new(0),
            board,
            served: Cell::new(0),
            retries: RefCell::new(Retries::new(
                settings.bounds.retry_ratio,
                settings.bounds.retry_slack,
            )),
            departures: RefCell::default(),
            store_returned_at: Cell::new(None),
            meters: RefCell::default(),
            clock: Clock::start(),
            settings: RefCell::new(Rc::new(settings)),
            name,
            domain,
            adapter,
            boot,
            stopping,
            stop: Cell::new(None),
            durations: RefCell::default(),
            abort: CancellationToken::new(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes over settings that were read again. What is bound to a running process stays:
    /// its name, its domain, its addresses.
    pub fn reload(&self, settings: Settings) {
        let previous = self.settings();
        *self.settings.borrow_mut() = Rc::new(Settings {
            instance: previous.instance.clone(),
            domain: previous.domain.clone(),
            listen: previous.listen.clone(),
            peer_port: previous.peer_port,
            store: previous.store,
            store_history: previous.store_history,
            cloud: previous.cloud,
            log: previous.log.clone(),
            ..settings
        });
        event::RELOADED.emit(format_args!("seeds={:?}", self.settings().seeds));
    }

    /// Whether this instance takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.configuration().is_some()
            && !self.roster.borrow().nodes().is_empty()
    }

    /// This instance as it describes itself to others.
    #[must_use]
    pub fn profile(&self) -> Profile {
        Profile {
            name: self.name.clone(),
            boot: self.boot,
            domain: self.domain.clone(),
            front: self.front(),
            peer: SocketAddr::new(self.front().ip(), self.settings().peer_port),
            ready: self.is_ready(),
            version: self.version(),
            clock: time::wall(),
            link: self.settings().link(),
        }
    }

    /// Where callers reach this instance.
    #[must_use]
    pub fn front(&self) -> SocketAddr {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        self.settings().listen.front.unwrap_or(unset)
    }

    /// Members that share the rates.
    #[must_use]
    pub fn reach(&self) -> Coverage {
        self.peers.borrow().coverage(self.now())
    }

    /// Time since 1970 as most instances have it.
    #[must_use]
    pub fn true_time(&self) -> Duration {
        self.peers.borrow().true_time(self.now(), time::wall())
    }

    /// A request of a workspace began to run at an endpoint.
    pub fn count_run(&self, workspace: Option<&id::Workspace>) {
        let Some(workspace) = workspace else {
            return;
        };
        let time = self.true_time();
        let mut usage = self.usage.borrow_mut();
        let window = usage.window(time);
        usage.record_start(window, workspace);
    }

    /// A run ended. One that broke off is evidence if its endpoint turns out to be gone; a
    /// whole answer clears its like. Endpoints that leave without a word go on serving, so
    /// runs that did not break are no evidence.
    pub fn record_evidence(&self, endpoint: &id::Endpoint, fingerprint: Fingerprint, end: End) {
        let now = self.now();
        let mut suspicions = self.suspicions.borrow_mut();
        let attempt = self.next_attempt.get();
        match end {
            End::Whole if suspicions.is_empty() => {}
            End::Whole => {
                suspicions.record_start(now, attempt, endpoint.clone(), fingerprint, false);
                suspicions.record_end(now, attempt, true);
            }
            End::Failed => {
                // The fleet's attempts differ, since each boot counts from a number of its own.
                self.next_attempt.set(attempt.wrapping_add(1));
                suspicions.record_start(now, attempt, endpoint.clone(), fingerprint, false);
            }
            End::Refused | End::Unreachable | End::Abandoned => {}
        }
    }

    /// An endpoint is gone; what ran there is evidence unless that was expected.
    fn record_death(&self, id: &id::Endpoint, announced: bool) {
        let now = self.now();
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.abandon(now - EVIDENCE_RETENTION);
        suspicions.expire(now);
        let marks = suspicions.record_death(now, id, announced);
        if !marks.is_empty() {
            event::ENDPOINT_DIED.emit(format_args!(
                "endpoint={id} announced={announced} suspects={}",
                marks.len()
            ));
        }
    }

    /// A request goes to a service for the first time.
    pub fn count_sent(&self, service: &id::Service) {
        let (now, members) = (self.now(), self.reach().members);
        self.retries
            .borrow_mut()
            .record_first(now, service, members);
    }

    /// Whether a request may go to one more endpoint of a service.
    #[must_use]
    pub fn may_retry(&self, service: &id::Service) -> bool {
        let (now, members) = (self.now(), self.reach().members);
        self.retries.borrow_mut().allow(now, service, members)
    }

    /// An instance tells what its requests took of the endpoints' time.
    pub fn merge_work(&self, boot: u64, work: &[(id::Service, u64)]) {
        let now = self.now();
        let mut meters = self.meters.borrow_mut();
        for (service, micros) in work {
            let index = match meters.binary_search_by(|(have, _)| have.cmp(service)) {
                Ok(index) => index,
                Err(index) => {
                    let meter = Meter::new(now, order::Settings::default());
                    meters.insert(index, (service.clone(), meter));
                    index
                }
            };
            meters[index].1.merge_work(now, boot, *micros);
        }
    }

    /// The load of a service over all instances.
    #[must_use]
    pub fn load(&self, service: &id::Service) -> Option<order::Load> {
        let own = self.roster.borrow().work().to_vec();
        self.merge_work(self.boot, &own);
        let meters = self.meters.borrow();
        let found = meters.binary_search_by(|(have, _)| have.cmp(service));
        found
            .ok()
            .and_then(|index| meters[index].1.load(self.now()))
    }

    /// A request on a route took this time until its answer was whole or given up.
    pub fn record_duration(&self, route: &Route, begun: Time) {
        let took = self.now().since(begun);
        self.durations.borrow_mut().record(&route.name, took);
    }

    /// Acts on a change in the list of endpoints.
    pub fn apply_event(&self, event: Option<Event>, place: Position, source: &str) {
        match event {
            None => {}
            Some(Event::Added(id)) => {
                let roster = self.roster.borrow();
                if let Some(entry) = roster.node(&id).map(|node| &node.entry) {
                    event::ENDPOINT.emit(format_args!(
                        "endpoint={id} state=added service={} domain={} address={} slots={} reclaimable={} place={place} source={source}",
                        entry.service, entry.domain, entry.address, entry.slots, entry.reclaimable
                    ));
                }
            }
            Some(Event::Restarted(id)) => {
                event::ENDPOINT.emit(format_args!(
                    "endpoint={id} state=restarted place={place} source={source}"
                ));
                self.pool.borrow_mut().remove(&id);
                let announced = self.has_departed(&id);
                self.record_death(&id, announced);
            }
            Some(Event::Leaving(id)) => {
                event::ENDPOINT.emit(format_args!(
                    "endpoint={id} state=leaving place={place} source={source}"
                ));
                self.record_departure(id, place);
            }
            Some(Event::Gone(id)) => {
                event::ENDPOINT.emit(format_args!(
                    "endpoint={id} state=gone place={place} source={source}"
                ));
                self.pool.borrow_mut().remove(&id);
                let announced = self.registration_grace().is_some() || self.has_departed(&id);
                self.record_death(&id, announced);
                self.record_departure(id, place);
            }
        }
    }

    /// Whether an endpoint's leaving was told before it was gone.
    fn has_departed(&self, id: &id::Endpoint) -> bool {
        self.departures
            .borrow()
            .iter()
            .any(|departure| departure.ended.id == *id)
    }

    fn record_departure(&self, id: id::Endpoint, place: Position) {
        let at = self.now();
        let ended = Ended {
            id,
            position: place,
        };
        self.departures.borrow_mut().push(Departure { ended, at });
    }

    /// News that others may not have heard yet.
    #[must_use]
    pub fn departures(&self) -> Vec<Ended> {
        let now = self.now();
        let mut departures = self.departures.borrow_mut();
        departures.retain(|departure| now.since(departure.at) < DEPARTURE_RETENTION);
        departures
            .iter()
            .map(|departure| departure.ended.clone())
            .collect()
    }

    /// The store answers again after it was away.
    pub fn store_returned(&self) {
        self.store_returned_at.set(Some(self.now()));
    }

    /// Whether the fleet is so small that each instance reads registrations for itself alone.
    #[must_use]
    pub fn reads_directly(&self) -> bool {
        self.reach().members as usize <= self.settings().read_alone
    }

    /// The newest era of the store that this instance knows of.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Learns the era of the store's answers.
    pub fn refresh_era(&self) {
        if let Some(era) = self.adapter.era() {
            self.record_era(era);
        }
    }

    /// An answer of the store or another instance names an era. A later one than was known
    /// ends what holds for the earlier: watches, leases, and that what is missing is gone.
    pub fn record_era(&self, era: Era) {
        let known = self.era.get();
        if known >= Some(era) {
            return;
        }
        self.era.set(Some(era));
        let Some(known) = known else {
            return;
        };
        event::STORE_ERA.emit(format_args!("from={known} to={era}"));
        self.leader.borrow_mut().record_era(era);
        self.store_returned();
        self.era_changed.notify_waiters();
    }

    /// The number under which this instance may act for all now, if it may.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        self.refresh_era();
        self.leader.borrow().fence(time::boot())
    }

    /// The last usage window that any holder is known to have reported.
    #[must_use]
    pub fn reported(&self) -> Option<u64> {
        self.reported.get()
    }

    /// A usage window was reported, and all before it.
    pub fn record_reported(&self, window: u64) {
        self.reported.set(self.reported.get().max(Some(window)));
    }

    /// Time that a removed endpoint still has to register again.
    #[must_use]
    pub fn registration_grace(&self) -> Option<Duration> {
        let returned = self.store_returned_at.get()?;
        let rest = REGISTRATION_GRACE.saturating_sub(self.now().since(returned));
        (!rest.is_zero()).then_some(rest)
    }
}
