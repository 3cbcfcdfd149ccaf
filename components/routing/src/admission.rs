//! Admission: what is turned away before anything is sent, where upstreams are reached
//! directly.
//!
//! The load pattern: more comes than a pool serves, since callers are many or upstreams are
//! gone. Upstreams queue what has no slot. All that waits there is late, or is worked on after
//! its caller has gone, and goes on being late when the load is over. So the wait for an
//! answer to begin is predicted from the answers of all routers ([`estimator`]), and a request that
//! would be late wherever it went is refused before it is sent, with a time to come back that
//! is booked so that callers do not return together ([`retry_after`]).
//!
//! What waits is counted in requests whose answers have not begun, not against slots: engines
//! that read long prompts keep callers waiting with half of their slots free.
//!
//! With three to six times the usual traffic and 45 in 100 engines gone for 6 s, 713 of 1,000
//! of what a day's answers are worth was earned with it and 557 without, 1,743 tries ran into
//! their callers' deadlines and not 7,855, and 99 in 100 were in time again 2 s after the
//! engines had come back, not 48.

mod estimator;
mod flow;
mod retry_after;
mod shares;

use std::sync::Arc;

use clock::Millis;
use wire::Delay;

use crate::Effect;
use crate::beliefs::outlook::Estimate;
use crate::requests::request::Request;
use crate::state::State;

pub(crate) use self::shares::Shares;
pub(crate) use flow::Flow;

/// What a router expects of an upstream for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Forecast {
    /// How many requests are there whose answers have not begun.
    pub queued: u64,
    /// How long it would wait for them, in milliseconds.
    pub wait_ms: f64,
}

impl State {
    /// What is expected of upstream `name` for a request of `priority`.
    fn forecast(&self, pool: &str, priority: i32, name: &str, estimate: &Estimate) -> Forecast {
        let (Some(flow), Some(upstream)) = (self.flows.get(pool), self.upstreams.get(name)) else {
            return Forecast::default();
        };
        let waiting = upstream.estimated_waiting(estimate);
        let usual =
            waiting.map_or_else(Forecast::default, |it| flow.forecast(priority, it, estimate.now));
        if !self.settings.mechanisms.pace {
            return usual;
        }
        let base_ms = flow.base_ms(priority);
        Forecast {
            wait_ms: upstream.pace.expected_wait_ms(base_ms, usual.wait_ms, estimate.now),
            ..usual
        }
    }

    /// The same for a request that has come.
    pub(crate) fn forecast_for(&self, id: u64, name: &str, now: Millis) -> Forecast {
        let Some(request) = self.requests.get(&id) else {
            return Forecast::default();
        };
        let estimate = Estimate { now, ..request.estimate };
        self.forecast(&request.pool, request.priority, name, &estimate)
    }

    /// Puts the first in rank before the others whose wait is within the limit, or else the
    /// one with the shortest wait; `candidates` has the best last. `part` is the part of the
    /// limit that the request's workspace has.
    pub(crate) fn put_in_time_first(
        &self,
        candidates: &mut Vec<Arc<str>>,
        pool: &str,
        priority: i32,
        part: f64,
        estimate: &Estimate,
    ) {
        let Some(limit) = self.limit_ms(pool, priority) else { return };
        let limit = limit * part;
        let wait = |name: &Arc<str>| self.forecast(pool, priority, name, estimate).wait_ms;
        if candidates.last().is_none_or(|it| wait(it) <= limit) {
            return;
        }
        let waits: Vec<f64> = candidates.iter().map(wait).collect();
        let in_time = waits.iter().rposition(|it| *it <= limit);
        let least = || (0..waits.len()).min_by(|one, other| waits[*one].total_cmp(&waits[*other]));
        if let Some(place) = in_time.or_else(least) {
            let best = candidates.remove(place);
            candidates.push(best);
        }
    }

    /// When a request is to come back that would be late even at `best`, in milliseconds
    /// from now; none if it may be sent.
    ///
    /// One that may have run already is not turned away: its caller could not send it again.
    pub(crate) fn reject_late(&mut self, id: u64, best: &str, now: Millis) -> Option<u64> {
        let request = self.requests.get(&id).filter(|it| it.uncertain_error().is_none())?;
        let full = self.limit_ms(&request.pool, request.priority)?;
        let pool = request.pool.clone();
        let wait = self.forecast_for(id, best, now).wait_ms;
        self.watch_room(&pool, wait / full, now);
        let standing = self.standing(id, now);
        let limit = full * self.shares.part(&pool, standing, now);
        let late = wait > limit;
        if !late && !self.gives_way(id, standing, now) {
            return None;
        }
        self.note_refused(id, standing, late, now);
        let times = standing.map_or(1.0, |it| it.rank.excess_ratio());
        let flow = self.flows.get_mut(&pool)?;
        Some(flow.book((wait - limit).max(0.0), times, now))
    }

    /// The longest wait at which a request of `priority` is sent, in milliseconds.
    fn limit_ms(&self, pool: &str, priority: i32) -> Option<f64> {
        let applies = self.settings.path.monitors_upstreams() && self.settings.mechanisms.admission;
        self.flows.get(pool).filter(|_| applies)?.limit_ms(priority)
    }

    /// Notes the objective of a request that has come.
    pub(crate) fn expect(&mut self, pool: &Arc<str>, priority: i32, objective_ms: Option<u64>) {
        if let Some(objective_ms) = objective_ms {
            self.flows.entry(pool.clone()).or_default().expect(priority, objective_ms);
        }
    }

    /// The answer of a request begins: notes how long it took to.
    pub(crate) fn record_answer_start(&mut self, id: u64, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let weight = request.arrival.weight;
        let (pool, priority) = (request.pool.clone(), request.priority);
        let Some(last) = request.tries.last_mut().filter(|it| it.is_waiting) else { return };
        last.is_waiting = false;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.record_answer_start(weight);
        }
        let flow = self.flows.entry(pool).or_default();
        flow.record_start(priority, last.sent.until(now), last.queued, now);
    }

    /// Notes that an answered request has ended.
    pub(crate) fn record_completion(&mut self, request: &Request, now: Millis) {
        self.flows.entry(request.pool.clone()).or_default().record_completion(now);
    }

    /// Takes how long requests of another router waited.
    pub(crate) fn receive_delays(&mut self, delays: &[Delay], now: Millis) -> Vec<Effect> {
        for it in delays {
            let flow = self.flows.entry(it.pool.clone()).or_default();
            flow.record_waits(it.priority, it.waited_ms, it.queued, now);
        }
        Vec::new()
    }

    /// How long requests of this router waited since it was asked last, for the others.
    pub fn take_delays(&mut self) -> Vec<Delay> {
        let told = |(pool, flow): (&Arc<str>, &mut Flow)| flow.take_delays(pool);
        self.flows.iter_mut().flat_map(told).collect()
    }
}
