//! An estimate of the contents of each endpoint's prefix cache.
//!
//! Entries come from requests sent by this instance, which are known immediately, and from
//! cache events, which arrive late and with gaps. They are corrected by the number of
//! tokens that an endpoint reports to have read from its cache, and expire once the
//! endpoint has stored more blocks than its cache can hold. Memory is bounded: the entries
//! are kept in a fixed number of sorted buckets of bounded length.

use serde::{Deserialize, Serialize};

use crate::prefix::{BLOCK_TOKENS, Block};
use crate::size::Tokens;

/// Maximum number of bits of a block hash that select its bucket; it bounds the number of
/// buckets.
const MAX_BITS: u32 = 16;
/// An entry is young if its cache has since stored less than its capacity divided by this
/// number.
const YOUNG_DIVISOR: u64 = 4;

/// Identifies the cache of an endpoint since the start of the endpoint or since the cache
/// was last cleared. Ids are never reused, so the entries of a discarded cache become
/// invalid without being searched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheId(u32);

/// A change of the contents of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A block was stored.
    Stored(Block),
    /// A block was evicted.
    Evicted(Block),
    /// All blocks were dropped.
    Cleared,
}

/// A cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// The change.
    pub change: Change,
}

/// Bounds of the index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of buckets as a power of two, at most 16. More buckets make insertions
    /// cheaper.
    pub bits: u32,
    /// Maximum number of entries in one bucket; it bounds memory at 24 bytes per entry.
    pub depth: usize,
    /// Assumed size of an endpoint's cache until it reports one.
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

/// Records that a cache holds a block.
#[derive(Debug, Clone, Copy)]
struct Entry {
    block: Block,
    cache: CacheId,
    /// Number of blocks that the cache had stored when this one was last used.
    stamp: u64,
}

#[derive(Debug)]
struct Cache {
    id: CacheId,
    /// Number of blocks stored so far, which serves as the cache's logical clock.
    stored: u64,
    /// Number of blocks that fit into the cache.
    capacity: u64,
    /// Sequence number of the newest event received.
    seq: u64,
    /// Entries with a stamp up to this one are known to be evicted.
    floor: u64,
}

/// The prefix of a prompt that a cache is estimated to hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Number of leading blocks.
    pub blocks: usize,
    /// Logical time of the cache when the last of them was used.
    stamp: u64,
}

/// A cache and the length of the prefix that it is estimated to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// The cache.
    pub cache: CacheId,
    /// Number of leading blocks that it holds.
    pub blocks: usize,
}

/// The estimated contents of all caches.
#[derive(Debug)]
pub struct Index {
    settings: Settings,
    buckets: Vec<Vec<Entry>>,
    caches: Vec<Cache>,
    next: u32,
}

