//! Goodput of engines by their load, with requests that wait in the queues of engines and without.
//!
//! `cargo bench -p coltsfoothall --bench admission`

#[path = "../tests/overload/mod.rs"]
mod overload;

use overload::{Scenario, capacity, run};

/// Engines, their slots, and the instances that choose among them.
const DEPLOYMENTS: [(usize, u32, usize); 2] = [(24, 16, 24), (20, 128, 10)];
const LOADS: [f64; 7] = [0.5, 0.8, 1.0, 1.5, 3.0, 6.0, 10.0];

fn main() {
    for (engines, slots, instances) in DEPLOYMENTS {
        let full = capacity(slots) * engines as f64;
        println!("engines={engines} slots={slots} instances={instances} capacity={full:.0}/s");
        for load in LOADS {
            print!("load={load}");
            for queueing in [false, true] {
                let outcome = run(Scenario {
                    instances,
                    engines,
                    slots,
                    load,
                    queueing,
                    settle: 5,
                    measured: 10,
                    seed: 1,
                });
                print!(
                    " queueing={queueing} goodput={:.0}/s late={} sent={:.3} short={:.3} long={:.3} large={:.3};",
                    outcome.goodput,
                    outcome.all.sent - outcome.all.timely,
                    outcome.all.share_sent(),
                    outcome.kinds[0].share_sent(),
                    outcome.kinds[1].share_sent(),
                    outcome.large.share_sent(),
                );
            }
            println!();
        }
    }
}
