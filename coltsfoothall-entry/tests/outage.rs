//! The key-value service is down, slow or loses its answers: requests go on as
//! far as they can be kept safe, and everything recovers afterwards.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::time::Duration;

use coltsfoothall::key::Key;
use coltsfoothall_call::ask::{Ask, Origin, Work};
use coltsfoothall_standin::service::Counts;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::{Body, Code, Fault, Outcome};
use coltsfoothall_wire::http;
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use system::{MODEL, Shape, System, TOKEN};
use tokio::time::{sleep, timeout};

const DOWN: &str = r#"{"down": true}"#;
/// Longer than the time after which a silent instance is taken for dead.
const PAUSE: Duration = Duration::from_secs(4);
/// Longest wait for an answer; its passing fails the test.
const PATIENCE: Duration = Duration::from_secs(30);

fn prompt(text: &str, tokens: u64) -> Prompt {
    Prompt {
        model: MODEL.into(),
        prompt: text.into(),
        max_tokens: tokens,
        stream: true,
    }
}

/// A call that may run only once.
fn quote(number: u64) -> Ask {
    Ask::new(Work::Call {
        service: "clerk-desk".parse().unwrap(),
        method: Method::POST,
        path: format!("/quotes/{number}"),
        body: number.to_string().into(),
    })
}

async fn runs(system: &System) -> u64 {
    let mut runs = 0;
    for service in &system.services {
        runs += system.get::<Counts>(&service.address, "/counts").await.runs;
    }
    runs
}

/// Waits until calls that may run only once are done at each entry instance.
async fn until_safe(system: &System) {
    // Callers' own keys of a slot that was claimed without its records are
    // answered "unknown" for as long as ended requests are kept.
    let fresh = Ask {
        origin: Origin::Minted,
        ..quote(0)
    };
    system
        .until("calls are done again", async |system| {
            for at in system.running() {
                let outcome = system.caller_of(&[at], 7).ask(&fresh).await;
                if outcome.is_err() {
                    return false;
                }
            }
            true
        })
        .await;
}

#[tokio::test]
async fn completions_go_on() {
    for seed in [31, 32] {
        let mut system = System::start(Shape::default()).await;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let store = system.store.clone();
        system.fault(&store, DOWN).await;
        let mut tasks = Vec::new();
        for number in 0..24 {
            let caller = system.caller(seed * 100 + number);
            let prompt = prompt(&format!("outage {number}"), 150);
            tasks.push(tokio::spawn(async move { caller.complete(&prompt).await }));
        }
        sleep(Duration::from_millis(rng.random_range(100..1200))).await;
        let lost = rng.random_range(0..3);
        system.entries[lost].kill();
        for task in tasks {
            let outcome = task.await.unwrap();
            let outcome = outcome.unwrap_or_else(|e| panic!("seed {seed}: {e}\n{}", system.logs()));
            assert_eq!(outcome.tokens, 150, "seed {seed}");
        }
        sleep(PAUSE).await;
        for number in 0..6 {
            let outcome = system
                .caller(seed + number)
                .complete(&prompt("later", 20))
                .await;
            let outcome = outcome.unwrap_or_else(|e| panic!("seed {seed}: {e}\n{}", system.logs()));
            assert_eq!(outcome.tokens, 20, "seed {seed}");
        }
        system.fault(&store, "{}").await;
        system.until_backed().await;
        system.start_entry(lost);
        system.until_backed().await;
        until_safe(&system).await;
        system.assert_sound().await;
    }
}

/// A slot table that was written just before the service went down is known to
/// those whom it names, however long the next heartbeat takes.
#[tokio::test]
async fn just_written() {
    let mut system = System::start(Shape {
        heartbeat_ms: 2000,
        ..Shape::default()
    })
    .await;
    let store = system.store.clone();
    system.entries[2].kill();
    let writer = last_writer(&system).await;
    system.fault(&store, DOWN).await;
    let mut tasks = Vec::new();
    for number in 0..64 {
        let caller = system.caller(number);
        let prompt = prompt(&format!("just written {number}"), 60);
        tasks.push(tokio::spawn(async move { caller.complete(&prompt).await }));
    }
    sleep(Duration::from_millis(100)).await;
    system.entries[writer].kill();
    for task in tasks {
        let outcome = timeout(2 * PATIENCE, task).await;
        let outcome = outcome.unwrap_or_else(|e| panic!("{e}\n{}", system.logs()));
        let outcome = outcome.unwrap();
        let outcome = outcome.unwrap_or_else(|e| panic!("{e}\n{}", system.logs()));
        assert_eq!(outcome.tokens, 60);
    }
    system.fault(&store, "{}").await;
    system.start_entry(writer);
    system.start_entry(2);
    system.until_backed().await;
}

/// Waits until all slots are backed; the owner of a slot that the last write changed.
async fn last_writer(system: &System) -> usize {
    let mut before = system.table().await.unwrap();
    loop {
        let table = system.table().await.unwrap();
        if !system.backed(&table) {
            before = table;
            continue;
        }
        let mut changed = table.iter().zip(before.iter());
        let changed = changed.find(|(new, old)| new.1.epoch > old.1.epoch);
        let ((_, entry), _) = changed.unwrap();
        let owner = entry.primary.as_str();
        let mut entries = system.entries.iter();
        return entries.position(|part| part.name == owner).unwrap();
    }
}

/// What the first entry instance says to a call that it refuses.
async fn refusal(system: &System, number: u64) -> Fault {
    let path = format!("/v1/services/clerk-desk/quotes/{number}");
    let request = Request::post(format!("http://{}{path}", system.entries[0].address))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())
        .unwrap();
    let answer = system.client.send("quote", request, PATIENCE).await;
    let answer = answer.unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
    let body = http::read(answer.into_body(), 1 << 16).await.unwrap();
    http::parse::<Body>(&body).unwrap().error
}

