//! Orders of endpoints by failure domain and kind, for loads and reclaims over time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::config::{Cost, Scaling};
use coltsfoothall::forward::order::{Live, Load, Meter, Order, Planner, Settings};
use coltsfoothall::id;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn domain(name: &str) -> id::Domain {
    name.parse().unwrap()
}

const NAMES: [&str; 3] = ["north", "south", "west"];

fn scaling(reclaimable: Option<f64>) -> Scaling {
    let price = |name: &str| if name == "south" { 0.8 } else { 1.0 };
    Scaling {
        min_per_domain: 1,
        max_per_domain: 12,
        boot: Duration::from_secs(4),
        reclaimable,
        costs: NAMES
            .iter()
            .map(|name| Cost {
                domain: domain(name),
                price: price(name),
            })
            .collect(),
    }
}

fn settled(value: f64) -> Option<Load> {
    let settled = true;
    Some(Load { value, settled })
}

/// Endpoints that are needed for a load after the loss of a domain.
fn need(load: f64) -> u32 {
    (load / Settings::default().max_utilization).ceil() as u32
}

/// A platform that executes orders at once, but refuses reclaimable endpoints while
/// `reclaimable_exhausted` is set.
struct Platform {
    live: Vec<(id::Domain, Live)>,
    planner: Planner,
    reclaimable_exhausted: bool,
}

impl Platform {
    fn new(on_demand: u32) -> Self {
        let live: Vec<(id::Domain, Live)> = NAMES
            .iter()
            .map(|name| {
                (
                    domain(name),
                    Live {
                        on_demand,
                        reclaimable: 0,
                    },
                )
            })
            .collect();
        let planner = Planner::new(at(0), scaling(Some(0.2)), &live, Settings::default());
        Self {
            live,
            planner,
            reclaimable_exhausted: false,
        }
    }

    fn run(&mut self, from: u64, to: u64, load: f64) {
        let load = settled(load);
        for now in (from..to).step_by(300) {
            for order in self.planner.decide(at(now), load, None, &self.live) {
                if order.reclaimable && self.reclaimable_exhausted {
                    self.planner.refused(at(now), &order);
                } else {
                    self.planner.accepted(&order);
                    self.apply(&order);
                }
            }
        }
    }

    fn apply(&mut self, order: &Order) {
        let found = self.live.iter_mut().find(|(name, _)| *name == order.domain);
        let (_, live) = found.unwrap();
        if order.reclaimable {
            live.reclaimable = order.count;
        } else {
            live.on_demand = order.count;
        }
    }

    fn on_demand(&self) -> u32 {
        self.live.iter().map(|(_, live)| live.on_demand).sum()
    }

    fn reclaimable(&self) -> u32 {
        self.live.iter().map(|(_, live)| live.reclaimable).sum()
    }

    /// Endpoints left after the loss of the domain with the most reclaimable ones.
    fn capacity_after_loss(&self) -> u32 {
        let worst = self
            .live
            .iter()
            .map(|(_, live)| live.reclaimable)
            .max()
            .unwrap();
        self.on_demand() + self.reclaimable() - worst
    }
}

#[test]
fn cheap_and_spread() {
    let mut platform = Platform::new(6);
    platform.run(0, 20_000, 8.0);
    assert!(platform.on_demand() <= 2, "{:?}", platform.live);
    assert!(
        platform.capacity_after_loss() >= need(8.0),
        "the load is carried after the loss of one domain: {:?}",
        platform.live
    );
    let south = &platform.live[1].1;
    assert_eq!(
        south.on_demand,
        platform.on_demand(),
        "on-demand endpoints are in the cheapest domain"
    );
}

