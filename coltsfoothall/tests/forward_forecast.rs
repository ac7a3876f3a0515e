//! Forecast of the load that endpoints are ordered for.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::forecast::{Forecast, Settings};

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

/// The forecast while four instances report a load of `load(time)` every 300 ms, unless silent.
fn forecasts(load: fn(u64) -> f64, silent: fn(u64, u64) -> bool, boot: fn(u64) -> u64) -> Vec<f64> {
    let mut forecast = Forecast::new(at(0), Settings::default());
    let mut totals = [0.0; 4];
    let mut values = Vec::new();
    for millis in (0..60_000).step_by(100) {
        if millis > 0 && boot(millis) != boot(millis - 100) {
            totals = [0.0; 4];
        }
        for (instance, total) in (0..).zip(&mut totals) {
            *total += load(millis) / 4.0 * 1e5;
            if millis % 300 == 0 && !silent(millis, instance) {
                forecast.merge_work(at(millis), boot(millis) + instance, *total as u64);
            }
        }
        values.push(forecast.load(at(millis)).map_or(0.0, |load| load.value));
    }
    values
}

/// Guards against orders for a load of nothing while the first traffic is already there.
#[test]
fn known_early() {
    let values = forecasts(
        |millis| if millis < 5_000 { 0.0 } else { 40.0 },
        |_, _| false,
        |_| 0,
    );
    assert_eq!(values[49], 0.0);
    assert!((30.0..60.0).contains(&values[65]), "{:?}", &values[50..70]);
}

/// Guards against endpoints that are held for a burst which has ended.
#[test]
fn burst_released() {
    let burst = |millis| {
        if (30_000..33_500).contains(&millis) {
            64.0
        } else {
            40.0
        }
    };
    let values = forecasts(burst, |_, _| false, |_| 0);
    assert!(values.iter().all(|value| *value < 70.0), "{values:?}");
    assert!(
        values[380..].iter().all(|value| *value < 48.0),
        "{:?}",
        &values[330..400]
    );
}

/// Guards against a fall of the load while half of the instances are silent for 4 s, and against a
/// burst when they report again.
#[test]
fn silence_bridged() {
    let silent = |millis, instance| instance < 2 && (30_000..34_000).contains(&millis);
    let values = forecasts(|_| 40.0, silent, |_| 0);
    assert!(
        values[100..]
            .iter()
            .all(|value| (38.0..42.0).contains(value)),
        "{values:?}"
    );
}

/// Guards against endpoints that are given back while callers pause, and against a load that stays
/// unknown after they return.
#[test]
fn pause_bridged() {
    let pause = |millis| {
        if (30_000..39_000).contains(&millis) {
            0.0
        } else {
            40.0
        }
    };
    let values = forecasts(pause, |_, _| false, |_| 0);
    let range = 32.0..48.0;
    assert!(
        values[100..].iter().all(|value| range.contains(value)),
        "{:?}",
        &values[290..450]
    );
}

/// Guards against a load that is never forgotten.
#[test]
fn end_noticed() {
    let values = forecasts(
        |millis| if millis < 20_000 { 40.0 } else { 0.0 },
        |_, _| false,
        |_| 0,
    );
    assert_eq!(values[599], 0.0);
}

/// Guards against the load of ended instances being added to that of their successors.
#[test]
fn restart_counted_once() {
    let values = forecasts(
        |_| 40.0,
        |_, _| false,
        |millis| if millis < 30_000 { 0 } else { 10 },
    );
    let range = 36.0..48.0;
    assert!(
        values[100..].iter().all(|value| range.contains(value)),
        "{:?}",
        &values[290..380]
    );
}
