//! The load bound of a pool.

use serde::{Deserialize, Serialize};

/// The total load of a pool of upstreams that serve the same model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The total load, in tokens.
    pub load: u64,
    /// The number of members that the load was summed over.
    pub members: u32,
}

/// The bound on the load of an upstream relative to the mean of its pool.
///
/// In a pool of `n` members with a total load of `L` tokens, an upstream with load `l` admits a
/// request of weight `w` if
///
/// ```text
/// l + w <= max(floor, c * (1 - margin) * (L + w) / n + extra)
/// ```
///
/// `L` is known with a delay and may include requests that have ended since. The `margin` lowers
/// the bound so that it also holds for the current load.
///
/// The `floor` applies in a nearly idle pool, where one request is many times the mean. An idle
/// upstream (`l = 0`) admits any request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// `c`: the multiple of the mean load.
    pub multiple: f64,
    /// `floor`, in tokens.
    pub floor: u64,
    /// `margin`: the fraction by which the multiple is reduced, below one.
    #[serde(default = "default_margin")]
    pub margin: f64,
    /// `extra`: added to the multiple of the mean, in the unit of the loads.
    #[serde(default)]
    pub extra: u64,
}

const DEFAULT_MARGIN: f64 = 0.1;

fn default_margin() -> f64 {
    DEFAULT_MARGIN
}

impl Default for Bound {
    fn default() -> Self {
        Self { multiple: 1.25, floor: 8_000, margin: DEFAULT_MARGIN, extra: 0 }
    }
}

impl Bound {
    /// The bound in tokens: the largest load of an upstream, including a new request of `weight`.
    pub fn ceiling(&self, pool: Pool, weight: u64) -> u64 {
        let members = f64::from(pool.members.max(1));
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "loads stay far below 2^53"
        )]
        let multiple =
            (self.multiple * (1.0 - self.margin) * (pool.load + weight) as f64 / members) as u64;
        multiple.saturating_add(self.extra).max(self.floor)
    }

    /// Whether an upstream with `load` admits a request of `weight`.
    pub fn admits(&self, load: u64, weight: u64, pool: Pool) -> bool {
        load == 0 || load + weight <= self.ceiling(pool, weight)
    }
}
