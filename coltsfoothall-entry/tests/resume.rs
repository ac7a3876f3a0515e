//! Callers get their own whole answers when connections, entry instances and
//! engines break, in separate processes.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod crowd;
mod system;

use std::time::Duration;

use coltsfoothall::key::Key;
use coltsfoothall_call::answer::{Step, Text};
use coltsfoothall_call::check;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::Outcome;
use coltsfoothall_wire::sse::Decoder;
use coltsfoothall_wire::{header, http, limit};
use crowd::{Crowd, Mix, Told};
use http_body_util::{BodyExt, Full};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use system::{MODEL, Shape, System, TOKEN};
use tokio::time::{sleep, timeout};

/// Engines slow enough that answers are met half way.
const SLOW: &str = "batch: {step_us: 20000}\n";

/// Longest wait for a part.
const PART: Duration = Duration::from_secs(20);

async fn start(entries: usize) -> System {
    System::start(Shape {
        engine: SLOW.into(),
        entries,
        ..Shape::default()
    })
    .await
}

/// A call that may not be repeated and was running where a process died
/// unannounced: nobody can say more than that its outcome is unknown.
fn unknown_call(told: &Told) -> bool {
    told.once() && told.fate() == Some(Outcome::Unknown)
}

/// One streamed request, read by hand at the address and offset of the test's choice.
struct Reader<'a> {
    system: &'a System,
    key: Key,
    prompt: Prompt,
    text: Text,
    /// Ids of all events so far.
    ids: Vec<u64>,
}

impl<'a> Reader<'a> {
    fn new(system: &'a System, key: &str, tokens: u64) -> Self {
        let prompt = Prompt {
            model: MODEL.into(),
            prompt: format!("the rights chain of {key}"),
            max_tokens: tokens,
            stream: true,
        };
        let (text, ids) = (Text::default(), Vec::new());
        Self {
            system,
            key: key.parse().unwrap(),
            prompt,
            text,
            ids,
        }
    }

    async fn send(
        &self,
        at: usize,
        method: Method,
        offset: u64,
    ) -> Response<hyper::body::Incoming> {
        let first = method == Method::POST;
        let path = if first {
            "/v1/completions".into()
        } else {
            format!("/v1/requests/{}", self.key)
        };
        let body = if first {
            http::json(&self.prompt)
        } else {
            "".into()
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.system.entries[at].address))
            .header(AUTHORIZATION, format!("Bearer {TOKEN}"))
            .header(header::KEY, self.key.as_str());
        if offset > 0 {
            request = request.header(header::LAST_EVENT, offset);
        }
        let request = request.body(Full::new(body)).unwrap();
        let client = coltsfoothall_wire::client::Client::new();
        client.send("read", request, PART).await.unwrap()
    }

    /// Reads on until an answer has `until` tokens, or to its end; then lets go.
    /// True at the end.
    async fn read(&mut self, answer: Response<hyper::body::Incoming>, until: u64) -> bool {
        let status = answer.status();
        assert!(
            status.is_success(),
            "{}: {status}\n{}",
            self.key,
            self.system.logs()
        );
        self.text.resume();
        let (mut body, mut events) = (answer.into_body(), Decoder::new(limit::EVENT));
        loop {
            while let Some(event) = events.next_event() {
                match self.text.take(&self.key, &event).unwrap() {
                    Step::Grown { .. } => self.ids.push(self.text.tokens()),
                    Step::Done => return true,
                    Step::Fault(fault) => panic!("{}: {fault}\n{}", self.key, self.system.logs()),
                }
                if self.text.tokens() >= until {
                    return false;
                }
            }
            match timeout(PART, body.frame()).await.unwrap() {
                Some(Ok(frame)) => events.push(frame.data_ref().unwrap_or(&"".into())),
                Some(Err(_)) | None => return false,
            }
        }
    }

    fn assert_whole(&self) {
        let tokens = check::tokens(&self.prompt.prompt, self.text.as_str()).unwrap();
        assert_eq!(tokens, self.prompt.max_tokens);
    }
}

/// Where the owner of a key and two other entry instances are.
async fn places(system: &System, key: &Key) -> (usize, Vec<usize>) {
    let table = system.table().await.unwrap();
    let owner = table
        .entry(key.slot(table.count()))
        .unwrap()
        .primary
        .clone();
    let at = system
        .entries
        .iter()
        .position(|part| part.name == owner.as_str())
        .unwrap();
    (
        at,
        (0..system.entries.len())
            .filter(|other| *other != at)
            .collect(),
    )
}

#[tokio::test]
async fn any_offset() {
    let system = start(3).await;
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for number in 0..6 {
        let mut reader = Reader::new(&system, &format!("offset-{number}"), 90);
        let answer = reader.send(number % 3, Method::POST, 0).await;
        let mut whole = reader.read(answer, rng.random_range(1..10)).await;
        while !whole {
            let have = reader.text.tokens();
            let answer = reader.send(rng.random_range(0..3), Method::GET, have).await;
            whole = reader.read(answer, have + rng.random_range(1..20)).await;
        }
        reader.assert_whole();
        // Each event that came can be resumed behind, also after the end.
        let text = reader.text.as_str().to_owned();
        let mut ids = reader.ids.clone();
        ids.dedup();
        for at in 0..3 {
            let id = ids[rng.random_range(0..ids.len())];
            let mut again = Reader::new(&system, reader.key.as_str(), 90);
            let answer = again.send(at, Method::GET, id).await;
            // The events are checked against what was received before.
            again.text = copy(&text, id, &reader.prompt.prompt);
            assert!(again.read(answer, u64::MAX).await);
            assert_eq!(again.text.as_str(), text);
        }
    }
    system.assert_sound().await;
}

