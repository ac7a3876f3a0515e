//! Autoscaling: the number of endpoints of a service in each failure domain, by kind.
//!
//! Reclaimable endpoints cost a fraction of on-demand ones, but all those of a domain may be
//! reclaimed at once on short notice. They are therefore spread evenly over the domains that offer
//! them, in a number that still carries the load after the loss of one domain. What they cannot
//! carry is held on demand, in the cheapest domains first. A search over offers, as for machine
//! classes, is not needed for one class of two kinds, and could not keep the limit on one domain.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::config::{Cost, Scaling};
use crate::id;
use crate::size::Millis;

/// Parameters of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Largest share of an endpoint's time that may be in use after the loss of a domain. The time
    /// in use is that of prefills and of the delay that each event adds to a batch; the rest is
    /// taken by the steps of the batch itself and by waiting. Compared to 0.75, a share of 0.6
    /// served 1.2 to 1.9 percentage points more of the owed value on three fleets, and cost as
    /// much more.
    pub max_utilization: f64,
    /// Share of the load that is held on demand in any case, so that the loss of several domains
    /// in quick succession leaves some capacity until more endpoints have started.
    pub on_demand_floor: f64,
    /// Assumed load at the start, as a share of the endpoints found then: the load that they would
    /// have been ordered for.
    pub initial_utilization: f64,
    /// Duration of traffic after which the measured load is taken to be complete.
    pub warmup: Duration,
    /// How long a lower count must be wanted before it is ordered, so that late registrations are
    /// read first. Troughs need no longer delay, as the load is the maximum of the last
    /// [`Self::buckets`] measurements. A delay of 4 s kept endpoints for 0.011 of the owed value on
    /// three fleets, and served 0.002 of it.
    pub reduction_delay: Duration,
    /// Without traffic, nothing is ordered on demand for this long after the start: endpoints that
    /// start together with the system register within a heartbeat or two.
    pub registration_delay: Duration,
    /// Delay after a refused order, doubled with each refusal up to four times this value.
    pub refusal_delay: Duration,
    /// Endpoints that are missing for this long after their start-up time are ordered again.
    pub overdue_delay: Duration,
    /// Duration of one measurement of the load. Requests come in bursts: with 2 s the maximum of
    /// five measurements was twice the mean. With 4 s it is closer to the mean, and the load beyond
    /// it is queued for less than the target latency of a first event.
    pub bucket: Duration,
    /// Number of measurements of which the maximum is the load. A trough shorter than this many
    /// measurements does not reduce the count.
    pub buckets: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_utilization: 0.6,
            on_demand_floor: 0.15,
            initial_utilization: 0.35,
            warmup: Duration::from_secs(8),
            reduction_delay: Duration::from_secs(1),
            registration_delay: Duration::from_secs(4),
            refusal_delay: Duration::from_millis(1_500),
            overdue_delay: Duration::from_secs(3),
            bucket: Duration::from_secs(4),
            buckets: 3,
        }
    }
}

/// Meter of one service's load: the endpoints' time that the requests of all instances took.
#[derive(Debug, Clone)]
pub struct Meter {
    settings: Settings,
    /// Last total of each boot number, in microseconds; sorted by boot number.
    totals: Vec<(u64, u64)>,
    /// Microseconds of each measurement, the newest last.
    buckets: Vec<u64>,
    bucket_start: Time,
    /// When the first traffic was seen.
    first_traffic: Option<Time>,
}

/// A measured load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Endpoints' time in use per second, that is the average number of busy endpoints.
    pub value: f64,
    /// Whether it was measured for long enough to reduce counts.
    pub settled: bool,
}

impl Meter {
    /// Creates a meter without measurements.
    #[must_use]
    pub fn new(now: Time, settings: Settings) -> Self {
        Self {
            settings,
            totals: Vec::new(),
            buckets: vec![0],
            bucket_start: now,
            first_traffic: None,
        }
    }

    /// Merges the microseconds that an instance's requests have taken since it started.
    pub fn merge_work(&mut self, now: Time, boot: u64, micros: u64) {
        self.advance(now);
        match self.totals.binary_search_by_key(&boot, |(boot, _)| *boot) {
            Ok(index) => {
                let more = micros.saturating_sub(self.totals[index].1);
                self.totals[index].1 = self.totals[index].1.max(micros);
                if more > 0 {
                    self.first_traffic.get_or_insert(now);
                }
                if let Some(last) = self.buckets.last_mut() {
                    *last += more;
                }
            }
            Err(index) => self.totals.insert(index, (boot, micros)),
        }
    }

