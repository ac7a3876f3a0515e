//! A steward's orders to model engines: their states are read, what is wanted
//! is compared with them, and orders go out under the fencing number.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use hyper::Method;
use tokio::time::{MissedTickBehavior, interval};

use coltsfoothall::catalog::{Catalog, Kind, Service};
use coltsfoothall::id;
use coltsfoothall::order::{Engine, Loaded, Order, Wanted, Weights};
use coltsfoothall::rollout::{self, Rollout};
use coltsfoothall::size::Bytes;
use coltsfoothall::steward::{Fence, Permit};
use coltsfoothall::{order, share};
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Error;
use coltsfoothall_wire::cloud::Machine;
use coltsfoothall_wire::engine::{self, Load, State};
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::Put;

use crate::demand::{self, Estimate, Noted};
use crate::steward::Duty;
use crate::view::View;

/// Between two looks at the engines.
const TURN: Duration = Duration::from_secs(1);
/// Longest wait for an engine's state.
const WITHIN: Duration = Duration::from_secs(1);
/// Calls under way at once; it stops a large service from filling the connections.
const AT_ONCE: usize = 64;

/// The rollout under one fencing number.
#[derive(Debug)]
struct Office {
    fence: Fence,
    services: u64,
    rollout: Rollout,
    held_back: bool,
    /// The load as it is noted, once that was read.
    noted: Option<Noted>,
}

/// An engine and what it said of itself.
#[derive(Debug)]
struct Seen {
    engine: Engine,
    address: String,
    load: u64,
}

/// Gives orders for a service for as long as its lease allows.
pub async fn run(duty: &Arc<Duty>) {
    let mut office: Option<Office> = None;
    let mut turn = interval(TURN);
    turn.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        turn.tick().await;
        let Some(permit) = duty.lease.permit() else {
            continue;
        };
        let view = duty.node.view();
        let Some(service) = view.service(duty.service.as_str()) else {
            continue;
        };
        take(duty, &view, permit, &mut office);
        if let Some(office) = &mut office {
            office.turn(duty, &view, service).await;
        }
    }
}

/// Begins anew under a new number, or with another part of the weight store.
fn take(duty: &Duty, view: &View, permit: Permit, office: &mut Option<Office>) {
    let is_model = |service: &&Service| matches!(service.kind, Kind::Model { .. });
    let services = view.catalog.services.iter().filter(is_model).count() as u64;
    let had = office.as_ref();
    if had.is_none_or(|had| had.fence != permit.fence) {
        duty.set_estimate(None);
    }
    if had.is_some_and(|had| had.fence == permit.fence && had.services == services) {
        return;
    }
    let settings = &duty.node.settings.stewards;
    let share = share::Settings {
        rate: settings.weight_rate,
        services,
        max_loads: settings.loads,
    };
    let settle = settings.settle.duration();
    let settings = rollout::Settings {
        share,
        settle,
        ..rollout::Settings::default()
    };
    let rollout = Rollout::new(settings);
    *office = Some(Office {
        fence: permit.fence,
        services,
        rollout,
        held_back: false,
        noted: None,
    });
}

impl Office {
    async fn turn(&mut self, duty: &Duty, view: &View, service: &Service) {
        let Kind::Model { model, adapters } = &service.kind else {
            self.measure(duty, view, service, None).await;
            return;
        };
        let seen = read_all(duty, view).await;
        let open = seen.iter().map(|seen| seen.load).sum();
        let Some(estimate) = self.measure(duty, view, service, Some(open)).await else {
            return;
        };
        let needed = estimate.needed(&duty.node.settings.stewards);
        let Some(wanted) = wanted(&view.catalog, model, adapters, needed) else {
            return;
        };
        let engines: Vec<Engine> = seen.iter().map(|seen| seen.engine.clone()).collect();
        let orders = self.rollout.tick(duty.node.now(), &wanted, &engines);
        duty.surge
            .store(self.rollout.progress().surge, Ordering::Relaxed);
        self.check(duty);
        let fence = self.fence;
        let mut sends = Vec::new();
        for order in orders {
            let found = seen.binary_search_by(|s| s.engine.endpoint.cmp(&order.endpoint));
            if let Ok(at) = found {
                sends.push(send(duty, fence, order, &seen[at].address));
            }
        }
        stream::iter(sends)
            .buffer_unordered(AT_ONCE)
            .collect::<Vec<()>>()
            .await;
    }

    /// Takes a sample of the load into the estimate.
    async fn measure(
        &mut self,
        duty: &Duty,
        view: &View,
        service: &Service,
        open: Option<u64>,
    ) -> Option<Estimate> {
        if view.machines.is_empty() {
            return None;
        }
        let settings = &duty.node.settings.stewards;
        let mut estimate = match duty.estimate() {
            Some(estimate) => estimate,
            None => Estimate::new(duty.node.now(), recall(duty, view).await?),
        };
        let sample = demand::sample(view, service, open);
        estimate.add(duty.node.now(), sample, settings);
        duty.set_estimate(Some(estimate));
        self.note(duty, estimate.load()).await;
        Some(estimate)
    }