/// The first tokens of a text, as if they had been received.
fn copy(text: &str, tokens: u64, prompt: &str) -> Text {
    let end = text
        .match_indices(' ')
        .nth(usize::try_from(tokens).unwrap());
    let head = end.map_or(text, |(at, _)| &text[..at]);
    assert_eq!(check::tokens(prompt, head), Ok(tokens));
    let event = coltsfoothall_wire::sse::Event {
        id: Some(tokens.to_string()),
        data: String::from_utf8(
            http::json(&coltsfoothall_wire::caller::Part {
                id: "copy".parse().unwrap(),
                choices: vec![coltsfoothall_wire::caller::Choice {
                    index: 0,
                    text: head.into(),
                    finish_reason: None,
                }],
            })
            .to_vec(),
        )
        .unwrap(),
    };
    let mut copied = Text::default();
    copied.take(&"copy".parse().unwrap(), &event).unwrap();
    copied
}

#[tokio::test]
async fn server_killed() {
    for seed in 1..4_u64 {
        let mut system = start(3).await;
        let key: Key = format!("server-{seed}").parse().unwrap();
        let (_, others) = places(&system, &key).await;
        let mut reader = Reader::new(&system, key.as_str(), 150);
        let answer = reader.send(others[0], Method::POST, 0).await;
        assert!(!reader.read(answer, 20 + seed).await);
        let (text, ids) = (
            std::mem::take(&mut reader.text),
            std::mem::take(&mut reader.ids),
        );
        system.entries[others[0]].kill();
        let mut reader = Reader {
            text,
            ids,
            ..Reader::new(&system, key.as_str(), 150)
        };
        let answer = reader
            .send(others[1], Method::GET, reader.text.tokens())
            .await;
        assert!(reader.read(answer, u64::MAX).await);
        reader.assert_whole();
        system.assert_sound().await;
    }
}

#[tokio::test]
async fn owner_killed() {
    for seed in 1..4_u64 {
        let mut system = start(3).await;
        let key: Key = format!("owner-{seed}").parse().unwrap();
        let (owner, others) = places(&system, &key).await;
        let mut reader = Reader::new(&system, key.as_str(), 150);
        let answer = reader.send(others[0], Method::POST, 0).await;
        // The same connection goes on over the death of the owner.
        let mut events = Decoder::new(limit::EVENT);
        let mut body = answer.into_body();
        let mut killed = false;
        let whole = loop {
            let Some(event) = events.next_event() else {
                match timeout(PART, body.frame()).await.unwrap() {
                    Some(Ok(frame)) => events.push(frame.data_ref().unwrap_or(&"".into())),
                    Some(Err(_)) | None => break false,
                }
                continue;
            };
            match reader.text.take(&key, &event).unwrap() {
                Step::Grown { .. } => {}
                Step::Done => break true,
                Step::Fault(fault) => panic!("{key}: {fault}"),
            }
            if reader.text.tokens() >= 20 + seed && !killed {
                killed = true;
                let text = std::mem::take(&mut reader.text);
                system.entries[owner].kill();
                reader = Reader {
                    text,
                    ..Reader::new(&system, key.as_str(), 150)
                };
            }
        };
        assert!(whole && killed, "{}", system.logs());
        reader.assert_whole();
        system.assert_sound().await;
    }
}

#[tokio::test]
async fn entry_killed() {
    for seed in 11..14 {
        let mut system = start(4).await;
        let crowd = Crowd::start(
            &system,
            &Mix {
                seed,
                ..Mix::default()
            },
        );
        for at in [seed % 4, (seed + 2) % 4] {
            sleep(Duration::from_millis(1300)).await;
            let at = usize::try_from(at).unwrap();
            system.entries[at].kill();
            sleep(Duration::from_secs(4)).await;
            system.start_entry(at);
            system.until_backed().await;
        }
        crowd.all_whole(&system, unknown_call).await;
        system.assert_sound().await;
    }
}

#[tokio::test]
async fn engines_misbehave() {
    for seed in 21..24 {
        let system = start(3).await;
        let mix = Mix {
            seed,
            callers: 24,
            each: 4,
            shares: [7, 3, 0],
            ..Mix::default()
        };
        let crowd = Crowd::start(&system, &mix);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for _ in 0..14 {
            let part = &system.engines[rng.random_range(0..3)];
            let fault = match rng.random_range(0..6) {
                0 => format!(r#"{{"cut_after": {}}}"#, rng.random_range(1..40)),
                1 => r#"{"double": true}"#.into(),
                2 => r#"{"wrong_attempt": true}"#.into(),
                3 => format!(r#"{{"stall_ms": {}}}"#, rng.random_range(100..1500)),
                4 => r#"{"reset": "before"}"#.into(),
                _ => r#"{"reset": "after"}"#.into(),
            };
            system.fault(&part.address, &fault).await;
            sleep(Duration::from_millis(250)).await;
        }
        crowd.all_whole(&system, |_| false).await;
        system.assert_sound().await;
    }
}
