//! Switches for the reducer's mechanisms.

use serde::{Deserialize, Serialize};

/// Mechanisms that can be switched off, to rule one out when diagnosing or to measure its effect.
/// Guarantees to callers depend on none of them. All but `shares` and `saved_streams` are on by
/// default.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanisms {
    /// Prefer upstreams that have all shared prefixes cached.
    pub warm_first: bool,
    /// Copy missing prefixes from another upstream.
    pub copies: bool,
    /// Do not copy short prefixes from an upstream that has failed.
    pub doubts: bool,
    /// Postpone a request while an earlier one prefills the same prefix.
    pub waits: bool,
    /// Exchange cached prefixes between routers.
    pub hints: bool,
    /// Use loads reported by other routers.
    pub loads: bool,
    /// Restore cached prefixes at the start of a router.
    pub parts: bool,
    /// Restore the upstreams at the start of a router.
    pub upstreams: bool,
    /// Exclude upstreams that fail more often than their pool.
    pub health: bool,
    /// Retry requests at another upstream when one is silent.
    pub silence: bool,
    /// Retry requests at another upstream after a failure.
    pub retries: bool,
    /// Refuse requests that would be late at every upstream.
    pub admission: bool,
    /// In a saturated pool, refuse requests of workspaces over their share first.
    pub shares: bool,
    /// Accept requests while draining if their deadline passes before the end.
    pub late_takes: bool,
    /// Read the platform's store through other routers.
    pub shared_looks: bool,
    /// Use the durations of work reported by upstreams.
    pub pace: bool,
    /// Allocate the capacity of upstreams among routers while much of a pool is closed.
    pub dealt_room: bool,
    /// In a saturated pool, ask the pool owner for a permit before sending.
    pub places: bool,
    /// Keep records of streams for other routers, and ask those for them. Without it, only streams
    /// of this router and of pools with one version are continued for callers.
    pub streams: bool,
    /// Save the records of streams in the platform's store while a pool has several versions, so that
    /// they outlast a crash of all routers.
    pub saved_streams: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            warm_first: true,
            copies: true,
            doubts: true,
            waits: true,
            hints: true,
            loads: true,
            parts: true,
            upstreams: true,
            health: true,
            silence: true,
            retries: true,
            admission: true,
            shares: false,
            late_takes: true,
            shared_looks: true,
            pace: true,
            dealt_room: true,
            places: true,
            streams: true,
            saved_streams: false,
        }
    }
}
