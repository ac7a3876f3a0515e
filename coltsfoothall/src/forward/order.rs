//! How many endpoints of a service to hold, and of which kind, in each failure domain.
//!
//! Reclaimable ones cost a fraction, but all of a domain go at once on short notice. So
//! they are spread evenly over the domains that have any, enough that the loss of one
//! domain leaves the load carried; what they can't carry is held on demand, the cheapest
//! domain first. A search over offers, as for machine classes, is not needed for one class
//! in two kinds, and could not keep the limit on one domain.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::config::{Cost, Scaling};
use crate::id;

/// Bounds and weights of orders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Part of an endpoint's time that may be used after the loss of a domain. The time is
    /// that of reading and of what each event adds to a batch; the rest goes to the steps of
    /// the batch itself and to waiting. Beside 0.75, 0.6 served 1.2 to 1.9 in a hundred more
    /// of the worth owed on three fleets and cost as much more.
    pub used: f64,
    /// Part of the load that is held on demand in any case, so that the loss of several
    /// domains, one right after the other, leaves something until more have started.
    pub floor: f64,
    /// Part of the endpoints found at first that the load is guessed to take: what they
    /// would have been ordered for.
    pub guess: f64,
    /// Time of traffic after which the measured load is believed to be all.
    pub young: Duration,
    /// How long a lower count must be wanted before it is ordered: until a registration
    /// that comes late is read. Troughs are held by the load itself, which is the highest
    /// of the last [`Self::buckets`]; with 4 s, endpoints were kept for 0.011 of the worth
    /// owed (three fleets) and served 0.002 of it.
    pub calm: Duration,
    /// Nothing is ordered on demand for so long after the first look while there is no
    /// traffic: endpoints that start with the system register within a heartbeat or two.
    pub settle: Duration,
    /// Wait after an order was refused, doubled up to four times over.
    pub refused: Duration,
    /// What is still missing so long after the time to start is ordered again.
    pub overdue: Duration,
    /// Length of one measurement of the load. Requests come in clumps: in 2 s the highest of
    /// five was twice the mean; in 4 s it is closer, and what it leaves out is queued for
    /// less than the aim of a first event.
    pub bucket: Duration,
    /// Measurements whose highest is the load: with it a trough shorter than this many
    /// measurements gives nothing back.
    pub buckets: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            used: 0.6,
            floor: 0.15,
            guess: 0.35,
            young: Duration::from_secs(8),
            calm: Duration::from_secs(1),
            settle: Duration::from_secs(4),
            refused: Duration::from_millis(1_500),
            overdue: Duration::from_secs(3),
            bucket: Duration::from_secs(4),
            buckets: 3,
        }
    }
}

/// The load of one service: endpoints' time that requests took, from all instances.
#[derive(Debug, Clone)]
pub struct Meter {
    settings: Settings,
    /// Last total of each boot, in microseconds; sorted by boot.
    totals: Vec<(u64, u64)>,
    /// Microseconds in each measurement, the newest last.
    buckets: Vec<u64>,
    since: Time,
    /// When the first traffic was seen.
    begun: Option<Time>,
}

/// A measured load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Endpoints' time that a second takes.
    pub value: f64,
    /// Whether it was measured long enough to order less for it.
    pub settled: bool,
}

impl Meter {
    /// A meter that has seen nothing.
    #[must_use]
    pub fn new(now: Time, settings: Settings) -> Self {
        Self {
            settings,
            totals: Vec::new(),
            buckets: vec![0],
            since: now,
            begun: None,
        }
    }

    /// An instance tells how many microseconds its requests took since its boot.
    pub fn merge_work(&mut self, now: Time, boot: u64, micros: u64) {
        self.advance(now);
        match self.totals.binary_search_by_key(&boot, |(boot, _)| *boot) {
            Ok(place) => {
                let more = micros.saturating_sub(self.totals[place].1);
                self.totals[place].1 = self.totals[place].1.max(micros);
                if more > 0 {
                    self.begun.get_or_insert(now);
                }
                if let Some(last) = self.buckets.last_mut() {
                    *last += more;
                }
            }
            Err(place) => self.totals.insert(place, (boot, micros)),
        }
    }