    /// Notes the load for the next steward if it has changed.
    async fn note(&mut self, duty: &Duty, load: u64) {
        if self.noted.is_some_and(|noted| !noted.is_old(load)) || !duty.lease.allows(self.fence) {
            return;
        }
        let noted = Noted { load };
        let value = String::from_utf8_lossy(&http::json(&noted)).into_owned();
        let put = Put {
            value,
            version: None,
            lease: None,
        };
        match duty.node.store.put(&key(&duty.service), put).await {
            Ok(_entry) => self.noted = Some(noted),
            // The next turn tries again.
            Err(error) => failed(duty, "note", &error),
        }
    }

    fn check(&mut self, duty: &Duty) {
        if let (Some(broken), false) = (self.rollout.broken(), self.held_back) {
            self.held_back = true;
            duty.node.broken("order_held_back", broken);
        }
    }
}

/// Key of the noted load.
fn key(service: &id::Service) -> String {
    format!("load.{service}")
}

/// The load that a former steward noted; the present instances' where there is none.
async fn recall(duty: &Duty, view: &View) -> Option<u64> {
    match duty.node.store.get(&key(&duty.service)).await {
        Ok(Some(entry)) => match http::parse::<Noted>(entry.value.as_bytes()) {
            Ok(noted) => return Some(noted.load),
            Err(error) => failed(duty, "parse", &error),
        },
        Ok(None) => {}
        Err(error) => {
            failed(duty, "read", &error);
            return None;
        }
    }
    let settings = &duty.node.settings.stewards;
    Some(demand::carried(view, &duty.service, settings))
}

fn failed(duty: &Duty, step: &str, error: &dyn std::error::Error) {
    let service = &duty.service;
    event::STORE_FAILED.emit(format_args!(
        "step=load_{step} service={service} error=\"{error}\""
    ));
}

fn wanted(
    catalog: &Catalog,
    model: &id::Model,
    adapters: &[id::Adapter],
    needed: usize,
) -> Option<Wanted> {
    let weights = |name: &str, version: u32, size: Bytes| Weights {
        loaded: Loaded {
            name: name.into(),
            version,
        },
        size,
    };
    let model = catalog.models.iter().find(|held| held.name == *model)?;
    let known = catalog
        .adapters
        .iter()
        .filter(|held| adapters.contains(&held.name));
    let mut adapters: Vec<Weights> = known
        .map(|held| weights(held.name.as_str(), held.version, held.weights))
        .collect();
    adapters.sort_by(|a, b| a.loaded.cmp(&b.loaded));
    let model = weights(model.name.as_str(), model.version, model.weights);
    Some(Wanted {
        model,
        adapters,
        needed,
    })
}

/// Engines of the service that answer, sorted by name. One that doesn't answer
/// counts as not serving.
async fn read_all(duty: &Duty, view: &View) -> Vec<Seen> {
    let here = |m: &&Machine| m.service == duty.service && !m.address.is_empty();
    let mut reads = Vec::new();
    for machine in view.machines.iter().filter(here) {
        reads.push(read(duty, view, machine));
    }
    let reads = stream::iter(reads)
        .buffer_unordered(AT_ONCE)
        .collect::<Vec<Option<Seen>>>();
    let mut seen: Vec<Seen> = reads.await.into_iter().flatten().collect();
    seen.sort_by(|a, b| a.engine.endpoint.cmp(&b.engine.endpoint));
    seen
}

async fn read(duty: &Duty, view: &View, machine: &Machine) -> Option<Seen> {
    let endpoint: id::Endpoint = machine.id.as_str().parse().ok()?;
    let client = &duty.node.client;
    let address = &machine.address;
    let state = client
        .get::<State>("state", address, "/v1/state", WITHIN)
        .await
        .ok()?;
    let load = client
        .get::<Load>("load", address, "/v1/load", WITHIN)
        .await
        .ok()?;
    let open = load.running + load.waiting;
    let engine = Engine {
        endpoint,
        model: state.model,
        adapters: state.adapters,
        loading: state.loading,
        role: state.role,
        open,
        leaving: !demand::is_live(view, machine),
    };
    Some(Seen {
        engine,
        address: address.clone(),
        load: u64::from(open),
    })
}

/// Sends an order if the lease still allows it.
async fn send(duty: &Duty, fence: Fence, order: Order, address: &str) {
    let order::Order {
        endpoint,
        model,
        adapters,
        role,
    } = order;
    let service = &duty.service;
    event::ORDER.emit(format_args!(
        "service={service} endpoint={endpoint} fence={fence} model={} version={} role={role:?}",
        model.name, model.version
    ));
    let order = engine::Order {
        fence,
        model,
        adapters,
        role,
    };
    let within = duty.node.settings.stewards.flight.duration();
    // Asked last, so that nothing but the write follows it.
    if !duty.lease.allows(fence) {
        return;
    }
    let client = &duty.node.client;
    let sent: Result<State, Error> = client
        .exchange("order", Method::POST, address, "/v1/orders", &order, within)
        .await;
    if let Err(error) = sent {
        // The order names a state, so the next turn sends it again if need be.
        event::ORDER_FAILED.emit(format_args!(
            "service={service} endpoint={endpoint} error=\"{error}\""
        ));
    }
}
