//! Stewards: for each service the one entry instance that orders, starts and stops.
//!
//! Each service has its own tasks: one keeps the lease, one gives orders to
//! engines, one starts and stops instances. The latter two ask for leave right
//! before each write.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use coltsfoothall::catalog::{Catalog, Fencing, Kind, Service};
use coltsfoothall::id;
use coltsfoothall::size::{Bytes, Millis};
use coltsfoothall::steward::{self, Action, Fence, Input, Permit, Steward};
use coltsfoothall_shell::event;
use coltsfoothall_shell::settings::{Check, Fault};
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Entry, Grant, Put};

use crate::demand::Estimate;
use crate::node::Node;
use crate::store::Error as Call;
use crate::{order, start};

/// Between two looks at a lease.
const TURN: Duration = Duration::from_millis(100);
/// Between two looks at which services there are.
const LOOK: Duration = Duration::from_secs(1);
/// Version of a key that is absent.
const ABSENT: u64 = 0;

/// Load that an endpoint of a class carries.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Carry {
    /// The class.
    pub class: id::Class,
    /// Requests open at the latency target.
    pub open: u64,
}

/// Settings of stewards.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether instances are started and stopped.
    pub buy: bool,
    /// Time to live of a steward's lease; the same on all entry instances.
    pub lease: Millis,
    /// Longest time from the check before an order to its effect.
    pub flight: Millis,
    /// Requests open at one endpoint at the latency target, where `classes` says nothing.
    pub carries: u64,
    /// The same by machine class.
    pub classes: Vec<Carry>,
    /// Time in which the estimated load follows a rise.
    pub rise: Millis,
    /// Time in which the estimated load follows a fall.
    pub fall: Millis,
    /// Most starts without an answer; it stops a storm on the cloud's API.
    pub at_once: usize,
    /// Most starts in a minute; it stops a wrong list from buying a second fleet.
    pub per_minute: usize,
    /// Longest lag of the instance list, the flight of a start included.
    pub lag: Millis,
    /// First backoff of a kind of instance whose start was refused.
    pub backoff: Millis,
    /// Time from taking an instance out of use to giving it back.
    pub drain: Millis,
    /// Between two reads of the offers.
    pub offers: Millis,
    /// How long a drained engine must be seen idle before it loads.
    pub settle: Millis,
    /// Bytes a second of the weight store; 0 means no limit.
    pub weight_rate: Bytes,
    /// Most loads of one service at once.
    pub loads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            buy: true,
            lease: Millis(6000),
            flight: Millis(1000),
            carries: 16,
            classes: Vec::new(),
            rise: Millis(5000),
            fall: Millis(120_000),
            at_once: 32,
            per_minute: 240,
            lag: Millis(15_000),
            backoff: Millis(10_000),
            drain: Millis(10_000),
            offers: Millis(30_000),
            settle: Millis(3000),
            weight_rate: Bytes(2_000_000_000),
            loads: 4,
        }
    }
}

impl Settings {
    /// Load that an endpoint of a class carries.
    #[must_use]
    pub fn carries(&self, class: &id::Class) -> u64 {
        let found = self.classes.iter().find(|carry| carry.class == *class);
        found.map_or(self.carries, |carry| carry.open)
    }

    fn times(&self) -> steward::Settings {
        steward::Settings::with(self.lease.duration(), self.flight.duration())
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), Fault> {
        if self.flight.0 == 0 {
            return Err(Fault::new("stewards.flight", "must not be 0"));
        }
        if self.lease.0 < 3 * self.flight.0 {
            return Err(Fault::new(
                "stewards.lease",
                "must be at least three flights",
            ));
        }
        if self.carries == 0 {
            return Err(Fault::new("stewards.carries", "must not be 0"));
        }
        Ok(())
    }
}

/// What stands in the key that stewards hold.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
struct Claim {
    /// Who holds it.
    instance: id::Instance,
    /// The lease that it was taken under.
    lease: u64,
}

quick_error! {
    /// A key that cannot be understood.
    #[derive(Debug)]
    enum Error {
        /// Its value is not a claim.
        Claim(key: String, message: String) {
            display("reading {key}: {message}")
        }
    }
}

/// Lease and fencing number of one service.
#[derive(Debug)]
pub struct Lease {
    node: Arc<Node>,
    service: id::Service,
    key: String,
    steward: Mutex<Steward>,
}

