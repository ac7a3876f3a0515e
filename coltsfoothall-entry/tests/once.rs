//! At most once for non-idempotent calls: callers send them again and again, to
//! the same and to other entry instances, while instances are paused, killed
//! and replaced and the key-value service fails. The plain services count.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::key::Key;
use coltsfoothall_standin::service::Counts;
use coltsfoothall_wire::caller::Minted;
use coltsfoothall_wire::client::Client;
use coltsfoothall_wire::fault::{Body, Outcome};
use coltsfoothall_wire::{header, http};
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use system::{Shape, System, TOKEN};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

const SEEDS: [u64; 2] = [11, 12];
/// Callers at the same time.
const CALLERS: u64 = 6;
/// Longest wait of a caller for one answer.
const WITHIN: Duration = Duration::from_secs(4);
/// Longer than the time after which a silent instance is taken for dead.
const PAUSE: Duration = Duration::from_secs(3);

/// What a caller was told of one sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Done,
    NotRun,
    Unknown,
    /// No answer came.
    Nothing,
}

/// A call with its key, and what was said to each sending.
#[derive(Debug, Clone)]
struct Quote {
    key: Key,
    told: Vec<Told>,
}

/// Sends one call to one entry instance.
#[derive(Debug, Clone)]
struct Sender {
    client: Client,
    entries: Vec<String>,
}

impl Sender {
    fn new(system: &System) -> Self {
        let entries = system
            .entries
            .iter()
            .map(|entry| entry.address.clone())
            .collect();
        Self {
            client: Client::new(),
            entries,
        }
    }

    async fn send(&self, entry: usize, key: &Key) -> Told {
        let request = self.request(entry, "/v1/services/clerk-desk/quotes/1");
        let request = request.header(header::KEY, key.as_str());
        let request = request
            .body(Full::new(Bytes::from(key.to_string())))
            .unwrap();
        let answer = async {
            let answer = self.client.send("quote", request, WITHIN).await.ok()?;
            let done = answer.status().is_success();
            let body = http::read(answer.into_body(), 1 << 20).await.ok()?;
            if done {
                assert!(
                    String::from_utf8_lossy(&body).contains(key.as_str()),
                    "crossed: {key}"
                );
                return Some(Told::Done);
            }
            let fault = http::parse::<Body>(&body).ok()?.error;
            Some(match fault.outcome {
                Outcome::Done => Told::Done,
                Outcome::NotRun => Told::NotRun,
                Outcome::Unknown => Told::Unknown,
            })
        };
        timeout(WITHIN, answer)
            .await
            .ok()
            .flatten()
            .unwrap_or(Told::Nothing)
    }

    async fn mint(&self, entry: usize) -> Option<Key> {
        let request = self
            .request(entry, "/v1/keys")
            .body(Full::default())
            .unwrap();
        let answer = self.client.send("mint", request, WITHIN).await.ok()?;
        let read = http::read_json::<Minted, _>(answer.into_body(), 1 << 16);
        timeout(WITHIN, read)
            .await
            .ok()?
            .ok()
            .map(|minted| minted.key)
    }

    fn request(&self, entry: usize, path: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.entries[entry]))
            .header("authorization", format!("Bearer {TOKEN}"))
    }
}

/// Callers at work until they are told to stop.
struct Crowd {
    stop: CancellationToken,
    callers: Vec<JoinHandle<()>>,
    quotes: Arc<Mutex<Vec<Quote>>>,
}

impl Crowd {
    fn start(system: &System, seed: u64) -> Self {
        let stop = CancellationToken::new();
        let quotes = Arc::new(Mutex::new(Vec::new()));
        let caller = |number| {
            let (sender, stop) = (Sender::new(system), stop.clone());
            let quotes = Arc::clone(&quotes);
            let mut rng = Pcg64Mcg::seed_from_u64(seed * 1000 + number);
            tokio::spawn(async move {
                let mut count = 0;
                while !stop.is_cancelled() {
                    count += 1;
                    let own = format!("own-{seed}-{number}-{count}").parse().unwrap();
                    let quote = ask(&sender, &mut rng, own).await;
                    quotes.lock().unwrap().push(quote);
                }
            })
        };
        let callers = (0..CALLERS).map(caller).collect();
        Self {
            stop,
            callers,
            quotes,
        }
    }

    async fn finish(self) -> Vec<Quote> {
        self.stop.cancel();
        for caller in self.callers {
            caller.await.unwrap();
        }
        std::mem::take(&mut *self.quotes.lock().unwrap())
    }
}

