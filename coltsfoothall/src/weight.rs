//! What each part of an endpoint's expected cost weighs.
//!
//! Costs are added up in microseconds of a caller's wait, so each weight says
//! how many microseconds one unit of its quantity is worth.

use serde::{Deserialize, Serialize};

/// Expected reclaims of an instance in a thousand hours.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Risk(pub u64);

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
    /// Endpoints where batch has its homes, as a multiple of its part of the
    /// work; it keeps long prompts from being read where callers wait. At 0
    /// both classes have homes everywhere.
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
