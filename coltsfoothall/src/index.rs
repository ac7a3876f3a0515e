//! What each endpoint's prefix cache is believed to hold.
//!
//! Beliefs come from requests that were sent from here, which are known at
//! once, and from cache events, which are late and have gaps. They are
//! corrected by what an endpoint says it read from its cache, and lapse once
//! the endpoint has stored more than its cache holds. Memory is bounded: the
//! beliefs stand in a fixed number of sorted buckets of bounded length.

use serde::{Deserialize, Serialize};

use crate::prefix::{BLOCK_TOKENS, Block};
use crate::size::Tokens;

/// Most bits of a block that choose its bucket; it bounds the table of buckets.
const MAX_BITS: u32 = 16;
/// A belief is young up to this part of its cache's capacity.
const YOUNG: u64 = 4;

/// A cache of an endpoint, from its start or from when it was last cleared.
/// Numbers are never used again, so beliefs about a lost cache need no search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheId(u32);

/// What happened to a block of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It was stored.
    Stored(Block),
    /// It was evicted.
    Evicted(Block),
    /// All were dropped.
    Cleared,
}

/// A cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number; a jump says that events were lost.
    pub seq: u64,
    /// What happened.
    pub change: Change,
}

/// Bounds of the index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Buckets, as a power of two, at most 16; more make an insertion cheaper.
    pub bits: u32,
    /// Most beliefs in one bucket; it bounds memory at 24 bytes a belief.
    pub depth: usize,
    /// Size of an endpoint's cache before it reports one.
    pub capacity: Tokens,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bits: 12,
            depth: 256,
            capacity: Tokens(500_000),
        }
    }
}

/// That a cache has a block.
#[derive(Debug, Clone, Copy)]
struct Belief {
    block: Block,
    cache: CacheId,
    /// Blocks that the cache had stored when this one was last used.
    stamp: u64,
}

#[derive(Debug)]
struct Cache {
    cache: CacheId,
    /// Blocks stored so far, which is the cache's clock.
    stored: u64,
    /// Blocks that it has room for.
    capacity: u64,
    /// Newest event seen.
    seq: u64,
    /// Beliefs up to this stamp were found to be evicted.
    floor: u64,
}

/// What a cache is believed to have of a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Leading blocks.
    pub blocks: usize,
    /// When the last of them was used, by the cache's own clock.
    stamp: u64,
}

/// A cache and how much of a prompt it is believed to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// The cache.
    pub cache: CacheId,
    /// Leading blocks that it has.
    pub blocks: usize,
}

/// Beliefs about all caches.
#[derive(Debug)]
pub struct Index {
    settings: Settings,
    buckets: Vec<Vec<Belief>>,
    caches: Vec<Cache>,
    next: u32,
}

