//! When a router that reads from another failure domain returns to its own.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::Peer;
use placement::key;

use crate::Roster;

/// How long a poller must be known before routers of its domain return to it: it may have just
/// started.
const SETTLE_TIME: Millis = Millis(2_000);

/// The time over which the returns of a domain's routers are spread.
const RETURN_SPREAD_MS: u64 = 4_000;

/// The pollers of a router's own domain, and its current source.
#[derive(Debug, Default)]
pub(crate) struct Locality {
    known_since: BTreeMap<Arc<str>, Millis>,
    /// The router that last sent changes; `None` once it stopped or the store is polled.
    source: Option<Arc<str>>,
}

impl Locality {
    /// Records which routers of `own`'s domain poll the store at `now`.
    pub(crate) fn refresh(&mut self, own: &Peer, roster: &Roster, now: Millis) {
        let is_local = |poller: &&Peer| poller.domain == own.domain;
        self.known_since.retain(|name, _| roster.is_announced(name));
        for poller in roster.pollers().filter(is_local) {
            self.known_since.entry(poller.name.clone()).or_insert(now);
        }
    }

    /// Sets the router that this one reads from.
    pub(crate) fn set_source(&mut self, name: &str) {
        if self.source.as_deref() != Some(name) {
            self.source = Some(name.into());
        }
    }

    /// Unsets the source if it is `name`.
    pub(crate) fn remove_source(&mut self, name: &str) {
        self.source.take_if(|source| **source == *name);
    }

    /// Unsets the source, as the router polls the store itself.
    pub(crate) fn clear_source(&mut self) {
        self.source = None;
    }

    /// The order in which routers are queried by `own`: 0 for its domain, 1 for others, 2 for
    /// pollers of its domain that it may not return to yet.
    pub(crate) fn distance(&self, own: &Peer, peer: &Peer, roster: &Roster, now: Millis) -> u8 {
        if peer.domain != own.domain {
            return 1;
        }
        if roster.is_announced(&peer.name) && !self.may_return(own, &peer.name, now) {
            return 2;
        }
        0
    }

    /// Whether `own` may return to a poller of its domain; at once if it has no source.
    fn may_return(&self, own: &Peer, poller: &str, now: Millis) -> bool {
        let Some(source) = &self.source else { return true };
        let delay = SETTLE_TIME + Millis(key("home", &own.name) % RETURN_SPREAD_MS);
        **source == *poller
            || self.known_since.get(poller).is_some_and(|since| since.until(now) >= delay)
    }
}
