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
use crate::steward::Duty;
use crate::view::View;

/// Longest time between two looks; news of instances wake earlier.
const TURN: Duration = Duration::from_millis(500);
/// Longest wait for a call of the cloud API.
const WITHIN: Duration = Duration::from_secs(2);
/// Calls under way at once; it stops a wave from filling the connections.
const AT_ONCE: usize = 32;
/// How long an instance may be out of use and still live before it is given
/// back: a former steward may have been stopping it.
const STRAY: Duration = Duration::from_secs(60);
/// Status with which the cloud API refuses a start.
const REFUSED: u16 = 409;
/// Status for an instance that is gone.
const GONE: u16 = 404;

/// An instance that is to be given back.
#[derive(Debug)]
struct Stop {
    id: id::Instance,
    at: Time,
}

/// Starts and stops under one fencing number.
#[derive(Debug)]
struct Office {
    fence: Fence,
    queue: Queue,
    /// The list that the queue has.
    listed: Arc<Vec<Machine>>,
    /// Notices that the queue has, sorted.
    told: Vec<id::Instance>,
    stops: Vec<Stop>,
    has_wanted: bool,
}

/// The offers and when they were read.
#[derive(Debug, Default)]
struct Market {
    offers: Vec<Offer>,
    read_at: Option<Time>,
}

/// Starts and stops instances of a service for as long as its lease allows.
pub async fn run(duty: &Arc<Duty>) {
    let mut market = Market::default();
    let mut office: Option<Office> = None;
    let mut views = duty.node.views.clone();
    loop {
        // Either way there may be something to do.
        let _news = timeout(TURN, views.changed()).await;
        let Some(permit) = duty.lease.permit() else {
            continue;
        };
        let view = Arc::clone(&views.borrow_and_update());
        let Some(service) = view.service(duty.service.as_str()) else {
            continue;
        };
        if !duty.node.settings.stewards.buy || service.max == 0 {
            continue;
        }
        market.read(duty).await;
        if office
            .as_ref()
            .is_none_or(|office| office.fence != permit.fence)
        {
            office = Some(Office::new(duty, permit.fence));
        }
        if let Some(office) = &mut office {
            office.turn(duty, &view, service, &market).await;
        }
    }
}

impl Market {
    /// Reads the offers if they are old; they are kept while they can't be read.
    async fn read(&mut self, duty: &Duty) {
        let node = &duty.node;
        let now = node.now();
        let every = node.settings.stewards.offers.duration();
        if self.read_at.is_some_and(|at| now < at + every) {
            return;
        }
        let cloud = node.settings.cloud.to_string();
        match node
            .client
            .get::<Offers>("offers", &cloud, "/v1/offers", WITHIN)
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

impl Office {
    fn new(duty: &Duty, fence: Fence) -> Self {
        let settings = &duty.node.settings.stewards;
        let limits = start::Settings {
            max_pending: settings.at_once,
            max_per_minute: settings.per_minute,
            max_lag: settings.lag.duration(),
            backoff: settings.backoff.duration(),
            ..start::Settings::default()
        };
        Self {
            fence,
            queue: Queue::new(duty.node.now(), limits, duty.service.clone(), fence),
            listed: Arc::default(),
            told: Vec::new(),
            stops: Vec::new(),
            has_wanted: false,
        }
    }

    async fn turn(&mut self, duty: &Duty, view: &View, service: &Service, market: &Market) {
        self.hear(duty, view);
        self.want(duty, view, service, market);
        if !self.has_wanted {
            return;
        }
        let now = duty.node.now();
        let actions = self.queue.handle(now, Input::Tick);
        let fence = self.fence;
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start { token, kind } => starts.push(begin(duty, fence, token, kind)),
                Action::Stop(id) => self.stop(duty, now, id),
            }
        }
        let calls = stream::iter(starts).buffer_unordered(AT_ONCE);
        for input in calls.collect::<Vec<Input>>().await {
            self.queue.handle(duty.node.now(), input);
        }
        self.give_back(duty).await;
    }

    /// Hands the list and the notices on to the queue, each once.
    fn hear(&mut self, duty: &Duty, view: &View) {
        let now = duty.node.now();
        if !Arc::ptr_eq(&self.listed, &view.machines) {
            self.listed = Arc::clone(&view.machines);
            let own = view.machines.iter().filter(|m| m.service == duty.service);
            self.queue
                .handle(now, Input::Listed(own.map(machine).collect()));
            self.find_strays(duty, view);
        }
        for id in &view.noticed {
            if let Err(at) = self.told.binary_search(id) {
                self.told.insert(at, id.clone());
                self.queue.handle(now, Input::Notice(id.clone()));
            }
        }
        self.told
            .retain(|id| view.noticed.binary_search(id).is_ok());
    }

