//! The configuration under failure, over real processes.

mod system;

use std::collections::VecDeque;

use coltsfoothall::confirm::Verdict;
use coltsfoothall_call::caller;
use coltsfoothall_standin::kvserver::Counts;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::Code;
use coltsfoothall_wire::operator::{Catalog, Plan};
use coltsfoothall_wire::store::{Entry, Put};
use hyper::Method;
use system::{MODEL, Shape, System};

const CALM: &str = "{}";
const DOWN: &str = r#"{"down":true}"#;

/// One more workspace.
fn workspace(name: &str) -> String {
    format!("workspaces: [{{name: {name}, tokens: [token-{name}]}}]")
}

fn accepted(verdict: Option<&Verdict>) -> Option<u64> {
    match verdict {
        Some(Verdict::Accepted(revision)) => Some(revision.0),
        _ => None,
    }
}

/// Only entry instances: the configuration needs no endpoints.
fn shape(entries: usize) -> Shape {
    Shape {
        entries,
        engines: 0,
        services: 0,
        ..Shape::default()
    }
}

async fn plan(system: &System, at: usize, intent: &str) -> Plan {
    let made = system.plan(at, intent).await;
    made.unwrap_or_else(|| panic!("no plan from {at}\n{}", system.logs()))
}

async fn catalog(system: &System, at: usize) -> Catalog {
    let held = system
        .operate(at, Method::GET, "/v1/operator/catalog", "")
        .await;
    held.unwrap_or_else(|| panic!("no catalog from {at}\n{}", system.logs()))
}

/// The configuration as the key-value service holds it.
async fn stored(system: &System) -> Catalog {
    let entry: Entry = system.get(&system.store, "/v1/kv/catalog").await;
    serde_json::from_str(&entry.value).expect("the value is a catalog")
}

fn names(catalog: &Catalog) -> Vec<&str> {
    catalog
        .workspaces
        .iter()
        .map(|workspace| workspace.name.as_str())
        .collect()
}

/// The platform's stand-ins listen.
async fn until_platform(system: &System) {
    let within = std::time::Duration::from_secs(1);
    system
        .until("platform", async |system| {
            system
                .client
                .get::<Counts>("counts", &system.store, "/v1/counts", within)
                .await
                .is_ok()
        })
        .await;
}

/// Each instance that runs counts the revision as in force on all of them.
async fn until_counted(system: &System, revision: u64) {
    system
        .until(
            "in force everywhere, by every instance's count",
            async |system| {
                let running = system.running();
                for at in &running {
                    let Some(status) = system.status(*at).await else {
                        return false;
                    };
                    let counted = status.in_force as usize == running.len();
                    if status.revision.0 != revision || !counted {
                        return false;
                    }
                }
                true
            },
        )
        .await;
}

