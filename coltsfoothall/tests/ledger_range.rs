//! Any range of seeds of the ledger's world, by hand.
//!
//! `LEDGER_SEEDS=200000..290000 cargo test --release -p coltsfoothall --test ledger_range -- --ignored --nocapture`
//!
//! `LEDGER_STEPS` sets the steps of each world, 1,500 if it is missing. The play uses all
//! processors and ends with a table: what was told, how slots changed hands, and each
//! broken seed with its promise.

mod world;

use std::any::Any;
use std::ops::Range;
use std::panic;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use world::World;

/// Steps of a world, as the tests with fixed seeds play them.
const STEPS: u64 = 1500;

/// Seeds between two lines of progress.
const PROGRESS: u64 = 10_000;

/// What the worlds of a range came to.
#[derive(Debug, Default)]
struct Sum {
    told: [u64; 3],
    takeovers: u64,
    claims: u64,
    handovers: u64,
    swaps: u64,
    renewals: u64,
    /// Seeds that broke a promise, with the promise.
    broken: Vec<(u64, String)>,
}

impl Sum {
    fn add(&mut self, world: &World) {
        let told = self.told.iter_mut().zip(world.told);
        told.for_each(|(sum, count)| *sum += u64::from(count));
        self.takeovers += u64::from(world.takeovers);
        self.claims += u64::from(world.claims);
        self.handovers += u64::from(world.handovers);
        self.swaps += u64::from(world.swaps);
        self.renewals += u64::from(world.renewals);
    }
}

fn play(seed: u64, steps: u64) -> World {
    let mut world = World::new(seed);
    world.run(steps);
    world.settle();
    world
}

fn reason(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("no reason").replace('\n', " ")
}

fn play_all(seeds: &Range<u64>, steps: u64) -> Sum {
    let next = AtomicU64::new(seeds.start);
    let sum = Mutex::new(Sum::default());
    let worker = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let played = panic::catch_unwind(|| play(seed, steps));
            let mut sum = sum.lock().expect("no worker panics with the sum in hand");
            match played {
                Ok(world) => sum.add(&world),
                Err(panic) => sum.broken.push((seed, reason(&*panic))),
            }
            let done = seed + 1 - seeds.start;
            if done.is_multiple_of(PROGRESS) {
                eprintln!("{done} played, {} broken", sum.broken.len());
            }
        }
    };
    let workers = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        (0..workers).for_each(|_| drop(scope.spawn(worker)));
    });
    let mut sum = sum
        .into_inner()
        .expect("no worker panics with the sum in hand");
    sum.broken.sort();
    sum
}

fn range(text: &str) -> Range<u64> {
    let ends = text
        .split_once("..")
        .map(|(from, to)| (from.parse(), to.parse()));
    let Some((Ok(from), Ok(to))) = ends else {
        panic!("LEDGER_SEEDS is {text}, not two numbers like 0..1000");
    };
    from..to
}

#[test]
#[ignore = "played by hand, over a range of seeds"]
fn seed_range() {
    let seeds = range(&std::env::var("LEDGER_SEEDS").unwrap_or_else(|_| "0..1000".into()));
    let steps = std::env::var("LEDGER_STEPS").map_or(STEPS, |text| {
        text.parse().expect("LEDGER_STEPS is a number of steps")
    });
    panic::set_hook(Box::new(|_| {}));
    let sum = play_all(&seeds, steps);
    drop(panic::take_hook());
    let [done, not_run, unknown] = sum.told;
    println!(
        "seeds {} to {}, {steps} steps each",
        seeds.start,
        seeds.end - 1
    );
    println!("told done {done}, not run {not_run}, unknown {unknown}");
    println!(
        "takeovers {}, claims {}, hand-overs by word {}, by the table {}, given back {}",
        sum.takeovers, sum.claims, sum.handovers, sum.swaps, sum.renewals
    );
    println!("broken {}", sum.broken.len());
    for (seed, promise) in &sum.broken {
        println!("  {seed}: {promise}");
    }
    assert!(
        sum.broken.is_empty(),
        "{} seeds broke a promise",
        sum.broken.len()
    );
}
