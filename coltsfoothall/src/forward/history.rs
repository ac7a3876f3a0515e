//! Positions in the history of a store that may be restored from an older backup.
//!
//! A restore sets the store's revision back, and revisions are then assigned a second time. A
//! revision is therefore meaningful only together with the era, which counts the restores.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error in the text of an era or a position.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The era is not a number.
        Number(text: String) {
            display("era {text:?} is not a whole number")
        }
        /// The text is not an era, a dot and a revision.
        Position(text: String) {
            display("invalid position {text:?}: expected <era>.<revision>")
        }
    }
}

/// Number of restores of the store from a backup.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.trim().parse();
        number
            .map(Self)
            .map_err(|_error| Error::Number(text.into()))
    }
}

impl Era {
    /// The preceding era.
    #[must_use]
    pub fn before(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Position of a change in the store's history, ordered by era first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era in which the change was made.
    pub era: Era,
    /// Revision of the change within the era.
    pub revision: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for Position {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Position(text.into());
        let (era, revision) = text.split_once('.').ok_or_else(invalid)?;
        let revision = revision.parse().map_err(|_error| invalid())?;
        Ok(Self {
            era: era.parse()?,
            revision,
        })
    }
}

/// Bits of a fence that hold the revision. At 3,200 changes per second, the most that the store
/// makes, they last for ten years. The era takes the 13 bits above: a number of more than 53 bits
/// would not be exact where it is parsed as a double.
const REVISION_BITS: u32 = 40;
/// Largest era that fits in a fence.
const MAX_ERA: u64 = (1 << 13) - 1;

/// Fencing token that accompanies each action of a leader. It grows with each election, also
/// across eras.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence(u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<Position> for Fence {
    /// The fence of a leader key that was created at this position.
    fn from(position: Position) -> Self {
        let max_revision = (1 << REVISION_BITS) - 1;
        Self(position.era.0.min(MAX_ERA) << REVISION_BITS | position.revision.min(max_revision))
    }
}

/// A lease at the store. Its number may be assigned again in a later era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// Era in which it was granted.
    pub era: Era,
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.id)
    }
}

/// Eras of the store's responses so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    newest: Option<Era>,
    /// Whether an older era was seen here before the newest one.
    advanced: bool,
    /// First revision of the store that was seen in the newest era.
    first_revision: Option<u64>,
}

impl Eras {
    /// The newest era of any response.
    #[must_use]
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// Records the era that a response names, if any, and returns the response's era: without a
    /// name it is the newest known.
    pub fn record(&mut self, reported: Option<Era>) -> Era {
        let era = reported.or(self.newest).unwrap_or_default();
        if self.newest.is_none_or(|known| known < era) {
            *self = Self {
                newest: Some(era),
                advanced: self.newest.is_some(),
                first_revision: None,
            };
        }
        era
    }

    /// Records the store's revision in a response of this era, and returns its position.
    pub fn at(&mut self, era: Era, revision: u64) -> Position {
        if self.newest == Some(era) {
            self.first_revision.get_or_insert(revision);
        }
        Position { era, revision }
    }

    /// Position at which a value in a response of this era was written. Values that the backup
    /// held, or that may have been written before the first response, count to the era before.
    #[must_use]
    pub fn written(&self, era: Era, revision: u64) -> Position {
        let first = self.first_revision.unwrap_or(0);
        let is_old = self.newest == Some(era) && self.advanced && revision <= first;
        let era = if is_old { era.before() } else { era };
        Position { era, revision }
    }
}
