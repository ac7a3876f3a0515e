//! What entry instances say of themselves and others, and what callers get.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::{Bytes, Millis};

/// Estimate of a digest on the wire, with its share of the frame.
pub const DIGEST_SIZE: Bytes = Bytes(110);

/// Estimate of a death on the wire.
pub const DEATH_SIZE: Bytes = Bytes(30);

/// Estimate of a heartbeat on the wire without digests: frame, call and
/// answer.
pub const HEARTBEAT_SIZE: Bytes = Bytes(160);

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Its name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where callers reach it.
    pub callers: String,
    /// Where peers reach it.
    pub peers: String,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// Rises with each heartbeat.
    pub version: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Use of its capacity, in hundredths.
    pub load: u32,
    /// The configuration that is in force there.
    pub revision: u64,
    /// The slot table that it knows.
    pub slots: u64,
}

impl Digest {
    pub(crate) fn age(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }

    /// Whether nothing changed that others must know soon.
    pub(crate) fn same(&self, new: &Self) -> bool {
        let state = |digest: &Self| (digest.leaving, digest.revision, digest.slots);
        state(self) == state(new)
    }
}

/// The last that was heard of a member that is believed dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Its name.
    pub instance: id::Instance,
    /// Its last incarnation.
    pub incarnation: u64,
    /// Its last version.
    pub version: u64,
}

/// One message: the sender's digest first, then news of others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Digests.
    pub digests: Vec<Digest>,
    /// Members that are believed dead.
    #[serde(default)]
    pub deaths: Vec<Death>,
}

impl Heartbeat {
    /// Estimate of the message's size.
    #[must_use]
    pub fn size(&self) -> Bytes {
        let digests = DIGEST_SIZE.0 * self.digests.len() as u64;
        Bytes(HEARTBEAT_SIZE.0 + digests + DEATH_SIZE.0 * self.deaths.len() as u64)
    }
}

/// An address for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// IP number and port.
    pub address: String,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Share of new connections, at least 1.
    pub weight: u32,
}

/// The addresses for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// Addresses by domain and address.
    pub addresses: Vec<Address>,
    /// How long to keep them.
    pub ttl: Millis,
}
