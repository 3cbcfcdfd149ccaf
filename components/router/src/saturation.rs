//! Saturated pools in `/status`.

use std::sync::Arc;

use clock::Millis;
use routing::{Standing, State};

/// The most workspaces listed per pool.
const MAX_WORKSPACES: usize = 8;

/// The saturated pools, each with its largest workspaces and their shares.
pub(crate) fn snapshot(state: &State, now: Millis) -> serde_json::Value {
    let workspace_json = |(workspace, standing): (Arc<str>, Standing)| serde_json::json!({ "workspace": &*workspace, "standing": standing });
    let pool_json = |(pool, largest): (Arc<str>, Vec<(Arc<str>, Standing)>)| {
        let largest: Vec<_> = largest.into_iter().map(workspace_json).collect();
        serde_json::json!({ "pool": &*pool, "largest": largest })
    };
    state.largest_shares(MAX_WORKSPACES, now).into_iter().map(pool_json).collect()
}
