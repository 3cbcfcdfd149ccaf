//! Candidate upstreams of a request, the best first.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use intents::{Intent, Labels, Selector, Target};
use placement::{Pool, key, top};

use crate::requests::continuation::{Binding, OTHER_BUILD};
use crate::upstreams::allocation::{Allocation, is_degraded};
use crate::upstreams::estimate::{Estimate, to_f64};
use crate::upstreams::health::Outcomes;
use crate::upstreams::upstream::{ALLOCATION_USED, OVER_BOUND, SUSPECT, UNHEALTHY};
use crate::{Arrival, Exclusion, Policy, Settings, Upstream};

/// Maximum number of candidates of a request.
const MAX_CANDIDATES: usize = 16;

/// Maximum number of exclusions in a decision.
const MAX_EXCLUSIONS: usize = 8;

/// Steps of the draw for a split: hundredths of a percent.
const SPLIT_RESOLUTION: u64 = 10_000;

/// Upstreams by name; the index refers to their positions.
pub(crate) type Upstreams = IndexMap<Arc<str>, Upstream>;

/// Intent name, requested model, branch of the intent, and the workspace if it is restricted to
/// certain upstreams.
type IndexKey = (Arc<str>, Option<Arc<str>>, Branch, Option<Arc<str>>);

/// The part of an intent's upstreams that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Branch {
    /// The intent's own upstreams.
    Own,
    /// Those of one of its shares, by index.
    Share(usize),
    /// Those of all parts that get requests: the stream is bound to a build, and its intent may have
    /// been split since it began.
    Any,
}

impl Branch {
    /// The branch of a request, which continues a stream if it is `bound` to a build.
    fn of(intent: &Intent, request: &str, bound: bool) -> Self {
        if bound && !intent.split.is_empty() {
            return Self::Any;
        }
        select_share(intent, request).map_or(Self::Own, Self::Share)
    }

    /// Whether an upstream with `labels` belongs to the branch.
    fn contains(self, intent: &Intent, labels: &Labels) -> bool {
        let matches = |selectors: &[Selector]| Selector::all_match(selectors, labels);
        match self {
            Self::Own => matches(&intent.upstreams),
            Self::Share(index) => matches(&intent.split[index].upstreams),
            Self::Any => {
                let shares = || intent.split.iter().filter(|share| share.percent > 0.0);
                let rest = 100.0 - shares().map(|share| share.percent).sum::<f64>();
                let has_rest = rest >= 100.0 / to_f64(SPLIT_RESOLUTION);
                (has_rest && matches(&intent.upstreams))
                    || shares().any(|share| matches(&share.upstreams))
            }
        }
    }
}

/// Cache of the upstreams that match an intent and model; cleared when upstreams, settings or the
/// configuration change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    matching: HashMap<IndexKey, Arc<[usize]>>,
}

/// Result of a selection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Selection {
    /// The candidates, the best one last.
    pub candidates: Vec<Arc<str>>,
    /// The best of the excluded upstreams.
    pub exclusions: Vec<Exclusion>,
    /// The first upstream in rank that is up, whatever its load; keeps the chat's directory entry.
    pub home: Option<Arc<str>>,
    /// The same upstream as `home`; the ranking keeps `home` only if the policy uses a directory.
    pub first_ranked: Option<Arc<str>>,
}

impl Index {
    pub(crate) fn clear(&mut self) {
        self.matching.clear();
    }

