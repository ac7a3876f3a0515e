//! Scales services while this instance leads.

use coltsfoothall::clock::Time;
use coltsfoothall::forward::config::{Scaling, Service};
use coltsfoothall::forward::order::{Live, Load, Order, Planner, Settings};
use coltsfoothall::id;
use coltsfoothall_shell::event;

use crate::adapter::{Error, Leadership};
use crate::state::State;

/// Name of this duty in the settings.
const DUTY: &str = "autoscale";

/// Scaling state of one service.
#[derive(Debug)]
struct Entry {
    service: id::Service,
    scaling: Scaling,
    planner: Planner,
}

/// Scales all services. Each leader starts from the endpoints that it finds.
#[derive(Debug, Default)]
pub struct Autoscaler {
    entries: Vec<Entry>,
}

impl Autoscaler {
    /// Checks all services once and places the orders that are due.
    pub async fn tick(&mut self, state: &State) {
        if !state.settings().duties.iter().any(|duty| duty == DUTY) {
            return;
        }
        let Some(configuration) = state.configuration() else {
            return;
        };
        for service in configuration.config.services() {
            if let Some(scaling) = &service.scaling {
                self.order_service(state, service, scaling).await;
            }
        }
    }

    async fn order_service(&mut self, state: &State, service: &Service, scaling: &Scaling) {
        let now = state.now();
        let found = count_live(state, &service.name, scaling);
        let saved = state.saved_load(&service.name);
        let entry = self.entry(now, service, scaling, &found);
        let load = state.load(&service.name);
        for order in entry.planner.decide(now, load, saved, &found) {
            let Some(fence) = state.fence() else {
                return;
            };
            let leadership = Leadership {
                instance: &state.name,
                fence,
            };
            let outcome = state
                .adapter
                .order_endpoints(leadership, &service.name, &order)
                .await;
            log(service, &order, load, &outcome);
            match outcome {
                Ok(()) => entry.planner.accepted(&order),
                Err(Error::Conflict(_)) => entry.planner.refused(state.now(), &order),
                // The order may have taken effect; endpoints that are still missing later are
                // ordered again.
                Err(_unknown) => {}
            }
        }
    }

    fn entry(
        &mut self,
        now: Time,
        service: &Service,
        scaling: &Scaling,
        found: &[(id::Domain, Live)],
    ) -> &mut Entry {
        let known = self
            .entries
            .iter()
            .position(|entry| entry.service == service.name);
        if let Some(index) = known
            && self.entries[index].scaling == *scaling
        {
            return &mut self.entries[index];
        }
        if let Some(index) = known {
            self.entries.remove(index);
        }
        let planner = Planner::new(now, scaling.clone(), found, Settings::default());
        self.entries.push(Entry {
            service: service.name.clone(),
            scaling: scaling.clone(),
            planner,
        });
        let last = self.entries.len() - 1;
        &mut self.entries[last]
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

/// Endpoints that accept requests, by failure domain and kind. Endpoints of an upgrade candidate
/// are started by whoever ordered the upgrade, in addition to the others, and do not count yet.
fn count_live(state: &State, service: &id::Service, scaling: &Scaling) -> Vec<(id::Domain, Live)> {
    let roster = state.roster.borrow();
    let upgrades = state.upgrades.borrow();
    let candidate = upgrades.candidate(service);
    let count = |domain: &id::Domain, reclaimable: bool| {
        let nodes = roster.nodes().iter().filter(|node| {
            let entry = &node.entry;
            entry.service == *service
                && !node.is_leaving()
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
