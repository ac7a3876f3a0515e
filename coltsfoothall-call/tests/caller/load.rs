//! The load tool tells right answers from wrong ones.

use std::path::Path;
use std::time::Duration;

use crate::fake::{Entry, Script, Spoil};
use coltsfoothall_call::check::{self, Wrong};
use coltsfoothall_call::load;
use coltsfoothall_call::mix::Mix;
use coltsfoothall_call::tally::Report;
use coltsfoothall_shell::settings;
use tokio_util::sync::CancellationToken;

const MIX: &str = "completions:\n  - model: cue-7b\n    tokens: {min: 3, max: 3}\n";

async fn run(script: Script) -> Report {
    let mix: Mix = settings::parse(Path::new("mix.yaml"), MIX).expect("a good mix");
    let (_entry, caller) = Entry::start(script).await;
    let span = Duration::from_secs(20);
    let settings = load::Settings {
        rate: 0.5,
        span,
        seed: 5,
    };
    load::run(caller.settings(), &mix, settings, &CancellationToken::new()).await
}

#[tokio::test(start_paused = true)]
async fn right_answers() {
    let report = run(Script {
        cuts: vec![130],
        ..Script::default()
    })
    .await;
    assert!(report.sent > 2);
    assert_eq!((report.whole, report.wrong), (report.sent, 0), "{report}");
    assert_eq!((report.resumes, report.read_again), (1, 1), "{report}");
    assert_eq!(report.tokens, 3 * report.sent);
    assert_eq!(report.first_token.count, report.sent);
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}

#[tokio::test(start_paused = true)]
async fn wrong_answers() {
    for spoil in [
        Spoil::Digest,
        Spoil::Gap,
        Spoil::Twice,
        Spoil::Key,
        Spoil::Finish,
    ] {
        let report = run(Script {
            spoils: vec![Some(spoil)],
            ..Script::default()
        })
        .await;
        assert_eq!(
            (report.wrong, report.whole),
            (1, report.sent - 1),
            "{spoil:?}: {report}"
        );
        assert_eq!(report.wrongs.len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn change_found() {
    // The second reading of a resumed answer differs.
    let spoils = vec![None, None, Some(Spoil::Anew)];
    let report = run(Script {
        cuts: vec![130],
        spoils,
        ..Script::default()
    })
    .await;
    assert_eq!(report.wrong, 1, "{report}");
    assert!(report.wrongs[0].contains("changed"), "{report}");
}

#[test]
fn token_rules() {
    let digest = check::digest("a");
    let text = |tokens: &[&str]| {
        tokens
            .iter()
            .map(|t| format!(" {digest}.{t}"))
            .collect::<String>()
    };
    assert_eq!(check::tokens("a", ""), Ok(0));
    assert_eq!(check::tokens("a", &text(&["0.x", "1.y.z"])), Ok(2));
    assert!(matches!(
        check::tokens("b", &text(&["0.x"])),
        Err(Wrong::Crossed(_))
    ));
    for bad in [&["0.x", "0.x"][..], &["1.x"], &["0.x", "2.x"]] {
        assert!(
            matches!(check::tokens("a", &text(bad)), Err(Wrong::Order(_))),
            "{bad:?}"
        );
    }
    for bad in ["x", " ", " a.b", "  ", " 0", " a.0."] {
        assert!(check::tokens("a", bad).is_err(), "{bad:?}");
    }
}

#[test]
fn echo_rules() {
    let answer = br#"{"service":"s","path":"/check","run":1,"echo":"call 4"}"#;
    assert_eq!(check::echo("/check", "call 4", answer), Ok(()));
    assert!(matches!(
        check::echo("/check", "call 5", answer),
        Err(Wrong::Crossed(_))
    ));
    assert!(matches!(
        check::echo("/other", "call 4", answer),
        Err(Wrong::Crossed(_))
    ));
    assert!(matches!(
        check::echo("/check", "call 4", b"{"),
        Err(Wrong::Form(_))
    ));
}

#[test]
fn bad_mixes() {
    for (text, field) in [
        ("{}", "completions"),
        (
            "completions: [{model: m, weight: -1}]",
            "completions.0.weight",
        ),
        (
            "completions: [{model: m, tokens: {min: 4, max: 3}}]",
            "completions.0.tokens",
        ),
        ("calls: [{service: 'a b'}]", "calls.0.service"),
        ("calls: [{service: a, pth: /x}]", "calls"),
    ] {
        let error = settings::parse::<Mix>(Path::new("mix.yaml"), text)
            .unwrap_err()
            .to_string();
        assert!(error.contains(&format!("field {field}")), "{error}");
    }
}
