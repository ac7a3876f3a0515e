//! The cheapest set of instances that carries a service's load.
//!
//! Choose a whole number for each offer such that, after the worst failure
//! domain has lost what it can lose, the rest still carries the load. For a
//! bound on what one domain may lose, the problem is to buy the load plus
//! that bound at the lowest price for its load, so every split of the load
//! over so many domains gives one greedy start. One-for-one and one-for-none
//! exchanges then improve the best of them. Few offers and a small load are
//! solved exactly by branch and bound from there.

use serde::{Deserialize, Serialize};

use crate::branch::Branch;
use crate::catalog::Placement;
use crate::id;
use crate::size::Price;

/// Most offers for which the exact search is tried.
const MAX_EXACT: usize = 18;

/// Most rounds of exchanges; each lowers the cost, so this only bounds the time.
const MAX_ROUNDS: usize = 64;

/// How an instance is lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lend {
    /// Cheap, taken back on a few seconds' notice.
    Reclaimable,
    /// Kept until given back.
    OnDemand,
}

/// A kind of instance that can be had.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Failure domain.
    pub domain: id::Domain,
    /// Machine class.
    pub class: id::Class,
    /// How it is lent.
    pub lend: Lend,
}

/// A price.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// What is offered.
    pub kind: Kind,
    /// Price of one instance.
    pub price: Price,
}

/// Load that one instance of a class carries at the latency target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// Machine class.
    pub class: id::Class,
    /// Load, in the demand's unit; 0 means that the class can't serve.
    pub load: u64,
}

/// What is lost with a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Loss {
    /// Its reclaimable instances.
    #[default]
    Reclaimable,
    /// All its instances.
    All,
}

/// What a service needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Load to carry after the loss of any one domain, in a unit of the caller's.
    pub load: u64,
    /// What the classes carry, sorted by class.
    pub capacities: Vec<Capacity>,
    /// What goes with a domain.
    pub loss: Loss,
    /// Fewest instances.
    pub min: u32,
    /// Most instances; 0 means no limit.
    pub max: u32,
}

/// Instances to hold of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// The kind and its price.
    pub offer: Offer,
    /// Load that one carries.
    pub load: u64,
    /// How many.
    pub count: u32,
}

/// The set of instances to allocation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// The instances, in the order of the offers.
    pub allocations: Vec<Allocation>,
    /// How many.
    pub count: u32,
    /// Price of all in an hour.
    pub cost: Price,
    /// Load that isn't carried after the worst loss; 0 where the demand is met.
    pub shortfall: u64,
    /// Whether no cheaper set exists; else the set is the best that was found.
    pub exact: bool,
}

/// Finds the set of instances to allocation.
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

/// An offer that the placement allows.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    offer: Offer,
    domain: usize,
    pub(crate) load: u64,
    pub(crate) price: u64,
    exposed: bool,
}

/// Counts in the order of the items, with their sums.
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

    /// The cheapest greedy set over all bounds on what one domain may lose.
    fn start(&self) -> Option<Set> {
        let most = self.items.iter().map(|item| item.load).max().unwrap_or(0);
        let split = |parts: u64| self.demand.load.div_ceil(parts);
        let splits = (1..=self.domains.max(1) as u64).map(split);
        let bounds = splits.flat_map(|part| [part, part + most / 2, part + most]);
        let bounds: Vec<u64> = bounds.chain([0]).collect();
        let cheap: Vec<usize> = (0..self.items.len()).collect();
        let mut large = cheap.clone();
        large.sort_by_key(|&index| std::cmp::Reverse(self.items[index].load));
        let best = |order: &[usize]| {
            let sets = bounds.iter().map(|&bound| self.greedy(order, bound));
            sets.filter(|set| self.is_met(set))
                .min_by_key(|set| set.cost)
        };
        // Large instances first only where too few are allowed otherwise.
        best(&cheap).or_else(|| best(&large))
    }

    /// Buys in the given order while no domain may lose more than `bound`.
    fn greedy(&self, order: &[usize], bound: u64) -> Set {
        let mut set = self.empty();
        self.fill(&mut set, order, bound, |item, set| {
            match item.offer.kind.lend {
                Lend::OnDemand => self.on_demand.saturating_sub(set.on_demand),
                Lend::Reclaimable => 0,
            }
        });
        self.fill(&mut set, order, bound, |item, set| {
            let worst = set.lost.iter().copied().max().unwrap_or(0).max(bound);
            let missing = (self.demand.load + worst).saturating_sub(set.load);
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
            let room = match item.exposed {
                true => bound.saturating_sub(set.lost[item.domain]) / item.load,
                false => u64::MAX,
            };
            let count = u64::from(want(item, set)).min(room);
            set.add(index, item, u32::try_from(count).unwrap_or(u32::MAX));
        }
    }

    /// Drops and exchanges single instances while that lowers the cost.
    fn improve(&self, mut set: Set) -> Set {
        for _round in 0..MAX_ROUNDS {
            if !self.improve_once(&mut set) {
                break;
            }
        }
        set
    }

    fn improve_once(&self, set: &mut Set) -> bool {
        let mut better = false;
        for out in 0..self.items.len() {
            while set.counts[out] > 0 && self.exchange(set, out) {
                better = true;
            }
        }
        better
    }

    fn exchange(&self, set: &mut Set, out: usize) -> bool {
        set.remove(out, &self.items[out]);
        if self.is_met(set) {
            return true;
        }
        for (index, item) in self.items.iter().enumerate() {
            if item.price >= self.items[out].price {
                continue;
            }
            set.add(index, item, 1);
            if self.is_met(set) {
                return true;
            }
            set.remove(index, item);
        }
        set.add(out, &self.items[out], 1);
        false
    }

    /// Branch and bound; says whether the result is proved.
    fn exact(&self, best: Option<Set>) -> (Option<Set>, bool) {
        let bounded = best.is_some() || self.demand.max > 0;
        if self.items.len() > MAX_EXACT || !bounded {
            return (best, false);
        }
        Branch::search(self, best)
    }

    /// Where nothing meets the demand: the load itself at the lowest price, as far as allowed.
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