    /// Ranks the matching upstreams that are not excluded. With a `binding`, all those of other
    /// builds are.
    pub(crate) fn choose(
        &mut self,
        upstreams: &Upstreams,
        target: &Target<'_>,
        arrival: &Arrival,
        binding: Option<&Binding>,
        settings: &Settings,
        estimate: &Estimate,
    ) -> Selection {
        let matching = self.matching(upstreams, target, arrival, binding.is_some());
        let matching = matching.iter().map(|index| &upstreams[*index]);
        let eligibility = Eligibility::new(matching, arrival.weight, binding, settings, estimate);
        let key = key(&arrival.workspace, &arrival.chat);
        let first_ranked = eligibility
            .home(key)
            .filter(|_| arrival.is_chat())
            .map(|upstream| upstream.name().clone());
        let home = eligibility.home(key).filter(|_| arrival.is_chat());
        let exclusions = top(key, eligibility.excluded.iter(), MAX_EXCLUSIONS, |(upstream, _)| {
            (upstream.name(), 1.0)
        });
        let exclusions = exclusions
            .into_iter()
            .map(|(upstream, why)| Exclusion { upstream: upstream.name().clone(), why })
            .collect();
        let policy = if settings.path.balances_calls() && !arrival.is_chat() {
            Policy::Lightest
        } else {
            settings.policy
        };
        let mut best = order(
            policy,
            key,
            &arrival.request,
            eligibility.candidates(&arrival.request, estimate),
            estimate,
        );
        if let Some(home) = home.filter(|_| settings.policy == Policy::Directory) {
            // The home comes first even if it seems full, because it has the chat's directory
            // entry.
            best.retain(|upstream| upstream.name() != home.name());
            best.insert(0, home);
        }
        Selection {
            candidates: best.into_iter().rev().map(|upstream| upstream.name().clone()).collect(),
            exclusions,
            home: home.map(|upstream| upstream.name().clone()),
            first_ranked,
        }
    }

    fn matching(
        &mut self,
        upstreams: &Upstreams,
        target: &Target<'_>,
        arrival: &Arrival,
        bound: bool,
    ) -> Arc<[usize]> {
        let (intent, workspace_upstreams) = (target.intent, target.workspace_upstreams);
        let model = arrival.model.as_deref();
        let branch = Branch::of(intent, arrival.stream(), bound);
        let matches_target = |upstream: &Upstream| {
            intent.matches_model_and_domain(&upstream.labels, &upstream.host.domain, model)
                && branch.contains(intent, &upstream.labels)
                && Selector::all_match(workspace_upstreams, &upstream.labels)
        };
        let find = || {
            let positions =
                upstreams.values().enumerate().filter(|(_, upstream)| matches_target(upstream));
            positions.map(|(index, _)| index).collect()
        };
        let workspace = (!workspace_upstreams.is_empty()).then(|| arrival.workspace.clone());
        let index_key = (intent.name.clone(), arrival.model.clone(), branch, workspace);
        self.matching.entry(index_key).or_insert_with(find).clone()
    }
}

/// The share of a split intent that a request is drawn into; `None` for the rest. A request that
/// continues a stream is drawn like the one that began it, whose id `request` is then.
fn select_share(intent: &Intent, request: &str) -> Option<usize> {
    if intent.split.is_empty() {
        return None;
    }
    let mut draw = to_f64(key("", request) % SPLIT_RESOLUTION) / 100.0;
    intent.split.iter().position(|share| {
        draw -= share.percent;
        draw < 0.0
    })
}

/// The matching upstreams, divided by whether they are excluded.
struct Eligibility<'a> {
    open: Vec<&'a Upstream>,
    excluded: Vec<(&'a Upstream, &'static str)>,
}

impl<'a> Eligibility<'a> {
    fn new(
        matching: impl Iterator<Item = &'a Upstream> + Clone,
        weight: u64,
        binding: Option<&Binding>,
        settings: &Settings,
        estimate: &Estimate,
    ) -> Self {
        let mut eligibility = Self { open: Vec::new(), excluded: Vec::new() };
        let pool = (!settings.path.has_sidecars()).then(|| pool_load(matching.clone(), estimate));
        let degraded =
            estimate.is_allocating(settings) && is_degraded(matching.clone(), estimate.now);
        let allocation =
            pool.filter(|_| degraded).map(|pool| Allocation { pool, bound: settings.bound });
        let compares_health = settings.path.monitors_upstreams() && settings.mechanisms.health;
        let outcomes = compares_health.then(|| pool_outcomes(matching.clone(), estimate));
        for upstream in matching {
            if binding.is_some_and(|binding| !binding.allows(upstream)) {
                eligibility.excluded.push((upstream, OTHER_BUILD));
                continue;
            }
            let exclusion = upstream.exclusion(weight, pool, outcomes, settings, estimate);
            let exhausted = || {
                allocation.filter(|allocation| allocation.is_exhausted(upstream, weight, estimate))
            };
            match exclusion.or_else(|| exhausted().map(|_| ALLOCATION_USED)) {
                None => eligibility.open.push(upstream),
                Some(why) => eligibility.excluded.push((upstream, why)),
            }
        }
        eligibility
    }