impl Index {
    /// An index without beliefs.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let bits = settings.bits.min(MAX_BITS);
        Self {
            buckets: vec![Vec::new(); 1 << bits],
            settings,
            caches: Vec::new(),
            next: 0,
        }
    }

    /// Adds an empty cache.
    pub fn add_cache(&mut self) -> CacheId {
        let cache = CacheId(self.next);
        self.next += 1;
        self.caches.push(Cache {
            cache,
            stored: 0,
            capacity: blocks_in(self.settings.capacity),
            seq: 0,
            floor: 0,
        });
        cache
    }

    /// Forgets a cache.
    pub fn remove_cache(&mut self, cache: CacheId) {
        if let Ok(at) = self.find(cache) {
            self.caches.remove(at);
        }
    }

    /// Notes the size that a cache reports.
    pub fn resize(&mut self, cache: CacheId, capacity: Tokens) {
        if let Ok(at) = self.find(cache)
            && capacity.0 > 0
        {
            self.caches[at].capacity = blocks_in(capacity);
        }
    }

    /// Notes that a cache uses these blocks and stores those that it lacks.
    pub fn record_use(&mut self, cache: CacheId, blocks: &[Block]) {
        let Ok(at) = self.find(cache) else { return };
        for block in blocks {
            self.store(at, *block);
        }
    }

    /// Notes that a cache had lost what was believed. A cache evicts what was
    /// used longest ago, so older beliefs fall with it. A young belief says
    /// nothing about older ones: its blocks may still have been on their way in.
    pub fn record_miss(&mut self, cache: CacheId, held: Estimate) {
        let Ok(at) = self.find(cache) else { return };
        let cache = &mut self.caches[at];
        // A stamp from before the cache was cleared says nothing of it.
        let age = cache.stored.checked_sub(held.stamp);
        if age.is_some_and(|age| age >= cache.capacity / YOUNG) {
            cache.floor = cache.floor.max(held.stamp);
        }
    }

    /// Takes in cache events. Returns the cache to use from now on, which is
    /// a new one if the cache was cleared, and the number of lost events.
    pub fn record_events(&mut self, cache: CacheId, events: &[Event]) -> (CacheId, u64) {
        let mut cache = cache;
        let mut lost = 0;
        for event in events {
            let Ok(at) = self.find(cache) else { break };
            if event.seq <= self.caches[at].seq {
                continue;
            }
            lost += self.gap(at, event.seq);
            match event.change {
                Change::Stored(block) => self.store(at, block),
                Change::Evicted(block) => self.evict(cache, block),
                Change::Cleared => cache = self.renew(at),
            }
        }
        (cache, lost)
    }

    /// Collects the holders with the most leading blocks, at most `limit`,
    /// best first, those that `usable` refuses left out.
    pub fn find_best(
        &self,
        blocks: &[Block],
        limit: usize,
        usable: &dyn Fn(CacheId) -> bool,
        found: &mut Vec<Match>,
    ) {
        for (depth, block) in blocks.iter().enumerate().rev() {
            for belief in self.run(*block) {
                if found.len() >= limit {
                    return;
                }
                let known = found.iter().any(|have| have.cache == belief.cache);
                if !known && self.holds(belief) && usable(belief.cache) {
                    found.push(Match {
                        cache: belief.cache,
                        blocks: depth + 1,
                    });
                }
            }
        }
    }

    /// What a cache is believed to have of a prompt.
    #[must_use]
    pub fn estimate(&self, cache: CacheId, blocks: &[Block]) -> Estimate {
        for (depth, block) in blocks.iter().enumerate().rev() {
            let own = |belief: &&Belief| belief.cache == cache && self.holds(belief);
            if let Some(belief) = self.run(*block).iter().find(own) {
                return Estimate {
                    blocks: depth + 1,
                    stamp: belief.stamp,
                };
            }
        }
        Estimate::default()
    }

    /// Beliefs in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(Vec::len).sum()
    }

    /// Whether there is no belief in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.iter().all(Vec::is_empty)
    }

    fn find(&self, cache: CacheId) -> Result<usize, usize> {
        self.caches
            .binary_search_by_key(&cache, |cache| cache.cache)
    }

    /// Whether the belief still stands: the cache lives and has not stored so
    /// much since that the block must have been evicted.
    fn holds(&self, belief: &Belief) -> bool {
        match self.find(belief.cache) {
            Ok(at) => self.caches[at].keeps(belief.stamp),
            Err(_) => false,
        }
    }

    fn bucket(&self, block: Block) -> usize {
        (block.0 as usize) & (self.buckets.len() - 1)
    }

    /// All beliefs about a block.
    fn run(&self, block: Block) -> &[Belief] {
        let bucket = &self.buckets[self.bucket(block)];
        let start = bucket.partition_point(|belief| belief.block < block);
        let len = bucket[start..].partition_point(|belief| belief.block == block);
        &bucket[start..start + len]
    }

    fn store(&mut self, at: usize, block: Block) {
        let cache = self.caches[at].cache;
        let number = self.bucket(block);
        let key = (block, cache);
        let place =
            self.buckets[number].binary_search_by_key(&key, |have| (have.block, have.cache));
        match place {
            Ok(place) => {
                let belief = &mut self.buckets[number][place];
                if !self.caches[at].keeps(belief.stamp) {
                    self.caches[at].stored += 1;
                }
                belief.stamp = self.caches[at].stored;
            }
            Err(place) => {
                self.caches[at].stored += 1;
                let stamp = self.caches[at].stored;
                let belief = Belief {
                    block,
                    cache,
                    stamp,
                };
                self.buckets[number].insert(place, belief);
                self.trim(number);
            }
        }
    }

    fn evict(&mut self, cache: CacheId, block: Block) {
        let number = self.bucket(block);
        let key = (block, cache);
        let bucket = &mut self.buckets[number];
        if let Ok(place) = bucket.binary_search_by_key(&key, |have| (have.block, have.cache)) {
            bucket.remove(place);
        }
    }

    /// Makes room in a bucket that grew too long: first what no longer holds,
    /// then the older half by the age in each cache's own clock.
    fn trim(&mut self, number: usize) {
        if self.buckets[number].len() <= self.settings.depth {
            return;
        }
        let mut bucket = std::mem::take(&mut self.buckets[number]);
        bucket.retain(|belief| self.holds(belief));
        if bucket.len() > self.settings.depth / 2 {
            let mut ages: Vec<u64> = bucket.iter().map(|belief| self.age(belief)).collect();
            ages.sort_unstable();
            let limit = ages[self.settings.depth / 2];
            bucket.retain(|belief| self.age(belief) < limit);
        }
        self.buckets[number] = bucket;
    }

    fn age(&self, belief: &Belief) -> u64 {
        match self.find(belief.cache) {
            Ok(at) => self.caches[at].stored - belief.stamp,
            Err(_) => u64::MAX,
        }
    }

    /// Moves a cache to the event `seq`; returns how many were lost before it.
    /// Half of the lost ones are taken to have stored a block.
    fn gap(&mut self, at: usize, seq: u64) -> u64 {
        let cache = &mut self.caches[at];
        let lost = if cache.seq == 0 {
            0
        } else {
            seq - cache.seq - 1
        };
        cache.seq = seq;
        cache.stored += lost / 2;
        lost
    }

    /// Replaces a cleared cache by an empty one with the same bounds.
    fn renew(&mut self, at: usize) -> CacheId {
        let old = self.caches.remove(at);
        let cache = CacheId(self.next);
        self.next += 1;
        self.caches.push(Cache {
            cache,
            stored: 0,
            floor: 0,
            ..old
        });
        cache
    }
}

impl Cache {
    fn keeps(&self, stamp: u64) -> bool {
        stamp > self.floor && self.stored - stamp <= self.capacity
    }
}

fn blocks_in(tokens: Tokens) -> u64 {
    (tokens.0 / BLOCK_TOKENS.0).max(1)
}
