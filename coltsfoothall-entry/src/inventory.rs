//! The instances of the platform as the control thread knows them: the list as
//! it was last read, and the notices that came beside it.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::catalog::{Catalog, Kind};
use coltsfoothall::choice;
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::weight::Risk;
use coltsfoothall_wire::cloud::{Machine, Phase};

use crate::death::MATES;
use crate::members::ENTRY;
use crate::view::Location;

/// How long notices are repeated to peers.
const RETELL: Duration = Duration::from_secs(10);
/// How long a notice is kept for an instance that is not listed; lists lag less.
const UNLISTED: Duration = Duration::from_secs(120);

/// An instance that was given notice.
#[derive(Debug)]
struct Noticed {
    instance: id::Instance,
    at: Time,
}

/// The instances and the notices.
#[derive(Debug, Default)]
pub struct Inventory {
    /// Sorted by name.
    machines: Arc<Vec<Machine>>,
    /// Sorted by name.
    noticed: Vec<Noticed>,
}

impl Inventory {
    /// Takes a list that was read; gives those that it no longer names.
    pub fn set(&mut self, now: Time, mut machines: Vec<Machine>) -> Vec<Machine> {
        machines.sort_by(|a, b| a.id.cmp(&b.id));
        let old = std::mem::replace(&mut self.machines, Arc::new(machines));
        let machines = &self.machines;
        // A notice may come before its instance is listed.
        self.noticed.retain(|noticed| {
            now.since(noticed.at) < UNLISTED || listed(machines, &noticed.instance)
        });
        let gone = old.iter().filter(|machine| !listed(machines, &machine.id));
        gone.cloned().collect()
    }

    /// All instances, sorted by name.
    pub fn machines(&self) -> &Arc<Vec<Machine>> {
        &self.machines
    }

    /// The instance that an endpoint is.
    pub fn find(&self, endpoint: &id::Endpoint) -> Option<&Machine> {
        let name = endpoint.as_str();
        self.machines
            .iter()
            .find(|machine| machine.id.as_str() == name)
    }

    /// Instances that are endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(|machine| machine.service.as_str() != ENTRY)
    }

    /// Endpoints that requests can go to.
    pub fn choices(&self) -> Vec<choice::Endpoint> {
        self.endpoints().filter_map(choice).collect()
    }

    /// Where endpoints listen, sorted by name.
    pub fn locations(&self, catalog: &Catalog) -> Vec<Location> {
        self.endpoints()
            .filter_map(|machine| location(machine, catalog))
            .collect()
    }

    /// Addresses of the others in a machine's failure domain.
    pub fn mates(&self, machine: &Machine) -> Vec<String> {
        let mates = self.machines.iter().filter(|mate| {
            mate.domain == machine.domain && mate.id != machine.id && mate.phase == Phase::Live
        });
        mates.map(|mate| mate.address.clone()).take(MATES).collect()
    }

    /// Notes a notice; true if it is new.
    pub fn note(&mut self, now: Time, instance: &id::Instance) -> bool {
        let Err(index) = self.find_notice(instance) else {
            return false;
        };
        let noticed = Noticed {
            instance: instance.clone(),
            at: now,
        };
        self.noticed.insert(index, noticed);
        true
    }

    /// Instances that were given notice, sorted.
    pub fn noticed(&self) -> Vec<id::Instance> {
        self.noticed
            .iter()
            .map(|noticed| noticed.instance.clone())
            .collect()
    }

    /// Notices that peers are still told of.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &id::Instance> {
        let recent = self
            .noticed
            .iter()
            .filter(move |noticed| now.since(noticed.at) < RETELL);
        recent.map(|noticed| &noticed.instance)
    }

    /// Instances that leave, by the list and then by notices.
    pub fn leaving(&self) -> Vec<id::Instance> {
        let leaving = self
            .machines
            .iter()
            .filter(|machine| machine.phase == Phase::Leaving);
        let mut leaving: Vec<id::Instance> = leaving.map(|machine| machine.id.clone()).collect();
        leaving.extend(self.noticed());
        leaving
    }

    /// Whether an endpoint's end was announced.
    pub fn announced(&self, endpoint: &id::Endpoint) -> bool {
        let name = endpoint.as_str();
        let noticed = self
            .noticed
            .iter()
            .any(|noticed| noticed.instance.as_str() == name);
        noticed
            || self
                .find(endpoint)
                .is_some_and(|machine| machine.phase == Phase::Leaving)
    }

    /// The state of an instance as operators read it.
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
            .binary_search_by(|noticed| noticed.instance.cmp(instance))
    }
}

fn listed(machines: &[Machine], instance: &id::Instance) -> bool {
    machines
        .binary_search_by(|machine| machine.id.cmp(instance))
        .is_ok()
}

/// An instance as an endpoint that requests can go to.
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
