//! Keys that identify requests within a workspace, and their slots.
//!
//! A caller may supply its own key. A key minted by the system contains its slot and the slot's
//! epoch, so that a primary that lost its records can recognize keys from before the loss.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{self, Error};

/// Index of a slot in the slot table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u16);

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version of a slot's entry in the table; it increases with each change of primary or backup.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The epoch after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a request within its workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

/// Slot and epoch encoded in a minted key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mint {
    /// The slot in which the key was minted.
    pub slot: Slot,
    /// The slot's epoch at that time.
    pub epoch: Epoch,
}

impl Key {
    /// Mints a key in `slot`; `unique` comes from a random source.
    #[must_use]
    pub fn mint(slot: Slot, epoch: Epoch, unique: u64) -> Self {
        Self(format!("k:{:x}:{:x}:{unique:016x}", slot.0, epoch.0).into())
    }

    /// The slot and epoch in the key, if the system minted it.
    #[must_use]
    pub fn minted(&self) -> Option<Mint> {
        let mut parts = self.0.strip_prefix("k:")?.split(':');
        let slot = u16::from_str_radix(parts.next()?, 16).ok()?;
        let epoch = u32::from_str_radix(parts.next()?, 16).ok()?;
        let unique = parts.next()?;
        let complete = unique.len() == 16 && parts.next().is_none();
        complete.then_some(Mint {
            slot: Slot(slot),
            epoch: Epoch(epoch),
        })
    }

    /// The key's slot among `count` slots.
    #[must_use]
    pub fn slot(&self, count: u16) -> Slot {
        let count = count.max(1);
        match self.minted() {
            Some(mint) => Slot(mint.slot.0 % count),
            None => Slot((xxh3_64(self.0.as_bytes()) % u64::from(count)) as u16),
        }
    }

    /// The key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(key: &str) -> Result<Self, Error> {
        id::check(key)?;
        Ok(Self(key.into()))
    }
}

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(key: String) -> Result<Self, Error> {
        key.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.0.as_ref().into()
    }
}
