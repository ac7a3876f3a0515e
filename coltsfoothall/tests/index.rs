//! Beliefs about prefix caches.

use coltsfoothall::index::{CacheId, Change, Event, Index, Match, Settings};
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
    index.find_best(blocks, 8, &|_cache| true, &mut found);
    found
}

fn estimate(index: &Index, cache: CacheId, range: std::ops::Range<u64>) -> usize {
    index.estimate(cache, &blocks(range)).blocks
}

#[test]
fn deepest_first() {
    let mut index = Index::new(Settings::default());
    let short = index.add_cache();
    let long = index.add_cache();
    index.record_use(short, &blocks(0..4));
    index.record_use(long, &blocks(0..9));
    let found = best(&index, &blocks(0..12));
    let depths: Vec<(CacheId, usize)> =
        found.iter().map(|have| (have.cache, have.blocks)).collect();
    assert_eq!(depths, [(long, 9), (short, 4)]);
}

#[test]
fn lost_events() {
    let mut index = Index::new(Settings::default());
    let cache = index.add_cache();
    let events = [stored(1, 10), stored(2, 11), stored(5, 14)];
    assert_eq!(index.record_events(cache, &events), (cache, 2));
    assert_eq!(estimate(&index, cache, 10..15), 5);
    assert_eq!(
        index.record_events(cache, &events),
        (cache, 0),
        "a repeat is harmless"
    );
}

#[test]
fn cleared_cache() {
    let mut index = Index::new(Settings::default());
    let cache = index.add_cache();
    index.record_use(cache, &blocks(0..4));
    let clear = Event {
        seq: 1,
        change: Change::Cleared,
    };
    let (renewed, _lost) = index.record_events(cache, &[clear, stored(2, 7)]);
    assert_ne!(renewed, cache);
    assert_eq!(estimate(&index, renewed, 0..4), 0);
    assert_eq!(estimate(&index, renewed, 7..8), 1);
    assert!(best(&index, &blocks(0..4)).is_empty());
}

#[test]
fn evicted_block() {
    let mut index = Index::new(Settings::default());
    let cache = index.add_cache();
    index.record_use(cache, &blocks(0..4));
    let evict = Event {
        seq: 1,
        change: Change::Evicted(Block(3)),
    };
    index.record_events(cache, &[evict]);
    assert_eq!(estimate(&index, cache, 0..4), 3);
}

#[test]
fn capacity_lapses() {
    let mut index = Index::new(Settings::default());
    let cache = index.add_cache();
    index.resize(cache, Tokens(100 * 256));
    index.record_use(cache, &blocks(0..50));
    index.record_use(cache, &blocks(1_000..1_060));
    assert_eq!(estimate(&index, cache, 1_000..1_060), 60);
    assert_eq!(estimate(&index, cache, 0..9), 0, "the oldest have lapsed");
    assert_eq!(estimate(&index, cache, 11..50), 39);
}

#[test]
fn missed_block() {
    let mut index = Index::new(Settings::default());
    let cache = index.add_cache();
    index.resize(cache, Tokens(100 * 256));
    index.record_use(cache, &blocks(0..10));
    index.record_use(cache, &blocks(10..20));
    index.record_use(cache, &blocks(100..150));
    let old = index.estimate(cache, &blocks(10..20));
    index.record_miss(cache, old);
    assert_eq!(estimate(&index, cache, 0..10), 0, "older ones fall with it");
    assert_eq!(estimate(&index, cache, 100..150), 50);
    let young = index.estimate(cache, &blocks(100..150));
    index.record_miss(cache, young);
    assert_eq!(estimate(&index, cache, 100..150), 50);
}

#[test]
fn bounded_memory() {
    let settings = Settings {
        bits: 4,
        depth: 32,
        ..Settings::default()
    };
    let mut index = Index::new(settings);
    let cache = index.add_cache();
    for n in 0..5_000 {
        index.record_use(cache, &[Block(n)]);
        assert!(index.len() <= 16 * 32);
    }
    assert_eq!(estimate(&index, cache, 4_990..5_000), 10, "the newest stay");
}
