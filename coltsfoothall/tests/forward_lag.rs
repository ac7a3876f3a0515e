//! Lag of an instance behind the newest configuration that it knows to exist.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::lag::{Backlog, Lag};

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn millis(millis: u64) -> Option<Duration> {
    Some(Duration::from_millis(millis))
}

#[test]
fn oldest_counts() {
    let mut lag = Lag::default();
    assert_eq!(lag.age(at(0)), None);
    lag.record_known(at(100), 5);
    lag.record_known(at(300), 7);
    lag.record_known(at(400), 5);
    assert_eq!(lag.age(at(1_000)), millis(900), "since version 5");
    assert_eq!(lag.record_applied(at(1_000), 5), millis(900));
    assert_eq!(
        lag.age(at(1_000)),
        millis(700),
        "version 7 is still missing"
    );
    assert_eq!(
        lag.record_applied(at(1_100), 9),
        millis(800),
        "a later version includes it"
    );
    assert_eq!(lag.age(at(1_100)), None);
}

#[test]
fn overdue_once() {
    let mut lag = Lag::default();
    lag.record_known(at(0), 5);
    lag.record_known(at(500), 6);
    assert_eq!(lag.take_overdue(at(1_900)), None);
    assert_eq!(
        lag.take_overdue(at(2_100)),
        Some((6, Duration::from_millis(2_100)))
    );
    assert_eq!(lag.take_overdue(at(3_000)), None, "reported before");
    lag.record_applied(at(3_000), 6);
    lag.record_known(at(4_000), 8);
    assert!(lag.take_overdue(at(7_000)).is_some(), "another lag");
}

#[test]
fn versions_bounded() {
    let mut lag = Lag::default();
    for version in 1..=1_000 {
        lag.record_known(at(version), version);
    }
    assert_eq!(lag.age(at(2_000)), millis(1_999));
    lag.record_applied(at(2_000), 999);
    assert!(
        lag.age(at(2_000)).is_some(),
        "the newest version is remembered"
    );
    lag.record_applied(at(2_000), 1_000);
    assert_eq!(lag.age(at(2_000)), None);
}

#[test]
fn backlog_once() {
    let mut backlog = Backlog::default();
    backlog.record_delivered(5);
    assert!(
        !backlog.should_skip_history(5),
        "every known version was delivered"
    );
    assert!(
        backlog.should_skip_history(8),
        "the history would include all versions in between"
    );
    assert!(
        !backlog.should_skip_history(8),
        "the store may lack it, as after a restore"
    );
    assert!(backlog.should_skip_history(9));
    backlog.record_delivered(12);
    assert!(!backlog.should_skip_history(12));
}

/// The store delivers most configurations, and a peer's answer would compete with it for the link.
#[test]
fn store_first() {
    let mut lag = Lag::default();
    assert!(!lag.should_ask_peer(at(0), false), "nothing is missing");
    lag.record_known(at(100), 5);
    assert!(
        !lag.should_ask_peer(at(200), true),
        "the store is expected to deliver it"
    );
    assert!(
        lag.should_ask_peer(at(200), false),
        "the store does not answer"
    );
    assert!(
        lag.should_ask_peer(at(1_200), true),
        "the store did not deliver it in time"
    );
}
