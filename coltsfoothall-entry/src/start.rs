//! A steward's starts and stops of instances at the cloud API.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use hyper::Method;
use tokio::time::timeout;

use coltsfoothall::catalog::{Placement, Service};
use coltsfoothall::clock::Time;
use coltsfoothall::fleet::{self, Capacity, Demand, Kind, Offer};
use coltsfoothall::id;
use coltsfoothall::start::{self, Action, Input, Queue, Token, Wanted};
use coltsfoothall::steward::Fence;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Error;
use coltsfoothall_wire::cloud::{Machine, Offers, Phase, Start};

use crate::message::Message;
use crate::steward::Context;
use crate::view::View;

/// Maximum time between two ticks; a new snapshot of the control state triggers an earlier
/// one.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call of the cloud API.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls; it keeps a wave of starts from using up the
/// connections.
const MAX_CONCURRENT_CALLS: usize = 32;
/// How long an instance may be out of use and still live before it is terminated: a
/// previous steward may have been stopping it.
const STRAY_DELAY: Duration = Duration::from_secs(60);
/// Status with which the cloud API refuses a start.
const STATUS_REFUSED: u16 = 409;
/// Status for an instance that no longer exists.
const STATUS_GONE: u16 = 404;

/// An instance to terminate.
#[derive(Debug)]
struct Stop {
    id: id::Instance,
    due: Time,
}

/// Starts and stops under one fencing token.
#[derive(Debug)]
struct Term {
    fence: Fence,
    queue: Queue,
    /// The instance list that the queue was given.
    listed: Arc<Vec<Machine>>,
    /// Instances whose notice the queue was given, sorted.
    notices: Vec<id::Instance>,
    stops: Vec<Stop>,
    has_wanted: bool,
}

/// The offers, and when they were read.
#[derive(Debug, Default)]
struct Market {
    offers: Vec<Offer>,
    read_at: Option<Time>,
}

/// Starts and stops the instances of a service for as long as its lease allows.
pub async fn run(context: &Arc<Context>) {
    let mut market = Market::default();
    let mut term: Option<Term> = None;
    let mut views = context.node.views.clone();
    loop {
        // There may be something to do after a change as well as after the timeout.
        let _news = timeout(MAX_TICK_INTERVAL, views.changed()).await;
        let Some(permit) = context.lease.permit() else {
            continue;
        };
        let view = Arc::clone(&views.borrow_and_update());
        let Some(service) = view.service(context.service.as_str()) else {
            continue;
        };
        if !context.node.settings.stewards.buy || service.max == 0 {
            continue;
        }
        market.read(context).await;
        if term.as_ref().is_none_or(|term| term.fence != permit.fence) {
            term = Some(Term::new(context, permit.fence));
        }
        if let Some(term) = &mut term {
            term.tick(context, &view, service, &market).await;
        }
    }
}

impl Market {
    /// Reads the offers if they are old. The old ones stay in use while they can't be read.
    async fn read(&mut self, context: &Context) {
        let node = &context.node;
        let now = node.now();
        let interval = node.settings.stewards.offers.duration();
        if self.read_at.is_some_and(|at| now < at + interval) {
            return;
        }
        let cloud = node.settings.cloud.to_string();
        match node
            .client
            .get::<Offers>("offers", &cloud, "/v1/offers", CALL_TIMEOUT)
            .await
        {
            Ok(read) => {
                let offer = |offer: coltsfoothall_wire::cloud::Offer| Offer {
                    kind: Kind {
                        domain: offer.domain,
                        class: offer.class,
                        lend: offer.lend,
                    },
                    price: offer.price,
                };
                self.offers = read.offers.into_iter().map(offer).collect();
                self.read_at = Some(now);
            }
            Err(error) => event::LIST_FAILED.emit(format_args!("error=\"{error}\"")),
        }
    }
}

