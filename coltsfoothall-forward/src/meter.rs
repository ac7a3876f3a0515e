//! The measured or expected load of a service, whichever the settings name.

use coltsfoothall::clock::Time;
use coltsfoothall::forward::forecast::{self, Forecast};
use coltsfoothall::forward::order::{self, Load};

/// Load, in endpoints, below which it is measured and not forecast: measurements of one second then
/// rest on some ten requests, and their noise gave endpoints back that were needed.
const MIN_FORECAST_LOAD: f64 = 16.0;

/// Meter of one service's load.
#[derive(Debug)]
pub struct Meter {
    /// The largest load measured lately.
    measured: order::Meter,
    /// The load that is expected once ordered endpoints serve, if the settings name it.
    expected: Option<Forecast>,
}

impl Meter {
    /// Creates a meter without measurements, which forecasts the load if `forecasts` is set.
    #[must_use]
    pub fn new(now: Time, forecasts: bool) -> Self {
        Self {
            measured: order::Meter::new(now, order::Settings::default()),
            expected: forecasts.then(|| Forecast::new(now, forecast::Settings::default())),
        }
    }

    /// Merges the microseconds that an instance's requests have taken since it started.
    pub fn merge_work(&mut self, now: Time, boot: u64, micros: u64) {
        self.measured.merge_work(now, boot, micros);
        if let Some(expected) = &mut self.expected {
            expected.merge_work(now, boot, micros);
        }
    }

    /// The load that endpoints are ordered for; `None` before there is a measurement with traffic.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<Load> {
        let measured = self.measured.load(now);
        let expected = self.expected.as_ref().and_then(|meter| meter.load(now));
        let is_small = measured.is_some_and(|load| load.value < MIN_FORECAST_LOAD)
            && expected.is_none_or(|load| load.value < MIN_FORECAST_LOAD);
        if is_small {
            measured
        } else {
            expected.or(measured)
        }
    }
}
