//! The operators' program against a running system.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use coltsfoothall_intent::output::Confirmation;
use coltsfoothall_wire::operator::{Catalog, Plan, Status, Verdict};
use serde::de::DeserializeOwned;
use system::{OPERATOR, Shape, System};

/// What a run of the program came to.
#[derive(Debug)]
struct Run {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Run {
    fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs a command against these entry instances.
async fn run(system: &System, entries: &[usize], command: &[&str]) -> Run {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_coltsfoothall-entry"));
    let program = program.with_file_name("coltsfoothall-intent");
    let mut call = Command::new(program);
    call.arg(command[0]).env("COLTSFOOTHALL_TOKEN", OPERATOR);
    for at in entries {
        call.args(["--entry", &system.entries[*at].address]);
    }
    call.args(&command[1..]).current_dir(&system.folder);
    let output = tokio::task::spawn_blocking(move || call.output())
        .await
        .unwrap()
        .unwrap();
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn write(system: &System, file: &str, text: &str) {
    fs::write(system.folder.join(file), text).unwrap();
}

async fn system() -> System {
    let shape = Shape {
        entries: 3,
        engines: 0,
        services: 0,
        ..Shape::default()
    };
    let system = System::start(shape).await;
    for name in ["a", "b"] {
        let intent = format!("workspaces: [{{name: {name}, tokens: [secret-{name}]}}]\n");
        write(&system, &format!("{name}.yaml"), &intent);
    }
    system
}

#[tokio::test]
async fn plan_confirmed() {
    let system = system().await;
    let planned = run(&system, &[0], &["plan", "--out", "a.plan", "a.yaml"]).await;
    assert_eq!(planned.code, Some(0), "{planned:?}");
    assert!(planned.out.contains("on revision 1"), "{planned:?}");
    assert!(planned.out.contains("create workspace a"), "{planned:?}");
    // Nothing changes until it is confirmed.
    assert_eq!(system.status(0).await.expect("a status").revision.0, 1);
    for at in [1, 2] {
        let confirmed = run(&system, &[at], &["confirm", "a.plan"]).await;
        assert_eq!(confirmed.code, Some(0), "{confirmed:?}");
        assert!(
            confirmed.out.contains("accepted as revision 2"),
            "{confirmed:?}"
        );
    }
    system.until_in_force(2).await;
    let shown = run(&system, &[0], &["show"]).await;
    assert_eq!(shown.code, Some(0), "{shown:?}");
    assert!(
        shown.out.contains("name: a") && !shown.out.contains("secret-a"),
        "{shown:?}"
    );
    let shown: Catalog = run(&system, &[0], &["show", "--json"]).await.json();
    assert_eq!(shown.revision.0, 2);
    system
        .until("counted", async |system| {
            let text = run(system, &[2], &["status"]).await.out;
            text.contains("in force on 3 of 3 entry instances")
        })
        .await;
    let status: Status = run(&system, &[2], &["status", "--json"]).await.json();
    assert_eq!((status.revision.0, status.in_force), (2, 3));
}

#[tokio::test]
async fn plan_stale() {
    let system = system().await;
    for name in ["a", "b"] {
        let (out, file) = (format!("{name}.plan"), format!("{name}.yaml"));
        let made = run(&system, &[0], &["plan", "--json", "--out", &out, &file]).await;
        assert_eq!(
            (made.code, made.json::<Plan>().base.0),
            (Some(0), 1),
            "{made:?}"
        );
    }
    assert_eq!(
        run(&system, &[0], &["confirm", "a.plan"]).await.code,
        Some(0)
    );
    let stale = run(&system, &[1], &["confirm", "b.plan"]).await;
    assert_eq!(stale.code, Some(3), "{stale:?}");
    assert!(
        stale.out.contains("stale: revision 2 is in force"),
        "{stale:?}"
    );
    assert!(stale.out.contains("create workspace a"), "{stale:?}");
    let stale = run(
        &system,
        &[2],
        &["confirm", "--json", "--out", "b2.plan", "b.plan"],
    )
    .await;
    assert_eq!(stale.code, Some(3), "{stale:?}");
    let told: Confirmation = stale.json();
    assert!(matches!(told.verdict, Verdict::Stale { .. }), "{stale:?}");
    assert_eq!(told.anew.map(|plan| plan.base.0), Some(2), "{stale:?}");
    // The plan made anew is good.
    let confirmed = run(&system, &[2], &["confirm", "b2.plan"]).await;
    assert_eq!(confirmed.code, Some(0), "{confirmed:?}");
    assert!(
        confirmed.out.contains("accepted as revision 3"),
        "{confirmed:?}"
    );
}

#[tokio::test]
async fn outage_told() {
    let mut system = system().await;
    let made = run(&system, &[0], &["plan", "--out", "a.plan", "a.yaml"]).await;
    assert_eq!(made.code, Some(0), "{made:?}");
    system.fault(&system.store, r#"{"down":true}"#).await;
    let refused = run(&system, &[0], &["confirm", "a.plan"]).await;
    assert_eq!(refused.code, Some(1), "{refused:?}");
    assert!(refused.out.contains("wrote nothing"), "{refused:?}");
    system
        .fault(&system.store, r#"{"lose_then_down":"catalog"}"#)
        .await;
    let unknown = run(&system, &[0], &["confirm", "a.plan"]).await;
    assert_eq!(unknown.code, Some(4), "{unknown:?}");
    assert!(unknown.out.contains("not yet known"), "{unknown:?}");
    assert!(unknown.out.contains("confirm again"), "{unknown:?}");
    system.fault(&system.store, "{}").await;
    // One of the addresses is gone; the next is asked.
    system.entries[0].kill();
    let settled = run(&system, &[0, 1], &["confirm", "a.plan"]).await;
    assert_eq!(settled.code, Some(0), "{settled:?}");
    assert!(
        settled.out.contains("accepted as revision 2"),
        "{settled:?}"
    );
    let nobody = run(&system, &[0], &["status"]).await;
    assert_eq!(nobody.code, Some(1), "{nobody:?}");
    assert!(
        nobody.err.contains("no entry instance answered"),
        "{nobody:?}"
    );
}

#[tokio::test]
async fn input_refused() {
    let system = system().await;
    write(
        &system,
        "unknown.yaml",
        "workspaces: [{name: a, tokens: [a], colour: red}]\n",
    );
    write(&system, "bad.plan", "{\"id\": 7}");
    for (command, text) in [
        (&["plan", "unknown.yaml"][..], "colour"),
        (&["plan", "nowhere.yaml"][..], "nowhere.yaml"),
        (&["confirm", "bad.plan"][..], "bad.plan"),
        (&["plan", "--token", "wrong", "a.yaml"][..], "token"),
    ] {
        let refused = run(&system, &[0], command).await;
        assert_eq!(refused.code, Some(1), "{command:?}: {refused:?}");
        assert!(refused.err.contains(text), "{command:?}: {refused:?}");
        assert!(refused.out.is_empty(), "{command:?}: {refused:?}");
    }
    let usage = run(&system, &[], &["status"]).await;
    assert_eq!(usage.code, Some(2), "{usage:?}");
    assert_eq!(system.status(0).await.expect("a status").revision.0, 1);
}
