//! Sends a request to an upstream.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use placement::key;
use rand::Rng;

use crate::beliefs::outlook::{Estimate, millis_to_f64};
use crate::beliefs::upstream::{BACKING_OFF, COLD, EVACUATED, OVER_BOUND};
use crate::requests::request::{Phase, Request};
use crate::selection::prefill::Need;
use crate::state::State;
use crate::{Attempt, Effect, Try};

/// Over how long callers come back after a rest, so that they do not return in one moment.
const RETURNS: Millis = Millis(500);

impl State {
    /// Sends to the next candidate, or gives up.
    pub(crate) fn send_next(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        // Others may have ended under it while it waited or was elsewhere.
        let content = self.requests.get(&id).map(|it| it.arrival.fingerprint);
        if let Some(left) = content.and_then(|it| self.quarantine_left(it, now)) {
            return self.fail(id, Kind::HeldBack, left.0, "", now);
        }
        let Some(upstream) = self.next_candidate(id, now) else {
            let passed = self.requests.get(&id).and_then(|it| it.exclusions.first());
            let detail = passed.map_or("", |it| it.why);
            let kind = if detail == OVER_BOUND { Kind::OverBound } else { Kind::NoUpstream };
            let after = self.returns_after(id, detail, now);
            return self.fail(id, kind, after, detail, now);
        };
        if let Some(claim) = self.claim(id, &upstream, now) {
            return vec![claim];
        }
        if self.should_wait(id, &upstream, now) {
            return self.wait(id);
        }
        if let Some(after) = self.reject_late(id, &upstream, now) {
            return self.fail(id, Kind::WouldMiss, after, "", now);
        }
        self.send(id, &upstream, 0, now)
    }

    /// How long a caller is told to stay away for whom no upstream is there, in milliseconds.
    /// Callers whom cold upstreams can't take yet come back one after the other as those open,
    /// those whose upstreams all rest soon after the first rest is over; nobody knows when a failure domain is taken back.
    fn returns_after(&mut self, id: u64, why: &str, now: Millis) -> u64 {
        let pool = self.requests.get(&id).map(|it| it.pool.clone()).unwrap_or_default();
        match why {
            COLD => {
                let soonest = self.available_in(&pool, now).unwrap_or_default();
                self.flows.entry(pool).or_default().book(millis_to_f64(soonest), 1.0, now)
            }
            BACKING_OFF => {
                let soonest = self.available_in(&pool, now).unwrap_or_default();
                soonest.0 + self.rng.random_range(0..RETURNS.0)
            }
            EVACUATED => self.settings.evacuated_retry_after_ms,
            _ => 0,
        }
    }

    /// The next candidate by rank. After a refusal over load it is the one that
    /// is known to carry least: the chat's context is elsewhere in any case.
    fn next_candidate(&mut self, id: u64, now: Millis) -> Option<Arc<str>> {
        // What was ranked before its domain was left, or its upstream said that it leaves or
        // rests, is not sent there.
        let mut candidates = std::mem::take(&mut self.requests.get_mut(&id)?.candidates);
        candidates.retain(|it| !self.is_closed(it, now));
        let request = self.requests.get_mut(&id)?;
        request.candidates = candidates;
        let error = request.tries.last().and_then(|it| it.error);
        let crowded = matches!(error, Some(Kind::OverBound | Kind::QueueFull | Kind::WouldMiss));
        let hinted = request.candidates.last().is_some_and(|it| request.hints.contains(it));
        if !crowded || hinted {
            return request.candidates.pop();
        }
        let load = |name: &Arc<str>| self.upstreams.get(name).map_or(u64::MAX, |it| it.status.load);
        let place =
            (0..request.candidates.len()).min_by_key(|it| load(&request.candidates[*it]))?;
        Some(request.candidates.remove(place))
    }

    /// Sends a request to an upstream: to the life `incarnation` of it, or to any
    /// if that is zero.
    pub(crate) fn send(
        &mut self,
        id: u64,
        name: &Arc<str>,
        incarnation: u64,
        now: Millis,
    ) -> Vec<Effect> {
        if self.begin(id, name, now).is_none() {
            return Vec::new();
        }
        let reading = self.begin_reading(id, name, now);
        let (request, upstream) = (&self.requests[&id], &self.upstreams[name]);
        let attempt = Attempt {
            number: request.attempt_number(),
            upstream: name.clone(),
            address: upstream.host.address.clone(),
            incarnation,
            weight: request.arrival.weight,
            priority: request.priority,
            remaining: now.until(request.deadline),
            timeout: self.timeout(request, now),
            generation: request.generation,
            chat: key(&request.arrival.workspace, &request.arrival.chat),
            is_home: request.hints.is_empty() && request.home.as_ref() == Some(name),
            copy_from: request.tries.last().and_then(|it| it.warm.clone()),
            resume: request.is_answering(),
            new_connection: request.tries.iter().any(|it| it.is_silent),
        };
        let mut effects = vec![Effect::Send(attempt)];
        effects.extend(reading);
        effects
    }

    /// Takes down a new attempt, and its load at the upstream; `None` if the
    /// request or the upstream is gone.
    fn begin(&mut self, id: u64, name: &Arc<str>, now: Millis) -> Option<()> {
        let forecast = self.forecast_for(id, name, now);
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(name)?;
        if !request.is_answering() {
            request.phase = Phase::Sent;
        }
        let load = upstream.estimated_load(&Estimate { now, ..request.estimate });
        upstream.add_request(request.arrival.weight);
        upstream.cold_start.record_sent(now);
        let mechanisms = self.settings.mechanisms;
        let first = request.tries.is_empty();
        let need = Need::new(&self.prefix_index, &self.upstreams, request, name, mechanisms);
        request.tries.push(Try {
            upstream: name.clone(),
            sent: now,
            last_received: now,
            load,
            queued: forecast.queued,
            wait_ms: forecast.wait_ms.round(),
            copied: need.copied,
            read: need.read,
            warm: need.source,
            error: None,
            is_waiting: true,
            is_silent: false,
            recorded_outcome: None,
            is_released: false,
        });
        if first {
            self.note_sent(id, now);
        }
        Some(())
    }

    /// How long the upstream of an attempt may say nothing.
    fn timeout(&self, request: &Request, now: Millis) -> Millis {
        if self.settings.path.monitors_upstreams() {
            return request.silence_timeout();
        }
        Millis(self.settings.admit_ms).min(now.until(request.deadline))
    }
}