#[test]
fn loss_replaced() {
    let mut platform = Platform::new(6);
    platform.run(0, 20_000, 8.0);
    platform.reclaimable_exhausted = true;
    platform.live[0].1.reclaimable = 0;
    platform.run(20_000, 21_000, 8.0);
    assert!(
        platform.capacity_after_loss() >= need(8.0),
        "ready for the next loss at once: {:?}",
        platform.live
    );
    platform.live[1].1.reclaimable = 0;
    platform.live[2].1.reclaimable = 0;
    platform.run(21_000, 22_500, 8.0);
    assert!(platform.on_demand() >= need(8.0), "{:?}", platform.live);
    platform.reclaimable_exhausted = false;
    platform.run(22_500, 45_000, 8.0);
    assert!(
        platform.on_demand() <= 2,
        "reclaimable endpoints replace on-demand ones again: {:?}",
        platform.live
    );
}

/// A load that falls for 3 s and recovers does not reduce the count; one that stays low does.
#[test]
fn short_trough_ignored() {
    let mut platform = Platform::new(6);
    let mut meter = Meter::new(at(0), Settings::default());
    let mut total = 0;
    let mut run = |platform: &mut Platform, from: u64, to: u64, load: u64| {
        for now in (from..to).step_by(300) {
            total += load * 300_000;
            meter.merge_work(at(now), 1, total);
            for order in platform
                .planner
                .decide(at(now), meter.load(at(now)), None, &platform.live)
            {
                platform.apply(&order);
            }
        }
    };
    run(&mut platform, 0, 30_000, 8);
    let before = platform.reclaimable();
    run(&mut platform, 30_000, 33_000, 3);
    run(&mut platform, 33_000, 45_000, 8);
    assert_eq!(
        platform.reclaimable(),
        before,
        "a short trough changes nothing"
    );
    run(&mut platform, 45_000, 65_000, 3);
    assert!(platform.reclaimable() < before);
}

/// Reclaims in quick succession within one start-up time, while no reclaimable endpoints are
/// available: the on-demand endpoints ordered after the first reclaim carry the load after the
/// next two.
#[test]
fn wave_borne() {
    let mut platform = Platform::new(6);
    platform.run(0, 20_000, 8.0);
    platform.reclaimable_exhausted = true;
    platform.live[0].1.reclaimable = 0;
    platform.run(20_000, 21_000, 8.0);
    let on_demand = platform.on_demand();
    platform.live[1].1.reclaimable = 0;
    platform.live[2].1.reclaimable = 0;
    assert!(on_demand >= need(8.0), "{on_demand} of {}", need(8.0));
}

#[test]
fn late_listing() {
    let none: Vec<(id::Domain, Live)> = Vec::new();
    let mut planner = Planner::new(at(0), scaling(Some(0.2)), &none, Settings::default());
    let live: Vec<(id::Domain, Live)> = NAMES
        .iter()
        .map(|name| {
            (
                domain(name),
                Live {
                    on_demand: 6,
                    reclaimable: 0,
                },
            )
        })
        .collect();
    planner.decide(at(0), None, None, &none);
    let orders = planner.decide(at(300), None, None, &live);
    let min_count = orders
        .iter()
        .filter(|order| order.reclaimable)
        .map(|order| order.count)
        .min();
    assert!(
        min_count >= Some(5),
        "the assumed load follows the registrations: {orders:?}"
    );
    assert!(
        orders.iter().all(|order| order.reclaimable),
        "no on-demand count is reduced yet"
    );
}

#[test]
fn without_reclaimable() {
    let live: Vec<(id::Domain, Live)> = Vec::new();
    let mut planner = Planner::new(at(0), scaling(None), &live, Settings::default());
    let orders = planner.decide(at(0), settled(5.0), None, &live);
    assert!(orders.iter().all(|order| !order.reclaimable));
    assert_eq!(
        orders.iter().map(|order| order.count).sum::<u32>(),
        need(5.0)
    );
}