    /// Maximum of the last complete measurements; `None` before there is one with traffic.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<Load> {
        let first_traffic = self.first_traffic?;
        let complete = &self.buckets[..self.buckets.len() - 1];
        let highest = complete.iter().max()?;
        let value = *highest as f64 / self.settings.bucket.as_micros() as f64;
        let settled = now.since(first_traffic) >= self.settings.warmup;
        (value > 0.0).then_some(Load { value, settled })
    }

    fn advance(&mut self, now: Time) {
        while now.since(self.bucket_start) >= self.settings.bucket {
            self.bucket_start = self.bucket_start + self.settings.bucket;
            self.buckets.push(0);
            if self.buckets.len() > self.settings.buckets + 1 {
                self.buckets.remove(0);
            }
        }
    }
}

/// The load of a service as a leader saves it for the next one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    /// The service.
    pub service: id::Service,
    /// Endpoints' time in use per second.
    pub value: f64,
    /// When it was measured, in milliseconds since 1970.
    pub at: Millis,
}

impl Saved {
    /// The load to save: the measured one, or the larger of what is measured so far and what was
    /// saved before, which keeps its time.
    #[must_use]
    pub fn update(
        service: &id::Service,
        before: Option<&Self>,
        load: Option<Load>,
        at: Millis,
    ) -> Option<Self> {
        match (load, before) {
            (Some(load), _) if load.settled => Some(Self {
                service: service.clone(),
                value: load.value,
                at,
            }),
            (load, Some(before)) => Some(Self {
                value: before.value.max(load.map_or(0.0, |load| load.value)),
                ..before.clone()
            }),
            (_, None) => None,
        }
    }
}

/// Endpoints of each kind in one domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Live {
    /// On demand.
    pub on_demand: u32,
    /// Reclaimable.
    pub reclaimable: u32,
}

/// An order for the count of one kind of endpoint in one domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The failure domain.
    pub domain: id::Domain,
    /// Whether it is for reclaimable endpoints.
    pub reclaimable: bool,
    /// How many there should be.
    pub count: u32,
}

/// Order state of one kind in one domain.
#[derive(Debug, Clone)]
struct Cell {
    domain: id::Domain,
    reclaimable: bool,
    price: f64,
    live: u32,
    /// The count that was ordered last, or found at the start.
    ordered: u32,
    ordered_at: Time,
    /// Whether this planner has ordered it; until then the live count counts as ordered.
    has_order: bool,
    /// Whether the live count has reached the ordered one since the order.
    reached: bool,
    /// Time since which the live count differs from the ordered one.
    differs_since: Option<Time>,
    /// Time since which a lower count is wanted.
    lower_since: Option<Time>,
    /// End of the delay after a refusal.
    refused_until: Time,
    refusals: u32,
}

/// Planner of the orders for one service; only the leader has one.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    scaling: Scaling,
    /// Sorted by domain and kind.
    cells: Vec<Cell>,
    /// Load that is assumed from the endpoints found at the start.
    assumed_load: f64,
    /// Reclaimable endpoints found at the start.
    initial_reclaimable: u32,
    started: Time,
}

impl Planner {
    /// Creates a planner that starts from the endpoints found.
    #[must_use]
    pub fn new(
        now: Time,
        scaling: Scaling,
        found: &[(id::Domain, Live)],
        settings: Settings,
    ) -> Self {
        let mut cells = Vec::new();
        for Cost { domain, price } in &scaling.costs {
            let live = find(found, domain);
            for reclaimable in [false, true] {
                let kind = scaling.reclaimable.filter(|_| reclaimable);
                if reclaimable && kind.is_none() {
                    continue;
                }
                let count = if reclaimable {
                    live.reclaimable
                } else {
                    live.on_demand
                };
                cells.push(Cell {
                    domain: domain.clone(),
                    reclaimable,
                    price: price * kind.unwrap_or(1.0),
                    live: count,
                    ordered: count,
                    ordered_at: now,
                    has_order: false,
                    reached: true,
                    differs_since: None,
                    lower_since: None,
                    refused_until: Time::START,
                    refusals: 0,
                });
            }
        }
        let initial_reclaimable = found.iter().map(|(_, live)| live.reclaimable).sum();
        Self {
            assumed_load: assumed_load(found, initial_reclaimable, &settings),
            initial_reclaimable,
            started: now,
            settings,
            scaling,
            cells,
        }
    }

