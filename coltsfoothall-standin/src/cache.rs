//! A model of an engine's prefix cache: limited tokens, least recently used out first.

use std::collections::VecDeque;

use coltsfoothall::prefix::{BLOCK_TOKENS, Block};
use coltsfoothall::size::Tokens;
use coltsfoothall_wire::engine::{Change, Event};

/// Most events kept for a reader; it bounds memory when nobody reads.
const EVENTS: usize = 1 << 16;

/// A block held.
#[derive(Debug, Clone, Copy)]
struct Entry {
    block: Block,
    /// Larger is more recent; unique among the entries.
    used: u64,
}

/// A prefix cache.
#[derive(Debug)]
pub struct Cache {
    /// Sorted by block.
    entries: Vec<Entry>,
    /// Most blocks held.
    limit: usize,
    tick: u64,
    seq: u64,
    events: VecDeque<Event>,
}

impl Cache {
    /// An empty cache for a number of tokens.
    #[must_use]
    pub fn new(capacity: Tokens) -> Self {
        let limit = usize::try_from(capacity.0 / BLOCK_TOKENS.0).unwrap_or(usize::MAX);
        Self {
            entries: Vec::new(),
            limit,
            tick: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Tokens held.
    #[must_use]
    pub fn held(&self) -> Tokens {
        tokens(self.entries.len())
    }

    /// Most tokens held.
    #[must_use]
    pub fn capacity(&self) -> Tokens {
        tokens(self.limit)
    }

    /// Whether a block is held.
    #[must_use]
    pub fn has(&self, block: Block) -> bool {
        self.find(block).is_ok()
    }

    /// Blocks at the start of a chain that are held.
    #[must_use]
    pub fn prefix(&self, chain: &[Block]) -> usize {
        chain.iter().take_while(|block| self.has(**block)).count()
    }

    /// Marks the held start of a chain as used and tells its tokens.
    pub fn touch(&mut self, chain: &[Block]) -> Tokens {
        let held = self.prefix(chain);
        let newest = self.advance(held);
        for (age, block) in (0..).zip(&chain[..held]) {
            if let Ok(index) = self.find(*block) {
                self.entries[index].used = newest - age;
            }
        }
        tokens(held)
    }

    /// Stores a chain and evicts what no longer fits, the ends of chains first.
    pub fn store(&mut self, chain: &[Block]) {
        let newest = self.advance(chain.len());
        for (age, block) in (0..).zip(chain) {
            let used = newest - age;
            match self.find(*block) {
                Ok(index) => self.entries[index].used = used,
                Err(index) => {
                    let block = *block;
                    self.entries.insert(index, Entry { block, used });
                    self.record(Change::Stored(block));
                }
            }
        }
        self.evict();
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.record(Change::Cleared);
    }

    /// Takes the events since the last call, the oldest lost when nobody reads for long.
    pub fn drain(&mut self) -> impl Iterator<Item = Event> {
        self.events.drain(..)
    }

    fn find(&self, block: Block) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&block, |entry| entry.block)
    }

    /// Reserves `count` readings of the use counter and returns the newest.
    fn advance(&mut self, count: usize) -> u64 {
        self.tick += count as u64;
        self.tick
    }

    fn evict(&mut self) {
        let Some(excess) = self.entries.len().checked_sub(self.limit) else {
            return;
        };
        if excess == 0 {
            return;
        }
        let mut uses: Vec<u64> = self.entries.iter().map(|entry| entry.used).collect();
        let (_older, &mut bound, _newer) = uses.select_nth_unstable(excess - 1);
        let mut gone = Vec::with_capacity(excess);
        self.entries.retain(|entry| {
            let keep = entry.used > bound;
            if !keep {
                gone.push(entry.block);
            }
            keep
        });
        for block in gone {
            self.record(Change::Evicted(block));
        }
    }

    fn record(&mut self, change: Change) {
        self.seq += 1;
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            seq: self.seq,
            change,
        });
    }
}

fn tokens(blocks: usize) -> Tokens {
    Tokens((blocks as u64).saturating_mul(BLOCK_TOKENS.0))
}
