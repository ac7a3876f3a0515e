//! Branch and bound over the numbers of instances to hold.

use crate::fleet::{Search, Set};

/// Steps of the exact search; it stops a plan from holding up the control thread.
const MAX_STEPS: u32 = 200_000;

/// The search, from a set that meets the demand if one is known.
#[derive(Debug)]
pub(crate) struct Branch<'a> {
    search: &'a Search<'a>,
    best: Option<Set>,
    steps: u32,
}

impl<'a> Branch<'a> {
    /// The cheapest set, and whether that is proved.
    pub(crate) fn search(search: &'a Search<'a>, best: Option<Set>) -> (Option<Set>, bool) {
        let steps = 0;
        let mut branch = Self {
            search,
            best,
            steps,
        };
        branch.descend(0, search.empty());
        let exact = branch.steps < MAX_STEPS;
        (branch.best, exact)
    }

    fn ceiling(&self) -> u64 {
        self.best.as_ref().map_or(u64::MAX, |best| best.cost)
    }

    /// Tries each count of the item at `index`, the items before it being settled.
    fn descend(&mut self, index: usize, mut set: Set) {
        self.steps += 1;
        if self.search.is_met(&set) && set.cost < self.ceiling() {
            self.best = Some(set.clone());
        }
        let Some(item) = self.search.items.get(index) else {
            return;
        };
        while self.steps < MAX_STEPS && self.bound(index, &set) < self.ceiling() {
            self.descend(index + 1, set.clone());
            set.add(index, item, 1);
            if !self.search.fits(set.count) {
                return;
            }
        }
    }

    /// Least cost of any set that goes on from here: items are sorted by price for the load.
    fn bound(&self, index: usize, set: &Set) -> u64 {
        let item = &self.search.items[index];
        let missing = self.search.demand.load.saturating_sub(set.carried());
        set.cost + (missing * item.price).div_ceil(item.load)
    }
}
