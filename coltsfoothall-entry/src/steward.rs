//! Stewards: for each service, the one entry instance that orders its engines and starts
//! and stops its instances.
//!
//! Each service has its own tasks: one maintains the lease, one sends orders to engines,
//! one starts and stops instances. The latter two check the lease right before each write.

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

/// Interval at which the set of services is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The load that an endpoint of a class carries.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The class.
    pub class: id::Class,
    /// Number of open requests at which the latency target is met.
    pub open: u64,
}

/// Settings of stewards.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether instances are started and stopped.
    pub buy: bool,
    /// Time to live of a steward's lease; must be the same on all entry instances.
    pub lease: Millis,
    /// Maximum time from the check before an order to its effect.
    pub flight: Millis,
    /// Number of open requests at one endpoint at which the latency target is met, for machine
    /// classes that `classes` does not list.
    pub carries: u64,
    /// The same for each machine class.
    pub classes: Vec<Capacity>,
    /// Time constant with which the estimated load follows a rise.
    pub rise: Millis,
    /// Time constant with which the estimated load follows a fall.
    pub fall: Millis,
    /// Maximum number of starts without an answer; it prevents a storm of calls to the cloud's
    /// API.
    pub at_once: usize,
    /// Maximum number of starts in a minute; it keeps a wrong instance list from buying a
    /// second fleet.
    pub per_minute: usize,
    /// Maximum lag of the instance list, including the time that a start is in flight.
    pub lag: Millis,
    /// First backoff of a kind of instance whose start was refused.
    pub backoff: Millis,
    /// Time from taking an instance out of use to terminating it.
    pub drain: Millis,
    /// Interval between two reads of the offers.
    pub offers: Millis,
    /// How long a drained engine must be seen idle before it loads weights.
    pub settle: Millis,
    /// Bandwidth of the weight store in bytes per second; 0 means no limit.
    pub weight_rate: Bytes,
    /// Maximum number of concurrent loads of weights for one service.
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
    /// The load that an endpoint of a class carries.
    #[must_use]
    pub fn capacity(&self, class: &id::Class) -> u64 {
        let found = self
            .classes
            .iter()
            .find(|capacity| capacity.class == *class);
        found.map_or(self.carries, |capacity| capacity.open)
    }

    /// The settings of the lease.
    #[must_use]
    pub fn lease_settings(&self) -> steward::Settings {
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
                "must be at least three times stewards.flight",
            ));
        }
        if self.carries == 0 {
            return Err(Fault::new("stewards.carries", "must not be 0"));
        }
        Ok(())
    }
}

/// The state that the tasks of one service share.
#[derive(Debug)]
pub struct Context {
    /// The state of this instance.
    pub node: Arc<Node>,
    /// The service.
    pub service: id::Service,
    /// The lease of the service's steward.
    pub lease: Lease,
    /// The estimated load, once it was measured.
    pub estimate: Mutex<Option<Estimate>>,
    /// Whether a version change needs one more engine.
    pub surge: AtomicBool,
}

impl Context {
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
            () = self.lease.run(&stop) => {}
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

/// Runs the stewards of all services until the instance stops, then releases their leases.
pub async fn run(node: Arc<Node>) {
    let mut running: Vec<Running> = Vec::new();
    let mut ticks = interval(CHECK_INTERVAL);
    loop {
        tokio::select! {
            () = node.stop.cancelled() => break,
            _at = ticks.tick() => {}
        }
        update_stewards(&node, &mut running).await;
    }
    for steward in running {
        // The lease of a task that panicked expires.
        let _ended = steward.task.await;
    }
}

/// Stops the stewards that are no longer wanted and starts the new ones.
async fn update_stewards(node: &Arc<Node>, running: &mut Vec<Running>) {
    let specs = specs(&node.view().catalog, node.settings.stewards.buy);
    let mut index = 0;
    while index < running.len() {
        if specs.contains(&running[index].spec) {
            index += 1;
            continue;
        }
        let old = running.swap_remove(index);
        old.stop.cancel();
        let _ended = old.task.await;
    }
    for spec in specs {
        if running.iter().any(|steward| steward.spec == spec) {
            continue;
        }
        let stop = node.stop.child_token();
        let context = Arc::new(Context::new(node, &spec));
        let task = tokio::spawn(context.run(stop.clone()));
        running.push(Running { spec, stop, task });
    }
}

/// The services that need a steward: those whose endpoints take orders, or whose instances
/// are bought.
fn specs(catalog: &Catalog, buy: bool) -> Vec<Spec> {
    let needs =
        |service: &&Service| matches!(service.kind, Kind::Model { .. }) || (buy && service.max > 0);
    let spec = |service: &Service| Spec {
        service: service.name.clone(),
        fencing: service.fencing,
    };
    catalog.services.iter().filter(needs).map(spec).collect()
}
