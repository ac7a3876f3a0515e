//! The measured or expected load of a service, whichever the settings name.

use coltsfoothall::clock::Time;
use coltsfoothall::forward::forecast::{self, Forecast};
use coltsfoothall::forward::order::{self, Load};

/// Meter of one service's load.
#[derive(Debug)]
pub enum Meter {
    /// The largest load measured lately.
    Measured(order::Meter),
    /// The load that is expected once ordered endpoints serve.
    Expected(Forecast),
}

impl Meter {
    /// Creates a meter without measurements, which forecasts the load if `forecasts` is set.
    #[must_use]
    pub fn new(now: Time, forecasts: bool) -> Self {
        if forecasts {
            Self::Expected(Forecast::new(now, forecast::Settings::default()))
        } else {
            Self::Measured(order::Meter::new(now, order::Settings::default()))
        }
    }

    /// Merges the microseconds that an instance's requests have taken since it started.
    pub fn merge_work(&mut self, now: Time, boot: u64, micros: u64) {
        match self {
            Self::Measured(meter) => meter.merge_work(now, boot, micros),
            Self::Expected(forecast) => forecast.merge_work(now, boot, micros),
        }
    }

    /// The load that endpoints are ordered for; `None` before there is a measurement with traffic.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<Load> {
        match self {
            Self::Measured(meter) => meter.load(now),
            Self::Expected(forecast) => forecast.load(now),
        }
    }
}
