//! The room of an upstream, where many routers see the same of it.
//!
//! Answers tell of loads when they begin. An engine that reads long prompts tells nothing for
//! that long, and all routers go on to see the room it had. While much of a pool takes nothing,
//! what comes crowds at the others, and each router sends its one request more. So the room
//! that was heard of is dealt out among the routers until something new is heard: whoever has
//! none left goes on to the next upstream in rank.

use clock::Millis;
use placement::{Bound, Pool, digest};

use crate::beliefs::outlook::Estimate;
use crate::beliefs::upstream::Upstream;

/// In a pool of which one member in so many takes nothing, room is dealt out.
const SHORT: usize = 4;

/// Whether so much of a pool takes nothing that what comes crowds at the others.
pub(crate) fn is_degraded<'a>(members: impl Iterator<Item = &'a Upstream>, now: Millis) -> bool {
    let shut = |it: &Upstream| it.evacuated || it.is_cold(now);
    let count =
        |(all, some): (usize, usize), it: &Upstream| (all + 1, some + usize::from(shut(it)));
    let (all, shut) = members.filter(|it| !it.is_leaving()).fold((0, 0), count);
    shut > 0 && shut * SHORT >= all
}

/// How the room of a pool's upstreams is dealt out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allocation {
    pub pool: Pool,
    pub bound: Bound,
}

impl Allocation {
    /// Whether this router's part of the room that was heard of leaves none for a request of
    /// `weight`. All may send to an upstream that is far from its bound, and in a pool that
    /// is nearly idle.
    pub(crate) fn is_exhausted(
        &self,
        upstream: &Upstream,
        weight: u64,
        estimate: &Estimate,
    ) -> bool {
        let load = upstream.estimated_load(estimate);
        let ceiling = self.bound.ceiling(self.pool, weight);
        if ceiling <= self.bound.floor || self.is_far(load, ceiling) {
            return false;
        }
        let heard = upstream.observed_at();
        // Plain services tell no loads: their room is not known to any router.
        if heard == Millis::ZERO {
            return false;
        }
        let sent = upstream.cold_start.sent_since(heard);
        let room = ceiling.saturating_sub(load) + sent;
        let routers = estimate.router_count();
        sent * routers + draw(upstream.name(), heard, estimate) % routers >= room
    }

    /// Whether `load` is within the first third of the way from the mean to the bound: no more
    /// than that comes there before something new is heard.
    fn is_far(&self, load: u64, ceiling: u64) -> bool {
        let mean = self.pool.load / u64::from(self.pool.members.max(1));
        3 * load <= 2 * mean + ceiling
    }
}

/// This router's draw among all for what was heard of `upstream` at `heard`.
fn draw(upstream: &str, heard: Millis, estimate: &Estimate) -> u64 {
    let seat = estimate.router_key.unwrap_or_default();
    digest(&[upstream.as_bytes(), &seat.to_le_bytes(), &heard.0.to_le_bytes()])
}
