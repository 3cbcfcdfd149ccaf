//! The times at which refused callers may retry.

use std::collections::HashMap;

use clock::Millis;

/// The fraction of a pool's rate that is planned for retries; the rest is for new requests.
const RETRY_RATIO: f64 = 0.25;

/// The longest time that a caller is asked to wait.
pub(crate) const MAX_RETRY_AFTER: Millis = Millis(4_000);

/// How much earlier than its time a retry may arrive, for clock and network differences.
const EARLY_TOLERANCE: Millis = Millis(20);

/// How long an unused retry time is kept.
const RETENTION: Millis = Millis(2_000);

/// The largest number of retry times that are kept.
const MAX_RETRIES: usize = 4_096;

/// When a request arrives, relative to the retry time that its caller got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timing {
    /// A retry at its time.
    OnTime,
    /// A request without a retry time.
    #[default]
    New,
    /// A retry before its time.
    Early,
}

/// The retry times by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    times: HashMap<u64, Millis>,
    latest: Millis,
}

impl Retries {
    /// Plans the retry of a refused request and returns the time left until then, at least
    /// `soonest` for a new entry. Retries are spread by the rate of the pool. A request that
    /// has a retry time keeps it.
    pub fn schedule(
        &mut self,
        fingerprint: u64,
        soonest: Millis,
        rate_per_ms: f64,
        now: Millis,
    ) -> Millis {
        if let Some(time) = self.times.get(&fingerprint).filter(|time| **time > now) {
            return now.until(*time);
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let gap = (1.0 / (RETRY_RATIO * rate_per_ms).max(0.001)).min(1_000.0) as u64;
        self.latest = (self.latest.max(now + soonest) + Millis(gap)).min(now + MAX_RETRY_AFTER);
        if self.times.len() >= MAX_RETRIES {
            self.times.retain(|_, time| *time + RETENTION > now);
        }
        if self.times.len() < MAX_RETRIES {
            self.times.insert(fingerprint, self.latest);
        }
        now.until(self.latest)
    }

    /// Classifies a request that arrives now. Its retry time is removed unless it is early.
    pub fn record_arrival(&mut self, fingerprint: u64, now: Millis) -> Timing {
        let Some(time) = self.times.get(&fingerprint).copied() else { return Timing::New };
        if time > now + EARLY_TOLERANCE {
            return Timing::Early;
        }
        self.times.remove(&fingerprint);
        if time + RETENTION > now { Timing::OnTime } else { Timing::New }
    }

    /// The number of retry times.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether there are no retry times.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
