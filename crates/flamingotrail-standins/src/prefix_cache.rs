//! An engine's cache of prompt prefixes: blocks of tokens in limited memory, evicted least recently
//! used first, except those that a hold pins.

use std::collections;

/// Bytes of text for one token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens of one block.
pub const BLOCK_TOKENS: usize = 32;
/// Bytes of text of one block.
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// Identity of a block: its own text and everything before it.
pub type BlockId = u64;

/// One block.
#[derive(Clone, Debug)]
struct Block {
    used: u64,
    pins: u32,
    tag: u64,
}

/// The cache.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: collections::BTreeMap<BlockId, Block>,
    by_use: collections::BTreeSet<(u64, BlockId)>,
    holds: collections::BTreeMap<u64, Vec<BlockId>>,
    by_tag: collections::BTreeMap<u64, u64>,
    uses: u64,
}

/// Blocks of `text`, whole ones only.
pub fn block_ids(text: &str) -> Vec<BlockId> {
    let mut before = 0u64;
    let mut ids = Vec::with_capacity(text.len() / BLOCK_BYTES);
    for piece in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        before = mix(before, piece);
        ids.push(before);
    }
    ids
}

/// FNV-1a over the text, started from the identity of what stands before it.
fn mix(before: u64, piece: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET ^ before.wrapping_mul(PRIME);
    for byte in piece {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    hash
}

impl PrefixCache {
    /// A cache of `tokens`.
    pub fn new(tokens: u64) -> Self {
        PrefixCache {
            capacity: usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS,
            blocks: collections::BTreeMap::new(),
            by_use: collections::BTreeSet::new(),
            holds: collections::BTreeMap::new(),
            by_tag: collections::BTreeMap::new(),
            uses: 0,
        }
    }

    /// Number of the first blocks of `ids` that are cached; they count as used.
    pub fn match_prefix(&mut self, ids: &[BlockId]) -> usize {
        let found = ids.iter().take_while(|id| self.blocks.contains_key(id)).count();
        for id in &ids[..found] {
            self.touch(*id);
        }
        found
    }

    /// Caches blocks under the tag of a program, as far as memory can be freed.
    pub fn insert(&mut self, ids: &[BlockId], tag: u64) {
        for id in ids {
            if self.blocks.contains_key(id) {
                self.touch(*id);
                continue;
            }
            if self.blocks.len() >= self.capacity && !self.evict_one() {
                return;
            }
            self.uses += 1;
            self.blocks.insert(*id, Block { used: self.uses, pins: 0, tag });
            self.by_use.insert((self.uses, *id));
            *self.by_tag.entry(tag).or_default() += 1;
        }
    }

    /// Pins the cached blocks among `ids` under a hold; replaces what the hold pinned before.
    pub fn hold(&mut self, hold: u64, ids: &[BlockId]) {
        self.unpin(hold);
        let pinned: Vec<BlockId> =
            ids.iter().copied().filter(|id| self.blocks.contains_key(id)).collect();
        for id in &pinned {
            let Some(block) = self.blocks.get_mut(id) else {
                continue;
            };
            if block.pins == 0 {
                self.by_use.remove(&(block.used, *id));
            }
            block.pins += 1;
        }
        self.holds.insert(hold, pinned);
    }

    /// Lets go of a hold and drops its blocks that no other hold pins. Letting go of a hold that
    /// is not there changes nothing.
    pub fn release(&mut self, hold: u64) {
        for id in self.unpin(hold) {
            if self.blocks.get(&id).is_some_and(|block| block.pins == 0) {
                self.remove(id);
            }
        }
    }

    /// Holds that are there.
    pub fn holds(&self) -> Vec<u64> {
        self.holds.keys().copied().collect()
    }

    /// Cached tokens.
    pub fn tokens(&self) -> u64 {
        (self.blocks.len() * BLOCK_TOKENS) as u64
    }

    /// Share of memory in use.
    pub fn pressure(&self) -> f64 {
        if self.capacity == 0 {
            return 1.0;
        }
        self.blocks.len() as f64 / self.capacity as f64
    }

    /// Share of memory that holds pin.
    pub fn pinned_share(&self) -> f64 {
        if self.capacity == 0 {
            return 1.0;
        }
        (self.blocks.len() - self.by_use.len()) as f64 / self.capacity as f64
    }

    /// Cached tokens by the tag of their program.
    pub fn tokens_by_tag(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.by_tag.iter().map(|(tag, blocks)| (*tag, blocks * BLOCK_TOKENS as u64))
    }

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
                self.by_use.insert((block.used, *id));
            }
        }
        ids
    }

    fn touch(&mut self, id: BlockId) {
        self.uses += 1;
        let uses = self.uses;
        let Some(block) = self.blocks.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut block.used, uses);
        if block.pins == 0 {
            self.by_use.remove(&(before, id));
            self.by_use.insert((uses, id));
        }
    }

    fn evict_one(&mut self) -> bool {
        match self.by_use.first().copied() {
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
        self.by_use.remove(&(block.used, id));
        if let Some(count) = self.by_tag.get_mut(&block.tag) {
            *count -= 1;
            if *count == 0 {
                self.by_tag.remove(&block.tag);
            }
        }
    }
}
