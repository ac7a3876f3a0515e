//! Plans: what an intent changes on one revision, and with which effects.
//!
//! ```
//! use coltsfoothall::catalog::Catalog;
//! use coltsfoothall::plan::{Plan, Verb};
//!
//! let intent = "models: [{name: roster, version: 3}]".parse()?;
//! let id = "plan-1".parse().expect("a good name");
//! let plan = Plan::make(&Catalog::default(), intent, id)?;
//! assert_eq!(plan.steps[0].verb, Verb::Create);
//! assert_eq!(plan.after.revision.0, 1);
//! # Ok::<(), coltsfoothall::intent::Error>(())
//! ```

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Revision};
use crate::effect::{self, Change};
use crate::id;
use crate::intent::{Error, Intent};
use crate::object::{self, Kind, Named};

/// Largest configuration in bytes of JSON, as the platform's values are limited.
pub const MAX_BYTES: usize = 1 << 20;

/// What a plan does to one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verb {
    /// It is made.
    Create,
    /// It is changed.
    Change,
    /// It is removed.
    Remove,
}

impl fmt::Display for Verb {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Create => "create",
            Self::Change => "change",
            Self::Remove => "remove",
        })
    }
}

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// What is done.
    pub verb: Verb,
    /// Kind of the object.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Effects, one a line, for people.
    pub effects: Vec<String>,
}

/// A plan, made on a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Names the plan; minted when it is made.
    pub id: id::Plan,
    /// The revision it was made on.
    pub base: Revision,
    /// What it does.
    pub steps: Vec<Step>,
    /// The configuration after it.
    pub after: Catalog,
    /// The intent it was made from, so that a stale plan can be made anew.
    pub intent: Intent,
}

impl Plan {
    /// Makes a plan; nothing changes by it.
    ///
    /// # Errors
    /// The intent contradicts itself, or the configuration would break a rule
    /// or be too large.
    pub fn make(base: &Catalog, intent: Intent, id: id::Plan) -> Result<Self, Error> {
        let mut after = intent.apply(base)?;
        after.check()?;
        let steps = difference(base, &after);
        after.advance(id.clone());
        let bytes = serde_json::to_vec(&after)
            .expect("a catalog has no map keys that JSON refuses")
            .len();
        if bytes > MAX_BYTES {
            return Err(Error::Large(bytes, MAX_BYTES));
        }
        Ok(Self {
            id,
            base: base.revision,
            steps,
            after,
            intent,
        })
    }
}

/// Steps that lead from one configuration to another, with their effects.
#[must_use]
pub fn difference(from: &Catalog, to: &Catalog) -> Vec<Step> {
    let change = Change { from, to };
    let mut steps = Vec::new();
    compare(&from.models, &to.models, &mut steps, |old, new| {
        effect::model(change, old, new)
    });
    compare(&from.adapters, &to.adapters, &mut steps, |old, new| {
        effect::adapter(change, old, new)
    });
    compare(&from.services, &to.services, &mut steps, |old, new| {
        effect::service(change, old, new)
    });
    compare(
        &from.placements,
        &to.placements,
        &mut steps,
        effect::placement,
    );
    compare(
        &from.workspaces,
        &to.workspaces,
        &mut steps,
        effect::workspace,
    );
    steps
}

/// Walks two sorted lists side by side.
fn compare<T: Named + PartialEq>(
    from: &[T],
    to: &[T],
    steps: &mut Vec<Step>,
    effects: impl Fn(Option<&T>, Option<&T>) -> Vec<String>,
) {
    let step = |verb, old: Option<&T>, new: Option<&T>, name: &str| Step {
        verb,
        kind: T::KIND,
        name: name.into(),
        effects: effects(old, new),
    };
    for old in from {
        if object::find(to, old.name()).is_none() {
            steps.push(step(Verb::Remove, Some(old), None, old.name()));
        }
    }
    for new in to {
        match object::find(from, new.name()) {
            None => steps.push(step(Verb::Create, None, Some(new), new.name())),
            Some(old) if old != new => {
                steps.push(step(Verb::Change, Some(old), Some(new), new.name()));
            }
            Some(_same) => {}
        }
    }
}
