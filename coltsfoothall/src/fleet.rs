//! The cheapest set of instances that carries the load of a service.
//!
//! The problem is to choose a whole number of instances for each offer such that the
//! remaining instances still carry the load after the worst failure domain has lost what it
//! can lose. For a fixed bound on the loss of one domain, this means buying the load plus
//! that bound at the lowest price per unit of load, so each number of domains over which
//! the load may be split gives one greedy starting point. The best of them is then improved
//! by dropping single instances or exchanging them one for one. If there are few offers and
//! the load is small, branch and bound finds the exact solution from there.

use serde::{Deserialize, Serialize};

use crate::branch::Branch;
use crate::catalog::Placement;
use crate::id;
use crate::size::Price;

/// Maximum number of offers for which the exact search is attempted.
const MAX_EXACT: usize = 18;

/// Maximum number of exchange rounds. Each round lowers the cost, so this only bounds the
/// time.
const MAX_ROUNDS: usize = 64;

/// The terms on which the cloud provides an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lend {
    /// Cheap, but may be reclaimed at a few seconds' notice.
    Reclaimable,
    /// Available until it is released.
    OnDemand,
}

/// A kind of instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// Terms on which it is provided.
    pub lend: Lend,
}

/// A kind of instance and its price.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The kind of instance.
    pub kind: Kind,
    /// Price of one instance.
    pub price: Price,
}

/// The load that one instance of a machine class carries within the latency target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// Machine class.
    pub class: id::Class,
    /// Load in the unit of the demand; 0 means that the class cannot serve.
    pub load: u64,
}

/// The instances that are lost when a failure domain fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Loss {
    /// Its reclaimable instances only.
    #[default]
    Reclaimable,
    /// All its instances.
    All,
}

/// The requirements of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Load to carry after the loss of any one domain, in a unit chosen by the caller.
    pub load: u64,
    /// Capacity of each machine class, sorted by class.
    pub capacities: Vec<Capacity>,
    /// What is lost with a domain.
    pub loss: Loss,
    /// Minimum number of instances.
    pub min: u32,
    /// Maximum number of instances; 0 means no limit.
    pub max: u32,
}

/// The number of instances of one kind in a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// The kind and its price.
    pub offer: Offer,
    /// Load that one instance carries.
    pub load: u64,
    /// Number of instances.
    pub count: u32,
}

/// A set of instances for a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// The instances, in the order of the offers.
    pub allocations: Vec<Allocation>,
    /// Number of instances.
    pub count: u32,
    /// Total price per hour.
    pub cost: Price,
    /// Load that is not carried after the worst loss; 0 if the demand is met.
    pub shortfall: u64,
    /// Whether the set is proven optimal; otherwise it is the best set found.
    pub exact: bool,
}

/// Finds the cheapest set of instances that meets the demand.
#[must_use]
pub fn plan(demand: &Demand, offers: &[Offer], placement: &Placement) -> Plan {
    let search = Search::new(demand, offers, placement);
    let start = search.start().map(|set| search.improve(set));
    let (best, exact) = search.exact(start);
    match best {
        Some(best) => search.plan(&best, exact),
        None => search.fallback(),
    }
}

/// An offer that the placement preferences allow.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    offer: Offer,
    domain: usize,
    pub(crate) load: u64,
    pub(crate) price: u64,
    exposed: bool,
}

/// A count for each item, in the order of the items, with the derived sums.
#[derive(Debug, Clone, Default)]
pub(crate) struct Set {
    counts: Vec<u32>,
    lost: Vec<u64>,
    load: u64,
    pub(crate) cost: u64,
    pub(crate) count: u32,
    on_demand: u32,
}

impl Set {
    pub(crate) fn add(&mut self, index: usize, item: &Item, count: u32) {
        let load = item.load * u64::from(count);
        self.counts[index] += count;
        self.load += load;
        self.cost += item.price * u64::from(count);
        self.count += count;
        if item.exposed {
            self.lost[item.domain] += load;
        }
        if item.offer.kind.lend == Lend::OnDemand {
            self.on_demand += count;
        }
    }

