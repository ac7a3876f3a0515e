//! An endpoint that is leaving gets no new work, although only one entry
//! instance hears of it from the platform and the instance list lags.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::time::Duration;

use coltsfoothall_standin::report::Counts;
use coltsfoothall_wire::caller::Prompt;
use system::{MODEL, Shape, System};
use tokio::sync::watch;
use tokio::time::sleep;

const ENTRIES: usize = 5;
/// Time in which a notice has to be known everywhere.
const SECONDS: Duration = Duration::from_secs(3);

fn prompt(text: &str, tokens: u64) -> Prompt {
    Prompt {
        model: MODEL.into(),
        prompt: text.into(),
        max_tokens: tokens,
        stream: true,
    }
}

async fn taken(system: &System, engine: usize) -> u64 {
    let address = &system.engines[engine].address;
    system.get::<Counts>(address, "/v1/counts").await.attempts
}

#[tokio::test]
async fn one_hears() {
    let shape = Shape {
        entries: ENTRIES,
        engines: 4,
        services: 1,
        ..Shape::default()
    };
    let system = System::start(shape).await;
    let (stop, stopped) = watch::channel(false);
    let callers: Vec<_> = (0..10)
        .map(|seed| {
            let caller = system.caller_of(&[seed as usize % ENTRIES], seed);
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut asked = 0;
                while !*stopped.borrow() {
                    let text = format!("caller {seed} asks {asked}");
                    let outcome = caller.complete(&prompt(&text, 12)).await;
                    let outcome = outcome.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                    assert_eq!(outcome.tokens, 12, "seed {seed}");
                    asked += 1;
                }
            })
        })
        .collect();
    let leaving = 1;
    system
        .until("work at the engine", async |system| {
            taken(system, leaving).await > 5
        })
        .await;
    system
        .fault(&system.cloud, r#"{"hearers": 1, "list_lag_ms": 20000}"#)
        .await;
    system
        .reclaim(
            r#"{"instances": ["engine-2"], "domains": [], "domain": null, "notice_ms": 60000}"#,
        )
        .await;
    sleep(SECONDS).await;
    let then = taken(&system, leaving).await;
    let others = taken(&system, 0).await + taken(&system, 2).await + taken(&system, 3).await;
    let much = others + 200;
    system
        .until("work at the others", async |system| {
            let now = taken(system, 0).await + taken(system, 2).await + taken(system, 3).await;
            now > much
        })
        .await;
    sleep(Duration::from_secs(4)).await;
    let later = taken(&system, leaving).await;
    stop.send_replace(true);
    for caller in callers {
        caller
            .await
            .unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
    }
    assert_eq!(
        then,
        later,
        "new attempts at a leaving endpoint\n{}",
        system.logs()
    );
    let heard: Vec<usize> = (0..ENTRIES)
        .map(|at| platform_notices(&system, at))
        .collect();
    assert_eq!(
        heard.iter().sum::<usize>(),
        1,
        "heard from the platform: {heard:?}"
    );
    system.assert_sound().await;
}

fn platform_notices(system: &System, entry: usize) -> usize {
    let log = system
        .folder
        .join(format!("{}.log", system.entries[entry].name));
    let log = std::fs::read_to_string(log).unwrap();
    log.lines()
        .filter(|line| line.contains("E301") && line.contains("heard=platform"))
        .count()
}
