//! State of the cloud: offers, instances, notices and the lagging list.
//!
//! An instance keeps the times at which its phase changes, so the list as of
//! any earlier time is read from them.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Price};
use coltsfoothall_wire::cloud::{Lend, Machine, Machines, Notice, Notices, Offer, Phase, Start};

pub use crate::stock::{Initial, Settings, Spare};

/// How long instances that are gone, and their notices, are remembered. It
/// bounds the state, and the age that the list can have.
pub const MEMORY: Duration = Duration::from_secs(600);

quick_error! {
    /// A call that had no effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Nothing of the kind is offered there.
        Offer(domain: id::Domain, class: id::Class) {
            display("no offer of class {class} in {domain}")
        }
        /// No address of the pool is left.
        Pool(service: id::Service, domain: id::Domain) {
            display("no instance left for service {service} in {domain}")
        }
        /// The token stands for another wish, or its instance is gone.
        Token(token: String) {
            display("token {token} was used")
        }
        /// There is no such instance.
        Unknown(instance: id::Instance) {
            display("no instance {instance}")
        }
    }
}

/// A wave of reclaims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reclaim {
    /// Instances to take back, however they are lent.
    pub instances: Vec<id::Instance>,
    /// Failure domains whose reclaimable instances are taken back.
    pub domains: Vec<id::Domain>,
    /// One more such failure domain.
    pub domain: Option<id::Domain>,
    /// Time until the instances are gone.
    pub notice_ms: Millis,
}

impl Reclaim {
    fn meets(&self, machine: &Machine) -> bool {
        let domain = self.domain.iter().chain(&self.domains);
        let mut domain = domain.filter(|domain| **domain == machine.domain);
        let wave = machine.lend == Lend::Reclaimable && domain.next().is_some();
        wave || self.instances.contains(&machine.id)
    }
}

/// An instance and the times of its life.
#[derive(Debug)]
struct Slot {
    machine: Machine,
    token: Option<String>,
    since: Time,
    live: Time,
    leaving: Option<Time>,
    gone: Option<Time>,
}

impl Slot {
    fn initial(initial: &Initial, offers: &[Offer]) -> Self {
        let machine = Machine {
            id: initial.id.clone(),
            service: initial.service.clone(),
            domain: initial.domain.clone(),
            class: initial.class.clone(),
            lend: initial.lend,
            price: price(offers, &initial.domain, &initial.class, initial.lend).unwrap_or_default(),
            address: initial.address.clone(),
            phase: Phase::Live,
        };
        Self {
            machine,
            token: None,
            since: Time::START,
            live: Time::START,
            leaving: None,
            gone: None,
        }
    }

    fn is_gone(&self, at: Time) -> bool {
        self.gone.is_some_and(|gone| gone <= at)
    }

    /// The instance as it was at a time, if it was there.
    fn machine(&self, at: Time) -> Option<Machine> {
        if at < self.since || self.is_gone(at) {
            return None;
        }
        let mut machine = self.machine.clone();
        if at < self.live {
            machine.address.clear();
            machine.phase = Phase::Starting;
        }
        if self.leaving.is_some_and(|leaving| leaving <= at) {
            machine.phase = Phase::Leaving;
        }
        Some(machine)
    }

    fn asked(&self, start: &Start) -> bool {
        let machine = &self.machine;
        machine.service == start.service
            && machine.domain == start.domain
            && machine.class == start.class
            && machine.lend == start.lend
    }
}

/// A notice that was given.
#[derive(Debug)]
struct Given {
    seq: u64,
    instance: id::Instance,
    until: Time,
}

/// The whole state.
#[derive(Debug)]
pub struct Cloud {
    settings: Settings,
    /// Sorted by name.
    slots: Vec<Slot>,
    /// Sorted by number.
    notices: Vec<Given>,
    newest: u64,
    started: u64,
}

