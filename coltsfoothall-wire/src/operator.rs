//! Messages of the operators' interface.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/operator/catalog` | the [`Catalog`] in force here |
//! | `POST /v1/operator/plan` with an intent as YAML | [`Plan`] |
//! | `POST /v1/operator/confirm` with a [`Plan`] | [`Verdict`] |
//! | `GET /v1/operator/status` | [`Status`] |
//!
//! Each call carries the operators' bearer token.

use serde::{Deserialize, Serialize};

use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::id;
use coltsfoothall::size::Millis;

/// What a plan does to one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verb {
    /// It is made.
    Create,
    /// It is changed.
    Change,
    /// It is removed.
    Remove,
}

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// What is done.
    pub verb: Verb,
    /// Kind of the object: `service`, `workspace`, `model`, `adapter` or `placement`.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// Effects, one a line, for people.
    pub effects: Vec<String>,
}

/// A plan, made on a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Names the plan; minted when it is made.
    pub id: id::Plan,
    /// The revision it was made on.
    pub base: Revision,
    /// What it does.
    pub steps: Vec<Step>,
    /// The configuration after it.
    pub after: Catalog,
}

/// What became of a confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The plan is the configuration since this revision.
    Accepted(Revision),
    /// Another plan was accepted on the same base; a new plan for the same intent follows.
    Stale {
        /// The revision that is in force.
        current: Revision,
        /// What the others changed since the plan's base.
        changed: Vec<Step>,
    },
    /// The key-value service did not answer; confirm again to settle it.
    Unsettled {
        /// Why, for people.
        message: String,
    },
}

/// An entry instance as others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: id::Instance,
    /// Its address for callers.
    pub address: String,
    /// Failure domain.
    pub domain: id::Domain,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time since it was heard.
    pub heard_ms: Millis,
}

/// An endpoint as this entry instance knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub id: id::Endpoint,
    /// Its service.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// `live`, `leaving` or `suspect`.
    pub state: String,
    /// Own requests in flight there.
    pub open: u32,
}

/// What an entry instance knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The entry instance that answers.
    pub instance: id::Instance,
    /// Revision in force here.
    pub revision: Revision,
    /// Entry instances on which that revision is in force.
    pub in_force: u32,
    /// Entry instances, sorted by name.
    pub members: Vec<Member>,
    /// Endpoints, sorted by name.
    pub endpoints: Vec<Endpoint>,
    /// Requests open here.
    pub open: u32,
    /// Rules found broken since the start; anything but 0 is a bug.
    pub broken: u64,
}
