//! Election of the leader.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::{Era, Fence, Lease, Position};
use coltsfoothall::forward::leader::{Leader, Step};

const TERM: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn position(revision: u64) -> Position {
    let era = Era(1);
    Position { era, revision }
}

fn lease(id: u64) -> Lease {
    let era = Era(1);
    Lease { id, era }
}

#[test]
fn store_first() {
    let mut leader = Leader::new(TERM);
    assert_eq!(
        leader.step(at(9_000), 0),
        Step::Wait,
        "another instance may hold the key"
    );
    leader.freed(at(9_000));
    assert_eq!(leader.step(at(9_000), 0), Step::Claim);
}

#[test]
fn one_after_other() {
    let mut leader = Leader::new(TERM);
    leader.freed(at(1_000));
    assert_eq!(leader.step(at(1_000), 2), Step::Wait);
    assert_eq!(leader.step(at(1_700), 2), Step::Wait);
    assert_eq!(leader.step(at(1_750), 2), Step::Claim);
    leader.taken(position(5));
    assert_eq!(leader.step(at(9_000), 2), Step::Wait);
}

#[test]
fn acts_within_lease() {
    let mut leader = Leader::new(TERM);
    leader.freed(at(0));
    leader.claimed(at(0), lease(7), position(12));
    assert_eq!(leader.fence(at(2_000)), Some(Fence::from(position(12))));
    assert_eq!(
        leader.fence(at(2_250)),
        None,
        "the margin at the end of the lease"
    );
    leader.renewed(at(1_000), lease(7));
    assert_eq!(leader.fence(at(3_000)), Some(Fence::from(position(12))));
    leader.renewed(at(3_000), lease(99));
    assert_eq!(
        leader.fence(at(3_300)),
        None,
        "another lease renews nothing"
    );
}

#[test]
fn frozen_leader_silent() {
    let mut leader = Leader::new(TERM);
    leader.claimed(at(0), lease(7), position(12));
    assert_eq!(
        leader.fence(at(60_000)),
        None,
        "the lease expires while the process is frozen"
    );
    leader.taken(position(15));
    leader.renewed(at(60_000), lease(7));
    assert_eq!(
        leader.fence(at(60_000)),
        None,
        "a key of another leader ends the term"
    );
    assert_eq!(leader.step(at(60_000), 0), Step::Wait);
}

#[test]
fn stop_releases() {
    let mut leader = Leader::new(TERM);
    leader.claimed(at(0), lease(7), position(12));
    leader.stop();
    assert_eq!(leader.step(at(1), 0), Step::Release(lease(7)));
    leader.lost();
    leader.freed(at(2));
    assert_eq!(
        leader.step(at(9_000), 0),
        Step::Wait,
        "a stopping instance claims nothing"
    );
}

/// The store is restored from a backup that holds neither the key nor the lease.
#[test]
fn claims_anew() {
    let mut leader = Leader::new(TERM);
    leader.claimed(at(0), lease(7), position(900));
    leader.record_era(Era(1));
    assert_eq!(leader.fence(at(100)), Some(Fence::from(position(900))));
    leader.record_era(Era(2));
    assert_eq!(leader.fence(at(100)), None, "no fence before a new claim");
    leader.renewed(at(100), lease(7));
    assert_eq!(
        leader.fence(at(200)),
        None,
        "a late response renews nothing"
    );
    leader.freed(at(200));
    assert_eq!(leader.step(at(200), 0), Step::Claim);
    let (era, revision) = (Era(2), 13);
    let created = Position { era, revision };
    leader.claimed(at(200), Lease { id: 7, era }, created);
    assert!(leader.fence(at(300)) > Some(Fence::from(position(900))));
}

/// A lease that was granted before the restore, and a key that was written after it.
#[test]
fn claim_over_rise() {
    let mut leader = Leader::new(TERM);
    let created = Position {
        era: Era(2),
        revision: 3,
    };
    leader.claimed(at(0), lease(7), created);
    leader.record_era(Era(2));
    assert_eq!(leader.fence(at(1)), None);
}
