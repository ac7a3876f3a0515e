//! What is believed of an endpoint's load.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::load::{Report, Settings, State, View, Work};
use coltsfoothall::size::Tokens;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn running(running: u32) -> Report {
    Report {
        running,
        ..Report::default()
    }
}

fn settings() -> Settings {
    Settings::default()
}

fn view(mean: f64, hold: u64) -> View {
    let mean = Work {
        open: mean,
        prefill: 0.0,
    };
    View::new(mean, Duration::from_millis(hold), &settings())
}

#[test]
fn own_at_once() {
    let mut state = State::default();
    state.record_start(at(0), Tokens(500), &settings());
    let work = state.estimate(at(0), &view(0.0, 5_000));
    assert_eq!((work.open, work.prefill), (1.0, 500.0));
    state.record_prefill(at(10), Tokens(500), &settings());
    state.record_end(at(20), &settings());
    assert_eq!(state.estimate(at(20), &view(0.0, 5_000)), Work::default());
}

#[test]
fn own_not_twice() {
    let mut state = State::default();
    for _ in 0..10 {
        state.record_start(at(0), Tokens(0), &settings());
    }
    state.record_report(at(5_000), &running(14), &settings());
    let work = state.estimate(at(5_000), &view(0.0, 5_000));
    assert!((work.open - 14.0).abs() < 0.1, "{work:?}");
}

#[test]
fn late_report() {
    let mut state = State::default();
    for _ in 0..10 {
        state.record_start(at(5_000), Tokens(0), &settings());
    }
    state.record_report(at(5_001), &running(3), &settings());
    let work = state.estimate(at(5_001), &view(0.0, 5_000));
    assert!((work.open - 13.0).abs() < 0.2, "{work:?}");
}

#[test]
fn old_report() {
    let mut state = State::default();
    state.record_report(at(0), &running(0), &settings());
    assert!(state.estimate(at(0), &view(8.0, 5_000)).open < 0.1);
    let work = state.estimate(at(60_000), &view(8.0, 5_000));
    assert!((work.open - 8.0).abs() < 0.1, "{work:?}");
}

#[test]
fn short_requests() {
    let mut state = State::default();
    state.record_report(at(0), &running(30), &settings());
    let work = state.estimate(at(50), &view(2.0, 5));
    assert!((work.open - 2.0).abs() < 0.1, "{work:?}");
}
