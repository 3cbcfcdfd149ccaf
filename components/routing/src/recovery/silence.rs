//! Detection of silent upstreams that are reached directly.
//!
//! A connection may stay open although its host has failed or an answer was lost. An upstream
//! becomes suspect only if nothing has arrived from it, for any request, within the timeout.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;

use crate::Effect;
use crate::requests::request::Request;
use crate::state::State;
use crate::upstreams::upstream::FAILURES_BEFORE_PROBE;

/// Silence timeout of a request as a percentage of its objective: the request is late by then.
/// Callers give up a stream after four times its objective. At about one objective, engines that
/// are prefilling prompts would count as silent.
const SILENCE_TIMEOUT_PERCENT: u64 = 200;

/// Minimum silence timeout, in milliseconds.
const MIN_SILENCE_TIMEOUT_MS: u64 = 200;

/// Maximum silence timeout, in milliseconds; also the timeout of requests without an objective.
const MAX_SILENCE_TIMEOUT_MS: u64 = 2_400;

impl Request {
    /// How long to wait for data before the request is tried at another upstream.
    pub(crate) fn silence_timeout(&self) -> Millis {
        let timeout = self.objective_ms.map(|objective| objective * SILENCE_TIMEOUT_PERCENT / 100);
        Millis(
            timeout
                .unwrap_or(MAX_SILENCE_TIMEOUT_MS)
                .clamp(MIN_SILENCE_TIMEOUT_MS, MAX_SILENCE_TIMEOUT_MS),
        )
    }

    /// The time since data was last received for the current attempt.
    pub(crate) fn idle_time(&self, now: Millis) -> Millis {
        self.tries.last().map_or(Millis::ZERO, |attempt| attempt.last_received.until(now))
    }
}

impl State {
    /// Records that data was received from the upstream of a request.
    pub(crate) fn record_activity(&mut self, id: u64, now: Millis) {
        let Some(last) = self.requests.get_mut(&id).and_then(|request| request.tries.last_mut())
        else {
            return;
        };
        last.last_received = now;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.last_activity = Some(now);
        }
    }

    /// Handles a request whose upstream may be silent: retries at another upstream if a retry is
    /// safe and within the budget, and otherwise keeps waiting. An upstream that is silent for all
    /// requests becomes suspect.
    pub(crate) fn handle_silence(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        // What has arrived may not have been read yet.
        let lateness = self.own_lateness(now);
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let (timeout, is_answering) =
            (request.silence_timeout() + lateness, request.is_answering());
        if request.idle_time(now) < timeout {
            return Vec::new();
        }
        let Some(last) = request.tries.last_mut() else {
            return Vec::new();
        };
        let upstream = last.upstream.clone();
        let first = !std::mem::replace(&mut last.is_silent, true);
        let close_idle = self.close_idle_effect(&upstream).filter(|_| first);
        if first {
            self.record_interrupted(id, now);
        }
        self.record_outcome(id, false, now);
        if self.is_upstream_silent(&upstream, timeout, now) {
            self.require_probe(&upstream, now);
        }
        let kind = if is_answering { Kind::Truncated } else { Kind::Silent };
        if !self.acquire_retry(id, kind, now) {
            return close_idle.into_iter().collect();
        }
        self.record_failure(id, kind);
        let mut effects = vec![Effect::Cancel];
        effects.extend(close_idle);
        effects.extend(self.send_next(id, now));
        effects
    }

    /// The effect that closes the idle connections to an upstream, as retries would fail on each
    /// in turn.
    fn close_idle_effect(&self, upstream: &Arc<str>) -> Option<Effect> {
        let address = self.upstreams.get(upstream)?.host.address.clone();
        Some(Effect::CloseIdle { address })
    }

    /// Records the outcome of a request's current attempt, which counts once: a failure replaces a
    /// success, and after a failure nothing changes.
    pub(crate) fn record_outcome(&mut self, id: u64, success: bool, now: Millis) {
        let Some(last) = self.requests.get_mut(&id).and_then(|request| request.tries.last_mut())
        else {
            return;
        };
        let before = last.recorded_outcome;
        if before.is_some_and(|(recorded, _)| !recorded || success) {
            return;
        }
        last.recorded_outcome = Some((success, now));
        let Some(upstream) = self.upstreams.get_mut(&last.upstream) else { return };
        match before {
            Some((_, recorded_at)) => upstream.health.replace_success(recorded_at, now),
            None => upstream.health.record(success, now),
        }
    }

    /// Marks an upstream as suspect with enough failures that it is probed afterwards.
    fn require_probe(&mut self, upstream: &Arc<str>, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            // `mark_suspect` counts one more failure.
            upstream.failures = upstream.failures.max(FAILURES_BEFORE_PROBE - 1);
        }
        self.mark_suspect(upstream, now);
    }

    /// Whether nothing has been received from an upstream for `timeout`, or ever.
    fn is_upstream_silent(&self, upstream: &Arc<str>, timeout: Millis, now: Millis) -> bool {
        let last_activity =
            self.upstreams.get(upstream).and_then(|upstream| upstream.last_activity);
        last_activity.is_none_or(|at| at.until(now) >= timeout)
    }
}
