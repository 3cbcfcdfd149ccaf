//! Which router owns a pool.

use std::collections::BTreeMap;
use std::sync::Arc;

use wire::Peer;

/// The router that owns `pool`: the first by rank, the strong before the weak. Routers that
/// know of different others may name different owners; each then counts for those that ask it.
pub fn owner<'a>(pool: &str, routers: &'a BTreeMap<Arc<str>, Peer>) -> Option<&'a Peer> {
    let key = placement::key("", pool);
    let score = |it: &Peer| placement::score(key, &it.name, f64::from(it.strength.max(1)));
    let reachable = routers.values().filter(|it| it.hints.is_some());
    reachable.max_by(|one, other| score(one).total_cmp(&score(other)))
}
