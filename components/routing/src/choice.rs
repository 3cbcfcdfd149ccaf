//! Which upstreams a request may go to, the best first.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;
use indexmap::IndexMap;
use intents::Intent;
use placement::{key, top};

use crate::upstream::OVER_BOUND;
use crate::{Ask, Passed, Policy, Settings, Upstream};

/// The most upstreams that one request may be tried at.
const MAX_CANDIDATES: usize = 16;

/// The most upstreams that were passed over and are told in a decision.
const MAX_PASSED: usize = 8;

/// The upstreams known, by name; the index relies on their places.
pub(crate) type Upstreams = IndexMap<Arc<str>, Upstream>;

/// An intent's name and the model that is asked for.
type Question = (Arc<str>, Option<Arc<str>>);

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
    pub passed: Vec<Passed>,
    /// The first in rank of those that are up, whatever their load.
    pub home: Option<Arc<str>>,
}

impl Index {
    pub(crate) fn clear(&mut self) {
        self.fitting.clear();
    }

    /// Ranks the upstreams that fit and have nothing against the request.
    pub(crate) fn choose(
        &mut self,
        upstreams: &Upstreams,
        intent: &Intent,
        ask: &Ask,
        settings: &Settings,
        now: Millis,
    ) -> Choice {
        let fitting = self.fitting(upstreams, intent, ask);
        let mut open = Vec::with_capacity(fitting.len());
        let mut objected = Vec::new();
        let mut lightest: Option<&Upstream> = None;
        let mut up = Vec::new();
        for upstream in fitting.iter().map(|place| &upstreams[*place]) {
            let Some(why) = upstream.objection(ask.weight, settings, now) else {
                open.push(upstream);
                up.push(upstream);
                continue;
            };
            objected.push((upstream, why));
            if why == OVER_BOUND {
                up.push(upstream);
            }
            if why == OVER_BOUND && lightest.is_none_or(|it| upstream.load() < it.load()) {
                lightest = Some(upstream);
            }
        }
        // Loads are known with a lag: one sidecar is asked before all are
        // believed to be full.
        if open.is_empty() {
            open.extend(lightest);
        }
        let key = key(&ask.workspace, &ask.chat);
        let home = top(key, up.into_iter(), 1, |it| (it.name(), 1.0)).pop();
        let mut best = order(settings.policy, key, &ask.request, open);
        if settings.policy == Policy::Directory
            && let Some(home) = home.filter(|_| ask.is_chat())
        {
            // The home is asked first even if it is believed to be full: it
            // knows where the chat's context is.
            best.retain(|it| it.name() != home.name());
            best.insert(0, home);
        }
        let passed = top(key, objected.into_iter(), MAX_PASSED, |(it, _)| (it.name(), 1.0));
        Choice {
            candidates: best.into_iter().rev().map(|it| it.name().clone()).collect(),
            passed: passed
                .into_iter()
                .map(|(it, why)| Passed { upstream: it.name().clone(), why })
                .collect(),
            home: home.filter(|_| ask.is_chat()).map(|it| it.name().clone()),
        }
    }

    fn fitting(&mut self, upstreams: &Upstreams, intent: &Intent, ask: &Ask) -> Arc<[usize]> {
        let model = ask.model.as_deref();
        let fits = |it: &Upstream| intent.fits(&it.labels, &it.host.domain, model);
        let find = || {
            let places = upstreams.values().enumerate().filter(|(_, it)| fits(it));
            places.map(|(place, _)| place).collect()
        };
        let question = (intent.name.clone(), ask.model.clone());
        self.fitting.entry(question).or_insert_with(find).clone()
    }
}

/// The best of `open`, the best first.
fn order<'a>(
    policy: Policy,
    key: u64,
    request: &str,
    mut open: Vec<&'a Upstream>,
) -> Vec<&'a Upstream> {
    let ranked = |key, open: Vec<&'a Upstream>| {
        top(key, open.into_iter(), MAX_CANDIDATES, |it| (it.name(), 1.0))
    };
    match policy {
        Policy::Random => ranked(placement::key("", request), open),
        Policy::Ranked | Policy::Directory => ranked(key, open),
        Policy::Lightest => {
            open.sort_by_key(|it| it.load());
            open.truncate(MAX_CANDIDATES);
            open
        }
    }
}
