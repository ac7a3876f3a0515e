//! Messages of the membership protocol, and the addresses that callers receive.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::{Bytes, Millis};

/// Estimated size of a digest on the wire, with its share of the frame.
pub const DIGEST_SIZE: Bytes = Bytes(110);

/// Estimated size of a death notice on the wire.
pub const DEATH_SIZE: Bytes = Bytes(30);

/// Estimated size of a heartbeat without digests on the wire: frame, call and response.
pub const HEARTBEAT_SIZE: Bytes = Bytes(160);

/// The state that an instance reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Its name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Address for callers.
    pub callers: String,
    /// Address for peers.
    pub peers: String,
    /// Increases with each start of its process.
    pub incarnation: u64,
    /// Increases with each heartbeat.
    pub version: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Utilization of its capacity, in percent.
    pub load: u32,
    /// Revision of the configuration in force on it.
    pub revision: u64,
    /// Version of the newest slot table that it has.
    pub slots: u64,
}

impl Digest {
    pub(crate) fn logical_time(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }

    /// Whether nothing has changed that must be propagated quickly.
    pub(crate) fn is_same_state(&self, new: &Self) -> bool {
        let state = |digest: &Self| (digest.leaving, digest.revision, digest.slots);
        state(self) == state(new)
    }
}

/// The last known incarnation and version of a member that is presumed dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Its name.
    pub instance: id::Instance,
    /// Its last incarnation.
    pub incarnation: u64,
    /// Its last version.
    pub version: u64,
}

/// One message: the sender's digest first, then updates about other members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Digests.
    pub digests: Vec<Digest>,
    /// Members that are presumed dead.
    #[serde(default)]
    pub deaths: Vec<Death>,
}

impl Heartbeat {
    /// Estimated size of the message.
    #[must_use]
    pub fn size(&self) -> Bytes {
        let digests = DIGEST_SIZE.0 * self.digests.len() as u64;
        Bytes(HEARTBEAT_SIZE.0 + digests + DEATH_SIZE.0 * self.deaths.len() as u64)
    }
}

/// An address for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// IP address and port.
    pub address: String,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Relative share of new connections, at least 1.
    pub weight: u32,
}

/// The addresses for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// The addresses, sorted by domain and address.
    pub addresses: Vec<Address>,
    /// How long callers may cache them.
    pub ttl: Millis,
}
