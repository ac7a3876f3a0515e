//! Beliefs about prefix caches.

use coltsfoothall::index::{Change, Event, Holder, Index, Match, Settings};
use coltsfoothall::prefix::Block;
use coltsfoothall::size::Tokens;

fn blocks(range: std::ops::Range<u64>) -> Vec<Block> {
    range.map(Block).collect()
}

fn stored(seq: u64, block: u64) -> Event {
    Event {
        seq,
        change: Change::Stored(Block(block)),
    }
}

fn best(index: &Index, blocks: &[Block]) -> Vec<Match> {
    let mut found = Vec::new();
    index.best(blocks, 8, &|_holder| true, &mut found);
    found
}

fn held(index: &Index, holder: Holder, range: std::ops::Range<u64>) -> usize {
    index.held(holder, &blocks(range)).blocks
}

#[test]
fn deepest_first() {
    let mut index = Index::new(Settings::default());
    let short = index.join();
    let long = index.join();
    index.touch(short, &blocks(0..4));
    index.touch(long, &blocks(0..9));
    let found = best(&index, &blocks(0..12));
    let depths: Vec<(Holder, usize)> = found
        .iter()
        .map(|have| (have.holder, have.blocks))
        .collect();
    assert_eq!(depths, [(long, 9), (short, 4)]);
}

#[test]
fn lost_events() {
    let mut index = Index::new(Settings::default());
    let holder = index.join();
    let events = [stored(1, 10), stored(2, 11), stored(5, 14)];
    assert_eq!(index.events(holder, &events), (holder, 2));
    assert_eq!(held(&index, holder, 10..15), 5);
    assert_eq!(
        index.events(holder, &events),
        (holder, 0),
        "a repeat is harmless"
    );
}

#[test]
fn cleared_cache() {
    let mut index = Index::new(Settings::default());
    let holder = index.join();
    index.touch(holder, &blocks(0..4));
    let clear = Event {
        seq: 1,
        change: Change::Cleared,
    };
    let (renewed, _lost) = index.events(holder, &[clear, stored(2, 7)]);
    assert_ne!(renewed, holder);
    assert_eq!(held(&index, renewed, 0..4), 0);
    assert_eq!(held(&index, renewed, 7..8), 1);
    assert!(best(&index, &blocks(0..4)).is_empty());
}

#[test]
fn evicted_block() {
    let mut index = Index::new(Settings::default());
    let holder = index.join();
    index.touch(holder, &blocks(0..4));
    let evict = Event {
        seq: 1,
        change: Change::Evicted(Block(3)),
    };
    index.events(holder, &[evict]);
    assert_eq!(held(&index, holder, 0..4), 3);
}

#[test]
fn capacity_lapses() {
    let mut index = Index::new(Settings::default());
    let holder = index.join();
    index.resize(holder, Tokens(100 * 256));
    index.touch(holder, &blocks(0..50));
    index.touch(holder, &blocks(1_000..1_060));
    assert_eq!(held(&index, holder, 1_000..1_060), 60);
    assert_eq!(held(&index, holder, 0..9), 0, "the oldest have lapsed");
    assert_eq!(held(&index, holder, 11..50), 39);
}

#[test]
fn missed_block() {
    let mut index = Index::new(Settings::default());
    let holder = index.join();
    index.resize(holder, Tokens(100 * 256));
    index.touch(holder, &blocks(0..10));
    index.touch(holder, &blocks(10..20));
    index.touch(holder, &blocks(100..150));
    let old = index.held(holder, &blocks(10..20));
    index.missed(holder, old);
    assert_eq!(held(&index, holder, 0..10), 0, "older ones fall with it");
    assert_eq!(held(&index, holder, 100..150), 50);
    let young = index.held(holder, &blocks(100..150));
    index.missed(holder, young);
    assert_eq!(held(&index, holder, 100..150), 50);
}

#[test]
fn bounded_memory() {
    let settings = Settings {
        bits: 4,
        depth: 32,
        ..Settings::default()
    };
    let mut index = Index::new(settings);
    let holder = index.join();
    for n in 0..5_000 {
        index.touch(holder, &[Block(n)]);
        assert!(index.len() <= 16 * 32);
    }
    assert_eq!(held(&index, holder, 4_990..5_000), 10, "the newest stay");
}
