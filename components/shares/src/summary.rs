//! What one router tells the others of a pool.

use clock::Millis;
use serde::{Deserialize, Serialize};

/// The most lines of a word, so that it fits one datagram.
pub const MAX_DEMANDS: usize = 32;

/// The demand on one pool that one router sees: the largest workspaces exactly, the others as
/// a sum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// When it was told, by its router's clock: a later word replaces an earlier one.
    pub at: Millis,
    /// Whether the pool is short by what this router has seen itself.
    pub saturated: bool,
    /// Whether this router has refused workspaces lately that are not over their shares.
    pub starving: bool,
    /// The workspaces with the largest demand.
    pub demands: Vec<Demand>,
    /// All others.
    pub remainder: Remainder,
}

/// The demand of a workspace for requests of one priority, in tenths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// Lower is more urgent.
    pub priority: i32,
    /// What it asked for, repeats left out.
    pub requested: u32,
    /// What of it was sent.
    pub served: u32,
}

/// The demand of all workspaces that have no line, in tenths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remainder {
    /// How many they are.
    pub workspaces: u32,
    /// What they asked for.
    pub requested: u32,
    /// What of it was sent.
    pub served: u32,
}

/// Tenths of a request as requests.
pub(crate) fn requests(tenths: u32) -> f64 {
    f64::from(tenths) / 10.0
}

/// Requests in tenths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of too large a number gives the largest, and none is negative"
)]
pub(crate) fn tenths(requests: f64) -> u32 {
    (requests * 10.0).round() as u32
}
