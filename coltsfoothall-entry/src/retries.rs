//! The retries that services have left.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::retry::{self, Budget, Verdict};

/// Time in which retries are owed to requests whose endpoint died.
const OWED: Duration = Duration::from_secs(5);

/// The retries of one service.
#[derive(Debug)]
struct Row {
    service: id::Service,
    budget: Budget,
    /// Retries owed to requests whose endpoint died, which are no one's fault.
    owed: usize,
    owed_until: Time,
}

/// The retries of all services that were asked for.
#[derive(Debug, Default)]
pub struct Retries {
    /// Sorted by service.
    rows: Vec<Row>,
}

impl Retries {
    /// Services that were asked for, sorted.
    pub fn services(&self) -> Vec<id::Service> {
        self.rows.iter().map(|row| row.service.clone()).collect()
    }

    /// Notes that a service was asked for.
    pub fn note(&mut self, service: &id::Service) {
        self.row(service);
    }

    /// An attempt was sent.
    pub fn sent(&mut self, now: Time, service: &id::Service) {
        self.row(service).budget.record_first_attempt(now);
    }

    /// Requests whose endpoint died are owed a retry each.
    pub fn owe(&mut self, now: Time, service: &id::Service, owed: usize) {
        let row = self.row(service);
        row.owed += owed;
        row.owed_until = now + OWED;
    }

    /// Whether a retry may be made.
    pub fn ask(
        &mut self,
        now: Time,
        service: &id::Service,
        attempts: u32,
        random: &mut Pcg64Mcg,
    ) -> Verdict {
        let row = self.row(service);
        if row.owed > 0 && now < row.owed_until {
            row.owed -= 1;
            return Verdict::After(Duration::ZERO);
        }
        row.owed = 0;
        row.budget.retry(now, attempts, random)
    }

    fn row(&mut self, service: &id::Service) -> &mut Row {
        let found = self.rows.binary_search_by(|row| row.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let budget = Budget::new(retry::Settings::default());
            let service = service.clone();
            self.rows.insert(
                at,
                Row {
                    service,
                    budget,
                    owed: 0,
                    owed_until: Time::START,
                },
            );
            at
        });
        &mut self.rows[at]
    }
}
