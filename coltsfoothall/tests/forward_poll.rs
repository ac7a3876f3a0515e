//! Reads of the member list while members join and leave.

use std::time::Duration;

use coltsfoothall::forward::poll::Settings;

/// Registrations change continuously, as in a rolling replacement, so that each instance reads again
/// as soon as its delay is over. Bounds the reads per second of fleets of 195 and 330.
#[test]
fn members_replaced() {
    for members in [195, 330] {
        let calls = |rank| 1.0 / Settings::default().of(rank, rank == 0).as_secs_f64();
        let calls: f64 = (0..members).map(calls).sum();
        // Half a call per instance, and the calls of a small fleet.
        assert!(calls <= members as f64 / 2.0 + 15.0, "{members}: {calls}");
    }
}

/// Whichever instance is lost, another one notices within a heartbeat or two that there is no
/// leader.
#[test]
fn takeover_watched() {
    let settings = Settings::default();
    for rank in 0..3 {
        assert!(settings.of(rank, false) <= Duration::from_millis(200));
    }
    assert!(settings.of(40, true) <= Duration::from_millis(200));
}
