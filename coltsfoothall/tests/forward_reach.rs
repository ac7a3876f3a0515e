//! Which endpoints an instance can reach, and what it concludes from those that it cannot.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{Query, Settings};
use coltsfoothall::forward::history::{Era, Position};
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::roster::{End, Roster};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn service() -> id::Service {
    "reader".parse().unwrap()
}

fn entry(name: &str) -> Entry {
    Entry {
        id: name.parse().unwrap(),
        born: Millis(0),
        service: service(),
        version: None,
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "north".parse().unwrap(),
        slots: 8,
        leaving: false,
        leaves: None,
        reclaimable: false,
        position: Position {
            era: Era(0),
            revision: 1,
        },
    }
}

fn roster(names: &[&str]) -> Roster {
    let mut roster = Roster::new(Settings::default());
    for name in names {
        roster.registered(at(0), entry(name));
    }
    roster
}

/// Sends a request that ends this way.
fn send(
    roster: &mut Roster,
    now: Time,
    exclude: &[id::Endpoint],
    end: End,
) -> Option<id::Endpoint> {
    let (service, domain) = (service(), "north".parse().unwrap());
    let query = Query {
        service: &service,
        parts: &[],
        prompt: Tokens(0),
        answer: Tokens(0),
        domain: &domain,
        exclude,
        memory: None,
        versions: &Versions::Any,
        target: None,
    };
    let pick = roster.choose(now, &query).ok()?;
    let run = roster.begin(now, &pick, &query);
    roster.finish(now, &run, end);
    Some(pick.endpoint)
}

/// Guards against requests of callers that are spent on endpoints that are known to be out of
/// reach.
#[test]
fn unreachable_not_tried() {
    let mut roster = roster(&["a", "b", "c"]);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let endpoint = send(&mut roster, at(100), &tried, End::Unreachable).unwrap();
        tried.push(endpoint);
    }
    for seconds in 1..20 {
        let again = send(&mut roster, at(1_000 * seconds), &[], End::Unreachable);
        assert_eq!(
            again, None,
            "tried after {seconds} s without a sign of life"
        );
    }
}

/// Guards against an instance that loses its links and reports all endpoints as failing, so that
/// the others avoid them.
#[test]
fn lost_links_no_failures() {
    let mut roster = roster(&["a"]);
    let endpoint = send(&mut roster, at(100), &[], End::Broken).unwrap();
    assert_eq!(roster.failure_counts(), [], "not known to be its failure");
    assert!(roster.record_unreachable(at(120), &endpoint));
    let _lost = roster.record_reached(at(5_000), &endpoint);
    assert_eq!(roster.failure_counts(), [], "the links were lost");
    send(&mut roster, at(6_000), &[], End::Broken).unwrap();
    let _lost = roster.record_reached(at(6_020), &endpoint);
    let failed: Vec<u32> = roster
        .failure_counts()
        .iter()
        .map(|count| count.value)
        .collect();
    assert_eq!(failed, [1], "it broke a run off and is in reach");
}

/// Guards against a service that is taken for lost while an endpoint of it is in reach, as after the
/// loss of a rack, and against a large one of which each endpoint is tried before it is.
#[test]
fn services_lost() {
    let names: Vec<String> = (0..30).map(|number| format!("e-{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut roster = roster(&names);
    let service = service();
    for name in &names[..8] {
        let _newly = roster.record_unreachable(at(100), &name.parse().unwrap());
    }
    assert!(!roster.is_lost(at(140), &service), "others may answer yet");
    assert_eq!(
        roster.lost_services(at(150)),
        std::slice::from_ref(&service)
    );
    let _lost = roster.record_reached(at(200), &names[9].parse().unwrap());
    assert!(!roster.is_lost(at(300), &service), "one was reached since");
    for name in &names {
        let _newly = roster.record_unreachable(at(300), &name.parse().unwrap());
    }
    assert!(roster.is_lost(at(300), &service), "none is left");
    let _lost = roster.record_reached(at(400), &names[3].parse().unwrap());
    assert_eq!(roster.lost_services(at(500)), []);
}
