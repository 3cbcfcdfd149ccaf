//! In a saturated pool, requests of workspaces over their share are refused first.
//!
//! Here, a pool is saturated while waits are close to the limit, at this router or another one.
//! This is independent of the saturation that requires permits.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use placement::digest;
use rand::Rng;
use shares::{Pool, Rank, Standing};
use wire::Demands;

use crate::Effect;
use crate::state::State;

/// A wait above this fraction of the full limit, at the upstream to be tried, marks the pool as
/// saturated.
const SATURATION_RATIO: f64 = 0.8;

/// Smallest fraction of the full limit left to a workspace over its share. Where the wait at some
/// upstream is below it, nobody is refused.
const MIN_LIMIT_RATIO: f64 = 0.4;

/// Demand on all pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    pools: BTreeMap<Arc<str>, Pool>,
    /// Weights of workspaces, by hash of the name.
    weights: BTreeMap<u64, f64>,
}

impl Shares {
    pub(crate) fn new(weights: &BTreeMap<Arc<str>, f64>) -> Self {
        let mut shares = Self::default();
        shares.set_weights(weights);
        shares
    }

    /// Sets the weights of workspaces, by name.
    pub(crate) fn set_weights(&mut self, weights: &BTreeMap<Arc<str>, f64>) {
        self.weights = weights.iter().map(|(name, weight)| (hash(name), *weight)).collect();
    }

    fn pool(&mut self, name: &Arc<str>) -> &mut Pool {
        self.pools.entry(name.clone()).or_default()
    }

    /// Fraction of the full wait limit granted to a workspace: all of it, unless the workspace is
    /// over its share and others within their shares are refused.
    pub(super) fn limit_ratio(&self, pool: &str, standing: Option<Standing>, now: Millis) -> f64 {
        if !self.pools.get(pool).is_some_and(|pool| pool.is_starving(now)) {
            return 1.0;
        }
        match standing.map(|standing| standing.rank) {
            Some(Rank::Over(excess_ratio)) => (1.0 / excess_ratio).clamp(MIN_LIMIT_RATIO, 1.0),
            Some(Rank::Below | Rank::At) | None => 1.0,
        }
    }

    /// Standing of a workspace; none unless the pool is saturated.
    fn standing(
        &mut self,
        pool: &str,
        workspace: &str,
        priority: i32,
        now: Millis,
    ) -> Option<Standing> {
        let pool = self.pools.get_mut(pool).filter(|pool| pool.is_saturated(now))?;
        let weights = &self.weights;
        let weight = |workspace: u64| weights.get(&workspace).copied().unwrap_or(1.0);
        Some(pool.standing(hash(workspace), priority, weight, now))
    }
}

