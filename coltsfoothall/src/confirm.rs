//! Confirmation of a plan by one compare-and-swap, whose outcome can be verified by
//! reading.
//!
//! The caller performs each [`Action`] and reports its result as an [`Event`]. The stored
//! value contains the plan's id, so a lost answer is resolved by reading, and confirming a
//! plan again never applies it twice. Each swap names the version of the key that was read,
//! so a swap based on a stale read can never overwrite a newer value.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Revision};
use crate::plan::{self, Plan, Step};

/// Maximum number of swaps in one confirmation, so that contention on the key cannot delay
/// an operator indefinitely.
pub const MAX_SWAPS: u32 = 8;

/// The outcome of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Verdict {
    /// The plan was accepted as this revision. This is final.
    Accepted(Revision),
    /// Another plan was accepted on the same base, so this one can never be accepted.
    Stale {
        /// The newest revision that was read.
        current: Revision,
        /// The revision from which `changed` starts. `None` if the plan's base is no longer
        /// retained; `changed` then lists the complete configuration.
        since: Option<Revision>,
        /// The changes that were made by others.
        changed: Vec<Step>,
    },
    /// The plan is invalid and can never be accepted.
    Refused {
        /// The reason, for display.
        message: String,
    },
    /// This confirmation wrote nothing, and could not determine whether an earlier
    /// confirmation of the same plan did.
    Untried {
        /// The reason, for display.
        message: String,
    },
    /// This confirmation may have written the plan. Confirming again resolves it.
    Unsettled {
        /// The reason, for display.
        message: String,
    },
    /// So many plans have been accepted since the base that the catalog's history no longer
    /// contains the one that followed it.
    Expired {
        /// The newest revision that was read.
        current: Revision,
    },
}

/// The result of the last action.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The key was read.
    Found {
        /// Version of the key; 0 if it is absent.
        version: u64,
        /// Its value; the default if it is absent.
        catalog: Box<Catalog>,
    },
    /// The swap took effect.
    Swapped,
    /// The key had another version, so the swap had no effect.
    Conflict,
    /// No answer was received. A swap may have taken effect, or may still do so.
    Lost,
    /// The call certainly had no effect: the connection failed or the call was refused.
    Down,
}

/// The next action for the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Write the value if the key still has this version.
    Swap {
        /// Version that the key must have; 0 if it must be absent.
        version: u64,
        /// The value to write.
        value: Arc<Catalog>,
    },
    /// Report the outcome to the operator.
    Settle(Verdict),
}

/// One confirmation of one plan.
#[derive(Debug)]
pub struct Attempt {
    plan: Plan,
    value: Arc<Catalog>,
    current: Arc<Catalog>,
    base: Option<Arc<Catalog>>,
    stage: Stage,
    swaps: u32,
    answer_lost: bool,
}

/// The kind of event for which the attempt is waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Swapping,
    Settled,
}

impl Attempt {
    /// Creates a confirmation on an instance where the configuration `current` is in force.
    /// `base` is the plan's base, if the instance still retains it.
    #[must_use]
    pub fn new(plan: Plan, current: Arc<Catalog>, base: Option<Arc<Catalog>>) -> Self {
        let base = base.filter(|base| base.revision == plan.base);
        Self {
            value: Arc::new(plan.after.clone()),
            plan,
            current,
            base,
            stage: Stage::Reading,
            swaps: 0,
            answer_lost: false,
        }
    }

    /// Returns the first action. The configuration in force may settle the plan without a
    /// call.
    pub fn start(&mut self) -> Action {
        let current = Arc::clone(&self.current);
        match self.judge(&current) {
            Some(verdict) => self.settle(verdict),
            None => self.read(),
        }
    }

