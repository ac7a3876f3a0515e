//! Orders endpoints while this instance acts for all.

use coltsfoothall::clock::Time;
use coltsfoothall::forward::config::{Scaling, Service};
use coltsfoothall::forward::order::{Live, Load, Order, Planner, Settings};
use coltsfoothall::id;
use coltsfoothall_shell::event;

use crate::border::{Actor, Error};
use crate::state::State;

/// Name of the duty in the settings.
const DUTY: &str = "autoscale";

/// The orders for one service.
#[derive(Debug)]
struct Line {
    service: id::Service,
    scaling: Scaling,
    book: Planner,
}

/// The orders for all services, begun anew by each holder from what it finds.
#[derive(Debug, Default)]
pub struct Buyer {
    lines: Vec<Line>,
}

impl Buyer {
    /// Looks at all services once and gives the orders that are due.
    pub async fn order(&mut self, state: &State) {
        if !state.settings().duties.iter().any(|duty| duty == DUTY) {
            return;
        }
        let Some(configuration) = state.configuration() else {
            return;
        };
        for service in configuration.table.services() {
            if let Some(scaling) = &service.scaling {
                self.order_service(state, service, scaling).await;
            }
        }
    }

    async fn order_service(&mut self, state: &State, service: &Service, scaling: &Scaling) {
        let now = state.now();
        let found = found(state, &service.name, scaling);
        let line = self.line(now, service, scaling, &found);
        let load = state.load(&service.name);
        for order in line.book.decide(now, load, &found) {
            let Some(fence) = state.fence() else {
                return;
            };
            let actor = Actor {
                instance: &state.name,
                fence,
            };
            let outcome = state.border.order(actor, &service.name, &order).await;
            log(service, &order, load, &outcome);
            match outcome {
                Ok(()) => line.book.accepted(&order),
                Err(Error::Conflict(_)) => line.book.refused(state.now(), &order),
                // It may have been done; what is missing later is ordered again.
                Err(_unknown) => {}
            }
        }
    }

    fn line(
        &mut self,
        now: Time,
        service: &Service,
        scaling: &Scaling,
        found: &[(id::Domain, Live)],
    ) -> &mut Line {
        let have = self
            .lines
            .iter()
            .position(|line| line.service == service.name);
        if let Some(place) = have
            && self.lines[place].scaling == *scaling
        {
            return &mut self.lines[place];
        }
        if let Some(place) = have {
            self.lines.remove(place);
        }
        let book = Planner::new(now, scaling.clone(), found, Settings::default());
        self.lines.push(Line {
            service: service.name.clone(),
            scaling: scaling.clone(),
            book,
        });
        let last = self.lines.len() - 1;
        &mut self.lines[last]
    }
}

fn log(service: &Service, order: &Order, load: Option<Load>, outcome: &Result<(), Error>) {
    let (name, domain) = (&service.name, &order.domain);
    let (count, reclaimable) = (order.count, order.reclaimable);
    let load = load.map_or(-1.0, |load| load.value);
    let reason = outcome.as_ref().err();
    event::ORDERED.emit(format_args!(
        "service={name} domain={domain} reclaimable={reclaimable} count={count} load={load:.2} refused={reason:?}"
    ));
}

/// Endpoints that take work, by domain and kind. Those that a service may be moved to are
/// started beside the others by whoever ordered the move, and replace none yet.
fn found(state: &State, service: &id::Service, scaling: &Scaling) -> Vec<(id::Domain, Live)> {
    let roster = state.roster.borrow();
    let upgrades = state.upgrades.borrow();
    let candidate = upgrades.candidate(service);
    let count = |domain: &id::Domain, reclaimable: bool| {
        let nodes = roster.nodes().iter().map(|node| &node.entry);
        let nodes = nodes.filter(|entry| {
            entry.service == *service
                && !entry.leaving
                && (candidate.is_none() || entry.version.as_ref() != candidate)
                && entry.domain == *domain
                && entry.reclaimable == reclaimable
        });
        nodes.count() as u32
    };
    let domains = scaling.costs.iter().map(|cost| &cost.domain);
    domains
        .map(|domain| {
            let live = Live {
                on_demand: count(domain, false),
                reclaimable: count(domain, true),
            };
            (domain.clone(), live)
        })
        .collect()
}
