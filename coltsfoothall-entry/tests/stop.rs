//! Planned stops are graceful, in separate processes.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod crowd;
mod system;

use std::time::Duration;

use crowd::{Crowd, Mix, Told};
use system::{Shape, System};
use tokio::time::sleep;

/// Engines slow enough that a stop meets answers half way.
const SLOW: &str = "batch: {step_us: 20000}\n";

async fn start(entries: usize) -> System {
    System::start(Shape {
        engine: SLOW.into(),
        entries,
        ..Shape::default()
    })
    .await
}

/// Checks that each answer is whole and came without a connection cut on its way.
async fn none_cut(system: &System, crowd: Crowd, seed: u64) {
    let told = crowd.finish().await;
    for Told { ask, result } in &told {
        let Ok(outcome) = result else {
            panic!("seed {seed}: {result:?}\n{}", system.logs());
        };
        crowd::check_whole(ask, outcome);
        let cut = (outcome.effort.resumes, outcome.effort.resends);
        assert_eq!(
            cut,
            (0, 0),
            "seed {seed}, request {}, {:?}\n{}",
            outcome.key,
            outcome.breaks,
            system.logs()
        );
    }
    system.assert_sound().await;
    println!("seed {seed}: {} whole", told.len());
}

/// Stops an entry instance and waits for its end.
async fn stop(system: &mut System, at: usize) {
    system.entries[at].stop();
    assert!(
        system.entries[at].ended().await,
        "entry-{} ended badly\n{}",
        at + 1,
        system.logs()
    );
    let log = system.log(&system.entries[at].name);
    assert!(
        !log.contains("E104"),
        "entry-{} cut requests off\n{log}",
        at + 1
    );
}

async fn until_up(system: &System, at: usize) {
    system
        .until("instance is back", async |system| {
            let status = system.status(at).await;
            status.is_some_and(|status| status.revision.0 > 0 && status.members.len() > 1)
        })
        .await;
}

#[tokio::test]
async fn rolling_replacement() {
    for seed in 1..3 {
        let mut system = start(4).await;
        let mix = Mix {
            seed,
            each: 12,
            ..Mix::default()
        };
        let crowd = Crowd::start(&system, &mix);
        for at in 0..4 {
            sleep(Duration::from_millis(500)).await;
            stop(&mut system, at).await;
            system.start_entry(at);
            until_up(&system, at).await;
            system.until_backed().await;
        }
        none_cut(&system, crowd, seed).await;
    }
}

#[tokio::test]
async fn during_outage() {
    for seed in 11..13 {
        let mut system = start(4).await;
        let store = system.store.clone();
        let mix = Mix {
            seed,
            each: 8,
            ..Mix::default()
        };
        let crowd = Crowd::start(&system, &mix);
        system.fault(&store, r#"{"down": true}"#).await;
        for at in 0..3 {
            sleep(Duration::from_millis(500)).await;
            stop(&mut system, at).await;
            system.start_entry(at);
            until_up(&system, at).await;
        }
        system.fault(&store, "{}").await;
        none_cut(&system, crowd, seed).await;
        system.until_backed().await;
    }
}

#[tokio::test]
async fn last_connections() {
    // All at once: nobody is left to take anything over.
    let shape = Shape {
        engine: SLOW.into(),
        entries: 2,
        times: "  stop: 55000\n".into(),
        ..Shape::default()
    };
    let mut system = System::start(shape).await;
    let mix = Mix {
        seed: 21,
        callers: 12,
        each: 1,
        shares: [6, 4, 0],
        tokens: 600,
    };
    let crowd = Crowd::start(&system, &mix);
    system
        .until("all requests are open", async |system| {
            let mut open = 0;
            for at in 0..2 {
                open += system.status(at).await.map_or(0, |status| status.open);
            }
            u64::from(open) == 12
        })
        .await;
    system.entries[0].stop();
    system.entries[1].stop();
    none_cut(&system, crowd, 21).await;
    for at in 0..2 {
        assert!(
            system.entries[at].ended().await,
            "entry-{}\n{}",
            at + 1,
            system.logs()
        );
    }
}
