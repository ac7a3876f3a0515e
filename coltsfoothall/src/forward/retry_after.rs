//! When refused callers are to retry: at the time at which there will be capacity for them.
//!
//! While the load of a service exceeds what its live endpoints carry, that is when the endpoints
//! ordered at the start of the shortage serve. Each instance decides alone, from the load in all
//! heartbeats and the endpoints that it knows.
//!
//! Callers honor a time only up to a share of what is left of their time limit. A longer one would
//! be cut to the same value for all, so the jitter ends at that limit instead of beyond it.

use std::time::Duration;

use crate::clock::Time;
use crate::id;

/// Services whose shortages are tracked; bounds the memory.
const MAX_SERVICES: usize = 256;

/// Parameters of the retry times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Shortest time before jitter: about that of one batch of short answers.
    pub shortest: Duration,
    /// Longest time.
    pub longest: Duration,
    /// Time from the start of a shortage until endpoints are ordered for it.
    pub order_delay: Duration,
    /// Share of a time over which callers are spread beyond it.
    pub jitter: f64,
    /// Shortest span over which callers are spread, unless their time limits leave less.
    pub min_jitter: Duration,
    /// Share of the time left to a caller up to which it honors a time.
    pub honored: f64,
    /// A shortage begins when the load exceeds the capacity, and ends when the load is below this
    /// share of it for [`Self::calm`], so that a load that varies around the capacity does not
    /// change the times.
    pub calm_utilization: f64,
    /// Time for which the load must be that low.
    pub calm: Duration,
    /// Time without refusals after which the next one begins a new shortage.
    pub quiet: Duration,
    /// Growth of load per capacity with which a shortage begins anew, as endpoints are then ordered
    /// for more.
    pub growth: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shortest: Duration::from_millis(300),
            longest: Duration::from_secs(10),
            order_delay: Duration::from_millis(500),
            jitter: 0.25,
            min_jitter: Duration::from_millis(150),
            honored: 1.0 / 3.0,
            calm_utilization: 0.9,
            calm: Duration::from_secs(2),
            quiet: Duration::from_secs(10),
            growth: 1.5,
        }
    }
}

/// The state of a service when it refuses a request for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// Number of busy endpoints that the requests of all instances need; `None` if unknown.
    pub load: Option<f64>,
    /// Number of busy endpoints that the live ones may be.
    pub capacity: f64,
    /// Time that an ordered endpoint takes to start; `None` if none can be ordered.
    pub boot: Option<Duration>,
    /// Expected time until one of the live endpoints has room.
    pub wait: Duration,
    /// Time left to the caller.
    pub left: Duration,
}

impl Shortage {
    fn utilization(&self) -> Option<f64> {
        self.load.map(|load| load / self.capacity.max(f64::EPSILON))
    }
}

/// A shortage that lasts.
#[derive(Debug, Clone)]
struct Row {
    service: id::Service,
    since: Time,
    /// When a request was last refused.
    refused_at: Time,
    /// Since when the load has been low.
    calm_since: Option<Time>,
    /// Highest load per capacity.
    peak: f64,
}

/// The shortages of all services as seen by this instance.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    settings: Settings,
    /// Sorted by service.
    rows: Vec<Row>,
}

impl Tracker {
    /// Creates a tracker without shortages.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            rows: Vec::new(),
        }
    }

    /// Records a refusal and returns the time after which its caller is to retry. The random number
    /// `draw`, from 0 to 1, spreads callers.
    #[must_use]
    pub fn refuse(
        &mut self,
        now: Time,
        service: &id::Service,
        shortage: &Shortage,
        draw: f64,
    ) -> Duration {
        let lasted = shortage
            .utilization()
            .and_then(|utilization| self.update(now, service, utilization));
        let base = match (lasted, shortage.boot) {
            (Some(lasted), Some(boot)) => self.until_started(lasted, boot),
            _ => shortage.wait,
        };
        let base = base.clamp(self.settings.shortest, self.settings.longest);
        self.spread(base, shortage.left, draw)
    }

    /// Time until endpoints serve that were ordered at the start of a shortage. If these did not
    /// end it, others were ordered at unknown times since; half of the time that an order takes is
    /// the mean until the next of them serve.
    fn until_started(&self, lasted: Duration, boot: Duration) -> Duration {
        let first = self.settings.order_delay + boot;
        if lasted < first {
            first - lasted
        } else {
            first / 2
        }
    }

    /// Spreads callers over a span after `base` that ends with what they honor.
    fn spread(&self, base: Duration, left: Duration, draw: f64) -> Duration {
        let settings = &self.settings;
        // A caller whose time is over does not retry; zero would ask for a retry at once.
        let honored = left.mul_f64(settings.honored).max(settings.min_jitter);
        let longest = honored.min(settings.longest);
        let span = base
            .mul_f64(settings.jitter)
            .max(settings.min_jitter)
            .min(longest.mul_f64(settings.jitter));
        base.min(longest - span) + span.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// How long the shortage of a service has lasted; `None` if there is none.
    fn update(&mut self, now: Time, service: &id::Service, utilization: f64) -> Option<Duration> {
        let settings = self.settings;
        let found = self.rows.binary_search_by(|row| row.service.cmp(service));
        let index = match found {
            Ok(index) => index,
            Err(_) if utilization <= 1.0 => return None,
            Err(index) => return Some(self.begin(now, index, service, utilization)),
        };
        let row = &mut self.rows[index];
        if utilization < settings.calm_utilization {
            row.calm_since.get_or_insert(now);
        } else {
            row.calm_since = None;
        }
        let is_calm = row
            .calm_since
            .is_some_and(|since| now.since(since) >= settings.calm);
        let is_new = now.since(row.refused_at) >= settings.quiet;
        if is_calm || (is_new && utilization <= 1.0) {
            self.rows.remove(index);
            return None;
        }
        if is_new || utilization >= row.peak * settings.growth {
            row.since = now;
            row.peak = utilization;
        }
        row.peak = row.peak.max(utilization);
        row.refused_at = now;
        Some(now.since(row.since))
    }

    fn begin(
        &mut self,
        now: Time,
        index: usize,
        service: &id::Service,
        utilization: f64,
    ) -> Duration {
        let row = Row {
            service: service.clone(),
            since: now,
            refused_at: now,
            calm_since: None,
            peak: utilization,
        };
        self.rows.insert(index, row);
        if self.rows.len() > MAX_SERVICES {
            let oldest = (0..self.rows.len()).min_by_key(|index| self.rows[*index].refused_at);
            if let Some(oldest) = oldest {
                self.rows.remove(oldest);
            }
        }
        Duration::ZERO
    }
}
