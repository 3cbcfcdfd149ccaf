//! An LRU cache of keys.

use std::collections::{BTreeMap, HashMap};

/// An LRU cache of chats or prompt prefixes, by hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    last_used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.last_used.contains_key(&key)
    }

    /// Returns whether `key` is cached, and marks it as recently used.
    pub(crate) fn touch(&mut self, key: u64) -> bool {
        let cached = self.contains(key);
        if cached {
            self.store(key, usize::MAX);
        }
        cached
    }

    /// Adds `key` and evicts the least recently used keys above `capacity`.
    pub(crate) fn store(&mut self, key: u64, capacity: usize) {
        self.clock += 1;
        if let Some(previous) = self.last_used.insert(key, self.clock) {
            self.order.remove(&previous);
        }
        self.order.insert(self.clock, key);
        while self.last_used.len() > capacity {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.last_used.remove(&oldest);
        }
    }
}