impl Lease {
    fn new(node: Arc<Node>, service: id::Service, fencing: Fencing) -> Self {
        let steward = Steward::new(node.settings.stewards.times(), fencing);
        let key = format!("steward.{service}");
        Self {
            node,
            service,
            key,
            steward: Mutex::new(steward),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Steward> {
        self.steward.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leave to order now; to be asked for again right before each write.
    #[must_use]
    pub fn permit(&self) -> Option<Permit> {
        self.lock().permit(self.node.now())
    }

    /// Whether orders may be sent under this number now.
    #[must_use]
    pub fn allows(&self, fence: Fence) -> bool {
        self.permit().is_some_and(|permit| permit.fence == fence)
    }

    /// Keeps the lease, as far as this instance is a candidate, until `stop`.
    async fn keep(&self, stop: &CancellationToken) {
        let mut turn = interval(TURN);
        turn.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut shown = None;
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _at = turn.tick() => {}
            }
            let _nothing = self.handle(Input::Rank(self.rank()));
            self.step(Input::Tick).await;
            self.show(&mut shown);
        }
        self.step(Input::Stop).await;
        self.show(&mut shown);
    }

    /// This instance's rank among the live members; none while it leaves.
    fn rank(&self) -> Option<usize> {
        let view = self.node.view();
        if view.leaving {
            return None;
        }
        let me = &self.node.settings.instance;
        let mut members: Vec<id::Instance> = view
            .peers
            .iter()
            .map(|peer| peer.instance.clone())
            .collect();
        members.push(me.clone());
        steward::rank(&self.service, me, &members)
    }

    fn handle(&self, input: Input) -> Option<Action> {
        let mut steward = self.lock();
        let sound = steward.broken().is_none();
        let action = steward.handle(self.node.now(), input);
        if let (true, Some(broken)) = (sound, steward.broken()) {
            self.node.broken("steward_fence", broken);
        }
        action
    }

    /// Takes one input and does all that follows from it.
    async fn step(&self, input: Input) {
        let mut next = self.handle(input);
        while let Some(action) = next {
            next = match self.act(action).await {
                Some(input) => self.handle(input),
                None => None,
            };
        }
    }

    async fn act(&self, action: Action) -> Option<Input> {
        match action {
            Action::Read => Some(self.read().await),
            Action::Acquire => Some(self.acquire().await),
            Action::Renew(lease) => Some(self.renew(lease).await),
            Action::Release(lease) => {
                // A lease that can't be given back lapses by itself.
                let _left = self.node.store.revoke(lease).await;
                None
            }
        }
    }

    async fn read(&self) -> Input {
        match self.node.store.get(&self.key).await {
            Ok(None) => Input::Seen(None),
            Ok(Some(entry)) => match self.claim(&entry) {
                Ok(claim) => Input::Seen(Some((claim.lease, entry.revision))),
                Err(error) => self.failed("read", &error),
            },
            Err(error) => self.failed("read", &error),
        }
    }

    fn claim(&self, entry: &Entry) -> Result<Claim, Error> {
        let claim = http::parse(entry.value.as_bytes());
        claim.map_err(|error| Error::Claim(self.key.clone(), error.to_string()))
    }

    async fn acquire(&self) -> Input {
        let store = &self.node.store;
        let asked_at = self.node.now();
        let grant = Grant {
            ttl_ms: self.node.settings.stewards.lease,
        };
        let lease = match store.grant(grant).await {
            Ok(lease) => lease,
            // A lease whose answer was lost holds no key and lapses.
            Err(error) => return self.failed("grant", &error),
        };
        let claim = Claim {
            instance: self.node.settings.instance.clone(),
            lease: lease.id,
        };
        let value = String::from_utf8_lossy(&http::json(&claim)).into_owned();
        let put = Put {
            value,
            version: Some(ABSENT),
            lease: Some(lease.id),
        };
        match store.put(&self.key, put).await {
            Ok(entry) => Input::Granted {
                fence: entry.revision,
                lease: lease.id,
                ttl: lease.ttl_ms.duration(),
                asked_at,
            },
            Err(Call::Conflict(_) | Call::Lapsed) => {
                let _left = store.revoke(lease.id).await;
                Input::Lost
            }
            Err(error @ Call::Refused(_)) => self.failed("take", &error),
            Err(error @ Call::Unknown(_)) => {
                self.failed("take", &error);
                Input::StoreUnknown {
                    lease: lease.id,
                    asked_at,
                }
            }
        }
    }

    /// Renews the lease; a lost answer is asked for again at once, since a
    /// renewal that isn't known of doesn't count.
    async fn renew(&self, lease: u64) -> Input {
        match self.renew_once(lease).await {
            Input::StoreDown => self.renew_once(lease).await,
            settled => settled,
        }
    }

    async fn renew_once(&self, lease: u64) -> Input {
        let asked_at = self.node.now();
        match self.node.store.renew(lease).await {
            Ok(renewed) => Input::Renewed {
                lease,
                ttl: renewed.ttl_ms.duration(),
                asked_at,
            },
            Err(Call::Lapsed) => Input::Lost,
            Err(error) => self.failed("renew", &error),
        }
    }

    fn failed(&self, step: &str, error: &dyn std::error::Error) -> Input {
        let service = &self.service;
        event::STORE_FAILED.emit(format_args!(
            "step=steward_{step} service={service} error=\"{error}\""
        ));
        Input::StoreDown
    }

    /// Logs a change of whether this instance orders.
    fn show(&self, shown: &mut Option<Fence>) {
        let fence = self.permit().map(|permit| permit.fence);
        if fence == *shown {
            return;
        }
        let service = &self.service;
        match fence {
            Some(fence) => {
                event::STEWARD.emit(format_args!("service={service} fence={fence} orders=true"));
            }
            None => event::STEWARD.emit(format_args!("service={service} orders=false")),
        }
        *shown = fence;
    }
}

/// What the tasks of one service share.
#[derive(Debug)]
pub struct Duty {
    /// The instance.
    pub node: Arc<Node>,
    /// The service.
    pub service: id::Service,
    /// The lease.
    pub lease: Lease,
    /// The load, once it was measured.
    pub estimate: Mutex<Option<Estimate>>,
    /// Whether a version change needs one engine more.
    pub surge: AtomicBool,
}

impl Duty {
    fn new(node: &Arc<Node>, spec: &Spec) -> Self {
        Self {
            lease: Lease::new(Arc::clone(node), spec.service.clone(), spec.fencing),
            node: Arc::clone(node),
            service: spec.service.clone(),
            estimate: Mutex::new(None),
            surge: AtomicBool::new(false),
        }
    }

