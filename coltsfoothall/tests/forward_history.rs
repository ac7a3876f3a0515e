//! Positions in a store's history, and the fences derived from them.

use coltsfoothall::forward::history::{Era, Eras, Fence, Position};
use proptest::prelude::*;

fn position() -> impl Strategy<Value = Position> {
    (0..8_000_u64, 0..1_u64 << 40).prop_map(|(era, revision)| Position {
        era: Era(era),
        revision,
    })
}

proptest! {
    /// A later position has a higher fence, whatever the revisions.
    #[test]
    fn fences_follow_history(one in position(), two in position()) {
        prop_assert_eq!(one.cmp(&two), Fence::from(one).cmp(&Fence::from(two)));
    }

    /// Fences stay distinct for a reader that parses numbers as doubles.
    #[test]
    fn exact_as_double(position in position()) {
        let fence: u64 = Fence::from(position).to_string().parse().expect("a number");
        prop_assert!(fence < 1 << 53);
    }
}

proptest! {
    /// A position survives formatting and parsing.
    #[test]
    fn position_from_text(position in position()) {
        prop_assert_eq!(position.to_string().parse(), Ok(position));
    }
}

#[test]
fn first_era_fence() {
    let position = Position {
        era: Era(0),
        revision: 77,
    };
    assert_eq!(Fence::from(position).to_string(), "77");
}

#[test]
fn era_from_text() {
    assert_eq!("12".parse(), Ok(Era(12)));
    let error = "-3".parse::<Era>().expect_err("a negative number");
    assert_eq!(error.to_string(), "era \"-3\" is not a whole number");
}

/// The store is restored at revision 40; values up to that revision may be from the era before.
#[test]
fn positions_after_restore() {
    let mut eras = Eras::default();
    let first = eras.record(Some(Era(3)));
    assert_eq!(eras.at(first, 90).revision, 90);
    assert_eq!(eras.written(first, 20).era, Era(3), "no restore was seen");
    let next = eras.record(Some(Era(4)));
    assert!(eras.at(next, 40) > eras.at(first, 90));
    assert_eq!(eras.written(next, 40).era, Era(3));
    assert_eq!(eras.written(next, 41).era, Era(4));
    assert_eq!(
        eras.record(None),
        Era(4),
        "the newest era if the response names none"
    );
    assert_eq!(
        eras.record(Some(Era(3))),
        Era(3),
        "a response that arrives late"
    );
    assert_eq!(eras.newest(), Some(Era(4)));
}
