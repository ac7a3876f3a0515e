//! Retry budgets.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::retry::{Budget, Settings, Verdict};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

#[test]
fn outage_bounded() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = Budget::new(Settings::default());
    let mut sent = 0;
    for n in 0..10_000 {
        budget.record_first_attempt(at(n));
        sent += 1;
        let mut attempts = 1;
        while let Verdict::After(_) = budget.retry(at(n), attempts, &mut random) {
            attempts += 1;
            sent += 1;
        }
    }
    assert!(
        sent <= 10_000 + 1_000 + 20 + 2,
        "{sent} attempts for 10000 requests"
    );
}

#[test]
fn few_attempts() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = Budget::new(Settings::default());
    assert!(matches!(
        budget.retry(at(0), 3, &mut random),
        Verdict::After(_)
    ));
    assert!(matches!(
        budget.retry(at(0), 4, &mut random),
        Verdict::Stop(_)
    ));
}

#[test]
fn waits_grow() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let settings = Settings {
        attempts: 40,
        burst: 1e6,
        ..Settings::default()
    };
    let mut budget = Budget::new(settings);
    for attempts in 1..39 {
        let most = Duration::from_millis(20 << (attempts - 1).min(20)).min(Duration::from_secs(2));
        match budget.retry(at(0), attempts, &mut random) {
            Verdict::After(wait) => assert!(wait <= most),
            Verdict::Stop(_) => panic!("stopped at {attempts}"),
        }
    }
}

#[test]
fn quiet_refills() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = Budget::new(Settings::default());
    while let Verdict::After(_) = budget.retry(at(0), 1, &mut random) {}
    let Verdict::Stop(after) = budget.retry(at(0), 1, &mut random) else {
        panic!("the budget was empty");
    };
    let later = at(0) + after;
    assert!(matches!(
        budget.retry(later, 1, &mut random),
        Verdict::After(_)
    ));
}

#[test]
fn carried_spaced() {
    let mut budget = Budget::new(Settings::default());
    let waits: Vec<Duration> = (0..400).map(|_| budget.carry(at(0))).collect();
    assert!(waits[..200].iter().all(Duration::is_zero));
    assert_eq!(waits[399], Duration::from_secs(1));
}
