//! Rollouts over engines that lose orders, get stuck and are taken away.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::order::{Engine, Loaded, Order, Role, Wanted, Weights};
use coltsfoothall::rollout::{Rollout, Settings};
use coltsfoothall::share;
use coltsfoothall::size::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const GIGA: u64 = 1_000_000_000;

fn weights(name: &str, version: u32, size: u64) -> Weights {
    let name = name.into();
    Weights {
        loaded: Loaded { name, version },
        size: Bytes(size),
    }
}

fn wanted(version: u32, needed: usize) -> Wanted {
    let model = weights("rights", version, 20 * GIGA);
    let adapters = vec![weights("cue", 1, GIGA / 5), weights("film", 3, GIGA / 5)];
    Wanted {
        model,
        adapters,
        needed,
    }
}

fn settings() -> Settings {
    let share = share::Settings {
        rate: Bytes(2 * GIGA),
        services: 1,
        max_loads: 3,
    };
    Settings {
        share,
        ..Settings::default()
    }
}

fn engines(count: usize) -> Vec<Engine> {
    let engine = |n: usize| Engine {
        endpoint: format!("runner-{n:02}").parse().expect("a name"),
        model: None,
        adapters: Vec::new(),
        loading: None,
        role: Role::Mixed,
        open: 0,
        leaving: false,
    };
    (0..count).map(engine).collect()
}

/// Engines that obey, at the end of a load's time, unless stuck.
struct Fleet {
    engines: Vec<Engine>,
    loads: Vec<(usize, u64, Order)>,
    stuck: Vec<usize>,
    begun: Vec<u64>,
    rng: Pcg64Mcg,
    second: u64,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            engines: engines(count),
            loads: Vec::new(),
            stuck: Vec::new(),
            begun: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            second: 0,
        }
    }

    fn obey(&mut self, order: Order) {
        let at = self
            .engines
            .iter()
            .position(|e| e.endpoint == order.endpoint)
            .expect("the test sets it up");
        let engine = &mut self.engines[at];
        if engine.model.as_ref() == Some(&order.model) && engine.adapters == order.adapters {
            engine.role = order.role;
            return;
        }
        let reload = engine.model.as_ref() != Some(&order.model);
        let drained = engine.model.is_none() || (engine.role == Role::Drain && engine.open == 0);
        assert!(
            !reload || drained,
            "{} loads with work open",
            engine.endpoint
        );
        if engine.loading.is_none() {
            let adapter = order.adapters.first().cloned();
            engine.loading = if reload {
                Some(order.model.clone())
            } else {
                adapter
            };
            self.begun.push(self.second);
            self.loads.push((at, self.second + 12, order));
        }
    }

    /// A second of work: loads end, requests come and go.
    fn pass(&mut self) {
        self.second += 1;
        let (second, stuck) = (self.second, &self.stuck);
        let engines = &mut self.engines;
        self.loads.retain(|(at, until, order)| {
            let done = *until <= second && !stuck.contains(at);
            if done {
                let engine = &mut engines[*at];
                engine.model = Some(order.model.clone());
                engine.adapters.clone_from(&order.adapters);
                engine.role = order.role;
                engine.loading = None;
            }
            !done
        });
        for engine in engines.iter_mut() {
            let open = self.rng.random_range(0..4);
            let lower = engine.open.saturating_sub(open);
            engine.open = if engine.serves() { open } else { lower };
        }
    }

    fn serving(&self) -> usize {
        self.engines.iter().filter(|engine| engine.serves()).count()
    }

    fn current(&self, wanted: &Wanted) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.is_current(wanted))
            .count()
    }

    /// Runs for so many seconds; answers the fewest that served.
    fn run(&mut self, rollout: &mut Rollout, wanted: &Wanted, seconds: u64, lost: f64) -> usize {
        let mut fewest = self.serving();
        for _second in 0..seconds {
            self.pass();
            let now = Time::since_start(Duration::from_secs(self.second));
            for order in rollout.tick(now, wanted, &self.engines) {
                if !self.rng.random_bool(lost) {
                    self.obey(order);
                }
            }
            fewest = fewest.min(self.serving());
            assert_eq!(rollout.broken(), None);
        }
        fewest
    }
}

