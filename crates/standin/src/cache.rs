//! A prompt cache of bounded size with LRU eviction of prefix blocks.

use {
    crate::chat::PrefixBlock,
    std::collections::{BTreeMap, HashMap},
};

/// Prefix blocks by chain hash. A block is cached only while all blocks before it are.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    blocks: HashMap<u64, Entry>,
    order: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    tick: u64,
}

impl PrefixCache {
    /// Returns an empty cache with room for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Returns the number of cached tokens.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of tokens in the longest cached prefix of `chain`.
    pub fn cached(&self, chain: &[PrefixBlock]) -> u32 {
        let held = chain.iter().take_while(|(hash, _)| self.blocks.contains_key(hash));
        held.map(|(_, tokens)| *tokens).sum()
    }

    /// Caches `chain` and returns the number of tokens evicted to make room for it.
    pub fn store(&mut self, chain: &[PrefixBlock]) -> u64 {
        // The last block gets the oldest tick, so that a prefix is evicted after the blocks that extend it.
        chain.iter().rev().for_each(|it| self.touch(*it));
        self.evict()
    }

    fn touch(&mut self, (hash, tokens): PrefixBlock) {
        self.clock += 1;
        let entry = Entry { tokens, tick: self.clock };
        match self.blocks.insert(hash, entry) {
            Some(old) => drop(self.order.remove(&old.tick)),
            None => self.used += u64::from(tokens),
        }
        self.order.insert(self.clock, hash);
    }

    fn evict(&mut self) -> u64 {
        let before = self.used;
        while self.used > self.capacity {
            let Some((_, hash)) = self.order.pop_first() else { break };
            let Some(entry) = self.blocks.remove(&hash) else { break };
            self.used -= u64::from(entry.tokens);
        }
        before - self.used
    }
}
