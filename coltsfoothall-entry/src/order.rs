//! A steward's orders to model engines: it reads the engines' states, compares them with
//! the wanted ones, and sends orders under its fencing token.

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

use crate::demand::{self, Estimate, Saved};
use crate::steward::Context;
use crate::view::View;

/// Interval at which the engines are read.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a read of an engine's state.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent calls; it keeps a large service from using up the
/// connections.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The rollout under one fencing token.
#[derive(Debug)]
struct Term {
    fence: Fence,
    services: u64,
    rollout: Rollout,
    held_back: bool,
    /// The load as it was saved, once it was read or written.
    saved: Option<Saved>,
}

/// An engine and the state that it reported.
#[derive(Debug)]
struct Observed {
    engine: Engine,
    address: String,
    load: u64,
}

/// Sends orders for a service for as long as its lease allows.
pub async fn run(context: &Arc<Context>) {
    let mut term: Option<Term> = None;
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(permit) = context.lease.permit() else {
            continue;
        };
        let view = context.node.view();
        let Some(service) = view.service(context.service.as_str()) else {
            continue;
        };
        update_term(context, &view, permit, &mut term);
        if let Some(term) = &mut term {
            term.tick(context, &view, service).await;
        }
    }
}

/// Starts a new term if the fencing token or the service's share of the weight store
/// changed.
fn update_term(context: &Context, view: &View, permit: Permit, term: &mut Option<Term>) {
    let is_model = |service: &&Service| matches!(service.kind, Kind::Model { .. });
    let services = view.catalog.services.iter().filter(is_model).count() as u64;
    let current = term.as_ref();
    if current.is_none_or(|term| term.fence != permit.fence) {
        context.set_estimate(None);
    }
    if current.is_some_and(|term| term.fence == permit.fence && term.services == services) {
        return;
    }
    let settings = &context.node.settings.stewards;
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
    *term = Some(Term {
        fence: permit.fence,
        services,
        rollout,
        held_back: false,
        saved: None,
    });
}

impl Term {
    async fn tick(&mut self, context: &Context, view: &View, service: &Service) {
        let Kind::Model { model, adapters } = &service.kind else {
            self.measure(context, view, service, None).await;
            return;
        };
        let observed = read_all(context, view).await;
        let open = observed.iter().map(|observed| observed.load).sum();
        let Some(estimate) = self.measure(context, view, service, Some(open)).await else {
            return;
        };
        let needed = estimate.needed(&context.node.settings.stewards);
        let Some(wanted) = wanted(&view.catalog, model, adapters, needed) else {
            return;
        };
        let engines: Vec<Engine> = observed
            .iter()
            .map(|observed| observed.engine.clone())
            .collect();
        let orders = self.rollout.tick(context.node.now(), &wanted, &engines);
        context
            .surge
            .store(self.rollout.progress().surge, Ordering::Relaxed);
        self.report_violation(context);
        let fence = self.fence;
        let mut sends = Vec::new();
        for order in orders {
            let found = observed.binary_search_by(|s| s.engine.endpoint.cmp(&order.endpoint));
            if let Ok(index) = found {
                sends.push(send(context, fence, order, &observed[index].address));
            }
        }
        stream::iter(sends)
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .collect::<Vec<()>>()
            .await;
    }

    /// Adds a sample of the load to the estimate.
    async fn measure(
        &mut self,
        context: &Context,
        view: &View,
        service: &Service,
        open: Option<u64>,
    ) -> Option<Estimate> {
        if view.machines.is_empty() {
            return None;
        }
        let settings = &context.node.settings.stewards;
        let mut estimate = match context.estimate() {
            Some(estimate) => estimate,
            None => Estimate::new(context.node.now(), load_saved(context, view).await?),
        };
        let sample = demand::sample(view, service, open);
        estimate.add(context.node.now(), sample, settings);
        context.set_estimate(Some(estimate));
        self.save(context, estimate.load()).await;
        Some(estimate)
    }

