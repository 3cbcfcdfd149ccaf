//! Retries: whether a request may be sent again after a failed attempt, and their budgets.

use clock::Millis;
use errors::{Kind, Outcome};

use crate::state::State;
use crate::{Budget, Effect};

impl State {
    /// Handles a failed attempt: sends the request to the next candidate if that is safe and
    /// allowed, or else fails it.
    pub(crate) fn retry(
        &mut self,
        id: u64,
        kind: Kind,
        retry_after_ms: u64,
        now: Millis,
    ) -> Vec<Effect> {
        self.record_failure(id, kind);
        if self.acquire_retry(id, kind, now) {
            return self.send_next(id, now);
        }
        self.fail(id, kind, retry_after_ms, "", now)
    }

    /// Reranks the candidates and returns whether the request may be sent to one of them after
    /// `kind`. If so, the retry is taken from its budget.
    pub(crate) fn acquire_retry(&mut self, id: u64, kind: Kind, now: Millis) -> bool {
        self.rerank(id, now);
        // The time at which an attempt that is sent now leaves this router.
        let leaves_at = now + self.own_lateness(now);
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let row = kind.row();
        let is_safe = match row.outcome {
            _ if request.is_answering() => request.resumable,
            Outcome::NotRun => row.elsewhere,
            Outcome::Unknown => request.repeatable && request.idempotency_key().is_none(),
            Outcome::Ran => request.repeatable && kind == Kind::UpstreamFailed,
        };
        let is_allowed = request.attempt_number() < self.settings.max_attempts
            && request.reached_count() < request.max_attempts
            && request.deadline > leaves_at
            && !request.candidates.is_empty();
        is_safe && is_allowed && self.settings.mechanisms.retries && self.spend_budget(id, kind)
    }

    /// Takes a retry after `kind` from the budget that it counts against, if any. Returns whether
    /// the budget allows it.
    fn spend_budget(&mut self, id: u64, kind: Kind) -> bool {
        match kind {
            // The request has not reached an upstream.
            Kind::Unreachable if !self.settings.path.has_hop_budget() => true,
            _ if !self.settings.path.has_hop_budget() => self.budget(id).spend(),
            // Following a chat to its context is not a retry.
            Kind::Moved => true,
            Kind::OverBound | Kind::QueueFull | Kind::WouldMiss | Kind::Leaving => {
                self.hop_budget.spend()
            }
            _ => self.budget(id).spend(),
        }
    }

    /// Records why the current attempt failed, and releases its load and permit.
    pub(crate) fn record_failure(&mut self, id: u64, kind: Kind) {
        self.release_load(id);
        self.release_permit(id, Some(kind));
        let last = self.requests.get_mut(&id).and_then(|request| request.tries.last_mut());
        if let Some(last) = last {
            last.error = Some(kind);
        }
    }

    /// The retry budget of a request's pool.
    pub(crate) fn budget(&mut self, id: u64) -> &mut Budget {
        let pool = self.requests.get(&id).map(|request| request.pool.clone()).unwrap_or_default();
        let (ratio, burst) = (self.settings.retry_share, self.burst());
        self.retry_budgets.entry(pool).or_insert_with(|| Budget::new(ratio, burst))
    }

    /// Sets the number of routers among which the fixed part of the retry budget is divided.
    pub(crate) fn set_router_count(&mut self, count: usize) -> Vec<Effect> {
        self.router_count = count.max(1);
        self.update_budgets();
        Vec::new()
    }

    /// Applies the current settings to the existing budgets; their balances stay.
    pub(crate) fn update_budgets(&mut self) {
        let (ratio, burst) = (self.settings.retry_share, self.burst());
        for budget in self.retry_budgets.values_mut() {
            budget.set_limits(ratio, burst);
        }
    }

    /// This router's share of the fixed retry budget.
    #[expect(clippy::cast_precision_loss, reason = "fleets are small beside 2^53")]
    pub(crate) fn burst(&self) -> f64 {
        self.settings.retry_burst / self.router_count as f64
    }
}
