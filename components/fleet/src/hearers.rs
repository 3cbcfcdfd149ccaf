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

/// How long a router is remembered that was referred to others.
const REFERRED: Millis = Millis(5_000);

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
pub struct Subscribers {
    own: Arc<str>,
    asking: BTreeMap<Arc<str>, Hearer>,
    /// When routers were referred to others.
    referred: BTreeMap<Arc<str>, Millis>,
    /// Routers that came back since those to which they were referred told them nothing, and when
    /// they were answered.
    guests: BTreeMap<Arc<str>, (Peer, Millis)>,
}

impl Subscribers {
    /// Nobody has asked the router `own` yet.
    pub fn new(own: Arc<str>) -> Self {
        Self { own, asking: BTreeMap::new(), referred: BTreeMap::new(), guests: BTreeMap::new() }
    }

    /// Notes that the first of `routers` asks, with those that hear from it. Returns whether it is
    /// answered: one that was referred to others and comes back is, once.
    pub fn register(&mut self, mut routers: Vec<Peer>, now: Millis) -> bool {
        let Some(asks) = routers.first().cloned() else { return false };
        self.expire(now);
        if !self.asking.contains_key(&asks.name) && self.asking.len() >= MOST_HEARERS {
            return self.register_referred(asks, now);
        }
        // Routers may hear from each other in a circle. What has come round is not taken again:
        // nobody would ever forget it.
        let came_round = routers.iter().any(|it| it.name == self.own);
        routers.truncate(if came_round { 1 } else { MOST_NAMED });
        self.asking.insert(asks.name, Hearer { routers, asked: now });
        true
    }

    /// Notes that a router asks that is to hear from others. Returns whether it is answered.
    fn register_referred(&mut self, asks: Peer, now: Millis) -> bool {
        let came_back = self.referred.remove(&asks.name).is_some();
        if came_back && self.guests.len() < MOST_HEARERS {
            self.guests.insert(asks.name.clone(), (asks, now));
            return true;
        }
        if self.referred.len() < MOST_NAMED {
            self.referred.insert(asks.name, now);
        }
        false
    }

    /// Forgets those that no longer ask.
    pub fn expire(&mut self, now: Millis) {
        self.asking.retain(|_, it| it.asked.until(now) < HEARS);
        self.referred.retain(|_, at| at.until(now) < REFERRED);
        self.guests.retain(|_, (_, at)| at.until(now) < HEARS);
    }

    /// Those that ask this router itself.
    pub fn direct(&self) -> impl Iterator<Item = &Peer> {
        self.asking.values().filter_map(|it| it.routers.first())
    }

    /// Those to which others may be referred.
    pub fn relays(&self) -> impl Iterator<Item = &Peer> {
        self.direct().chain(self.guests.values().map(|(it, _)| it))
    }

    /// All that hear from this router, each once.
    pub fn all(&self) -> Vec<Peer> {
        let mut met = BTreeSet::from([&self.own]);
        let further = self.asking.values().flat_map(|it| it.routers.iter().skip(1));
        self.direct().chain(further).filter(|it| met.insert(&it.name)).cloned().collect()
    }
}