    /// Returns the next action. An event that does not match the last action settles the
    /// confirmation as [`Verdict::Unsettled`].
    pub fn step(&mut self, event: Event) -> Action {
        match (self.stage, event) {
            (Stage::Reading, Event::Found { version, catalog }) => self.found(version, &catalog),
            (Stage::Swapping, Event::Swapped) => {
                let revision = self.value.revision;
                self.settle(Verdict::Accepted(revision))
            }
            (Stage::Swapping, Event::Conflict) => self.read(),
            (Stage::Swapping, Event::Lost) => {
                self.answer_lost = true;
                self.read()
            }
            (Stage::Reading, Event::Lost | Event::Down) | (Stage::Swapping, Event::Down) => {
                self.give_up("the key-value service did not answer")
            }
            (stage, event) => {
                // This is a bug in the caller; the outcome of the plan is unknown.
                let message =
                    format!("unexpected event {event:?} in stage {stage:?}; this is a bug");
                self.settle(Verdict::Unsettled { message })
            }
        }
    }

    fn found(&mut self, version: u64, found: &Catalog) -> Action {
        if let Some(verdict) = self.judge(found) {
            return self.settle(verdict);
        }
        // The base is the newer of the configuration in force and the one that was read. If
        // the one read is older, either the read was stale, and the swap fails on its
        // version, or the service lost a write, and the swap repairs that.
        let current = Arc::clone(&self.current);
        let newest = if found.revision < current.revision {
            &current
        } else {
            found
        };
        if newest.revision < self.plan.base {
            return self.give_up("the plan's base is newer than every configuration that was read");
        }
        if let Some(message) = self.validate(newest) {
            return self.settle(Verdict::Refused { message });
        }
        if self.swaps == MAX_SWAPS {
            return self.give_up("every swap conflicted with another write");
        }
        self.swaps += 1;
        self.stage = Stage::Swapping;
        Action::Swap {
            version,
            value: Arc::clone(&self.value),
        }
    }

    /// The verdict that follows from a configuration alone, if it settles the plan.
    fn judge(&self, current: &Catalog) -> Option<Verdict> {
        if let Some(revision) = current.accepted(&self.plan.id) {
            if *current != *self.value && current.plan.as_ref() == Some(&self.plan.id) {
                let message = "the plan was modified after it was accepted".into();
                return Some(Verdict::Refused { message });
            }
            return Some(Verdict::Accepted(revision));
        }
        if current.revision <= self.plan.base {
            return None;
        }
        let next = Revision(self.plan.base.0.saturating_add(1));
        if !current.has_revision(next) {
            let current = current.revision;
            return Some(Verdict::Expired { current });
        }
        Some(self.stale(current))
    }

    fn stale(&self, current: &Catalog) -> Verdict {
        let empty = Catalog::default();
        let from = self.base.as_deref().unwrap_or(&empty);
        Verdict::Stale {
            current: current.revision,
            since: self.base.as_ref().map(|base| base.revision),
            changed: plan::difference(from, current),
        }
    }

    /// The reason why the plan may not be applied to its base, if there is one. The
    /// operator must confirm exactly what the intent does, so the plan is recomputed.
    fn validate(&self, base: &Catalog) -> Option<String> {
        if self.plan.steps.is_empty() {
            return Some("the plan changes nothing".into());
        }
        match Plan::make(base, self.plan.intent.clone(), self.plan.id.clone()) {
            Err(error) => Some(error.to_string()),
            Ok(made) if made != self.plan => {
                Some("the plan differs from the result of its intent on its base".into())
            }
            Ok(_same) => None,
        }
    }

    fn read(&mut self) -> Action {
        self.stage = Stage::Reading;
        Action::Read
    }

    fn give_up(&mut self, reason: &str) -> Action {
        let message = reason.to_owned();
        let verdict = if self.answer_lost {
            Verdict::Unsettled { message }
        } else {
            Verdict::Untried { message }
        };
        self.settle(verdict)
    }

    fn settle(&mut self, verdict: Verdict) -> Action {
        self.stage = Stage::Settled;
        Action::Settle(verdict)
    }
}
