//! The cloud: starts, notices, the lagging list and the weight store.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::size::{Bytes, Millis};
use coltsfoothall_standin::cloud::{Cloud, Error, Reclaim};
use coltsfoothall_standin::fault::{Every, Fault, Refusals};
use coltsfoothall_standin::platform::Settings;
use coltsfoothall_standin::{cloudserver, weights};
use coltsfoothall_wire::client::{self, Client};
use coltsfoothall_wire::cloud::{Lend, Machine, Machines, Notices, Phase, Start};
use coltsfoothall_wire::http;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Below the wait for notices, so that a wait which never ends fails its test.
const WITHIN: Duration = Duration::from_secs(20);
const YAML: &str = "
cloud:
  start_ms: 2000
  list_lag_ms: 1000
  offers:
    - {domain: z1, class: small, lend: reclaimable, price: 300}
    - {domain: z1, class: small, lend: on_demand, price: 900}
  machines:
    - {id: e1, service: entry, domain: z1, class: small, lend: on_demand, address: '127.0.0.1:7001'}
    - {id: m1, service: cue, domain: z1, class: small, address: '127.0.0.1:7002'}
    - {id: m2, service: cue, domain: z2, class: small, address: '127.0.0.1:7003'}
  pool:
    - {address: '127.0.0.1:7004', service: cue, domain: z1}
";

fn settings() -> Settings {
    Settings::scan(YAML).expect("the settings above can be read")
}

fn cloud() -> Cloud {
    Cloud::new(settings().cloud)
}

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn start(token: &str) -> Start {
    Start {
        token: token.into(),
        service: "cue".parse().expect("a name"),
        domain: "z1".parse().expect("a name"),
        class: "small".parse().expect("a name"),
        lend: Lend::Reclaimable,
    }
}

fn wave(domain: &str, notice: u64) -> Reclaim {
    Reclaim {
        domain: Some(domain.parse().expect("a name")),
        notice_ms: Millis(notice),
        ..Reclaim::default()
    }
}

fn phase(cloud: &Cloud, now: Time, lag: u64, name: &str) -> Option<Phase> {
    let machines = cloud.list(now, Duration::from_millis(lag)).machines;
    let mut found = machines
        .iter()
        .filter(|machine| machine.id.as_str() == name);
    found.next().map(|machine| machine.phase)
}

#[test]
fn same_token() {
    let mut cloud = cloud();
    let first = cloud.start(at(0), &start("t")).unwrap();
    assert_eq!((first.phase, first.address.as_str()), (Phase::Starting, ""));
    let again = cloud.start(at(2000), &start("t")).unwrap();
    assert_eq!(again.id, first.id);
    assert_eq!(again.phase, Phase::Live);
    assert_eq!(again.address, "127.0.0.1:7004");
    assert_eq!(again.price.0, 300);
    let other = Start {
        lend: Lend::OnDemand,
        ..start("t")
    };
    let error = cloud.start(at(2000), &other).unwrap_err();
    assert_eq!(error, Error::Token("t".into()));
}

#[test]
fn empty_pool() {
    let mut cloud = cloud();
    let first = cloud.start(at(0), &start("t")).unwrap();
    let none = cloud.start(at(0), &start("u")).unwrap_err();
    assert!(matches!(none, Error::Pool(..)));
    cloud.stop(at(10), &first.id).unwrap();
    cloud.stop(at(20), &first.id).unwrap();
    let next = cloud.start(at(20), &start("u")).unwrap();
    assert_ne!(next.id, first.id);
    let gone = cloud.start(at(20), &start("t")).unwrap_err();
    assert_eq!(gone, Error::Token("t".into()));
}

#[test]
fn lagging_list() {
    let mut cloud = cloud();
    let given = cloud.reclaim(at(5000), &wave("z1", 3000));
    let names: Vec<&str> = given.notices.iter().map(|n| n.instance.as_str()).collect();
    assert_eq!(names, ["m1"]);
    assert_eq!(phase(&cloud, at(5000), 0, "m1"), Some(Phase::Leaving));
    assert_eq!(phase(&cloud, at(5999), 1000, "m1"), Some(Phase::Live));
    assert_eq!(phase(&cloud, at(6000), 1000, "m1"), Some(Phase::Leaving));
    assert_eq!(phase(&cloud, at(8999), 1000, "m1"), Some(Phase::Leaving));
    assert_eq!(phase(&cloud, at(9000), 1000, "m1"), None);
    assert_eq!(phase(&cloud, at(9000), 1000, "e1"), Some(Phase::Live));
}

