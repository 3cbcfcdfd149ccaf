//! What an issuer reports: its decisions, and totals of the pool.

use std::sync::Arc;

use clock::Millis;
use wire::ClaimState;

/// A decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The router that claimed.
    pub router: Arc<str>,
    /// The router's number for the request.
    pub number: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// What was decided.
    pub state: ClaimState,
    /// How long the request waited.
    pub waited: Millis,
}

/// Totals of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of permits that may be in use.
    pub limit: usize,
    /// The number of permits in use.
    pub in_flight: usize,
    /// The number of queued claims.
    pub waiting: usize,
    /// The estimated rate, in thousandths of a request per second.
    pub rate: u32,
}
