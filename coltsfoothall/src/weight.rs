//! What each part of an endpoint's expected cost weighs.
//!
//! Costs are added up in microseconds of a caller's wait, so each weight says
//! how many microseconds one unit of its quantity is worth.

use serde::{Deserialize, Serialize};

/// Expected reclaims of an instance in a thousand hours.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Risk(pub u64);

impl Risk {
    /// Expected reclaims within a span.
    #[must_use]
    pub fn within(self, span: std::time::Duration) -> f64 {
        self.0 as f64 * span.as_secs_f64() / 3_600_000.0
    }
}

/// The weights of a choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Microseconds for each prompt token that the endpoint still has to read
    /// before this request's own.
    pub queued: f64,
    /// Microseconds for each token of the request's prompt that is not cached:
    /// its own reading time, and what the reading costs the others in the batch.
    pub uncached: f64,
    /// Microseconds less for each uncached token at the endpoint that the
    /// first unknown block hashes to, where other entry instances bring it too.
    pub home: f64,
    /// Microseconds for each request open at the endpoint.
    pub open: f64,
    /// Microseconds for a hop to another failure domain.
    pub hop: f64,
    /// Microseconds for each millionth of the currency that an hour costs
    /// above the cheapest endpoint.
    pub price: f64,
    /// Microseconds between the first and the last endpoint in an order that
    /// all entry instances share: batch prefers the one end, interactive the
    /// other, so long prompts are read where few callers wait.
    pub apart: f64,
    /// Microseconds for each token that is expected to be read again because
    /// the instance is reclaimed.
    pub reclaim: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            queued: 100.0,
            uncached: 800.0,
            home: 200.0,
            open: 2_000.0,
            hop: 2_000.0,
            price: 0.0,
            reclaim: 100.0,
            apart: 0.0,
        }
    }
}
