//! Whether a request goes on after an attempt that failed, and what that costs.

use clock::Millis;
use errors::{Kind, Outcome};

use crate::state::State;
use crate::{Budget, Effect};

impl State {
    /// After an attempt that gave nothing to the caller: the next candidate if
    /// that is safe and allowed, else the final answer.
    pub(crate) fn retry(&mut self, id: u64, kind: Kind, after: u64, now: Millis) -> Vec<Effect> {
        self.record_failure(id, kind);
        if self.acquire_retry(id, kind, now) {
            return self.send_next(id, now);
        }
        self.fail(id, kind, after, "", now)
    }

    /// Whether the request may be sent to another upstream after `kind`; if so,
    /// a retry is taken from the budget.
    pub(crate) fn acquire_retry(&mut self, id: u64, kind: Kind, now: Millis) -> bool {
        self.rerank(id, now);
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let row = kind.row();
        let safe = match row.outcome {
            _ if request.is_answering() => request.resumable,
            Outcome::NotRun => row.elsewhere,
            Outcome::Unknown => request.repeatable && request.idempotency_key().is_none(),
            Outcome::Ran => request.repeatable && kind == Kind::UpstreamFailed,
        };
        let left = request.attempt_number() < self.settings.max_attempts
            && request.reached_count() < request.max_attempts
            && request.deadline > now
            && !request.candidates.is_empty();
        safe && left && self.settings.mechanisms.retries && self.may_go_on(id, kind)
    }

    /// Whether the budget for going on after `kind` has something left.
    fn may_go_on(&mut self, id: u64, kind: Kind) -> bool {
        match kind {
            // Nothing has come to the upstreams yet.
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

    /// Notes why the current attempt failed.
    pub(crate) fn record_failure(&mut self, id: u64, kind: Kind) {
        self.release_load(id);
        self.release_permit(id, Some(kind));
        let last = self.requests.get_mut(&id).and_then(|it| it.tries.last_mut());
        if let Some(last) = last {
            last.error = Some(kind);
        }
    }

    /// The retry budget of a request's pool.
    pub(crate) fn budget(&mut self, id: u64) -> &mut Budget {
        let pool = self.requests.get(&id).map(|it| it.pool.clone()).unwrap_or_default();
        let (share, burst) = (self.settings.retry_share, self.burst());
        self.retry_budgets.entry(pool).or_insert_with(|| Budget::new(share, burst))
    }

    /// The fixed part of the retry budget is divided among the routers.
    pub(crate) fn set_router_count(&mut self, routers: usize) -> Vec<Effect> {
        self.router_count = routers.max(1);
        self.update_budgets();
        Vec::new()
    }

    /// Puts the present settings in force for the budgets there are; nothing is
    /// given back that was spent.
    pub(crate) fn update_budgets(&mut self) {
        let (share, burst) = (self.settings.retry_share, self.burst());
        for budget in self.retry_budgets.values_mut() {
            budget.set_limits(share, burst);
        }
    }

    /// This router's part of the fixed retry budget.
    #[expect(clippy::cast_precision_loss, reason = "fleets are small beside 2^53")]
    pub(crate) fn burst(&self) -> f64 {
        self.settings.retry_burst / self.router_count as f64
    }
}
