//! When a router that hears from another failure domain goes back to its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::Peer;
use placement::key;

use crate::Roster;

/// How long a follower of the own domain must be known until those that hear from elsewhere go
/// over to it: it may have just started.
const SETTLES: Millis = Millis(2_000);

/// Over how long they go over, each at a time of its own.
const SPREAD: u64 = 4_000;

/// The followers of a router's own domain, and from whom it hears.
#[derive(Debug, Default)]
pub(crate) struct Home {
    /// Since when each is known.
    since: BTreeMap<Arc<str>, Millis>,
    /// The router that told something new last; `None` if that is over.
    source: Option<Arc<str>>,
}

impl Home {
    /// Notes which routers of `own`'s domain follow the store at `now`.
    pub(crate) fn notice(&mut self, own: &Peer, roster: &Roster, now: Millis) {
        let here = |it: &&Peer| it.domain == own.domain;
        self.since.retain(|name, _| roster.is_announced(name));
        for follower in roster.pollers().filter(here) {
            self.since.entry(follower.name.clone()).or_insert(now);
        }
    }

    /// Takes from whom the router hears.
    pub(crate) fn hears(&mut self, name: &str) {
        if self.source.as_deref() != Some(name) {
            self.source = Some(name.into());
        }
    }

    /// The router no longer hears from `name`.
    pub(crate) fn leaves(&mut self, name: &str) {
        self.source.take_if(|it| **it == *name);
    }

    /// The router looks at the store by itself.
    pub(crate) fn looks(&mut self) {
        self.source = None;
    }

    /// The order in which groups of routers are asked by `own`: its domain, others, and followers
    /// of its domain to which it is not its turn to go.
    pub(crate) fn distance(&self, own: &Peer, peer: &Peer, roster: &Roster, now: Millis) -> u8 {
        if peer.domain != own.domain {
            return 1;
        }
        if roster.is_announced(&peer.name) && !self.may_go(own, &peer.name, now) {
            return 2;
        }
        0
    }

    /// Whether `own` may go over to a follower of its domain: at once where it hears from nobody.
    fn may_go(&self, own: &Peer, follower: &str, now: Millis) -> bool {
        let Some(source) = &self.source else { return true };
        let turn = SETTLES + Millis(key("home", &own.name) % SPREAD);
        **source == *follower || self.since.get(follower).is_some_and(|it| it.until(now) >= turn)
    }
}
