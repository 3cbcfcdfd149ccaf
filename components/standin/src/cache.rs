//! The stand-in engine's bounded prefix cache.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

/// A change of the cache, as the engine publishes it.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum Change {
    /// Blocks came in.
    BlockStored { block_hashes: Vec<u64> },
    /// Blocks went out.
    BlockRemoved { block_hashes: Vec<u64> },
}

/// Blocks of prompt tokens, the least recently used going first.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, used: HashMap::new(), order: BTreeMap::new(), clock: 0 }
    }

    /// How many of `blocks`, from the first on, are there.
    pub(crate) fn matched(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Puts `blocks` in and takes the oldest others out.
    pub(crate) fn store(&mut self, blocks: &[u64]) -> Vec<Change> {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            match self.used.insert(*block, self.clock) {
                Some(before) => {
                    self.order.remove(&before);
                }
                None => stored.push(*block),
            }
            self.order.insert(self.clock, *block);
        }
        let mut removed = Vec::new();
        while self.used.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
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
