//! The message in which a router summarizes the demand on a pool.

use clock::Millis;
use serde::{Deserialize, Serialize};

/// The largest number of entries in a summary, so that it fits one datagram.
pub const MAX_DEMANDS: usize = 32;

/// The demand on one pool at one router: the workspaces with the largest demand individually, the
/// others as a total.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// When it was made, by the router's clock. A later summary replaces an earlier one.
    pub at: Millis,
    /// Whether this router itself has observed that the pool is saturated.
    pub saturated: bool,
    /// Whether this router has recently refused requests of workspaces within their shares.
    pub starving: bool,
    /// The workspaces with the largest demand.
    pub demands: Vec<Demand>,
    /// The other workspaces.
    pub remainder: Remainder,
}

/// The demand of a workspace for requests of one priority, in tenths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// Lower values are more urgent.
    pub priority: i32,
    /// The demand: requests received without retries, at least those served.
    pub requested: u32,
    /// The requests sent to the pool.
    pub served: u32,
}

/// The total demand of the workspaces that are not listed, in tenths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remainder {
    /// The number of workspaces.
    pub workspaces: u32,
    /// The demand: requests received without retries, at least those served.
    pub requested: u32,
    /// The requests sent to the pool.
    pub served: u32,
}

/// Converts tenths of a request to requests.
pub(crate) fn requests(tenths: u32) -> f64 {
    f64::from(tenths) / 10.0
}

/// Converts requests to tenths of a request.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates at the bounds, and no count is negative"
)]
pub(crate) fn tenths(requests: f64) -> u32 {
    (requests * 10.0).round() as u32
}
