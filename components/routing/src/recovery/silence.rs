//! Upstreams that say nothing, where they are reached directly.
//!
//! A connection to a host that has gone dark stays open, and so does one whose
//! answer was lost. What tells the two apart is whether anything comes from the
//! upstream at all.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;

use crate::Effect;
use crate::beliefs::upstream::FAILURES_BEFORE_PROBE;
use crate::requests::request::Request;
use crate::state::State;

/// How much of its objective, in hundredths, a request waits while nothing comes.
/// It is late by then; callers of the sites give a stream up after four times the
/// objective. At 87 to 140 engines were called silent that were reading prompts.
const PATIENCE_HUNDREDTHS: u64 = 200;

/// The least of it, in milliseconds: the longest work of the sites' plain services
/// is 110 ms.
const LEAST: u64 = 200;

/// The most of it, in milliseconds, and what counts where there is no objective.
const MOST: u64 = 2_400;

impl Request {
    /// How long nothing may come before the request is tried elsewhere.
    pub(crate) fn silence_timeout(&self) -> Millis {
        let patience = self.objective_ms.map(|it| it * PATIENCE_HUNDREDTHS / 100);
        Millis(patience.unwrap_or(MOST).clamp(LEAST, MOST))
    }

    /// How long nothing has come for the current attempt.
    fn quiet(&self, now: Millis) -> Millis {
        self.tries.last().map_or(Millis::ZERO, |it| it.last_received.until(now))
    }
}

impl State {
    /// Something came from the upstream of a request.
    pub(crate) fn record_activity(&mut self, id: u64, now: Millis) {
        let Some(last) = self.requests.get_mut(&id).and_then(|it| it.tries.last_mut()) else {
            return;
        };
        last.last_received = now;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.last_activity = Some(now);
        }
    }

    /// Nothing has come for a request for a while. It is tried elsewhere if that is
    /// safe, and waits on if not; an upstream that says nothing to anybody is left
    /// alone.
    pub(crate) fn check_silence(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let (silence, answers) = (request.silence_timeout(), request.is_answering());
        if request.quiet(now) < silence {
            return Vec::new();
        }
        let Some(last) = request.tries.last_mut() else {
            return Vec::new();
        };
        let upstream = last.upstream.clone();
        let first = !std::mem::replace(&mut last.is_silent, true);
        let forget = self.forget(&upstream).filter(|_| first);
        if first {
            self.record_interrupted(id, now);
        }
        self.record_outcome(id, false, now);
        if self.is_silent(&upstream, silence, now) {
            self.put_on_trial(&upstream, now);
        }
        let kind = if answers { Kind::Truncated } else { Kind::Silent };
        if !self.acquire_retry(id, kind, now) {
            return forget.into_iter().collect();
        }
        self.record_failure(id, kind);
        let mut effects = vec![Effect::Cancel];
        effects.extend(forget);
        effects.extend(self.send_next(id, now));
        effects
    }

    /// Closes the kept connections to an upstream: they may have fallen silent too, while
    /// new ones work. Without it requests that may be repeated fail at one such connection
    /// after the other.
    fn forget(&self, upstream: &Arc<str>) -> Option<Effect> {
        let address = self.upstreams.get(upstream)?.host.address.clone();
        Some(Effect::CloseIdle { address })
    }

    /// Takes how the current attempt of a request goes, once for each attempt, and once more
    /// if it began well and then failed.
    pub(crate) fn record_outcome(&mut self, id: u64, good: bool, now: Millis) {
        let Some(last) = self.requests.get_mut(&id).and_then(|it| it.tries.last_mut()) else {
            return;
        };
        let before = last.recorded_outcome.replace(good);
        if before.is_some_and(|it| !it || good) {
            last.recorded_outcome = before;
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.health.record(good, now);
        }
    }

    /// Leaves an upstream alone for a while, and then gives it one request at a time
    /// until it answers.
    fn put_on_trial(&mut self, upstream: &Arc<str>, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.failures = upstream.failures.max(FAILURES_BEFORE_PROBE - 1);
        }
        self.mark_suspect(upstream, now);
    }

    /// Whether nothing at all has come from an upstream for `silence`.
    fn is_silent(&self, upstream: &Arc<str>, silence: Millis, now: Millis) -> bool {
        let heard = self.upstreams.get(upstream).and_then(|it| it.last_activity);
        heard.is_none_or(|at| at.until(now) >= silence)
    }
}
