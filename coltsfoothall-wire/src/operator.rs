//! Messages of the operator API.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/operator/catalog` | the [`Catalog`] in force on this instance |
//! | `POST /v1/operator/plan` with an intent as YAML | [`Plan`] |
//! | `POST /v1/operator/confirm` with a [`Plan`] | [`Verdict`] |
//! | `GET /v1/operator/status` | [`Status`] |
//!
//! Every call must carry the operator bearer token.

use serde::{Deserialize, Serialize};

use coltsfoothall::catalog::Revision;
use coltsfoothall::id;
use coltsfoothall::size::Millis;

pub use coltsfoothall::catalog::Catalog;
pub use coltsfoothall::confirm::Verdict;
pub use coltsfoothall::plan::{Plan, Step, Verb};

/// Path of the call that returns the [`Catalog`].
pub const CATALOG: &str = "/v1/operator/catalog";
/// Path of the call that returns a [`Plan`].
pub const PLAN: &str = "/v1/operator/plan";
/// Path of the call that returns a [`Verdict`]; every verdict has status 200.
pub const CONFIRM: &str = "/v1/operator/confirm";
/// Path of the call that returns a [`Status`].
pub const STATUS: &str = "/v1/operator/status";

/// An entry instance, as known to the instance that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub id: id::Instance,
    /// Address for callers.
    pub address: String,
    /// Failure domain.
    pub domain: id::Domain,
    /// Configuration revision in force on the instance.
    pub revision: Revision,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Time since it was last heard from.
    pub heard_ms: Millis,
}

/// An endpoint, as known to the instance that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: id::Endpoint,
    /// Service that the endpoint runs.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// `live`, `leaving` or `suspect`.
    pub state: String,
    /// Requests that the answering instance has in flight on the endpoint.
    pub open: u32,
}

/// State of the fleet as known to one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The entry instance that answers.
    pub instance: id::Instance,
    /// Configuration revision in force on it.
    pub revision: Revision,
    /// Time since the revision was last known to be current; `None` if it never was.
    #[serde(default)]
    pub age_ms: Option<Millis>,
    /// Number of entry instances on which that revision is in force.
    pub in_force: u32,
    /// Entry instances, sorted by name.
    pub members: Vec<Member>,
    /// Endpoints, sorted by name.
    pub endpoints: Vec<Endpoint>,
    /// Requests open on the answering instance.
    pub open: u32,
    /// Invariant violations found since the start; anything but 0 is a bug.
    pub broken: u64,
}
