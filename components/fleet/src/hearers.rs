//! The routers that hear from this one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use edge::Peer;

/// How long a router counts as hearing from this one after it asked last: it asks again within
/// its wait for news.
const HEARS: Millis = Millis(3_000);

/// The most routers that hear from one: a change of 100 KB reaches them within a second over
/// 20 Mbit/s. Further ones hear from these.
const MOST_HEARERS: usize = 24;

/// The most routers that are taken by way of one that asks.
const MOST_NAMED: usize = 1_024;

/// A router that asks this one, and those that ask it.
#[derive(Debug)]
struct Hearer {
    routers: Vec<Peer>,
    asked: Millis,
}

/// The routers that hear from one, also by way of others.
#[derive(Debug)]
pub struct Hearers {
    own: Arc<str>,
    asking: BTreeMap<Arc<str>, Hearer>,
}

impl Hearers {
    /// Nobody has asked the router `own` yet.
    pub fn new(own: Arc<str>) -> Self {
        Self { own, asking: BTreeMap::new() }
    }

    /// Notes that the first of `routers` asks, with those that hear from it. Returns whether it is
    /// answered.
    pub fn meet(&mut self, mut routers: Vec<Peer>, now: Millis) -> bool {
        let Some(asks) = routers.first().map(|it| it.name.clone()) else { return false };
        self.forget(now);
        let may = self.asking.contains_key(&asks) || self.asking.len() < MOST_HEARERS;
        if may {
            // Routers may hear from each other in a circle. What has come round is not taken
            // again: nobody would ever forget it.
            let came_round = routers.iter().any(|it| it.name == self.own);
            routers.truncate(if came_round { 1 } else { MOST_NAMED });
            self.asking.insert(asks, Hearer { routers, asked: now });
        }
        may
    }

    /// Forgets those that no longer ask.
    pub fn forget(&mut self, now: Millis) {
        self.asking.retain(|_, it| it.asked.until(now) < HEARS);
    }

    /// Those that ask this router itself.
    pub fn direct(&self) -> impl Iterator<Item = &Peer> {
        self.asking.values().filter_map(|it| it.routers.first())
    }

    /// All that hear from this router, each once.
    pub fn all(&self) -> Vec<Peer> {
        let mut met = BTreeSet::from([&self.own]);
        let further = self.asking.values().flat_map(|it| it.routers.iter().skip(1));
        self.direct().chain(further).filter(|it| met.insert(&it.name)).cloned().collect()
    }
}
