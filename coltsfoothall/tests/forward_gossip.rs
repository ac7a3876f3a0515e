//! Reports of endpoints' load between instances, in fleets of any size.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::Settings;
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::history::{Era, Position};
use coltsfoothall::forward::node::{Entry, Load};
use coltsfoothall::forward::roster::Roster;
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use proptest::prelude::*;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn id(number: usize) -> id::Endpoint {
    format!("e-{number:04}").parse().unwrap()
}

fn position(revision: u64) -> Position {
    let era = Era(0);
    Position { era, revision }
}

fn entry(number: usize, born: u64, revision: u64) -> Entry {
    Entry {
        id: id(number),
        born: Millis(born),
        service: "reader".parse().unwrap(),
        version: None,
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "north".parse().unwrap(),
        slots: 16,
        leaving: false,
        leaves: None,
        reclaimable: false,
        position: position(revision),
    }
}

fn open(number: usize, born: u64, open: u32) -> Count<Load> {
    Count {
        id: id(number),
        born: Millis(born),
        value: Load {
            open,
            unread: u64::from(open) * 100,
            pairs: 0,
            memory: 0,
        },
    }
}

/// 300 instances and 1,000 endpoints; each instance has open requests at two of them. The number of
/// loads kept for other instances must follow their open work. A row for each pair of an instance
/// and an endpoint took 25 MB and 9 ms per heartbeat with 300 instances and 2,997 endpoints.
#[test]
fn rows_follow_work() {
    let mut roster = Roster::new(Settings::default());
    for number in 0..1_000 {
        roster.registered(at(0), entry(number, 1, 1));
    }
    for boot in 0..300 {
        let first = boot as usize * 3;
        roster.merge_loads(at(1), boot, &[open(first, 1, 1), open(first + 1, 1, 2)]);
    }
    assert_eq!(roster.peer_load_count(), 600);
    for boot in 0..300 {
        roster.remove_peer(boot);
    }
    assert_eq!(roster.peer_load_count(), 0);
    assert!(roster.nodes().iter().all(|node| node.load().open == 0));
}

/// A report or loss of another instance, or a restart or expiry of an endpoint.
#[derive(Debug, Clone)]
enum Step {
    Receive { boot: u64, loads: Vec<(usize, u32)> },
    Forget { boot: u64 },
    Restart { endpoint: usize },
    Expire { endpoint: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let loads = prop::collection::btree_map(0..4_usize, 1..9_u32, 0..4);
    prop_oneof![
        6 => (0..3_u64, loads).prop_map(|(boot, loads)| Step::Receive {
            boot,
            loads: loads.into_iter().collect(),
        }),
        1 => (0..3_u64).prop_map(|boot| Step::Forget { boot }),
        1 => (0..4_usize).prop_map(|endpoint| Step::Restart { endpoint }),
        1 => (0..4_usize).prop_map(|endpoint| Step::Expire { endpoint }),
    ]
}

proptest! {
    /// The load of an endpoint is the sum of the last report of each instance since the endpoint
    /// started or registered again.
    #[test]
    fn last_told_counts(steps in prop::collection::vec(step(), 1..60)) {
        let mut roster = Roster::new(Settings::default());
        let mut born = [1_u64; 4];
        let mut reports = [[0_u32; 4]; 3];
        let mut revision = 1;
        for number in 0..4 {
            roster.registered(at(0), entry(number, 1, 1));
        }
        for step in steps {
            revision += 1;
            match step {
                Step::Receive { boot, loads } => {
                    let reported: Vec<_> = loads
                        .iter()
                        .map(|(number, count)| open(*number, born[*number], *count))
                        .collect();
                    roster.merge_loads(at(revision), boot, &reported);
                    reports[boot as usize] = [0; 4];
                    for (number, count) in loads {
                        reports[boot as usize][number] = count;
                    }
                }
                Step::Forget { boot } => {
                    roster.remove_peer(boot);
                    reports[boot as usize] = [0; 4];
                }
                Step::Restart { endpoint } => {
                    born[endpoint] += 1;
                    roster.registered(at(revision), entry(endpoint, born[endpoint], revision));
                    reports.iter_mut().for_each(|report| report[endpoint] = 0);
                }
                Step::Expire { endpoint } => {
                    roster.removed(at(0), &id(endpoint), position(revision));
                    roster.registered(at(revision), entry(endpoint, born[endpoint], revision + 1));
                    revision += 1;
                    reports.iter_mut().for_each(|report| report[endpoint] = 0);
                }
            }
            for (number, node) in roster.nodes().iter().enumerate() {
                let sum: u32 = reports.iter().map(|report| report[number]).sum();
                prop_assert_eq!(node.load().open, sum);
                prop_assert_eq!(node.load().unread, u64::from(sum) * 100);
            }
        }
    }
}
