//! The key-value service: swaps, leases, watches and faults.

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::size::{Millis, Rate};
use coltsfoothall_standin::fault::Fault;
use coltsfoothall_standin::kv::{Error, Store};
use coltsfoothall_standin::kvserver::{self, Counts, Settings};
use coltsfoothall_wire::client::{self, Client};
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Entry, Lease, List, Put};
use coltsfoothall_wire::uri::Target;
use hyper::Method;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Below the wait of the watches, so that a watch which never wakes fails its test.
const WITHIN: Duration = Duration::from_secs(20);

fn put(value: &str, version: Option<u64>) -> Put {
    let value = value.into();
    let lease = None;
    Put {
        value,
        version,
        lease,
    }
}

fn seconds(count: u64) -> Time {
    Time::START + Duration::from_secs(count)
}

#[test]
fn stale_swap() {
    let mut store = Store::default();
    let first = store.put(seconds(0), "a", put("1", Some(0))).unwrap();
    let second = store.put(seconds(0), "a", put("2", Some(1))).unwrap();
    assert_eq!((first.version, second.version), (1, 2));
    let stale = store.put(seconds(0), "a", put("3", Some(1)));
    assert_eq!(stale, Err(Error::Conflict(Some(second.clone()))));
    let removed = store.delete(seconds(0), "a", Some(1));
    assert_eq!(removed, Err(Error::Conflict(Some(second))));
}

#[test]
fn remade_key() {
    let mut store = Store::default();
    store.put(seconds(0), "a", put("1", Some(0))).unwrap();
    store.delete(seconds(0), "a", Some(1)).unwrap();
    let again = store.put(seconds(0), "a", put("1", Some(0))).unwrap();
    assert_eq!(again.version, 2);
    assert!(store.put(seconds(0), "a", put("2", Some(1))).is_err());
}

#[test]
fn lapsed_lease() {
    let mut store = Store::default();
    let lease = store.grant(seconds(0), Millis(3000)).id;
    let leased = Put {
        lease: Some(lease),
        ..put("1", Some(0))
    };
    store.put(seconds(0), "a/1", leased.clone()).unwrap();
    store.renew(seconds(2), lease).unwrap();
    assert!(store.get(seconds(4), "a/1").is_some());
    let seen = store.list(seconds(4), "a/").revision;
    assert!(store.get(seconds(5), "a/1").is_none());
    assert_eq!(store.renew(seconds(5), lease), Err(Error::Lapsed(lease)));
    let late = store.put(seconds(5), "a/1", leased);
    assert_eq!(late, Err(Error::Lapsed(lease)));
    let changes = store.changes(seconds(5), "a/", seen).entries;
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].version, changes[0].value.as_str()), (0, ""));
}

#[test]
fn prefix_list() {
    let mut store = Store::default();
    for key in ["b/1", "a/2", "a/1", "a"] {
        store.put(seconds(0), key, put(key, None)).unwrap();
    }
    let entries = store.list(seconds(0), "a/").entries;
    let keys: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    assert_eq!(store.list(seconds(0), "").entries.len(), 4);
}

async fn serve(settings: Settings) -> (String, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let peer = listener.local_addr().expect("it is bound").to_string();
    let stop = CancellationToken::new();
    tokio::spawn(kvserver::run(listener, settings, stop.clone()));
    (peer, stop)
}

async fn swap(peer: &str, key: &str, put: &Put) -> Result<Entry, client::Error> {
    let path = format!("/v1/kv/{key}");
    let client = Client::new();
    client
        .exchange("swap", Method::PUT, peer, &path, put, WITHIN)
        .await
}

async fn get<T: serde::de::DeserializeOwned>(peer: &str, path: &str) -> Result<T, client::Error> {
    Client::new().get("get", peer, path, WITHIN).await
}

async fn fault(peer: &str, fault: Fault) {
    let body = http::json(&fault);
    let client = Client::new();
    client
        .call("fault", Method::POST, peer, "/fault", body, WITHIN)
        .await
        .expect("faults can be set at any time");
}

/// Returns once a watch has come in.
async fn watched(peer: &str) {
    while get::<Counts>(peer, "/v1/counts")
        .await
        .is_ok_and(|counts| counts.watches == 0)
    {
        tokio::task::yield_now().await;
    }
}

fn status<T: std::fmt::Debug>(result: Result<T, client::Error>) -> u16 {
    match result {
        Err(client::Error::Status(_step, _peer, status, _body)) => status,
        other => panic!("no status: {other:?}"),
    }
}

/// Guards against keys that change the URI of a call.
#[tokio::test]
async fn any_key() {
    let (peer, _stop) = serve(Settings::default()).await;
    for key in ["a&b", "a+b", "a#b", "a%41", "a b", "a?b=c", "é/%"] {
        let target = Target::new("/v1/kv").join(key);
        let swapped: Entry = Client::new()
            .exchange(
                "swap",
                Method::PUT,
                &peer,
                target.as_str(),
                &put("1", Some(0)),
                WITHIN,
            )
            .await
            .unwrap();
        assert_eq!(swapped.key, key);
        let listed: List = get(&peer, Target::new("/v1/list").join(key).as_str())
            .await
            .unwrap();
        assert_eq!(listed.entries, [swapped]);
    }
}

