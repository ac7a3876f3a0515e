//! Retry budgets by service.

use std::fmt;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::retry::{Budget, Settings};
use coltsfoothall::id;

/// Why a request is to be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The endpoint rejected the request without running it.
    Rejected,
    /// The endpoint broke off before its answer was complete.
    Interrupted,
    /// The endpoint sent nothing for too long.
    Silent,
    /// The endpoint ran the request and failed.
    Failed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rejected => "rejected",
            Self::Interrupted => "interrupted",
            Self::Silent => "silent",
            Self::Failed => "failed",
        })
    }
}

/// The budget of a service after a decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// Whether the request may be retried.
    pub allowed: bool,
    /// Retries that are left.
    pub balance: f64,
    /// Upper bound of the balance.
    pub limit: f64,
    /// First attempts since the process started.
    pub first_attempts: u64,
    /// Retries that were allowed since then.
    pub retries: u64,
}

#[derive(Debug)]
struct Entry {
    service: id::Service,
    budget: Budget,
    first_attempts: u64,
    retries: u64,
}

/// This instance's share of the retries of the fleet.
#[derive(Debug)]
pub struct Retries {
    settings: Settings,
    /// Seed of the random choices.
    seed: u64,
    /// Sorted by service.
    entries: Vec<Entry>,
}

impl Retries {
    /// Budgets of which all instances together have this much.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            entries: Vec::new(),
        }
    }

    /// Applies new settings.
    pub fn reload(&mut self, settings: Settings) {
        for entry in &mut self.entries {
            entry.budget.reload(settings.clone());
        }
        self.settings = settings;
    }

    /// Records the first attempt of a request.
    pub fn record_first(&mut self, now: Time, service: &id::Service, sharers: Option<u32>) {
        let entry = self.entry(now, service);
        entry.first_attempts += 1;
        entry.budget.record_first(now, sharers);
    }

    /// Decides whether a request may be retried; takes the retry from the budget.
    pub fn decide(&mut self, now: Time, service: &id::Service, sharers: Option<u32>) -> Decision {
        let entry = self.entry(now, service);
        let allowed = entry.budget.take(now, sharers);
        entry.retries += u64::from(allowed);
        Decision {
            allowed,
            balance: entry.budget.balance(),
            limit: entry.budget.limit(),
            first_attempts: entry.first_attempts,
            retries: entry.retries,
        }
    }

    /// The retries that are left, by service.
    pub fn balances(&self) -> impl Iterator<Item = (&id::Service, f64)> {
        let entries = self.entries.iter();
        entries.map(|entry| (&entry.service, entry.budget.balance()))
    }

    fn entry(&mut self, now: Time, service: &id::Service) -> &mut Entry {
        let found = self
            .entries
            .binary_search_by(|have| have.service.cmp(service));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let entry = Entry {
                    service: service.clone(),
                    budget: Budget::new(self.settings.clone(), self.seed, now),
                    first_attempts: 0,
                    retries: 0,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }
}
