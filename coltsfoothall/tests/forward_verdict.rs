//! Which answers count as bad, and when a version is judged worse.

use std::time::Duration;

use coltsfoothall::forward::verdict::{Count, Detector};

fn counted(millis: &[u64], usual: Count) -> Count {
    let mut count = Count::default();
    for millis in millis {
        count.add(Duration::from_millis(*millis), false, usual);
    }
    count
}

/// Answer times of a fast service vary by multiples of the mean, which does not make them slow.
#[test]
fn fast_answers() {
    let usual = counted(&[0; 100], Count::default());
    assert_eq!(counted(&[0, 1, 5, 40], usual).bad, 0);
    assert_eq!(counted(&[51], usual).bad, 1);
}

#[test]
fn slow_answers() {
    let usual = counted(&[100; 30], Count::default());
    assert_eq!(counted(&[100, 250, 300, 301, 900], usual).bad, 2);
    let few = counted(&[100; 10], Count::default());
    assert_eq!(
        counted(&[900], few).bad,
        0,
        "too few answers of the baseline"
    );
}

/// Good answers do not delay the detection of later bad ones.
#[test]
fn late_degradation() {
    let baseline = Count {
        runs: 1_000,
        bad: 10,
        micros: 0,
    };
    let sound = Count {
        runs: 500,
        ..Count::default()
    };
    let bad = Count {
        runs: 6,
        bad: 6,
        micros: 0,
    };
    let mut detector = Detector::default();
    detector.record(sound, baseline);
    assert!(!detector.is_suspect());
    detector.record(bad, baseline);
    assert!(detector.is_certain());
}