impl Index {
    /// Creates an empty index.
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
            id: cache,
            stored: 0,
            capacity: blocks_in(self.settings.capacity),
            seq: 0,
            floor: 0,
        });
        cache
    }

    /// Removes a cache.
    pub fn remove_cache(&mut self, cache: CacheId) {
        if let Ok(index) = self.find(cache) {
            self.caches.remove(index);
        }
    }

    /// Sets the size that an endpoint reports for its cache.
    pub fn resize(&mut self, cache: CacheId, capacity: Tokens) {
        if let Ok(index) = self.find(cache)
            && capacity.0 > 0
        {
            self.caches[index].capacity = blocks_in(capacity);
        }
    }

    /// Records that a cache uses these blocks and stores those that it lacks.
    pub fn record_use(&mut self, cache: CacheId, blocks: &[Block]) {
        let Ok(index) = self.find(cache) else { return };
        for block in blocks {
            self.store(index, *block);
        }
    }

    /// Records that a cache did not hold an estimated prefix. Caches evict the least
    /// recently used blocks first, so older entries are invalidated too. A miss of a young
    /// entry does not invalidate anything, since its blocks may not have been stored yet.
    pub fn record_miss(&mut self, cache: CacheId, estimate: Estimate) {
        let Ok(index) = self.find(cache) else { return };
        let cache = &mut self.caches[index];
        // A stamp from before the cache was cleared does not apply to it.
        let age = cache.stored.checked_sub(estimate.stamp);
        if age.is_some_and(|age| age >= cache.capacity / YOUNG_DIVISOR) {
            cache.floor = cache.floor.max(estimate.stamp);
        }
    }

    /// Records cache events. Returns the id to use from now on, which is a new one if the
    /// cache was cleared, and the number of lost events.
    pub fn record_events(&mut self, cache: CacheId, events: &[Event]) -> (CacheId, u64) {
        let mut cache = cache;
        let mut lost = 0;
        for event in events {
            let Ok(index) = self.find(cache) else { break };
            if event.seq <= self.caches[index].seq {
                continue;
            }
            lost += self.advance(index, event.seq);
            match event.change {
                Change::Stored(block) => self.store(index, block),
                Change::Evicted(block) => self.evict(cache, block),
                Change::Cleared => cache = self.replace(index),
            }
        }
        (cache, lost)
    }

    /// Collects the caches that hold the most leading blocks, best first, at most `limit`.
    /// Caches that `usable` rejects are skipped.
    pub fn find_best(
        &self,
        blocks: &[Block],
        limit: usize,
        usable: &dyn Fn(CacheId) -> bool,
        found: &mut Vec<Match>,
    ) {
        for (depth, block) in blocks.iter().enumerate().rev() {
            for entry in self.entries_for(*block) {
                if found.len() >= limit {
                    return;
                }
                let known = found.iter().any(|other| other.cache == entry.cache);
                if !known && self.is_valid(entry) && usable(entry.cache) {
                    found.push(Match {
                        cache: entry.cache,
                        blocks: depth + 1,
                    });
                }
            }
        }
    }

    /// The prefix of a prompt that a cache is estimated to hold.
    #[must_use]
    pub fn estimate(&self, cache: CacheId, blocks: &[Block]) -> Estimate {
        for (depth, block) in blocks.iter().enumerate().rev() {
            let matches = |entry: &&Entry| entry.cache == cache && self.is_valid(entry);
            if let Some(entry) = self.entries_for(*block).iter().find(matches) {
                return Estimate {
                    blocks: depth + 1,
                    stamp: entry.stamp,
                };
            }
        }
        Estimate::default()
    }

    /// Number of entries in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(Vec::len).sum()
    }

    /// Whether the index has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.iter().all(Vec::is_empty)
    }

    fn find(&self, cache: CacheId) -> Result<usize, usize> {
        self.caches.binary_search_by_key(&cache, |cache| cache.id)
    }

    /// Whether an entry is still valid: the cache exists and has not stored so many blocks
    /// since that this one must have been evicted.
    fn is_valid(&self, entry: &Entry) -> bool {
        match self.find(entry.cache) {
            Ok(index) => self.caches[index].retains(entry.stamp),
            Err(_) => false,
        }
    }

    fn bucket(&self, block: Block) -> usize {
        (block.0 as usize) & (self.buckets.len() - 1)
    }

    /// All entries for a block.
    fn entries_for(&self, block: Block) -> &[Entry] {
        let bucket = &self.buckets[self.bucket(block)];
        let start = bucket.partition_point(|entry| entry.block < block);
        let len = bucket[start..].partition_point(|entry| entry.block == block);
        &bucket[start..start + len]
    }

    fn store(&mut self, cache_index: usize, block: Block) {
        let cache = self.caches[cache_index].id;
        let bucket_index = self.bucket(block);
        let key = (block, cache);
        let index = self.buckets[bucket_index]
            .binary_search_by_key(&key, |other| (other.block, other.cache));
        match index {
            Ok(index) => {
                let entry = &mut self.buckets[bucket_index][index];
                if !self.caches[cache_index].retains(entry.stamp) {
                    self.caches[cache_index].stored += 1;
                }
                entry.stamp = self.caches[cache_index].stored;
            }
            Err(index) => {
                self.caches[cache_index].stored += 1;
                let stamp = self.caches[cache_index].stored;
                let entry = Entry {
                    block,
                    cache,
                    stamp,
                };
                self.buckets[bucket_index].insert(index, entry);
                self.trim(bucket_index);
            }
        }
    }

    fn evict(&mut self, cache: CacheId, block: Block) {
        let bucket_index = self.bucket(block);
        let key = (block, cache);
        let bucket = &mut self.buckets[bucket_index];
        if let Ok(index) = bucket.binary_search_by_key(&key, |other| (other.block, other.cache)) {
            bucket.remove(index);
        }
    }

    /// Shrinks a bucket that has grown too long. Invalid entries are removed first, then
    /// the older half by age on each cache's logical clock.
    fn trim(&mut self, bucket_index: usize) {
        if self.buckets[bucket_index].len() <= self.settings.depth {
            return;
        }
        let mut bucket = std::mem::take(&mut self.buckets[bucket_index]);
        bucket.retain(|entry| self.is_valid(entry));
        if bucket.len() > self.settings.depth / 2 {
            let mut ages: Vec<u64> = bucket.iter().map(|entry| self.age(entry)).collect();
            ages.sort_unstable();
            let limit = ages[self.settings.depth / 2];
            bucket.retain(|entry| self.age(entry) < limit);
        }
        self.buckets[bucket_index] = bucket;
    }

    fn age(&self, entry: &Entry) -> u64 {
        match self.find(entry.cache) {
            Ok(index) => self.caches[index].stored - entry.stamp,
            Err(_) => u64::MAX,
        }
    }

    /// Advances a cache to the event `seq` and returns the number of events lost before it.
    /// Half of the lost events are assumed to have stored a block.
    fn advance(&mut self, index: usize, seq: u64) -> u64 {
        let cache = &mut self.caches[index];
        let lost = if cache.seq == 0 {
            0
        } else {
            seq - cache.seq - 1
        };
        cache.seq = seq;
        cache.stored += lost / 2;
        lost
    }

    /// Replaces a cleared cache by an empty one with the same capacity.
    fn replace(&mut self, index: usize) -> CacheId {
        let old = self.caches.remove(index);
        let cache = CacheId(self.next);
        self.next += 1;
        self.caches.push(Cache {
            id: cache,
            stored: 0,
            floor: 0,
            ..old
        });
        cache
    }
}

impl Cache {
    fn retains(&self, stamp: u64) -> bool {
        stamp > self.floor && self.stored - stamp <= self.capacity
    }
}

fn blocks_in(tokens: Tokens) -> u64 {
    (tokens.0 / BLOCK_TOKENS.0).max(1)
}
