//! Detection of requests that crash endpoints.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::id::Endpoint;
use coltsfoothall::record::{Class, Intake, Name, Work};
use coltsfoothall::size::Millis;
use coltsfoothall::suspicion::{Evidence, Fingerprint, Notice, Settings, Tracker, Verdict};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn fingerprint(prompt: &str) -> Fingerprint {
    Fingerprint::new(&Intake {
        name: Name {
            workspace: "w".parse().unwrap(),
            key: "k".parse().unwrap(),
        },
        service: "s".parse().unwrap(),
        work: Work::Completion {
            model: "m".parse().unwrap(),
            adapter: None,
            prompt: prompt.into(),
            max_tokens: 8,
        },
        idempotent: true,
        class: Class::Interactive,
        deadline: Millis(1000),
    })
}

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn endpoint(number: u64) -> Endpoint {
    format!("e{number}").parse().unwrap()
}

fn crash(
    tracker: &mut Tracker,
    millis: u64,
    attempt: u64,
    fingerprint: Fingerprint,
    isolated: bool,
) {
    tracker.record_start(
        at(millis),
        attempt,
        endpoint(attempt),
        fingerprint,
        isolated,
    );
    tracker.record_death(at(millis + 10), &endpoint(attempt), false);
}

#[test]
fn innocent_content_cleared() {
    let mut tracker = Tracker::new(Settings::default());
    let (bad, good) = (fingerprint("bad"), fingerprint("good"));
    tracker.record_start(at(0), 1, endpoint(1), bad, false);
    tracker.record_start(at(0), 2, endpoint(1), good, false);
    assert_eq!(tracker.record_death(at(5), &endpoint(1), false).len(), 4);
    assert_eq!(tracker.verdict(at(6), good), Verdict::Isolated);
    tracker.record_start(at(7), 3, endpoint(2), good, true);
    assert_eq!(tracker.verdict(at(8), good), Verdict::Later);
    tracker.record_end(at(9), 3, true);
    assert_eq!(tracker.verdict(at(10), good), Verdict::Free);
    crash(&mut tracker, 11, 4, bad, true);
    assert_eq!(tracker.verdict(at(30), bad), Verdict::Poisonous);
}

#[test]
fn announced_death_ignored() {
    let mut tracker = Tracker::new(Settings::default());
    tracker.record_start(at(0), 1, endpoint(1), fingerprint("x"), false);
    assert_eq!(tracker.record_death(at(5), &endpoint(1), true), []);
    assert_eq!(tracker.verdict(at(6), fingerprint("x")), Verdict::Free);
}

#[test]
fn simultaneous_deaths_count_once() {
    let mut tracker = Tracker::new(Settings::default());
    let common = fingerprint("ping");
    for attempt in 1..=3 {
        tracker.record_start(at(0), attempt, endpoint(attempt), common, false);
    }
    for attempt in 1..=3 {
        tracker.record_death(at(5 + attempt), &endpoint(attempt), false);
    }
    assert_eq!(tracker.verdict(at(20), common), Verdict::Isolated);
    crash(&mut tracker, 21, 9, common, false);
    assert_eq!(tracker.verdict(at(40), common), Verdict::Poisonous);
}

/// Milliseconds between two requests of a caller, and from a crash until the death is known.
const INTERVAL: u64 = 300;
const DELAY: u64 = 3_600;

/// Endpoints lost until one content is refused. `record` enters the run that crashes each.
fn lost_until_refused(record: impl Fn(&mut Tracker, Fingerprint, u64, u64)) -> u64 {
    let mut tracker = Tracker::new(Settings::default());
    let fingerprint = fingerprint("bad");
    for step in 0..200 {
        let now = step * INTERVAL;
        if let Some(known) = step.checked_sub(DELAY / INTERVAL) {
            tracker.record_death(at(now), &endpoint(known), false);
        }
        if tracker.verdict(at(now), fingerprint) == Verdict::Poisonous {
            return step;
        }
        record(&mut tracker, fingerprint, step, now);
    }
    200
}

/// Guards against deaths that never count as separate because they are known long after the runs
/// began: 39 endpoints were lost to one request.
#[test]
fn known_late() {
    let lost = lost_until_refused(|tracker, fingerprint, step, now| {
        tracker.record_start(at(now), step, endpoint(step), fingerprint, false);
    });
    let bound = 2 * (DELAY / INTERVAL) + 1;
    assert!(lost <= bound, "{lost} endpoints lost, {bound} allowed");
}

/// Guards against a second delay where deaths are known late: two runs are separate if the later one
/// began after the earlier one was interrupted, whenever their deaths become known.
#[test]
fn interruptions_separate() {
    let lost = lost_until_refused(|tracker, fingerprint, step, now| {
        tracker.record_interrupted(at(now + 30), step, endpoint(step), fingerprint, at(now));
    });
    let bound = DELAY / INTERVAL + 1;
    assert!(lost <= bound, "{lost} endpoints lost, {bound} allowed");
}

#[test]
fn variations_condemned() {
    let mut tracker = Tracker::new(Settings::default());
    let mut lost = 0;
    for variation in 0..50 {
        let fingerprint = fingerprint(&format!("{} {variation}", "crash ".repeat(300)));
        for _ in 0..4 {
            let verdict = tracker.verdict(at(lost * 100), fingerprint);
            if verdict == Verdict::Poisonous {
                break;
            }
            lost += 1;
            let isolated = verdict == Verdict::Isolated;
            crash(&mut tracker, lost * 100, lost, fingerprint, isolated);
        }
    }
    assert!(lost <= 6, "{lost} endpoints lost");
}