    /// Returns the orders that are due now, given the load if it is known, and the load that an
    /// earlier leader saved not long ago.
    pub fn decide(
        &mut self,
        now: Time,
        load: Option<Load>,
        saved: Option<f64>,
        found: &[(id::Domain, Live)],
    ) -> Vec<Order> {
        self.update_live(now, found);
        if load.is_none() {
            // On-demand endpoints may still be registering, so the largest count seen applies.
            // Reclaimable ones count as found at the start: orders of this planner are no sign of
            // load.
            self.assumed_load = self.assumed_load.max(assumed_load(
                found,
                self.initial_reclaimable,
                &self.settings,
            ));
        }
        // Before there is traffic, endpoints that are still registering must not count as absent,
        // unless there were leaders before: then endpoints have registered, or are gone.
        let early = load.is_none()
            && saved.is_none()
            && now.since(self.started) < self.settings.registration_delay;
        let idle = load.is_none();
        let assumed = self.assumed_load.max(saved.unwrap_or(0.0));
        let load = match load {
            Some(load) if load.settled => load.value,
            Some(load) => load.value.max(assumed),
            None => assumed,
        };
        let wanted = self.wanted(now, load);
        let mut orders = Vec::new();
        for (cell, count) in self.cells.iter_mut().zip(wanted) {
            if early && !cell.reclaimable {
                continue;
            }
            // Without traffic a reduction affects no requests and needs no delay.
            let delay = if idle {
                Duration::ZERO
            } else {
                self.settings.reduction_delay
            };
            if !cell.is_due(
                now,
                count,
                delay,
                self.scaling.boot + self.settings.overdue_delay,
            ) {
                continue;
            }
            cell.ordered = count;
            cell.ordered_at = now;
            cell.lower_since = None;
            cell.differs_since = None;
            cell.has_order = true;
            cell.reached = false;
            orders.push(Order {
                domain: cell.domain.clone(),
                reclaimable: cell.reclaimable,
                count,
            });
        }
        orders
    }

    /// Records that an order was refused: no such endpoints are available in the domain now.
    pub fn refused(&mut self, now: Time, order: &Order) {
        let delay = self.settings.refusal_delay;
        if let Some(cell) = self.cell(order) {
            cell.refusals = (cell.refusals + 1).min(2);
            cell.refused_until = now + delay * (1 << cell.refusals) / 2;
            cell.ordered = cell.live;
        }
    }

    /// Records that an order was accepted.
    pub fn accepted(&mut self, order: &Order) {
        if let Some(cell) = self.cell(order) {
            cell.refusals = 0;
        }
    }

    fn cell(&mut self, order: &Order) -> Option<&mut Cell> {
        let same =
            |cell: &&mut Cell| cell.domain == order.domain && cell.reclaimable == order.reclaimable;
        self.cells.iter_mut().find(same)
    }

    fn update_live(&mut self, now: Time, found: &[(id::Domain, Live)]) {
        for cell in &mut self.cells {
            let live = find(found, &cell.domain);
            cell.live = if cell.reclaimable {
                live.reclaimable
            } else {
                live.on_demand
            };
            if !cell.has_order {
                cell.ordered = cell.live;
            }
            if cell.reached && cell.live < cell.ordered {
                // Endpoints were lost: the missing ones no longer count as ordered.
                cell.ordered = cell.live;
            }
            if cell.live == cell.ordered {
                cell.reached = true;
                cell.differs_since = None;
            } else {
                cell.differs_since.get_or_insert(now);
            }
        }
    }

    /// The wanted count of each cell.
    fn wanted(&self, now: Time, load: f64) -> Vec<u32> {
        let need = load / self.settings.max_utilization;
        let spread = self.spread(now, need);
        let planned: Vec<u32> = self
            .reclaimables()
            .zip(&spread)
            .map(|(_, count)| *count)
            .collect();
        let present: Vec<u32> = self
            .reclaimables()
            .zip(&spread)
            .map(|(cell, count)| cell.live.min(*count))
            .collect();
        // Reclaims come in waves: while no reclaimable endpoints are available, the next loss may
        // come before the replacements of this one have started. With a reserve for two losses,
        // enough is left after three domains are lost within 6 s: the worst seconds of such a day
        // went from 0.58 to 0.86 of the owed value.
        let losses = if self.reclaimables().any(|cell| now < cell.refused_until) {
            2
        } else {
            1
        };
        let min_on_demand = (load * self.settings.on_demand_floor).ceil() as u32;
        let on_demand = |held: &[u32]| {
            min_on_demand.max((need - remaining_after(held, losses)).ceil().max(0.0) as u32)
        };
        let (growing, staying) = (on_demand(&planned), on_demand(&present));
        let ordered: u32 = self.on_demands().map(|cell| cell.ordered).sum();
        // The count grows for what the plan lacks, but shrinks only for endpoints that are present.
        let total = ordered.clamp(growing, growing.max(staying));
        let on_demands = self.allocate(total, &spread);
        let mut wanted = Vec::with_capacity(self.cells.len());
        let (mut spread, mut on_demands) = (spread.into_iter(), on_demands.into_iter());
        for cell in &self.cells {
            let next = if cell.reclaimable {
                spread.next()
            } else {
                on_demands.next()
            };
            wanted.push(next.unwrap_or(0));
        }
        wanted
    }

