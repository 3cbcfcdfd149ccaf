//! Where the chats are whose first upstream in rank is this one.

use std::sync::Arc;

use indexmap::IndexMap;

/// The places of a chat that are kept: its context may be warm at each.
const PLACES: usize = 2;

/// The chats that were answered elsewhere, the oldest going first.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    chats: IndexMap<u64, Vec<Arc<str>>>,
}

impl Directory {
    /// Notes that a chat's context is at `upstream`, and keeps `most` chats.
    pub(crate) fn note(&mut self, chat: u64, upstream: Arc<str>, most: usize) {
        let places = self.chats.entry(chat).or_default();
        places.retain(|place| *place != upstream);
        places.insert(0, upstream);
        places.truncate(PLACES);
        if self.chats.len() > most {
            self.chats.shift_remove_index(0);
        }
    }

    /// Where a chat's context is besides here, the latest place first.
    pub(crate) fn find(&self, chat: u64) -> &[Arc<str>] {
        self.chats.get(&chat).map_or(&[], Vec::as_slice)
    }

    /// Forgets a chat that is answered here again.
    pub(crate) fn forget(&mut self, chat: u64) {
        self.chats.swap_remove(&chat);
    }
}
