//! Estimates the wait of requests of one priority in a pool.
//!
//! Upstreams serve more urgent requests first, so each priority has its own estimate.

use clock::Millis;

use crate::upstreams::estimate::{millis_to_f64, to_f64};

/// Weight of a new observation in the base time, if it is shorter.
const FALL_WEIGHT: f64 = 0.2;
/// Weight of a new observation in the base time, if it is longer; it may include a long prefill.
const RISE_WEIGHT: f64 = 0.02;

/// Half-life of observed waits, in milliseconds: several answers long, but shorter than a burst.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Weight of the prior estimate, in queued requests; it is updated when as many were observed.
const PRIOR_REQUESTS: f64 = 20.0;

/// Wait estimator of one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimator {
    /// Shortest objective of the requests, in milliseconds.
    objective_ms: Option<u64>,
    /// Time until an answer begins without a queue, in milliseconds.
    base_ms: Option<f64>,
    /// Observed waits beyond the base time, decaying.
    observed: Waits,
    updated_at: Millis,
    /// Prior estimate, in milliseconds per queued request.
    prior_ms: f64,
    /// Milliseconds and requests not yet reported to other routers.
    unreported: (u32, u32),
}

#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    ms: f64,
    queued: f64,
}

impl Estimator {
    /// Records the objective of a request.
    pub(crate) fn record_objective(&mut self, objective_ms: u64) {
        let min_objective =
            self.objective_ms.map_or(objective_ms, |shortest| shortest.min(objective_ms));
        self.objective_ms = Some(min_objective);
    }

    pub(crate) fn objective_ms(&self) -> Option<u64> {
        self.objective_ms
    }

    /// Records that an answer began after `took`, with `queued` requests before it.
    pub(crate) fn record_start(&mut self, took: Millis, queued: u64, now: Millis) {
        let took = millis_to_f64(took);
        let base = self.base_ms.unwrap_or(took);
        if queued == 0 {
            let weight = if took < base { FALL_WEIGHT } else { RISE_WEIGHT };
            self.base_ms = Some(base + weight * (took - base));
            return;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "waits in milliseconds fit into u32"
        )]
        let waited = (took - base).max(0.0) as u32;
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        self.record_waits(waited, queued, now);
        self.unreported.0 = self.unreported.0.saturating_add(waited);
        self.unreported.1 = self.unreported.1.saturating_add(queued);
    }

    /// Records waits observed by this or another router.
    pub(crate) fn record_waits(&mut self, waited_ms: u32, queued: u32, now: Millis) {
        let decayed = self.waits(now);
        self.observed = Waits {
            ms: decayed.ms + f64::from(waited_ms),
            queued: decayed.queued + f64::from(queued),
        };
        self.updated_at = now;
        if self.observed.queued >= PRIOR_REQUESTS {
            self.prior_ms = self.observed.ms / self.observed.queued;
        }
    }

    /// Takes the waits not yet reported, in milliseconds and requests.
    pub(crate) fn take_unreported(&mut self) -> Option<(u32, u32)> {
        let unreported = std::mem::take(&mut self.unreported);
        (unreported.1 > 0).then_some(unreported)
    }

    /// Time until an answer begins without a queue, in milliseconds.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms.unwrap_or_default()
    }

    /// Estimated wait behind `queued` requests, in milliseconds.
    pub(crate) fn wait_ms(&self, queued: u64, now: Millis) -> f64 {
        let decayed = self.waits(now);
        let per_request_ms =
            (decayed.ms + PRIOR_REQUESTS * self.prior_ms) / (decayed.queued + PRIOR_REQUESTS);
        to_f64(queued) * per_request_ms
    }

    fn waits(&self, now: Millis) -> Waits {
        let decay = 0.5_f64.powf(millis_to_f64(self.updated_at.until(now)) / HALF_LIFE_MS);
        Waits { ms: self.observed.ms * decay, queued: self.observed.queued * decay }
    }
}
