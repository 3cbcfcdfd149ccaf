//! An engine's cache of chat contexts.

use std::collections::{BTreeMap, HashMap};

/// Chats, the least recently used going first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(crate) fn holds(&self, chat: u64) -> bool {
        self.used.contains_key(&chat)
    }

    /// Whether the chat is there; it is the last to go then.
    pub(crate) fn touch(&mut self, chat: u64) -> bool {
        let held = self.holds(chat);
        if held {
            self.store(chat, usize::MAX);
        }
        held
    }

    /// Puts a chat in and takes the oldest out above `most`.
    pub(crate) fn store(&mut self, chat: u64, most: usize) {
        self.clock += 1;
        if let Some(before) = self.used.insert(chat, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, chat);
        while self.used.len() > most {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.used.remove(&oldest);
        }
    }
}