impl Term {
    fn new(context: &Context, fence: Fence) -> Self {
        let settings = &context.node.settings.stewards;
        let limits = start::Settings {
            max_pending: settings.at_once,
            max_per_minute: settings.per_minute,
            max_lag: settings.lag.duration(),
            backoff: settings.backoff.duration(),
            ..start::Settings::default()
        };
        Self {
            fence,
            queue: Queue::new(context.node.now(), limits, context.service.clone(), fence),
            listed: Arc::default(),
            notices: Vec::new(),
            stops: Vec::new(),
            has_wanted: false,
        }
    }

    async fn tick(&mut self, context: &Context, view: &View, service: &Service, market: &Market) {
        self.update_queue(context, view);
        self.update_wanted(context, view, service, market);
        if !self.has_wanted {
            return;
        }
        let now = context.node.now();
        let actions = self.queue.handle(now, Input::Tick);
        let fence = self.fence;
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start { token, kind } => {
                    starts.push(start_instance(context, fence, token, kind))
                }
                Action::Stop(id) => self.stop(context, now, id),
            }
        }
        let calls = stream::iter(starts).buffer_unordered(MAX_CONCURRENT_CALLS);
        for input in calls.collect::<Vec<Input>>().await {
            self.queue.handle(context.node.now(), input);
        }
        self.terminate_due(context).await;
    }

    /// Gives the instance list and the notices to the queue, each once.
    fn update_queue(&mut self, context: &Context, view: &View) {
        let now = context.node.now();
        if !Arc::ptr_eq(&self.listed, &view.machines) {
            self.listed = Arc::clone(&view.machines);
            let own = view
                .machines
                .iter()
                .filter(|m| m.service == context.service);
            self.queue
                .handle(now, Input::Listed(own.map(machine).collect()));
            self.schedule_strays(context, view);
        }
        for id in &view.noticed {
            if let Err(index) = self.notices.binary_search(id) {
                self.notices.insert(index, id.clone());
                self.queue.handle(now, Input::Notice(id.clone()));
            }
        }
        self.notices
            .retain(|id| view.noticed.binary_search(id).is_ok());
    }

    /// Schedules the termination of instances that are out of use but that the platform doesn't
    /// reclaim.
    fn schedule_strays(&mut self, context: &Context, view: &View) {
        let due = context.node.now() + STRAY_DELAY;
        let stray = |m: &&Machine| {
            let noticed = view.noticed.binary_search(&m.id).is_ok();
            m.service == context.service && m.phase == Phase::Live && noticed
        };
        for machine in view.machines.iter().filter(stray) {
            if self.stops.iter().all(|stop| stop.id != machine.id) {
                self.stops.push(Stop {
                    id: machine.id.clone(),
                    due,
                });
            }
        }
        // Instances that are leaving or gone need not be terminated.
        let live = |id: &id::Instance| {
            let found = view.machines.binary_search_by(|m| m.id.cmp(id));
            found.is_ok_and(|index| view.machines[index].phase != Phase::Leaving)
        };
        self.stops.retain(|stop| live(&stop.id));
    }

    fn update_wanted(
        &mut self,
        context: &Context,
        view: &View,
        service: &Service,
        market: &Market,
    ) {
        let Some(estimate) = context.estimate() else {
            return;
        };
        if market.offers.is_empty() {
            return;
        }
        let settings = &context.node.settings.stewards;
        let surge = context.surge.load(Ordering::Relaxed);
        let load = estimate.load() + if surge { settings.carries } else { 0 };
        let mut classes: Vec<&id::Class> = market.offers.iter().map(|o| &o.kind.class).collect();
        classes.sort_unstable();
        classes.dedup();
        let capacity = |class: &id::Class| Capacity {
            class: class.clone(),
            load: settings.capacity(class),
        };
        let capacities: Vec<Capacity> = classes.into_iter().map(capacity).collect();
        let demand = Demand {
            load,
            capacities: capacities.clone(),
            min: service.min,
            max: service.max,
            ..Demand::default()
        };
        let placements = &view.catalog.placements;
        let placement = placements
            .iter()
            .find(|placement| placement.service == service.name);
        let placement = placement
            .cloned()
            .unwrap_or_else(|| anywhere(&service.name));
        let plan = fleet::plan(&demand, &market.offers, &placement);
        let wanted = Wanted {
            allocations: plan.allocations,
            offers: allowed(market, &placement),
            capacities,
        };
        self.queue.handle(context.node.now(), Input::Wanted(wanted));
        self.has_wanted = true;
    }

    /// Takes an instance out of use on all entry instances, and schedules its termination for
    /// when all know.
    fn stop(&mut self, context: &Context, now: Time, id: id::Instance) {
        let due = now + context.node.settings.stewards.drain.duration();
        context.node.control.send(Message::Notice(id.clone()));
        match self.stops.iter_mut().find(|stop| stop.id == id) {
            Some(stop) => stop.due = stop.due.min(due),
            None => self.stops.push(Stop { id, due }),
        }
    }

    /// Terminates the instances that are due.
    async fn terminate_due(&mut self, context: &Context) {
        let now = context.node.now();
        for index in (0..self.stops.len()).rev() {
            if self.stops[index].due > now || !context.lease.allows(self.fence) {
                continue;
            }
            let id = self.stops[index].id.clone();
            let cloud = context.node.settings.cloud.to_string();
            let path = format!("/v1/instances/{id}");
            let call = context.node.client.call(
                "stop",
                Method::DELETE,
                &cloud,
                &path,
                Bytes::new(),
                CALL_TIMEOUT,
            );
            match call.await {
                Ok(_) | Err(Error::Status(_, _, STATUS_GONE, _)) => {
                    event::STOP.emit(format_args!("service={} instance={id}", context.service));
                    self.stops.remove(index);
                }
                Err(error) => event::START_FAILED
                    .emit(format_args!("step=stop instance={id} error=\"{error}\"")),
            }
        }
    }
}

