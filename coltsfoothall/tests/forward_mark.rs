//! Which usage windows a new leader may report, given what the store and the instances still know.

use std::time::Duration;

use coltsfoothall::forward::history::Era;
use coltsfoothall::forward::mark::{Doubt, Evidence, Mark};

const LONG_AGO: Duration = Duration::from_secs(60);

fn mark(era: u64, window: u64) -> Mark {
    Mark {
        era: Era(era),
        window: Some(window),
    }
}

/// A leader of era 2 that has just read the store, in which window 20 was the last one due when the
/// era was first seen.
fn evidence(stored: Option<Mark>) -> Evidence {
    Evidence {
        era: Era(2),
        stored,
        due: Some(20),
        ..Evidence::default()
    }
}

/// Guards against windows that are given up although the store was not restored: it tells which were
/// reported.
#[test]
fn same_era_exact() {
    let found = evidence(Some(mark(2, 12)));
    assert_eq!(found.mark(), Some(mark(2, 12)));
}

/// Guards against a second report of a window that was due before the store was restored.
#[test]
fn restore_leaves_doubt() {
    let found = Evidence {
        age: LONG_AGO,
        ..evidence(Some(mark(1, 12)))
    };
    assert_eq!(found.mark(), Some(mark(2, 20)));
    assert_eq!(evidence(None).mark(), Some(mark(2, 20)));
}

/// Guards against windows that are given up although the leader of the era before lives on and knows
/// what it reported.
#[test]
fn former_leader_awaited() {
    let restored = evidence(Some(mark(1, 12)));
    assert_eq!(restored.mark(), None);
    let known = Evidence {
        own: Some(mark(2, 19)),
        ..restored
    };
    assert_eq!(known.mark(), Some(mark(2, 19)));
    let outdated = Evidence {
        own: Some(mark(1, 19)),
        age: LONG_AGO,
        ..restored
    };
    assert_eq!(outdated.mark(), Some(mark(2, 20)));
}

/// Guards against a wait for a former leader where all windows that were due are known to be reported.
#[test]
fn nothing_in_doubt() {
    let reported = Evidence {
        reported: Some(20),
        ..evidence(Some(mark(1, 12)))
    };
    assert_eq!(reported.mark(), Some(mark(2, 20)));
}

/// Guards against a stored report that is not repeated, and against one that is lost and made again.
#[test]
fn stored_reports_repeated() {
    let doubt = Doubt::new(mark(2, 20), vec![19, 17]);
    let covered: Vec<u64> = (16..23).filter(|window| doubt.covers(*window)).collect();
    assert_eq!(covered, [16, 18, 20]);
    assert!(!Doubt::default().covers(0), "no window was reported");
}