    fn remove(&mut self, index: usize, item: &Item) {
        self.counts[index] -= 1;
        self.load -= item.load;
        self.cost -= item.price;
        self.count -= 1;
        if item.exposed {
            self.lost[item.domain] -= item.load;
        }
        if item.offer.kind.lend == Lend::OnDemand {
            self.on_demand -= 1;
        }
    }

    pub(crate) fn carried(&self) -> u64 {
        self.load - self.lost.iter().copied().max().unwrap_or(0)
    }
}

#[derive(Debug)]
pub(crate) struct Search<'a> {
    pub(crate) demand: &'a Demand,
    on_demand: u32,
    pub(crate) items: Vec<Item>,
    domains: usize,
}

impl<'a> Search<'a> {
    fn new(demand: &'a Demand, offers: &[Offer], placement: &Placement) -> Self {
        let mut domains: Vec<&id::Domain> = offers.iter().map(|o| &o.kind.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let item = |offer: &Offer| item(offer, demand, placement, &domains);
        let mut items: Vec<Item> = offers.iter().filter_map(item).collect();
        let rank = |d: &id::Domain| placement.domains.iter().position(|p| p == d);
        items.sort_by(|a, b| {
            let by_load = (a.price * b.load).cmp(&(b.price * a.load));
            by_load.then_with(|| rank(&a.offer.kind.domain).cmp(&rank(&b.offer.kind.domain)))
        });
        Self {
            demand,
            on_demand: placement.on_demand,
            items,
            domains: domains.len(),
        }
    }

    pub(crate) fn empty(&self) -> Set {
        Set {
            counts: vec![0; self.items.len()],
            lost: vec![0; self.domains],
            ..Set::default()
        }
    }

    pub(crate) fn is_met(&self, set: &Set) -> bool {
        set.carried() >= self.demand.load
            && set.count >= self.demand.min
            && set.on_demand >= self.on_demand
            && self.fits(set.count)
    }

    pub(crate) fn fits(&self, count: u32) -> bool {
        self.demand.max == 0 || count <= self.demand.max
    }

    /// The cheapest greedy set over all tested bounds on the loss of one domain.
    fn start(&self) -> Option<Set> {
        let max_load = self.items.iter().map(|item| item.load).max().unwrap_or(0);
        let split = |count: u64| self.demand.load.div_ceil(count);
        let splits = (1..=self.domains.max(1) as u64).map(split);
        let bounds = splits.flat_map(|share| [share, share + max_load / 2, share + max_load]);
        let bounds: Vec<u64> = bounds.chain([0]).collect();
        let cheap: Vec<usize> = (0..self.items.len()).collect();
        let mut large = cheap.clone();
        large.sort_by_key(|&index| std::cmp::Reverse(self.items[index].load));
        let best = |order: &[usize]| {
            let sets = bounds.iter().map(|&bound| self.greedy(order, bound));
            sets.filter(|set| self.is_met(set))
                .min_by_key(|set| set.cost)
        };
        // Large instances come first only if the instance limit rules removed every set
        // that starts with the cheapest.
        best(&cheap).or_else(|| best(&large))
    }

    /// Buys instances in the given order such that no domain can lose more than `bound`.
    fn greedy(&self, order: &[usize], bound: u64) -> Set {
        let mut set = self.empty();
        self.fill(&mut set, order, bound, |item, set| {
            match item.offer.kind.lend {
                Lend::OnDemand => self.on_demand.saturating_sub(set.on_demand),
                Lend::Reclaimable => 0,
            }
        });
        self.fill(&mut set, order, bound, |item, set| {
            let loss = set.lost.iter().copied().max().unwrap_or(0).max(bound);
            let missing = (self.demand.load + loss).saturating_sub(set.load);
            u32::try_from(missing.div_ceil(item.load)).unwrap_or(u32::MAX)
        });
        self.fill(&mut set, order, u64::MAX, |_item, set| {
            self.demand.min.saturating_sub(set.count)
        });
        set
    }

    fn fill(&self, set: &mut Set, order: &[usize], bound: u64, want: impl Fn(&Item, &Set) -> u32) {
        for &index in order {
            let item = &self.items[index];
            let limit = match item.exposed {
                true => bound.saturating_sub(set.lost[item.domain]) / item.load,
                false => u64::MAX,
            };
            let count = u64::from(want(item, set)).min(limit);
            set.add(index, item, u32::try_from(count).unwrap_or(u32::MAX));
        }
    }

    /// Drops and exchanges single instances as long as that lowers the cost.
    fn improve(&self, mut set: Set) -> Set {
        for _round in 0..MAX_ROUNDS {
            if !self.improve_once(&mut set) {
                break;
            }
        }
        set
    }

    fn improve_once(&self, set: &mut Set) -> bool {
        let mut improved = false;
        for removed in 0..self.items.len() {
            while set.counts[removed] > 0 && self.exchange(set, removed) {
                improved = true;
            }
        }
        improved
    }

    fn exchange(&self, set: &mut Set, removed: usize) -> bool {
        set.remove(removed, &self.items[removed]);
        if self.is_met(set) {
            return true;
        }
        for (index, item) in self.items.iter().enumerate() {
            if item.price >= self.items[removed].price {
                continue;
            }
            set.add(index, item, 1);
            if self.is_met(set) {
                return true;
            }
            set.remove(index, item);
        }
        set.add(removed, &self.items[removed], 1);
        false
    }

    /// Runs branch and bound if it is feasible. Also returns whether the result is proven
    /// optimal.
    fn exact(&self, best: Option<Set>) -> (Option<Set>, bool) {
        let bounded = best.is_some() || self.demand.max > 0;
        if self.items.len() > MAX_EXACT || !bounded {
            return (best, false);
        }
        Branch::search(self, best)
    }

    /// The plan if no set meets the demand: the load itself at the lowest price, without
    /// any spare, within the instance limit.
    fn fallback(&self) -> Plan {
        let mut set = self.empty();
        for (index, item) in self.items.iter().enumerate() {
            while set.load < self.demand.load && self.fits(set.count + 1) {
                set.add(index, item, 1);
            }
        }
        self.plan(&set, false)
    }

    fn plan(&self, set: &Set, exact: bool) -> Plan {
        let allocation = |(item, &count): (&Item, &u32)| Allocation {
            offer: item.offer.clone(),
            load: item.load,
            count,
        };
        let allocations = self.items.iter().zip(&set.counts).map(allocation);
        let mut allocations: Vec<Allocation> = allocations
            .filter(|allocation| allocation.count > 0)
            .collect();
        allocations.sort_by(|a, b| a.offer.kind.cmp(&b.offer.kind));
        Plan {
            allocations,
            count: set.count,
            cost: Price(set.cost),
            shortfall: self.demand.load.saturating_sub(set.carried()),
            exact,
        }
    }
}

fn item(
    offer: &Offer,
    demand: &Demand,
    placement: &Placement,
    domains: &[&id::Domain],
) -> Option<Item> {
    let kind = &offer.kind;
    let capacity = demand.capacities.iter().find(|s| s.class == kind.class)?;
    let domain = domains.binary_search(&&kind.domain).ok()?;
    let in_domain = placement.domains.is_empty() || placement.domains.contains(&kind.domain);
    let in_class = placement.classes.is_empty() || placement.classes.contains(&kind.class);
    let in_price = placement.price.0 == 0 || offer.price <= placement.price;
    let allowed = in_domain && in_class && in_price && capacity.load > 0;
    allowed.then(|| Item {
        offer: offer.clone(),
        domain,
        load: capacity.load,
        price: offer.price.0,
        exposed: demand.loss == Loss::All || kind.lend == Lend::Reclaimable,
    })
}
