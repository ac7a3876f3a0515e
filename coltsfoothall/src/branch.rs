//! Branch and bound over the number of instances of each offer.

use crate::fleet::{Search, Set};

/// Maximum number of nodes visited by the exact search, so that planning does not block the
/// control thread.
const MAX_STEPS: u32 = 200_000;

/// The state of a search, starting from a set that meets the demand if one is known.
#[derive(Debug)]
pub(crate) struct Branch<'a> {
    search: &'a Search<'a>,
    best: Option<Set>,
    steps: u32,
}

impl<'a> Branch<'a> {
    /// Returns the cheapest set and whether it is proven optimal.
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

    fn upper_bound(&self) -> u64 {
        self.best.as_ref().map_or(u64::MAX, |best| best.cost)
    }

    /// Tries each count of the item at `index`; the counts of the items before it are
    /// fixed.
    fn descend(&mut self, index: usize, mut set: Set) {
        self.steps += 1;
        if self.search.is_met(&set) && set.cost < self.upper_bound() {
            self.best = Some(set.clone());
        }
        let Some(item) = self.search.items.get(index) else {
            return;
        };
        while self.steps < MAX_STEPS && self.lower_bound(index, &set) < self.upper_bound() {
            self.descend(index + 1, set.clone());
            set.add(index, item, 1);
            if !self.search.fits(set.count) {
                return;
            }
        }
    }

    /// Lower bound on the cost of any set that extends this one. It relies on the items
    /// being sorted by price per unit of load.
    fn lower_bound(&self, index: usize, set: &Set) -> u64 {
        let item = &self.search.items[index];
        let missing = self.search.demand.load.saturating_sub(set.carried());
        set.cost + (missing * item.price).div_ceil(item.load)
    }
}
