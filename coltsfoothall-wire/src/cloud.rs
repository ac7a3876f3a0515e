//! Messages to the platform's cloud API, instance list and weight store.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/offers` | [`Offers`] |
//! | `POST /v1/instances` with [`Start`] | [`Machine`]; 409 with [`Refused`] |
//! | `DELETE /v1/instances/{id}` | 204 |
//! | `GET /v1/notices?after=N&wait_ms=T` | [`Notices`] after sequence number N; empty if none arrives within T |
//! | `GET /v1/instances` | [`Machines`]; the list lags behind |
//! | `POST /v1/weights/{model}/{version}` | 200 with the duration of a load in seconds; 429 over the rate limit |

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::size::{Millis, Price};

pub use coltsfoothall::fleet::Lend;
pub use coltsfoothall::start::Phase;

/// Price of an instance of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// Terms on which the instance is rented.
    pub lend: Lend,
    /// Price of one such instance.
    pub price: Price,
}

/// Current offers of the cloud.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offers {
    /// The offers.
    pub offers: Vec<Offer>,
}

/// Request to start an instance. Repeating it with the same `token` starts no second instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Idempotency token: the request can be repeated if its answer is lost.
    pub token: String,
    /// Service that the instance runs.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// Terms on which the instance is rented.
    pub lend: Lend,
}

/// Why an instance was not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Human-readable reason.
    pub message: String,
}

/// An instance of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the instance and of its endpoint.
    pub id: id::Instance,
    /// Service that the instance runs.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// Terms on which the instance is rented.
    pub lend: Lend,
    /// Price of the instance.
    pub price: Price,
    /// IP address and port of its endpoint; empty while the instance starts.
    pub address: String,
    /// Current phase of its life cycle.
    pub phase: Phase,
}

/// The list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    /// The instances, sorted by name.
    pub machines: Vec<Machine>,
}

/// Notice that an instance will be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number, strictly increasing.
    pub seq: u64,
    /// Instance that will be reclaimed; it runs an entry program or an endpoint.
    pub instance: id::Instance,
    /// Time left until the instance is reclaimed, at the time of the answer.
    pub left_ms: Millis,
}

/// Notices after a given sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// The notices, in order.
    pub notices: Vec<Notice>,
    /// Newest sequence number.
    pub newest: u64,
}
