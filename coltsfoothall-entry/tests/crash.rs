//! A request that kills each engine which runs it, sent again and again.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::time::Duration;

use coltsfoothall_call::caller::{Caller, Error};
use coltsfoothall_standin::report::Counts;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::Code;
use system::{MODEL, Shape, System};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const ENTRIES: usize = 3;
/// One serial caller: the first, one alone, and two more for each other entry
/// instance that may not have heard; see `coltsfoothall::suspicion`.
const SERIAL: usize = 2 + 2 * (ENTRIES - 1);
const SENDS: u64 = 24;

fn prompt(text: &str, tokens: u64) -> Prompt {
    Prompt {
        model: MODEL.into(),
        prompt: text.into(),
        max_tokens: tokens,
        stream: true,
    }
}

fn shape() -> Shape {
    Shape {
        entries: ENTRIES,
        engines: 7,
        services: 1,
        ..Shape::default()
    }
}

/// Callers whose requests run in the same batches; each answer is checked whole.
fn neighbors(system: &System, stop: &watch::Receiver<bool>) -> Vec<JoinHandle<usize>> {
    let callers = (0..10).map(|seed| {
        let caller = system.caller(100 + seed);
        let stop = stop.clone();
        tokio::spawn(async move {
            let mut whole = 0;
            while !*stop.borrow() {
                let text = format!("neighbor {seed} asks {whole}");
                let outcome = caller.complete(&prompt(&text, 60)).await;
                let outcome = outcome.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                assert_eq!(outcome.tokens, 60, "seed {seed}");
                whole += 1;
            }
            whole
        })
    });
    callers.collect()
}

/// Starts engines again that have ended, and counts how many had.
fn restart(system: &mut System) -> usize {
    let mut dead = 0;
    for at in 0..system.engines.len() {
        let process = system.engines[at].process.as_mut().unwrap();
        if process.try_wait().unwrap().is_some() {
            dead += 1;
            system.start_engine(at);
        }
    }
    dead
}

fn is_final(error: &Error) -> bool {
    match error {
        Error::Fault(_, fault) => matches!(fault.code, Code::Poisonous | Code::Failed),
        _ => false,
    }
}

/// Runs sends while engines are watched; returns the engines lost.
async fn watch_sends(system: &mut System, sends: Vec<JoinHandle<()>>) -> usize {
    let mut dead = 0;
    while !sends.iter().all(JoinHandle::is_finished) {
        sleep(Duration::from_millis(250)).await;
        dead += restart(system);
    }
    for send in sends {
        send.await.unwrap();
    }
    sleep(Duration::from_millis(500)).await;
    dead + restart(system)
}

async fn send_over(callers: Vec<Caller>, text: &'static str, sends: u64) {
    for nth in 0..sends {
        let caller = &callers[nth as usize % callers.len()];
        let outcome = caller.complete(&prompt(text, 20)).await;
        let error = outcome.expect_err("an engine that has crashed gives no whole answer");
        assert!(is_final(&error), "send {nth}: {error}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn serial_resends() {
    let mut system = System::start(shape()).await;
    let (stop, stopped) = watch::channel(false);
    let others = neighbors(&system, &stopped);
    sleep(Duration::from_secs(1)).await;
    let callers = (0..ENTRIES)
        .map(|at| system.caller_of(&[at], 7 + at as u64))
        .collect();
    let send = tokio::spawn(send_over(callers, "crash-engine please", SENDS));
    let dead = watch_sends(&mut system, vec![send]).await;
    stop.send_replace(true);
    for other in others {
        let whole = other
            .await
            .unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
        assert!(whole > 0);
    }
    println!("engines lost: {dead}");
    assert!(
        (1..=SERIAL).contains(&dead),
        "{dead} engines lost\n{}",
        system.logs()
    );
    system.assert_sound().await;
}

#[tokio::test]
async fn copies_at_once() {
    let mut system = System::start(shape()).await;
    let (stop, stopped) = watch::channel(false);
    let others = neighbors(&system, &stopped);
    sleep(Duration::from_secs(1)).await;
    let sends = (0..ENTRIES).map(|at| {
        let callers = vec![system.caller_of(&[at], 70 + at as u64)];
        tokio::spawn(send_over(callers, "crash-engine at once", SENDS / 3))
    });
    let sends = sends.collect();
    let dead = watch_sends(&mut system, sends).await;
    stop.send_replace(true);
    for other in others {
        let whole = other
            .await
            .unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
        assert!(whole > 0);
    }
    println!("engines lost: {dead}");
    // So many copies run when the first death is known, and one more alone for
    // each entry instance.
    assert!(
        (1..=2 * ENTRIES).contains(&dead),
        "{dead} engines lost\n{}",
        system.logs()
    );
    system.assert_sound().await;
}

/// A request crashes an engine whose port stays open, and the engine is back at once: every
/// connection to it comes up. Told apart by the port alone it had never died, so its one
/// broken attempt was no evidence, and the request went on to crash all others, at each of its
/// sends: "7 engines lost" in the log of `copies_at_once`, where a restart was as quick.
#[tokio::test]
async fn port_kept() {
    let system = System::start(Shape {
        entries: 1,
        engines: 4,
        services: 1,
        engine: "keeps_port: true".into(),
        ..Shape::default()
    })
    .await;
    // The entry instance reads the engines' reports meanwhile.
    sleep(Duration::from_secs(2)).await;
    let callers = vec![system.caller_of(&[0], 75)];
    send_over(callers, "crash-engine behind a kept port", 6).await;
    let mut dead = 0;
    for engine in &system.engines {
        let counts: Counts = system.get(&engine.address, "/v1/counts").await;
        dead += counts.crashes as usize;
    }
    // The first, and one alone.
    assert!(
        (1..=2).contains(&dead),
        "{dead} engines lost\n{}",
        system.logs()
    );
    system.assert_sound().await;
}
