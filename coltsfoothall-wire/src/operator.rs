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

use coltsfoothall::catalog::Revision;
use coltsfoothall::id;
use coltsfoothall::size::Millis;

pub use coltsfoothall::catalog::Catalog;
pub use coltsfoothall::confirm::Verdict;
pub use coltsfoothall::plan::{Plan, Step, Verb};

/// Path of the call for the [`Catalog`].
pub const CATALOG: &str = "/v1/operator/catalog";
/// Path of the call for a [`Plan`].
pub const PLAN: &str = "/v1/operator/plan";
/// Path of the call for a [`Verdict`]; every verdict is answered with 200.
pub const CONFIRM: &str = "/v1/operator/confirm";
/// Path of the call for a [`Status`].
pub const STATUS: &str = "/v1/operator/status";

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
    /// Time since that revision was known to be current; none if it never was.
    #[serde(default)]
    pub age_ms: Option<Millis>,
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
