//! Admission control for upstreams that are reached directly.
//!
//! Under overload, upstreams queue requests without limit: queued requests are answered late or
//! after their callers have left, and the queue outlasts the overload. So the time until an answer
//! begins is estimated from recent answers of all routers ([`estimator`]), and a request that would
//! be late at every upstream is refused before it is sent, with a retry time that spreads the
//! returning callers ([`retry_after`]).
//!
//! A request is queued until its answer begins, and its wait is the time until then beyond the time
//! that an answer takes to begin without a queue. Occupied slots are not counted, because long
//! prefills delay answers while slots are free.

mod estimator;
mod flow;
mod lateness;
mod retry_after;
mod shares;

use std::sync::Arc;

use clock::Millis;
use wire::Delay;

use crate::Effect;
use crate::requests::request::Request;
use crate::state::State;
use crate::upstreams::estimate::{Estimate, millis_to_f64};

pub(crate) use self::shares::Shares;
pub(crate) use flow::Flow;
pub(crate) use lateness::Lateness;

/// Expected wait of one request at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Forecast {
    /// Requests queued there.
    pub queued: u64,
    /// Estimated wait for these, in milliseconds.
    pub wait_ms: f64,
}

impl State {
    /// Forecast for a request of `priority` at upstream `name`.
    fn forecast(&self, pool: &str, priority: i32, name: &str, estimate: &Estimate) -> Forecast {
        let (Some(flow), Some(upstream)) = (self.flows.get(pool), self.upstreams.get(name)) else {
            return Forecast::default();
        };
        let waiting = upstream.estimated_waiting(estimate);
        let nominal = waiting
            .map_or_else(Forecast::default, |queued| flow.forecast(priority, queued, estimate.now));
        if !self.settings.mechanisms.pace {
            return nominal;
        }
        let base_ms = flow.base_ms(priority);
        Forecast {
            wait_ms: upstream.pace.expected_wait_ms(base_ms, nominal.wait_ms, estimate.now),
            ..nominal
        }
    }

    /// Forecast for a request in flight.
    pub(crate) fn forecast_for(&self, id: u64, name: &str, now: Millis) -> Forecast {
        let Some(request) = self.requests.get(&id) else {
            return Forecast::default();
        };
        let estimate = Estimate { now, ..request.estimate };
        self.forecast(&request.pool, request.priority, name, &estimate)
    }

    /// Moves to the end, where the best candidate is, the best-ranked one whose wait is within the
    /// limit, or else the one with the shortest wait. `limit_ratio` is the part of the limit
    /// granted to the request's workspace.
    pub(crate) fn prefer_in_time(
        &self,
        candidates: &mut Vec<Arc<str>>,
        pool: &str,
        priority: i32,
        limit_ratio: f64,
        estimate: &Estimate,
    ) {
        let Some(limit) = self.limit_ms(pool, priority) else { return };
        let limit = limit * limit_ratio;
        let wait = |name: &Arc<str>| self.forecast(pool, priority, name, estimate).wait_ms;
        if candidates.last().is_none_or(|candidate| wait(candidate) <= limit) {
            return;
        }
        let waits: Vec<f64> = candidates.iter().map(wait).collect();
        let in_time = waits.iter().rposition(|wait_ms| *wait_ms <= limit);
        let shortest =
            || (0..waits.len()).min_by(|one, other| waits[*one].total_cmp(&waits[*other]));
        if let Some(index) = in_time.or_else(shortest) {
            let best = candidates.remove(index);
            candidates.push(best);
        }
    }

    /// Time after which the caller may retry if the request would be late even at `best`, in
    /// milliseconds; `None` if it may be sent.
    ///
    /// A request that may have run is not refused, because its caller could not repeat it.
    pub(crate) fn reject_late(&mut self, id: u64, best: &str, now: Millis) -> Option<u64> {
        let request =
            self.requests.get(&id).filter(|request| request.uncertain_error().is_none())?;
        let full_limit = self.limit_ms(&request.pool, request.priority)?;
        let pool = request.pool.clone();
        let wait = self.forecast_for(id, best, now).wait_ms;
        self.detect_saturation(&pool, wait / full_limit, now);
        let standing = self.standing(id, now);
        let limit = full_limit * self.shares.limit_ratio(&pool, standing, now);
        let late = wait > limit;
        if !late && !self.draw_refusal(id, standing, now) {
            return None;
        }
        self.record_rejection(id, standing, late, now);
        let excess_ratio = standing.map_or(1.0, |standing| standing.rank.excess_ratio());
        let flow = self.flows.get_mut(&pool)?;
        Some(flow.book((wait - limit).max(0.0), excess_ratio, now))
    }

    /// How late this router carries out its own work; zero where lateness is not to be considered.
    pub(crate) fn own_lateness(&self, now: Millis) -> Millis {
        let applies = self.settings.path.monitors_upstreams() && self.settings.mechanisms.admission;
        if applies { self.lateness.at(now) } else { Millis::ZERO }
    }

    /// Time after which the caller may retry if this router is so late itself that the answer would
    /// be late at any upstream, in milliseconds; `None` if the request may be sent.
    pub(crate) fn reject_if_behind(&mut self, id: u64, now: Millis) -> Option<u64> {
        let lateness = self.own_lateness(now);
        let request =
            self.requests.get(&id).filter(|request| request.uncertain_error().is_none())?;
        if lateness.0 <= request.objective_ms? {
            return None;
        }
        let flow = self.flows.entry(request.pool.clone()).or_default();
        Some(flow.book(millis_to_f64(lateness), 1.0, now))
    }

    /// Longest wait at which a request of `priority` is sent, in milliseconds.
    fn limit_ms(&self, pool: &str, priority: i32) -> Option<f64> {
        let applies = self.settings.path.monitors_upstreams() && self.settings.mechanisms.admission;
        self.flows.get(pool).filter(|_| applies)?.limit_ms(priority)
    }

    /// Records the objective of a new request.
    pub(crate) fn record_objective(
        &mut self,
        pool: &Arc<str>,
        priority: i32,
        objective_ms: Option<u64>,
    ) {
        if let Some(objective_ms) = objective_ms {
            self.flows.entry(pool.clone()).or_default().record_objective(priority, objective_ms);
        }
    }

    /// Records how long the answer took to begin.
    pub(crate) fn record_answer_start(&mut self, id: u64, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let weight = request.arrival.weight;
        let (pool, priority) = (request.pool.clone(), request.priority);
        let Some(last) = request.tries.last_mut().filter(|last| last.is_queued) else { return };
        last.is_queued = false;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.remove_waiting(weight);
        }
        let flow = self.flows.entry(pool).or_default();
        flow.record_start(priority, last.sent.until(now), last.queued, now);
    }

    /// Records the end of an answered request.
    pub(crate) fn record_completion(&mut self, request: &Request, now: Millis) {
        self.flows.entry(request.pool.clone()).or_default().record_completion(now);
    }

    /// Records waits reported by another router.
    pub(crate) fn receive_delays(&mut self, delays: &[Delay], now: Millis) -> Vec<Effect> {
        for delay in delays {
            let flow = self.flows.entry(delay.pool.clone()).or_default();
            flow.record_waits(delay.priority, delay.waited_ms, delay.queued, now);
        }
        Vec::new()
    }

    /// Takes the waits of this router's requests since the last call.
    pub fn take_delays(&mut self) -> Vec<Delay> {
        let pool_delays = |(pool, flow): (&Arc<str>, &mut Flow)| flow.take_delays(pool);
        self.flows.iter_mut().flat_map(pool_delays).collect()
    }
}