/// With the service down and a copy lost, a call that may run only once is
/// refused with the truth, and nothing of it ran.
#[tokio::test]
async fn refused_as_not_run() {
    let mut system = System::start(Shape {
        entries: 2,
        ..Shape::default()
    })
    .await;
    let store = system.store.clone();
    system.caller(1).ask(&quote(1)).await.unwrap();
    system.fault(&store, DOWN).await;
    // Owner and backup of each slot are there.
    system.caller(2).ask(&quote(2)).await.unwrap();
    let before = runs(&system).await;
    system.entries[1].kill();
    sleep(PAUSE).await;
    for number in 0..20 {
        let fault = refusal(&system, number).await;
        assert_eq!(fault.outcome, Outcome::NotRun, "{fault}\n{}", system.logs());
        assert_eq!(fault.code, Code::NotSafe, "{fault}\n{}", system.logs());
        assert!(fault.retry_after_ms.is_some(), "{fault}");
    }
    assert_eq!(runs(&system).await, before, "{}", system.logs());
    system.fault(&store, "{}").await;
    system.start_entry(1);
    system.until_backed().await;
    until_safe(&system).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn answers_lost() {
    let mut system = System::start(Shape::default()).await;
    let store = system.store.clone();
    system.fault(&store, r#"{"lose_every": 1}"#).await;
    system.entries[0].kill();
    sleep(PAUSE).await;
    system.start_entry(0);
    system.until_backed().await;
    system.fault(&store, "{}").await;
    until_safe(&system).await;
    system.assert_sound().await;
}

/// A write that never arrived stays noted; another one has to settle it, also
/// when what is wanted has changed meanwhile.
#[tokio::test]
async fn write_lost() {
    for seed in [41, 42] {
        let mut system = System::start(Shape {
            entries: 4,
            ..Shape::default()
        })
        .await;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let store = system.store.clone();
        for at in 0..2 {
            system.entries[at].kill();
            sleep(Duration::from_millis(rng.random_range(1400..2200))).await;
            system.fault(&store, r#"{"hang": true}"#).await;
            sleep(PAUSE).await;
            let other = 2 + at;
            system.entries[other].kill();
            system.start_entry(at);
            sleep(PAUSE).await;
            system.fault(&store, "{}").await;
            system.until_backed().await;
            system.start_entry(other);
            system.until_backed().await;
        }
        until_safe(&system).await;
        system.assert_sound().await;
    }
}

/// A key of a caller's own whose slot these two entry instances own and back up.
async fn own_key(system: &System, owner: usize, backup: usize) -> Key {
    let table = system.table().await.unwrap();
    let [owner, backup] = [owner, backup].map(|at| system.entries[at].name.as_str());
    let fits = |key: &Key| {
        let entry = table.entry(key.slot(table.count())).unwrap();
        let named = entry.backup.as_ref().map(|backup| backup.as_str());
        entry.primary.as_str() == owner && named == Some(backup)
    };
    let mut keys = (0..10_000).map(|number| format!("own-{number}").parse::<Key>().unwrap());
    keys.find(fits).unwrap()
}

/// The owner of a call that may run only once falls silent with it, and the one that
/// takes over cannot promise anything while the service is down. The call waits until
/// it can be run, and runs once, also when the first owner comes back.
#[tokio::test]
async fn owner_silent() {
    let system = System::start(Shape::default()).await;
    let store = system.store.clone();
    // Nobody is judged in the first seconds of an instance.
    sleep(2 * PAUSE).await;
    let key = own_key(&system, 0, 1).await;
    let before = runs(&system).await;
    system.fault(&store, DOWN).await;
    system.entries[0].pause();
    let ask = Ask {
        origin: Origin::Given(key),
        ..quote(51)
    };
    let caller = system.caller_of(&[2], 51);
    let asked = tokio::spawn(async move { caller.ask(&ask).await });
    sleep(2 * PAUSE).await;
    system.fault(&store, "{}").await;
    let outcome = timeout(PATIENCE, asked).await.unwrap().unwrap();
    system.entries[0].wake();
    let outcome = outcome.unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
    assert_eq!(outcome.status, 200);
    system.until_backed().await;
    assert_eq!(runs(&system).await, before + 1, "{}", system.logs());
    system.assert_sound().await;
}

/// The owner freezes in the middle of an answer that another instance passes on. Its connections
/// stay open, so that nothing breaks; once another one has taken over, the answer goes on there.
#[tokio::test]
async fn freezes_in_answer() {
    let system = System::start(Shape::default()).await;
    sleep(2 * PAUSE).await;
    let key = own_key(&system, 0, 1).await;
    let ask = Ask {
        origin: Origin::Given(key),
        ..Ask::from(prompt("freezes", 400))
    };
    let caller = system.caller_of(&[2], 61);
    let asked = tokio::spawn(async move { caller.ask(&ask).await });
    sleep(Duration::from_millis(500)).await;
    assert!(!asked.is_finished(), "it is under way");
    system.entries[0].pause();
    let outcome = timeout(PATIENCE, asked).await;
    system.entries[0].wake();
    let outcome = outcome.unwrap_or_else(|_late| panic!("no answer\n{}", system.logs()));
    let outcome = outcome.unwrap();
    let outcome = outcome.unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
    assert_eq!(outcome.tokens, 400);
    assert!(
        outcome.breaks.is_empty(),
        "{:?}\n{}",
        outcome.breaks,
        system.logs()
    );
    system.assert_sound().await;
}
