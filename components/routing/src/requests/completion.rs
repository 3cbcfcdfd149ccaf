//! How requests end: rejected, failed, cancelled or completed.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};

use crate::requests::request::Phase;
use crate::state::State;
use crate::{Arrival, Decision, Effect};

impl State {
    /// Rejects a request on arrival.
    pub(crate) fn reject(
        &self,
        arrival: &Arrival,
        kind: Kind,
        detail: &str,
        now: Millis,
    ) -> Vec<Effect> {
        let quarantine = self.held_back_for(arrival, now).filter(|_| kind == Kind::HeldBack);
        let after = quarantine.map_or_else(|| self.retry_after_ms(kind, now), |left| left.0);
        let decision = Decision {
            request: arrival.request.clone(),
            workspace: arrival.workspace.clone(),
            kind: arrival.kind.clone(),
            content: arrival.fingerprint,
            model: arrival.model.clone(),
            continuation: arrival.continuation.clone(),
            binding: None,
            intent: None,
            generation: self.generation(),
            proof_ms: self.confirmation_age_ms(now),
            status: None,
            came: now,
            answered: None,
            pause: Millis::ZERO,
            ended: now,
            shared: arrival.prefixes.last().copied(),
            parts: arrival.parts.clone(),
            passed: Vec::new(),
            tries: Vec::new(),
            pool: "".into(),
            standing: None,
            outcome: Outcome::NotRun,
            error: Some(kind),
            detail: detail.into(),
        };
        let answer = Effect::answer(kind, &arrival.request, after, detail);
        vec![Effect::Fail(answer), Effect::Record(Arc::new(decision))]
    }

    /// Handles a caller that closed its connection. A request that was sent may have run.
    pub(crate) fn cancel(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let may_have_run = request.uncertain_error().is_some();
        let kind = match request.phase {
            Phase::Answering { .. } => Kind::CancelledRunning,
            Phase::Sent | Phase::Admitted => Kind::CancelledSent,
            Phase::Binding | Phase::Postponed | Phase::Claiming | Phase::Locating
                if may_have_run =>
            {
                Kind::CancelledSent
            }
            Phase::Binding | Phase::Postponed | Phase::Claiming | Phase::Locating => {
                Kind::Cancelled
            }
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.close(id, Some(kind), "the caller went away", now));
        effects
    }

    /// Handles a request whose deadline passed.
    pub(crate) fn expire(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match request.phase {
            Phase::Binding | Phase::Postponed | Phase::Claiming | Phase::Locating => {
                Kind::ExpiredWaiting
            }
            Phase::Sent | Phase::Admitted => Kind::Expired,
            Phase::Answering { .. } => Kind::ExpiredRunning,
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// Cancels the current attempt and ends the request with an error.
    pub(crate) fn cancel_and_fail(&mut self, id: u64, kind: Kind, now: Millis) -> Vec<Effect> {
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// Ends the request with an error.
    ///
    /// If an earlier attempt may have run and the last one did not, the answer has the earlier
    /// attempt's error.
    pub(crate) fn fail(
        &mut self,
        id: u64,
        kind: Kind,
        retry_after_ms: u64,
        detail: &str,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match kind.row().outcome {
            Outcome::NotRun => request.uncertain_error().unwrap_or(kind),
            Outcome::Unknown | Outcome::Ran => kind,
        };
        let retry_after_ms = retry_after_ms.max(self.retry_after_ms(kind, now));
        let answer = Effect::answer(kind, &request.arrival.request, retry_after_ms, detail);
        let first =
            if request.is_answering() { Effect::Abort(answer) } else { Effect::Fail(answer) };
        let mut effects = vec![first];
        effects.extend(self.close(id, Some(kind), detail, now));
        effects
    }

    /// Removes the request and records its decision.
    pub(crate) fn close(
        &mut self,
        id: u64,
        error: Option<Kind>,
        detail: &str,
        now: Millis,
    ) -> Vec<Effect> {
        self.release_load(id);
        self.release_permit(id, error);
        let Some(mut request) = self.requests.remove(&id) else {
            return Vec::new();
        };
        if let Some(last) = request.tries.last_mut()
            && last.error.is_none()
        {
            last.error = error;
        }
        if error.is_none() {
            self.record_completion(&request, now);
            self.mark_answered(request.arrival.fingerprint, now);
            if request.is_success() {
                self.mark_parts_answered(&request.arrival.parts, now);
            }
        }
        let shared = request.arrival.prefixes.last().copied();
        let decision = Decision {
            request: request.arrival.request,
            workspace: request.arrival.workspace,
            kind: request.arrival.kind,
            content: request.arrival.fingerprint,
            model: request.arrival.model,
            continuation: request.arrival.continuation,
            binding: request.binding,
            intent: Some(request.intent),
            generation: request.generation,
            proof_ms: request.proof_ms,
            status: request.status,
            came: request.arrived,
            answered: request.answered_at,
            pause: request.longest_gap,
            ended: now,
            shared,
            parts: request.arrival.parts,
            passed: request.exclusions,
            tries: request.tries,
            pool: request.pool,
            standing: request.standing,
            outcome: error.map_or(Outcome::Ran, |kind| kind.row().outcome),
            error,
            detail: detail.into(),
        };
        let mut effects = vec![Effect::Record(Arc::new(decision))];
        effects.extend(self.finish_drain());
        effects
    }

    /// Removes the current attempt from this router's own load at its upstream.
    pub(crate) fn release_load(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(last) = request.tries.last_mut().filter(|last| !last.is_released) else { return };
        last.is_released = true;
        let was_queued = std::mem::replace(&mut last.is_queued, false);
        let weight = request.arrival.weight;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.remove_request(weight);
            if was_queued {
                upstream.remove_waiting(weight);
            }
        }
    }
}