    /// The estimated load, once it was measured.
    #[must_use]
    pub fn estimate(&self) -> Option<Estimate> {
        *self.estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the estimated load.
    pub fn set_estimate(&self, estimate: Option<Estimate>) {
        *self.estimate.lock().unwrap_or_else(PoisonError::into_inner) = estimate;
    }

    async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.lease.keep(&stop) => {}
            () = order::run(&self) => {}
            () = start::run(&self) => {}
        }
    }
}

/// A service that needs a steward.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Spec {
    service: id::Service,
    fencing: Fencing,
}

#[derive(Debug)]
struct Running {
    spec: Spec,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Runs the stewards of all services until the instance stops, then gives the leases back.
pub async fn run(node: Arc<Node>) {
    let mut running: Vec<Running> = Vec::new();
    let mut look = interval(LOOK);
    loop {
        tokio::select! {
            () = node.stop.cancelled() => break,
            _at = look.tick() => {}
        }
        renew(&node, &mut running).await;
    }
    for one in running {
        // A task that panicked holds a lease that lapses.
        let _ended = one.task.await;
    }
}

/// Ends what is no longer wanted and starts what is new.
async fn renew(node: &Arc<Node>, running: &mut Vec<Running>) {
    let specs = specs(&node.view().catalog, node.settings.stewards.buy);
    let mut at = 0;
    while at < running.len() {
        if specs.contains(&running[at].spec) {
            at += 1;
            continue;
        }
        let old = running.swap_remove(at);
        old.stop.cancel();
        let _ended = old.task.await;
    }
    for spec in specs {
        if running.iter().any(|one| one.spec == spec) {
            continue;
        }
        let stop = node.stop.child_token();
        let duty = Arc::new(Duty::new(node, &spec));
        let task = tokio::spawn(duty.run(stop.clone()));
        running.push(Running { spec, stop, task });
    }
}

/// Services whose endpoints take orders, or whose instances are bought.
fn specs(catalog: &Catalog, buy: bool) -> Vec<Spec> {
    let needs =
        |service: &&Service| matches!(service.kind, Kind::Model { .. }) || (buy && service.max > 0);
    let spec = |service: &Service| Spec {
        service: service.name.clone(),
        fencing: service.fencing,
    };
    catalog.services.iter().filter(needs).map(spec).collect()
}
