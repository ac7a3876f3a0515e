//! The operators' configuration: one value, one revision.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::{Bytes, Millis, Price, Rate};

/// Number of a configuration; it only rises.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Accepted plans that a catalog remembers; it bounds what history adds to the stored value.
pub const MAX_HISTORY: usize = 64;

/// An accepted plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedPlan {
    /// The plan.
    pub plan: id::Plan,
    /// The revision that it made.
    pub revision: Revision,
}

/// Everything that operators have set. Each list is sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Catalog {
    /// The revision that this value is.
    pub revision: Revision,
    /// The plan that wrote it; a lost answer is settled by reading this.
    pub plan: Option<id::Plan>,
    /// Plans accepted last, oldest first, at most [`MAX_HISTORY`].
    pub history: Vec<AcceptedPlan>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Models.
    pub models: Vec<Model>,
    /// Adapters.
    pub adapters: Vec<Adapter>,
    /// Placement preferences, at most one a service.
    pub placements: Vec<Placement>,
}

impl Catalog {
    /// The revision that a plan made, if it was accepted and is still remembered.
    #[must_use]
    pub fn accepted(&self, plan: &id::Plan) -> Option<Revision> {
        if self.plan.as_ref() == Some(plan) {
            return Some(self.revision);
        }
        let accepted = self.history.iter().find(|accepted| accepted.plan == *plan);
        accepted.map(|accepted| accepted.revision)
    }

    /// Whether the plan that made this revision is still remembered.
    #[must_use]
    pub fn has_revision(&self, revision: Revision) -> bool {
        self.revision == revision
            || self
                .history
                .iter()
                .any(|accepted| accepted.revision == revision)
    }

    /// Makes this the next revision, written by `plan`.
    pub fn advance(&mut self, plan: id::Plan) {
        self.revision = Revision(self.revision.0 + 1);
        self.history.push(AcceptedPlan {
            plan: plan.clone(),
            revision: self.revision,
        });
        let old = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..old);
        self.plan = Some(plan);
    }
}

/// What kind of endpoints a service has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// Engines that run one model.
    Model {
        /// The model.
        model: id::Model,
        /// Adapters to have loaded.
        #[serde(default)]
        adapters: Vec<id::Adapter>,
    },
    /// Plain services over HTTP.
    Plain {
        /// Path prefixes whose calls may not be repeated.
        #[serde(default)]
        non_idempotent: Vec<String>,
    },
}

/// Whether endpoints refuse orders with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They refuse old numbers.
    Checked,
    /// They ignore the number.
    #[default]
    Ignored,
}

/// Latency target for 95 in 100 requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Target {
    /// Time to the first token, or to a plain service's answer.
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
    /// What its endpoints are.
    pub kind: Kind,
    /// Whether its endpoints check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// The latency target.
    #[serde(default)]
    pub target: Target,
    /// Fewest endpoints to hold.
    #[serde(default)]
    pub min: u32,
    /// Most endpoints to hold; 0 leaves the number to others.
    #[serde(default)]
    pub max: u32,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// Bearer tokens that callers present.
    pub tokens: Vec<String>,
    /// Weight of its share when there is not enough for all.
    #[serde(default = "one")]
    pub share: u32,
    /// Most requests open at once on one entry instance; 0 means no limit.
    #[serde(default)]
    pub open: u32,
    /// Most new requests a second on one entry instance; 0 means no limit.
    #[serde(default)]
    pub rate: Rate,
}

fn one() -> u32 {
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
    /// The model it goes on.
    pub model: id::Model,
    /// The version to run.
    pub version: u32,
    /// Size of its weights.
    #[serde(default)]
    pub weights: Bytes,
}

/// Where a service's endpoints should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The service.
    pub service: id::Service,
    /// Failure domains, best first; empty means all.
    #[serde(default)]
    pub domains: Vec<id::Domain>,
    /// Machine classes, best first; empty means all.
    #[serde(default)]
    pub classes: Vec<id::Class>,
    /// Highest price of one instance; 0 means no limit.
    #[serde(default)]
    pub price: Price,
    /// Fewest instances that cannot be reclaimed.
    #[serde(default)]
    pub on_demand: u32,
}
