//! The platform's instances as the control thread knows them: the latest instance list and
//! the reclaim notices received since.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::catalog::{Catalog, Kind};
use coltsfoothall::choice;
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::weight::Risk;
use coltsfoothall_wire::cloud::{Machine, Phase};

use crate::death::MAX_PEERS_PROBED;
use crate::members::ENTRY;
use crate::view::Location;

/// How long a notice is repeated to peers.
const NOTICE_REPEAT_PERIOD: Duration = Duration::from_secs(10);
/// How long a notice is kept for an instance that is not listed. The instance list lags by
/// less than this.
const UNLISTED_NOTICE_RETENTION: Duration = Duration::from_secs(120);

/// An instance that received a reclaim notice.
#[derive(Debug)]
struct Notice {
    instance: id::Instance,
    received: Time,
}

/// The latest instance list and the reclaim notices.
#[derive(Debug, Default)]
pub struct Inventory {
    /// Sorted by name.
    machines: Arc<Vec<Machine>>,
    /// Sorted by name.
    noticed: Vec<Notice>,
}

impl Inventory {
    /// Replaces the instance list. Returns the instances that are no longer listed.
    pub fn set(&mut self, now: Time, mut machines: Vec<Machine>) -> Vec<Machine> {
        machines.sort_by(|a, b| a.id.cmp(&b.id));
        let old = std::mem::replace(&mut self.machines, Arc::new(machines));
        let machines = &self.machines;
        // A notice may arrive before its instance is listed.
        self.noticed.retain(|notice| {
            now.since(notice.received) < UNLISTED_NOTICE_RETENTION
                || listed(machines, &notice.instance)
        });
        let removed = old.iter().filter(|machine| !listed(machines, &machine.id));
        removed.cloned().collect()
    }

    /// All instances, sorted by name.
    pub fn machines(&self) -> &Arc<Vec<Machine>> {
        &self.machines
    }

    /// The instance that runs an endpoint.
    pub fn find(&self, endpoint: &id::Endpoint) -> Option<&Machine> {
        let name = endpoint.as_str();
        self.machines
            .iter()
            .find(|machine| machine.id.as_str() == name)
    }

    /// The instances that run endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(|machine| machine.service.as_str() != ENTRY)
    }

    /// Endpoints that requests can be routed to.
    pub fn choices(&self) -> Vec<choice::Endpoint> {
        self.endpoints().filter_map(choice).collect()
    }

    /// The locations of all endpoints, sorted by name.
    pub fn locations(&self, catalog: &Catalog) -> Vec<Location> {
        self.endpoints()
            .filter_map(|machine| location(machine, catalog))
            .collect()
    }

    /// Addresses of up to [`MAX_PEERS_PROBED`] other live instances in a machine's failure
    /// domain.
    pub fn domain_peers(&self, machine: &Machine) -> Vec<String> {
        let domain_peers = self.machines.iter().filter(|peer| {
            peer.domain == machine.domain && peer.id != machine.id && peer.phase == Phase::Live
        });
        domain_peers
            .map(|peer| peer.address.clone())
            .take(MAX_PEERS_PROBED)
            .collect()
    }

    /// Records a reclaim notice. Returns whether it is new.
    pub fn add_notice(&mut self, now: Time, instance: &id::Instance) -> bool {
        let Err(index) = self.find_notice(instance) else {
            return false;
        };
        let notice = Notice {
            instance: instance.clone(),
            received: now,
        };
        self.noticed.insert(index, notice);
        true
    }

    /// Instances that received a reclaim notice, sorted.
    pub fn noticed(&self) -> Vec<id::Instance> {
        self.noticed
            .iter()
            .map(|notice| notice.instance.clone())
            .collect()
    }

    /// Instances whose notice is still repeated to peers.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &id::Instance> {
        let recent = self
            .noticed
            .iter()
            .filter(move |notice| now.since(notice.received) < NOTICE_REPEAT_PERIOD);
        recent.map(|notice| &notice.instance)
    }

    /// Instances that are leaving: first those listed as leaving, then those with a notice.
    pub fn leaving(&self) -> Vec<id::Instance> {
        let leaving = self
            .machines
            .iter()
            .filter(|machine| machine.phase == Phase::Leaving);
        let mut leaving: Vec<id::Instance> = leaving.map(|machine| machine.id.clone()).collect();
        leaving.extend(self.noticed());
        leaving
    }

    /// Whether an endpoint's end was announced, by the list or by a notice.
    pub fn end_announced(&self, endpoint: &id::Endpoint) -> bool {
        let name = endpoint.as_str();
        let noticed = self
            .noticed
            .iter()
            .any(|notice| notice.instance.as_str() == name);
        noticed
            || self
                .find(endpoint)
                .is_some_and(|machine| machine.phase == Phase::Leaving)
    }

    /// The state of an instance, for the operators' status.
    pub fn state(&self, machine: &Machine) -> &'static str {
        match machine.phase {
            Phase::Starting => "starting",
            Phase::Live if self.find_notice(&machine.id).is_ok() => "leaving",
            Phase::Live => "live",
            Phase::Leaving => "leaving",
        }
    }

    fn find_notice(&self, instance: &id::Instance) -> Result<usize, usize> {
        self.noticed
            .binary_search_by(|notice| notice.instance.cmp(instance))
    }
}

fn listed(machines: &[Machine], instance: &id::Instance) -> bool {
    machines
        .binary_search_by(|machine| machine.id.cmp(instance))
        .is_ok()
}

/// The routing candidate for an instance, if requests can be routed to it.
fn choice(machine: &Machine) -> Option<choice::Endpoint> {
    if machine.phase == Phase::Starting || machine.address.is_empty() {
        return None;
    }
    Some(choice::Endpoint {
        id: machine.id.as_str().parse().ok()?,
        service: machine.service.clone(),
        models: Vec::new(),
        domain: machine.domain.clone(),
        price: machine.price,
        risk: Risk::default(),
    })
}

fn location(machine: &Machine, catalog: &Catalog) -> Option<Location> {
    let endpoint = machine.id.as_str().parse().ok()?;
    let services = &catalog.services;
    let service = services
        .iter()
        .find(|service| service.name == machine.service);
    let engine = service.is_some_and(|service| matches!(service.kind, Kind::Model { .. }));
    Some(Location {
        endpoint,
        engine,
        address: machine.address.clone(),
    })
}
