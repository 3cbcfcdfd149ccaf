//! Which upstreams a request may go to, the best first.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;
use indexmap::IndexMap;
use intents::Intent;
use placement::{key, top};

use crate::upstream::OVER_BOUND;
use crate::{Ask, Passed, Settings, Upstream};

/// The most upstreams that one request may be tried at.
const MAX_CANDIDATES: usize = 16;

/// The most upstreams that were passed over and are told in a decision.
const MAX_PASSED: usize = 8;

/// The upstreams known, by name; the index relies on their places.
pub(crate) type Upstreams = IndexMap<Arc<str>, Upstream>;

/// The upstreams that fit each intent and model, so that a request does not
/// look at all of them. It is emptied when upstreams or intents change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    fitting: HashMap<(Arc<str>, Option<Arc<str>>), Arc<[usize]>>,
}

/// Where a request may go.
#[derive(Clone, Debug, Default)]
pub(crate) struct Choice {
    /// The candidates, the best last.
    pub candidates: Vec<Arc<str>>,
    /// The best of those that were passed over.
    pub passed: Vec<Passed>,
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
        for upstream in fitting.iter().map(|place| &upstreams[*place]) {
            let Some(why) = upstream.objection(ask.weight, settings, now) else {
                open.push(upstream);
                continue;
            };
            objected.push((upstream, why));
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
        let best = top(key, open.into_iter(), MAX_CANDIDATES, |it| (it.name(), 1.0));
        let passed = top(key, objected.into_iter(), MAX_PASSED, |(it, _)| (it.name(), 1.0));
        Choice {
            candidates: best.into_iter().rev().map(|it| it.name().clone()).collect(),
            passed: passed
                .into_iter()
                .map(|(it, why)| Passed { upstream: it.name().clone(), why })
                .collect(),
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
