//! Runs the simulated world of the ledger over any range of seeds, by hand.
//!
//! `LEDGER_SEEDS=200000..290000 cargo test --release -p coltsfoothall --test ledger_range -- --ignored --nocapture`
//!
//! `LEDGER_STEPS` sets the steps of each world; the default is 1,500. The run uses all processors and ends with a summary: the reported outcomes, how slots changed hands, and each failed seed with the guarantee that it violated.

mod world;

use std::any::Any;
use std::ops::Range;
use std::panic;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use world::World;

/// Steps of a world, as in the tests with fixed seeds.
const STEPS: u64 = 1500;

/// Seeds between two progress lines.
const PROGRESS: u64 = 10_000;

/// Totals over the worlds of a range.
#[derive(Debug, Default)]
struct Summary {
    reported: [u64; 3],
    takeovers: u64,
    claims: u64,
    direct_handoffs: u64,
    table_handovers: u64,
    handbacks: u64,
    /// Seeds that violated a guarantee, with the message.
    violations: Vec<(u64, String)>,
}

impl Summary {
    fn add(&mut self, world: &World) {
        let reported = self.reported.iter_mut().zip(world.reported);
        reported.for_each(|(sum, count)| *sum += u64::from(count));
        self.takeovers += u64::from(world.takeovers);
        self.claims += u64::from(world.claims);
        self.direct_handoffs += u64::from(world.direct_handoffs);
        self.table_handovers += u64::from(world.table_handovers);
        self.handbacks += u64::from(world.handbacks);
    }
}

fn run_world(seed: u64, steps: u64) -> World {
    let mut world = World::new(seed);
    world.run(steps);
    world.check_recovery();
    world
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("no reason").replace('\n', " ")
}

fn run_worlds(seeds: &Range<u64>, steps: u64) -> Summary {
    let next = AtomicU64::new(seeds.start);
    let summary = Mutex::new(Summary::default());
    let worker = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let result = panic::catch_unwind(|| run_world(seed, steps));
            let mut summary = summary
                .lock()
                .expect("no worker panics while holding the summary");
            match result {
                Ok(world) => summary.add(&world),
                Err(panic) => summary.violations.push((seed, panic_text(&*panic))),
            }
            let done = seed + 1 - seeds.start;
            if done.is_multiple_of(PROGRESS) {
                eprintln!("{done} done, {} violations", summary.violations.len());
            }
        }
    };
    let workers = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        (0..workers).for_each(|_| drop(scope.spawn(worker)));
    });
    let mut summary = summary
        .into_inner()
        .expect("no worker panics while holding the summary");
    summary.violations.sort();
    summary
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
#[ignore = "run by hand, over a range of seeds"]
fn seed_range() {
    let seeds = range(&std::env::var("LEDGER_SEEDS").unwrap_or_else(|_| "0..1000".into()));
    let steps = std::env::var("LEDGER_STEPS").map_or(STEPS, |text| {
        text.parse().expect("LEDGER_STEPS is a number of steps")
    });
    panic::set_hook(Box::new(|_| {}));
    let summary = run_worlds(&seeds, steps);
    drop(panic::take_hook());
    let [done, not_run, unknown] = summary.reported;
    println!(
        "seeds {} to {}, {steps} steps each",
        seeds.start,
        seeds.end - 1
    );
    println!("reported done {done}, not run {not_run}, unknown {unknown}");
    println!(
        "takeovers {}, claims {}, direct handoffs {}, handovers by the table {}, handed back {}",
        summary.takeovers,
        summary.claims,
        summary.direct_handoffs,
        summary.table_handovers,
        summary.handbacks
    );
    println!("violations {}", summary.violations.len());
    for (seed, violation) in &summary.violations {
        println!("  {seed}: {violation}");
    }
    assert!(
        summary.violations.is_empty(),
        "{} seeds violated a guarantee",
        summary.violations.len()
    );
}
