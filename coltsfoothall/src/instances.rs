//! The known instances of a service, derived from a lagging instance list and from notices.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::fleet::Kind;
use crate::id;

/// If more than one in this many instances is absent at once, the list is assumed to be
/// faulty.
const OUTAGE_DIVISOR: usize = 4;

/// Lifecycle phase of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is starting.
    Starting,
    /// It serves.
    Live,
    /// It has received a reclaim notice, is being stopped, or is known to be dead.
    Leaving,
}

/// An instance as reported by the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub id: id::Instance,
    /// Its kind.
    pub kind: Kind,
    /// Its phase.
    pub phase: Phase,
}

/// An instance and its history.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) machine: Machine,
    /// When it was first reported.
    pub(crate) since: Time,
    /// When the list last contained it, or when its start was confirmed.
    seen_at: Time,
    /// When to send the next stop request, if it is to be stopped.
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

/// The known instances, sorted by name, and early notices.
#[derive(Debug, Clone, Default)]
pub(crate) struct Set {
    pub(crate) known: Vec<Known>,
    /// Notices for instances that the list has not contained yet.
    early_notices: Vec<Notice>,
}

impl Set {
    fn find(&self, id: &id::Instance) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.machine.id.cmp(id))
    }

    /// Merges an instance list. Since the list lags, it never revokes a notice.
    pub(crate) fn merge_list(&mut self, now: Time, machines: Vec<Machine>) {
        for mut machine in machines {
            if self
                .early_notices
                .iter()
                .any(|notice| notice.id == machine.id)
            {
                machine.phase = Phase::Leaving;
            }
            match self.find(&machine.id) {
                Ok(index) => {
                    let known = &mut self.known[index];
                    known.seen_at = now;
                    if known.stays() {
                        known.machine.phase = machine.phase;
                    }
                }
                Err(index) => self.known.insert(index, Known::new(now, machine)),
            }
        }
    }

    /// Records a notice, or other evidence that an instance is going away.
    pub(crate) fn record_notice(&mut self, now: Time, id: id::Instance) {
        match self.find(&id) {
            Ok(index) => self.known[index].machine.phase = Phase::Leaving,
            Err(_index) => self.early_notices.push(Notice { id, at: now }),
        }
    }

    /// Records a successful start.
    pub(crate) fn record_start(&mut self, now: Time, mut machine: Machine) {
        if self
            .early_notices
            .iter()
            .any(|notice| notice.id == machine.id)
        {
            machine.phase = Phase::Leaving;
        }
        if let Err(index) = self.find(&machine.id) {
            self.known.insert(index, Known::new(now, machine));
        }
    }

    /// Drops instances that have been absent from the list for `absence_timeout`, or for
    /// `outage_timeout` if many are absent at once.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        absence_timeout: Duration,
        outage_timeout: Duration,
    ) {
        let is_absent = |known: &&Known| known.seen_at + absence_timeout <= now;
        let staying = || self.known.iter().filter(|known| known.stays());
        let missing = staying().filter(is_absent).count();
        let many = missing * OUTAGE_DIVISOR > staying().count().max(OUTAGE_DIVISOR);
        let timeout = if many {
            outage_timeout
        } else {
            absence_timeout
        };
        self.known.retain(|known| match known.stays() {
            true => now < known.seen_at + timeout,
            false => now < known.seen_at + absence_timeout,
        });
        self.early_notices
            .retain(|notice| now < notice.at + outage_timeout);
    }

    /// Counts the instances by kind, including the pending starts.
    pub(crate) fn tally<'a>(&'a self, pending: impl Iterator<Item = &'a Kind>) -> Tally {
        let mut tally = Tally::default();
        for known in self.known.iter().filter(|known| known.stays()) {
            let live = known.machine.phase == Phase::Live;
            tally.add(&known.machine.kind, live);
        }
        pending.for_each(|kind| tally.add(kind, false));
        tally
    }
}

/// Number of instances of one kind.
#[derive(Debug, Clone)]
pub(crate) struct Count {
    pub(crate) kind: Kind,
    /// Instances that are running, starting or requested.
    pub(crate) total: u32,
    /// Instances that are serving.
    pub(crate) live: u32,
}

/// Instance counts, sorted by kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) counts: Vec<Count>,
}

impl Tally {
    pub(crate) fn add(&mut self, kind: &Kind, live: bool) {
        let found = self.counts.binary_search_by(|count| count.kind.cmp(kind));
        let index = found.unwrap_or_else(|index| {
            let count = Count {
                kind: kind.clone(),
                total: 0,
                live: 0,
            };
            self.counts.insert(index, count);
            index
        });
        self.counts[index].total += 1;
        self.counts[index].live += u32::from(live);
    }

    /// Number of instances of a kind that are running, starting or requested.
    pub(crate) fn total(&self, kind: &Kind) -> u32 {
        let found = self.counts.binary_search_by(|count| count.kind.cmp(kind));
        found.map_or(0, |index| self.counts[index].total)
    }
}
