//! The five kinds of objects in the configuration, kept in lists sorted by name.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::catalog::{Adapter, Model, Placement, Service, Workspace};

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service.
    Service,
    /// A workspace.
    Workspace,
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// The placement preferences of a service; they have the name of the service.
    Placement,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Placement => "placement",
        })
    }
}

/// An object by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
}

impl Object {
    /// Creates a reference to an object.
    #[must_use]
    pub fn new(kind: Kind, name: &str) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// An object of the catalog.
pub trait Named {
    /// Its kind.
    const KIND: Kind;

    /// Its name.
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($type:ident by $field:ident;)*) => {$(
        impl Named for $type {
            const KIND: Kind = Kind::$type;

            fn name(&self) -> &str {
                self.$field.as_str()
            }
        }
    )*};
}

named! {
    Service by name;
    Workspace by name;
    Model by name;
    Adapter by name;
    Placement by service;
}

/// Finds an object in a list sorted by name.
#[must_use]
pub fn find<'a, T: Named>(list: &'a [T], name: &str) -> Option<&'a T> {
    let index = list.binary_search_by(|item| item.name().cmp(name)).ok()?;
    list.get(index)
}

/// Inserts an object into a sorted list, replacing one with the same name.
pub fn put<T: Named>(list: &mut Vec<T>, item: T) {
    match list.binary_search_by(|other| other.name().cmp(item.name())) {
        Ok(index) => list[index] = item,
        Err(index) => list.insert(index, item),
    }
}

/// Removes an object from a sorted list and returns it; `None` if there is none.
pub fn take<T: Named>(list: &mut Vec<T>, name: &str) -> Option<T> {
    let index = list.binary_search_by(|item| item.name().cmp(name)).ok()?;
    Some(list.remove(index))
}
