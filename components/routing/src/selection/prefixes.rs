//! Exchange of cached prompt prefixes between routers, and postponement of requests whose prefix is
//! being prefilled.

use std::sync::Arc;

use clock::Millis;
use wire::{Stage, WarmPrefixes};

use crate::requests::request::{Phase, Request};
use crate::state::State;
use crate::{Effect, Prefix};

/// A request is postponed for another's prefill for at most its objective divided by this. Long
/// enough to prefill the longest prefix that many requests share.
const MAX_POSTPONE_DIVISOR: u64 = 4;

/// Time after which a postponed request is due.
const RECHECK_INTERVAL: Millis = Millis(20);

/// Maximum number of prefixes in a message, so that it fits one datagram.
const MAX_PUBLISHED_PREFIXES: usize = 100;

/// Until when a request that arrived at `now` may be postponed for another's prefill; without an
/// objective it is not.
pub(crate) fn prefill_deadline(objective_ms: Option<u64>, now: Millis) -> Millis {
    now + Millis(objective_ms.unwrap_or_default() / MAX_POSTPONE_DIVISOR)
}

/// Maximum number of prefixes saved for routers that start, counted once for each upstream.
const MAX_SAVED_PREFIXES: usize = 4_096;

/// Publishes `prefixes` to the other routers, if there are any.
pub(crate) fn publish_prefixes(
    upstream: &Arc<str>,
    mut prefixes: Vec<u64>,
    stage: Stage,
) -> Option<Effect> {
    prefixes.truncate(MAX_PUBLISHED_PREFIXES);
    let warm = WarmPrefixes { upstream: upstream.clone(), prefixes, stage };
    (!warm.prefixes.is_empty()).then_some(Effect::PublishPrefixes(warm))
}

impl State {
    /// Records prefixes reported by another router.
    pub(crate) fn receive_prefixes(&mut self, warm: &WarmPrefixes, now: Millis) -> Vec<Effect> {
        if !self.upstreams.contains_key(&warm.upstream) {
            return Vec::new();
        }
        match warm.stage {
            Stage::Prefilling => {
                self.prefix_index.record_prefilling(&warm.prefixes, &warm.upstream, now)
            }
            Stage::Cached => self.prefix_index.record_cached(&warm.prefixes, &warm.upstream),
        };
        Vec::new()
    }

    /// The cached prefixes of current upstreams, for routers that start, and the number of changes
    /// so far.
    pub fn warm_prefixes(&self) -> (u64, Vec<WarmPrefixes>) {
        let mut cached = self.prefix_index.latest(MAX_SAVED_PREFIXES);
        cached.retain(|upstream, _| self.upstreams.contains_key(upstream));
        let warm = |(upstream, prefixes)| WarmPrefixes { upstream, prefixes, stage: Stage::Cached };
        (self.prefix_index.changes(), cached.into_iter().map(warm).collect())
    }

    /// Whether an unsent request should be postponed because `upstream` is already prefilling its
    /// longest prefix.
    pub(crate) fn should_postpone(&self, id: u64, upstream: &str, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let is_prefilling =
            |prefix: &Prefix| self.prefix_index.is_prefilling(prefix.hash, upstream, now);
        self.settings.mechanisms.waits
            && request.tries.is_empty()
            && now < request.postpone_until
            && request.arrival.prefixes.last().is_some_and(is_prefilling)
    }

    /// Postpones a request.
    pub(crate) fn postpone(&mut self, id: u64) -> Vec<Effect> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Postponed;
        }
        vec![Effect::Postpone(RECHECK_INTERVAL)]
    }

    /// Ranks the upstreams again for a postponed request, and sends it.
    pub(crate) fn handle_due(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let is_postponed = |request: &Request| request.phase == Phase::Postponed;
        if !self.requests.get(&id).is_some_and(is_postponed) {
            return Vec::new();
        }
        self.rank(id, now);
        self.send_next(id, now)
    }

    /// Records that `upstream` starts to prefill the request's prefixes, and publishes this, unless
    /// the longest one can be copied.
    pub(crate) fn begin_prefill(
        &mut self,
        id: u64,
        upstream: &Arc<str>,
        now: Millis,
    ) -> Option<Effect> {
        let request = self.requests.get(&id)?;
        let last = request.arrival.prefixes.last()?;
        let has_source =
            self.prefix_index.holders(last.hash).any(|holder| self.upstreams.contains_key(holder));
        if !self.settings.path.tracks_prefixes() || has_source {
            return None;
        }
        let prefixes =
            self.prefix_index.record_prefilling(&request.arrival.prefix_hashes(), upstream, now);
        publish_prefixes(upstream, prefixes, Stage::Prefilling)
    }
}
