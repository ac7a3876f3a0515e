//! Limits of requests that endpoints in need name.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// A rate that cannot be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not a decimal number of at least zero.
        Number(text: String) {
            display("{text:?} is not a decimal number of requests a second")
        }
    }
}

/// Requests a second, kept in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(u64);

impl Rate {
    /// The smallest rate; lower ones are raised to it, as an endpoint that gets no requests cannot
    /// say that its limit has ended.
    pub const MIN: Self = Self(100);

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let text = text.trim();
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let value: Result<f64, _> = digits.parse();
        match value {
            Ok(value) if value.is_finite() && value.is_sign_positive() => {
                Ok(Self((value * 1e3) as u64).max(Self::MIN))
            }
            _ => Err(Error::Number(text.into())),
        }
    }
}

/// What an answer says of its endpoint's limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Notice {
    /// There is none.
    #[default]
    Unlimited,
    /// The endpoint takes this many requests.
    Limited(Rate),
    /// It cannot be read, and changes nothing.
    Invalid(Error),
}
