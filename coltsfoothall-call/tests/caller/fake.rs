//! An entry instance in a few lines, which answers by a script.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;
use coltsfoothall_call::caller::{Caller, Settings};
use coltsfoothall_call::check;
use coltsfoothall_wire::caller::{Address, Addresses, Choice, DONE, Finish, Minted, Part, Prompt};
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::sse::Event;
use coltsfoothall_wire::{header, http, limit};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What the entry does, each item once and in turn.
#[derive(Debug, Default)]
pub struct Script {
    /// Bytes after which the next stream ends; none for all of it.
    pub cuts: Vec<usize>,
    /// Whether the connection breaks at a cut, instead of the stream's ending there.
    pub hard: bool,
    /// Errors for the next requests.
    pub faults: Vec<Fault>,
    /// Requests taken before the errors begin.
    pub spared: usize,
    /// How the next answers are spoilt; none for a right one.
    pub spoils: Vec<Option<Spoil>>,
}

impl Script {
    fn fault(&mut self) -> Option<Fault> {
        if self.spared > 0 {
            self.spared -= 1;
            return None;
        }
        take(&mut self.faults)
    }
}

/// A fault in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoil {
    /// Another prompt's digest.
    Digest,
    /// A token left out.
    Gap,
    /// A token twice.
    Twice,
    /// Another request's key.
    Key,
    /// No last part.
    Finish,
    /// Another instance's name in all tokens, as if computed anew.
    Anew,
}

/// A request as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    pub method: Method,
    pub path: String,
    pub key: String,
    pub last: Option<u64>,
    pub at: Instant,
}

#[derive(Debug)]
pub struct Entry {
    address: String,
    script: Mutex<Script>,
    seen: Mutex<Vec<Seen>>,
    prompt: Mutex<Option<Prompt>>,
}

impl Entry {
    /// Starts an entry and a caller that knows its address.
    pub async fn start(script: Script) -> (Arc<Self>, Caller) {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let address = listener.local_addr().expect("it is bound").to_string();
        let entry = Arc::new(Self {
            address: address.clone(),
            script: Mutex::new(script),
            seen: Mutex::default(),
            prompt: Mutex::default(),
        });
        let handler: Arc<dyn Handler> = Arc::<Self>::clone(&entry);
        tokio::spawn(serve::run(listener, handler, CancellationToken::new()));
        let settings = Settings {
            entries: vec![address],
            token: "token-1".into(),
            ..Settings::default()
        };
        (entry, Caller::new(settings))
    }