#[test]
fn second_wave() {
    let mut cloud = cloud();
    cloud.reclaim(at(0), &wave("z1", 3000));
    let sooner = cloud.reclaim(at(500), &wave("z1", 1000));
    assert_eq!(
        (sooner.newest, sooner.notices[0].left_ms),
        (2, Millis(1000))
    );
    let later = cloud.reclaim(at(1000), &wave("z1", 9000));
    assert_eq!(later.notices[0].left_ms, Millis(500));
    assert_eq!(cloud.notices(at(1200), 1).notices.len(), 2);
    assert_eq!(phase(&cloud, at(1500), 0, "m1"), None);
    assert!(cloud.reclaim(at(1500), &wave("z1", 1)).notices.is_empty());
}

#[test]
fn named_reclaim() {
    let mut cloud = cloud();
    let named = Reclaim {
        instances: vec!["e1".parse().unwrap()],
        notice_ms: Millis(100),
        ..Reclaim::default()
    };
    assert_eq!(cloud.reclaim(at(0), &named).notices.len(), 1);
    assert_eq!(phase(&cloud, at(0), 0, "e1"), Some(Phase::Leaving));
}

#[test]
fn weight_queue() {
    let mut store = weights::Store::new(weights::Settings {
        rate: Bytes(100),
        queue_ms: Millis(1500),
    });
    assert_eq!(store.load(at(0), Bytes(100)), Some(Duration::from_secs(1)));
    assert_eq!(store.load(at(0), Bytes(100)), Some(Duration::from_secs(2)));
    assert_eq!(store.load(at(0), Bytes(100)), None);
    assert_eq!(store.load(at(500), Bytes(50)), Some(Duration::from_secs(2)));
}

async fn serve() -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let peer = listener.local_addr().expect("it is bound").to_string();
    let stop = CancellationToken::new();
    tokio::spawn(cloudserver::run(listener, settings().cloud, stop));
    peer
}

async fn post<A: Serialize, T: DeserializeOwned>(
    peer: &str,
    path: &str,
    value: &A,
) -> Result<T, client::Error> {
    let client = Client::new();
    client
        .exchange("post", Method::POST, peer, path, value, WITHIN)
        .await
}

async fn get<T: DeserializeOwned>(peer: &str, path: &str) -> T {
    let client = Client::new();
    let value = client.get("get", peer, path, WITHIN).await;
    value.expect("no fault is set on reads")
}

#[tokio::test]
async fn lost_start() {
    let peer = serve().await;
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    post::<_, Fault>(&peer, "/fault", &lose).await.unwrap();
    let lost = post::<_, Machine>(&peer, "/v1/instances", &start("t")).await;
    assert!(matches!(lost, Err(client::Error::Broken(..))), "{lost:?}");
    let again: Machine = post(&peer, "/v1/instances", &start("t")).await.unwrap();
    assert_eq!(again.id.as_str(), "started-000001");
}

#[tokio::test]
async fn refused_starts() {
    let peer = serve().await;
    let refuse: Fault = http::parse(br#"{"refuse_starts": 1, "list_lag_ms": 0}"#).unwrap();
    post::<_, Fault>(&peer, "/fault", &refuse).await.unwrap();
    let refused = post::<_, Machine>(&peer, "/v1/instances", &start("t")).await;
    assert!(matches!(refused, Err(client::Error::Status(_, _, 409, _))));
    let started: Machine = post(&peer, "/v1/instances", &start("t")).await.unwrap();
    let all: Fault = http::parse(br#"{"refuse_starts": "all", "list_lag_ms": 0}"#).unwrap();
    assert_eq!(all.refuse_starts, Some(Refusals::All(Every::All)));
    post::<_, Fault>(&peer, "/fault", &all).await.unwrap();
    let again: Machine = post(&peer, "/v1/instances", &start("t")).await.unwrap();
    assert_eq!(again.id, started.id);
    let list: Machines = get(&peer, "/v1/instances").await;
    assert_eq!(list.machines.len(), 4);
    let other = post::<_, Machine>(&peer, "/v1/instances", &start("u")).await;
    assert!(matches!(other, Err(client::Error::Status(_, _, 409, _))));
}

#[tokio::test]
async fn notice_wakes() {
    let peer = serve().await;
    let waiting = get::<Notices>(&peer, "/v1/notices?after=0&wait_ms=60000");
    let reclaim = wave("z1", 60_000);
    let given = post::<_, Notices>(&peer, "/reclaim", &reclaim);
    let (woken, given) = tokio::join!(waiting, given);
    assert_eq!(woken.newest, given.unwrap().newest);
    assert_eq!(woken.notices[0].instance.as_str(), "m1");
    let none: Notices = get(&peer, "/v1/notices?after=1&wait_ms=10").await;
    assert_eq!((none.notices.len(), none.newest), (0, 1));
}
