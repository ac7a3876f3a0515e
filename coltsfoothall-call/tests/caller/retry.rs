//! Errors: what is tried again, when, and under which key.

use std::time::Duration;

use crate::fake::{Entry, Script, Seen};
use coltsfoothall::size::Millis;
use coltsfoothall_call::ask::{Ask, Origin};
use coltsfoothall_call::caller::{Caller, Error, Settings};
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};

fn prompt() -> Prompt {
    Prompt {
        model: "cue-7b".into(),
        prompt: "May the charter leave?".into(),
        max_tokens: 3,
        stream: true,
    }
}

async fn refused(fault: Fault) -> (Vec<Seen>, Result<u32, Error>) {
    let (entry, caller) = Entry::start(Script {
        faults: vec![fault],
        ..Script::default()
    })
    .await;
    let origin = Origin::Given("check-1".parse().expect("a plain name"));
    let ask = Ask {
        origin,
        ..Ask::from(prompt())
    };
    let outcome = caller.ask(&ask).await;
    (entry.seen(), outcome.map(|outcome| outcome.effort.waits))
}

#[tokio::test(start_paused = true)]
async fn wait_honoured() {
    let wait = Some(Millis(7300));
    let fault = Fault {
        retry_after_ms: wait,
        ..Fault::new(Code::Overloaded, "queue is full")
    };
    let (seen, waits) = refused(fault).await;
    assert_eq!(waits.unwrap(), 1);
    assert!(seen[1].at - seen[0].at >= Duration::from_millis(7300));
    // "Not run" holds for the old key for ever.
    assert_eq!(
        (seen[0].key.as_str(), seen[1].key.as_str()),
        ("check-1", "check-1.1")
    );
}

#[tokio::test(start_paused = true)]
async fn leaving_instance() {
    let (seen, waits) = refused(Fault::new(Code::Unavailable, "leaving")).await;
    assert_eq!(waits.unwrap(), 0);
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[0].key, seen[1].key);
}

#[tokio::test(start_paused = true)]
async fn final_errors() {
    let wait = Some(Millis(100));
    for code in [
        Code::BadRequest,
        Code::Unauthorized,
        Code::KeyReused,
        Code::Poisonous,
    ] {
        let (seen, outcome) = refused(Fault::new(code, "no")).await;
        assert!(matches!(outcome, Err(Error::Fault(..))), "{code:?}");
        assert_eq!(seen.len(), 1, "{code:?}");
    }
    // What may have run is not run again under another key.
    let fault = Fault {
        retry_after_ms: wait,
        ..Fault::new(Code::Failed, "endpoints died")
    };
    assert_eq!(fault.outcome, Outcome::Unknown);
    let (seen, outcome) = refused(fault).await;
    assert!(matches!(outcome, Err(Error::Fault(..))));
    assert_eq!(seen.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn patience_ends() {
    let settings = Settings {
        entries: vec!["127.0.0.1:9".into()],
        patience: Duration::from_secs(3),
        ..Settings::default()
    };
    let error = Caller::new(settings).complete(&prompt()).await.unwrap_err();
    assert!(matches!(error, Error::Patience(..)), "{error}");
    assert!(error.to_string().contains("127.0.0.1:9"), "{error}");
}
