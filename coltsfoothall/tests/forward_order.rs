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

/// A platform that executes orders at once, except for reclaimable endpoints while `dry`.
struct Site {
    live: Vec<(id::Domain, Live)>,
    planner: Planner,
    dry: bool,
}

impl Site {
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
            dry: false,
        }
    }

    fn run(&mut self, from: u64, to: u64, load: f64) {
        let load = settled(load);
        for now in (from..to).step_by(300) {
            for order in self.planner.decide(at(now), load, &self.live) {
                if order.reclaimable && self.dry {
                    self.planner.refused(at(now), &order);
                } else {
                    self.planner.accepted(&order);
                    self.fill(&order);
                }
            }
        }
    }

    fn fill(&mut self, order: &Order) {
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
    fn left(&self) -> u32 {
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
    let mut site = Site::new(6);
    site.run(0, 20_000, 8.0);
    assert!(site.on_demand() <= 2, "{:?}", site.live);
    assert!(
        site.left() >= need(8.0),
        "the load is carried after the loss of one domain: {:?}",
        site.live
    );
    let south = &site.live[1].1;
    assert_eq!(
        south.on_demand,
        site.on_demand(),
        "on-demand endpoints are in the cheapest domain"
    );
}

#[test]
fn loss_replaced() {
    let mut site = Site::new(6);
    site.run(0, 20_000, 8.0);
    site.dry = true;
    site.live[0].1.reclaimable = 0;
    site.run(20_000, 21_000, 8.0);
    assert!(
        site.left() >= need(8.0),
        "ready for the next loss at once: {:?}",
        site.live
    );
    site.live[1].1.reclaimable = 0;
    site.live[2].1.reclaimable = 0;
    site.run(21_000, 22_500, 8.0);
    assert!(site.on_demand() >= need(8.0), "{:?}", site.live);
    site.dry = false;
    site.run(22_500, 45_000, 8.0);
    assert!(
        site.on_demand() <= 2,
        "reclaimable endpoints replace on-demand ones again: {:?}",
        site.live
    );
}

/// A load that falls for 3 s and recovers does not reduce the count; one that stays low does.
#[test]
fn trough_held() {
    let mut site = Site::new(6);
    let mut meter = Meter::new(at(0), Settings::default());
    let mut total = 0;
    let mut run = |site: &mut Site, from: u64, to: u64, load: u64| {
        for now in (from..to).step_by(300) {
            total += load * 300_000;
            meter.merge_work(at(now), 1, total);
            for order in site
                .planner
                .decide(at(now), meter.load(at(now)), &site.live)
            {
                site.fill(&order);
            }
        }
    };
    run(&mut site, 0, 30_000, 8);
    let before = site.reclaimable();
    run(&mut site, 30_000, 33_000, 3);
    run(&mut site, 33_000, 45_000, 8);
    assert_eq!(site.reclaimable(), before, "a short trough changes nothing");
    run(&mut site, 45_000, 65_000, 3);
    assert!(site.reclaimable() < before);
}

/// Reclaims in quick succession within one start-up time, while no reclaimable endpoints are
/// available: the on-demand endpoints ordered after the first reclaim carry the load after the
/// next two.
#[test]
fn wave_borne() {
    let mut site = Site::new(6);
    site.run(0, 20_000, 8.0);
    site.dry = true;
    site.live[0].1.reclaimable = 0;
    site.run(20_000, 21_000, 8.0);
    let on_demand = site.on_demand();
    site.live[1].1.reclaimable = 0;
    site.live[2].1.reclaimable = 0;
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
    planner.decide(at(0), None, &none);
    let orders = planner.decide(at(300), None, &live);
    let least = orders
        .iter()
        .filter(|order| order.reclaimable)
        .map(|order| order.count)
        .min();
    assert!(
        least >= Some(5),
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
    let orders = planner.decide(at(0), settled(5.0), &live);
    assert!(orders.iter().all(|order| !order.reclaimable));
    assert_eq!(
        orders.iter().map(|order| order.count).sum::<u32>(),
        need(5.0)
    );
}

#[test]
fn domain_limits() {
    let mut site = Site::new(1);
    site.run(0, 20_000, 100.0);
    for (name, live) in &site.live {
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
        let orders = planner.decide(at(now), Some(young), &live);
        let less = orders
            .iter()
            .filter(|order| order.reclaimable && order.count < 5);
        assert_eq!(
            less.count(),
            0,
            "the previous leader had ordered them for a reason"
        );
    }
}

#[test]
fn assumed_load_is_stable() {
    let mut site = Site::new(6);
    for now in (0..9_000).step_by(300) {
        for order in site.planner.decide(at(now), None, &site.live) {
            site.fill(&order);
        }
    }
    assert!(
        site.reclaimable() <= 18,
        "orders of the planner do not count as load: {:?}",
        site.live
    );
    let guessed = 18.0 * Settings::default().initial_utilization;
    assert!(site.left() >= need(guessed), "{:?}", site.live);
}

#[test]
fn on_demand_is_stable() {
    let mut site = Site::new(6);
    site.run(0, 20_000, 10.0);
    site.dry = true;
    for (_, live) in &mut site.live {
        live.reclaimable = 0;
    }
    site.run(20_000, 22_500, 10.0);
    let before = site.live.clone();
    site.run(22_500, 40_000, 10.0);
    assert_eq!(
        before, site.live,
        "attempts to order reclaimable endpoints change nothing else"
    );
}

/// A fleet that starts with on-demand endpoints only, before any traffic: as soon as reclaimable
/// ones serve, the on-demand count is reduced, without the reduction delay.
#[test]
fn idle_given_back() {
    let mut site = Site::new(6);
    for now in (0..6_000).step_by(300) {
        for order in site.planner.decide(at(now), None, &site.live) {
            site.fill(&order);
        }
    }
    assert!(site.on_demand() <= 2, "{:?}", site.live);
    let before = site.live.clone();
    let young = Some(Load {
        value: 0.5,
        settled: false,
    });
    for now in (6_000..8_000).step_by(300) {
        for order in site.planner.decide(at(now), young, &site.live) {
            site.fill(&order);
        }
    }
    assert_eq!(before, site.live, "the endpoints for the assumed load stay");
}
