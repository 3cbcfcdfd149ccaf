//! What passes through a pool of upstreams, as a router sees it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use wire::Delay;

use super::Forecast;
use super::estimator::Estimator;
use super::retry_after::Bookings;
use crate::beliefs::outlook::to_f64;

/// The share of an objective within which an answer must be expected to begin. Nine in ten
/// begin within two and a half times the expected time. At 0.3 requests are refused while
/// slots are free, at 0.7 as much is served, and later.
const PART: f64 = 0.5;

/// How much less of it a request may wait for each priority that is more urgent, so that
/// what is less urgent gives way first.
const GIVES_WAY: f64 = 0.85;

/// The share of that for what waits, where answers take longer even without: they are late
/// in any case then, and what waits says no more of it.
const LEAST: f64 = 0.5;

/// What a router has seen pass through a pool of upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    /// The waits of each priority, the most urgent first.
    lanes: BTreeMap<i32, Estimator>,
    returns: Bookings,
}

impl Flow {
    /// Takes the objective of a request.
    pub(crate) fn expect(&mut self, priority: i32, objective_ms: u64) {
        self.lane(priority).expect(objective_ms);
    }

    /// Takes that an answer took `took` to begin with `queued` requests before it.
    pub(crate) fn record_start(&mut self, priority: i32, took: Millis, queued: u64, now: Millis) {
        self.lane(priority).began(took, queued, now);
    }

    /// Takes that a request has ended.
    pub(crate) fn record_completion(&mut self, now: Millis) {
        self.returns.record_completion(now);
    }

    /// Takes how long requests of another router waited.
    pub(crate) fn record_waits(&mut self, priority: i32, waited_ms: u32, queued: u32, now: Millis) {
        self.lane(priority).hear(waited_ms, queued, now);
    }

    /// The own waits since this was asked last, of the pool named `pool`.
    pub(crate) fn take_delays(&mut self, pool: &Arc<str>) -> Vec<Delay> {
        let told = |(priority, lane): (&i32, &mut Estimator)| {
            let (waited_ms, queued) = lane.tell()?;
            Some(Delay { pool: pool.clone(), priority: *priority, waited_ms, queued })
        };
        self.lanes.iter_mut().filter_map(told).collect()
    }

    /// What a request is to expect where `queued` answers have not begun.
    pub(crate) fn forecast(&self, priority: i32, queued: u64, now: Millis) -> Forecast {
        let wait_ms = self.lanes.get(&priority).map_or(0.0, |it| it.wait_ms(queued, now));
        Forecast { queued, wait_ms }
    }

    /// How long an answer to a request of `priority` takes to begin where nothing waits, in
    /// milliseconds.
    pub(crate) fn base_ms(&self, priority: i32) -> f64 {
        self.lanes.get(&priority).map_or(0.0, Estimator::base_ms)
    }

    /// The longest wait at which a request of `priority` is sent, in milliseconds: by the
    /// shortest objective of all that are as urgent or more, so that none is turned away for
    /// one that is less urgent and can wait for longer.
    pub(crate) fn limit_ms(&self, priority: i32) -> Option<f64> {
        let objectives = |lanes: std::ops::RangeToInclusive<i32>| {
            self.lanes.range(lanes).filter_map(|(_, lane)| lane.objective_ms())
        };
        let least = objectives(..=priority).min()?;
        let before = objectives(..=priority).count().saturating_sub(1);
        let before = i32::try_from(before).unwrap_or(i32::MAX);
        let all = to_f64(least) * PART * GIVES_WAY.powi(before);
        Some((all - self.base_ms(priority)).max(all * LEAST))
    }

    /// Books a time to come back, `soonest_ms` from now at the earliest; returns how long it
    /// is until then, in milliseconds. `times` says how many times the caller's workspace is
    /// over its share.
    pub(crate) fn book(&mut self, soonest_ms: f64, times: f64, now: Millis) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds, not negative"
        )]
        let soonest = Millis(soonest_ms as u64);
        self.returns.book(soonest, times, now).0
    }

    fn lane(&mut self, priority: i32) -> &mut Estimator {
        self.lanes.entry(priority).or_default()
    }
}
