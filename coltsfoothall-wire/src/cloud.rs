//! Messages to the platform's cloud API, instance list and weight store.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/offers` | [`Offers`] |
//! | `POST /v1/instances` with [`Start`] | [`Machine`]; 409 with [`Refused`] |
//! | `DELETE /v1/instances/{id}` | 204 |
//! | `GET /v1/notices?after=N&wait_ms=T` | [`Notices`] after number N, or empty after T |
//! | `GET /v1/instances` | [`Machines`], the lagging list |
//! | `POST /v1/weights/{model}/{version}` | 200 with the seconds a load takes; 429 over the rate |

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::size::{Millis, Price};

pub use coltsfoothall::fleet::Lend;
pub use coltsfoothall::start::Phase;

/// A price.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// How it is lent.
    pub lend: Lend,
    /// Price of one instance.
    pub price: Price,
}

/// All prices.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offers {
    /// The offers.
    pub offers: Vec<Offer>,
}

/// An instance to start. A repeat with the same `token` starts nothing more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Names this wish, so that a lost answer can be asked for again.
    pub token: String,
    /// The service it is for.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// How it is lent.
    pub lend: Lend,
}

/// Why an instance was not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Why, for people.
    pub message: String,
}

/// An instance of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name, also the endpoint's.
    pub id: id::Instance,
    /// The service it is for.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// How it is lent.
    pub lend: Lend,
    /// Price.
    pub price: Price,
    /// IP number and port of its endpoint; empty while it starts.
    pub address: String,
    /// Phase.
    pub phase: Phase,
}

/// The list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    /// The instances, sorted by name.
    pub machines: Vec<Machine>,
}

/// Notice that an instance will be taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Number, rising.
    pub seq: u64,
    /// The instance, entry or endpoint.
    pub instance: id::Instance,
    /// Time left when the answer was written.
    pub left_ms: Millis,
}

/// Notices after a number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// The notices, in order.
    pub notices: Vec<Notice>,
    /// The newest number.
    pub newest: u64,
}