    /// Upstreams that are up but seem full.
    fn over_bound(&self) -> impl Iterator<Item = &'a Upstream> {
        self.excluded_for(OVER_BOUND)
    }

    /// The first upstream in rank that is up.
    fn home(&self, key: u64) -> Option<&'a Upstream> {
        let up = self
            .open
            .iter()
            .copied()
            .chain(self.over_bound())
            .chain(self.excluded_for(ALLOCATION_USED));
        top(key, up, 1, |upstream| (upstream.name(), 1.0)).pop()
    }

    /// The upstreams to try. If none is open, falls back in order to one whose allocation is used
    /// up, the unhealthy ones, the least loaded one over its bound and, without sidecars, the
    /// suspect ones: loads and health are known with a delay.
    fn candidates(self, request: &str, estimate: &Estimate) -> Vec<&'a Upstream> {
        if !self.open.is_empty() {
            return self.open;
        }
        // Spreads requests over upstreams whose capacity is allocated to other routers.
        let draw = key("", request);
        let spread =
            top(draw, self.excluded_for(ALLOCATION_USED), 1, |upstream| (upstream.name(), 1.0));
        if !spread.is_empty() {
            return spread;
        }
        let unhealthy: Vec<_> = self.excluded_for(UNHEALTHY).collect();
        if !unhealthy.is_empty() {
            return unhealthy;
        }
        let least_loaded =
            self.over_bound().min_by_key(|upstream| upstream.estimated_load(estimate));
        if estimate.path.has_sidecars() {
            return least_loaded.into_iter().collect();
        }
        // Without sidecars, only a request can show whether a suspect upstream has recovered.
        least_loaded.map_or_else(|| self.excluded_for(SUSPECT).collect(), |upstream| vec![upstream])
    }

    /// Upstreams excluded for `reason`.
    fn excluded_for(&self, reason: &'static str) -> impl Iterator<Item = &'a Upstream> {
        self.excluded.iter().filter(move |(_, why)| *why == reason).map(|(upstream, _)| *upstream)
    }
}

/// Total known load of the matching upstreams.
fn pool_load<'a>(matching: impl Iterator<Item = &'a Upstream>, estimate: &Estimate) -> Pool {
    matching.filter(|upstream| !upstream.is_leaving()).fold(Pool::default(), |pool, upstream| {
        Pool { load: pool.load + upstream.load_for_mean(estimate), members: pool.members + 1 }
    })
}

/// Combined outcomes of the matching upstreams.
fn pool_outcomes<'a>(
    matching: impl Iterator<Item = &'a Upstream>,
    estimate: &Estimate,
) -> Outcomes {
    matching.fold(Outcomes::default(), |all, upstream| {
        all.merge(upstream.health.outcomes(estimate.now))
    })
}

/// Orders `open` by `policy`, the best first.
fn order<'a>(
    policy: Policy,
    key: u64,
    request: &str,
    mut open: Vec<&'a Upstream>,
    estimate: &Estimate,
) -> Vec<&'a Upstream> {
    let ranked = |key, open: Vec<&'a Upstream>| {
        top(key, open.into_iter(), MAX_CANDIDATES, |upstream| (upstream.name(), 1.0))
    };
    match policy {
        Policy::Random => ranked(placement::key("", request), open),
        Policy::Ranked | Policy::Directory => ranked(key, open),
        Policy::Lightest => {
            let draw = placement::key("", request);
            open.sort_by_cached_key(|upstream| {
                (
                    upstream.estimated_load(estimate),
                    placement::score(draw, upstream.name(), 1.0).to_bits(),
                )
            });
            open.truncate(MAX_CANDIDATES);
            open
        }
    }
}
