//! Prints what the exchange of state costs an instance, for fleets of several sizes.

use coltsfoothall::forward::capacity::Fleet;
use coltsfoothall::size::Megabits;

/// Requests a second for each instance of the largest deployment.
const REQUESTS_PER_INSTANCE: f64 = 1.1;

fn main() {
    println!(
        "| instances | active | round, s | detection, s | heartbeats/s | digests/s | active kB/s | standby kB/s | readers |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for instances in [30, 100, 195, 300, 985, 2_000] {
        let fleet = Fleet {
            instances,
            domains: 5,
            wide: (10, Megabits(200)),
            link: Megabits(20),
            requests: instances as f64 * REQUESTS_PER_INSTANCE,
            workspaces: 333,
        };
        let cost = fleet.cost();
        println!(
            "| {instances} | {} | {:.1} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {} |",
            cost.active,
            cost.round.as_secs_f64(),
            cost.detection.as_secs_f64(),
            cost.heartbeats,
            cost.digests,
            cost.active_bytes / 1e3,
            cost.standby_bytes / 1e3,
            cost.readers,
        );
    }
}
