//! Intents whose streams may have begun in several pools: those that are split, and those that
//! selected other upstreams a short time ago.
//!
//! The pool of such a stream does not follow from the configuration; only its record tells it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use clock::Millis;
use intents::{Intent, Plan};
use streams::MAX_STREAM_AGE;

/// The intents with streams of several pools.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    /// Names of the intents that are split.
    split: HashSet<Arc<str>>,
    /// When intents last had other targets, or were split, by name.
    changed: HashMap<Arc<str>, Millis>,
}

impl Targets {
    /// Compares the configuration that comes into force with the one before.
    pub(crate) fn update(&mut self, before: Option<&Plan>, after: &Plan, now: Millis) {
        self.changed.retain(|_, at| is_recent(*at, now));
        self.changed.extend(self.split.drain().map(|name| (name, now)));
        let intents = before.map_or(&[][..], |plan| &plan.document().intents);
        let known: HashMap<_, _> = intents.iter().map(|intent| (&intent.name, intent)).collect();
        for intent in &after.document().intents {
            if !intent.split.is_empty() {
                self.split.insert(intent.name.clone());
            }
            if known.get(&intent.name).is_some_and(|known| !have_equal_targets(known, intent)) {
                self.changed.insert(intent.name.clone(), now);
            }
        }
    }

    /// Whether streams of `intent` that are still continued may have begun in several pools.
    pub(crate) fn vary(&self, intent: &str, now: Millis) -> bool {
        self.split.contains(intent)
            || self.changed.get(intent).is_some_and(|at| is_recent(*at, now))
    }

    /// Whether there is any such intent.
    pub(crate) fn any_vary(&self, now: Millis) -> bool {
        !self.split.is_empty() || self.changed.values().any(|at| is_recent(*at, now))
    }
}

/// Whether streams that began before `at` may still be continued.
fn is_recent(at: Millis, now: Millis) -> bool {
    at.until(now) < MAX_STREAM_AGE
}

/// Whether both intents select the same upstreams, in the same shares.
fn have_equal_targets(one: &Arc<Intent>, other: &Arc<Intent>) -> bool {
    let equal = || {
        (&one.upstreams, &one.split, &one.domains)
            == (&other.upstreams, &other.split, &other.domains)
    };
    Arc::ptr_eq(one, other) || equal()
}
