//! Stewards and their starts and stops of instances, in separate processes.

mod steward;
mod system;

use std::time::Duration;

use coltsfoothall_wire::cloud::{Lend, Machine, Machines, Phase};
use steward::{Traffic, until_holder};
use system::{Shape, System};
use tokio::time::sleep;

/// The load is what the first instances carry and doesn't fall in a test.
const STEWARDS: &str = "  lease: 3000\n  flight: 500\n  lag: 1500\n  backoff: 1000\n  \
                        drain: 1500\n  offers: 5000\n  fall: 600000000";

const BUY: &str = "
services:
  - {name: rights-reader, kind: {model: {model: rights-1}}, min: 2, max: 12}
";

fn shape() -> Shape {
    Shape {
        services: 0,
        spares: 12,
        stewards: STEWARDS.into(),
        ..Shape::default()
    }
}

async fn engines(system: &System) -> Vec<Machine> {
    let list: Machines = system.get(&system.cloud, "/v1/instances").await;
    list.machines
        .into_iter()
        .filter(|m| m.service.as_str() == "rights-reader")
        .collect()
}

fn live(machines: &[Machine]) -> usize {
    machines
        .iter()
        .filter(|machine| machine.phase == Phase::Live)
        .count()
}

/// Instances that were started, from the newest name in the list and the logs.
async fn started(system: &System) -> u32 {
    let number = |name: &str| name.strip_prefix("started-")?.parse().ok();
    let listed = engines(system).await;
    let listed = listed
        .iter()
        .filter_map(|machine| number(machine.id.as_str()));
    let mut newest = listed.max().unwrap_or(0);
    for part in &system.entries {
        let log = system.log(&part.name);
        let words = log
            .split_whitespace()
            .filter_map(|word| word.strip_prefix("instance="));
        newest = newest.max(words.filter_map(number).max().unwrap_or(0));
    }
    newest
}

/// Live instances that stay when any one failure domain loses its reclaimable ones.
fn stays(machines: &[Machine]) -> usize {
    let live = || machines.iter().filter(|m| m.phase == Phase::Live);
    let in_domain = |domain: &str| {
        let here = |m: &&Machine| m.domain.as_str() == domain && m.lend == Lend::Reclaimable;
        live().filter(here).count()
    };
    let worst = system::DOMAINS.iter().map(|domain| in_domain(domain)).max();
    live().count() - worst.unwrap_or(0)
}

/// The reclaimed are gone and the set is again as cheap and as safe as the
/// first: one in each domain.
async fn until_settled(system: &System, reclaimed: &[String]) {
    system
        .until("the cheapest set", async |system| {
            let machines = engines(system).await;
            // The list lags, so it may not know of the reclaim yet.
            let old = machines.iter().any(|m| is_of(m, reclaimed));
            !old && machines.len() == 3 && live(&machines) == 3 && stays(&machines) == 2
        })
        .await;
}

fn is_of(machine: &Machine, names: &[String]) -> bool {
    names.iter().any(|name| name == machine.id.as_str())
}

/// Takes engines back; gives their names.
async fn reclaim(system: &System, doomed: &[&Machine], notice_ms: u64) -> Vec<String> {
    let names: Vec<String> = doomed.iter().map(|m| m.id.as_str().to_owned()).collect();
    // Entry instances in the same domains stay, so the engines are named.
    let body = format!(r#"{{"instances": {names:?}, "notice_ms": {notice_ms}}}"#);
    system.reclaim(&body).await;
    names
}

/// Takes the engines of two domains back and waits until they are gone; gives
/// the others that were live just before.
async fn wave(system: &System, notice_ms: u64) -> usize {
    let domains = &system::DOMAINS[..2];
    let old = engines(system).await;
    let here = |m: &&Machine| domains.contains(&m.domain.as_str()) && m.lend == Lend::Reclaimable;
    let doomed: Vec<&Machine> = old.iter().filter(here).collect();
    assert!(!doomed.is_empty(), "{}", system.logs());
    let names = reclaim(system, &doomed, notice_ms).await;
    let mut before = 0;
    for _look in 0..3000 {
        let (old, others): (Vec<Machine>, Vec<Machine>) = engines(system)
            .await
            .into_iter()
            .partition(|m| is_of(m, &names));
        if old.len() < names.len() {
            until_settled(system, &names).await;
            return before;
        }
        before = live(&others);
        sleep(Duration::from_millis(20)).await;
    }
    panic!("not taken back\n{}", system.logs());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_before_gone() {
    let system = System::start(shape()).await;
    system.confirm(BUY).await;
    system.until_in_force(2).await;
    let traffic = Traffic::start(&system, 5);
    // Lost answers are asked for again, and start nothing more.
    system.fault(&system.cloud, r#"{"lose_every": 2}"#).await;
    let before = wave(&system, 15_000).await;
    assert!(
        before >= 2,
        "{before} live as the old ones went\n{}",
        system.logs()
    );
    assert_eq!(started(&system).await, 2, "{}", system.logs());
    system.fault(&system.cloud, r#"{"refuse_starts": 3}"#).await;
    let before = wave(&system, 15_000).await;
    assert!(
        before >= 2,
        "{before} live as the old ones went\n{}",
        system.logs()
    );
    let count = started(&system).await;
    // Two for each wave, and as many substitutes with their exchange back.
    assert!(
        (4..=12).contains(&count),
        "{count} starts\n{}",
        system.logs()
    );
    assert!(traffic.end().await > 0);
    system.assert_sound().await;
}

#[tokio::test]
async fn no_storm() {
    // The list lags longer than it takes until there is another steward.
    let stewards = STEWARDS.replace("lag: 1500", "lag: 13000");
    let mut system = System::start(Shape {
        list_lag_ms: 12_000,
        stewards,
        ..shape()
    })
    .await;
    system
        .confirm(&BUY.replace("min: 2", "fencing: checked, min: 2"))
        .await;
    system.until_in_force(2).await;
    let steward = until_holder(&system, None).await;
    let old = engines(&system).await;
    let doomed: Vec<&Machine> = old.iter().take(2).collect();
    system.fault(&system.cloud, r#"{"lose_every": 2}"#).await;
    let names = reclaim(&system, &doomed, 45_000).await;
    // The steward goes in the midst of its starts, and comes back at once.
    system
        .until("a start", async |system| started(system).await > 0)
        .await;
    system.entries[steward].kill();
    system.start_entry(steward);
    until_settled(&system, &names).await;
    // Nothing more is started once the set is whole.
    for _look in 0..100 {
        assert_eq!(started(&system).await, 2, "{}", system.logs());
        sleep(Duration::from_millis(50)).await;
    }
    system.until_backed().await;
    system.assert_sound().await;
}