impl Cloud {
    /// A cloud whose initial instances are live.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let initial = settings.machines.iter();
        let mut slots: Vec<Slot> = initial
            .map(|initial| Slot::initial(initial, &settings.offers))
            .collect();
        slots.sort_by(|a, b| a.machine.id.cmp(&b.machine.id));
        slots.dedup_by(|a, b| a.machine.id == b.machine.id);
        Self {
            settings,
            slots,
            notices: Vec::new(),
            newest: 0,
            started: 0,
        }
    }

    /// Age of the list where no fault sets another.
    #[must_use]
    pub fn lag(&self) -> Millis {
        self.settings.list_lag_ms
    }

    /// All prices.
    #[must_use]
    pub fn offers(&self) -> &[Offer] {
        &self.settings.offers
    }

    /// The list as it was `lag` ago.
    #[must_use]
    pub fn list(&self, now: Time, lag: Duration) -> Machines {
        let at = now - lag;
        let machines = self.slots.iter().filter_map(|slot| slot.machine(at));
        Machines {
            machines: machines.collect(),
        }
    }

    /// The instance that was started for this wish before, if any.
    ///
    /// # Errors
    /// The token was used for something else, or its instance is gone.
    pub fn repeat(&self, now: Time, start: &Start) -> Result<Option<Machine>, Error> {
        let token = Some(start.token.as_str());
        let slot = self
            .slots
            .iter()
            .find(|slot| slot.token.as_deref() == token);
        match slot {
            None => Ok(None),
            Some(slot) if slot.asked(start) => match slot.machine(now) {
                Some(machine) => Ok(Some(machine)),
                None => Err(Error::Token(start.token.clone())),
            },
            Some(_other) => Err(Error::Token(start.token.clone())),
        }
    }

    /// Starts an instance, or finds the one that the same token started.
    ///
    /// # Errors
    /// Nothing of the kind is offered or left, or the token was used for something else.
    pub fn start(&mut self, now: Time, start: &Start) -> Result<Machine, Error> {
        self.forget(now);
        if let Some(machine) = self.repeat(now, start)? {
            return Ok(machine);
        }
        let price = price(
            &self.settings.offers,
            &start.domain,
            &start.class,
            start.lend,
        )
        .ok_or_else(|| Error::Offer(start.domain.clone(), start.class.clone()))?;
        let address = self.spare(now, start)?;
        let machine = Machine {
            id: self.mint(),
            service: start.service.clone(),
            domain: start.domain.clone(),
            class: start.class.clone(),
            lend: start.lend,
            price,
            address,
            phase: Phase::Live,
        };
        let slot = Slot {
            machine,
            token: Some(start.token.clone()),
            since: now,
            live: now + self.settings.start_ms.duration(),
            leaving: None,
            gone: None,
        };
        let shown = slot.machine(now).unwrap_or_else(|| slot.machine.clone());
        let at = self.find(&slot.machine.id).unwrap_or_else(|at| at);
        self.slots.insert(at, slot);
        Ok(shown)
    }

    /// Gives an instance back. A repeat does nothing more.
    ///
    /// # Errors
    /// There is no such instance.
    pub fn stop(&mut self, now: Time, id: &id::Instance) -> Result<(), Error> {
        self.forget(now);
        let at = self.find(id).map_err(|_place| Error::Unknown(id.clone()))?;
        let slot = &mut self.slots[at];
        slot.gone = Some(slot.gone.map_or(now, |gone| gone.min(now)));
        Ok(())
    }

    /// Gives notice to instances. One that has notice already keeps the earlier end.
    pub fn reclaim(&mut self, now: Time, reclaim: &Reclaim) -> Notices {
        self.forget(now);
        let after = self.newest;
        let until = now + reclaim.notice_ms.duration();
        for slot in &mut self.slots {
            if slot.is_gone(now) || !reclaim.meets(&slot.machine) {
                continue;
            }
            let until = slot.gone.map_or(until, |gone| gone.min(until));
            slot.leaving.get_or_insert(now);
            slot.gone = Some(until);
            self.newest += 1;
            self.notices.push(Given {
                seq: self.newest,
                instance: slot.machine.id.clone(),
                until,
            });
        }
        self.notices(now, after)
    }

    /// Notices after a number, also those that have run out.
    #[must_use]
    pub fn notices(&self, now: Time, after: u64) -> Notices {
        let start = self.notices.partition_point(|given| given.seq <= after);
        let notices = self.notices[start..].iter().map(|given| Notice {
            seq: given.seq,
            instance: given.instance.clone(),
            left_ms: given.until.since(now).into(),
        });
        Notices {
            notices: notices.collect(),
            newest: self.newest,
        }
    }

    fn find(&self, id: &id::Instance) -> Result<usize, usize> {
        self.slots.binary_search_by(|slot| slot.machine.id.cmp(id))
    }

    /// A name that no instance has.
    fn mint(&mut self) -> id::Instance {
        loop {
            self.started += 1;
            let name = format!("started-{:06}", self.started);
            let id: id::Instance = name.parse().expect("letters, digits and a dash are a name");
            if self.find(&id).is_err() {
                return id;
            }
        }
    }

    /// An address of the pool that no instance has.
    fn spare(&self, now: Time, start: &Start) -> Result<String, Error> {
        let taken = |address: &str| {
            let mut slots = self.slots.iter();
            slots.any(|slot| slot.machine.address == address && !slot.is_gone(now))
        };
        let mut pool = self.settings.pool.iter();
        pool.find(|spare| {
            spare.service == start.service && spare.domain == start.domain && !taken(&spare.address)
        })
        .map(|spare| spare.address.clone())
        .ok_or_else(|| Error::Pool(start.service.clone(), start.domain.clone()))
    }

    fn forget(&mut self, now: Time) {
        // Before that age there is nothing to forget.
        if now.since(Time::START) > MEMORY {
            let oldest = now - MEMORY;
            self.slots.retain(|slot| !slot.is_gone(oldest));
            self.notices.retain(|given| given.until > oldest);
        }
    }
}

fn price(offers: &[Offer], domain: &id::Domain, class: &id::Class, lend: Lend) -> Option<Price> {
    let mut offers = offers.iter();
    offers
        .find(|offer| offer.domain == *domain && offer.class == *class && offer.lend == lend)
        .map(|offer| offer.price)
}
