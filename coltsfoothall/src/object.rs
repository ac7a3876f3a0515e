//! What operators name: five kinds of objects in lists sorted by name.

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
    /// The placement preferences of a service, named as the service.
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
    /// Names an object.
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
    let at = list.binary_search_by(|item| item.name().cmp(name)).ok()?;
    list.get(at)
}

/// Puts an object into a sorted list, in place of one with its name.
pub fn put<T: Named>(list: &mut Vec<T>, item: T) {
    match list.binary_search_by(|other| other.name().cmp(item.name())) {
        Ok(at) => list[at] = item,
        Err(at) => list.insert(at, item),
    }
}

/// Takes an object out of a sorted list; `None` if there was none.
pub fn take<T: Named>(list: &mut Vec<T>, name: &str) -> Option<T> {
    let at = list.binary_search_by(|item| item.name().cmp(name)).ok()?;
    Some(list.remove(at))
}
