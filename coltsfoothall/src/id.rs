//! Names of the entities in the system, each as a type of its own.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Upper bound on the length of a name in bytes; it limits the size of logs and label sets.
pub const MAX_LEN: usize = 64;

quick_error! {
    /// An invalid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The name is empty.
        Empty {
            display("name is empty")
        }
        /// The name is longer than [`MAX_LEN`] bytes.
        Long(len: usize) {
            display("name has {len} bytes, at most {MAX_LEN} are allowed")
        }
        /// The name contains a character outside `A-Z a-z 0-9 . _ : -`.
        Char(found: char) {
            display("name holds {found:?}; letters, digits and . _ : - are allowed")
        }
    }
}

/// Checks the length and the characters of a name.
///
/// # Errors
/// The rule that the name violates.
pub(crate) fn check(name: &str) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty);
    }
    if name.len() > MAX_LEN {
        return Err(Error::Long(name.len()));
    }
    match name
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || "._:-".contains(*c)))
    {
        Some(found) => Err(Error::Char(found)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self, Error> {
                check(name)?;
                Ok(Self(name.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(name: String) -> Result<Self, Error> {
                name.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }
    )*};
}

names! {
    /// A machine rented from the cloud, running an entry or an endpoint.
    Instance;
    /// A failure domain: machines that can be lost together.
    Domain;
    /// A region: failure domains with low latency between them.
    Region;
    /// A machine class, which determines price and speed.
    Class;
    /// A customer; its requests share limits.
    Workspace;
    /// A set of endpoints that serve the same requests.
    Service;
    /// A back end: a model engine or a plain service on one instance.
    Endpoint;
    /// A version of a service's software.
    Version;
    /// A model that engines load.
    Model;
    /// An adapter on top of a model.
    Adapter;
    /// A plan of an operator.
    Plan;
}