    /// Saves the load for the next steward if it has changed enough.
    async fn save(&mut self, context: &Context, load: u64) {
        if self.saved.is_some_and(|saved| !saved.is_outdated_by(load))
            || !context.lease.allows(self.fence)
        {
            return;
        }
        let saved = Saved { load };
        let value = String::from_utf8_lossy(&http::json(&saved)).into_owned();
        let put = Put {
            value,
            version: None,
            lease: None,
        };
        match context.node.store.put(&key(&context.service), put).await {
            Ok(_entry) => self.saved = Some(saved),
            // The next tick retries.
            Err(error) => log_failure(context, "note", &error),
        }
    }

    fn report_violation(&mut self, context: &Context) {
        if let (Some(broken), false) = (self.rollout.broken(), self.held_back) {
            self.held_back = true;
            context.node.report_violation("order_held_back", broken);
        }
    }
}

/// Key of the saved load.
fn key(service: &id::Service) -> String {
    format!("load.{service}")
}

/// The load that the previous steward saved, or what the current instances carry if none is
/// saved.
async fn load_saved(context: &Context, view: &View) -> Option<u64> {
    match context.node.store.get(&key(&context.service)).await {
        Ok(Some(entry)) => match http::parse::<Saved>(entry.value.as_bytes()) {
            Ok(saved) => return Some(saved.load),
            Err(error) => log_failure(context, "parse", &error),
        },
        Ok(None) => {}
        Err(error) => {
            log_failure(context, "read", &error);
            return None;
        }
    }
    let settings = &context.node.settings.stewards;
    Some(demand::surviving_capacity(view, &context.service, settings))
}

fn log_failure(context: &Context, step: &str, error: &dyn std::error::Error) {
    let service = &context.service;
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
    let model = catalog.models.iter().find(|known| known.name == *model)?;
    let wanted = catalog
        .adapters
        .iter()
        .filter(|known| adapters.contains(&known.name));
    let mut adapters: Vec<Weights> = wanted
        .map(|known| weights(known.name.as_str(), known.version, known.weights))
        .collect();
    adapters.sort_by(|a, b| a.loaded.cmp(&b.loaded));
    let model = weights(model.name.as_str(), model.version, model.weights);
    Some(Wanted {
        model,
        adapters,
        needed,
    })
}

/// The engines of the service that answer, sorted by name. One that doesn't answer counts
/// as not serving.
async fn read_all(context: &Context, view: &View) -> Vec<Observed> {
    let in_service = |m: &&Machine| m.service == context.service && !m.address.is_empty();
    let mut reads = Vec::new();
    for machine in view.machines.iter().filter(in_service) {
        reads.push(read(context, view, machine));
    }
    let reads = stream::iter(reads)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect::<Vec<Option<Observed>>>();
    let mut observed: Vec<Observed> = reads.await.into_iter().flatten().collect();
    observed.sort_by(|a, b| a.engine.endpoint.cmp(&b.engine.endpoint));
    observed
}

async fn read(context: &Context, view: &View, machine: &Machine) -> Option<Observed> {
    let endpoint: id::Endpoint = machine.id.as_str().parse().ok()?;
    let client = &context.node.client;
    let address = &machine.address;
    let state = client
        .get::<State>("state", address, "/v1/state", READ_TIMEOUT)
        .await
        .ok()?;
    let load = client
        .get::<Load>("load", address, "/v1/load", READ_TIMEOUT)
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
    Some(Observed {
        engine,
        address: address.clone(),
        load: u64::from(open),
    })
}

/// Sends an order if the lease still allows it.
async fn send(context: &Context, fence: Fence, order: Order, address: &str) {
    let order::Order {
        endpoint,
        model,
        adapters,
        role,
    } = order;
    let service = &context.service;
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
    let timeout = context.node.settings.stewards.flight.duration();
    // Checked last, so that nothing but the write follows.
    if !context.lease.allows(fence) {
        return;
    }
    let client = &context.node.client;
    let sent: Result<State, Error> = client
        .exchange(
            "order",
            Method::POST,
            address,
            "/v1/orders",
            &order,
            timeout,
        )
        .await;
    if let Err(error) = sent {
        // An order names a target state, so the next tick sends it again if it is still needed.
        event::ORDER_FAILED.emit(format_args!(
            "service={service} endpoint={endpoint} error=\"{error}\""
        ));
    }
}