#[test]
fn domain_limits() {
    let mut platform = Platform::new(1);
    platform.run(0, 20_000, 100.0);
    for (name, live) in &platform.live {
        assert!(live.on_demand + live.reclaimable <= 12, "{name}: {live:?}");
        assert!(live.on_demand + live.reclaimable >= 1, "{name}: {live:?}");
    }
}

#[test]
fn load_measured() {
    let settings = Settings {
        bucket: Duration::from_secs(2),
        buckets: 5,
        ..Settings::default()
    };
    let mut meter = Meter::new(at(0), settings);
    assert_eq!(meter.load(at(0)), None);
    for (now, total) in [(0, 0), (500, 1_000_000), (1_500, 4_000_000)] {
        meter.merge_work(at(now), 1, total);
    }
    meter.merge_work(at(2_100), 2, 9_000_000);
    let young = meter.load(at(2_100)).unwrap();
    assert_eq!(
        young.value, 2.0,
        "work before the first report of an instance is not counted"
    );
    assert!(!young.settled);
    assert!(meter.load(at(9_000)).unwrap().settled);
    meter.merge_work(at(2_200), 1, 3_000_000);
    meter.merge_work(at(30_000), 1, 4_000_000);
    assert_eq!(meter.load(at(30_000)), None, "long idle");
}

#[test]
fn new_leader_waits() {
    let live: Vec<(id::Domain, Live)> = NAMES
        .iter()
        .map(|name| {
            (
                domain(name),
                Live {
                    on_demand: 1,
                    reclaimable: 6,
                },
            )
        })
        .collect();
    let mut planner = Planner::new(at(0), scaling(Some(0.2)), &live, Settings::default());
    let young = Load {
        value: 1.0,
        settled: false,
    };
    for now in (0..9_000).step_by(300) {
        let orders = planner.decide(at(now), Some(young), None, &live);
        let reduced = orders
            .iter()
            .filter(|order| order.reclaimable && order.count < 5);
        assert_eq!(
            reduced.count(),
            0,
            "the previous leader had ordered them for a reason"
        );
    }
}

#[test]
fn assumed_load_is_stable() {
    let mut platform = Platform::new(6);
    for now in (0..9_000).step_by(300) {
        for order in platform.planner.decide(at(now), None, None, &platform.live) {
            platform.apply(&order);
        }
    }
    assert!(
        platform.reclaimable() <= 18,
        "orders of the planner do not count as load: {:?}",
        platform.live
    );
    let assumed = 18.0 * Settings::default().initial_utilization;
    assert!(
        platform.capacity_after_loss() >= need(assumed),
        "{:?}",
        platform.live
    );
}

#[test]
fn on_demand_is_stable() {
    let mut platform = Platform::new(6);
    platform.run(0, 20_000, 10.0);
    platform.reclaimable_exhausted = true;
    for (_, live) in &mut platform.live {
        live.reclaimable = 0;
    }
    platform.run(20_000, 22_500, 10.0);
    let before = platform.live.clone();
    platform.run(22_500, 40_000, 10.0);
    assert_eq!(
        before, platform.live,
        "attempts to order reclaimable endpoints change nothing else"
    );
}

/// A fleet that starts with on-demand endpoints only, before any traffic: as soon as reclaimable
/// ones serve, the on-demand count is reduced, without the reduction delay.
#[test]
fn idle_given_back() {
    let mut platform = Platform::new(6);
    for now in (0..6_000).step_by(300) {
        for order in platform.planner.decide(at(now), None, None, &platform.live) {
            platform.apply(&order);
        }
    }
    assert!(platform.on_demand() <= 2, "{:?}", platform.live);
    let before = platform.live.clone();
    let young = Some(Load {
        value: 0.5,
        settled: false,
    });
    for now in (6_000..8_000).step_by(300) {
        for order in platform
            .planner
            .decide(at(now), young, None, &platform.live)
        {
            platform.apply(&order);
        }
    }
    assert_eq!(
        before, platform.live,
        "the endpoints for the assumed load stay"
    );
}
