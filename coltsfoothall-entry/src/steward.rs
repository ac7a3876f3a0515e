//! Stewards: for each service the one entry instance that orders, starts and stops.
//!
//! Each service has its own tasks: one keeps the lease, one gives orders to
//! engines, one starts and stops instances. The latter two ask for leave right
//! before each write.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use coltsfoothall::catalog::{Catalog, Fencing, Kind, Service};
use coltsfoothall::id;
use coltsfoothall::size::{Bytes, Millis};
use coltsfoothall::steward;
use coltsfoothall_shell::settings::{Check, Fault};

use crate::demand::Estimate;
use crate::lease::Lease;
use crate::node::Node;
use crate::{order, start};

/// Between two looks at which services there are.
const LOOK: Duration = Duration::from_secs(1);

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

    /// The times of a lease.
    #[must_use]
    pub fn times(&self) -> steward::Settings {
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
