//! A token bucket for the rate of the weight store.

use std::time::Duration;

use crate::clock::Time;
use crate::size::Bytes;

/// The share of the weight store's rate that one steward may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Total rate of the store in bytes per second; 0 means no limit.
    pub rate: Bytes,
    /// Number of services that share the rate. Each has its own steward and an equal share.
    pub services: u64,
    /// Maximum number of concurrent loads of one service, so that loads do not slow each
    /// other down until they time out.
    pub max_loads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: Bytes(2_000_000_000),
            services: 1,
            max_loads: 4,
        }
    }
}

impl Settings {
    /// Rate of one service in bytes per second; 0 means no limit.
    #[must_use]
    pub fn rate_per_service(&self) -> u64 {
        match self.rate.0 {
            0 => 0,
            rate => (rate / self.services.max(1)).max(1),
        }
    }

    /// Time that a load takes at the rate of one service.
    #[must_use]
    pub fn load_time(&self, bytes: Bytes) -> Duration {
        match self.rate_per_service() {
            0 => Duration::ZERO,
            rate => micros(bytes, rate),
        }
    }
}

fn micros(bytes: Bytes, rate: u64) -> Duration {
    let span = u128::from(bytes.0) * 1_000_000 / u128::from(rate);
    Duration::from_micros(u64::try_from(span).unwrap_or(u64::MAX))
}

/// A token bucket without a burst allowance: a load may begin once the debt of the previous
/// loads is paid off.
///
/// A load is larger than any reasonable burst, so it begins immediately and its debt delays
/// the next load.
#[derive(Debug, Clone)]
pub struct Bucket {
    settings: Settings,
    debt_free_at: Time,
}

impl Bucket {
    /// Creates a bucket without debt.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            debt_free_at: Time::START,
        }
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether a load may begin.
    #[must_use]
    pub fn is_free(&self, now: Time) -> bool {
        self.debt_free_at <= now
    }

    /// Adds the debt of a load that begins now.
    pub fn charge(&mut self, now: Time, bytes: Bytes) {
        self.debt_free_at = self.debt_free_at.max(now) + self.settings.load_time(bytes);
    }
}
