//! Which routers there are.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use edge::{Announcement, Peer};

/// How long a router is still counted that nobody names any more: its followers may have
/// ended, and it needs that long to be named by others.
const LINGERS: Millis = Millis(5_000);

/// The routers of a fleet: those that announce themselves in the store, and those that these
/// name since they hear from them.
#[derive(Debug, Default)]
pub struct Roster {
    /// By the name of the router that announced itself.
    announced: BTreeMap<Arc<str>, Announcement>,
    /// All that were named lately, and when they were last.
    named: BTreeMap<Arc<str>, (Peer, Millis)>,
}

impl Roster {
    /// Takes a router's announcement.
    pub fn insert(&mut self, announcement: Announcement) {
        self.announced.insert(announcement.router.name.clone(), announcement);
    }

    /// Takes the end of a router's announcement: it has stopped, or its lease is over.
    pub fn remove(&mut self, name: &str) {
        self.announced.remove(name);
        self.named.remove(name);
    }

    /// Takes a whole list: who is not in it no longer announces itself.
    pub fn retain(&mut self, names: &BTreeSet<Arc<str>>) {
        let gone: Vec<_> =
            self.announced.keys().filter(|it| !names.contains(*it)).cloned().collect();
        for name in gone {
            self.remove(&name);
        }
    }

    /// Whether a router announces itself.
    pub fn is_announced(&self, name: &str) -> bool {
        self.announced.contains_key(name)
    }

    /// Whether an announcement names a router.
    pub fn is_listed(&self, name: &str) -> bool {
        self.announced.values().any(|it| it.all().any(|peer| &*peer.name == name))
    }

    /// The routers that announce themselves: those that follow the store.
    pub fn pollers(&self) -> impl Iterator<Item = &Peer> {
        self.announced.values().map(|it| &it.router)
    }

    /// Notes at `now` who is named, so that they are known for a while after nobody names them.
    pub fn refresh(&mut self, now: Millis) {
        for announcement in self.announced.values() {
            for peer in announcement.all() {
                self.named.insert(peer.name.clone(), (peer.clone(), now));
            }
        }
        self.named.retain(|_, (_, at)| at.until(now) < LINGERS);
    }

    /// All routers that are known at `now`.
    pub fn routers(&mut self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.refresh(now);
        self.named.values().map(|(it, _)| it)
    }

    /// All routers that were known when this was noticed last.
    pub fn known(&self) -> impl Iterator<Item = &Peer> {
        self.named.values().map(|(it, _)| it)
    }

    /// The most routers that any follower has counted.
    pub fn max_routers(&self) -> usize {
        self.announced.values().map(|it| it.most).max().unwrap_or_default()
    }
}
