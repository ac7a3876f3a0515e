//! The operators' configuration, which is stored as one value with one revision.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::{Bytes, Millis, Price, Rate};

/// Revision number of a configuration. It never decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Maximum number of accepted plans in a catalog's history; it bounds the size of the
/// stored value.
pub const MAX_HISTORY: usize = 64;

/// A plan that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedPlan {
    /// Id of the plan.
    pub plan: id::Plan,
    /// The revision that it created.
    pub revision: Revision,
}

/// The complete configuration set by operators. Each list is sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Catalog {
    /// Revision of this value.
    pub revision: Revision,
    /// The plan that wrote this value. A client whose answer was lost reads it to find out
    /// whether its write took effect.
    pub plan: Option<id::Plan>,
    /// The most recently accepted plans, oldest first, at most [`MAX_HISTORY`].
    pub history: Vec<AcceptedPlan>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Models.
    pub models: Vec<Model>,
    /// Adapters.
    pub adapters: Vec<Adapter>,
    /// Placement preferences, at most one per service.
    pub placements: Vec<Placement>,
}

impl Catalog {
    /// The revision that a plan created, if the plan was accepted and is still in the
    /// history.
    #[must_use]
    pub fn accepted(&self, plan: &id::Plan) -> Option<Revision> {
        if self.plan.as_ref() == Some(plan) {
            return Some(self.revision);
        }
        let accepted = self.history.iter().find(|accepted| accepted.plan == *plan);
        accepted.map(|accepted| accepted.revision)
    }

    /// Whether the plan that created this revision is still in the history.
    #[must_use]
    pub fn has_revision(&self, revision: Revision) -> bool {
        self.revision == revision
            || self
                .history
                .iter()
                .any(|accepted| accepted.revision == revision)
    }

    /// Turns this catalog into the next revision, written by `plan`.
    pub fn advance(&mut self, plan: id::Plan) {
        self.revision = Revision(self.revision.0 + 1);
        self.history.push(AcceptedPlan {
            plan: plan.clone(),
            revision: self.revision,
        });
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..excess);
        self.plan = Some(plan);
    }
}

/// The kind of endpoints that a service has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// Engines that serve one model.
    Model {
        /// The model.
        model: id::Model,
        /// Adapters to load.
        #[serde(default)]
        adapters: Vec<id::Adapter>,
    },
    /// A plain HTTP service.
    Plain {
        /// Path prefixes of calls that must not be retried.
        #[serde(default)]
        non_idempotent: Vec<String>,
    },
}

/// Whether endpoints reject orders with an outdated fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Endpoints reject outdated numbers.
    Checked,
    /// Endpoints ignore the number.
    #[default]
    Ignored,
}

/// Latency target at the 95th percentile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Target {
    /// Time to the first token, or to the response of a plain service.
    pub first: Millis,
    /// Time between tokens.
    pub between: Millis,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            first: Millis(510),
            between: Millis(33),
        }
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Kind of its endpoints.
    pub kind: Kind,
    /// Whether its endpoints check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// The latency target.
    #[serde(default)]
    pub target: Target,
    /// Minimum number of endpoints.
    #[serde(default)]
    pub min: u32,
    /// Maximum number of endpoints; 0 means that coltsfoothall does not control the number.
    #[serde(default)]
    pub max: u32,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// Bearer tokens that identify its callers.
    pub tokens: Vec<String>,
    /// Weight of its share when capacity is scarce.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Maximum number of concurrent requests on one entry instance; 0 means no limit.
    #[serde(default)]
    pub open: u32,
    /// Maximum number of new requests per second on one entry instance; 0 means no limit.
    #[serde(default)]
    pub rate: Rate,
}

fn default_share() -> u32 {
    1
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// The version to run.
    pub version: u32,
    /// Size of its weights.
    #[serde(default)]
    pub weights: Bytes,
}

/// An adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name.
    pub name: id::Adapter,
    /// The model that it extends.
    pub model: id::Model,
    /// The version to run.
    pub version: u32,
    /// Size of its weights.
    #[serde(default)]
    pub weights: Bytes,
}

/// Placement preferences for a service's endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The service.
    pub service: id::Service,
    /// Allowed failure domains in order of preference; empty means all.
    #[serde(default)]
    pub domains: Vec<id::Domain>,
    /// Allowed machine classes in order of preference; empty means all.
    #[serde(default)]
    pub classes: Vec<id::Class>,
    /// Maximum price of one instance; 0 means no limit.
    #[serde(default)]
    pub price: Price,
    /// Minimum number of on-demand instances, which cannot be reclaimed.
    #[serde(default)]
    pub on_demand: u32,
}
