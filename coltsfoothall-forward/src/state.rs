//! The in-memory state of an instance, owned by its only thread.
//!
//! No borrow of a cell is held across an await point, so borrowing never panics.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice;
use coltsfoothall::forward::config::Route;
use coltsfoothall::forward::crash;
use coltsfoothall::forward::culprit;
use coltsfoothall::forward::demand;
use coltsfoothall::forward::duration;
use coltsfoothall::forward::history::{Era, Fence, Position};
use coltsfoothall::forward::leader::Leader;
use coltsfoothall::forward::limit::{Candidate, Fleet};
use coltsfoothall::forward::mark::Mark;
use coltsfoothall::forward::order;
use coltsfoothall::forward::peer::{self, Peers, Profile};
use coltsfoothall::forward::rate_limit::{self, Coverage};
use coltsfoothall::forward::retry_after;
use coltsfoothall::forward::role::Role;
use coltsfoothall::forward::roster::{Ended, Event, Roster};
use coltsfoothall::forward::stop::Stop;
use coltsfoothall::forward::stream;
use coltsfoothall::forward::upgrade;
use coltsfoothall::forward::usage;
use coltsfoothall::id;
use coltsfoothall::suspicion::{self, Tracker};
use coltsfoothall_shell::event;
use coltsfoothall_shell::metric::Board;
use coltsfoothall_wire::body;
use rand::Rng;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::adapter::Adapter;
use crate::adoption::Adoption;
use crate::binding;
use crate::calls::Calls;
use crate::changelog::Changelog;
use crate::health::Health;
use crate::meter::Meter;
use crate::pool::Pool;
use crate::retries::{Reason, Retries};
use crate::role::Standing;
use crate::settings::{Feature, Settings};
use crate::slots::Slots;
use crate::time::{self, Clock};
use crate::versions;

/// Shortest time without a sign of life of this process that counts as a pause: half of that after
/// which others take it for silent.
const MIN_PAUSE: Duration = Duration::from_millis(600);
/// How long departed endpoints are reported to other instances.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(6);
/// Time for which removed endpoints may register again after the store recovers.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct Open(Rc<State>);

