//! How old the store's content may get at a router that reads it from other routers.

use clock::Millis;

/// How long an answer of another router may take to begin beyond the wait time of its query. It
/// leaves time to query another router before the last confirmation is too old.
pub const ANSWER_TIMEOUT: Millis = Millis(400);

/// Shortest wait time of a query, used while the last confirmation is stale.
const MIN_WAIT: Millis = Millis(300);

/// Longest wait time of a query; a router that polls the store has a newer confirmation with each
/// poll.
const MAX_WAIT: Millis = Millis(1_200);

/// Upper bound of the age at which a confirmation is stale.
const MAX_STALE_AGE: Millis = Millis(1_800);

/// Lower bound of that age: confirmations reach it at all routers while the store answers slowly.
const MIN_STALE_AGE: Millis = Millis(1_400);

/// How much of the grace period is skipped after a short gap; the rest still lets each upstream
/// write its entry once.
const MAX_GRACE_REDUCTION: Millis = Millis(700);

/// When a router that reads from another router has to change its source.
///
/// The content of a router is as old as its last confirmation. A source that stops answering is
/// replaced while the confirmation is still valid:
///
/// ```text
/// age of the confirmation at the query + wait time + ANSWER_TIMEOUT + MIN_WAIT <= validity
/// ```
///
/// A source whose own confirmation is old is replaced at `validity - MIN_WAIT`.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    validity: Millis,
}

impl Freshness {
    /// Confirmations are valid until they are older than `validity`.
    pub fn new(validity: Millis) -> Self {
        Self { validity }
    }

    /// Whether a router has to query another source, given the age of its last confirmation.
    pub fn is_stale(self, age: Option<Millis>) -> bool {
        let oldest = (self.validity - MIN_WAIT).clamp(MIN_STALE_AGE, MAX_STALE_AGE);
        age.is_none_or(|age| age >= oldest)
    }

    /// How long the answer to a query may wait for changes, given the age of the router's last
    /// confirmation and the time until its next deadline.
    pub fn wait(self, age: Option<Millis>, left: Option<Millis>) -> Millis {
        let age = age.filter(|age| !self.is_stale(Some(*age)));
        let wait = age.map_or(MIN_WAIT, |age| self.validity - MIN_WAIT - ANSWER_TIMEOUT - age);
        let wait = wait.clamp(MIN_WAIT, MAX_WAIT);
        left.map_or(wait, |left| left.min(wait))
    }

    /// When the grace period of entries began that are missing at `now`, after polls have failed.
    ///
    /// It began earlier if the last confirmation is still valid: the store was unreachable for a
    /// short time only, and the entries have probably been removed.
    pub fn grace_start(self, age: Option<Millis>, now: Millis) -> Millis {
        let valid = age.filter(|age| *age < self.validity);
        valid.map_or(now, |age| now - age.min(MAX_GRACE_REDUCTION))
    }
}
