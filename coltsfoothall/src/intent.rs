//! An operator's intent: the desired state of objects, and objects to remove.
//!
//! An intent is a YAML document (JSON is valid YAML). All sections are optional:
//!
//! ```
//! use coltsfoothall::intent::Intent;
//!
//! let intent: Intent = "
//! models:
//!   - {name: roster, version: 3, weights: 16000000000}
//! services:
//!   - {name: turni-llm, kind: {model: {model: roster}}, min: 6, max: 12}
//! workspaces:
//!   - {name: planners, tokens: [planners-1], share: 4}
//! placements:
//!   - {service: turni-llm, domains: [sala-bergamo, sala-brescia]}
//! remove:
//!   adapters: [legality]
//! "
//! .parse()?;
//! assert_eq!(intent.services[0].max, 12);
//! # Ok::<(), coltsfoothall::intent::Error>(())
//! ```
//!
//! - A stated object replaces the complete object of the same name. Fields that are omitted
//!   get their default, not their previous value.
//! - Objects that are not named remain unchanged.
//! - An object must not be stated twice, nor be both stated and removed.
//! - An object to remove must exist, so that a wrong name is detected.

use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::catalog::{Adapter, Catalog, Model, Placement, Service, Workspace};
use crate::id;
use crate::object::{self, Kind, Named, Object};
use crate::rule;

/// A set of changes to the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// Services to create or change.
    pub services: Vec<Service>,
    /// Workspaces to create or change.
    pub workspaces: Vec<Workspace>,
    /// Models to create or change.
    pub models: Vec<Model>,
    /// Adapters to create or change.
    pub adapters: Vec<Adapter>,
    /// Placement preferences to create or change.
    pub placements: Vec<Placement>,
    /// Objects to remove.
    pub remove: Remove,
}

/// Names of objects to remove.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Remove {
    /// Services.
    pub services: Vec<id::Service>,
    /// Workspaces.
    pub workspaces: Vec<id::Workspace>,
    /// Models.
    pub models: Vec<id::Model>,
    /// Adapters.
    pub adapters: Vec<id::Adapter>,
    /// Services whose placement preferences are removed.
    pub placements: Vec<id::Service>,
}

quick_error! {
    /// The reason why an intent is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The document is not an intent: invalid YAML, an unknown field or an invalid
        /// name.
        Document(message: String) {
            display("{message}")
        }
        /// An object is named twice.
        Twice(object: Object) {
            display("{object}: field name: named twice in the intent")
        }
        /// An object to remove does not exist.
        Absent(object: Object) {
            display("{object}: field remove: there is none")
        }
        /// The resulting configuration would violate a rule.
        Rule(error: rule::Error) {
            from()
            display("{error}")
        }
        /// The resulting configuration would be too large for the key-value service.
        Large(bytes: usize, max: usize) {
            display("the configuration would have {bytes} bytes, the maximum is {max}")
        }
    }
}

impl Error {
    /// The invalid field as `kind.name.field`, if it is known.
    #[must_use]
    pub fn field(&self) -> Option<String> {
        let (object, field) = match self {
            Self::Document(_) | Self::Large(..) => return None,
            Self::Twice(object) => (object, "name"),
            Self::Absent(object) => (object, "remove"),
            Self::Rule(error) => (error.object(), error.field()),
        };
        Some(format!("{}.{}.{field}", object.kind, object.name))
    }
}

impl FromStr for Intent {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.trim().is_empty() {
            return Err(Error::Document("the document is empty".into()));
        }
        // A snippet of the document could leak bearer tokens into logs.
        serde_saphyr::from_str(text)
            .map_err(|error| Error::Document(error.without_snippet().to_string()))
    }
}

impl Intent {
    /// Applies the intent to a configuration. The revision is not changed.
    ///
    /// # Errors
    /// An object is named twice, or an object to remove does not exist. The rules of
    /// [`Catalog::check`] are not checked here.
    pub fn apply(&self, base: &Catalog) -> Result<Catalog, Error> {
        let mut after = base.clone();
        let remove = &self.remove;
        merge(
            &mut after.services,
            &self.services,
            names(&remove.services, id::Service::as_str),
        )?;
        merge(
            &mut after.workspaces,
            &self.workspaces,
            names(&remove.workspaces, id::Workspace::as_str),
        )?;
        merge(
            &mut after.models,
            &self.models,
            names(&remove.models, id::Model::as_str),
        )?;
        merge(
            &mut after.adapters,
            &self.adapters,
            names(&remove.adapters, id::Adapter::as_str),
        )?;
        merge(
            &mut after.placements,
            &self.placements,
            names(&remove.placements, id::Service::as_str),
        )?;
        Ok(after)
    }
}

fn names<T>(list: &[T], name: fn(&T) -> &str) -> Vec<&str> {
    list.iter().map(name).collect()
}

fn merge<T: Named + Clone>(
    list: &mut Vec<T>,
    stated: &[T],
    removed: Vec<&str>,
) -> Result<(), Error> {
    check_unique(
        T::KIND,
        stated.iter().map(T::name).chain(removed.iter().copied()),
    )?;
    for name in removed {
        object::take(list, name).ok_or_else(|| Error::Absent(Object::new(T::KIND, name)))?;
    }
    for item in stated {
        object::put(list, item.clone());
    }
    Ok(())
}

fn check_unique<'a>(kind: Kind, names: impl Iterator<Item = &'a str>) -> Result<(), Error> {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Error::Twice(Object::new(kind, pair[0]))),
        None => Ok(()),
    }
}