#[test]
fn evidence_expires() {
    let settings = Settings {
        max_marks: 8,
        ..Settings::default()
    };
    let mut tracker = Tracker::new(settings);
    for number in 0..40 {
        crash(
            &mut tracker,
            number * 100,
            number,
            fingerprint(&format!("{number}")),
            true,
        );
    }
    assert!(tracker.len() <= 8);
    tracker.expire(at(4_000) + settings.retention);
    assert!(tracker.is_empty());
}

#[test]
fn merge_converges() {
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut from = Tracker::new(Settings::default());
        for attempt in 0..6 {
            let fingerprint = fingerprint(&format!("{}", rng.random_range(0..3)));
            crash(
                &mut from,
                attempt * 20,
                attempt,
                fingerprint,
                rng.random_bool(0.2),
            );
        }
        let reported = from.evidence(at(500));
        let mut twice = Tracker::new(Settings::default());
        for evidence in reported.iter().rev().chain(&reported) {
            twice.merge(at(500), std::slice::from_ref(evidence));
        }
        assert_eq!(twice.evidence(at(500)), reported, "seed {seed}");
    }
}

/// Guards against a list of deaths that depends on the order in which they were reported.
#[test]
fn order_ignored() {
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mark = fingerprint("bad").content;
        let mut reports: Vec<Evidence> = (0..12)
            .map(|attempt| {
                let age = rng.random_range(0..400);
                let death = Notice {
                    attempt,
                    began: Millis(age + rng.random_range(1..400)),
                    age: Millis(age),
                    isolated: false,
                };
                Evidence {
                    mark,
                    deaths: vec![death],
                    cleared: None,
                }
            })
            .collect();
        let merged = |reports: &[Evidence]| {
            let mut tracker = Tracker::new(Settings::default());
            tracker.merge(at(1_000), reports);
            tracker.evidence(at(1_000))
        };
        let first = merged(&reports);
        reports.shuffle(&mut rng);
        assert_eq!(merged(&reports), first, "seed {seed}");
    }
}

/// Guards against a process that has just started and takes deaths of copies that ran at the same
/// time, all of them before it started, for separate ones.
#[test]
fn before_start() {
    let mut tracker = Tracker::new(Settings::default());
    let content = fingerprint("common").content;
    let death = |attempt, began, age| Notice {
        attempt,
        began: Millis(began),
        age: Millis(age),
        isolated: false,
    };
    let reported = [Evidence {
        mark: content,
        deaths: vec![death(1, 6_000, 5_000), death(2, 5_500, 4_000)],
        cleared: None,
    }];
    tracker.merge(at(100), &reported);
    assert_eq!(
        tracker.verdict(at(100), fingerprint("common")),
        Verdict::Isolated
    );
    assert_eq!(tracker.evidence(at(100)), reported, "passed on as it is");
}

/// Endpoints lost to one caller that resends a crashing request through any instance, with the
/// documented bound.
fn lost_endpoints(seed: u64) -> (u64, u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let instances = rng.random_range(1..12_usize);
    let gossip = rng.random_range(1..400);
    let run = rng.random_range(20..200);
    let settings = Settings::default;
    let mut trackers: Vec<Tracker> = (0..instances).map(|_| Tracker::new(settings())).collect();
    let mut mail: Vec<(u64, usize, Vec<Evidence>)> = Vec::new();
    let (mut now, mut lost) = (0, 0);
    let bad = fingerprint("crash");
    for _ in 0..100 {
        let by = rng.random_range(0..instances);
        loop {
            for (due, to, evidence) in &mail {
                if *due <= now {
                    let tracker: &mut Tracker = &mut trackers[*to];
                    tracker.merge(at(now), evidence);
                }
            }
            mail.retain(|(due, ..)| *due > now);
            let verdict = trackers[by].verdict(at(now), bad);
            if verdict == Verdict::Poisonous {
                break;
            }
            lost += 1;
            let isolated = verdict == Verdict::Isolated;
            trackers[by].record_start(at(now), lost, endpoint(lost), bad, isolated);
            now += run;
            trackers[by].record_death(at(now), &endpoint(lost), false);
            for to in (0..instances).filter(|to| *to != by) {
                mail.push((now + gossip, to, trackers[by].evidence(at(now))));
            }
        }
        now += 1;
    }
    let unaware = (2 * (instances as u64 - 1)).min(gossip.div_ceil(run));
    (lost, 2 + unaware)
}

#[test]
fn losses_bounded() {
    for seed in 0..5_000 {
        let (lost, bound) = lost_endpoints(seed);
        assert!(lost <= bound, "seed {seed}: {lost} lost, bound {bound}");
    }
}

/// However many endpoints die at once, each message stays small and includes marks with several
/// deaths, and all evidence is sent within a few rounds.
#[test]
fn told_in_parts() {
    let mut tracker = Tracker::new(Settings::default());
    for attempt in 0..100 {
        crash(
            &mut tracker,
            0,
            attempt,
            fingerprint(&format!("one {attempt}")),
            false,
        );
    }
    let bad = fingerprint("bad");
    crash(&mut tracker, 20, 200, bad, false);
    crash(&mut tracker, 40, 201, bad, false);
    let all = tracker.evidence(at(60));
    let mut reported: Vec<Evidence> = Vec::new();
    for round in 5..5 + all.len() {
        let batch = tracker.evidence_batch(at(60), 16, round);
        assert!(batch.len() <= 16);
        assert!(batch.iter().any(|evidence| evidence.deaths.len() > 1));
        reported.extend(batch);
    }
    assert!(all.iter().all(|evidence| reported.contains(evidence)));
}
