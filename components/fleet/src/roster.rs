//! The known routers of a fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use edge::{Announcement, Peer};

/// How long a router stays known that no announcement lists any more: its source may have
/// stopped, and its next one takes that long to list it.
const LISTING_TTL: Millis = Millis(5_000);

/// The routers that announce themselves in the store, and the subscribers that they list.
#[derive(Debug, Default)]
pub struct Roster {
    /// Announcements by the name of the announced router.
    announced: BTreeMap<Arc<str>, Announcement>,
    /// Routers that were listed recently, and when they last were.
    listed: BTreeMap<Arc<str>, (Peer, Millis)>,
}

impl Roster {
    /// Adds or replaces a router's announcement.
    pub fn insert(&mut self, announcement: Announcement) {
        self.announced.insert(announcement.router.name.clone(), announcement);
    }

    /// Removes a router whose announcement was withdrawn or has expired.
    pub fn remove(&mut self, name: &str) {
        self.announced.remove(name);
        self.listed.remove(name);
    }

    /// Removes all announcements but those of `names`.
    pub fn retain(&mut self, names: &BTreeSet<Arc<str>>) {
        let gone: Vec<_> =
            self.announced.keys().filter(|name| !names.contains(*name)).cloned().collect();
        for name in gone {
            self.remove(&name);
        }
    }

    /// Whether a router announces itself.
    pub fn is_announced(&self, name: &str) -> bool {
        self.announced.contains_key(name)
    }

    /// Whether an announcement lists a router.
    pub fn is_listed(&self, name: &str) -> bool {
        self.announced
            .values()
            .any(|announcement| announcement.routers().any(|peer| &*peer.name == name))
    }

    /// The routers that announce themselves, which are those that poll the store.
    pub fn pollers(&self) -> impl Iterator<Item = &Peer> {
        self.announced.values().map(|announcement| &announcement.router)
    }

    /// Records the routers that are listed at `now`, and removes those that have not been for a
    /// while.
    pub fn refresh(&mut self, now: Millis) {
        for announcement in self.announced.values() {
            for peer in announcement.routers() {
                self.listed.insert(peer.name.clone(), (peer.clone(), now));
            }
        }
        self.listed.retain(|_, (_, at)| at.until(now) < LISTING_TTL);
    }

    /// All routers that are known at `now`.
    pub fn routers(&mut self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.refresh(now);
        self.listed.values().map(|(peer, _)| peer)
    }

    /// All routers that were known at the last refresh.
    pub fn known(&self) -> impl Iterator<Item = &Peer> {
        self.listed.values().map(|(peer, _)| peer)
    }

    /// The largest number of routers that any poller has counted.
    pub fn max_routers(&self) -> usize {
        self.announced.values().map(|announcement| announcement.most).max().unwrap_or_default()
    }
}
