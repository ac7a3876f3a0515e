//! Messages to the platform's key-value service (the store).
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/kv/{key}` | [`Entry`], or 404 |
//! | `PUT /v1/kv/{key}` with [`Put`] | [`Entry`]; 409 with [`Conflict`] |
//! | `DELETE /v1/kv/{key}?version=N` | 204; 409 with [`Conflict`] |
//! | `GET /v1/list/{prefix}` | [`List`] |
//! | `POST /v1/leases` with [`Grant`] | [`Lease`] |
//! | `PUT /v1/leases/{id}` | the renewed [`Lease`]; 404 once it has expired |
//! | `DELETE /v1/leases/{id}` | 204; its keys are removed |
//! | `GET /v1/watch/{prefix}?after=N&wait_ms=T` | [`List`] of the entries changed after revision N; empty if none changes within T |
//!
//! Keys and prefixes in paths are percent-encoded. Calls over the rate limit are answered with 429, calls during an outage with 503.

use serde::{Deserialize, Serialize};

use coltsfoothall::size::Millis;

/// Version of one key; 0 means that the key does not exist.
pub type Version = u64;

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty in the answer to a watch if the key was removed.
    pub value: String,
    /// Version of the key; 0 in the answer to a watch if the key was removed.
    pub version: Version,
    /// Revision of the store as of this change.
    pub revision: u64,
}

/// A compare-and-swap write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The new value.
    pub value: String,
    /// Version that the key must have; 0 if it must not exist, `None` for an unconditional write.
    pub version: Option<Version>,
    /// Lease that the key is attached to; the key is removed when the lease ends.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// The entry that made a compare-and-swap fail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Current entry of the key; `None` if the key does not exist.
    pub current: Option<Entry>,
}

/// Entries under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
    /// Revision of the store at the time of the answer.
    pub revision: u64,
}

/// Request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time to live without renewal.
    pub ttl_ms: Millis,
}

/// A granted lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Number of the lease.
    pub id: u64,
    /// Time to live from now.
    pub ttl_ms: Millis,
}