#[tokio::test]
async fn lost_answer() {
    let (peer, _stop) = serve(Settings::default()).await;
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    fault(&peer, lose).await;
    let lost = swap(&peer, "a", &put("1", Some(0))).await;
    assert!(matches!(lost, Err(client::Error::Broken(..))), "{lost:?}");
    let entry: Entry = get(&peer, "/v1/kv/a").await.unwrap();
    assert_eq!((entry.value.as_str(), entry.version), ("1", 1));
    assert_eq!(status(swap(&peer, "a", &put("1", Some(0))).await), 409);
    let counts: Counts = get(&peer, "/v1/counts").await.unwrap();
    let expected = Counts {
        gets: 1,
        puts: 2,
        conflicts: 1,
        lost: 1,
        ..Counts::default()
    };
    assert_eq!(counts, expected);
}

#[tokio::test]
async fn every_second_lost() {
    let (peer, _stop) = serve(Settings::default()).await;
    let lose = Fault {
        lose_every: 2,
        ..Fault::default()
    };
    fault(&peer, lose).await;
    let mut lost = Vec::new();
    for value in ["1", "2", "3", "4"] {
        lost.push(swap(&peer, "a", &put(value, None)).await.is_err());
    }
    assert_eq!(lost, [false, true, false, true]);
    let entry: Entry = get(&peer, "/v1/kv/a").await.unwrap();
    assert_eq!((entry.value.as_str(), entry.version), ("4", 4));
}

#[tokio::test]
async fn watch_wakes() {
    let (peer, _stop) = serve(Settings::default()).await;
    let first = swap(&peer, "a/1", &put("1", None)).await.unwrap();
    let path = format!("/v1/watch/a/?after={}&wait_ms=60000", first.revision);
    let waiting = get::<List>(&peer, &path);
    let changing = async {
        watched(&peer).await;
        swap(&peer, "b", &put("other", None)).await.unwrap();
        swap(&peer, "a/2", &put("2", None)).await.unwrap()
    };
    let (woken, changed) = tokio::join!(waiting, changing);
    assert_eq!(woken.unwrap().entries, [changed]);
    let path = format!("/v1/watch/a/?after={}&wait_ms=10", first.revision + 2);
    let empty: List = get(&peer, &path).await.unwrap();
    assert_eq!((empty.entries.len(), empty.revision), (0, 3));
}

#[tokio::test]
async fn watched_lapse() {
    let (peer, _stop) = serve(Settings::default()).await;
    let grant = coltsfoothall_wire::store::Grant {
        ttl_ms: Millis(1000),
    };
    let lease: Lease = Client::new()
        .exchange("grant", Method::POST, &peer, "/v1/leases", &grant, WITHIN)
        .await
        .unwrap();
    let leased = Put {
        lease: Some(lease.id),
        ..put("1", None)
    };
    let entry = swap(&peer, "a", &leased).await.unwrap();
    let path = format!("/v1/watch/?after={}&wait_ms=60000", entry.revision);
    let list: List = get(&peer, &path).await.unwrap();
    assert_eq!((list.entries.len(), list.entries[0].version), (1, 0));
}

#[tokio::test]
async fn outage_ends_watch() {
    let (peer, _stop) = serve(Settings::default()).await;
    let waiting = get::<List>(&peer, "/v1/watch/?after=0&wait_ms=60000");
    let down = Fault {
        down: true,
        ..Fault::default()
    };
    let failing = async {
        watched(&peer).await;
        fault(&peer, down).await;
    };
    let (woken, ()) = tokio::join!(waiting, failing);
    assert_eq!(status(woken), 503);
    assert_eq!(status(swap(&peer, "a", &put("1", None)).await), 503);
    fault(&peer, Fault::default()).await;
    assert_eq!(status(get::<Entry>(&peer, "/v1/kv/a").await), 404);
}

#[tokio::test]
async fn hanging_call() {
    let (peer, stop) = serve(Settings::default()).await;
    let hang = Fault {
        hang: true,
        ..Fault::default()
    };
    fault(&peer, hang).await;
    let short = Duration::from_millis(50);
    let silent = Client::new()
        .get::<List>("list", &peer, "/v1/list/", short)
        .await;
    assert!(matches!(silent, Err(client::Error::Timeout(..))));
    let (ended, ()) = tokio::join!(get::<List>(&peer, "/v1/list/"), async {
        tokio::time::sleep(short).await;
        stop.cancel();
    });
    assert!(ended.is_err());
}

#[tokio::test]
async fn rate_limit() {
    let settings = Settings {
        writes: Rate(0),
        reads: Rate(1),
    };
    let (peer, _stop) = serve(settings).await;
    assert_eq!(status(swap(&peer, "a", &put("1", None)).await), 429);
    get::<List>(&peer, "/v1/list/").await.unwrap();
    let counts: Counts = get(&peer, "/v1/counts").await.unwrap();
    assert_eq!((counts.lists, counts.puts, counts.limited), (1, 0, 1));
}

#[test]
fn sliding_second() {
    let mut window = coltsfoothall_standin::rate::Window::new(Rate(2));
    let admitted = [0, 900, 950, 999, 1000, 1100, 1900].map(|millis| {
        let now = Time::START + Duration::from_millis(millis);
        window.admit(now)
    });
    assert_eq!(admitted, [true, true, false, false, true, false, true]);
}

#[tokio::test]
async fn large_value() {
    let (peer, _stop) = serve(Settings::default()).await;
    let most = "x".repeat(coltsfoothall_wire::limit::VALUE);
    let kept = swap(&peer, "a", &put(&most, None)).await.unwrap();
    assert_eq!(kept.value.len(), most.len());
    let over = most + "x";
    assert_eq!(status(swap(&peer, "a", &put(&over, None)).await), 413);
    let answer = Client::new()
        .call(
            "swap",
            Method::PUT,
            &peer,
            "/v1/kv/a",
            Bytes::from("{"),
            WITHIN,
        )
        .await;
    assert_eq!(status(answer), 400);
}
