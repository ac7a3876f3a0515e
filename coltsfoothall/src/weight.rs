//! Weights of the terms of an endpoint's expected cost.
//!
//! Costs are expressed in microseconds of a caller's waiting time, so each weight is the
//! number of microseconds that one unit of its quantity is worth.

use serde::{Deserialize, Serialize};

/// Expected number of reclaims of an instance in a thousand hours.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Risk(pub u64);

/// Weights of the cost terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Microseconds for each prompt token that the endpoint must process before those of
    /// this request.
    pub queued: f64,
    /// Microseconds for each uncached token of the request's prompt: its own processing
    /// time, and the delay that this causes for the other requests in the batch.
    pub uncached: f64,
    /// Discount in microseconds for each uncached token at the endpoint to which the first
    /// uncached block hashes, since other entry instances send the same prefix there.
    pub home: f64,
    /// Microseconds for each open request at the endpoint.
    pub open: f64,
    /// Microseconds for a hop to another failure domain.
    pub hop: f64,
    /// Share of the endpoints to which batch prompts hash, as a multiple of batch's share
    /// of the work. It keeps long batch prompts away from endpoints that serve interactive
    /// callers. At 0, prompts of both classes hash to all endpoints.
    pub apart: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            queued: 100.0,
            uncached: 800.0,
            home: 200.0,
            open: 2_000.0,
            hop: 2_000.0,
            apart: 1.0,
        }
    }
}
