//! The routers that this one was referred to by routers that have enough subscribers.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::Peer;

/// How long a router with enough subscribers is not queried again.
const FULL_BACKOFF: Millis = Millis(5_000);

/// How many candidates of a referral may fail before the referring routers are queried again.
const MAX_FAILURES: usize = 2;

/// By how much the backoff grows with each retry.
const BACKOFF_STEP: Millis = Millis(300);

/// The routers that referred this one, and its current candidates.
#[derive(Debug, Default)]
pub(crate) struct Referrals {
    /// Until when the referring routers are not queried.
    full_until: BTreeMap<Arc<str>, Millis>,
    /// The routers of the latest referral, in the order in which they are queried.
    candidates: Vec<Peer>,
    /// How many candidates of the latest referral failed.
    failures: usize,
    /// How often the referring routers were queried again since the last useful answer.
    retries: u64,
}

impl Referrals {
    /// Records that `name` referred this router to `others`.
    pub(crate) fn record(&mut self, name: &Arc<str>, others: Vec<Peer>, now: Millis) {
        self.full_until.insert(name.clone(), now + FULL_BACKOFF);
        self.candidates = others;
        self.failures = 0;
    }

    /// The routers that this one was referred to.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &Peer> {
        self.candidates.iter()
    }

    /// Whether a router has recently referred this one to others.
    pub(crate) fn is_full(&self, name: &str) -> bool {
        self.full_until.contains_key(name)
    }

    /// Removes backoffs that have ended.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.full_until.retain(|_, until| *until > now);
    }

    /// Resets the failure counts after a useful answer.
    pub(crate) fn record_success(&mut self) {
        (self.failures, self.retries) = (0, 0);
    }

    /// Records that a router gave no useful answer. If too many candidates failed, the referring
    /// routers may be queried again, after a backoff that grows with each retry.
    pub(crate) fn record_failure(&mut self, name: &str, now: Millis) {
        let before = self.candidates.len();
        self.candidates.retain(|candidate| *candidate.name != *name);
        if self.candidates.len() == before {
            return;
        }
        self.failures += 1;
        if self.failures < MAX_FAILURES && !self.candidates.is_empty() {
            return;
        }
        let retry_at = now + Millis(BACKOFF_STEP.0 * self.retries);
        for until in self.full_until.values_mut() {
            *until = retry_at.min(*until);
        }
        self.candidates.clear();
        self.failures = 0;
        self.retries += 1;
    }
}
