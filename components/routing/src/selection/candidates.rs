//! Which upstreams a request may go to, the best first.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use intents::{Intent, Selector, Target};
use placement::{Pool, key, top};

use crate::beliefs::health::Outcomes;
use crate::beliefs::outlook::Estimate;
use crate::beliefs::room::{Allocation, is_degraded};
use crate::beliefs::upstream::{ALLOCATION_USED, OVER_BOUND, SUSPECT, UNHEALTHY};
use crate::{Arrival, Exclusion, Policy, Settings, Upstream};

/// The most upstreams that one request may be tried at.
const MAX_CANDIDATES: usize = 16;

/// The most upstreams that were passed over and are told in a decision.
const MAX_PASSED: usize = 8;

/// The places of the draw for a split, in hundredths of a percent.
const HUNDREDTHS: u64 = 10_000;

/// The upstreams known, by name; the index relies on their places.
pub(crate) type Upstreams = IndexMap<Arc<str>, Upstream>;

/// What decides which upstreams fit: an intent's name, the model that is asked for, the place
/// of the share, and the workspace if it has homes.
type Question = (Arc<str>, Option<Arc<str>>, Option<usize>, Option<Arc<str>>);

/// The upstreams that fit each intent and model, so that a request does not
/// look at all of them. It is emptied when upstreams or intents change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    fitting: HashMap<Question, Arc<[usize]>>,
}

/// Where a request may go.
#[derive(Clone, Debug, Default)]
pub(crate) struct Choice {
    /// The candidates, the best last.
    pub candidates: Vec<Arc<str>>,
    /// The best of those that were passed over.
    pub passed: Vec<Exclusion>,
    /// The first in rank of those that are up, whatever their load; it keeps
    /// the chat's directory entry.
    pub home: Option<Arc<str>>,
    /// The same, whether there is a directory or not.
    pub first: Option<Arc<str>>,
}

impl Index {
    pub(crate) fn clear(&mut self) {
        self.fitting.clear();
    }

    /// Ranks the upstreams that fit and have nothing against the request.
    pub(crate) fn choose(
        &mut self,
        upstreams: &Upstreams,
        target: &Target<'_>,
        ask: &Arrival,
        settings: &Settings,
        estimate: &Estimate,
    ) -> Choice {
        let fitting = self.fitting(upstreams, target, ask);
        let fitting = fitting.iter().map(|place| &upstreams[*place]);
        let sorted = Sorted::new(fitting, ask.weight, settings, estimate);
        let key = key(&ask.workspace, &ask.chat);
        let first = sorted.home(key).filter(|_| ask.is_chat()).map(|it| it.name().clone());
        let home = sorted.home(key).filter(|_| ask.is_chat());
        let passed = top(key, sorted.objected.iter(), MAX_PASSED, |(it, _)| (it.name(), 1.0));
        let passed = passed
            .into_iter()
            .map(|(it, why)| Exclusion { upstream: it.name().clone(), why })
            .collect();
        let policy = if settings.path.balances_calls() && !ask.is_chat() {
            Policy::Lightest
        } else {
            settings.policy
        };
        let mut best =
            order(policy, key, &ask.request, sorted.candidates(&ask.request, estimate), estimate);
        if let Some(home) = home.filter(|_| settings.policy == Policy::Directory) {
            // The home is asked first even if it is believed to be full: it
            // knows where the chat's context is.
            best.retain(|it| it.name() != home.name());
            best.insert(0, home);
        }
        Choice {
            candidates: best.into_iter().rev().map(|it| it.name().clone()).collect(),
            passed,
            home: home.map(|it| it.name().clone()),
            first,
        }
    }

    fn fitting(
        &mut self,
        upstreams: &Upstreams,
        target: &Target<'_>,
        ask: &Arrival,
    ) -> Arc<[usize]> {
        let (intent, homes) = (target.intent, target.homes);
        let model = ask.model.as_deref();
        let share = share(intent, &ask.request);
        let selectors = share.map_or(&intent.upstreams, |place| &intent.split[place].upstreams);
        let fits = |it: &Upstream| {
            intent.serves(&it.labels, &it.host.domain, model)
                && Selector::all(selectors, &it.labels)
                && Selector::all(homes, &it.labels)
        };
        let find = || {
            let places = upstreams.values().enumerate().filter(|(_, it)| fits(it));
            places.map(|(place, _)| place).collect()
        };
        let workspace = (!homes.is_empty()).then(|| ask.workspace.clone());
        let question = (intent.name.clone(), ask.model.clone(), share, workspace);
        self.fitting.entry(question).or_insert_with(find).clone()
    }
}

