//! Datagrams between instances of different versions, as during a rolling upgrade.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::forward::crash;
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::limit;
use coltsfoothall::forward::peer::{Profile, Status};
use coltsfoothall::forward::rate_limit::Total;
use coltsfoothall::forward::role::Role;
use coltsfoothall::forward::stream;
use coltsfoothall::size::{Megabits, Millis};
use coltsfoothall_forward::message::{
    Demand, Departures, Extension, Heartbeat, Message, Reach, Supplement,
};

fn heartbeat() -> Heartbeat {
    Heartbeat {
        profile: Profile {
            name: "entry-1".parse().unwrap(),
            boot: 7,
            domain: "north".parse().unwrap(),
            front: ([10, 0, 0, 1], 80).into(),
            peer: ([10, 0, 0, 1], 7_500).into(),
            ready: true,
            version: 3,
            clock: Duration::from_secs(1_000),
            link: Megabits(20),
        },
        introduced: Vec::new(),
        loads: Vec::new(),
        spent: vec![total(40)],
        counts: Vec::new(),
        ended: Vec::new(),
        work: Vec::new(),
        failed: Vec::new(),
        placed: Vec::new(),
        evidence: Vec::new(),
        era: None,
        reported: Some(9),
        upgrades: Vec::new(),
    }
}

fn total(units: u64) -> Total {
    Total {
        workspace: "film".parse().unwrap(),
        units,
    }
}

fn message() -> Message {
    let extension = Extension {
        refused: vec![total(5)],
        status: Status {
            role: Role::Standby,
            requests: 11,
            searching: true,
        },
        relay: Some("entry-2".parse().unwrap()),
        ..Extension::default()
    };
    Message {
        heartbeat: heartbeat(),
        extension: Some(extension),
        supplement: Some(Supplement {
            limits: vec![limit()],
        }),
        reach: Some(Reach {
            lost: vec!["reader".parse().unwrap()],
            brittle: vec![limit()],
        }),
        streams: Some(streams()),
        crashes: Some(crashes()),
        departures: Some(Departures {
            leaving: vec![departure()],
        }),
        demand: Some(Demand {
            refused: vec![("reader".parse().unwrap(), 12)],
            recent: vec![u64::MAX],
        }),
    }
}

fn departure() -> Count<Millis> {
    Count {
        id: "e-2".parse().unwrap(),
        born: Millis(6),
        value: Millis(70),
    }
}

fn crashes() -> crash::Report {
    crash::Report {
        informed: true,
        lost: vec![(7, Millis(20))],
        rows: vec![crash::Row {
            mark: crash::Mark(u64::MAX),
            crashes: vec![crash::Notice {
                endpoint: 7,
                content: 9,
                age: Millis(20),
            }],
        }],
        answers: vec![(crash::Mark(3), Millis(5))],
        served: Some(Millis(1)),
        verdicts: vec![crash::Told {
            mark: crash::Mark(4),
            age: Millis(8),
            first: Millis(900),
            crashes: 5,
            trials: 1,
            tried: None,
        }],
    }
}

fn streams() -> stream::Report {
    stream::Report {
        generation: Some(7),
        confirmed: Some(Millis(30)),
        table: None,
        starts: vec![stream::Told {
            hash: u64::MAX,
            service: "reader".parse().unwrap(),
            version: Some("v1".parse().unwrap()),
        }],
    }
}

fn limit() -> Count<limit::Report> {
    Count {
        id: "e-1".parse().unwrap(),
        born: Millis(5),
        value: limit::Report {
            rate: Some("1.3".parse().unwrap()),
            age: Millis(40),
        },
    }
}

#[test]
fn all_kept() {
    let read = Message::decode(&message().encode().unwrap()).unwrap();
    assert_eq!(read.heartbeat.profile, heartbeat().profile);
    assert_eq!(read.heartbeat.spent, [total(40)]);
    let (read, sent) = (read.extension.unwrap(), message().extension.unwrap());
    assert_eq!(read.status, sent.status);
    assert_eq!(read.refused, sent.refused);
    assert_eq!(read.relay, sent.relay);
}

#[test]
fn limits_kept() {
    let read = Message::decode(&message().encode().unwrap()).unwrap();
    assert_eq!(read.supplement.unwrap().limits, [limit()]);
}

#[test]
fn streams_kept() {
    let read = Message::decode(&message().encode().unwrap()).unwrap();
    assert_eq!(read.streams, Some(streams()));
}

#[test]
fn crashes_kept() {
    let read = Message::decode(&message().encode().unwrap()).unwrap();
    assert_eq!(read.crashes, Some(crashes()));
}

#[test]
fn departures_kept() {
    let read = Message::decode(&message().encode().unwrap()).unwrap();
    assert_eq!(read.departures.unwrap().leaving, [departure()]);
}

#[test]
fn demand_kept() {
    let read = Message::decode(&message().encode().unwrap()).unwrap();
    assert_eq!(read.demand, message().demand);
}

/// A version that knows no supplement reads the extension and no more, and sends none.
#[test]
fn without_supplement() {
    let all = message().encode().unwrap();
    let mut rest = all.as_slice();
    let _heartbeat: Heartbeat = rmp_serde::from_read(&mut rest).unwrap();
    let read: Extension = rmp_serde::from_read(&mut rest).unwrap();
    assert_eq!(read.status.requests, 11);
    let len = all.len() - rest.len();
    let read = Message::decode(&all[..len]).unwrap();
    assert_eq!(read.extension.unwrap().status.requests, 11);
    assert!(read.supplement.is_none());
}

/// An older version reads the heartbeat and no more.
#[test]
fn older_reads() {
    let bytes = message().encode().unwrap();
    let read: Heartbeat = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read.profile, heartbeat().profile);
    assert_eq!(read.reported, Some(9));
}

/// A heartbeat of an older version names no role, and its sender takes all members for active.
#[test]
fn older_read() {
    let bytes = rmp_serde::to_vec(&heartbeat()).unwrap();
    let read = Message::decode(&bytes).unwrap();
    assert_eq!(read.heartbeat.spent, [total(40)]);
    assert!(read.extension.is_none());
}

/// What a later version adds behind the extension is ignored.
#[test]
fn later_read() {
    let mut bytes = message().encode().unwrap();
    bytes.extend(rmp_serde::to_vec(&("more", 1)).unwrap());
    let read = Message::decode(&bytes).unwrap();
    assert_eq!(read.extension.unwrap().status.requests, 11);
}

/// Lengths at which a datagram ends whole, as older versions send it.
fn ends() -> Vec<usize> {
    let mut message = message();
    let mut ends = Vec::new();
    let mut add = |message: &Message| ends.push(message.encode().unwrap().len());
    message.demand = None;
    add(&message);
    message.departures = None;
    add(&message);
    message.crashes = None;
    add(&message);
    message.streams = None;
    add(&message);
    message.reach = None;
    add(&message);
    message.supplement = None;
    add(&message);
    message.extension = None;
    add(&message);
    ends
}

#[test]
fn cut_off_refused() {
    let bytes = message().encode().unwrap();
    let ends = ends();
    for len in 0..bytes.len() {
        let read = Message::decode(&bytes[..len]);
        assert_eq!(read.is_ok(), ends.contains(&len), "{len} bytes");
    }
}
