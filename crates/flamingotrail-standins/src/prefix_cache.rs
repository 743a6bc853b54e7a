//! Prefix cache of an engine: fixed-size token blocks in limited memory with LRU eviction. Blocks
//! pinned by a hold are not evicted.

use std::collections;

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per block.
pub const BLOCK_TOKENS: usize = 32;
/// Bytes of text per block.
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// Hash of a block's text and of all text before it.
pub type BlockId = u64;

/// A cached block.
#[derive(Clone, Debug)]
struct Block {
    /// Value of the use counter at the last access.
    last_used: u64,
    /// Number of holds that pin the block.
    pins: u32,
    tag: u64,
}

/// An LRU cache of prefix blocks.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    blocks: collections::BTreeMap<BlockId, Block>,
    /// Unpinned blocks as (last use, id), least recently used first.
    eviction_order: collections::BTreeSet<(u64, BlockId)>,
    holds: collections::BTreeMap<u64, Vec<BlockId>>,
    /// Number of cached blocks per tag.
    by_tag: collections::BTreeMap<u64, u64>,
    use_counter: u64,
}

/// Returns the ids of the full blocks in `text`; a partial block at the end is left out.
pub fn block_ids(text: &str) -> Vec<BlockId> {
    let mut previous = 0u64;
    let mut ids = Vec::with_capacity(text.len() / BLOCK_BYTES);
    for chunk in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        previous = chain_hash(previous, chunk);
        ids.push(previous);
    }
    ids
}

/// FNV-1a hash of `chunk`, seeded with the id of the preceding block.
fn chain_hash(previous: u64, chunk: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET ^ previous.wrapping_mul(PRIME);
    for byte in chunk {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    hash
}

impl PrefixCache {
    /// Creates a cache with room for `tokens` tokens.
    pub fn new(tokens: u64) -> Self {
        PrefixCache {
            capacity: usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS,
            blocks: collections::BTreeMap::new(),
            eviction_order: collections::BTreeSet::new(),
            holds: collections::BTreeMap::new(),
            by_tag: collections::BTreeMap::new(),
            use_counter: 0,
        }
    }

    /// Returns how many leading blocks of `ids` are cached, and marks them as used.
    pub fn match_prefix(&mut self, ids: &[BlockId]) -> usize {
        let found = ids.iter().take_while(|id| self.blocks.contains_key(id)).count();
        for id in &ids[..found] {
            self.touch(*id);
        }
        found
    }

    /// Caches blocks under a program's tag. Stops when the cache is full of pinned blocks.
    pub fn insert(&mut self, ids: &[BlockId], tag: u64) {
        for id in ids {
            if self.blocks.contains_key(id) {
                self.touch(*id);
                continue;
            }
            if self.blocks.len() >= self.capacity && !self.evict_one() {
                return;
            }
            self.use_counter += 1;
            self.blocks.insert(*id, Block { last_used: self.use_counter, pins: 0, tag });
            self.eviction_order.insert((self.use_counter, *id));
            *self.by_tag.entry(tag).or_default() += 1;
        }
    }

    /// Pins the blocks in `ids` that are cached. They replace the blocks that the hold pinned
    /// before.
    pub fn hold(&mut self, hold: u64, ids: &[BlockId]) {
        self.unpin(hold);
        let pinned: Vec<BlockId> =
            ids.iter().copied().filter(|id| self.blocks.contains_key(id)).collect();
        for id in &pinned {
            let Some(block) = self.blocks.get_mut(id) else {
                continue;
            };
            if block.pins == 0 {
                self.eviction_order.remove(&(block.last_used, *id));
            }
            block.pins += 1;
        }
        self.holds.insert(hold, pinned);
    }

    /// Releases a hold and drops its blocks that no other hold pins. Releasing an unknown hold has
    /// no effect.
    pub fn release(&mut self, hold: u64) {
        for id in self.unpin(hold) {
            if self.blocks.get(&id).is_some_and(|block| block.pins == 0) {
                self.remove(id);
            }
        }
    }

    /// Returns the active holds.
    pub fn holds(&self) -> Vec<u64> {
        self.holds.keys().copied().collect()
    }

    /// Returns the number of cached tokens.
    pub fn tokens(&self) -> u64 {
        (self.blocks.len() * BLOCK_TOKENS) as u64
    }

    /// Returns the fraction of the capacity in use; 1 for a cache without capacity.
    pub fn pressure(&self) -> f64 {
        if self.capacity == 0 {
            return 1.0;
        }
        self.blocks.len() as f64 / self.capacity as f64
    }

    /// Returns the fraction of the capacity pinned by holds; 1 for a cache without capacity.
    pub fn pinned_fraction(&self) -> f64 {
        if self.capacity == 0 {
            return 1.0;
        }
        (self.blocks.len() - self.eviction_order.len()) as f64 / self.capacity as f64
    }

    /// Returns the number of cached tokens per program tag.
    pub fn tokens_by_tag(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.by_tag.iter().map(|(tag, blocks)| (*tag, blocks * BLOCK_TOKENS as u64))
    }

    /// Removes a hold and returns the blocks it pinned.
    fn unpin(&mut self, hold: u64) -> Vec<BlockId> {
        let Some(ids) = self.holds.remove(&hold) else {
            return Vec::new();
        };
        for id in &ids {
            let Some(block) = self.blocks.get_mut(id) else {
                continue;
            };
            block.pins -= 1;
            if block.pins == 0 {
                self.eviction_order.insert((block.last_used, *id));
            }
        }
        ids
    }

    fn touch(&mut self, id: BlockId) {
        self.use_counter += 1;
        let use_counter = self.use_counter;
        let Some(block) = self.blocks.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut block.last_used, use_counter);
        if block.pins == 0 {
            self.eviction_order.remove(&(previous, id));
            self.eviction_order.insert((use_counter, id));
        }
    }

    /// Evicts the least recently used block. Returns false if every block is pinned.
    fn evict_one(&mut self) -> bool {
        match self.eviction_order.first().copied() {
            Some((_, id)) => {
                self.remove(id);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, id: BlockId) {
        let Some(block) = self.blocks.remove(&id) else {
            return;
        };
        self.eviction_order.remove(&(block.last_used, id));
        if let Some(count) = self.by_tag.get_mut(&block.tag) {
            *count -= 1;
            if *count == 0 {
                self.by_tag.remove(&block.tag);
            }
        }
    }
}