/// One call: sent, sent twice at once, and sent again later, as it falls.
async fn ask(sender: &Sender, rng: &mut Pcg64Mcg, own: Key) -> Quote {
    let entries = sender.entries.len();
    let at = rng.random_range(0..entries);
    let minted = rng.random_bool(0.5);
    let key = if minted {
        sender.mint(at).await.unwrap_or(own)
    } else {
        own
    };
    let mut told = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let (first, second) = (rng.random_range(0..entries), rng.random_range(0..entries));
        if rng.random_bool(0.4) {
            let both = (sender.send(first, &key), sender.send(second, &key));
            let (one, other) = tokio::join!(both.0, both.1);
            told.extend([one, other]);
        } else {
            told.push(sender.send(first, &key).await);
        }
        sleep(Duration::from_millis(rng.random_range(5..150))).await;
    }
    Quote { key, told }
}

async fn counts(system: &System) -> Vec<Counts> {
    let mut all = Vec::new();
    for service in &system.services {
        all.push(system.get::<Counts>(&service.address, "/counts").await);
    }
    all
}

fn runs(counts: &[Counts], key: &Key) -> u64 {
    counts.iter().map(|counts| counts.of(key.as_str())).sum()
}

/// Nothing ran twice, what was told done ran, and what was told "not run" each
/// time did not.
async fn check(system: &System, seed: u64, quotes: &[Quote]) {
    let counts = counts(system).await;
    for quote in quotes {
        let runs = runs(&counts, &quote.key);
        assert!(
            runs <= 1,
            "seed {seed}: ran {runs} times: {quote:?}\n{}",
            system.logs()
        );
        if quote.told.contains(&Told::Done) {
            assert_eq!(runs, 1, "seed {seed}: done: {quote:?}\n{}", system.logs());
        }
        if quote.told.iter().all(|told| *told == Told::NotRun) {
            assert_eq!(
                runs,
                0,
                "seed {seed}: not run: {quote:?}\n{}",
                system.logs()
            );
        }
    }
    system.assert_sound().await;
}

/// The fault ends: all entry instances run, and a new call is done again.
async fn heal(system: &mut System) {
    system.fault(&system.store.clone(), "{}").await;
    for at in 0..system.entries.len() {
        if system.entries[at].process.is_none() {
            system.start_entry(at);
        }
    }
    system.until_backed().await;
    let sender = Sender::new(system);
    system
        .until("a new call is done by each", async |system| {
            for at in 0..system.entries.len() {
                let Some(key) = sender.mint(at).await else {
                    return false;
                };
                if sender.send(at, &key).await != Told::Done {
                    return false;
                }
            }
            true
        })
        .await;
}

/// Callers at work during a fault, then again each key, then the counts.
async fn trial(fault: impl AsyncFn(&mut System, &mut Pcg64Mcg)) {
    for seed in SEEDS {
        let mut system = System::start(Shape::default()).await;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let crowd = Crowd::start(&system, seed);
        sleep(Duration::from_millis(500)).await;
        fault(&mut system, &mut rng).await;
        sleep(Duration::from_millis(1000)).await;
        heal(&mut system).await;
        let mut quotes = crowd.finish().await;
        check(&system, seed, &quotes).await;
        again(&system, &mut quotes).await;
        check(&system, seed, &quotes).await;
        summary(seed, &quotes);
    }
}

/// Sends each key once more, each to some entry instance.
async fn again(system: &System, quotes: &mut [Quote]) {
    let sender = Sender::new(system);
    for (at, quote) in quotes.iter_mut().enumerate() {
        quote
            .told
            .push(sender.send(at % system.entries.len(), &quote.key).await);
    }
}

fn summary(seed: u64, quotes: &[Quote]) {
    let count = |told| {
        quotes
            .iter()
            .filter(|quote| quote.told.contains(&told))
            .count()
    };
    println!(
        "seed {seed}: keys {} done {} not_run {} unknown {} nothing {}",
        quotes.len(),
        count(Told::Done),
        count(Told::NotRun),
        count(Told::Unknown),
        count(Told::Nothing)
    );
    assert!(
        count(Told::Done) > 0,
        "seed {seed}: the callers did something"
    );
}

/// Two instances, drawn.
fn pair(rng: &mut Pcg64Mcg) -> (usize, usize) {
    let first = rng.random_range(0..3);
    (first, (first + rng.random_range(1..3)) % 3)
}

#[tokio::test]
async fn owner_paused() {
    trial(async |system, rng| {
        for _ in 0..2 {
            let (at, _) = pair(rng);
            system.entries[at].pause();
            sleep(PAUSE).await;
            system.entries[at].wake();
            sleep(Duration::from_millis(rng.random_range(0..1500))).await;
        }
    })
    .await;
}

