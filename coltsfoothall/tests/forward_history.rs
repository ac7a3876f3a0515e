//! Places in a store's history, and the fences made from them.

use coltsfoothall::forward::history::{Era, Eras, Fence, Position};
use proptest::prelude::*;

fn place() -> impl Strategy<Value = Position> {
    (0..8_000_u64, 0..1_u64 << 40).prop_map(|(era, revision)| Position {
        era: Era(era),
        revision,
    })
}

proptest! {
    /// A later place has a higher fence, whatever the revisions.
    #[test]
    fn fences_follow_history(one in place(), two in place()) {
        prop_assert_eq!(one.cmp(&two), Fence::from(one).cmp(&Fence::from(two)));
    }

    /// A reader that takes numbers for doubles tells fences apart.
    #[test]
    fn exact_as_double(place in place()) {
        let fence: u64 = Fence::from(place).to_string().parse().expect("a number");
        prop_assert!(fence < 1 << 53);
    }
}

proptest! {
    /// A place is read as it was written.
    #[test]
    fn place_from_text(place in place()) {
        prop_assert_eq!(place.to_string().parse(), Ok(place));
    }
}

#[test]
fn one_copy_alone() {
    let place = Position {
        era: Era(0),
        revision: 77,
    };
    assert_eq!(Fence::from(place).to_string(), "77");
}

#[test]
fn era_from_text() {
    assert_eq!("12".parse(), Ok(Era(12)));
    let error = "-3".parse::<Era>().expect_err("a negative number");
    assert_eq!(error.to_string(), "era \"-3\" is not a whole number");
}

/// The store comes back at revision 40; what it holds up to there may be from before.
#[test]
fn copy_dated_before() {
    let mut eras = Eras::default();
    let first = eras.saw(Some(Era(3)));
    assert_eq!(eras.at(first, 90).revision, 90);
    assert_eq!(eras.written(first, 20).era, Era(3), "no return was seen");
    let next = eras.saw(Some(Era(4)));
    assert!(eras.at(next, 40) > eras.at(first, 90));
    assert_eq!(eras.written(next, 40).era, Era(3));
    assert_eq!(eras.written(next, 41).era, Era(4));
    assert_eq!(eras.saw(None), Era(4), "the newest, if none is named");
    assert_eq!(eras.saw(Some(Era(3))), Era(3), "an answer that comes late");
    assert_eq!(eras.newest(), Some(Era(4)));
}