    /// The highest of the last whole measurements; none before there is one with traffic.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<Load> {
        let begun = self.begun?;
        let whole = &self.buckets[..self.buckets.len() - 1];
        let highest = whole.iter().max()?;
        let value = *highest as f64 / self.settings.bucket.as_micros() as f64;
        let settled = now.since(begun) >= self.settings.young;
        (value > 0.0).then_some(Load { value, settled })
    }

    fn advance(&mut self, now: Time) {
        while now.since(self.since) >= self.settings.bucket {
            self.since = self.since + self.settings.bucket;
            self.buckets.push(0);
            if self.buckets.len() > self.settings.buckets + 1 {
                self.buckets.remove(0);
            }
        }
    }
}

/// Endpoints of one kind in one domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Live {
    /// On demand.
    pub on_demand: u32,
    /// Reclaimable.
    pub reclaimable: u32,
}

/// A count to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The failure domain.
    pub domain: id::Domain,
    /// Whether it is about reclaimable endpoints.
    pub reclaimable: bool,
    /// How many there should be.
    pub count: u32,
}

/// One kind in one domain, as it was ordered.
#[derive(Debug, Clone)]
struct Cell {
    domain: id::Domain,
    reclaimable: bool,
    price: f64,
    live: u32,
    /// What was ordered last, or found at first.
    ordered: u32,
    ordered_at: Time,
    /// Whether this book ordered it; until then what is found counts as ordered.
    given: bool,
    /// Whether as many were there as ordered, since they were ordered.
    reached: bool,
    /// Since when the count differs from what was ordered.
    differs: Option<Time>,
    /// Since when a lower count is wanted.
    lower: Option<Time>,
    /// Orders are refused until then.
    refused: Time,
    refusals: u32,
}

/// The orders for one service, kept by who acts for all.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    scaling: Scaling,
    /// Sorted by domain and kind.
    cells: Vec<Cell>,
    /// Load guessed from what was found at first.
    guess: f64,
    /// Reclaimable endpoints found at first.
    first: u32,
    began: Time,
}

