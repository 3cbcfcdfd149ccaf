//! Whose requests are refused first where a pool is short: those of workspaces over their
//! shares.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use placement::digest;
use rand::Rng;
use shares::{Pool, Rank, Standing};
use wire::Demands;

use crate::Effect;
use crate::state::State;

/// The part of the limit on waits from which on a wait is a sign that the pool is short.
const NEAR: f64 = 0.8;

/// The part of the limit that is left to a workspace however far it is over its share: where
/// less is waited for at some upstream, nobody is refused.
const LEAST: f64 = 0.4;

/// What is asked of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    pools: BTreeMap<Arc<str>, Pool>,
    /// What workspaces count, by the hash of their names.
    weights: BTreeMap<u64, f64>,
}

impl Shares {
    pub(crate) fn new(weights: &BTreeMap<Arc<str>, f64>) -> Self {
        let mut shares = Self::default();
        shares.set_weights(weights);
        shares
    }

    /// Takes what workspaces count, by name.
    pub(crate) fn set_weights(&mut self, weights: &BTreeMap<Arc<str>, f64>) {
        self.weights = weights.iter().map(|(name, weight)| (hash(name), *weight)).collect();
    }

    fn pool(&mut self, name: &Arc<str>) -> &mut Pool {
        self.pools.entry(name.clone()).or_default()
    }

    /// The part of the limit on waits that a workspace has: all of it unless others lack room
    /// that are not over their shares.
    pub(super) fn part(&self, pool: &str, standing: Option<Standing>, now: Millis) -> f64 {
        if !self.pools.get(pool).is_some_and(|it| it.is_starving(now)) {
            return 1.0;
        }
        match standing.map(|it| it.rank) {
            Some(Rank::Over(times)) => (1.0 / times).clamp(LEAST, 1.0),
            Some(Rank::Below | Rank::At) | None => 1.0,
        }
    }

    /// How a workspace stands; none unless the pool is short.
    fn standing(
        &mut self,
        pool: &str,
        workspace: &str,
        priority: i32,
        now: Millis,
    ) -> Option<Standing> {
        let pool = self.pools.get_mut(pool).filter(|it| it.is_saturated(now))?;
        let weights = &self.weights;
        let weight = |it: u64| weights.get(&it).copied().unwrap_or(1.0);
        Some(pool.standing(hash(workspace), priority, weight, now))
    }
}

impl State {
    /// Notes that a request has come.
    pub(crate) fn note_asked(&mut self, id: u64, now: Millis) {
        if !self.shares_out() {
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

    /// Notes that a request is sent for the first time.
    pub(crate) fn note_sent(&mut self, id: u64, now: Millis) {
        if !self.shares_out() {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let pool = self.shares.pool(&request.pool);
        pool.record_sent(hash(&request.arrival.workspace), request.priority, now);
    }

    /// Notes that a request is turned away, how its workspace stands, and whether it would be
    /// late; if not, it gives way.
    pub(crate) fn note_refused(
        &mut self,
        id: u64,
        standing: Option<Standing>,
        late: bool,
        now: Millis,
    ) {
        if !self.shares_out() {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.standing = standing;
        let pool = self.shares.pool(&request.pool);
        if late && standing.is_some_and(|it| it.rank.excess_ratio() <= 1.0) {
            pool.mark_starving(now);
        }
        if late {
            pool.record_refusal(request.arrival.fingerprint, now);
        } else {
            pool.record_deferral(request.arrival.fingerprint, now);
        }
    }

    /// Takes the part of the limit that the least wait in a pool is.
    pub(crate) fn watch_room(&mut self, pool: &Arc<str>, part: f64, now: Millis) {
        if self.shares_out() && part > NEAR {
            self.shares.pool(pool).mark_saturated(now);
        }
    }

    /// How the workspace of a request stands to its share; none unless the pool is short.
    pub(crate) fn standing(&mut self, id: u64, now: Millis) -> Option<Standing> {
        if !self.shares_out() {
            return None;
        }
        let request = self.requests.get(&id)?;
        let workspace = &request.arrival.workspace;
        self.shares.standing(&request.pool, workspace, request.priority, now)
    }

    /// Whether a request that has been sent nowhere gives way though its wait is short: where an
    /// upstream's queue is empty or too long, waits alone tell workspaces apart little.
    pub(crate) fn gives_way(&mut self, id: u64, standing: Option<Standing>, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id).filter(|it| it.tries.is_empty()) else {
            return false;
        };
        let lacking = self.shares.pools.get(&request.pool).is_some_and(|it| it.is_starving(now));
        let times = self.settings.gives_back;
        let part = standing.filter(|_| lacking).map_or(1.0, |it| it.admitted_ratio(times));
        part < 1.0 && !self.rng.random_bool(part)
    }

    /// The part of the limit on waits that a workspace has.
    pub(crate) fn share_part(
        &mut self,
        pool: &str,
        workspace: &str,
        priority: i32,
        now: Millis,
    ) -> f64 {
        if !self.shares_out() {
            return 1.0;
        }
        let standing = self.shares.standing(pool, workspace, priority, now);
        self.shares.part(pool, standing, now)
    }

    /// Takes what another router tells of a pool that is short.
    pub(crate) fn receive_demands(&mut self, demands: Demands, now: Millis) -> Vec<Effect> {
        if self.shares_out() {
            self.shares.pool(&demands.pool).receive(&demands.router, demands.summary, now);
        }
        Vec::new()
    }

    /// What is asked of the pools that are short, for the others; `router` is this one's name.
    pub fn demands(&self, router: &Arc<str>, now: Millis) -> Vec<Demands> {
        let told = |(pool, shares): (&Arc<str>, &Pool)| {
            let word = shares.summarize(now)?;
            Some(Demands { router: router.clone(), pool: pool.clone(), summary: word })
        };
        self.shares.pools.iter().filter_map(told).collect()
    }

    /// The largest `most` workspaces of each pool that is short, by name or else by hash, and
    /// how they stand for all that they ask for.
    pub fn largest_shares(&self, most: usize, now: Millis) -> Vec<(Arc<str>, Vec<Largest>)> {
        let workspaces = self.plan.iter().flat_map(|it| &it.document().workspaces);
        let names: BTreeMap<u64, &Arc<str>> =
            workspaces.map(|it| (hash(&it.name), &it.name)).collect();
        let weight = |it: u64| self.shares.weights.get(&it).copied().unwrap_or(1.0);
        let short = self.shares.pools.iter().filter(|(_, it)| it.is_saturated(now));
        let largest = |pool: &Pool| {
            let one = |(workspace, standing): (u64, Standing)| {
                let unnamed = || format!("{workspace:016x}").into();
                let name = names.get(&workspace).map_or_else(unnamed, |it| (*it).clone());
                (name, standing)
            };
            pool.largest(most, weight, now).into_iter().map(one).collect()
        };
        short.map(|(name, pool)| (name.clone(), largest(pool))).collect()
    }

    fn shares_out(&self) -> bool {
        let mechanisms = self.settings.mechanisms;
        self.settings.path.monitors_upstreams() && mechanisms.admission && mechanisms.shares
    }
}

/// A workspace by name, and how it stands.
pub type Largest = (Arc<str>, Standing);

fn hash(workspace: &str) -> u64 {
    digest(&[workspace.as_bytes()])
}
