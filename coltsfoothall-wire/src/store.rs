//! Messages to the platform's key-value service.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/kv/{key}` | [`Entry`], or 404 |
//! | `PUT /v1/kv/{key}` with [`Put`] | [`Entry`]; 409 with [`Conflict`] |
//! | `DELETE /v1/kv/{key}?version=N` | 204; 409 with [`Conflict`] |
//! | `GET /v1/list/{prefix}` | [`List`] |
//! | `POST /v1/leases` with [`Grant`] | [`Lease`] |
//! | `PUT /v1/leases/{id}` | [`Lease`], renewed; 404 once lapsed |
//! | `DELETE /v1/leases/{id}` | 204; its keys are removed |
//! | `GET /v1/watch/{prefix}?after=N&wait_ms=T` | [`List`] of entries changed after revision N, or empty after T |
//!
//! Rates over the limit are answered with 429, an outage with 503.

use serde::{Deserialize, Serialize};

use coltsfoothall::size::Millis;

/// Version of one key; 0 stands for "absent".
pub type Version = u64;

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty in a watch's answer when the key was removed.
    pub value: String,
    /// Version of the key; 0 in a watch's answer when the key was removed.
    pub version: Version,
    /// Revision of the whole store at the change.
    pub revision: u64,
}

/// A compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The new value.
    pub value: String,
    /// The version that the key must have; 0 for "absent", none for any.
    pub version: Option<Version>,
    /// The lease that the key lives by.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// The entry that stood in the way of a swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// What is there, if anything.
    pub current: Option<Entry>,
}

/// Entries under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
    /// Revision of the whole store.
    pub revision: u64,
}

/// A lease to be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// How long it lives without renewal.
    pub ttl_ms: Millis,
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// How long it lives from now.
    pub ttl_ms: Millis,
}
