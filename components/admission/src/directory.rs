//! The locations of the chats whose home is this upstream. A chat's home is its first upstream by
//! rank.

use std::sync::Arc;

use indexmap::IndexMap;

/// The number of locations kept per chat.
const MAX_LOCATIONS: usize = 2;

/// The chats that were answered elsewhere, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    chats: IndexMap<u64, Vec<Arc<str>>>,
}

impl Directory {
    /// Records that a chat's context is at `upstream`. Keeps at most `max_chats` chats.
    pub(crate) fn insert(&mut self, chat: u64, upstream: Arc<str>, max_chats: usize) {
        let locations = self.chats.entry(chat).or_default();
        locations.retain(|location| *location != upstream);
        locations.insert(0, upstream);
        locations.truncate(MAX_LOCATIONS);
        if self.chats.len() > max_chats {
            self.chats.shift_remove_index(0);
        }
    }

    /// Returns the upstreams that have a chat's context, latest first.
    pub(crate) fn get(&self, chat: u64) -> &[Arc<str>] {
        self.chats.get(&chat).map_or(&[], Vec::as_slice)
    }

    /// Removes a chat that is answered here again.
    pub(crate) fn remove(&mut self, chat: u64) {
        self.chats.swap_remove(&chat);
    }
}