impl Planner {
    /// Orders that go on from what is found.
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
                    given: false,
                    reached: true,
                    differs: None,
                    lower: None,
                    refused: Time::START,
                    refusals: 0,
                });
            }
        }
        let first = found.iter().map(|(_, live)| live.reclaimable).sum();
        Self {
            guess: guess(found, first, &settings),
            first,
            began: now,
            settings,
            scaling,
            cells,
        }
    }

    /// What to order now, for the load as far as it is known.
    pub fn decide(
        &mut self,
        now: Time,
        load: Option<Load>,
        found: &[(id::Domain, Live)],
    ) -> Vec<Order> {
        self.see(now, found);
        if load.is_none() {
            // On-demand endpoints may still be registering: the most that were seen counts.
            // Reclaimable ones count as found at first; what is ordered here is no load.
            self.guess = self.guess.max(guess(found, self.first, &self.settings));
        }
        // Until there is traffic, who is still registering must not be taken for absent.
        let early = load.is_none() && now.since(self.began) < self.settings.settle;
        let idle = load.is_none();
        let load = match load {
            Some(load) if load.settled => load.value,
            Some(load) => load.value.max(self.guess),
            None => self.guess,
        };
        let wanted = self.wanted(now, load);
        let mut orders = Vec::new();
        for (cell, count) in self.cells.iter_mut().zip(wanted) {
            if early && !cell.reclaimable {
                continue;
            }
            // Without traffic nothing is taken from anyone by having fewer.
            let calm = if idle {
                Duration::ZERO
            } else {
                self.settings.calm
            };
            if !cell.is_due(now, count, calm, self.scaling.boot + self.settings.overdue) {
                continue;
            }
            cell.ordered = count;
            cell.ordered_at = now;
            cell.lower = None;
            cell.differs = None;
            cell.given = true;
            cell.reached = false;
            orders.push(Order {
                domain: cell.domain.clone(),
                reclaimable: cell.reclaimable,
                count,
            });
        }
        orders
    }

    /// An order was refused: none are to be had there now.
    pub fn refused(&mut self, now: Time, order: &Order) {
        let wait = self.settings.refused;
        if let Some(cell) = self.cell(order) {
            cell.refusals = (cell.refusals + 1).min(2);
            cell.refused = now + wait * (1 << cell.refusals) / 2;
            cell.ordered = cell.live;
        }
    }

    /// An order was taken.
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

    fn see(&mut self, now: Time, found: &[(id::Domain, Live)]) {
        for cell in &mut self.cells {
            let live = find(found, &cell.domain);
            cell.live = if cell.reclaimable {
                live.reclaimable
            } else {
                live.on_demand
            };
            if !cell.given {
                cell.ordered = cell.live;
            }
            if cell.reached && cell.live < cell.ordered {
                // Some were lost: what is missing counts as not ordered.
                cell.ordered = cell.live;
            }
            if cell.live == cell.ordered {
                cell.reached = true;
                cell.differs = None;
            } else {
                cell.differs.get_or_insert(now);
            }
        }
    }

    /// The count for each cell.
    fn wanted(&self, now: Time, load: f64) -> Vec<u32> {
        let need = load / self.settings.used;
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
        // Reclaims come in waves: while none are to be had, the next loss may come before
        // what replaces this one has started. Three domains lost within 6 s then leave
        // enough: the worst seconds of such a day went from 0.58 to 0.86 of the worth owed.
        let losses = if self.reclaimables().any(|cell| now < cell.refused) {
            2
        } else {
            1
        };
        let least = (load * self.settings.floor).ceil() as u32;
        let on_demand =
            |held: &[u32]| least.max((need - carried(held, losses)).ceil().max(0.0) as u32);
        let (growing, staying) = (on_demand(&planned), on_demand(&present));
        let ordered: u32 = self.on_demands().map(|cell| cell.ordered).sum();
        // More are ordered for what the plan lacks, fewer only for what is there.
        let total = ordered.clamp(growing, growing.max(staying));
        let on_demands = self.place(total, &spread);
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

    /// Reclaimable endpoints for each domain, so that all but one carry the need.
    fn spread(&self, now: Time, need: f64) -> Vec<u32> {
        let open = self
            .reclaimables()
            .filter(|cell| now >= cell.refused)
            .count();
        let bearing = open.saturating_sub(1).max(1) as f64;
        let each = (need / bearing).ceil() as u32;
        self.reclaimables()
            .map(|cell| {
                let on_demand = self.on_demands().find(|have| have.domain == cell.domain);
                let on_demand = on_demand.map_or(0, |have| have.ordered);
                let each = each.min(self.scaling.most.saturating_sub(on_demand));
                if now >= cell.refused {
                    each
                } else {
                    cell.live.min(each)
                }
            })
            .collect()
    }

    /// On-demand endpoints for each domain. What is there stays where it is: fewer are
    /// taken where they are dear, more where they are cheap and the limit leaves room.
    fn place(&self, total: u32, spread: &[u32]) -> Vec<u32> {
        let others = |place: usize| spread.get(place).copied().unwrap_or(0);
        let least = |place: usize| self.scaling.least.saturating_sub(others(place));
        let cells: Vec<&Cell> = self.on_demands().collect();
        let mut counts: Vec<u32> = (0..cells.len())
            .map(|place| cells[place].ordered.max(least(place)))
            .collect();
        let mut order: Vec<usize> = (0..cells.len()).collect();
        order.sort_by(|a, b| cells[*a].price.total_cmp(&cells[*b].price));
        let mut surplus = counts.iter().sum::<u32>().saturating_sub(total);
        for place in order.iter().rev() {
            let less = surplus.min(counts[*place].saturating_sub(least(*place)));
            counts[*place] -= less;
            surplus -= less;
        }
        let mut rest = total.saturating_sub(counts.iter().sum());
        for place in order {
            let taken = counts[place] + others(place);
            let more = rest.min(self.scaling.most.saturating_sub(taken));
            counts[place] += more;
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
    fn is_due(&mut self, now: Time, count: u32, calm: Duration, overdue: Duration) -> bool {
        if now < self.refused && count > self.live {
            return false;
        }
        if count < self.ordered {
            let since = *self.lower.get_or_insert(now);
            return now.since(since) >= calm;
        }
        self.lower = None;
        let overdue = self
            .differs
            .is_some_and(|since| now.since(since.max(self.ordered_at)) > overdue);
        count > self.ordered || overdue
    }
}

/// The load that the endpoints found were held for.
fn guess(found: &[(id::Domain, Live)], reclaimable: u32, settings: &Settings) -> f64 {
    let on_demand: u32 = found.iter().map(|(_, live)| live.on_demand).sum();
    f64::from(on_demand + reclaimable) * settings.guess
}

/// What is left of some counts after the loss of so many of the largest.
fn carried(counts: &[u32], losses: usize) -> f64 {
    let mut counts = counts.to_vec();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    f64::from(counts.iter().skip(losses).sum::<u32>())
}

fn find(found: &[(id::Domain, Live)], domain: &id::Domain) -> Live {
    let none = Live {
        on_demand: 0,
        reclaimable: 0,
    };
    let live = found.iter().find(|(have, _)| have == domain);
    live.map_or(none, |(_, live)| *live)
}
