//! Retry budgets by service.

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

#[derive(Debug)]
struct Entry {
    service: id::Service,
    budget: Budget,
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
        self.budget(service, members).record_first_attempt(now);
    }

    /// Whether a request may be retried; takes the retry from the budget.
    pub fn allow(&mut self, now: Time, service: &id::Service, members: u32) -> bool {
        let budget = self.budget(service, members);
        matches!(budget.retry(now, 1, &mut rand::rng()), Verdict::After(_))
    }

    fn budget(&mut self, service: &id::Service, members: u32) -> &mut Budget {
        let found = self
            .entries
            .binary_search_by(|have| have.service.cmp(service));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let share = self.slack * SLACK_SHARE / f64::from(members.max(MIN_MEMBERS));
                let budget = Budget::new(Settings {
                    ratio: self.ratio * RATIO_SHARE,
                    burst: share.max(1.0),
                    floor: 0.0,
                    wait: Millis(0),
                    ..Settings::default()
                });
                let service = service.clone();
                self.entries.insert(index, Entry { service, budget });
                index
            }
        };
        &mut self.entries[index].budget
    }
}