/// Confirms over and over until the plan is settled.
async fn settle(system: &System, at: usize, plan: &Plan) -> Verdict {
    for _ in 0..100 {
        match system.settle(at, plan).await {
            Some(Verdict::Untried { .. } | Verdict::Unsettled { .. }) | None => {}
            Some(verdict) => return verdict,
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("never settled\n{}", system.logs());
}

#[tokio::test]
async fn one_wins() {
    let system = System::start(shape(3)).await;
    for round in 0..8_usize {
        let (one, two) = (round % 3, (round + 1) % 3);
        let first = plan(&system, one, &workspace(&format!("one-{round}"))).await;
        let second = plan(&system, two, &workspace(&format!("two-{round}"))).await;
        assert_eq!(first.base, second.base, "round {round}");
        let (a, b) = tokio::join!(settle(&system, one, &first), settle(&system, two, &second));
        let (winner, loser, name) = match (&a, &b) {
            (Verdict::Accepted(_), other) => (&a, other, format!("one-{round}")),
            (other, _) => (&b, other, format!("two-{round}")),
        };
        let revision = accepted(Some(winner));
        assert_eq!(
            revision,
            Some(first.base.0 + 1),
            "round {round}: {a:?} {b:?}"
        );
        let Verdict::Stale {
            current,
            since,
            changed,
        } = loser
        else {
            panic!("round {round}: {a:?} {b:?}");
        };
        assert_eq!(
            (Some(current.0), *since),
            (revision, Some(first.base)),
            "round {round}"
        );
        let told: Vec<&str> = changed.iter().map(|step| step.name.as_str()).collect();
        assert_eq!(told, [name.as_str()], "round {round}");
        until_counted(&system, current.0).await;
    }
    system.assert_sound().await;
}

#[tokio::test]
async fn answer_lost() {
    let system = System::start(shape(3)).await;
    system.fault(&system.store, r#"{"lose_every":1}"#).await;
    for round in 0..4_usize {
        let made = plan(&system, round % 3, &workspace(&format!("late-{round}"))).await;
        let verdict = system.settle(round % 3, &made).await;
        let revision = accepted(verdict.as_ref());
        assert_eq!(
            revision,
            Some(made.base.0 + 1),
            "round {round}: {verdict:?}"
        );
        // The same plan through another instance has no second effect.
        let again = system.settle((round + 1) % 3, &made).await;
        assert_eq!(
            accepted(again.as_ref()),
            revision,
            "round {round}: {again:?}"
        );
        assert_eq!(
            stored(&system).await.revision.0,
            made.base.0 + 1,
            "round {round}"
        );
    }
    let lost = system.get::<Counts>(&system.store, "/v1/counts").await.lost;
    assert!(lost >= 4, "{lost} answers were lost");
    until_counted(&system, 5).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn outage_told() {
    let system = System::start(shape(3)).await;
    let made = plan(&system, 0, &workspace("late")).await;
    for fault in [DOWN, r#"{"hang":true}"#] {
        system.fault(&system.store, fault).await;
        let verdict = system.settle(1, &made).await;
        assert!(
            matches!(verdict, Some(Verdict::Untried { .. })),
            "{fault}: {verdict:?}"
        );
        system.fault(&system.store, CALM).await;
        assert_eq!(stored(&system).await.revision, made.base, "{fault}");
    }
    // The write takes effect, its answer is lost, and reading fails as well.
    system
        .fault(&system.store, r#"{"lose_then_down":"catalog"}"#)
        .await;
    let verdict = system.settle(1, &made).await;
    assert!(
        matches!(verdict, Some(Verdict::Unsettled { .. })),
        "{verdict:?}"
    );
    let verdict = system.settle(2, &made).await;
    assert!(
        matches!(verdict, Some(Verdict::Untried { .. })),
        "{verdict:?}"
    );
    system.fault(&system.store, CALM).await;
    for at in [2, 1, 0] {
        let verdict = system.settle(at, &made).await;
        assert_eq!(
            accepted(verdict.as_ref()),
            Some(made.base.0 + 1),
            "{at}: {verdict:?}"
        );
    }
    assert_eq!(stored(&system).await.revision.0, made.base.0 + 1);
    until_counted(&system, made.base.0 + 1).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn never_back() {
    let mut system = System::start(shape(3)).await;
    system.confirm(&workspace("two")).await;
    system.confirm(&workspace("three")).await;
    until_counted(&system, 3).await;
    system.fault(&system.store, r#"{"stale_reads":true}"#).await;
    // Each plan reads the old value first.
    for at in 0..3 {
        assert_eq!(plan(&system, at, &workspace("x")).await.base.0, 3, "{at}");
        assert_eq!(catalog(&system, at).await.revision.0, 3, "{at}");
    }
    // An instance that starts anew under its name reads the old value, too.
    system.entries[1].kill();
    system.start_entry(1);
    let mut seen = VecDeque::from([0]);
    while seen.back() != Some(&3) {
        assert!(seen.len() < 10_000, "never got there\n{}", system.logs());
        if let Some(status) = system.status(1).await {
            let revision = status.revision.0;
            assert!(seen.back() <= Some(&revision), "{seen:?} then {revision}");
            seen.push_back(revision);
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    until_counted(&system, 3).await;
    // Nothing can be accepted on a late read, and nothing is said to be.
    let made = plan(&system, 1, &workspace("four")).await;
    let verdict = system.settle(1, &made).await;
    assert!(
        matches!(verdict, Some(Verdict::Untried { .. })),
        "{verdict:?}"
    );
    system.fault(&system.store, CALM).await;
    let verdict = settle(&system, 0, &made).await;
    assert_eq!(accepted(Some(&verdict)), Some(4), "{verdict:?}");
    until_counted(&system, 4).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn service_emptied() {
    let mut system = System::start(shape(3)).await;
    for name in ["two", "three"] {
        system.confirm(&workspace(name)).await;
    }
    until_counted(&system, 3).await;
    let before = catalog(&system, 0).await;
    system.platform.kill();
    system.start_platform();
    // What was accepted comes back to the service.
    system
        .until("restored", async |system| {
            let path = "/v1/kv/catalog";
            let within = std::time::Duration::from_secs(1);
            let read = system
                .client
                .get::<Entry>("restored", &system.store, path, within)
                .await;
            read.is_ok_and(|entry| {
                serde_json::from_str::<Catalog>(&entry.value).is_ok_and(|held| held == before)
            })
        })
        .await;
    for at in 0..3 {
        assert_eq!(catalog(&system, at).await, before, "{at}");
    }
    // Changes are seen by all again, though the service counts from anew.
    system.confirm(&workspace("four")).await;
    until_counted(&system, 4).await;
    assert_eq!(
        names(&stored(&system).await),
        ["film", "four", "theatre", "three", "two"]
    );
    system.assert_sound().await;
}

#[tokio::test]
async fn watchers_lost() {
    // The fourth shares its failure domain with the first, which watches for both.
    let mut system = System::start(shape(4)).await;
    until_counted(&system, 1).await;
    for at in 0..3 {
        system.entries[at].kill();
    }
    // Nobody is left who could tell it; the write comes from outside.
    let path = "/v1/kv/catalog";
    let entry: Entry = system.get(&system.store, path).await;
    let mut next: Catalog = serde_json::from_str(&entry.value).expect("the value is a catalog");
    next.advance("plan-outside".parse().expect("the name keeps the rules"));
    let value = serde_json::to_string(&next).expect("a catalog has no map keys");
    let put = Put {
        value,
        version: Some(entry.version),
        lease: None,
    };
    let body = coltsfoothall_wire::http::json(&put);
    let within = std::time::Duration::from_secs(1);
    let put = system
        .client
        .call("put", Method::PUT, &system.store, path, body, within);
    put.await.expect("the version is right");
    system
        .until("seen by its own watch", async |system| {
            system
                .status(3)
                .await
                .is_some_and(|status| status.revision.0 == 2)
        })
        .await;
}

#[tokio::test]
async fn fresh_in_outage() {
    let mut system = System::parts(Shape {
        entries: 4,
        ..Shape::default()
    });
    for at in 0..3 {
        system.start_entry(at);
    }
    system.confirm(system::INTENT).await;
    system.confirm(&workspace("two")).await;
    system.until_backed().await;
    system.fault(&system.store, DOWN).await;
    system.start_entry(3);
    until_counted(&system, 2).await;
    assert_eq!(catalog(&system, 3).await, catalog(&system, 0).await);
    // It serves callers, too.
    let prompt = Prompt {
        model: MODEL.into(),
        prompt: "cue".into(),
        max_tokens: 20,
        stream: true,
    };
    let outcome = system.caller_of(&[3], 1).complete(&prompt).await;
    assert_eq!(outcome.expect("a whole answer").tokens, 20);
    system.fault(&system.store, CALM).await;
    system.confirm(&workspace("three")).await;
    until_counted(&system, 3).await;
    system.assert_sound().await;
}

#[tokio::test]
async fn alone_in_outage() {
    let mut system = System::parts(shape(1));
    until_platform(&system).await;
    system.fault(&system.store, DOWN).await;
    system.start_entry(0);
    system
        .until("it answers", async |system| {
            system.status(0).await.is_some()
        })
        .await;
    assert!(
        system.plan(0, system::INTENT).await.is_none(),
        "a plan on nothing"
    );
    // It may not say that a token is wrong while it knows none.
    let mint = system.caller(1).mint().await;
    let text = mint.expect_err("nothing is known here").to_string();
    assert!(
        text.contains("503") && text.contains("unavailable"),
        "{text}"
    );
    system.fault(&system.store, CALM).await;
    system.confirm(system::INTENT).await;
    until_counted(&system, 1).await;
}

#[tokio::test]
async fn workspace_removed() {
    let system = System::start(Shape::default()).await;
    let caller = system.caller(1);
    let prompt = |tokens| Prompt {
        model: MODEL.into(),
        prompt: "a long scene".into(),
        max_tokens: tokens,
        stream: true,
    };
    let long = tokio::spawn(async move { caller.complete(&prompt(600)).await });
    system
        .until("request open", async |system| {
            let mut open = 0;
            for at in 0..3 {
                open += system.status(at).await.map_or(0, |status| status.open);
            }
            open > 0
        })
        .await;
    system.confirm("remove: {workspaces: [film]}").await;
    until_counted(&system, 2).await;
    for at in 0..3 {
        let refused = system.caller_of(&[at], 2).complete(&prompt(5)).await;
        match refused {
            Err(caller::Error::Fault(_, fault)) => assert_eq!(fault.code, Code::Unauthorized),
            other => panic!("{at}: {other:?}\n{}", system.logs()),
        }
    }
    let whole = long.await.expect("the caller does not panic");
    let whole = whole.unwrap_or_else(|error| panic!("{error}\n{}", system.logs()));
    assert_eq!(whole.tokens, 600);
    system.assert_sound().await;
}

/// Calls of the key-value service in the quietest of some spans, on an idle system.
/// A slot that changes its owner meanwhile takes calls of its own.
async fn calls(entries: usize) -> u64 {
    let system = System::start(shape(entries)).await;
    until_counted(&system, 1).await;
    let span = std::time::Duration::from_secs(10);
    let mut least = u64::MAX;
    for _ in 0..3 {
        let before: Counts = system.get(&system.store, "/v1/counts").await;
        tokio::time::sleep(span).await;
        let after: Counts = system.get(&system.store, "/v1/counts").await;
        let watches = after.watches - before.watches;
        let reads = after.gets + after.lists - before.gets - before.lists;
        let writes = after.puts + after.renewals - before.puts - before.renewals;
        println!("entries={entries} span={span:?} watches={watches} reads={reads} writes={writes}");
        least = least.min(watches + reads + writes);
    }
    least
}

#[tokio::test]
async fn calls_level() {
    let (few, more, most) = tokio::join!(calls(3), calls(6), calls(9));
    // One instance of each of the three failure domains watches, however many there
    // are; were it each of them, twelve more calls would come with nine than with three.
    let slack = 6;
    let rates = [few, more, most];
    assert!(
        more <= few + slack && most <= few + slack,
        "calls in the same span: {rates:?}"
    );
}
