//! Compression of values for other instances.

use coltsfoothall_forward::compression::{compress, decompress};
use coltsfoothall_wire::limit;
use proptest::prelude::*;

proptest! {
    #[test]
    fn round_trip(value in prop::collection::vec(any::<u8>(), 0..4096)) {
        prop_assert_eq!(decompress(&compress(&value)).ok(), Some(value.into()));
    }
}

#[test]
fn invalid_input_refused() {
    let compressed = compress(&[7; 4096]);
    assert!(
        decompress(&compressed[..compressed.len() / 2]).is_err(),
        "cut"
    );
    assert!(decompress(b"{}").is_err(), "not compressed");
}

#[test]
fn too_large() {
    let compressed = compress(&vec![0; limit::FRAME + 1]);
    assert!(decompress(&compressed).is_err());
}
