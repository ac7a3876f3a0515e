//! Confirming a plan: one compare-and-swap, settled by reading.
//!
//! The program carries out each [`Action`] and hands in what came of it. The
//! plan's id stands inside the stored value, so an answer that was lost is
//! settled by reading, and a second confirmation never has a second effect.
//! Each swap names the version of the key that was read, so a value read late
//! can never overwrite a newer one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Revision};
use crate::plan::{self, Plan, Step};

/// Most swaps in one confirmation; it stops a busy key from holding an operator up for ever.
pub const MAX_SWAPS: u32 = 8;

/// What became of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Verdict {
    /// The plan was accepted as this revision; it stays accepted.
    Accepted(Revision),
    /// Another plan was accepted on the same base; this one never will be.
    Stale {
        /// The newest revision seen.
        current: Revision,
        /// The revision that `changed` starts from; none if the plan's base is
        /// no longer known and `changed` states the configuration as a whole.
        since: Option<Revision>,
        /// What the others changed.
        changed: Vec<Step>,
    },
    /// The plan itself cannot be taken; it never will be.
    Refused {
        /// Why, for people.
        message: String,
    },
    /// This confirmation wrote nothing, and could not learn whether an earlier
    /// one of the same plan did.
    Untried {
        /// Why, for people.
        message: String,
    },
    /// This confirmation may have written the plan; confirm again to settle it.
    Unsettled {
        /// Why, for people.
        message: String,
    },
    /// So many plans were accepted since the base that the catalog no longer
    /// remembers which one followed it.
    Expired {
        /// The newest revision seen.
        current: Revision,
    },
}

/// What came of the last action.
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
    /// No answer came; a swap may have taken effect, or may do so later.
    Lost,
    /// The call surely had no effect: not connected, or refused.
    Down,
}

/// What the program does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Write the value if the key still has this version.
    Swap {
        /// Version that the key must have; 0 for absent.
        version: u64,
        /// The value.
        value: Arc<Catalog>,
    },
    /// Answer the operator.
    Settle(Verdict),
}

/// One confirmation of one plan.
#[derive(Debug)]
pub struct Attempt {
    plan: Plan,
    after: Arc<Catalog>,
    held: Arc<Catalog>,
    base: Option<Arc<Catalog>>,
    stage: Stage,
    swaps: u32,
    lost: bool,
}

/// What the attempt waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Swapping,
    Settled,
}

impl Attempt {
    /// A confirmation on an instance where `held` is in force and which still
    /// has `base`, the plan's base, or has forgotten it.
    #[must_use]
    pub fn new(plan: Plan, held: Arc<Catalog>, base: Option<Arc<Catalog>>) -> Self {
        let base = base.filter(|base| base.revision == plan.base);
        Self {
            after: Arc::new(plan.after.clone()),
            plan,
            held,
            base,
            stage: Stage::Reading,
            swaps: 0,
            lost: false,
        }
    }

    /// The first action; what is in force here can settle a plan without a call.
    pub fn start(&mut self) -> Action {
        let held = Arc::clone(&self.held);
        match self.judge(&held) {
            Some(verdict) => self.settle(verdict),
            None => self.read(),
        }
    }

    /// The next action. An event that does not belong to the last action settles
    /// as not known.
    pub fn step(&mut self, event: Event) -> Action {
        match (self.stage, event) {
            (Stage::Reading, Event::Found { version, catalog }) => self.found(version, &catalog),
            (Stage::Swapping, Event::Swapped) => {
                let revision = self.after.revision;
                self.settle(Verdict::Accepted(revision))
            }
            (Stage::Swapping, Event::Conflict) => self.read(),
            (Stage::Swapping, Event::Lost) => {
                self.lost = true;
                self.read()
            }
            (Stage::Reading, Event::Lost | Event::Down) | (Stage::Swapping, Event::Down) => {
                self.give_up("the key-value service did not answer")
            }
            (stage, event) => {
                // A bug of the program around it; the truth is that nothing is known.
                let message = format!("{event:?} came while {stage:?}; this is a bug");
                self.settle(Verdict::Unsettled { message })
            }
        }
    }

    fn found(&mut self, version: u64, found: &Catalog) -> Action {
        if let Some(verdict) = self.judge(found) {
            return self.settle(verdict);
        }
        // The base is what is in force here or was read, whichever is newer. An
        // older value read is either late, and then the swap's version fails,
        // or the service lost a write, and then the swap mends that.
        let held = Arc::clone(&self.held);
        let newest = if found.revision < held.revision {
            &held
        } else {
            found
        };
        if newest.revision < self.plan.base {
            return self.give_up("the plan's base is newer than all that was read");
        }
        if let Some(message) = self.unfit(newest) {
            return self.settle(Verdict::Refused { message });
        }
        if self.swaps == MAX_SWAPS {
            return self.give_up("other writes came in between each time");
        }
        self.swaps += 1;
        self.stage = Stage::Swapping;
        Action::Swap {
            version,
            value: Arc::clone(&self.after),
        }
    }

    /// What a configuration alone says of the plan, if it settles it.
    fn judge(&self, current: &Catalog) -> Option<Verdict> {
        if let Some(revision) = current.accepted(&self.plan.id) {
            if *current != *self.after && current.plan.as_ref() == Some(&self.plan.id) {
                let message = "the plan was altered after it was accepted".into();
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
        let nothing = Catalog::default();
        let from = self.base.as_deref().unwrap_or(&nothing);
        Verdict::Stale {
            current: current.revision,
            since: self.base.as_ref().map(|base| base.revision),
            changed: plan::difference(from, current),
        }
    }

    /// Why the plan may not be written on its base. What an operator confirms
    /// must be what the intent does, so it is worked out again.
    fn unfit(&self, base: &Catalog) -> Option<String> {
        if self.plan.steps.is_empty() {
            return Some("the plan changes nothing".into());
        }
        match Plan::make(base, self.plan.intent.clone(), self.plan.id.clone()) {
            Err(error) => Some(error.to_string()),
            Ok(made) if made != self.plan => {
                Some("the plan is not what its intent does on its base".into())
            }
            Ok(_same) => None,
        }
    }

    fn read(&mut self) -> Action {
        self.stage = Stage::Reading;
        Action::Read
    }

    fn give_up(&mut self, why: &str) -> Action {
        let message = why.to_owned();
        let verdict = if self.lost {
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