    /// Instances out of use that the platform doesn't take back.
    fn find_strays(&mut self, duty: &Duty, view: &View) {
        let at = duty.node.now() + STRAY;
        let stray = |m: &&Machine| {
            let noticed = view.noticed.binary_search(&m.id).is_ok();
            m.service == duty.service && m.phase == Phase::Live && noticed
        };
        for machine in view.machines.iter().filter(stray) {
            if self.stops.iter().all(|stop| stop.id != machine.id) {
                self.stops.push(Stop {
                    id: machine.id.clone(),
                    at,
                });
            }
        }
        // What is leaving or gone needs no more telling.
        let live = |id: &id::Instance| {
            let found = view.machines.binary_search_by(|m| m.id.cmp(id));
            found.is_ok_and(|at| view.machines[at].phase != Phase::Leaving)
        };
        self.stops.retain(|stop| live(&stop.id));
    }

    fn want(&mut self, duty: &Duty, view: &View, service: &Service, market: &Market) {
        let Some(estimate) = duty.estimate() else {
            return;
        };
        if market.offers.is_empty() {
            return;
        }
        let settings = &duty.node.settings.stewards;
        let surge = duty.surge.load(Ordering::Relaxed);
        let load = estimate.load() + if surge { settings.carries } else { 0 };
        let mut classes: Vec<&id::Class> = market.offers.iter().map(|o| &o.kind.class).collect();
        classes.sort_unstable();
        classes.dedup();
        let capacity = |class: &id::Class| Capacity {
            class: class.clone(),
            load: settings.carries(class),
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
        let placement = placements.iter().find(|held| held.service == service.name);
        let placement = placement
            .cloned()
            .unwrap_or_else(|| anywhere(&service.name));
        let plan = fleet::plan(&demand, &market.offers, &placement);
        let wanted = Wanted {
            allocations: plan.allocations,
            offers: allowed(market, &placement),
            capacities,
        };
        self.queue.handle(duty.node.now(), Input::Wanted(wanted));
        self.has_wanted = true;
    }

    /// Takes an instance out of use everywhere; it is given back once that is known.
    fn stop(&mut self, duty: &Duty, now: Time, id: id::Instance) {
        let at = now + duty.node.settings.stewards.drain.duration();
        duty.node.control.send(Message::Notice(id.clone()));
        match self.stops.iter_mut().find(|stop| stop.id == id) {
            Some(stop) => stop.at = stop.at.min(at),
            None => self.stops.push(Stop { id, at }),
        }
    }

    /// Gives instances back whose time has come.
    async fn give_back(&mut self, duty: &Duty) {
        let now = duty.node.now();
        for at in (0..self.stops.len()).rev() {
            if self.stops[at].at > now || !duty.lease.allows(self.fence) {
                continue;
            }
            let id = self.stops[at].id.clone();
            let cloud = duty.node.settings.cloud.to_string();
            let path = format!("/v1/instances/{id}");
            let call =
                duty.node
                    .client
                    .call("stop", Method::DELETE, &cloud, &path, Bytes::new(), WITHIN);
            match call.await {
                Ok(_) | Err(Error::Status(_, _, GONE, _)) => {
                    event::STOP.emit(format_args!("service={} instance={id}", duty.service));
                    self.stops.remove(at);
                }
                Err(error) => event::START_FAILED
                    .emit(format_args!("step=stop instance={id} error=\"{error}\"")),
            }
        }
    }
}

/// Asks for an instance if the lease still allows it.
async fn begin(duty: &Duty, fence: Fence, token: Token, kind: Kind) -> Input {
    let node = &duty.node;
    let start = Start {
        token: token.as_str().into(),
        service: duty.service.clone(),
        domain: kind.domain,
        class: kind.class,
        lend: kind.lend,
    };
    let cloud = node.settings.cloud.to_string();
    if !duty.lease.allows(fence) {
        return Input::Unknown(token);
    }
    let began = node
        .client
        .exchange::<_, Machine>(
            "start",
            Method::POST,
            &cloud,
            "/v1/instances",
            &start,
            WITHIN,
        )
        .await;
    let Start {
        domain,
        class,
        lend,
        ..
    } = start;
    match began {
        Ok(machine) => {
            let id = machine.id;
            event::START.emit(format_args!(
                "service={} instance={id} domain={domain} class={class} lend={lend:?}",
                duty.service
            ));
            Input::Started { token, id }
        }
        Err(error) => {
            event::START_FAILED.emit(format_args!(
                "step=start domain={domain} class={class} lend={lend:?} error=\"{error}\""
            ));
            match error {
                Error::Status(_, _, REFUSED, _) => Input::Refused(token),
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
