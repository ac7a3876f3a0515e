//! A token bucket for the weight store's rate.

use std::time::Duration;

use crate::clock::Time;
use crate::size::Bytes;

/// How much of the weight store one steward may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Bytes a second of the whole store; 0 means no limit.
    pub rate: Bytes,
    /// Services that share the rate, each with its own steward and an equal part.
    pub services: u64,
    /// Most loads of one service at once; it stops loads from slowing each other into timeouts.
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
    /// Bytes a second of one service; 0 means no limit.
    #[must_use]
    pub fn rate_per_service(&self) -> u64 {
        match self.rate.0 {
            0 => 0,
            rate => (rate / self.services.max(1)).max(1),
        }
    }

    /// Time that a load takes at one service's part of the rate.
    #[must_use]
    pub fn load_time(&self, bytes: Bytes) -> Duration {
        match self.rate_per_service() {
            0 => Duration::ZERO,
            part => micros(bytes, part),
        }
    }
}

fn micros(bytes: Bytes, rate: u64) -> Duration {
    let span = u128::from(bytes.0) * 1_000_000 / u128::from(rate);
    Duration::from_micros(u64::try_from(span).unwrap_or(u64::MAX))
}

/// A token bucket that holds no burst: a load may begin once those before it are paid for.
///
/// A load is larger than any sensible burst, so it begins at once and the debt delays the next.
#[derive(Debug, Clone)]
pub struct Bucket {
    settings: Settings,
    paid_at: Time,
}

impl Bucket {
    /// A bucket without debt.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            paid_at: Time::START,
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
        self.paid_at <= now
    }

    /// Charges for a load that begins now.
    pub fn charge(&mut self, now: Time, bytes: Bytes) {
        self.paid_at = self.paid_at.max(now) + self.settings.load_time(bytes);
    }
}
