//! The model engine over a real port.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail loudly like the tests"
)]

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::prefix;
use coltsfoothall::size::{Bytes as Size, Millis, Tokens};
use coltsfoothall_standin::batch;
use coltsfoothall_standin::engine::{Fault, Reset, Setup, run};
use coltsfoothall_standin::report::Counts;
use coltsfoothall_standin::setting::{Fencing, Settings};
use coltsfoothall_standin::stream::{digest, token};
use coltsfoothall_wire::client::{Client, Error};
use coltsfoothall_wire::engine::{
    Change, Chunk, Events, Finish, Generate, Loaded, Order, Refusal, Role, State,
};
use coltsfoothall_wire::{http, sse};
use http_body_util::BodyExt;
use hyper::Method;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const WITHIN: Duration = Duration::from_secs(20);

struct Engine {
    client: Client,
    peer: String,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// What came of one stream.
#[derive(Debug, Default)]
struct Heard {
    chunks: Vec<Chunk>,
    /// The end marker came.
    marked: bool,
    /// The connection broke.
    broken: bool,
}

impl Heard {
    fn text(&self) -> String {
        self.chunks
            .iter()
            .map(|chunk| chunk.text.as_str())
            .collect()
    }
}

fn quick() -> Settings {
    Settings {
        batch: batch::Settings {
            prefill_rate: Tokens(1_000_000),
            step_us: 1000,
            step_each_us: 10,
            ..batch::Settings::default()
        },
        load_lag_ms: Millis(0),
        event_lag_ms: Millis(0),
        model_size: Size(0),
        adapter_size: Size(0),
        ..Settings::default()
    }
}

fn generate(attempt: u64, prompt: &str, max_tokens: u64) -> Generate {
    Generate {
        attempt,
        model: "rights-1".parse().unwrap(),
        adapter: None,
        prompt: prompt.into(),
        resume: String::new(),
        offset: 0,
        max_tokens,
        priority: 0,
    }
}

fn answer(prompt: &str, name: &str, tokens: std::ops::Range<u64>) -> String {
    tokens
        .map(|index| token(digest(prompt), index, name))
        .collect()
}

impl Engine {
    async fn start(name: &str, settings: Settings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap().to_string();
        let stop = CancellationToken::new();
        let setup = Setup {
            name: name.parse().unwrap(),
            model: "rights-1".parse().unwrap(),
            settings,
        };
        let task = tokio::spawn(run(listener, setup, stop.clone()));
        let client = Client::new();
        Self {
            client,
            peer,
            stop,
            task,
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, Error> {
        self.client
            .call("test", method, &self.peer, path, body, WITHIN)
            .await
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        self.client
            .get("test", &self.peer, path, WITHIN)
            .await
            .unwrap()
    }

    async fn open(&self, request: &Generate) -> Result<hyper::body::Incoming, Error> {
        let uri = format!("http://{}/v1/completions", self.peer);
        let request = hyper::Request::post(uri)
            .body(http::json_body(request))
            .unwrap();
        Ok(self
            .client
            .send("complete", request, WITHIN)
            .await?
            .into_body())
    }

    async fn hear(&self, request: &Generate) -> Heard {
        hear(self.open(request).await.unwrap()).await
    }

    async fn fault(&self, fault: Fault) {
        self.call(Method::POST, "/fault", http::json(&fault))
            .await
            .unwrap();
    }

    async fn order(&self, order: &Order) -> Result<State, (u16, Refusal)> {
        match self
            .call(Method::POST, "/v1/orders", http::json(order))
            .await
        {
            Ok(body) => Ok(http::parse(&body).unwrap()),
            Err(Error::Status(_, _, status, body)) => Err((status, http::parse(&body).unwrap())),
            Err(other) => panic!("{other}"),
        }
    }

    async fn refusal(&self, request: &Generate) -> (u16, Refusal) {
        let sent = self
            .call(Method::POST, "/v1/completions", http::json(request))
            .await;
        let Err(Error::Status(_, _, status, body)) = sent else {
            panic!("not refused: {sent:?}");
        };
        (status, http::parse(&body).unwrap())
    }
}

async fn hear(mut body: hyper::body::Incoming) -> Heard {
    let mut heard = Heard::default();
    let mut decoder = sse::Decoder::new(1 << 16);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            heard.broken = true;
            break;
        };
        decoder.push(frame.data_ref().unwrap());
        while let Some(event) = decoder.next_event() {
            if event.data == "[DONE]" {
                heard.marked = true;
            } else {
                heard
                    .chunks
                    .push(http::parse(event.data.as_bytes()).unwrap());
            }
        }
    }
    heard
}

#[tokio::test]
async fn whole_answer() {
    let engine = Engine::start("e1", quick()).await;
    let heard = engine.hear(&generate(9, "who owns this?", 20)).await;
    assert_eq!(heard.text(), answer("who owns this?", "e1", 0..20));
    assert!(heard.marked && !heard.broken);
    let mut next = 0;
    for chunk in &heard.chunks {
        assert_eq!((chunk.attempt, chunk.offset), (9, next));
        next += chunk.tokens;
    }
    assert_eq!(next, 20);
    assert_eq!(heard.chunks.last().unwrap().finish, Some(Finish::Length));
    let heard = engine.hear(&generate(10, "stop-after=3 please", 20)).await;
    assert_eq!(heard.text(), answer("stop-after=3 please", "e1", 0..3));
    assert_eq!(heard.chunks.last().unwrap().finish, Some(Finish::Stop));
    let counts: Counts = engine.get("/v1/counts").await;
    assert_eq!((counts.tokens, counts.runs.into()), (23, vec![9, 10]));
}

#[tokio::test]
async fn joins_anywhere() {
    let first = Engine::start("e1", quick()).await;
    let second = Engine::start("e2", quick()).await;
    let prompt = "a long story";
    let whole = first.hear(&generate(1, prompt, 12)).await.text();
    for offset in 0..=12 {
        let resume = answer(prompt, "e1", 0..offset);
        assert!(whole.starts_with(&resume));
        let request = Generate {
            resume,
            offset,
            ..generate(100 + offset, prompt, 12)
        };
        let rest = second.hear(&request).await;
        assert_eq!(rest.chunks[0].offset, offset);
        assert_eq!(rest.text(), answer(prompt, "e2", offset..12));
        assert_eq!(rest.chunks.last().unwrap().finish, Some(Finish::Length));
        assert!(rest.marked);
    }
}

#[tokio::test]
async fn refuses_unstarted() {
    let mut settings = quick();
    settings.batch.batch = 1;
    settings.batch.queue = 0;
    let engine = Engine::start("e1", settings).await;
    let wrong = Generate {
        model: "rights-2".parse().unwrap(),
        ..generate(1, "p", 5)
    };
    let (status, refusal) = engine.refusal(&wrong).await;
    assert_eq!((status, refusal.started), (404, false));
    // A queue of length zero takes nothing at all.
    let (status, refusal) = engine.refusal(&generate(2, "p", 5)).await;
    assert_eq!((status, refusal.started), (503, false));
    let counts: Counts = engine.get("/v1/counts").await;
    assert_eq!((counts.attempts, counts.refused), (0, 2));
}

#[tokio::test]
async fn fencing_kinds() {
    let order = Order {
        fence: 7,
        model: Loaded {
            name: "rights-1".into(),
            version: 1,
        },
        adapters: Vec::new(),
        role: Role::Drain,
    };
    let old = Order {
        fence: 6,
        role: Role::Mixed,
        ..order.clone()
    };
    let checked = Engine::start("e1", quick()).await;
    assert_eq!(checked.order(&order).await.unwrap().role, Role::Drain);
    assert_eq!(
        checked.order(&order).await.unwrap().fence,
        7,
        "a repeat is harmless"
    );
    let (status, refusal) = checked.order(&old).await.unwrap_err();
    assert_eq!((status, refusal.fence), (409, Some(7)));
    assert_eq!(checked.refusal(&generate(1, "p", 5)).await.0, 503);
    let counts: Counts = checked.get("/v1/counts").await;
    assert_eq!((counts.orders_taken, counts.orders_refused), (2, 1));

    let settings = Settings {
        fencing: Fencing::Ignored,
        ..quick()
    };
    let ignored = Engine::start("e2", settings).await;
    ignored.order(&order).await.unwrap();
    assert_eq!(ignored.order(&old).await.unwrap().role, Role::Mixed);
    assert!(ignored.hear(&generate(1, "p", 5)).await.marked);
}

#[tokio::test]
async fn loads_models() {
    let settings = Settings {
        model_size: Size(50_000_000),
        load_rate: Size(1_000_000_000),
        ..quick()
    };
    let engine = Engine::start("e1", settings).await;
    let model = Loaded {
        name: "rights-2".into(),
        version: 3,
    };
    let order = Order {
        fence: 1,
        model: model.clone(),
        adapters: Vec::new(),
        role: Role::Mixed,
    };
    let state = engine.order(&order).await.unwrap();
    assert_eq!((state.model, state.loading), (None, Some(model.clone())));
    while engine.get::<State>("/v1/state").await.loading.is_some() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(engine.get::<State>("/v1/state").await.model, Some(model));
    assert_eq!(engine.refusal(&generate(1, "p", 5)).await.0, 404);
}

#[tokio::test]
async fn cancel_ends() {
    let engine = Engine::start("e1", quick()).await;
    let body = engine
        .open(&generate(5, "endless", 1_000_000))
        .await
        .unwrap();
    let hearing = tokio::spawn(hear(body));
    engine
        .call(Method::DELETE, "/v1/attempts/5", Bytes::new())
        .await
        .unwrap();
    let heard = hearing.await.unwrap();
    assert!(!heard.marked && heard.chunks.iter().all(|chunk| chunk.finish.is_none()));
    let counts: Counts = engine.get("/v1/counts").await;
    assert_eq!((counts.attempts, counts.cancelled), (1, 1));
    // A caller that leaves cancels too.
    drop(
        engine
            .open(&generate(6, "endless", 1_000_000))
            .await
            .unwrap(),
    );
    while engine.get::<Counts>("/v1/counts").await.cancelled < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn blocks_travel() {
    let first = Engine::start("e1", quick()).await;
    let second = Engine::start("e2", quick()).await;
    let prompt = "x".repeat(3 * prefix::BLOCK_BYTES);
    let request = generate(1, &prompt, 2);
    first.hear(&request).await;
    let events: Events = first.get("/v1/cache/events?after=0").await;
    let blocks = prefix::blocks(prefix::seed(&request.model, None), &prompt);
    let stored: Vec<_> = events.events.iter().map(|event| event.change).collect();
    assert_eq!(
        stored,
        blocks
            .iter()
            .map(|block| Change::Stored(*block))
            .collect::<Vec<_>>()
    );
    for block in &blocks {
        let path = format!("/v1/cache/blocks/{}", block.0);
        let image = first.call(Method::GET, &path, Bytes::new()).await.unwrap();
        let spoilt = second.call(Method::PUT, &path, image.slice(1..)).await;
        assert!(matches!(spoilt, Err(Error::Status(_, _, 400, _))));
        second.call(Method::PUT, &path, image).await.unwrap();
    }
    let heard = second.hear(&request).await;
    // The last token is always read.
    let all = prefix::tokens(&prompt);
    assert_eq!(heard.chunks[0].cached, Some(all.minus(Tokens(1))));
}

#[tokio::test]
async fn events_lost() {
    let settings = Settings {
        event_loss: 0.5,
        ..quick()
    };
    let engine = Engine::start("e1", settings).await;
    engine
        .hear(&generate(1, &"y".repeat(40 * prefix::BLOCK_BYTES), 1))
        .await;
    let events: Events = engine.get("/v1/cache/events").await;
    assert_eq!(events.newest, 40);
    assert!(!events.events.is_empty() && events.events.len() < 40);
    let rest: Events = engine.get("/v1/cache/events?after=40").await;
    assert_eq!((rest.events.len(), rest.newest), (0, 40));
}

#[tokio::test]
async fn faults_on_demand() {
    let engine = Engine::start("e1", quick()).await;
    let fault = Fault {
        refuse: 1,
        cut_after: Some(4),
        wrong_attempt: true,
        ..Fault::default()
    };
    engine.fault(fault).await;
    assert_eq!(engine.refusal(&generate(1, "p", 9)).await.0, 503);
    let cut = engine.hear(&generate(2, "p", 9)).await;
    assert!(cut.broken && !cut.marked);
    assert_eq!(cut.text(), answer("p", "e1", 0..4));
    assert_eq!((cut.chunks[0].attempt, cut.chunks[1].attempt), (3, 2));
    let double = Fault {
        double: true,
        stall_ms: Millis(30),
        ..Fault::default()
    };
    engine.fault(double).await;
    let heard = engine.hear(&generate(3, "p", 9)).await;
    assert!(heard.marked);
    assert!(heard.chunks.chunks(2).all(|pair| pair[0] == pair[1]));
    for (attempt, reset) in [(4, Reset::Before), (5, Reset::After)] {
        let reset = Some(reset);
        engine
            .fault(Fault {
                reset,
                ..Fault::default()
            })
            .await;
        let sent = engine.open(&generate(attempt, "p", 9)).await;
        assert!(matches!(sent, Err(Error::Broken(..))), "{sent:?}");
    }
    assert!(engine.hear(&generate(6, "p", 9)).await.marked);
    let counts: Counts = engine.get("/v1/counts").await;
    assert_eq!(
        Vec::from(counts.runs),
        [2, 3, 5, 6],
        "4 was closed before it began"
    );
}

#[tokio::test]
async fn planned_stop() {
    let engine = Engine::start("e1", quick()).await;
    let body = engine.open(&generate(1, "p", 200)).await.unwrap();
    engine.stop.cancel();
    let heard = hear(body).await;
    assert!(heard.marked, "what runs is finished");
    assert_eq!(heard.text(), answer("p", "e1", 0..200));
    engine.task.await.unwrap();
}

#[tokio::test]
async fn crashing_request() {
    let mut child = tokio::task::spawn_blocking(|| {
        std::process::Command::new(env!("CARGO_BIN_EXE_coltsfoothall-engine"))
            .args(["--listen", "127.0.0.1:0", "--name", "e9"])
            .stdout(std::process::Stdio::piped())
            .spawn()
            .unwrap()
    })
    .await
    .unwrap();
    let output = child.stdout.take().unwrap();
    let mut peer = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(output), &mut peer).unwrap();
    let request = generate(1, "crash-engine now", 5);
    let path = "/v1/completions";
    let peer = peer.trim();
    let client = Client::new();
    let body = http::json(&request);
    let sent = client
        .call("crash", Method::POST, peer, path, body, WITHIN)
        .await;
    assert!(sent.is_err(), "{sent:?}");
    assert_eq!(child.wait().unwrap().code(), Some(70));
}
