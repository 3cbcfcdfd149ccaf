//! The engine's bounded prefix cache.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

/// A cache event in its published form.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum Change {
    /// Blocks were added.
    BlockStored { block_hashes: Vec<u64> },
    /// Blocks were evicted.
    BlockRemoved { block_hashes: Vec<u64> },
}

/// An LRU cache of prompt blocks, by hash.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    /// The last use of each block.
    last_used: HashMap<u64, u64>,
    /// The blocks by last use.
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, last_used: HashMap::new(), order: BTreeMap::new(), clock: 0 }
    }

    /// The number of leading `blocks` that are cached.
    pub(crate) fn matching_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_used.contains_key(block)).count()
    }

    /// Adds `blocks` and evicts the least recently used ones above the capacity.
    pub(crate) fn store(&mut self, blocks: &[u64]) -> Vec<Change> {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            match self.last_used.insert(*block, self.clock) {
                Some(previous) => {
                    self.order.remove(&previous);
                }
                None => stored.push(*block),
            }
            self.order.insert(self.clock, *block);
        }
        let mut removed = Vec::new();
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.last_used.remove(&oldest);
            removed.push(oldest);
        }
        let mut changes = Vec::new();
        if !stored.is_empty() {
            changes.push(Change::BlockStored { block_hashes: stored });
        }
        if !removed.is_empty() {
            changes.push(Change::BlockRemoved { block_hashes: removed });
        }
        changes
    }
}
