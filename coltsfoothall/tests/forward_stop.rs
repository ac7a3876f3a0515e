//! A graceful shutdown accepts only requests that end before it does.
//!
//! The load consists of drafts: streams that cannot be retried, with a time limit of 15 s. They have
//! 64 events on average and 184 at most, log-normally distributed with sigma 0.44, at 25 ms per
//! event, or 0.7 to 1.5 times that depending on the batch. These figures were measured on the
//! deployments served. Callers keep using open connections for as long as they keep addresses.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::duration::History;
use coltsfoothall::forward::stop::{Need, Stop};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time limit of a draft.
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Typical time of a draft.
const TYPICAL_DURATION: Duration = Duration::from_millis(64 * 25);

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

#[test]
fn moments_from_signal() {
    let stop = Stop::new(at(50_404), GRACE_PERIOD, SECOND);
    assert_eq!(stop.signalled, at(50_404));
    assert_eq!(
        stop.closes,
        at(53_404),
        "three times the second for which callers keep addresses"
    );
    assert!(
        stop.cuts < at(58_404),
        "the process ends before it is killed"
    );
    let short = Stop::new(at(0), SECOND * 4, SECOND * 5);
    assert_eq!(short.closes, at(2_000), "half of the grace period is left");
}

/// Draws the time that a draft takes.
fn draft(random: &mut Pcg64Mcg) -> Duration {
    // The sum of twelve uniform draws, less six, approximates a normal draw.
    let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let events = 64.0 * (0.44 * normal - 0.44 * 0.44 / 2.0).exp();
    let event = 0.025 * random.random_range(0.7..=1.5);
    Duration::from_secs_f64(events.clamp(1.0, 184.0) * event)
}

/// The need of a draft after 64 drafts have been recorded.
fn need(random: &mut Pcg64Mcg, elsewhere: bool) -> Need {
    let mut history = History::default();
    for _ in 0..64 {
        history.record("draft", draft(random));
    }
    Need {
        limit: TIME_LIMIT,
        longest: history.longest("draft"),
        elsewhere,
    }
}

/// While another instance accepts requests, no draft that could be cut off is accepted, whatever the
/// recorded times. A request whose limit ends within the time left is accepted.
#[test]
fn uncertain_rejected() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let stop = Stop::new(at(0), GRACE_PERIOD, SECOND);
    for now in (0..8_000).step_by(50).map(at) {
        let draft = need(&mut random, true);
        assert!(!stop.allows(now, draft), "15 s at {now}");
        let short = Need {
            limit: SECOND,
            ..draft
        };
        assert_eq!(stop.allows(now, short), now + SECOND <= stop.cuts);
    }
}

/// Without another instance, a draft that is expected to end in time is accepted: a typical one is
/// accepted early in the shutdown, and fewer than one in a hundred of those accepted are cut off.
#[test]
fn alone() {
    let (mut accepted, mut cut) = (0, 0);
    for seed in 0..100 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let need = need(&mut random, false);
        let stop = Stop::new(at(0), GRACE_PERIOD, SECOND);
        assert!(need.time() > TYPICAL_DURATION, "seed {seed}");
        for _ in 0..100 {
            let now = at(random.random_range(0..3_000));
            if stop.allows(now, need) {
                accepted += 1;
                cut += u32::from(now + draft(&mut random) > stop.cuts);
            }
        }
    }
    assert!(accepted > 5_000, "{accepted} of 10,000 accepted");
    assert!(cut * 100 < accepted, "{cut} of {accepted} cut off");
}

/// One answer in twenty is long, and the short ones do not displace it.
#[test]
fn rare_long_ones() {
    let mut history = History::default();
    for n in 0..640 {
        let took = if n % 20 == 0 { SECOND * 5 } else { SECOND / 10 };
        history.record("r", took);
        assert!(history.longest("r") >= Some(SECOND * 5), "after {n}");
    }
}

#[test]
fn unknown_route() {
    let mut history = History::default();
    history.record("b", SECOND);
    assert_eq!(history.longest("a"), None, "each route has its own history");
    let need = Need {
        limit: TIME_LIMIT,
        longest: history.longest("a"),
        elsewhere: false,
    };
    assert_eq!(need.time(), TIME_LIMIT);
    for n in 0..5_000 {
        history.record(&format!("route {n}"), SECOND);
    }
    assert_eq!(history.longest("route 4999"), None, "memory is bounded");
    assert!(history.longest("b").is_some());
}

proptest! {
    /// The expected time is the maximum of the last answers.
    #[test]
    fn any_answers(seen in prop::collection::vec(any::<u32>(), 1..300)) {
        let mut history = History::default();
        for millis in &seen {
            history.record("r", Duration::from_millis(u64::from(*millis)));
        }
        let longest = history.longest("r").expect("answers were seen");
        let last = seen.iter().rev().take(64).max().expect("one at least");
        let last = Duration::from_millis(u64::from(*last));
        prop_assert_eq!(longest, last);
    }

    /// At any time after any signal, an accepted request has its time before the cut-off.
    #[test]
    fn any_moment(
        signal in 0..100_000_u64,
        later in 0..10_000_u64,
        limit in 0..20_000_u64,
        longest in prop::option::of(0..20_000_u64),
        elsewhere: bool,
    ) {
        let stop = Stop::new(at(signal), GRACE_PERIOD, SECOND);
        let now = at(signal + later);
        let limit = Duration::from_millis(limit);
        let longest = longest.map(Duration::from_millis);
        let need = Need { limit, longest, elsewhere };
        prop_assert!(need.time() <= limit, "never longer than its limit");
        prop_assert_eq!(stop.allows(now, need), now + need.time() <= stop.cuts);
        if elsewhere {
            prop_assert_eq!(need.time(), limit);
        }
        prop_assert!(stop.closes < stop.cuts);
    }
}
