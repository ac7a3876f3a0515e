//! Readings of the members while they come and go.

use std::time::Duration;

use coltsfoothall::forward::poll::Settings;

/// Registrations change all the time, as in a rolling replacement, so each instance reads
/// again as soon as its rest is over. Readings a second of a fleet of 195 and of 330.
#[test]
fn members_replaced() {
    for members in [195, 330] {
        let calls = |rank| 1.0 / Settings::default().of(rank, rank == 0).as_secs_f64();
        let calls: f64 = (0..members).map(calls).sum();
        // Half a call for each instance, and what a small fleet makes.
        assert!(calls <= members as f64 / 2.0 + 15.0, "{members}: {calls}");
    }
}

/// Some instance sees within a heartbeat or two that nobody acts for all, whoever is lost.
#[test]
fn takeover_watched() {
    let settings = Settings::default();
    for rank in 0..3 {
        assert!(settings.of(rank, false) <= Duration::from_millis(200));
    }
    assert!(settings.of(40, true) <= Duration::from_millis(200));
}