    /// Reclaimable endpoints of each domain, so that all domains but one carry the load.
    fn spread(&self, now: Time, need: f64) -> Vec<u32> {
        let open = self
            .reclaimables()
            .filter(|cell| now >= cell.refused_until)
            .count();
        let remaining = open.saturating_sub(1).max(1) as f64;
        let each = (need / remaining).ceil() as u32;
        self.reclaimables()
            .map(|cell| {
                let on_demand = self.on_demands().find(|other| other.domain == cell.domain);
                let on_demand = on_demand.map_or(0, |other| other.ordered);
                let each = each.min(self.scaling.max_per_domain.saturating_sub(on_demand));
                if now >= cell.refused_until {
                    each
                } else {
                    cell.live.min(each)
                }
            })
            .collect()
    }

    /// On-demand endpoints of each domain. Existing ones stay in their domain: reductions begin in
    /// the most expensive domain, additions in the cheapest one, within its limit.
    fn allocate(&self, total: u32, spread: &[u32]) -> Vec<u32> {
        let others = |index: usize| spread.get(index).copied().unwrap_or(0);
        let min = |index: usize| self.scaling.min_per_domain.saturating_sub(others(index));
        let cells: Vec<&Cell> = self.on_demands().collect();
        let mut counts: Vec<u32> = (0..cells.len())
            .map(|index| cells[index].ordered.max(min(index)))
            .collect();
        let mut order: Vec<usize> = (0..cells.len()).collect();
        order.sort_by(|a, b| cells[*a].price.total_cmp(&cells[*b].price));
        let mut surplus = counts.iter().sum::<u32>().saturating_sub(total);
        for index in order.iter().rev() {
            let less = surplus.min(counts[*index].saturating_sub(min(*index)));
            counts[*index] -= less;
            surplus -= less;
        }
        let mut rest = total.saturating_sub(counts.iter().sum());
        for index in order {
            let taken = counts[index] + others(index);
            let more = rest.min(self.scaling.max_per_domain.saturating_sub(taken));
            counts[index] += more;
            rest -= more;
        }
        counts
    }

    fn reclaimables(&self) -> impl Iterator<Item = &Cell> {
        self.cells.iter().filter(|cell| cell.reclaimable)
    }

    fn on_demands(&self) -> impl Iterator<Item = &Cell> {
        self.cells.iter().filter(|cell| !cell.reclaimable)
    }
}

impl Cell {
    /// Whether `count` is to be ordered now.
    fn is_due(&mut self, now: Time, count: u32, delay: Duration, overdue: Duration) -> bool {
        if now < self.refused_until && count > self.live {
            return false;
        }
        if count < self.ordered {
            let since = *self.lower_since.get_or_insert(now);
            return now.since(since) >= delay;
        }
        self.lower_since = None;
        let overdue = self
            .differs_since
            .is_some_and(|since| now.since(since.max(self.ordered_at)) > overdue);
        count > self.ordered || overdue
    }
}

/// The load for which the endpoints found were presumably held.
fn assumed_load(found: &[(id::Domain, Live)], reclaimable: u32, settings: &Settings) -> f64 {
    let on_demand: u32 = found.iter().map(|(_, live)| live.on_demand).sum();
    f64::from(on_demand + reclaimable) * settings.initial_utilization
}

/// Sum of the counts without the `losses` largest ones.
fn remaining_after(counts: &[u32], losses: usize) -> f64 {
    let mut counts = counts.to_vec();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    f64::from(counts.iter().skip(losses).sum::<u32>())
}

fn find(found: &[(id::Domain, Live)], domain: &id::Domain) -> Live {
    let none = Live {
        on_demand: 0,
        reclaimable: 0,
    };
    let live = found.iter().find(|(name, _)| name == domain);
    live.map_or(none, |(_, live)| *live)
}