impl State {
    /// Records a new request.
    pub(crate) fn record_demand(&mut self, id: u64, now: Millis) {
        if !self.enforces_shares() {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let pool = self.shares.pool(&request.pool);
        pool.record_request(
            hash(&request.arrival.workspace),
            request.priority,
            request.arrival.fingerprint,
            now,
        );
    }

    /// Records the first attempt of a request.
    pub(crate) fn record_first_send(&mut self, id: u64, now: Millis) {
        if !self.enforces_shares() {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let pool = self.shares.pool(&request.pool);
        pool.record_sent(hash(&request.arrival.workspace), request.priority, now);
    }

    /// Records a refused request and its workspace's standing; `late` is false if it was
    /// refused by [`State::draw_refusal`].
    pub(crate) fn record_rejection(
        &mut self,
        id: u64,
        standing: Option<Standing>,
        late: bool,
        now: Millis,
    ) {
        if !self.enforces_shares() {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.standing = standing;
        let pool = self.shares.pool(&request.pool);
        if late && standing.is_some_and(|standing| standing.rank.excess_ratio() <= 1.0) {
            pool.mark_starving(now);
        }
        if late {
            pool.record_refusal(request.arrival.fingerprint, now);
        } else {
            pool.record_share_refusal(request.arrival.fingerprint, now);
        }
    }

    /// Marks the pool as saturated if the wait at the upstream to be tried is close to the full
    /// limit.
    pub(crate) fn detect_saturation(&mut self, pool: &Arc<str>, wait_ratio: f64, now: Millis) {
        if self.enforces_shares() && wait_ratio > SATURATION_RATIO {
            self.shares.pool(pool).mark_saturated(now);
        }
    }

    /// Standing of the request's workspace; none unless the pool is saturated.
    pub(crate) fn standing(&mut self, id: u64, now: Millis) -> Option<Standing> {
        if !self.enforces_shares() {
            return None;
        }
        let request = self.requests.get(&id)?;
        let workspace = &request.arrival.workspace;
        self.shares.standing(&request.pool, workspace, request.priority, now)
    }

    /// Draws whether an unsent request of a workspace over its share is refused although its wait
    /// is within the limit, while others within their shares are refused.
    pub(crate) fn draw_refusal(
        &mut self,
        id: u64,
        standing: Option<Standing>,
        now: Millis,
    ) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| request.tries.is_empty())
        else {
            return false;
        };
        let starving =
            self.shares.pools.get(&request.pool).is_some_and(|pool| pool.is_starving(now));
        let ratio = self.settings.gives_back;
        let admitted =
            standing.filter(|_| starving).map_or(1.0, |standing| standing.admitted_ratio(ratio));
        admitted < 1.0 && !self.rng.random_bool(admitted)
    }

    /// Fraction of the full wait limit granted to a workspace.
    pub(crate) fn share_limit_ratio(
        &mut self,
        pool: &str,
        workspace: &str,
        priority: i32,
        now: Millis,
    ) -> f64 {
        if !self.enforces_shares() {
            return 1.0;
        }
        let standing = self.shares.standing(pool, workspace, priority, now);
        self.shares.limit_ratio(pool, standing, now)
    }

    /// Records demand reported by another router.
    pub(crate) fn receive_demands(&mut self, demands: Demands, now: Millis) -> Vec<Effect> {
        if self.enforces_shares() {
            self.shares.pool(&demands.pool).receive(&demands.router, demands.summary, now);
        }
        Vec::new()
    }

    /// Demand on saturated pools, to publish under this router's name.
    pub fn demands(&self, router: &Arc<str>, now: Millis) -> Vec<Demands> {
        let demands = |(pool, shares): (&Arc<str>, &Pool)| {
            let summary = shares.summarize(now)?;
            Some(Demands { router: router.clone(), pool: pool.clone(), summary })
        };
        self.shares.pools.iter().filter_map(demands).collect()
    }

    /// The `count` workspaces with the largest demand in each saturated pool, by name or else by
    /// hash, with their standing.
    pub fn largest_shares(&self, count: usize, now: Millis) -> Vec<(Arc<str>, Vec<Largest>)> {
        let workspaces = self.plan.iter().flat_map(|plan| &plan.document().workspaces);
        let names: BTreeMap<u64, &Arc<str>> =
            workspaces.map(|workspace| (hash(&workspace.name), &workspace.name)).collect();
        let weight = |workspace: u64| self.shares.weights.get(&workspace).copied().unwrap_or(1.0);
        let saturated = self.shares.pools.iter().filter(|(_, pool)| pool.is_saturated(now));
        let largest = |pool: &Pool| {
            let resolve_name = |(workspace, standing): (u64, Standing)| {
                let unnamed = || format!("{workspace:016x}").into();
                let name = names.get(&workspace).map_or_else(unnamed, |name| (*name).clone());
                (name, standing)
            };
            pool.largest(count, weight, now).into_iter().map(resolve_name).collect()
        };
        saturated.map(|(name, pool)| (name.clone(), largest(pool))).collect()
    }

    fn enforces_shares(&self) -> bool {
        let mechanisms = self.settings.mechanisms;
        self.settings.path.monitors_upstreams() && mechanisms.admission && mechanisms.shares
    }
}

/// Workspace name and standing.
pub type Largest = (Arc<str>, Standing);

fn hash(workspace: &str) -> u64 {
    digest(&[workspace.as_bytes()])
}
