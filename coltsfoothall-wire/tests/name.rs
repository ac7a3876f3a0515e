//! Names and keys: valid ones survive a round trip through text and JSON, and invalid ones are
//! rejected.

use coltsfoothall::id::{self, MAX_LEN};
use coltsfoothall::key::{Epoch, Key, Mint, Slot};
use proptest::prelude::any;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use proptest::{prop_assert, prop_assert_eq, proptest};

fn is_valid_name(text: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    !text.is_empty() && text.len() <= MAX_LEN && text.chars().all(valid)
}

/// A fixed seed, so that every run generates the same cases.
fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn name_round_trip(text in "[A-Za-z0-9._:-]{1,64}") {
        let name: id::Workspace = text.parse().unwrap();
        prop_assert_eq!(name.to_string(), text.clone());
        let json = serde_json::to_string(&name).unwrap();
        prop_assert_eq!(serde_json::from_str::<id::Workspace>(&json).unwrap(), name);
        let key: Key = text.parse().unwrap();
        prop_assert_eq!(key.to_string(), text);
    }

    #[test]
    fn name_validation(text in ".{0,70}") {
        prop_assert_eq!(text.parse::<id::Service>().is_ok(), is_valid_name(&text));
        prop_assert_eq!(text.parse::<Key>().is_ok(), is_valid_name(&text));
        let json = serde_json::to_string(&text).unwrap();
        prop_assert_eq!(serde_json::from_str::<id::Plan>(&json).is_ok(), is_valid_name(&text));
        prop_assert_eq!(serde_json::from_str::<Key>(&json).is_ok(), is_valid_name(&text));
    }

    #[test]
    fn minted_key_round_trip(slot in any::<u16>(), epoch in any::<u32>(), unique in any::<u64>(), count in 1..=u16::MAX) {
        let mint = Mint { slot: Slot(slot), epoch: Epoch(epoch) };
        let key = Key::mint(mint.slot, mint.epoch, unique);
        let read: Key = key.to_string().parse().unwrap();
        prop_assert_eq!(&read, &key);
        prop_assert_eq!(read.minted(), Some(mint));
        prop_assert_eq!(read.slot(count), Slot(slot % count));
    }

    #[test]
    fn key_from_caller(text in "(k|:|[0-9a-f]|[A-Za-z0-9._-]){1,40}", count in 1..=u16::MAX) {
        let key: Key = text.parse().unwrap();
        prop_assert!(key.slot(count).0 < count);
        // A key that a caller made up counts as minted only if it has the format of a minted key.
        if let Some(mint) = key.minted() {
            prop_assert!(text.starts_with("k:") && mint.slot.0 % count == key.slot(count).0);
        }
    }
}
