//! Sends attempts to upstreams.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use placement::key;
use rand::Rng;
use streams::MAX_STREAM_AGE;

use crate::requests::request::{Phase, Request};
use crate::selection::prefill::Prefill;
use crate::state::State;
use crate::upstreams::estimate::{Estimate, millis_to_f64};
use crate::upstreams::upstream::{BACKING_OFF, COLD, EVACUATED, OVER_BOUND};
use crate::{Attempt, Effect, Part, Try};

/// Detail of a refusal because this router is late itself.
const BEHIND: &str = "this router is late";

/// Upper bound of the random addition to a retry delay after a backoff. Spreads the callers that
/// return when a backoff ends.
const RETRY_SPREAD: Millis = Millis(500);

impl State {
    /// Sends the request to the next candidate, or fails it.
    pub(crate) fn send_next(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        // The work may have been quarantined since the last attempt.
        let arrival = self.requests.get(&id).map(|request| &request.arrival);
        if let Some(left) = arrival.and_then(|arrival| self.held_back_for(arrival, now)) {
            return self.fail(id, Kind::HeldBack, left.0, "", now);
        }
        let Some(upstream) = self.next_candidate(id, now) else {
            let exclusion = self.requests.get(&id).and_then(|request| request.exclusions.first());
            let detail = exclusion.map_or("", |exclusion| exclusion.why);
            let kind = if detail == OVER_BOUND { Kind::OverBound } else { Kind::NoUpstream };
            let after = self.retry_delay_ms(id, detail, now);
            return self.fail(id, kind, after, detail, now);
        };
        if let Some(after) = self.reject_if_behind(id, now) {
            return self.fail(id, Kind::WouldMiss, after, BEHIND, now);
        }
        if let Some(claim) = self.claim(id, &upstream, now) {
            return vec![claim];
        }
        if self.should_postpone(id, &upstream, now) {
            return self.postpone(id);
        }
        if let Some(after) = self.reject_late(id, &upstream, now) {
            return self.fail(id, Kind::WouldMiss, after, "", now);
        }
        self.send(id, &upstream, 0, now)
    }

    /// Retry delay for a request without an open upstream, in milliseconds: the longest if its
    /// stream can't go on, otherwise by the reason `why` of the first exclusion: until a cold upstream has quota, until a backoff ends, or a fixed time
    /// for evacuated domains.
    fn retry_delay_ms(&mut self, id: u64, why: &str, now: Millis) -> u64 {
        if self.is_build_gone(id) {
            return MAX_STREAM_AGE.0;
        }
        let pool = self.requests.get(&id).map(|request| request.pool.clone()).unwrap_or_default();
        match why {
            COLD => {
                let earliest = self.pool_available_in(&pool, now).unwrap_or_default();
                self.flows.entry(pool).or_default().book(millis_to_f64(earliest), 1.0, now)
            }
            BACKING_OFF => {
                let earliest = self.pool_available_in(&pool, now).unwrap_or_default();
                earliest.0 + self.rng.random_range(0..RETRY_SPREAD.0)
            }
            EVACUATED => self.settings.evacuated_retry_after_ms,
            _ => 0,
        }
    }

    /// Takes the next candidate by rank. After a refusal for load, takes the least loaded one
    /// instead, unless the next one is known to have the chat's context.
    fn next_candidate(&mut self, id: u64, now: Millis) -> Option<Arc<str>> {
        // Candidates may have been closed since they were ranked.
        let mut candidates = std::mem::take(&mut self.requests.get_mut(&id)?.candidates);
        candidates.retain(|candidate| !self.is_closed(candidate, now));
        let request = self.requests.get_mut(&id)?;
        request.candidates = candidates;
        let error = request.tries.last().and_then(|attempt| attempt.error);
        let refused_for_load =
            matches!(error, Some(Kind::OverBound | Kind::QueueFull | Kind::WouldMiss));
        let hinted = request.candidates.last().is_some_and(|name| request.hints.contains(name));
        if !refused_for_load || hinted {
            return request.candidates.pop();
        }
        let load = |name: &Arc<str>| {
            self.upstreams.get(name).map_or(u64::MAX, |upstream| upstream.status.load)
        };
        let index =
            (0..request.candidates.len()).min_by_key(|index| load(&request.candidates[*index]))?;
        Some(request.candidates.remove(index))
    }

    /// Sends the request to the given incarnation of an upstream; zero allows any.
    pub(crate) fn send(
        &mut self,
        id: u64,
        name: &Arc<str>,
        incarnation: u64,
        now: Millis,
    ) -> Vec<Effect> {
        if self.record_attempt(id, name, now).is_none() {
            return Vec::new();
        }
        let prefill_effect = self.begin_prefill(id, name, now);
        let (request, upstream) = (&self.requests[&id], &self.upstreams[name]);
        let attempt = Attempt {
            number: request.attempt_number(),
            upstream: name.clone(),
            address: upstream.host.address.clone(),
            incarnation,
            weight: request.arrival.weight,
            priority: request.priority,
            remaining: now.until(request.deadline),
            timeout: self.attempt_timeout(request, now),
            generation: request.generation,
            chat: key(&request.arrival.workspace, &request.arrival.chat),
            is_home: request.hints.is_empty() && request.home.as_ref() == Some(name),
            copy_from: request.tries.last().and_then(|attempt| attempt.warm.clone()),
            resume: request.is_answering(),
            new_connection: request.tries.iter().any(|attempt| attempt.is_silent),
        };
        let mut effects = vec![Effect::Send(attempt)];
        effects.extend(prefill_effect);
        effects
    }

    /// Records a new attempt and its load at the upstream; `None` if the request or the upstream is
    /// gone.
    fn record_attempt(&mut self, id: u64, name: &Arc<str>, now: Millis) -> Option<()> {
        let forecast = self.forecast_for(id, name, now);
        let request = self.requests.get_mut(&id)?;
        let upstream = self.upstreams.get_mut(name)?;
        if !request.is_answering() {
            request.phase = Phase::Sent;
        }
        let version = upstream.host.version.clone();
        let load = upstream.estimated_load(&Estimate { now, ..request.estimate });
        upstream.add_request(request.arrival.weight);
        upstream.cold_start.record_sent(now);
        let mechanisms = self.settings.mechanisms;
        let first = request.tries.is_empty();
        let prefill = Prefill::new(&self.prefix_index, &self.upstreams, request, name, mechanisms);
        request.tries.push(Try {
            upstream: name.clone(),
            version,
            part: if request.is_answering() { Part::Rest } else { Part::Whole },
            sent: now,
            last_received: now,
            load,
            queued: forecast.queued,
            wait_ms: forecast.wait_ms.round(),
            copied: prefill.copied,
            read: prefill.read,
            warm: prefill.source,
            error: None,
            is_queued: true,
            began: None,
            is_silent: false,
            recorded_outcome: None,
            is_released: false,
        });
        if first {
            self.record_first_send(id, now);
        }
        Some(())
    }

    /// Time within which a sidecar must admit or refuse the request; without sidecars, the silence
    /// timeout.
    fn attempt_timeout(&self, request: &Request, now: Millis) -> Millis {
        if self.settings.path.monitors_upstreams() {
            return request.silence_timeout();
        }
        Millis(self.settings.admit_ms).min(now.until(request.deadline))
    }
}