impl Open {
    /// Counts one more open request.
    #[must_use]
    pub fn new(state: &Rc<State>) -> Self {
        state.open.set(state.open.get() + 1);
        state.standing.count_request();
        Self(Rc::clone(state))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A departed endpoint, to be reported to other instances.
#[derive(Debug, Clone)]
pub struct Departure {
    /// The endpoint, and the position at which its departure was written.
    pub ended: Ended,
    at: Time,
}

/// The state of an instance.
pub struct State {
    settings: RefCell<Rc<Settings>>,
    /// The name of this instance.
    pub name: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The platform adapter.
    pub adapter: Rc<dyn Adapter>,
    /// The clock of the runtime.
    pub clock: Clock,
    /// Random number that identifies this run of the process.
    pub boot: u64,
    /// When it was last seen to run, by the boot clock and by the clock of the runtime.
    pulse: Cell<(Time, Time)>,
    /// Cancelled at the first signal to stop.
    pub stopping: CancellationToken,
    /// Deadlines of the shutdown that is under way.
    pub stop: Cell<Option<Stop>>,
    /// Cancelled when a planned shutdown no longer waits for open requests.
    pub abort: CancellationToken,
    /// Known endpoints and their load.
    pub roster: RefCell<Roster>,
    /// Connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Memory for the bodies of requests.
    pub bodies: body::Memory,
    /// Memory for what endpoints answer.
    pub answers: body::Memory,
    /// The connections of each listener.
    pub slots: RefCell<Vec<Rc<Slots>>>,
    /// Rate limits of workspaces.
    pub rate_limiter: RefCell<rate_limit::Limiter>,
    /// Response times by route.
    pub durations: RefCell<duration::History>,
    /// Services that are being upgraded to another version.
    pub upgrades: RefCell<upgrade::Registry>,
    /// The versions that began streams.
    pub streams: RefCell<stream::Tracker>,
    /// The versions of services, as looked up last.
    pub versions: RefCell<binding::Cache>,
    /// Runs by workspace and usage window.
    pub usage: RefCell<usage::Counter>,
    /// Other instances.
    pub peers: RefCell<Peers>,
    /// What decides the role of this instance.
    pub standing: Standing,
    /// The leader election.
    pub leader: RefCell<Leader>,
    /// Registrations of endpoints, for the instances that read them from this one.
    pub changelog: RefCell<Changelog>,
    /// All registrations as sent to followers, and when they were put together.
    pub first_page: RefCell<Option<(Time, Bytes)>>,
    /// Time as of which the registrations known here match the store; none while the store does not
    /// answer or this instance does not read it.
    pub registrations_as_of: Cell<Option<Time>>,
    /// Whether the last call for registrations failed.
    pub registrations_lost: Cell<bool>,
    /// The configuration in force, and the newest version known to exist.
    pub adoption: Adoption,
    /// Whether the store responds.
    pub health: Health,
    era: Cell<Option<Era>>,
    /// When the era became known.
    era_known_at: Cell<Time>,
    /// Notified when the store has been restored from an older copy.
    pub era_changed: Notify,
    reported: Cell<Option<u64>>,
    /// The last usage window that may have been reported, as far as this instance knows as a leader.
    attempted: Cell<Option<u64>>,
    /// The term for which the reports of earlier leaders were read from the store.
    pub reports_read: Cell<Option<Fence>>,
    /// What was reported in earlier eras, if this instance led when the last one ended.
    pub mark: Cell<Option<Mark>>,
    /// Counts of calls to the store.
    pub calls: Calls,
    /// Evidence about requests that crash endpoints.
    pub suspicions: RefCell<Tracker>,
    /// Parts of prompts that had runs at endpoints that crashed.
    pub culprits: RefCell<culprit::Tracker>,
    /// Whether an instance that ran before this one has told what it knows of them.
    pub informed: Cell<bool>,
    /// Wakes those that wait for that.
    pub informed_changed: Notify,
    /// Services of which this instance reaches no endpoint, sorted.
    pub lost_services: RefCell<Vec<id::Service>>,
    /// Endpoints that are being connected to because they interrupted a run, sorted.
    pub probed: RefCell<Vec<id::Endpoint>>,
    pub(crate) next_attempt: Cell<u64>,
    /// Number of open requests.
    pub open: Cell<usize>,
    /// Metrics.
    pub board: Board,
    pub(crate) served: Cell<u64>,
    retries: RefCell<Retries>,
    departures: RefCell<Vec<Departure>>,
    store_returned_at: Cell<Option<Time>>,
    meters: RefCell<Vec<(id::Service, Meter)>>,
    /// Requests that were refused for lack of capacity.
    pub demand: RefCell<demand::Tracker>,
    /// Shortages of capacity, by which refused callers are told when to retry.
    pub shortages: RefCell<retry_after::Tracker>,
    /// The loads that an earlier leader saved, or that this one saved last; sorted by service.
    pub saved_loads: RefCell<Vec<order::Saved>>,
    /// The term for which the loads of earlier leaders were read from the store.
    pub loads_restored: Cell<Option<Fence>>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl State {
    /// The initial state of an instance.
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
            roster: RefCell::new(Roster::new(choice::Settings {
                queueing: settings.has(Feature::Queueing),
                robust_pace: settings.has(Feature::Forecast),
                ..choice::Settings::default()
            })),
            pool: RefCell::default(),
            bodies: body::Memory::default(),
            answers: body::Memory::default(),
            slots: RefCell::default(),
            rate_limiter: RefCell::new(rate_limit::Limiter::new(rate_limit::Settings {
                seed: boot,
                initial_share: 0.0,
            })),
            upgrades: RefCell::new(upgrade::Registry::new(upgrade::Settings::default(), boot)),
            versions: RefCell::default(),
            streams: RefCell::new(stream::Tracker::new(stream::Settings {
                trust: versions::trust(settings.bounds.lease.duration()),
                ..stream::Settings::default()
            })),
            usage: RefCell::new(usage::Counter::new(
                boot,
                settings.bounds.usage_window.duration(),
            )),
            peers: RefCell::new(Peers::new(name.clone(), peer::Settings::default())),
            standing: Standing::default(),
            leader: RefCell::new(Leader::new(settings.bounds.lease.duration())),
            changelog: RefCell::default(),
            first_page: RefCell::default(),
            registrations_as_of: Cell::default(),
            registrations_lost: Cell::default(),
            adoption: Adoption::new(settings.link()),
            health: Health::default(),
            era: Cell::default(),
            era_known_at: Cell::default(),
            era_changed: Notify::new(),
            reported: Cell::default(),
            attempted: Cell::default(),
            reports_read: Cell::default(),
            mark: Cell::default(),
            calls: Calls::default(),
            suspicions: RefCell::new(Tracker::new(suspicion::Settings::default())),
            culprits: RefCell::new(culprit::Tracker::new(crash::Settings::default())),
            informed: Cell::default(),
            informed_changed: Notify::new(),
            lost_services: RefCell::default(),
            probed: RefCell::default(),
            next_attempt: Cell::new(boot),
            open: Cell::new(0),
            board,
            served: Cell::new(0),
            retries: RefCell::new(Retries::new(settings.bounds.retries(), boot)),
            departures: RefCell::default(),
            store_returned_at: Cell::new(None),
            meters: RefCell::default(),
            demand: RefCell::default(),
            shortages: RefCell::default(),
            saved_loads: RefCell::default(),
            loads_restored: Cell::default(),
            clock: Clock::start(),
            pulse: Cell::new((time::boot(), Time::START)),
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

    /// Detects that this process stood still, that its machine was suspended, or that it hears nobody: what
    /// it knows of others is then from before. Called at least as often as heartbeats are sent.
    pub fn check_pause(&self) {
        let (boot, now) = (time::boot(), self.now());
        let (last_boot, last) = self.pulse.replace((boot, now));
        let gap = boot.since(last_boot);
        if gap < MIN_PAUSE {
            if self.peers.borrow().hears_none(now) {
                self.streams.borrow_mut().missed(now);
            }
            return;
        }
        let uncounted = gap.saturating_sub(now.since(last));
        event::STALLED.emit(format_args!(
            "ms={} suspended_ms={}",
            gap.as_millis(),
            uncounted.as_millis()
        ));
        self.peers.borrow_mut().paused(now, uncounted);
        let mut streams = self.streams.borrow_mut();
        streams.suspended(uncounted);
        streams.missed(now);
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies reloaded settings, except for those that are fixed for a running process, such as
    /// its name, domain and addresses.
    pub fn reload(&self, settings: Settings) {
        let previous = self.settings();
        *self.settings.borrow_mut() = Rc::new(Settings {
            instance: previous.instance.clone(),
            domain: previous.domain.clone(),
            listen: previous.listen.clone(),
            peer_port: previous.peer_port,
            store: previous.store,
            store_history: previous.store_history,
            memory: previous.memory,
            descriptors: previous.descriptors,
            cloud: previous.cloud,
            overload: previous.overload.clone(),
            log: previous.log.clone(),
            ..settings
        });
        let retries = self.settings().bounds.retries();
        self.retries.borrow_mut().reload(retries);
        event::RELOADED.emit(format_args!("seeds={:?}", self.settings().seeds));
    }

    /// Whether this instance accepts requests from callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.configuration().is_some()
            && !self.roster.borrow().nodes().is_empty()
    }

    /// Whether this instance may act for all: without any endpoint, if it orders them for what callers
    /// ask.
    #[must_use]
    pub fn may_lead(&self) -> bool {
        let has_read = self.configuration().is_some() && self.registrations_as_of.get().is_some();
        let orders_any = self.settings().has(Feature::OfferedLoad) && has_read;
        self.is_ready() || (orders_any && !self.stopping.is_cancelled())
    }

    /// The description of this instance that other instances receive.
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

    /// The address at which callers reach this instance.
    #[must_use]
    pub fn front(&self) -> SocketAddr {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        self.settings().listen.front.unwrap_or(unset)
    }

    /// Whether only some instances of the fleet are active.
    #[must_use]
    pub fn is_divided(&self) -> bool {
        self.peers.borrow().is_divided(self.now())
    }

    /// Number of members, as far as they are known; a divided fleet is larger than any bound.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        let peers = self.peers.borrow();
        if peers.is_divided(self.now()) {
            usize::MAX
        } else {
            peers.coverage(self.now()).members as usize
        }
    }

    /// The members that share the rate limits.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        self.peers.borrow().coverage(self.now())
    }

    /// Number of instances that share the budgets of the fleet.
    #[must_use]
    pub fn sharers(&self) -> u32 {
        self.peers.borrow().sharers(self.now())
    }

    /// Time since the Unix epoch, by the majority of the instances' clocks.
    #[must_use]
    pub fn true_time(&self) -> Duration {
        self.peers.borrow().true_time(self.now(), time::wall())
    }

    /// Counts a run of a workspace's request.
    pub fn count_run(&self, workspace: Option<&id::Workspace>) {
        let Some(workspace) = workspace else {
            return;
        };
        let time = self.true_time();
        let mut usage = self.usage.borrow_mut();
        let window = usage.window(time);
        usage.record_start(window, workspace);
    }

    /// The instances that what only some of the fleet may do is divided between.
    #[must_use]
    pub fn limit_fleet(&self) -> Fleet {
        let own = self.is_ready().then(|| Candidate {
            name: self.name.clone(),
            domain: self.domain.clone(),
        });
        self.peers.borrow().limit_fleet(self.now(), own)
    }

    /// Divides the limits that endpoints name between this instance and the others.
    pub fn share_limits(&self) {
        if !self.roster.borrow().has_limits() {
            return;
        }
        let (now, fleet) = (self.now(), self.limit_fleet());
        let mut roster = self.roster.borrow_mut();
        roster.share_limits(now, &self.name, &fleet);
        roster.share_brittle(now, &self.name, &fleet);
    }

    /// Number of instances that have a part of the retry slack, this one included; none on standby,
    /// as that number does not count those on standby.
    fn retry_sharers(&self) -> Option<u32> {
        (self.role() == Role::Active).then(|| self.sharers())
    }

    /// Counts a request that is sent to a service for the first time.
    pub fn count_sent(&self, service: &id::Service) {
        let (now, sharers) = (self.now(), self.retry_sharers());
        self.retries
            .borrow_mut()
            .record_first(now, service, sharers);
    }

    /// Whether a request may be retried at another endpoint of a service; takes one retry from the
    /// budget.
    #[must_use]
    pub fn may_retry(&self, request: &str, service: &id::Service, reason: Reason) -> bool {
        let (now, sharers) = (self.now(), self.retry_sharers());
        let decision = self.retries.borrow_mut().decide(now, service, sharers);
        event::RETRY.emit(format_args!(
            "request={request} service={service} reason={reason} allowed={} balance={:.2} limit={:.2} sharers={} first_attempts={} retries={}",
            decision.allowed,
            decision.balance,
            decision.limit,
            sharers.unwrap_or_default(),
            decision.first_attempts,
            decision.retries,
        ));
        self.board.retry_decided(service, decision.allowed);
        decision.allowed
    }

    /// Updates the gauges of the retry budgets.
    pub fn update_retry_gauges(&self) {
        let sharers = self.retry_sharers().unwrap_or_default();
        self.board.retry_sharers(u64::from(sharers));
        for (service, balance) in self.retries.borrow().balances() {
            self.board.retry_balance(service, balance);
        }
    }

    /// Merges the endpoint time that an instance reports for its requests, by service.
    pub fn merge_work(&self, boot: u64, work: &[(id::Service, u64)]) {
        let now = self.now();
        let mut meters = self.meters.borrow_mut();
        for (service, micros) in work {
            let index = match meters.binary_search_by(|(have, _)| have.cmp(service)) {
                Ok(index) => index,
                Err(index) => {
                    let meter = Meter::new(now, self.settings().has(Feature::Forecast));
                    meters.insert(index, (service.clone(), meter));
                    index
                }
            };
            meters[index].1.merge_work(now, boot, *micros);
        }
    }

    /// The load of a service, summed over all instances.
    #[must_use]
    pub fn load(&self, service: &id::Service) -> Option<order::Load> {
        let work = self.roster.borrow().endpoint_time().to_vec();
        let refused = self.demand.borrow().totals();
        self.merge_work(self.boot, &demand::sum(work, &refused));
        let meters = self.meters.borrow();
        let found = meters.binary_search_by(|(have, _)| have.cmp(service));
        found
            .ok()
            .and_then(|index| meters[index].1.load(self.now()))
    }

    /// Records how long a request took until its response was complete or abandoned.
    pub fn record_duration(&self, route: &Route, received_at: Time) {
        let took = self.now().since(received_at);
        self.durations.borrow_mut().record(&route.name, took);
    }

    /// Handles a change in the set of endpoints.
    pub fn apply_event(&self, event: Option<Event>, position: Position, source: &str) {
        match event {
            None => {}
            Some(Event::Added(id)) => {
                let roster = self.roster.borrow();
                if let Some(entry) = roster.node(&id).map(|node| &node.entry) {
                    event::ENDPOINT.emit(format_args!(
                        "endpoint={id} state=added service={} domain={} address={} slots={} reclaimable={} place={position} source={source}",
                        entry.service, entry.domain, entry.address, entry.slots, entry.reclaimable
                    ));
                }
            }
            Some(Event::Restarted(id)) => {
                event::ENDPOINT.emit(format_args!(
                    "endpoint={id} state=restarted place={position} source={source}"
                ));
                self.pool.borrow_mut().remove(&id);
                let announced = self.roster.borrow_mut().take_announced(&id);
                self.record_death(&id, announced);
            }
            Some(Event::Leaving(id)) => {
                let lead = self.describe_lead(&id);
                if lead.is_empty() {
                    self.board.endpoint_departed("registration");
                }
                event::ENDPOINT.emit(format_args!(
                    "endpoint={id} state=leaving place={position} source={source}{lead}"
                ));
                self.record_departure(id, position);
            }
            Some(Event::Gone(id)) => {
                event::ENDPOINT.emit(format_args!(
                    "endpoint={id} state=gone place={position} source={source}"
                ));
                self.pool.borrow_mut().remove(&id);
                let announced = self.roster.borrow_mut().take_announced(&id);
                let announced = announced || self.registration_grace().is_some();
                self.record_death(&id, announced);
                self.record_departure(id, position);
            }
        }
    }

    fn record_departure(&self, id: id::Endpoint, position: Position) {
        let at = self.now();
        let ended = Ended { id, position };
        self.departures.borrow_mut().push(Departure { ended, at });
    }

    /// Departed endpoints that other instances may not know of yet.
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

    /// Records that the store has recovered from an outage.
    pub fn store_returned(&self) {
        self.store_returned_at.set(Some(self.now()));
    }

    /// Whether the fleet is so small that every instance reads the registrations from the store.
    #[must_use]
    pub fn reads_directly(&self) -> bool {
        self.fleet_size() <= self.settings().read_alone
    }

    /// The newest known era of the store.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// What was reported before `era` began, if this instance leads in the era before it: its lease
    /// rules out that another one reported since it read the store.
    fn closing_mark(&self, known: Era, era: Era) -> Option<Mark> {
        let fence = self.leader.borrow().fence(time::boot())?;
        let knows = self.reports_read.get() == Some(fence) && era.before() == known;
        let window = self.reported.get().max(self.attempted.get());
        knows.then_some(Mark { era, window })
    }

    /// Time since the newest era became known here.
    #[must_use]
    pub fn era_age(&self) -> Duration {
        self.now().since(self.era_known_at.get())
    }

    /// Records the newest era that the adapter has seen in responses of the store.
    pub fn refresh_era(&self) {
        if let Some(era) = self.adapter.era() {
            self.record_era(era);
        }
    }

    /// Records an era named by the store or by another instance. A newer era invalidates what
    /// depends on the previous one: watches, leases, and the assumption that a missing registration
    /// was removed.
    pub fn record_era(&self, era: Era) {
        let known = self.era.get();
        if known >= Some(era) {
            return;
        }
        self.era.set(Some(era));
        self.era_known_at.set(self.now());
        let Some(known) = known else {
            return;
        };
        event::STORE_ERA.emit(format_args!("from={known} to={era}"));
        self.mark.set(self.closing_mark(known, era));
        self.leader.borrow_mut().record_era(era);
        self.store_returned();
        self.era_changed.notify_waiters();
    }

    /// The fencing token under which this instance leads now, if it does.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        self.refresh_era();
        self.leader.borrow().fence(time::boot())
    }

    /// The last usage window that any leader is known to have reported.
    #[must_use]
    pub fn reported(&self) -> Option<u64> {
        self.reported.get()
    }

    /// Records that a usage window, and all before it, have been reported.
    pub fn record_reported(&self, window: u64) {
        self.reported.set(self.reported.get().max(Some(window)));
    }

    /// Records that this or an earlier leader may have reported a usage window.
    pub fn record_attempt(&self, window: Option<u64>) {
        self.attempted.set(self.attempted.get().max(window));
    }

    /// Time that removed endpoints still have to register again; none if no such period is running.
    #[must_use]
    pub fn registration_grace(&self) -> Option<Duration> {
        let returned = self.store_returned_at.get()?;
        let rest = REGISTRATION_GRACE.saturating_sub(self.now().since(returned));
        (!rest.is_zero()).then_some(rest)
    }
}
