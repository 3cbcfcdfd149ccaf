//! How a request ends: refused, failed, given up or finished.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};

use crate::requests::request::Phase;
use crate::state::State;
use crate::{Ask, Decision, Effect};

impl State {
    /// Refuses a request on which nothing was decided.
    pub(crate) fn refuse(&self, ask: &Ask, kind: Kind, detail: &str, now: Millis) -> Vec<Effect> {
        let held = self.held_back(ask.content, now).filter(|_| kind == Kind::HeldBack);
        let after = held.map_or_else(|| self.retry_after_ms(kind, now), |left| left.0);
        let decision = Decision {
            request: ask.request.clone(),
            workspace: ask.workspace.clone(),
            kind: ask.kind.clone(),
            content: ask.content,
            model: ask.model.clone(),
            intent: None,
            generation: self.generation(),
            proof_ms: self.proof_ms(now),
            status: None,
            came: now,
            answered: None,
            pause: Millis::ZERO,
            ended: now,
            shared: ask.shared.last().copied(),
            passed: Vec::new(),
            tries: Vec::new(),
            pool: "".into(),
            standing: None,
            outcome: Outcome::NotRun,
            error: Some(kind),
            detail: detail.into(),
        };
        let answer = Effect::answer(kind, &ask.request, after, detail);
        vec![Effect::Fail(answer), Effect::Record(Arc::new(decision))]
    }

    /// The caller has gone away.
    pub(crate) fn quit(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match request.phase {
            Phase::Binding | Phase::Waiting | Phase::Claiming => Kind::Cancelled,
            Phase::Sent | Phase::Admitted => Kind::Expired,
            Phase::Answering { .. } => Kind::ExpiredRunning,
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.close(id, Some(kind), "the caller went away", now));
        effects
    }

    /// The time of a request is over.
    pub(crate) fn expire(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match request.phase {
            Phase::Binding | Phase::Waiting | Phase::Claiming => Kind::ExpiredWaiting,
            Phase::Sent | Phase::Admitted => Kind::Expired,
            Phase::Answering { .. } => Kind::ExpiredRunning,
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// Ends a request and the attempt that is under way.
    pub(crate) fn cut(&mut self, id: u64, kind: Kind, now: Millis) -> Vec<Effect> {
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// Ends the request with an error.
    ///
    /// An earlier attempt that may have run outweighs a later one that did not:
    /// the answer is the earlier one's.
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
            Outcome::NotRun => request.uncertain().unwrap_or(kind),
            Outcome::Unknown | Outcome::Ran => kind,
        };
        let retry_after_ms = retry_after_ms.max(self.retry_after_ms(kind, now));
        let answer = Effect::answer(kind, &request.ask.request, retry_after_ms, detail);
        let first = if request.is_answering() { Effect::Cut(answer) } else { Effect::Fail(answer) };
        let mut effects = vec![first];
        effects.extend(self.close(id, Some(kind), detail, now));
        effects
    }

    /// Takes the request out and records its decision.
    pub(crate) fn close(
        &mut self,
        id: u64,
        error: Option<Kind>,
        detail: &str,
        now: Millis,
    ) -> Vec<Effect> {
        self.release(id);
        self.give_back(id, error);
        let Some(mut request) = self.requests.remove(&id) else {
            return Vec::new();
        };
        if let Some(last) = request.tries.last_mut()
            && last.error.is_none()
        {
            last.error = error;
        }
        if error.is_none() {
            self.note_end(&request, now);
            self.note_whole(request.ask.content, now);
            self.durations.note(&request.ask.kind, request.came, now);
        }
        let shared = request.ask.shared.last().copied();
        let decision = Decision {
            request: request.ask.request,
            workspace: request.ask.workspace,
            kind: request.ask.kind,
            content: request.ask.content,
            model: request.ask.model,
            intent: Some(request.intent),
            generation: request.generation,
            proof_ms: request.proof_ms,
            status: request.status,
            came: request.came,
            answered: request.answered,
            pause: request.pause,
            ended: now,
            shared,
            passed: request.passed,
            tries: request.tries,
            pool: request.pool,
            standing: request.standing,
            outcome: error.map_or(Outcome::Ran, |kind| kind.row().outcome),
            error,
            detail: detail.into(),
        };
        let mut effects = vec![Effect::Record(Arc::new(decision))];
        effects.extend(self.drained());
        effects
    }

    /// The current attempt is over: its load is no longer at its upstream. A
    /// sidecar tells its load itself.
    pub(crate) fn release(&mut self, id: u64) {
        if self.settings.path.has_sidecars() {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(last) = request.tries.last_mut().filter(|it| !it.over) else { return };
        last.over = true;
        let waits = std::mem::replace(&mut last.waits, false);
        let weight = request.ask.weight;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.release(weight);
            if waits {
                upstream.begin_answer(weight);
            }
        }
    }
}
