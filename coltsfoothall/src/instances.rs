//! The instances of a service, as far as a lagging list and notices tell.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::fleet::Kind;
use crate::id;

/// One in so many absent at once is taken for a fault of the list.
const OUTAGE_PART: usize = 4;

/// Where an instance is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is being started.
    Starting,
    /// It serves.
    Live,
    /// It was given notice, is being stopped, or is known to be dead.
    Leaving,
}

/// An instance, as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub id: id::Instance,
    /// Its kind.
    pub kind: Kind,
    /// Its phase.
    pub phase: Phase,
}

/// An instance with what is remembered of it.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) machine: Machine,
    /// When it was first heard of.
    pub(crate) since: Time,
    /// When the list last showed it, or when it was started.
    seen_at: Time,
    /// When to tell it to stop (again), once it is to.
    pub(crate) stop_at: Option<Time>,
}

impl Known {
    fn new(now: Time, machine: Machine) -> Self {
        Self {
            machine,
            since: now,
            seen_at: now,
            stop_at: None,
        }
    }

    pub(crate) fn stop(&mut self, now: Time) {
        self.machine.phase = Phase::Leaving;
        self.stop_at = Some(now);
    }

    pub(crate) fn stays(&self) -> bool {
        self.machine.phase != Phase::Leaving
    }
}

#[derive(Debug, Clone)]
struct Notice {
    id: id::Instance,
    at: Time,
}

/// All instances, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Set {
    pub(crate) known: Vec<Known>,
    /// Notices of instances that the list hasn't shown yet.
    early: Vec<Notice>,
}

impl Set {
    fn find(&self, id: &id::Instance) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.machine.id.cmp(id))
    }

    /// Takes in a list. It lags, so it never takes a notice back.
    pub(crate) fn listed(&mut self, now: Time, machines: Vec<Machine>) {
        for mut machine in machines {
            if self.early.iter().any(|notice| notice.id == machine.id) {
                machine.phase = Phase::Leaving;
            }
            match self.find(&machine.id) {
                Ok(at) => {
                    let known = &mut self.known[at];
                    known.seen_at = now;
                    if known.stays() {
                        known.machine.phase = machine.phase;
                    }
                }
                Err(at) => self.known.insert(at, Known::new(now, machine)),
            }
        }
    }

    /// Takes in a notice, or other evidence that an instance goes.
    pub(crate) fn notice(&mut self, now: Time, id: id::Instance) {
        match self.find(&id) {
            Ok(at) => self.known[at].machine.phase = Phase::Leaving,
            Err(_at) => self.early.push(Notice { id, at: now }),
        }
    }

    /// Takes in an answered start.
    pub(crate) fn started(&mut self, now: Time, mut machine: Machine) {
        if self.early.iter().any(|notice| notice.id == machine.id) {
            machine.phase = Phase::Leaving;
        }
        if let Err(at) = self.find(&machine.id) {
            self.known.insert(at, Known::new(now, machine));
        }
    }

    /// Drops what has been absent from the list for `absent`, or for `outage` if much is.
    pub(crate) fn forget(&mut self, now: Time, absent: Duration, outage: Duration) {
        let is_absent = |known: &&Known| known.seen_at + absent <= now;
        let staying = || self.known.iter().filter(|known| known.stays());
        let missing = staying().filter(is_absent).count();
        let many = missing * OUTAGE_PART > staying().count().max(OUTAGE_PART);
        let bound = if many { outage } else { absent };
        self.known.retain(|known| match known.stays() {
            true => now < known.seen_at + bound,
            false => now < known.seen_at + absent,
        });
        self.early.retain(|notice| now < notice.at + outage);
    }

    /// Counts by kind.
    pub(crate) fn tally<'a>(&'a self, wished: impl Iterator<Item = &'a Kind>) -> Tally {
        let mut tally = Tally::default();
        for known in self.known.iter().filter(|known| known.stays()) {
            let live = known.machine.phase == Phase::Live;
            tally.add(&known.machine.kind, live);
        }
        wished.for_each(|kind| tally.add(kind, false));
        tally
    }
}

/// Instances of one kind.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) kind: Kind,
    /// Here or on the way.
    pub(crate) held: u32,
    /// Serving.
    pub(crate) live: u32,
}

/// Counts by kind, sorted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) rows: Vec<Row>,
}

impl Tally {
    pub(crate) fn add(&mut self, kind: &Kind, live: bool) {
        let found = self.rows.binary_search_by(|row| row.kind.cmp(kind));
        let at = found.unwrap_or_else(|at| {
            let row = Row {
                kind: kind.clone(),
                held: 0,
                live: 0,
            };
            self.rows.insert(at, row);
            at
        });
        self.rows[at].held += 1;
        self.rows[at].live += u32::from(live);
    }

    /// Instances of a kind that are here or on the way.
    pub(crate) fn held(&self, kind: &Kind) -> u32 {
        let found = self.rows.binary_search_by(|row| row.kind.cmp(kind));
        found.map_or(0, |at| self.rows[at].held)
    }
}
