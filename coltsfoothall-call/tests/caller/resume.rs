//! A broken answer is resumed without gap, repeat or change.

use crate::fake::{self, Entry, Script, Spoil};
use coltsfoothall_call::ask::{Ask, Origin};
use coltsfoothall_call::caller::Error;
use coltsfoothall_call::check::Wrong;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::{Code, Fault};
use hyper::Method;

fn prompt() -> Prompt {
    Prompt {
        model: "cue-7b".into(),
        prompt: "Who owns the second verse?".into(),
        max_tokens: 5,
        stream: true,
    }
}

/// Bytes of the whole stream, for cuts at each of them.
async fn length() -> usize {
    let (entry, caller) = Entry::start(Script::default()).await;
    let outcome = caller.complete(&prompt()).await.expect("nothing is cut");
    assert_eq!(outcome.text, fake::text(&prompt()));
    assert_eq!(outcome.effort.resumes, 0);
    assert_eq!(outcome.times.between.len(), 4);
    assert_eq!(entry.seen().len(), 1);
    fake::length(&prompt(), outcome.key.as_str())
}

#[tokio::test(start_paused = true)]
async fn each_offset() {
    for hard in [false, true] {
        for cut in 0..length().await {
            let script = Script {
                cuts: vec![cut],
                hard,
                ..Script::default()
            };
            let (entry, caller) = Entry::start(script).await;
            let outcome = caller.complete(&prompt()).await.unwrap();
            assert_eq!(
                outcome.text,
                fake::text(&prompt()),
                "cut at {cut}, hard {hard}"
            );
            let seen = entry.seen();
            // A cut behind the end marker is no cut to a reader.
            assert!(seen.len() <= 2, "cut at {cut}: {seen:?}");
            if let [first, second] = &seen[..] {
                assert_eq!(first.method, Method::POST);
                assert_eq!(first.key, second.key);
                let expected = if second.method == Method::GET { 1 } else { 0 };
                assert_eq!(
                    outcome.effort.resumes, expected,
                    "cut at {cut}, hard {hard}"
                );
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn many_cuts() {
    let cuts = vec![200, 150, 0, 130, 3];
    let (entry, caller) = Entry::start(Script {
        cuts,
        ..Script::default()
    })
    .await;
    let mut heard = String::new();
    let ask = Ask::from(prompt());
    let stop = Default::default();
    let outcome = caller
        .follow(&ask, &mut |text| heard.push_str(text), &stop)
        .await
        .unwrap();
    assert_eq!(heard, fake::text(&prompt()));
    assert_eq!(outcome.text, heard);
    assert_eq!(outcome.effort.resumes, 5);
    let lasts: Vec<u64> = entry
        .seen()
        .iter()
        .map(|seen| seen.last.unwrap_or(0))
        .collect();
    assert!(lasts.is_sorted(), "{lasts:?}");
}

/// The record is gone when the caller comes back behind a cut.
fn forgotten(spoils: Vec<Option<Spoil>>) -> Script {
    Script {
        cuts: vec![300],
        spared: 1,
        faults: vec![Fault::new(Code::NotFound, "no such key")],
        spoils,
        ..Script::default()
    }
}

#[tokio::test(start_paused = true)]
async fn resent_whole() {
    let (entry, caller) = Entry::start(forgotten(Vec::new())).await;
    let outcome = caller.complete(&prompt()).await.unwrap();
    assert_eq!(outcome.text, fake::text(&prompt()));
    let seen = entry.seen();
    assert_eq!(seen.len(), 3);
    assert!(seen[1].last > Some(0), "parts came before the cut");
    assert_eq!(seen[2].method, Method::POST);
    assert_eq!(seen[0].key, seen[2].key);
}

#[tokio::test(start_paused = true)]
async fn changed_text() {
    let (_entry, caller) = Entry::start(forgotten(vec![None, Some(Spoil::Anew)])).await;
    let error = caller.complete(&prompt()).await.unwrap_err();
    assert!(
        matches!(error, Error::Wrong(_, Wrong::Changed(_))),
        "{error}"
    );
}

#[tokio::test(start_paused = true)]
async fn wrong_parts() {
    let (_entry, caller) = Entry::start(Script {
        spoils: vec![Some(Spoil::Key)],
        ..Script::default()
    })
    .await;
    let error = caller.complete(&prompt()).await.unwrap_err();
    assert!(
        matches!(error, Error::Wrong(_, Wrong::Crossed(_))),
        "{error}"
    );
    let (_entry, caller) = Entry::start(Script {
        spoils: vec![Some(Spoil::Finish)],
        ..Script::default()
    })
    .await;
    let error = caller.complete(&prompt()).await.unwrap_err();
    assert!(matches!(error, Error::Wrong(_, Wrong::Cut(_))), "{error}");
}

#[tokio::test(start_paused = true)]
async fn minted_key() {
    let (entry, caller) = Entry::start(Script::default()).await;
    let ask = Ask {
        origin: Origin::Minted,
        ..Ask::from(prompt())
    };
    let outcome = caller.ask(&ask).await.unwrap();
    assert!(outcome.key.minted().is_some());
    assert_eq!(entry.seen()[0].key, outcome.key.as_str());
}

#[tokio::test(start_paused = true)]
async fn cancelled() {
    let (entry, caller) = Entry::start(Script::default()).await;
    let ask = Ask::from(prompt());
    let stop = tokio_util::sync::CancellationToken::new();
    stop.cancel();
    let error = caller.follow(&ask, &mut |_| {}, &stop).await.unwrap_err();
    assert!(matches!(error, Error::Cancelled(_)), "{error}");
    let seen = entry.seen();
    assert_eq!(seen.last().unwrap().method, Method::DELETE);
}
