//! A planned stop takes only what ends before it does.
//!
//! The load is a season's drafts as callers of engines ask for them: streams of 64 events on
//! average and three times as many at most, six tokens an event, 10 ms a token give or take a
//! half with the batch that they run in. They cannot be run again, and callers go on to use open
//! connections for as long as they keep addresses.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::duration::Estimates;
use coltsfoothall::forward::stop::Stop;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);
const GRACE: Duration = Duration::from_secs(8);
/// Usual time for an event of six tokens.
const EVENT: Duration = Duration::from_millis(60);

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

#[test]
fn moments_from_signal() {
    let stop = Stop::new(at(50_404), GRACE, SECOND);
    assert_eq!(stop.signalled, at(50_404));
    assert_eq!(
        stop.closes,
        at(53_404),
        "callers keep addresses for three seconds"
    );
    assert!(stop.cuts < at(58_404), "by itself, before it is killed");
    let short = Stop::new(at(0), SECOND * 4, SECOND * 5);
    assert_eq!(
        short.closes,
        at(2_000),
        "half of the grace is left for answers"
    );
}

/// Events of an answer, and the time that it takes.
fn answer(random: &mut Pcg64Mcg) -> (u64, Duration) {
    let events = random.random_range(8..=184);
    let event = EVENT.mul_f64(random.random_range(0.5..=1.5));
    (events, event * events as u32)
}

/// Tokens that an answer of so many events may have.
fn most(events: u64) -> u64 {
    events * 6
}

/// Sees an answer from its first event to its end, 8 events at a time.
fn see(estimates: &mut Estimates, (events, took): (u64, Duration)) {
    for _ in 0..events / 8 {
        estimates.progressed("draft", 8, took * 8 / events as u32);
    }
    estimates.ended("draft", most(events), events, took);
}

#[test]
fn none_cut() {
    let (mut taken, mut short) = (0, 0);
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut estimates = Estimates::default();
        for _ in 0..40 {
            see(&mut estimates, answer(&mut random));
        }
        let stop = Stop::new(at(0), GRACE, SECOND);
        for _ in 0..100 {
            let now = at(random.random_range(0..3_100));
            let (events, takes) = answer(&mut random);
            let longest = estimates
                .longest("draft", most(events))
                .expect("answers were seen");
            let allowed = stop.allows(now, longest);
            if allowed {
                taken += 1;
                assert!(now + takes <= stop.cuts, "seed {seed}: cut after {takes:?}");
            }
            let usual = EVENT * events as u32;
            if now + usual * 3 <= stop.cuts {
                short += 1;
                assert!(allowed, "seed {seed}: time enough for three like it");
            }
        }
    }
    assert!(taken > 1_000 && short > 500, "{taken} taken, {short} short");
}

#[test]
fn unknown_route() {
    let mut estimates = Estimates::default();
    assert_eq!(estimates.longest("a", 1), None);
    estimates.progressed("b", 1, SECOND);
    assert_eq!(
        estimates.longest("b", 1),
        None,
        "how long one is was not seen"
    );
    estimates.ended("b", 1, 1, SECOND);
    assert_eq!(estimates.longest("a", 1), None, "each route has its own");
    for n in 0..5_000 {
        let route = format!("route {n}");
        estimates.ended(&route, 1, 1, SECOND);
    }
    assert_eq!(
        estimates.longest("route 4999", 1),
        None,
        "memory is bounded"
    );
    assert!(estimates.longest("b", 1).is_some());
}

/// Load rises threefold while answers are under way: that shows before any of them has ended.
#[test]
fn rising_load() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut estimates = Estimates::default();
    for _ in 0..40 {
        see(&mut estimates, answer(&mut random));
    }
    for _ in 0..24 {
        let event = (EVENT * 3).mul_f64(random.random_range(0.5..=1.5));
        estimates.progressed("draft", 8, event * 8);
    }
    let longest = estimates.longest("draft", most(64)).expect("seen");
    assert!(longest > EVENT * 3 * 64, "{longest:?}");
}

proptest! {
    /// Whatever was seen, the longest time is finite, grows with the answer, and is no more
    /// than 25 times what the longest events and most events seen come to: the means lie
    /// within what was seen, and so do the distances.
    #[test]
    fn any_answers(
        seen in prop::collection::vec((0..2_000_u64, 0..300_u64, 0..100_000_u64), 1..60),
        units in 0..4_000_u64,
    ) {
        let mut estimates = Estimates::default();
        let (mut slowest, mut fullest) = (0_f64, 0_f64);
        for (units, events, millis) in seen {
            let took = Duration::from_millis(millis);
            estimates.progressed("r", events, took);
            estimates.ended("r", units, events, took);
            slowest = slowest.max(millis as f64 / 1e3 / events.max(1) as f64);
            fullest = fullest.max(events as f64 / units.max(1) as f64);
        }
        let longest = estimates.longest("r", units).expect("answers were seen");
        prop_assert!(longest <= estimates.longest("r", units + 1).expect("seen"));
        let most = slowest * fullest * units.max(1) as f64 * 25.0;
        prop_assert!(longest.as_secs_f64() <= most * 1.001 + 1e-6);
    }

    /// The same after each signal: what is allowed ends by the last moment, and what may take
    /// no time is allowed until then.
    #[test]
    fn any_moment(signal in 0..100_000_u64, later in 0..10_000_u64, takes in 0..10_000_u64) {
        let stop = Stop::new(at(signal), GRACE, SECOND);
        let now = at(signal + later);
        let takes = Duration::from_millis(takes);
        prop_assert_eq!(stop.allows(now, takes), now + takes <= stop.cuts);
        prop_assert_eq!(stop.allows(now, Duration::ZERO), now <= stop.cuts);
        prop_assert!(stop.closes < stop.cuts);
    }
}