    /// Requests but for addresses, in the order they came.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no test panics under it").clone()
    }

    fn script<T>(&self, step: impl FnOnce(&mut Script) -> T) -> T {
        step(&mut self.script.lock().expect("no test panics under it"))
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/v1/addresses" {
            return serve::json(200, &self.addresses());
        }
        if path == "/v1/keys" {
            let key = Key::mint(coltsfoothall::key::Slot(1), Default::default(), 7);
            return serve::json(200, &Minted { key });
        }
        let seen = self.note(&request, &path);
        let body = http::read(request.into_body(), limit::REQUEST)
            .await
            .expect("a whole body");
        if let Some(fault) = self.script(Script::fault) {
            return serve::fault(&fault);
        }
        match (&seen.method, path.as_str()) {
            (&Method::DELETE, _) => serve::empty(204),
            (&Method::POST, "/v1/completions") => {
                let prompt = http::parse(&body).expect("a prompt");
                *self.prompt.lock().expect("no test panics under it") = Some(prompt);
                self.stream(&seen)
            }
            (&Method::GET, _) => self.stream(&seen),
            _ => serve::fault(&Fault::new(Code::NotFound, path)),
        }
    }

    fn addresses(&self) -> Addresses {
        let domain = "holesovice".parse().expect("a plain name");
        let address = Address {
            address: self.address.clone(),
            domain,
            weight: 1,
        };
        Addresses {
            addresses: vec![address],
            ttl_ms: Millis(60_000),
        }
    }

    fn note(&self, request: &Request<Incoming>, path: &str) -> Seen {
        let text = |name| {
            request
                .headers()
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let seen = Seen {
            method: request.method().clone(),
            path: path.into(),
            key: text(header::KEY).unwrap_or_default().into(),
            last: text(header::LAST_EVENT).and_then(|last| last.parse().ok()),
            at: Instant::now(),
        };
        self.seen
            .lock()
            .expect("no test panics under it")
            .push(seen.clone());
        seen
    }

    fn stream(&self, seen: &Seen) -> Response<Body> {
        let prompt = self.prompt.lock().expect("no test panics under it").clone();
        let Some(prompt) = prompt else {
            return serve::fault(&Fault::new(Code::NotFound, "no such request"));
        };
        let spoil = self.script(|script| take(&mut script.spoils)).flatten();
        let mut text = events(&prompt, &seen.key, seen.last.unwrap_or(0), spoil);
        let whole = text.len();
        let (cut, hard) = self.script(|script| (take(&mut script.cuts), script.hard));
        text.truncate(cut.unwrap_or(whole));
        let mut answer = Response::new(serve::full(Bytes::new()));
        if cut.is_some() && hard {
            // Less comes than is announced: the connection breaks.
            answer.headers_mut().insert(CONTENT_LENGTH, whole.into());
        }
        *answer.body_mut() = pieces(text);
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(CONTENT_TYPE, kind);
        answer
    }
}

impl Handler for Entry {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move { self.answer(request).await })
    }
}

/// A body of unknown length, so that it may end anywhere.
fn pieces(text: String) -> Body {
    use futures_util::stream;
    use http_body_util::{BodyExt, StreamBody};
    let frame = Ok(hyper::body::Frame::data(Bytes::from(text)));
    StreamBody::new(stream::iter([frame])).boxed_unsync()
}

fn take<T>(list: &mut Vec<T>) -> Option<T> {
    if list.is_empty() {
        None
    } else {
        Some(list.remove(0))
    }
}

/// The whole text of an answer.
pub fn text(prompt: &Prompt) -> String {
    let digest = check::digest(&prompt.prompt);
    (0..prompt.max_tokens)
        .map(|index| format!(" {digest}.{index}.e1"))
        .collect()
}

/// Bytes of a whole streamed answer.
pub fn length(prompt: &Prompt, key: &str) -> usize {
    events(prompt, key, 0, None).len()
}

/// Events of an answer after `last` tokens.
fn events(prompt: &Prompt, key: &str, last: u64, spoil: Option<Spoil>) -> String {
    let digest = match spoil {
        Some(Spoil::Digest) => check::digest("another prompt"),
        _ => check::digest(&prompt.prompt),
    };
    let name = if spoil == Some(Spoil::Anew) {
        "e2"
    } else {
        "e1"
    };
    let key = if spoil == Some(Spoil::Key) {
        "another"
    } else {
        key
    };
    let mut all = String::new();
    for index in last..prompt.max_tokens {
        let shown = match spoil {
            Some(Spoil::Gap) if index > 1 => index + 1,
            Some(Spoil::Twice) if index > 1 => index - 1,
            _ => index,
        };
        let end = index + 1 == prompt.max_tokens && spoil != Some(Spoil::Finish);
        let choice = Choice {
            index: 0,
            text: format!(" {digest}.{shown}.{name}"),
            finish_reason: end.then_some(Finish::Length),
        };
        let id = key.parse().expect("the caller's key");
        let part = Part {
            id,
            choices: vec![choice],
        };
        let data = String::from_utf8(http::json(&part).to_vec()).expect("JSON is text");
        all.push_str(
            &Event {
                id: Some((index + 1).to_string()),
                data,
            }
            .encode(),
        );
    }
    all.push_str(
        &Event {
            id: None,
            data: DONE.into(),
        }
        .encode(),
    );
    all
}