#[test]
fn loads_share_rate() {
    let mut fleet = Fleet::new(9, 1);
    let mut rollout = Rollout::new(settings());
    fleet.run(&mut rollout, &wanted(1, 6), 200, 0.0);
    assert_eq!(fleet.current(&wanted(1, 6)), 9);
    let gaps: Vec<u64> = fleet
        .begun
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    println!("seconds from one load of 20.4 GB to the next at 2 GB/s: {gaps:?}");
    assert!(
        gaps.iter().all(|gap| *gap >= 10),
        "loads outran the store: {gaps:?}"
    );
}

#[test]
fn version_rolls() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        let mut rollout = Rollout::new(settings());
        fleet.run(&mut rollout, &wanted(1, 6), 400, 0.2);
        let fewest = fleet.run(&mut rollout, &wanted(2, 6), 600, 0.2);
        assert_eq!(fleet.current(&wanted(2, 6)), 9, "seed {seed}");
        assert!(fewest >= 6, "seed {seed}: only {fewest} served");
    }
}

#[test]
fn needs_surge() {
    let mut fleet = Fleet::new(4, 1);
    let mut rollout = Rollout::new(settings());
    fleet.run(&mut rollout, &wanted(1, 4), 100, 0.0);
    let fewest = fleet.run(&mut rollout, &wanted(2, 4), 100, 0.0);
    assert_eq!((fewest, fleet.current(&wanted(2, 4))), (4, 0));
    assert!(rollout.progress().surge);
    fleet.engines.extend(engines(5).pop());
    let fewest = fleet.run(&mut rollout, &wanted(2, 4), 300, 0.0);
    assert_eq!((fewest, fleet.current(&wanted(2, 4))), (4, 5));
}

#[test]
fn stuck_load() {
    let mut fleet = Fleet::new(6, 1);
    fleet.stuck = vec![0, 1, 2];
    let mut rollout = Rollout::new(settings());
    fleet.run(&mut rollout, &wanted(1, 3), 900, 0.0);
    assert_eq!(
        fleet.current(&wanted(1, 3)),
        3,
        "stuck loads held up the others"
    );
    assert!(rollout.progress().timeouts >= 3);
    fleet.stuck.clear();
    fleet.run(&mut rollout, &wanted(1, 3), 900, 0.0);
    assert_eq!(fleet.current(&wanted(1, 3)), 6);
}

#[test]
fn loss_undrains() {
    let mut fleet = Fleet::new(5, 3);
    let mut rollout = Rollout::new(settings());
    fleet.run(&mut rollout, &wanted(1, 4), 200, 0.0);
    fleet.run(&mut rollout, &wanted(2, 4), 1, 0.0);
    let drained = fleet
        .engines
        .iter()
        .position(|e| e.role == Role::Drain)
        .expect("the test sets it up");
    fleet.engines[(drained + 1) % 5].leaving = true;
    fleet.run(&mut rollout, &wanted(2, 4), 2, 0.0);
    assert_eq!(fleet.engines[drained].role, Role::Mixed, "not taken back");
    assert_eq!(fleet.serving(), 4);
}

#[test]
fn new_steward() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        fleet.run(&mut Rollout::new(settings()), &wanted(1, 6), 200, 0.0);
        let mut fewest = 9;
        for _change in 0..30 {
            let mut rollout = Rollout::new(settings());
            fewest = fewest.min(fleet.run(&mut rollout, &wanted(2, 6), 25, 0.1));
            assert!(
                fleet.loads.len() <= 4,
                "seed {seed}: {} loads at once",
                fleet.loads.len()
            );
        }
        assert!(fewest >= 6, "seed {seed}: only {fewest} served");
        assert_eq!(fleet.current(&wanted(2, 6)), 9, "seed {seed}");
    }
}

#[test]
fn wish_changes() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        let mut rollout = Rollout::new(settings());
        fleet.run(&mut rollout, &wanted(1, 6), 400, 0.2);
        for version in 2..12 {
            let span = 10 + 3 * seed + u64::from(version);
            let fewest = fleet.run(&mut rollout, &wanted(version, 6), span, 0.2);
            assert!(fewest >= 6, "seed {seed}: only {fewest} served");
            assert_eq!(rollout.broken(), None, "seed {seed}, version {version}");
        }
        fleet.run(&mut rollout, &wanted(12, 6), 600, 0.2);
        assert_eq!(fleet.current(&wanted(12, 6)), 9, "seed {seed}");
    }
}