/// Starts an instance if the lease still allows it.
async fn start_instance(context: &Context, fence: Fence, token: Token, kind: Kind) -> Input {
    let node = &context.node;
    let start = Start {
        token: token.as_str().into(),
        service: context.service.clone(),
        domain: kind.domain,
        class: kind.class,
        lend: kind.lend,
    };
    let cloud = node.settings.cloud.to_string();
    if !context.lease.allows(fence) {
        return Input::Unknown(token);
    }
    let result = node
        .client
        .exchange::<_, Machine>(
            "start",
            Method::POST,
            &cloud,
            "/v1/instances",
            &start,
            CALL_TIMEOUT,
        )
        .await;
    let Start {
        domain,
        class,
        lend,
        ..
    } = start;
    match result {
        Ok(machine) => {
            let id = machine.id;
            event::START.emit(format_args!(
                "service={} instance={id} domain={domain} class={class} lend={lend:?}",
                context.service
            ));
            Input::Started { token, id }
        }
        Err(error) => {
            event::START_FAILED.emit(format_args!(
                "step=start domain={domain} class={class} lend={lend:?} error=\"{error}\""
            ));
            match error {
                Error::Status(_, _, STATUS_REFUSED, _) => Input::Refused(token),
                _ => Input::Unknown(token),
            }
        }
    }
}

fn machine(machine: &Machine) -> start::Machine {
    let Machine {
        domain,
        class,
        lend,
        ..
    } = machine.clone();
    let kind = Kind {
        domain,
        class,
        lend,
    };
    start::Machine {
        id: machine.id.clone(),
        kind,
        phase: machine.phase,
    }
}

fn anywhere(service: &id::Service) -> Placement {
    Placement {
        service: service.clone(),
        domains: Vec::new(),
        classes: Vec::new(),
        price: coltsfoothall::size::Price(0),
        on_demand: 0,
    }
}

/// Offers that the placement allows, for substitutes.
fn allowed(market: &Market, placement: &Placement) -> Vec<Offer> {
    let allows = |offer: &&Offer| {
        let kind = &offer.kind;
        let domain = placement.domains.is_empty() || placement.domains.contains(&kind.domain);
        let class = placement.classes.is_empty() || placement.classes.contains(&kind.class);
        let price = placement.price.0 == 0 || offer.price <= placement.price;
        domain && class && price
    };
    market.offers.iter().filter(allows).cloned().collect()
}
