//! Values that are compressed for other instances.

use coltsfoothall_forward::pack::{pack, unpack};
use coltsfoothall_wire::limit;
use proptest::prelude::*;

proptest! {
    #[test]
    fn restored(value in prop::collection::vec(any::<u8>(), 0..4096)) {
        prop_assert_eq!(unpack(&pack(&value)).ok(), Some(value.into()));
    }
}

#[test]
fn spoiled_refused() {
    let packed = pack(&[7; 4096]);
    assert!(unpack(&packed[..packed.len() / 2]).is_err(), "cut");
    assert!(unpack(b"{}").is_err(), "not compressed");
}

#[test]
fn too_large() {
    let packed = pack(&vec![0; limit::FRAME + 1]);
    assert!(unpack(&packed).is_err());
}
