//! Upgrade of a service by a fleet of instances, in virtual time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::{Era, Position};
use coltsfoothall::forward::upgrade::{Order, Registry, Settings, Stage, Status, Versions, View};
use coltsfoothall::id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Largest share of a service's requests that a bad version may get, as promised to users.
const MAX_EXPOSED_SHARE: f64 = 0.1;
/// Requests that a bad version may get beyond that share.
const SLACK_REQUESTS: u64 = 50;
/// Time after its fiftieth bad answer within which a bad version must stop getting requests.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Routes of the service: the number of requests of every ten, and the share that the baseline
/// fails.
const ROUTES: [(&str, usize, f64); 3] = [
    ("letters", 6, 0.01),
    ("notes", 3, 0.02),
    ("status", 1, 0.14),
];
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Milliseconds between two batches of heartbeats, and recipients of a batch.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
const HEARTBEATS_PER_BATCH: usize = 16;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn service() -> id::Service {
    "reader".parse().unwrap()
}

fn version(name: &str) -> id::Version {
    name.parse().unwrap()
}

fn old() -> id::Version {
    version("v1")
}

fn new() -> id::Version {
    version("v2")
}

fn position(revision: u64) -> Position {
    let era = Era(1);
    Position { era, revision }
}

fn order(limit: u64, revision: u64) -> Order {
    Order {
        service: service(),
        target: version("v2"),
        limit: Duration::from_secs(limit),
        position: position(revision),
    }
}

/// Fault of the candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Nothing,
    /// It fails this share of its requests.
    Fails(f64),
    /// This share of its answers takes five times as long.
    Slow(f64),
    /// It fails a third of the requests of one route.
    OneRoute(usize),
    /// It fails half of its requests from this second on.
    From(u64),
    /// It fails half of its requests once it gets more than this many per second.
    Loaded(u64),
}

/// A fleet of instances in front of endpoints of both versions.
struct Fleet {
    registries: Vec<Registry>,
    /// Instances that neither send nor receive heartbeats.
    silent: usize,
    rng: StdRng,
    fault: Fault,
    asked: u64,
    exposed: u64,
    bad: u64,
    fiftieth: Option<Time>,
    last: Option<Time>,
    this_second: (u64, u64),
}

impl Fleet {
    fn new(count: usize, silent: usize, fault: Fault, seed: u64) -> Self {
        let registry = |number| Registry::new(Settings::default(), seed ^ number << 32);
        let mut registries: Vec<Registry> = (0..count as u64).map(registry).collect();
        for registry in &mut registries {
            assert!(registry.apply_order(at(0), order(12, 5)));
            registry.record_present(&service(), Some(&old()));
        }
        Self {
            registries,
            silent,
            rng: StdRng::seed_from_u64(seed),
            fault,
            asked: 0,
            exposed: 0,
            bad: 0,
            fiftieth: None,
            last: None,
            this_second: (0, 0),
        }
    }

    /// Whether an answer of the candidate fails, and the factor by which it is slower.
    fn inject_fault(&mut self, now: Time, route: usize) -> (bool, u32) {
        let seconds = now.since(Time::START).as_secs();
        let share = match self.fault {
            Fault::Nothing => 0.0,
            Fault::Fails(share) => share,
            Fault::Slow(share) => {
                return (false, if self.rng.random_bool(share) { 5 } else { 1 });
            }
            Fault::OneRoute(bad) => f64::from(u8::from(bad == route)) / 3.0,
            Fault::From(second) => f64::from(u8::from(seconds >= second)) / 2.0,
            Fault::Loaded(rate) => {
                if self.this_second.0 != seconds {
                    self.this_second = (seconds, 0);
                }
                self.this_second.1 += 1;
                f64::from(u8::from(self.this_second.1 > rate)) / 2.0
            }
        };
        (self.rng.random_bool(share), 1)
    }

