//! What the cloud has: its offers, its instances and its spare addresses.

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::cloud::{Lend, Offer};

/// An instance that runs from the beginning.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Initial {
    /// Its name.
    pub id: id::Instance,
    /// The service it is for; `entry` for entry instances.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// How it is lent.
    #[serde(default = "reclaimable")]
    pub lend: Lend,
    /// IP number and port at which its stand-in listens.
    pub address: String,
}

fn reclaimable() -> Lend {
    Lend::Reclaimable
}

/// An address at which a stand-in listens, for an instance yet to be started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spare {
    /// IP number and port.
    pub address: String,
    /// The service it answers for.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
}

/// What the cloud has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time from a start to the instance's address.
    pub start_ms: Millis,
    /// Age of the instance list.
    pub list_lag_ms: Millis,
    /// Prices; what is not offered cannot be started.
    pub offers: Vec<Offer>,
    /// Instances that run from the beginning.
    pub machines: Vec<Initial>,
    /// Addresses for instances that are started; each is free again once its instance is gone.
    pub pool: Vec<Spare>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            start_ms: Millis(20_000),
            list_lag_ms: Millis(3000),
            offers: Vec::new(),
            machines: Vec::new(),
            pool: Vec::new(),
        }
    }
}
