//! Accepted requests survive announced reclaims, in separate processes.

mod crowd;
mod system;

use std::time::Duration;

use coltsfoothall_wire::fault::Outcome;
use crowd::{Crowd, Mix, Told};
use system::{Shape, System};
use tokio::time::sleep;

/// Engines slow enough that a reclaim meets answers half way.
const SLOW: &str = "batch: {step_us: 25000}\n";

/// When the reclaim comes: answers have begun, and others are still to come.
const MIDDLE: Duration = Duration::from_millis(1200);

/// Notice as short as clouds give it.
const NOTICE: Duration = Duration::from_secs(4);

async fn start() -> System {
    System::start(Shape {
        engine: SLOW.into(),
        engines: 4,
        entries: 4,
        ..Shape::default()
    })
    .await
}

/// Takes instances back: notice, then death whatever they do.
async fn take_back(system: &mut System, names: &[&str]) {
    notify(system, names).await;
    sleep(NOTICE).await;
    kill(system, names);
}

async fn notify(system: &System, names: &[&str]) {
    let body = format!(
        r#"{{"instances": {names:?}, "notice_ms": {}}}"#,
        NOTICE.as_millis()
    );
    system.reclaim(&body).await;
}

fn kill(system: &mut System, names: &[&str]) {
    let parts = system
        .entries
        .iter_mut()
        .chain(&mut system.engines)
        .chain(&mut system.services);
    for part in parts.filter(|part| names.contains(&part.name.as_str())) {
        part.kill();
    }
}

fn nothing(_told: &Told) -> bool {
    false
}

/// A call that may not be repeated and was running where a process died
/// unannounced: nobody can say more than that its outcome is unknown.
fn unknown_call(told: &Told) -> bool {
    told.once() && told.fate() == Some(Outcome::Unknown)
}

/// Takes instances back in the middle of answers; each arrives whole.
async fn survives(seeds: std::ops::Range<u64>, names: &[&str]) {
    for seed in seeds {
        let mut system = start().await;
        let mix = Mix {
            seed,
            ..Mix::default()
        };
        let crowd = Crowd::start(&system, &mix);
        sleep(MIDDLE).await;
        take_back(&mut system, names).await;
        crowd.all_whole(&system, nothing).await;
        system.assert_sound().await;
    }
}

#[tokio::test]
async fn engine_reclaimed() {
    survives(1..3, &["engine-1", "desk-1"]).await;
}

#[tokio::test]
async fn entry_reclaimed() {
    survives(11..13, &["entry-2"]).await;
}

#[tokio::test]
async fn both_reclaimed() {
    survives(21..23, &["entry-1", "engine-2", "desk-2"]).await;
}

#[tokio::test]
async fn domains_reclaimed() {
    // Two of three failure domains, the second while the first is leaving.
    let first = ["entry-1", "entry-4", "engine-1", "engine-4", "desk-1"];
    let second = ["entry-2", "engine-2", "desk-2"];
    let shape = Shape {
        engine: SLOW.into(),
        engines: 5,
        entries: 6,
        services: 3,
        ..Shape::default()
    };
    let mut system = System::start(shape).await;
    let crowd = Crowd::start(
        &system,
        &Mix {
            seed: 31,
            ..Mix::default()
        },
    );
    sleep(MIDDLE).await;
    notify(&system, &first).await;
    sleep(NOTICE / 2).await;
    notify(&system, &second).await;
    sleep(NOTICE / 2).await;
    kill(&mut system, &first);
    sleep(NOTICE / 2).await;
    kill(&mut system, &second);
    crowd.all_whole(&system, nothing).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn killed_early() {
    for seed in 41..43 {
        let mut system = start().await;
        let crowd = Crowd::start(
            &system,
            &Mix {
                seed,
                ..Mix::default()
            },
        );
        sleep(MIDDLE).await;
        notify(&system, &["entry-3", "engine-3"]).await;
        sleep(Duration::from_millis(30 * seed % 100)).await;
        kill(&mut system, &["entry-3", "engine-3"]);
        crowd.all_whole(&system, unknown_call).await;
        system.assert_sound().await;
    }
}

#[tokio::test]
async fn service_down() {
    for seed in 51..53 {
        let mut system = start().await;
        let store = system.store.clone();
        system.fault(&store, r#"{"down": true}"#).await;
        let crowd = Crowd::start(
            &system,
            &Mix {
                seed,
                ..Mix::default()
            },
        );
        sleep(MIDDLE).await;
        take_back(&mut system, &["entry-2", "engine-1", "desk-1"]).await;
        crowd.all_whole(&system, nothing).await;
        system.fault(&store, "{}").await;
        system.assert_sound().await;
    }
}