    fn request(&mut self, now: Time, instance: usize) {
        let drawn = self.rng.random_range(0..10);
        let mut remaining = drawn;
        let route = ROUTES.iter().position(|(_, weight, _)| {
            let found = remaining < *weight;
            remaining = remaining.saturating_sub(*weight);
            found
        });
        let route = route.unwrap();
        let (name, _, usual) = ROUTES[route];
        let versions = self.registries[instance].versions(&service(), name);
        let is_candidate = versions[0].has(Some(&new()));
        let run = version(if is_candidate { "v2" } else { "v1" });
        self.registries[instance].record_sent(&service(), name, Some(&run));
        let mut failed = self.rng.random_bool(usual);
        // Answer times of the baseline vary by a factor of three in both directions.
        let spread: f64 = self.rng.random_range(-1.0..1.0);
        let mut took = Duration::from_millis(100).mul_f64(3_f64.powf(spread));
        let is_connected = instance >= self.silent;
        self.asked += 1;
        if is_candidate {
            let (injected, times) = self.inject_fault(now, route);
            failed |= injected;
            took *= times;
            if is_connected {
                self.exposed += 1;
                self.last = Some(now);
            }
            if injected || times > 1 {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth = Some(now);
                }
            }
        }
        self.registries[instance].record_answer(&service(), name, Some(&run), took, failed);
    }

    fn gossip(&mut self, now: Time, batch: usize) {
        let count = self.registries.len();
        let statuses: Vec<Vec<Status>> = self
            .registries
            .iter()
            .map(|registry| registry.statuses(now))
            .collect();
        for (sender, report) in statuses.iter().enumerate().skip(self.silent) {
            for step in 0..HEARTBEATS_PER_BATCH.min(count) {
                let receiver = (sender + 1 + batch * HEARTBEATS_PER_BATCH + step) % count;
                if receiver != sender && receiver >= self.silent {
                    self.registries[receiver].merge_statuses(now, sender as u64, report.clone());
                }
            }
        }
    }

    /// Simulates `seconds` at a request rate; the first instance after the silent ones is the
    /// leader.
    fn play(&mut self, seconds: u64, rate: u64) {
        let leader = self.silent;
        let others: Vec<u64> = (leader as u64 + 1..self.registries.len() as u64).collect();
        let per_tick = rate * TICK_INTERVAL.as_millis() as u64 / 1_000;
        for tick in 0..seconds * 1_000 / TICK_INTERVAL.as_millis() as u64 {
            let millis = tick * TICK_INTERVAL.as_millis() as u64;
            let now = at(millis);
            for _ in 0..per_tick {
                let instance = self.rng.random_range(0..self.registries.len());
                self.request(now, instance);
            }
            if millis.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                self.gossip(now, (millis / HEARTBEAT_INTERVAL_MS) as usize);
                for registry in &mut self.registries {
                    registry.judge(now);
                }
                let boots = others.clone();
                let view = View { boots, open: 0 };
                self.registries[leader].advance(now, &service(), &view);
            }
        }
    }

    fn stages(&self) -> Vec<Stage> {
        let connected = self.registries[self.silent..].iter();
        connected
            .map(|registry| registry.stage(&service()).unwrap().1)
            .collect()
    }

    fn all_are(&self, stage: Stage) -> bool {
        self.stages().iter().all(|have| *have == stage)
    }

    /// Checks the promised limits on a bad version.
    fn check_bad(&self, seed: u64) {
        let about = format!("seed {seed}, {:?}", self.fault);
        assert!(
            self.all_are(Stage::RolledBack),
            "{about}: {:?}",
            self.stages()
        );
        let max_exposed = (self.asked as f64 * MAX_EXPOSED_SHARE) as u64 + SLACK_REQUESTS;
        assert!(
            self.exposed <= max_exposed,
            "{about}: {} of {max_exposed}",
            self.exposed
        );
        if let (Some(fiftieth), Some(last)) = (self.fiftieth, self.last) {
            let after = last.since(fiftieth);
            assert!(after <= ROLLBACK_TIMEOUT, "{about}: {after:?}");
        }
    }
}

/// Seeds to play; set the environment variable `SEEDS`, such as `SEEDS=200..1200`, for others.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SEEDS") else {
        return 0..10;
    };
    let (from, to) = text.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}

fn fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Fails(rng.random_range(0.25..0.9)),
        1 => Fault::Slow(rng.random_range(0.3..0.9)),
        2 => Fault::OneRoute(rng.random_range(0..2)),
        _ => Fault::From(rng.random_range(0..6)),
    }
}

/// A version with any fault gets no more than its share until it is judged, and no requests soon
/// after the fault shows, while a tenth of the instances is silent.
#[test]
fn bad_versions_rolled_back() {
    for seed in seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if seed % 5 == 0 { 300 } else { 82 };
        let mut fleet = Fleet::new(count, count / 10, fault(&mut rng), seed);
        fleet.play(14, 500);
        fleet.check_bad(seed);
    }
}

/// A good version serves all requests in the end, although both versions fail some; at most one in
/// a hundred is mistaken for a bad one.
#[test]
fn good_versions_complete() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let count = if seed % 2 == 0 { 9 } else { 82 };
        let mut fleet = Fleet::new(count, 0, Fault::Nothing, seed);
        fleet.play(14, 500);
        if !fleet.all_are(Stage::Complete) {
            failed.push((seed, fleet.stages()[0]));
        }
    }
    let max_failed = seeds().count() / 100;
    assert!(failed.len() <= max_failed, "{failed:?}");
}

/// A version that fails only with more than its initial share is rolled back while it moves.
#[test]
fn bad_under_load() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(82, 0, Fault::Loaded(60), seed);
        fleet.play(14, 500);
        fleet.check_bad(seed);
    }
}

