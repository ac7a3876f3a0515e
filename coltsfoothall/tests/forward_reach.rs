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

/// Sends a request to an endpoint that cannot be reached.
fn fail(roster: &mut Roster, now: Time, exclude: &[id::Endpoint]) -> Option<id::Endpoint> {
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
    };
    let pick = roster.choose(now, &query).ok()?;
    let run = roster.begin(now, &pick, &query);
    roster.finish(now, &run, End::Unreachable);
    Some(pick.endpoint)
}

/// Guards against requests of callers that are spent on endpoints that are known to be out of
/// reach.
#[test]
fn unreachable_not_tried() {
    let mut roster = roster(&["a", "b", "c"]);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let endpoint = fail(&mut roster, at(100), &tried).unwrap();
        tried.push(endpoint);
    }
    for seconds in 1..20 {
        let again = fail(&mut roster, at(1_000 * seconds), &[]);
        assert_eq!(
            again, None,
            "tried after {seconds} s without a sign of life"
        );
    }
}
