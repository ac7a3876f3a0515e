//! Places in a store's history, and the fences made from them.

use coltsfoothall::forward::history::{Era, Fence, Place};
use proptest::prelude::*;

fn place() -> impl Strategy<Value = Place> {
    (0..8_000_u64, 0..1_u64 << 40).prop_map(|(era, revision)| Place {
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

#[test]
fn one_copy_alone() {
    let place = Place {
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
