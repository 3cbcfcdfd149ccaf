//! Ranking of a request's candidates.

use std::sync::Arc;

use clock::Millis;
use intents::{Intent, Selector};

use crate::selection::candidates::Selection;
use crate::state::State;
use crate::upstreams::estimate::Estimate;
use crate::{Arrival, Policy, Upstream};

/// Label with the name of an upstream's pool.
pub(crate) const POOL_LABEL: &str = "service";

impl State {
    /// Ranks the request's candidates by current state.
    pub(crate) fn rank(&mut self, id: u64, now: Millis) {
        let (Some(plan), Some(request)) = (self.plan.clone(), self.requests.get(&id)) else {
            return;
        };
        let arrival = &request.arrival;
        let Ok(target) = arrival.target(&plan) else {
            return;
        };
        let estimate = self.estimate(target.intent, now);
        let binding = request.binding.as_ref();
        let Selection { mut candidates, exclusions, home, first_ranked } = self.index.choose(
            &self.upstreams,
            &target,
            arrival,
            binding,
            &self.settings,
            &estimate,
        );
        self.prefer_warm(&mut candidates, arrival);
        let pool = candidates
            .last()
            .map_or_else(|| named_pool(target.intent), |upstream| self.pool_of(upstream));
        let workspace = arrival.workspace.clone();
        self.record_objective(&pool, target.priority, target.intent.objective_ms);
        let limit_ratio = self.share_limit_ratio(&pool, &workspace, target.priority, now);
        self.prefer_in_time(&mut candidates, &pool, target.priority, limit_ratio, &estimate);
        if let Some(request) = self.requests.get_mut(&id) {
            request.pool = pool;
            request.estimate = estimate;
            request.candidates = candidates;
            request.exclusions = exclusions;
            request.home = home.filter(|_| self.settings.policy == Policy::Directory);
            request.first_ranked = first_ranked;
        }
    }

    /// Moves candidates that have the longest prefix cached to the end, where the best ones are.
    fn prefer_warm(&self, candidates: &mut [Arc<str>], arrival: &Arrival) {
        if !self.settings.path.tracks_prefixes() || !self.settings.mechanisms.warm_first {
            return;
        }
        if let Some(prefix) = arrival.prefixes.last() {
            candidates.sort_by_key(|candidate| self.prefix_index.holds(prefix.hash, candidate));
        }
    }

    /// Ranks the candidates again after a failed attempt, within the pool of the first ranking.
    pub(crate) fn rerank(&mut self, id: u64, now: Millis) {
        let Some(pool) = self.requests.get(&id).map(|request| request.pool.clone()) else { return };
        let reranked = self.settings.path.reranks_on_retry();
        if reranked {
            self.rank(id, now);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_tried =
            |name: &Arc<str>| request.tries.iter().any(|attempt| attempt.upstream == *name);
        let is_eligible = |upstream: &Upstream| {
            !upstream.is_leaving() && upstream.pool() == pool && !was_tried(upstream.name())
        };
        // Sidecars report that they are leaving, and redirect a chat to its context.
        let is_open = |name: &Arc<str>| {
            self.upstreams.get(name).is_some_and(|upstream| {
                let fits = request.binding.as_ref().is_none_or(|binding| binding.allows(upstream));
                fits && (!reranked || is_eligible(upstream))
            })
        };
        request.candidates.retain(is_open);
        request.pool = pool;
    }

    /// Whether the configuration allows the request at a listed upstream, which need not be a
    /// candidate, and the upstream is of the build that began its answer.
    pub(crate) fn is_allowed(&self, id: u64, upstream: &str) -> bool {
        let (Some(plan), Some(request)) = (&self.plan, self.requests.get(&id)) else {
            return false;
        };
        let arrival = &request.arrival;
        let Ok(target) = arrival.target(plan) else {
            return false;
        };
        let is_allowed = |upstream: &Upstream| {
            target.intent.matches_upstream(
                &upstream.labels,
                &upstream.host.domain,
                arrival.model.as_deref(),
            ) && Selector::all_match(target.workspace_upstreams, &upstream.labels)
                && request.binding.as_ref().is_none_or(|binding| binding.allows(upstream))
        };
        self.upstreams.get(upstream).is_some_and(is_allowed)
    }

    /// Pool of an upstream; each has its own retry budget.
    fn pool_of(&self, upstream: &str) -> Arc<str> {
        self.upstreams.get(upstream).map(Upstream::pool).unwrap_or_default()
    }

    /// Load estimates for the pool of an intent.
    pub(crate) fn estimate(&self, intent: &Intent, now: Millis) -> Estimate {
        let pool = named_pool(intent);
        let mean_load = self.mean_loads.get(&pool).copied().unwrap_or_default();
        let decline = self.trends.get(&pool).map_or(0.0, |trend| trend.decline(now));
        #[expect(clippy::cast_precision_loss, reason = "router counts are exact in f64")]
        let routers = self.router_count as f64;
        let loads_known = self.settings.mechanisms.loads && self.peers.has_loads(now);
        let observations_shared = self.peers.has_observations(now);
        let quota_valid = self.has_valid_quota(now);
        let router_key = self.members.router_key();
        Estimate {
            path: self.settings.path,
            now,
            routers,
            router_key,
            mean_load,
            decline,
            loads_known,
            observations_shared,
            quota_valid,
        }
    }
}

/// Pool that an intent selects by name; empty if there is none.
fn named_pool(intent: &Intent) -> Arc<str> {
    let named = intent.upstreams.iter().find_map(|selector| match selector {
        Selector::Equals { label, value } if &**label == POOL_LABEL => Some(value.clone()),
        _ => None,
    });
    named.unwrap_or_default()
}
