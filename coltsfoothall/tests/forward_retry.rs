//! The part of a retry budget that one instance spends.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::retry::{Budget, Settings};

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

/// A budget of which a tenth of the requests, and ten retries more, may be retried.
fn budget() -> Budget {
    let settings = Settings {
        ratio: 0.1,
        slack: 10.0,
        ..Settings::default()
    };
    Budget::new(settings, 1, Time::START)
}

/// Retries that are allowed out of so many.
fn allowed(budget: &mut Budget, now: Time, sharers: Option<u32>, count: usize) -> usize {
    (0..count).filter(|_| budget.take(now, sharers)).count()
}

/// A process that has just started must not spend what the one before it may have spent.
#[test]
fn starts_empty() {
    let mut budget = budget();
    assert_eq!(allowed(&mut budget, at(0), Some(3), 100), 0);
}

#[test]
fn window_bounded() {
    let mut budget = budget();
    let mut count = 0;
    for millis in (0..30_000).step_by(10) {
        let spent = allowed(&mut budget, at(millis), Some(3), 3);
        count += if millis >= 20_000 { spent } else { 0 };
    }
    assert!(count <= 4, "{count} of a third of ten");
}

#[test]
fn requests_add() {
    let mut budget = budget();
    for millis in 0..1_000 {
        budget.record_first(at(10_000 + millis), Some(1_000_000));
    }
    let limit = budget.limit();
    let count = allowed(&mut budget, at(11_000), Some(1_000_000), 1_000);
    assert!((30..=50).contains(&count), "{count}, limit {limit}");
}

/// The settings that were in force at the first request stayed for the life of the process.
#[test]
fn settings_reloaded() {
    let mut budget = budget();
    assert!(allowed(&mut budget, at(60_000), Some(3), 2) > 0);
    budget.reload(Settings {
        ratio: 0.0,
        slack: 0.0,
        ..Settings::default()
    });
    budget.record_first(at(60_000), Some(3));
    assert_eq!(allowed(&mut budget, at(120_000), Some(3), 100), 0);
}

/// An instance that is gone may have spent its part just before.
#[test]
fn lost_members_keep_parts() {
    let mut budget = budget();
    budget.take(at(0), Some(10));
    let limit = budget.limit();
    budget.take(at(9_000), Some(5));
    assert!((budget.limit() - limit).abs() < 1e-9);
    budget.take(at(10_001), Some(5));
    assert!((budget.limit() - 2.0 * limit).abs() < 1e-9);
}

#[test]
fn standby_loses_part() {
    let mut budget = budget();
    budget.take(at(60_000), Some(3));
    assert!(budget.limit() > 0.0);
    assert_eq!(allowed(&mut budget, at(120_000), None, 100), 0);
}
