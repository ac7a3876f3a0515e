//! The retry budgets of services.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::retry::{self, Budget, Verdict};

/// How long retries granted to requests whose endpoint died remain valid.
const GRANT_TTL: Duration = Duration::from_secs(5);

/// The retry budget of one service.
#[derive(Debug)]
struct Row {
    service: id::Service,
    budget: Budget,
    /// Retries granted outside the budget to requests whose endpoint died, as the requests did
    /// not cause the failure.
    granted: usize,
    granted_until: Time,
}

/// The retry budgets of all services that were asked for.
#[derive(Debug, Default)]
pub struct Retries {
    /// Sorted by service.
    rows: Vec<Row>,
}

impl Retries {
    /// All services with a budget, sorted.
    pub fn services(&self) -> Vec<id::Service> {
        self.rows.iter().map(|row| row.service.clone()).collect()
    }

    /// Adds a service, if it is new.
    pub fn add_service(&mut self, service: &id::Service) {
        self.row(service);
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: Time, service: &id::Service) {
        self.row(service).budget.record_first_attempt(now);
    }

    /// Grants a retry each to `count` requests whose endpoint died.
    pub fn grant(&mut self, now: Time, service: &id::Service, count: usize) {
        let row = self.row(service);
        row.granted += count;
        row.granted_until = now + GRANT_TTL;
    }

    /// Decides whether a retry may be made.
    pub fn request(
        &mut self,
        now: Time,
        service: &id::Service,
        attempts: u32,
        random: &mut Pcg64Mcg,
    ) -> Verdict {
        let row = self.row(service);
        if row.granted > 0 && now < row.granted_until {
            row.granted -= 1;
            return Verdict::After(Duration::ZERO);
        }
        row.granted = 0;
        row.budget.retry(now, attempts, random)
    }

    fn row(&mut self, service: &id::Service) -> &mut Row {
        let found = self.rows.binary_search_by(|row| row.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let budget = Budget::new(retry::Settings::default());
            let service = service.clone();
            self.rows.insert(
                index,
                Row {
                    service,
                    budget,
                    granted: 0,
                    granted_until: Time::START,
                },
            );
            index
        });
        &mut self.rows[index]
    }
}
