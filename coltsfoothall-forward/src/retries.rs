//! Retry budgets by service.

use std::fmt;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::retry::{Budget, Settings, Verdict};
use coltsfoothall::size::Millis;

/// Share of the retry slack that is used; the rest covers changes in membership.
const SLACK_SHARE: f64 = 0.6;
/// Share of the retry ratio that is used, for the same reason.
const RATIO_SHARE: f64 = 0.8;
/// Minimum number of members that are assumed to share a budget, as some may not be known yet.
const MIN_MEMBERS: u32 = 3;

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
    limit: f64,
    first_attempts: u64,
    retries: u64,
}

/// This instance's share of the retries of the fleet.
#[derive(Debug)]
pub struct Retries {
    ratio: f64,
    slack: f64,
    /// Sorted by service.
    entries: Vec<Entry>,
}

impl Retries {
    /// Retries as a share of first attempts, plus a slack that all instances share.
    #[must_use]
    pub fn new(ratio: f64, slack: f64) -> Self {
        Self {
            ratio,
            slack,
            entries: Vec::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first(&mut self, now: Time, service: &id::Service, members: u32) {
        let entry = self.entry(service, members);
        entry.first_attempts += 1;
        entry.budget.record_first_attempt(now);
    }

    /// Decides whether a request may be retried; takes the retry from the budget.
    pub fn decide(&mut self, now: Time, service: &id::Service, members: u32) -> Decision {
        let entry = self.entry(service, members);
        let verdict = entry.budget.retry(now, 1, &mut rand::rng());
        let allowed = matches!(verdict, Verdict::After(_));
        entry.retries += u64::from(allowed);
        Decision {
            allowed,
            balance: entry.budget.remaining(),
            limit: entry.limit,
            first_attempts: entry.first_attempts,
            retries: entry.retries,
        }
    }

    /// The retries that are left, by service.
    pub fn balances(&self) -> impl Iterator<Item = (&id::Service, f64)> {
        let entries = self.entries.iter();
        entries.map(|entry| (&entry.service, entry.budget.remaining()))
    }

    fn entry(&mut self, service: &id::Service, members: u32) -> &mut Entry {
        let found = self
            .entries
            .binary_search_by(|have| have.service.cmp(service));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let share = self.slack * SLACK_SHARE / f64::from(members.max(MIN_MEMBERS));
                let limit = share.max(1.0);
                let budget = Budget::new(Settings {
                    ratio: self.ratio * RATIO_SHARE,
                    burst: limit,
                    floor: 0.0,
                    wait: Millis(0),
                    ..Settings::default()
                });
                let entry = Entry {
                    service: service.clone(),
                    budget,
                    limit,
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
