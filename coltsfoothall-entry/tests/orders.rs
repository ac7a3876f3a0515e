//! Stewards and their orders to engines, in separate processes.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod steward;
mod system;

use std::time::Duration;

use coltsfoothall_standin::report::Counts;
use coltsfoothall_wire::engine::{Loaded, Role, State};
use coltsfoothall_wire::operator::Verdict;
use steward::{Traffic, holder, until_holder};
use system::{MODEL, Shape, System};
use tokio::time::sleep;

const STEWARDS: &str = "  lease: 3000\n  flight: 500\n  settle: 1000\n  fall: 600000";

/// An engine's settings: a load takes half a second.
const ENGINE: &str = "model_size: 1000000000\nload_rate: 2000000000\n";

/// Longest flight of an order, as in the settings.
const FLIGHT: Duration = Duration::from_millis(500);

/// Looks at what should not happen.
const LOOKS: u32 = 60;

fn shape(engine: &str) -> Shape {
    let engine = format!("{ENGINE}{engine}");
    Shape {
        services: 0,
        engine,
        stewards: STEWARDS.into(),
        ..Shape::default()
    }
}

async fn states(system: &System) -> Vec<State> {
    let mut states = Vec::new();
    for engine in &system.engines {
        states.push(system.get(&engine.address, "/v1/state").await);
    }
    states
}

async fn orders(system: &System) -> Vec<u64> {
    let mut orders = Vec::new();
    for engine in &system.engines {
        let counts: Counts = system.get(&engine.address, "/v1/counts").await;
        orders.push(counts.orders_taken);
    }
    orders
}

fn runs(state: &State, version: u32) -> bool {
    let loaded = Loaded {
        name: MODEL.into(),
        version,
    };
    state.model == Some(loaded) && state.role == Role::Mixed && state.loading.is_none()
}

async fn until_runs(system: &System, version: u32) {
    let whole = async |system: &System| states(system).await.iter().all(|s| runs(s, version));
    system
        .until(&format!("version {version} on all engines"), whole)
        .await;
}

/// Confirms a version at one entry instance.
async fn set_version(system: &System, at: usize, version: u32) {
    let intent = format!("models:\n  - {{name: {MODEL}, version: {version}}}\n");
    system
        .until("version confirmed", async |system| {
            let Some(plan) = system.plan(at, &intent).await else {
                return false;
            };
            matches!(system.settle(at, &plan).await, Some(Verdict::Accepted(_)))
        })
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_rolls() {
    let system = System::start(shape("")).await;
    until_holder(&system, None).await;
    let traffic = [Traffic::start(&system, 1), Traffic::start(&system, 2)];
    set_version(&system, 0, 2).await;
    let mut before = vec![false; system.engines.len()];
    let mut most = 0;
    system
        .until("version 2 on all engines", async |system| {
            states(system).await.iter().all(|state| runs(state, 2))
        })
        .await;
    // The second change is watched: of three engines two must always serve.
    set_version(&system, 0, 3).await;
    for _look in 0..3000 {
        let states = states(&system).await;
        let out = |state: &State| state.model.is_none() || state.role == Role::Drain;
        let now: Vec<bool> = states.iter().map(out).collect();
        // Reads follow one another, so only what is seen twice counts.
        let both = before
            .iter()
            .zip(&now)
            .filter(|(before, now)| **before && **now)
            .count();
        most = most.max(both);
        before = now;
        if states.iter().all(|state| runs(state, 3)) {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    until_runs(&system, 3).await;
    assert_eq!(most, 1, "engines out of service at once\n{}", system.logs());
    for traffic in traffic {
        assert!(traffic.end().await > 0);
    }
    system.assert_sound().await;
}

/// Whether an entry instance says that it orders now.
fn says_orders(system: &System, at: usize, orders: bool) -> bool {
    let log = system.log(&system.entries[at].name);
    let last = log.lines().rfind(|line| line.contains("E311"));
    last.is_some_and(|line| line.contains(&format!("orders={orders}")))
}

/// The entry instance that holds the key and may order.
async fn until_orders(system: &System) -> usize {
    let orders = async |system: &System| {
        holder(system)
            .await
            .is_some_and(|holder| says_orders(system, holder, true))
    };
    system.until("a steward that orders", orders).await;
    holder(system).await.unwrap()
}

/// Pauses the steward in the midst of a rollout past its lease, lets its
/// successor roll a newer version out, and wakes it.
async fn woken(system: &mut System) {
    for version in [2, 4] {
        let old = until_orders(system).await;
        set_version(system, old, version).await;
        let begun = async |system: &System| {
            states(system)
                .await
                .iter()
                .any(|state| !runs(state, version - 1))
        };
        system.until("the first order", begun).await;
        system.entries[old].pause();
        let new = until_holder(system, Some(old)).await;
        set_version(system, new, version + 1).await;
        until_runs(system, version + 1).await;
        let taken = orders(system).await;
        system.entries[old].wake();
        for _look in 0..LOOKS {
            for state in states(system).await {
                assert!(runs(&state, version + 1), "{state:?}\n{}", system.logs());
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(
            orders(system).await,
            taken,
            "orders after the wake\n{}",
            system.logs()
        );
        system.until_backed().await;
    }
    system.assert_sound().await;
}

#[tokio::test]
async fn woken_ignored() {
    woken(&mut System::start(shape("fencing: ignored\n")).await).await;
}

#[tokio::test]
async fn woken_checked() {
    let mut system = System::start(shape("fencing: checked\n")).await;
    let kind = "{model: {model: rights-1}}";
    let service = format!("{{name: rights-reader, kind: {kind}, fencing: checked}}");
    system.confirm(&format!("services:\n  - {service}\n")).await;
    system.until_in_force(2).await;
    woken(&mut system).await;
}

#[tokio::test]
async fn store_outage() {
    let system = System::start(shape("")).await;
    let steward = until_orders(&system).await;
    // The change takes longer than the lease, so the outage comes in its midst.
    set_version(&system, 0, 2).await;
    let begun = async |system: &System| orders(system).await.iter().sum::<u64>() > 0;
    system.until("the first order", begun).await;
    system.fault(&system.store, r#"{"down": true}"#).await;
    system
        .until("no orders", async |system| {
            says_orders(system, steward, false)
        })
        .await;
    sleep(FLIGHT).await;
    let taken = orders(&system).await;
    for _look in 0..LOOKS {
        assert_eq!(orders(&system).await, taken, "{}", system.logs());
        sleep(Duration::from_millis(50)).await;
    }
    let current = states(&system)
        .await
        .iter()
        .filter(|state| runs(state, 2))
        .count();
    assert!(
        current < system.engines.len(),
        "the change was over before the outage"
    );
    system.fault(&system.store, "{}").await;
    until_runs(&system, 2).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn answers_lost() {
    let mut system = System::start(shape("")).await;
    for version in [2, 3] {
        let old = until_holder(&system, None).await;
        system.fault(&system.store, r#"{"lose_every": 2}"#).await;
        system.entries[old].kill();
        let new = until_holder(&system, Some(old)).await;
        set_version(&system, new, version).await;
        until_runs(&system, version).await;
        system.fault(&system.store, "{}").await;
        system.start_entry(old);
        system.until_backed().await;
    }
    system.assert_sound().await;
}