/// The limit on a candidate's share holds for each instance and route to within one request, and
/// for all of them in total, however few requests each one has.
#[test]
fn share_held() {
    for (instances, requests) in [(1, 1_000), (82, 50), (300, 10), (1_000, 5)] {
        let mut all = 0;
        for seed in 0..instances {
            let mut registry = Registry::new(Settings::default(), seed);
            registry.apply_order(at(0), order(12, 5));
            registry.record_present(&service(), Some(&old()));
            let mut exposed = 0;
            for asked in 1..=requests {
                let run = match &registry.versions(&service(), "letters")[0] {
                    Versions::Only(only) => only.clone(),
                    _ => old(),
                };
                exposed += u64::from(run == new());
                registry.record_sent(&service(), "letters", Some(&run));
                let max_exposed = (asked as f64 * MAX_EXPOSED_SHARE) as u64 + 1;
                assert!(exposed <= max_exposed, "{exposed} of {asked}");
            }
            all += exposed;
        }
        let asked = (instances * requests) as f64;
        assert!(all as f64 <= asked * MAX_EXPOSED_SHARE, "{all} of {asked}");
        assert!(all as f64 >= asked * 0.06, "{all} of {asked}");
    }
}

/// A candidate that starts late is not flooded with the requests that it missed.
#[test]
fn start_not_flooded() {
    let mut registry = Registry::new(Settings::default(), 1);
    registry.apply_order(at(0), order(12, 5));
    registry.record_present(&service(), Some(&old()));
    for _ in 0..1_000 {
        registry.record_sent(&service(), "letters", Some(&old()));
    }
    let mut at_once = 0;
    while registry.versions(&service(), "letters")[0].has(Some(&new())) {
        registry.record_sent(&service(), "letters", Some(&new()));
        at_once += 1;
    }
    assert_eq!(at_once, 2);
}

#[test]
fn later_order_replaces() {
    let mut registry = Registry::new(Settings::default(), 1);
    assert!(registry.apply_order(at(0), order(12, 5)));
    assert!(!registry.apply_order(at(1), order(12, 5)), "the same one");
    assert!(!registry.apply_order(at(1), order(12, 4)), "an older one");
    registry.apply_final_stage(at(2), &service(), Stage::RolledBack);
    let again = Order {
        target: version("v3"),
        ..order(12, 6)
    };
    assert!(registry.apply_order(at(3), again.clone()));
    assert_eq!(registry.stage(&service()), Some((&again, Stage::Trial)));
}

/// A final stage in the store cannot be changed.
#[test]
fn final_stage_stays() {
    let mut registry = Registry::new(Settings::default(), 1);
    registry.apply_order(at(0), order(12, 5));
    registry.apply_final_stage(at(1), &service(), Stage::Complete);
    registry.apply_final_stage(at(2), &service(), Stage::RolledBack);
    assert_eq!(registry.stage(&service()).unwrap().1, Stage::Complete);
    let view = View::default();
    assert_eq!(registry.advance(at(60_000), &service(), &view), None);
}

/// A version that never starts is rolled back at the time limit.
#[test]
fn absent_version_rolled_back() {
    let mut registry = Registry::new(Settings::default(), 1);
    registry.apply_order(at(0), order(12, 5));
    registry.record_present(&service(), Some(&old()));
    let view = View::default();
    assert_eq!(registry.advance(at(11_999), &service(), &view), None);
    let change = registry.advance(at(12_000), &service(), &view).unwrap();
    assert_eq!(change.stage, Stage::RolledBack);
    assert!(!registry.versions(&service(), "letters")[0].has(Some(&new())));
}

/// An upgrade is complete only when every instance has moved and no request is open at the old
/// endpoints.
#[test]
fn complete_when_moved() {
    let mut registry = Registry::new(Settings::default(), 1);
    registry.apply_order(at(0), order(12, 5));
    registry.record_present(&service(), Some(&old()));
    for _ in 0..100 {
        let took = Duration::from_millis(100);
        registry.record_answer(&service(), "letters", Some(&new()), took, false);
    }
    let mut other = registry.clone();
    let busy = View {
        boots: vec![7],
        open: 1,
    };
    let mut now = at(7_200);
    for _ in 0..10 {
        registry.advance(now, &service(), &busy);
        now = now + Duration::from_millis(700);
    }
    let moving = registry.stage(&service()).unwrap().1;
    assert!(matches!(moving, Stage::Moving { .. }), "{moving:?}");
    let free = View { open: 0, ..busy };
    assert_eq!(
        registry.advance(now, &service(), &free),
        None,
        "one instance has not moved"
    );
    other.merge_statuses(now, 1, registry.statuses(now));
    registry.merge_statuses(now, 7, other.statuses(now));
    let change = registry.advance(now, &service(), &free).unwrap();
    assert_eq!(change.stage, Stage::Complete);
}

/// An upgrade to a version that already serves without a baseline completes after enough answers.
#[test]
fn candidate_already_serves() {
    let mut registry = Registry::new(Settings::default(), 1);
    registry.apply_order(at(0), order(12, 5));
    registry.record_present(&service(), Some(&new()));
    assert_eq!(registry.versions(&service(), "letters"), [Versions::Any]);
    for _ in 0..30 {
        let took = Duration::from_millis(100);
        registry.record_answer(&service(), "letters", Some(&new()), took, false);
    }
    let change = registry
        .advance(at(1_000), &service(), &View::default())
        .unwrap();
    assert_eq!(change.stage, Stage::Complete);
}
