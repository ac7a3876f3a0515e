//! Mean time for which a request holds a slot of its endpoint, by service.

use std::time::Duration;

use crate::id;

/// Time that is assumed before there are runs. An assumed time of 0.4 s made short requests late
/// while engines were overloaded.
const ASSUMED: Duration = Duration::from_secs(1);
/// Weight of the assumed time, in runs.
const ASSUMED_WEIGHT: f64 = 4.0;
/// Factor by which each run decays the weight of the older ones: the mean rests on some fifty runs,
/// which one instance of a large fleet sees in a few seconds.
const DECAY: f64 = 0.98;
/// A run counts as no longer than this, so that a stalled one does not close the queues.
const MAX_RUN: Duration = Duration::from_secs(15);

/// Mean of one service.
#[derive(Debug, Clone)]
struct Mean {
    service: id::Service,
    /// Weighted sum of the runs, in seconds.
    seconds: f64,
    weight: f64,
}

/// Means of all services.
#[derive(Debug, Clone, Default)]
pub struct Occupancy {
    /// Sorted by service.
    means: Vec<Mean>,
}

impl Occupancy {
    /// Records a run that held a slot for this time.
    pub fn record(&mut self, service: &id::Service, held: Duration) {
        let found = self
            .means
            .binary_search_by(|mean| mean.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let mean = Mean {
                service: service.clone(),
                seconds: ASSUMED.as_secs_f64() * ASSUMED_WEIGHT,
                weight: ASSUMED_WEIGHT,
            };
            self.means.insert(index, mean);
            index
        });
        let mean = &mut self.means[index];
        mean.seconds = mean.seconds * DECAY + held.min(MAX_RUN).as_secs_f64();
        mean.weight = mean.weight * DECAY + 1.0;
    }

    /// Mean time for which a request of a service holds a slot.
    #[must_use]
    pub fn mean(&self, service: &id::Service) -> Duration {
        let found = self
            .means
            .binary_search_by(|mean| mean.service.cmp(service));
        found.map_or(ASSUMED, |index| {
            let mean = &self.means[index];
            Duration::from_secs_f64(mean.seconds / mean.weight)
        })
    }
}
