//! The routers that query this one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use edge::Peer;

/// How long a router stays a subscriber after its last query; its queries wait for less time.
const SUBSCRIPTION_TTL: Millis = Millis(3_000);

/// Limits the direct subscribers, and so the upload of each change. As many further routers
/// may be answered once.
const MAX_SUBSCRIBERS: usize = 24;

/// How long a referral to other routers is remembered.
const REFERRAL_TTL: Millis = Millis(5_000);

/// Limits the routers of one query, and the remembered referrals.
const MAX_LISTED: usize = 1_024;

/// A router that queries this one, followed by its own subscribers.
#[derive(Debug)]
struct Subscriber {
    routers: Vec<Peer>,
    queried_at: Millis,
}

/// The direct and indirect subscribers of a router.
#[derive(Debug)]
pub struct Subscribers {
    own: Arc<str>,
    direct: BTreeMap<Arc<str>, Subscriber>,
    /// When routers were referred to others.
    referred: BTreeMap<Arc<str>, Millis>,
    /// Routers that came back after a referral and were answered once, with the time.
    answered_once: BTreeMap<Arc<str>, (Peer, Millis)>,
}

impl Subscribers {
    /// Creates an empty set for the router `own`.
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            direct: BTreeMap::new(),
            referred: BTreeMap::new(),
            answered_once: BTreeMap::new(),
        }
    }

    /// Records a query of the first of `routers`; the others are its subscribers. Returns whether
    /// to answer it. If there are enough subscribers, a router is to be referred to them, and is
    /// answered once if it comes back.
    pub fn register(&mut self, mut routers: Vec<Peer>, now: Millis) -> bool {
        let Some(querier) = routers.first().cloned() else { return false };
        self.expire(now);
        if !self.direct.contains_key(&querier.name) && self.direct.len() >= MAX_SUBSCRIBERS {
            return self.register_excess(querier, now);
        }
        // Routers may query each other in a cycle. Lists that went around it are dropped, as
        // their entries would never expire.
        let is_cycle = routers.iter().any(|router| router.name == self.own);
        routers.truncate(if is_cycle { 1 } else { MAX_LISTED });
        self.direct.insert(querier.name, Subscriber { routers, queried_at: now });
        true
    }

    /// Records a query beyond [`MAX_SUBSCRIBERS`]. Returns whether to answer it.
    fn register_excess(&mut self, querier: Peer, now: Millis) -> bool {
        let came_back = self.referred.remove(&querier.name).is_some();
        if came_back && self.answered_once.len() < MAX_SUBSCRIBERS {
            self.answered_once.insert(querier.name.clone(), (querier, now));
            return true;
        }
        if self.referred.len() < MAX_LISTED {
            self.referred.insert(querier.name, now);
        }
        false
    }

    /// Removes routers that have not queried for a while.
    pub fn expire(&mut self, now: Millis) {
        self.direct.retain(|_, subscriber| subscriber.queried_at.until(now) < SUBSCRIPTION_TTL);
        self.referred.retain(|_, at| at.until(now) < REFERRAL_TTL);
        self.answered_once.retain(|_, (_, at)| at.until(now) < SUBSCRIPTION_TTL);
    }

    /// The routers that query this one directly.
    pub fn direct(&self) -> impl Iterator<Item = &Peer> {
        self.direct.values().filter_map(|subscriber| subscriber.routers.first())
    }

    /// The routers that others may be referred to.
    pub fn relays(&self) -> impl Iterator<Item = &Peer> {
        self.direct().chain(self.answered_once.values().map(|(router, _)| router))
    }

    /// All direct and indirect subscribers, each once.
    pub fn all(&self) -> Vec<Peer> {
        let mut seen = BTreeSet::from([&self.own]);
        let indirect =
            self.direct.values().flat_map(|subscriber| subscriber.routers.iter().skip(1));
        self.direct().chain(indirect).filter(|router| seen.insert(&router.name)).cloned().collect()
    }
}
