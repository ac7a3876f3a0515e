//! Places in the history of a store that may come back from an older copy of itself.
//!
//! Its revisions go back then and are given out again, so a revision says nothing without
//! the copy that it is from.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Text that names no era or place.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// It is not a number.
        Number(text: String) {
            display("era {text:?} is not a whole number")
        }
        /// It is not an era and a revision.
        Position(text: String) {
            display("place {text:?} is not an era, a dot and a revision")
        }
    }
}

/// Number of a copy of the store; it rises each time the store comes back from one.
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
    /// The one before.
    #[must_use]
    pub fn before(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// A change in the store's history; those of a later era come after all of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The copy that it was made in.
    pub era: Era,
    /// Its revision there.
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
        let wrong = || Error::Position(text.into());
        let (era, revision) = text.split_once('.').ok_or_else(wrong)?;
        let revision = revision.parse().map_err(|_error| wrong())?;
        Ok(Self {
            era: era.parse()?,
            revision,
        })
    }
}

/// Bits of a fence that hold the revision: the store makes 3,200 changes a second at most, so
/// they last for ten years. The era has the 13 above them; a larger number would not be exact
/// where it is read as a double.
const REVISION_BITS: u32 = 40;
/// The last era that a fence can tell.
const LAST_ERA: u64 = (1 << 13) - 1;

/// The number that goes with each act for all. It rises with each claim, across eras too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fence(u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<Position> for Fence {
    /// The fence of the claim that was made at this place.
    fn from(place: Position) -> Self {
        let last = (1 << REVISION_BITS) - 1;
        Self(place.era.0.min(LAST_ERA) << REVISION_BITS | place.revision.min(last))
    }
}

/// A lease at the store. Its number is given out again in another era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// The copy that it was taken in.
    pub era: Era,
}

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.id)
    }
}

/// The eras of a store's answers so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    newest: Option<Era>,
    /// Whether the newest one followed another that was seen here.
    rose: bool,
    /// The store's revision as first seen in the newest era.
    first: Option<u64>,
}

impl Eras {
    /// The newest era that an answer was from.
    #[must_use]
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// An answer names its era, or none. Returns the era that it is from: without a name the
    /// newest that is known.
    pub fn saw(&mut self, named: Option<Era>) -> Era {
        let era = named.or(self.newest).unwrap_or_default();
        if self.newest.is_none_or(|known| known < era) {
            *self = Self {
                newest: Some(era),
                rose: self.newest.is_some(),
                first: None,
            };
        }
        era
    }

    /// An answer of this era tells the store's revision.
    pub fn at(&mut self, era: Era, revision: u64) -> Position {
        if self.newest == Some(era) {
            self.first.get_or_insert(revision);
        }
        Position { era, revision }
    }

    /// When a value was written that an answer of this era holds. What the copy held, and what
    /// may have been written before the first answer, is dated to the era before.
    #[must_use]
    pub fn written(&self, era: Era, revision: u64) -> Position {
        let first = self.first.unwrap_or(0);
        let old = self.newest == Some(era) && self.rose && revision <= first;
        let era = if old { era.before() } else { era };
        Position { era, revision }
    }
}