/// The share of a split intent that a request falls into, if not the rest.
fn share(intent: &Intent, request: &str) -> Option<usize> {
    if intent.split.is_empty() {
        return None;
    }
    #[expect(clippy::cast_precision_loss, reason = "the remainder is small")]
    let mut place = (key("", request) % HUNDREDTHS) as f64 / 100.0;
    intent.split.iter().position(|it| {
        place -= it.percent;
        place < 0.0
    })
}

/// The fitting upstreams by what speaks against them.
struct Sorted<'a> {
    open: Vec<&'a Upstream>,
    objected: Vec<(&'a Upstream, &'static str)>,
}

impl<'a> Sorted<'a> {
    fn new(
        fitting: impl Iterator<Item = &'a Upstream> + Clone,
        weight: u64,
        settings: &Settings,
        estimate: &Estimate,
    ) -> Self {
        let mut sorted = Self { open: Vec::new(), objected: Vec::new() };
        let pool = (!settings.path.has_sidecars()).then(|| pool(fitting.clone(), estimate));
        let short = estimate.is_allocating(settings) && is_degraded(fitting.clone(), estimate.now);
        let deal = pool.filter(|_| short).map(|pool| Allocation { pool, bound: settings.bound });
        let judged = settings.path.monitors_upstreams() && settings.mechanisms.health;
        let outcomes = judged.then(|| outcomes(fitting.clone(), estimate));
        for upstream in fitting {
            let objection = upstream.exclusion(weight, pool, outcomes, settings, estimate);
            let dealt = || deal.filter(|it| it.is_exhausted(upstream, weight, estimate));
            match objection.or_else(|| dealt().map(|_| ALLOCATION_USED)) {
                None => sorted.open.push(upstream),
                Some(why) => sorted.objected.push((upstream, why)),
            }
        }
        sorted
    }

    /// Those that are up but believed to be full.
    fn full(&self) -> impl Iterator<Item = &'a Upstream> {
        self.objected_for(OVER_BOUND)
    }

    /// The first in rank of those that are up.
    fn home(&self, key: u64) -> Option<&'a Upstream> {
        let up =
            self.open.iter().copied().chain(self.full()).chain(self.objected_for(ALLOCATION_USED));
        top(key, up, 1, |it| (it.name(), 1.0)).pop()
    }

    /// Those to try. Loads are known with a lag: one sidecar is asked before all
    /// are believed to be full.
    fn candidates(self, request: &str, estimate: &Estimate) -> Vec<&'a Upstream> {
        if !self.open.is_empty() {
            return self.open;
        }
        // Where all room is dealt out, requests spread over all that have some.
        let draw = key("", request);
        let spread = top(draw, self.objected_for(ALLOCATION_USED), 1, |it| (it.name(), 1.0));
        if !spread.is_empty() {
            return spread;
        }
        let poor: Vec<_> = self.objected_for(UNHEALTHY).collect();
        if !poor.is_empty() {
            return poor;
        }
        let least = self.full().min_by_key(|it| it.estimated_load(estimate));
        if estimate.path.has_sidecars() {
            return least.into_iter().collect();
        }
        // Those that failed lately are better than none where nobody else can say
        // whether they are back.
        least.map_or_else(|| self.objected_for(SUSPECT).collect(), |it| vec![it])
    }

    /// Those that were objected to for `reason`.
    fn objected_for(&self, reason: &'static str) -> impl Iterator<Item = &'a Upstream> {
        self.objected.iter().filter(move |(_, why)| *why == reason).map(|(it, _)| *it)
    }
}

/// The load of all that fit, as far as this router knows.
fn pool<'a>(fitting: impl Iterator<Item = &'a Upstream>, estimate: &Estimate) -> Pool {
    fitting.filter(|it| !it.is_leaving()).fold(Pool::default(), |pool, it| Pool {
        load: pool.load + it.load_for_mean(estimate),
        members: pool.members + 1,
    })
}

/// How requests ended at all that fit.
fn outcomes<'a>(fitting: impl Iterator<Item = &'a Upstream>, estimate: &Estimate) -> Outcomes {
    fitting.fold(Outcomes::default(), |all, it| all.merge(it.health.outcomes(estimate.now)))
}

/// The best of `open`, the best first.
fn order<'a>(
    policy: Policy,
    key: u64,
    request: &str,
    mut open: Vec<&'a Upstream>,
    estimate: &Estimate,
) -> Vec<&'a Upstream> {
    let ranked = |key, open: Vec<&'a Upstream>| {
        top(key, open.into_iter(), MAX_CANDIDATES, |it| (it.name(), 1.0))
    };
    match policy {
        Policy::Random => ranked(placement::key("", request), open),
        Policy::Ranked | Policy::Directory => ranked(key, open),
        Policy::Lightest => {
            let draw = placement::key("", request);
            open.sort_by_cached_key(|it| {
                (it.estimated_load(estimate), placement::score(draw, it.name(), 1.0).to_bits())
            });
            open.truncate(MAX_CANDIDATES);
            open
        }
    }
}
