//! What the status tells of pools that are short.

use std::sync::Arc;

use clock::Millis;
use routing::{Standing, State};

/// Of how many workspaces it tells in each.
const MOST: usize = 8;

/// The pools that are short, and how the largest workspaces stand to their shares of them.
pub(crate) fn short(state: &State, now: Millis) -> serde_json::Value {
    let standing = |(workspace, it): (Arc<str>, Standing)| serde_json::json!({ "workspace": &*workspace, "standing": it });
    let pool = |(pool, largest): (Arc<str>, Vec<(Arc<str>, Standing)>)| {
        let largest: Vec<_> = largest.into_iter().map(standing).collect();
        serde_json::json!({ "pool": &*pool, "largest": largest })
    };
    state.largest_shares(MOST, now).into_iter().map(pool).collect()
}
