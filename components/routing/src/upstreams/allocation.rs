//! Division of upstreams' free capacity among routers that act on the same observations.
//!
//! Answers report loads only when they begin, so that all routers may see the same free capacity
//! for some time. While much of a pool is unavailable, they would together overload the rest. Each
//! router uses only its allocation until there is a new observation, and then continues with the
//! next upstream in rank.

use clock::Millis;
use placement::{Bound, Pool, digest};

use crate::upstreams::estimate::Estimate;
use crate::upstreams::upstream::Upstream;

/// A pool is degraded if at least one in this many members is unavailable.
const DEGRADED_ONE_IN: usize = 4;

/// Whether a considerable part of a pool is evacuated or cold.
pub(crate) fn is_degraded<'a>(members: impl Iterator<Item = &'a Upstream>, now: Millis) -> bool {
    let is_unavailable = |upstream: &Upstream| upstream.evacuated || upstream.is_cold(now);
    let count = |(total, unavailable): (usize, usize), upstream: &Upstream| {
        (total + 1, unavailable + usize::from(is_unavailable(upstream)))
    };
    let (total, unavailable) =
        members.filter(|upstream| !upstream.is_leaving()).fold((0, 0), count);
    unavailable > 0 && unavailable * DEGRADED_ONE_IN >= total
}

/// The rule by which the capacity of a pool's upstreams is divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allocation {
    pub pool: Pool,
    pub bound: Bound,
}

impl Allocation {
    /// Whether this router's allocation at `upstream` is too small for a request of `weight`. There
    /// is no allocation for upstreams far below the bound, nor in a pool that is nearly idle.
    pub(crate) fn is_exhausted(
        &self,
        upstream: &Upstream,
        weight: u64,
        estimate: &Estimate,
    ) -> bool {
        let load = upstream.estimated_load(estimate);
        let ceiling = self.bound.ceiling(self.pool, weight);
        if ceiling <= self.bound.floor || self.is_lightly_loaded(load, ceiling) {
            return false;
        }
        let observed_at = upstream.observed_at();
        // Plain services report no loads, so that their capacity is unknown.
        if observed_at == Millis::ZERO {
            return false;
        }
        let sent = upstream.cold_start.sent_since(observed_at);
        let capacity = ceiling.saturating_sub(load) + sent;
        let routers = estimate.router_count();
        sent * routers + draw(upstream.name(), observed_at, estimate) % routers >= capacity
    }

    /// Whether `load` is within the first third of the way from the mean to the bound. The rest is
    /// margin enough until the next observation.
    fn is_lightly_loaded(&self, load: u64, ceiling: u64) -> bool {
        let mean = self.pool.load / u64::from(self.pool.members.max(1));
        3 * load <= 2 * mean + ceiling
    }
}

/// A hash of this router and an observation, which orders the routers' turns at the upstream.
fn draw(upstream: &str, observed_at: Millis, estimate: &Estimate) -> u64 {
    let router_key = estimate.router_key.unwrap_or_default();
    digest(&[upstream.as_bytes(), &router_key.to_le_bytes(), &observed_at.0.to_le_bytes()])
}
