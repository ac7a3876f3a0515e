//! Retry times of refused requests: callers return when there is capacity, and not all together.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::retry_after::{Shortage, Tracker};
use coltsfoothall::id;

/// The times in milliseconds without and with the largest jitter at a load of 50 on the 16
/// endpoints left of 84, for a caller with a limit of 60 s, as far as `change` leaves it so.
fn times(tracker: &mut Tracker, millis: u64, change: impl Fn(&mut Shortage)) -> (u128, u128) {
    times_of(tracker, ("reader", millis), change)
}

fn times_of(
    tracker: &mut Tracker,
    at: (&str, u64),
    change: impl Fn(&mut Shortage),
) -> (u128, u128) {
    let mut shortage = Shortage {
        load: Some(50.0),
        capacity: 16.0 * 0.6,
        boot: Some(Duration::from_secs(4)),
        wait: Duration::from_millis(300),
        left: Duration::from_secs(60),
    };
    change(&mut shortage);
    let now = Time::START + Duration::from_millis(at.1);
    let service: id::Service = at.0.parse().unwrap();
    let mut draw = |draw| tracker.refuse(now, &service, &shortage, draw).as_millis();
    (draw(0.0), draw(1.0))
}

/// Load of 50 on 16 endpoints, then on none. Guards against 0.3 s throughout, against zero once the
/// shortage outlasts the start of an endpoint, and against times over 10 s.
#[test]
fn endpoints_gone() {
    let mut tracker = Tracker::default();
    for (at, time) in [(0, 4_500), (3_000, 1_500), (4_400, 300), (4_500, 2_250)] {
        assert_eq!(times(&mut tracker, at, |_| {}).0, time, "at {at} ms");
    }
    let none = times(&mut tracker, 12_000, |shortage| shortage.capacity = 0.0);
    assert_eq!(none.0, 4_500, "ordered anew");
    let boot = Some(Duration::from_secs(90));
    assert!(times(&mut tracker, 13_000, |shortage| shortage.boot = boot).1 <= 10_000);
}

/// Load that varies between 0.85 and 1.05 of the capacity each second. Guards against times that
/// change between short and long with it, and against long times after it.
#[test]
fn load_wobbles() {
    let mut tracker = Tracker::default();
    let mut at = |second: u64, utilization: f64| {
        let load = |shortage: &mut Shortage| shortage.load = Some(utilization * shortage.capacity);
        times(&mut tracker, second * 1_000, load).0
    };
    for second in 0..30 {
        let utilization = if second % 2 == 0 { 1.05 } else { 0.85 };
        let time = [4_500, 3_500, 2_500, 1_500, 500].get(second as usize);
        let time = time.copied().unwrap_or(2_250);
        assert_eq!(at(second, utilization), time, "at {second} s");
    }
    assert_eq!((at(31, 0.85), at(32, 0.95)), (300, 300), "over");
    assert_eq!((at(40, 1.05), at(60, 1.05)), (4_500, 4_500), "a new one");
}

/// A load that this instance does not know, as it has just started or is cut off, and one that no
/// order follows. Guards against the time of an order without a reason for it.
#[test]
fn load_unknown() {
    let mut tracker = Tracker::default();
    let unknown = times(&mut tracker, 0, |shortage| shortage.load = None);
    assert_eq!(unknown, (300, 450));
    let fixed = times(&mut tracker, 0, |shortage| {
        (shortage.boot, shortage.wait) = (None, Duration::from_secs(2));
    });
    assert_eq!(fixed, (2_000, 2_500));
}

/// Load of callers with limits of 3 to 60 s. Guards against times beyond the third that they
/// honor, which would bring all back together, and against a span that does not grow.
#[test]
fn limits_differ() {
    let spans = [(3_000, 750, 1_000), (15_000, 3_875, 5_000)];
    for (limit, first, last) in spans.into_iter().chain([(60_000, 4_500, 5_625)]) {
        let left = Duration::from_millis(limit);
        let found = times(&mut Tracker::default(), 0, |shortage| shortage.left = left);
        assert_eq!(found, (first, last), "limit {limit} ms");
    }
    let over = |shortage: &mut Shortage| shortage.left = Duration::ZERO;
    assert!(times(&mut Tracker::default(), 0, over).0 > 0);
}

/// Load on 257 services, all short. Guards against memory that grows with the services: the one
/// that was refused longest ago begins anew, the others go on.
#[test]
fn services_bounded() {
    let mut tracker = Tracker::default();
    let mut at =
        |number: u64, millis| times_of(&mut tracker, (&format!("s-{number}"), millis), |_| {}).0;
    assert!((0..257).all(|number| at(number, number) == 4_500));
    assert_eq!((at(256, 1_256), at(0, 1_300)), (3_500, 4_500));
}
