//! Wait estimates and retry bookings of a pool.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use wire::Delay;

use super::Forecast;
use super::estimator::Estimator;
use super::retry_after::Bookings;
use crate::upstreams::estimate::to_f64;

/// Fraction of an objective within which an answer is expected to begin; actual waits vary widely
/// around the estimate. A lower one refuses requests while slots are free; a higher one serves as
/// many, but later.
const MAX_WAIT_RATIO: f64 = 0.5;

/// Factor on the limit for each more urgent priority, so that less urgent requests are refused
/// first.
const PRIORITY_FACTOR: f64 = 0.85;

/// Smallest fraction of the limit left for waiting, where the base time takes up most of it.
const MIN_WAIT_RATIO: f64 = 0.5;

/// What this router has observed of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    /// Wait estimators by priority, the most urgent first.
    estimators: BTreeMap<i32, Estimator>,
    bookings: Bookings,
}

impl Flow {
    pub(crate) fn record_objective(&mut self, priority: i32, objective_ms: u64) {
        self.estimator(priority).record_objective(objective_ms);
    }

    /// Records that an answer began after `took`, with `queued` requests before it.
    pub(crate) fn record_start(&mut self, priority: i32, took: Millis, queued: u64, now: Millis) {
        self.estimator(priority).record_start(took, queued, now);
    }

    /// Records the end of a request.
    pub(crate) fn record_completion(&mut self, now: Millis) {
        self.bookings.record_completion(now);
    }

    /// Records waits reported by another router.
    pub(crate) fn record_waits(&mut self, priority: i32, waited_ms: u32, queued: u32, now: Millis) {
        self.estimator(priority).record_waits(waited_ms, queued, now);
    }

    /// Takes the waits of this router's requests not yet reported.
    pub(crate) fn take_delays(&mut self, pool: &Arc<str>) -> Vec<Delay> {
        let delay = |(priority, estimator): (&i32, &mut Estimator)| {
            let (waited_ms, queued) = estimator.take_unreported()?;
            Some(Delay { pool: pool.clone(), priority: *priority, waited_ms, queued })
        };
        self.estimators.iter_mut().filter_map(delay).collect()
    }

    /// Forecast for a request behind `queued` others.
    pub(crate) fn forecast(&self, priority: i32, queued: u64, now: Millis) -> Forecast {
        let wait_ms =
            self.estimators.get(&priority).map_or(0.0, |estimator| estimator.wait_ms(queued, now));
        Forecast { queued, wait_ms }
    }

    /// Time until an answer begins without a queue, in milliseconds.
    pub(crate) fn base_ms(&self, priority: i32) -> f64 {
        self.estimators.get(&priority).map_or(0.0, Estimator::base_ms)
    }

    /// Longest wait at which a request of `priority` is sent, in milliseconds. Uses the shortest
    /// objective of all priorities at least as urgent, so that none is refused in favor of a less
    /// urgent one.
    pub(crate) fn limit_ms(&self, priority: i32) -> Option<f64> {
        let objectives = |priorities: std::ops::RangeToInclusive<i32>| {
            self.estimators.range(priorities).filter_map(|(_, estimator)| estimator.objective_ms())
        };
        let shortest = objectives(..=priority).min()?;
        let more_urgent = objectives(..=priority).count().saturating_sub(1);
        let more_urgent = i32::try_from(more_urgent).unwrap_or(i32::MAX);
        let max_ms = to_f64(shortest) * MAX_WAIT_RATIO * PRIORITY_FACTOR.powi(more_urgent);
        Some((max_ms - self.base_ms(priority)).max(max_ms * MIN_WAIT_RATIO))
    }

    /// Books a retry time, at least `min_delay_ms` from now, and returns the delay in milliseconds.
    /// `excess_ratio` is the demand of the caller's workspace relative to its share.
    pub(crate) fn book(&mut self, min_delay_ms: f64, excess_ratio: f64, now: Millis) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds, not negative"
        )]
        let min_delay = Millis(min_delay_ms as u64);
        self.bookings.book(min_delay, excess_ratio, now).0
    }

    fn estimator(&mut self, priority: i32) -> &mut Estimator {
        self.estimators.entry(priority).or_default()
    }
}
