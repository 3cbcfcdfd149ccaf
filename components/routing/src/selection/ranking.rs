//! Which upstreams a request may go to, the best first.

use std::sync::Arc;

use clock::Millis;
use intents::{Intent, Selector};

use crate::beliefs::outlook::Estimate;
use crate::selection::candidates::Choice;
use crate::state::State;
use crate::{Arrival, Policy, Upstream};

/// The label that names the pool an upstream belongs to.
pub(crate) const POOL_LABEL: &str = "service";

impl State {
    /// Ranks the upstreams that a request may go to, as they are now.
    pub(crate) fn rank(&mut self, id: u64, now: Millis) {
        let (Some(plan), Some(request)) = (self.plan.clone(), self.requests.get(&id)) else {
            return;
        };
        let ask = &request.arrival;
        let Ok(target) = ask.target(&plan) else {
            return;
        };
        let estimate = self.estimate(target.intent, now);
        let Choice { mut candidates, passed, home, first } =
            self.index.choose(&self.upstreams, &target, ask, &self.settings, &estimate);
        self.put_warm_first(&mut candidates, ask);
        let pool = candidates.last().map_or_else(|| asked_pool(target.intent), |it| self.pool(it));
        let workspace = ask.workspace.clone();
        self.expect(&pool, target.priority, target.intent.objective_ms);
        let part = self.share_part(&pool, &workspace, target.priority, now);
        self.put_in_time_first(&mut candidates, &pool, target.priority, part, &estimate);
        if let Some(request) = self.requests.get_mut(&id) {
            request.pool = pool;
            request.estimate = estimate;
            request.candidates = candidates;
            request.exclusions = passed;
            request.home = home.filter(|_| self.settings.policy == Policy::Directory);
            request.first_ranked = first;
        }
    }

    /// Puts upstreams before the others that hold all that a request may share; `candidates`
    /// has the best last. An engine that is new draws no prompts from the others then:
    /// copies cost 0.0091 of what a day is worth in place of 0.0119, by three runs of each
    /// of five days.
    fn put_warm_first(&self, candidates: &mut [Arc<str>], ask: &Arrival) {
        if !self.settings.path.tracks_prefixes() || !self.settings.mechanisms.warm_first {
            return;
        }
        if let Some(part) = ask.prefixes.last() {
            candidates.sort_by_key(|it| self.prefix_index.holds(part.hash, it));
        }
    }

    /// Ranks anew the upstreams that a request may go to after one failed: some may
    /// have come to leave since it came. It stays in the pool where it began.
    pub(crate) fn rerank(&mut self, id: u64, now: Millis) {
        let Some(pool) = self.requests.get(&id).map(|it| it.pool.clone()) else { return };
        let anew = self.settings.path.reranks_on_retry();
        if anew {
            self.rank(id, now);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let tried = |name: &Arc<str>| request.tries.iter().any(|it| it.upstream == *name);
        let fits = |it: &Upstream| !it.is_leaving() && it.pool() == pool && !tried(it.name());
        // Where there are sidecars, they say themselves who leaves, and send a chat
        // back to where it has been.
        let open = |name: &Arc<str>| self.upstreams.get(name).is_some_and(|it| !anew || fits(it));
        request.candidates.retain(open);
        request.pool = pool;
    }

    /// Whether the intents in force let a request go to a listed upstream that
    /// its candidates may not name.
    pub(crate) fn is_allowed(&self, id: u64, upstream: &str) -> bool {
        let (Some(plan), Some(request)) = (&self.plan, self.requests.get(&id)) else {
            return false;
        };
        let ask = &request.arrival;
        let Ok(target) = ask.target(plan) else {
            return false;
        };
        let fits = |it: &Upstream| {
            target.intent.fits(&it.labels, &it.host.domain, ask.model.as_deref())
                && Selector::all(target.homes, &it.labels)
        };
        self.upstreams.get(upstream).is_some_and(fits)
    }

    /// The pool of an upstream: the retry budget is kept for each.
    fn pool(&self, upstream: &str) -> Arc<str> {
        self.upstreams.get(upstream).map(Upstream::pool).unwrap_or_default()
    }

    /// The view on the pool of an intent's upstreams.
    pub(crate) fn estimate(&self, intent: &Intent, now: Millis) -> Estimate {
        let mean_load = self.mean_loads.get(&asked_pool(intent)).copied().unwrap_or_default();
        #[expect(clippy::cast_precision_loss, reason = "fleets are small beside 2^53")]
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
            loads_known,
            observations_shared,
            quota_valid,
        }
    }
}

/// The pool that an intent names; empty if it names none.
fn asked_pool(intent: &Intent) -> Arc<str> {
    let named = intent.upstreams.iter().find_map(|it| match it {
        Selector::Equals { label, value } if &**label == POOL_LABEL => Some(value.clone()),
        _ => None,
    });
    named.unwrap_or_default()
}
