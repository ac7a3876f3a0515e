//! Counts, sizes, rates and prices with their units.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// A quantity that cannot be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not a whole number of the unit.
        Number(text: String) {
            display("{text:?} is not a whole number")
        }
    }
}

macro_rules! quantities {
    ($($(#[$doc:meta])* $name:ident, $unit:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Saturating addition.
            #[must_use]
            pub fn plus(self, rest: Self) -> Self {
                Self(self.0.saturating_add(rest.0))
            }

            /// Saturating subtraction.
            #[must_use]
            pub fn minus(self, rest: Self) -> Self {
                Self(self.0.saturating_sub(rest.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits.parse().map(Self).map_err(|_number| Error::Number(text.into()))
            }
        }
    )*};
}

quantities! {
    /// Tokens of a prompt or an answer.
    Tokens, " tokens";
    /// Bytes.
    Bytes, " B";
    /// Price of one instance per hour, in millionths of the currency.
    Price, " u/h";
    /// Requests per second.
    Rate, " requests/s";
    /// Bandwidth of a machine's network link, in megabits per second.
    Megabits, " Mbit/s";
    /// A duration in milliseconds, for settings and messages.
    Millis, " ms";
}

impl Millis {
    /// Converts to a [`Duration`](std::time::Duration).
    #[must_use]
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(span: std::time::Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
