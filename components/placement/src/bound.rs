//! The load bound of a pool.

use serde::{Deserialize, Serialize};

/// What is known about a pool of upstreams that serve the same model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The load of all members, in tokens.
    pub load: u64,
    /// The number of members that the load was summed over.
    pub members: u32,
}

/// The rule that decides whether one more request may run at an upstream.
///
/// With a pool of `n` members that carry `L` tokens together, a request of
/// weight `w` may join an upstream that carries `l` when
///
/// ```text
/// l + w <= max(floor, c * (1 - margin) * (L + w) / n + extra)
/// ```
///
/// `L` is known with a lag. The `margin` is for what may end meanwhile, so that
/// `c` holds against the pool as it is and not only as it was.
///
/// `floor` stands in for the mean in a pool that is nearly idle, where one
/// request is already many times the mean. An idle upstream (`l = 0`) may
/// always take one request, whatever its weight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// `c`: the set multiple of the mean.
    pub multiple: f64,
    /// `floor`, in tokens.
    pub floor: u64,
    /// `margin`: the share of the multiple that is kept back, below one.
    #[serde(default = "default_margin")]
    pub margin: f64,
    /// `extra`: what an upstream may carry beyond the multiple, in the unit of
    /// the weights.
    #[serde(default)]
    pub extra: u64,
}

/// The margin that kept the multiple in the experiment on a tenfold surge.
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
    /// The most that an upstream may carry, the request of `weight` included.
    pub fn ceiling(&self, pool: Pool, weight: u64) -> u64 {
        let members = f64::from(pool.members.max(1));
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "loads stay far below 2^53"
        )]
        let share =
            (self.multiple * (1.0 - self.margin) * (pool.load + weight) as f64 / members) as u64;
        share.saturating_add(self.extra).max(self.floor)
    }

    /// Whether an upstream that carries `load` may take `weight` more.
    pub fn admits(&self, load: u64, weight: u64, pool: Pool) -> bool {
        load == 0 || load + weight <= self.ceiling(pool, weight)
    }
}
