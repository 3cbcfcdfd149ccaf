//! The owner of a pool.

use std::collections::BTreeMap;
use std::sync::Arc;

use wire::Peer;

/// Chooses the router that owns `pool` by rendezvous hashing, weighted by strength. Routers with
/// different views of the fleet may choose different owners; each then serves the routers that
/// chose it.
pub fn owner<'a>(pool: &str, routers: &'a BTreeMap<Arc<str>, Peer>) -> Option<&'a Peer> {
    let key = placement::key("", pool);
    let score = |peer: &Peer| placement::score(key, &peer.name, f64::from(peer.strength.max(1)));
    let reachable = routers.values().filter(|peer| peer.hints.is_some());
    reachable.max_by(|one, other| score(one).total_cmp(&score(other)))
}
