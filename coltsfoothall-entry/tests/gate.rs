//! Calls that wait at the gate of an entry instance while it is told to stop.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::key::Key;
use coltsfoothall_standin::service::Counts;
use coltsfoothall_wire::fault::{Body, Fault, Outcome};
use coltsfoothall_wire::operator::Status;
use coltsfoothall_wire::{header, http};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Builder;
use hyper::{Method, Request};
use system::{Shape, System, TOKEN};
use tokio::task::JoinHandle;

/// More calls than an entry instance lets on to one endpoint.
const CALLS: u64 = 100;
/// The calls' deadline, in milliseconds.
const DEADLINE: u64 = 30_000;
/// Longest wait for an answer; the entry instances answer before.
const ANSWER: Duration = Duration::from_secs(40);

/// Keys of one slot that the first entry instance owns.
async fn keys(system: &System, count: u64) -> Vec<String> {
    let table = system.table().await.unwrap();
    let owner = system.entries[0].name.as_str();
    let (slot, entry) = table
        .iter()
        .find(|(_, entry)| entry.primary.as_str() == owner)
        .unwrap();
    let mint = |number| Key::mint(slot, entry.epoch, number).to_string();
    (0..count).map(mint).collect()
}

/// What the services ran.
async fn ran(system: &System) -> Vec<String> {
    let mut keys = Vec::new();
    for service in &system.services {
        let counts: Counts = system.get(&service.address, "/counts").await;
        keys.extend(counts.keys.into_iter().map(|count| count.request));
    }
    keys
}

/// A call to the first entry instance.
fn request(system: &System, method: Method, path: &str) -> Builder {
    let address = &system.entries[0].address;
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(AUTHORIZATION, format!("Bearer {TOKEN}"))
}

/// Sends a call that may run only once, without sending it again.
fn quote(system: &System, key: &str) -> JoinHandle<Option<Fault>> {
    let request = request(system, Method::POST, "/v1/services/clerk-desk/quotes/1")
        .header(header::KEY, key)
        .header(header::DEADLINE, DEADLINE)
        .body(Full::<Bytes>::default())
        .unwrap();
    let client = system.client.clone();
    tokio::spawn(async move {
        let answer = client.send("quote", request, ANSWER).await.ok()?;
        let body = http::read(answer.into_body(), 1 << 20).await.ok()?;
        http::parse::<Body>(&body).ok().map(|body| body.error)
    })
}

/// Cancels a request.
async fn cancel(system: &System, key: &str) {
    let request = request(system, Method::DELETE, &format!("/v1/requests/{key}"))
        .body(Full::<Bytes>::default())
        .unwrap();
    let answer = system.client.send("cancel", request, ANSWER).await.unwrap();
    assert!(answer.status().is_success(), "{}", answer.status());
}

/// Waits until all that the first entry instance has sent on runs, and `holds`.
async fn until_sent(system: &System, what: &str, holds: impl Fn(&Status) -> bool) -> Vec<String> {
    system
        .until(what, async |system| {
            let Some(status) = system.status(0).await else {
                return false;
            };
            let sent: u32 = status.endpoints.iter().map(|at| at.open).sum();
            sent as usize == ran(system).await.len() && holds(&status)
        })
        .await;
    ran(system).await
}

fn leaving(status: &Status) -> bool {
    let mut members = status.members.iter();
    members.any(|member| member.id == status.instance && member.leaving)
}

/// Calls that wait at the gate of an owner that leaves do not begin there when a
/// place becomes free. Its slot cannot be handed over, as calls in it run.
#[tokio::test]
async fn waits_at_stop() {
    let system = System::start(Shape {
        entries: 2,
        engines: 1,
        services: 1,
        times: "  stop: 90000\n".into(),
        ..Shape::default()
    })
    .await;
    let service = &system.services[0].address;
    system.fault(service, r#"{"hang": 1000}"#).await;
    let keys = keys(&system, CALLS).await;
    let calls: Vec<_> = keys.iter().map(|key| quote(&system, key)).collect();
    until_sent(&system, "all are taken in", |status| {
        u64::from(status.open) == CALLS
    })
    .await;
    system.entries[0].stop();
    let begun = until_sent(&system, "the owner is leaving", leaving).await;
    assert!(begun.len() > 1 && begun.len() < keys.len());
    cancel(&system, &begun[0]).await;
    let mut told = Vec::new();
    for (key, call) in keys.iter().zip(calls) {
        if begun.contains(key) {
            call.abort();
        } else {
            told.push((key, call.await.unwrap()));
        }
    }
    let ran = ran(&system).await;
    assert_eq!(ran, begun, "told: {told:?}\n{}", system.logs());
    for (key, fault) in told {
        let fault = fault.unwrap_or_else(|| panic!("{key} was not refused"));
        assert_eq!(fault.outcome, Outcome::NotRun, "{key}: {fault}");
        assert!(fault.retry_after_ms.is_some(), "{key}: {fault}");
    }
    system.assert_sound().await;
}