#[tokio::test]
async fn owner_killed() {
    trial(async |system, rng| {
        let (first, second) = pair(rng);
        system.entries[first].kill();
        system.until_backed().await;
        system.start_entry(first);
        system.until_backed().await;
        system.entries[second].kill();
        system.until_backed().await;
    })
    .await;
}

#[tokio::test]
async fn both_killed() {
    trial(async |system, rng| {
        let (first, second) = pair(rng);
        system.entries[first].kill();
        system.entries[second].kill();
        sleep(PAUSE).await;
    })
    .await;
}

#[tokio::test]
async fn one_after_other() {
    trial(async |system, rng| {
        let (first, second) = pair(rng);
        system.entries[first].kill();
        sleep(Duration::from_millis(rng.random_range(0..3000))).await;
        system.entries[second].pause();
        sleep(PAUSE).await;
        system.entries[second].wake();
    })
    .await;
}

#[tokio::test]
async fn restarts_in_row() {
    trial(async |system, rng| {
        for _ in 0..3 {
            let (first, second) = pair(rng);
            system.entries[first].kill();
            system.start_entry(first);
            sleep(Duration::from_millis(rng.random_range(0..2500))).await;
            system.entries[second].kill();
            system.start_entry(second);
            sleep(Duration::from_millis(rng.random_range(0..1000))).await;
        }
    })
    .await;
}

#[tokio::test]
async fn answers_lost() {
    trial(async |system, rng| {
        let store = system.store.clone();
        system.fault(&store, r#"{"lose_every": 2}"#).await;
        let (first, second) = pair(rng);
        system.entries[first].kill();
        sleep(PAUSE).await;
        system.start_entry(first);
        sleep(PAUSE).await;
        system.entries[second].pause();
        sleep(PAUSE).await;
        system.entries[second].wake();
        system.fault(&store, r#"{"lose_answers": 3}"#).await;
    })
    .await;
}

#[tokio::test]
async fn service_down() {
    trial(async |system, rng| {
        let store = system.store.clone();
        system.fault(&store, r#"{"down": true}"#).await;
        let (first, second) = pair(rng);
        system.entries[first].kill();
        sleep(PAUSE).await;
        system.start_entry(first);
        system.entries[second].pause();
        sleep(PAUSE).await;
        system.entries[second].wake();
        sleep(Duration::from_secs(1)).await;
    })
    .await;
}

#[tokio::test]
async fn service_slow() {
    trial(async |system, rng| {
        let store = system.store.clone();
        system.fault(&store, r#"{"slow_ms": 700}"#).await;
        let (first, second) = pair(rng);
        system.entries[first].pause();
        sleep(PAUSE).await;
        system.entries[first].wake();
        system.fault(&store, r#"{"slow_ms": 1500}"#).await;
        system.entries[second].kill();
        sleep(PAUSE).await;
    })
    .await;
}

/// Sends to the last entry instance until it answers; slots may still move.
async fn answered(sender: &Sender, key: &Key) -> Told {
    for _ in 0..15 {
        let told = sender.send(2, key).await;
        if told != Told::Nothing {
            return told;
        }
    }
    Told::Nothing
}

/// After the loss of both copies a key that was done is answered "unknown".
#[tokio::test]
async fn copies_lost() {
    let mut system = System::start(Shape::default()).await;
    let sender = Sender::new(&system);
    let mut quotes = Vec::new();
    for number in 0..60 {
        let own = format!("own-{number}").parse().unwrap();
        let key = if number % 2 == 0 {
            own
        } else {
            sender.mint(number % 3).await.unwrap()
        };
        let told = vec![sender.send(number % 3, &key).await];
        assert_eq!(told, [Told::Done], "{key}\n{}", system.logs());
        quotes.push(Quote { key, told });
    }
    let table = system.table().await.unwrap();
    let names = [
        system.entries[0].name.clone(),
        system.entries[1].name.clone(),
    ];
    system.entries[0].kill();
    system.entries[1].kill();
    heal(&mut system).await;
    let mut lost = 0;
    for quote in &mut quotes {
        let entry = table.entry(quote.key.slot(table.count())).unwrap();
        let gone = |name: &coltsfoothall::id::Instance| names.contains(&name.to_string());
        let told = answered(&sender, &quote.key).await;
        quote.told.push(told);
        if gone(&entry.primary) && entry.backup.as_ref().is_some_and(gone) {
            lost += 1;
            assert_eq!(told, Told::Unknown, "{}\n{}", quote.key, system.logs());
        } else {
            assert_eq!(told, Told::Done, "{}\n{}", quote.key, system.logs());
        }
    }
    assert!(
        lost > 0,
        "some keys had both their copies at the two instances"
    );
    check(&system, 0, &quotes).await;
}
