//! One upstream as this router sees it: its host entry, load, health and availability.

use std::sync::Arc;

use clock::Millis;
use intents::Labels;
use pace::Pace;
use placement::Pool;
use wire::{Build, Status};

use crate::selection::ranking::POOL_LABEL;
use crate::upstreams::cold::ColdStart;
use crate::upstreams::estimate::{Estimate, to_f64};
use crate::upstreams::health::{Health, Outcomes};
use crate::upstreams::notices::Notice;
use crate::upstreams::trend::Trend;
use crate::{Effect, Host, Settings};

/// Upper bound for the exponent of the backoff after failures.
const MAX_DOUBLINGS: u32 = 16;

/// Consecutive failures after which an upstream gets one request at a time until it answers.
pub(crate) const FAILURES_BEFORE_PROBE: u32 = 2;

/// Smallest copy, in tokens, that is worth the risk of a timeout at a source that has failed. A
/// copy from a source that is gone takes as long as it takes engines to prefill several times this;
/// most sources that have failed are not gone.
const MIN_RISKY_COPY_TOKENS: u64 = 4_000;

/// Exclusion reason: the upstream failed recently.
pub(crate) const SUSPECT: &str = "suspect";

/// Exclusion reason: the upstream fails a larger share of its requests than its pool.
pub(crate) const UNHEALTHY: &str = "fails more than its pool";

/// Exclusion reason: the failure domain of the upstream is evacuated.
pub(crate) const EVACUATED: &str = "evacuated";

/// Exclusion reason: the upstream is cold and this router's quota for it is used up.
pub(crate) const COLD: &str = "cold";

/// Exclusion reason: the upstream has asked this router to back off.
pub(crate) const BACKING_OFF: &str = "asked for rest";

/// Exclusion reason: this router has used its allocation of the upstream's capacity.
pub(crate) const ALLOCATION_USED: &str = "its room is dealt out";

/// Exclusion reason: the request would exceed the load bound.
pub(crate) const OVER_BOUND: &str = "over the load bound";

/// State of an upstream as known to this router. It may be outdated; a sidecar makes the final
/// decision on admission.
///
/// Loads are in the unit of request weights: tokens where sidecars report them, requests where
/// upstreams are reached directly.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub(crate) host: Host,
    pub(crate) labels: Labels,
    pub(crate) incarnation: u64,
    /// Whether no new connection is needed.
    pub(crate) connected: bool,
    pub(crate) status: Status,
    /// Load of this router's own requests. With sidecars it only shows whether there are any.
    pub(crate) own_load: u64,
    /// Load of all other routers, as they report it.
    pub(crate) peer_load: u64,
    /// Load of this router's requests whose answers have not begun.
    pub(crate) own_waiting: u64,
    /// The same of all other routers.
    pub(crate) peer_waiting: u64,
    /// Latest observed load that is not yet reported to other routers: total, waiting and time.
    pub(crate) unreported_load: Option<(u64, u64, Millis)>,
    /// Load of all other routers by the latest observation, and its time.
    observed_load: (u64, Millis),
    /// Part of the observed load whose answers have not begun.
    observed_waiting: u64,
    pub(crate) last_activity: Option<Millis>,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// False after a failed attempt to connect, until the upstream responds.
    pub(crate) reachable: bool,
    pub(crate) suspect_until: Millis,
    /// Outcomes of recent requests.
    pub(crate) health: Health,
    /// Whether its failure domain is evacuated.
    pub(crate) evacuated: bool,
    pub(crate) cold_start: ColdStart,
    /// Notice from its answers: leaving or backing off.
    pub(crate) notice: Notice,
    pub(crate) pace: Pace,
    /// Latest pace, in percent, that is not yet reported to other routers, and its time.
    pub(crate) unreported_pace: Option<(u32, Millis)>,
}

impl Upstream {
    pub(crate) fn new(host: Host, labels: Labels) -> Self {
        Self {
            host,
            labels,
            incarnation: 0,
            connected: false,
            status: Status::default(),
            own_load: 0,
            peer_load: 0,
            own_waiting: 0,
            peer_waiting: 0,
            unreported_load: None,
            observed_load: (0, Millis::ZERO),
            observed_waiting: 0,
            last_activity: None,
            failures: 0,
            reachable: true,
            suspect_until: Millis::ZERO,
            health: Health::default(),
            evacuated: false,
            cold_start: ColdStart::default(),
            notice: Notice::default(),
            pace: Pace::default(),
            unreported_pace: None,
        }
    }

    /// The upstream's name.
    pub fn name(&self) -> &Arc<str> {
        &self.host.name
    }

    /// The upstream's entry in the platform's list.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// The pool that the upstream belongs to; empty if it has none.
    pub(crate) fn pool(&self) -> Arc<str> {
        self.labels.get(POOL_LABEL).cloned().unwrap_or_default()
    }

    /// The software that the upstream runs.
    pub(crate) fn build(&self) -> Build {
        Build { pool: self.pool(), version: self.host.version.clone() }
    }

    /// Whether the upstream runs this software.
    pub(crate) fn runs(&self, build: &Build) -> bool {
        self.host.version == build.version && self.pool() == build.pool
    }

    /// The latest load that the sidecar reported, plus requests sent since.
    pub fn reported_load(&self) -> u64 {
        self.status.load
    }

    /// The incarnation of the sidecar that was last connected; zero before the first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the upstream has been connected and is neither suspect nor leaving.
    pub fn is_up(&self, now: Millis) -> bool {
        self.incarnation > 0 && !self.is_suspect(now) && !self.is_leaving()
    }

    /// Whether the upstream is leaving, by the platform's list, its status or its notice.
    pub fn is_leaving(&self) -> bool {
        self.host.leaving || self.status.leaving || self.notice.is_leaving()
    }

    /// Remaining time for which the upstream has asked this router to send nothing.
    pub fn backoff(&self, now: Millis) -> Millis {
        self.notice.backoff(now)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        self.suspect_until > now
    }

    /// Whether the upstream has failed repeatedly and has a request of this router, its probe.
    fn is_probed(&self) -> bool {
        self.failures >= FAILURES_BEFORE_PROBE && self.own_load > 0
    }

    /// Whether another upstream may copy `tokens` tokens from this one. A copy from a crashed
    /// upstream delays the request by the timeout of the copy.
    pub(crate) fn is_copy_source(&self, tokens: u64) -> bool {
        self.reachable && (self.failures == 0 || tokens >= MIN_RISKY_COPY_TOKENS)
    }

    /// Records the status of a sidecar; ignores that of an earlier incarnation.
    pub(crate) fn record_status(&mut self, status: Status, now: Millis) {
        if status.incarnation < self.incarnation {
            return;
        }
        self.incarnation = status.incarnation;
        self.status = status;
        self.last_activity = Some(now);
        self.mark_responsive();
    }

    /// The load to assume. With sidecars it is the reported load; a router that reaches the
    /// upstream directly adds its own load to that of the other routers.
    pub(crate) fn estimated_load(&self, estimate: &Estimate) -> u64 {
        let (others, observed_at) = self.observed_load;
        if estimate.path.has_sidecars() {
            return self.status.load;
        }
        if estimate.loads_known {
            return self.own_load + self.peer_load;
        }
        self.own_load
            + rounded(estimate.other_load(to_f64(self.own_load), to_f64(others), observed_at))
    }

    /// The time of the latest load observation; zero before the first.
    pub(crate) fn observed_at(&self) -> Millis {
        self.observed_load.1
    }

    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        self.cold_start.is_cold(now)
    }

    /// The load that enters the mean of the pool.
    pub(crate) fn load_for_mean(&self, estimate: &Estimate) -> u64 {
        let (others, observed_at) = self.observed_load;
        if !estimate.path.has_sidecars() && estimate.observations_shared && !estimate.loads_known {
            return self.own_load + rounded(estimate.load_for_mean(to_f64(others), observed_at));
        }
        self.estimated_load(estimate)
    }

    /// Records the change from the latest observation to one of `requests` at `at` in `trend`.
    /// Must be called before [`Self::record_load`].
    pub(crate) fn record_change(&self, requests: u64, at: Millis, now: Millis, trend: &mut Trend) {
        let (before, observed_at) = self.observed_load;
        if observed_at > Millis::ZERO && at > observed_at {
            let after = requests.saturating_sub(self.own_load);
            trend.record(before, after, observed_at.until(at), now);
        }
    }

    /// Records the load that an answer reported at `at`, unless a later one is known. Returns
    /// whether it was recorded.
    pub(crate) fn record_load(&mut self, requests: u64, waiting: u64, at: Millis) -> bool {
        let new = at >= self.observed_load.1;
        if new {
            self.observed_load = (requests.saturating_sub(self.own_load), at);
            self.observed_waiting = waiting.saturating_sub(self.own_waiting);
        }
        new
    }

    /// Whether an answer to this or another router has reported the load.
    pub(crate) fn has_observed_load(&self) -> bool {
        self.observed_load.1 > Millis::ZERO || self.unreported_load.is_some()
    }

    /// The waiting load that a further request queues behind; `None` if only this router's own is
    /// known.
    pub(crate) fn estimated_waiting(&self, estimate: &Estimate) -> Option<u64> {
        let (_, observed_at) = self.observed_load;
        if estimate.loads_known {
            return Some(self.own_waiting + self.peer_waiting);
        }
        let others = rounded(estimate.remaining(to_f64(self.observed_waiting), observed_at));
        (observed_at > Millis::ZERO).then_some(self.own_waiting + others)
    }

    /// Removes the waiting load of a request whose answer has begun or will not come.
    pub(crate) fn remove_waiting(&mut self, weight: u64) {
        self.own_waiting = self.own_waiting.saturating_sub(weight);
    }

    /// Adds the load of a request that is sent.
    pub(crate) fn add_request(&mut self, weight: u64) {
        self.own_load += weight;
        self.own_waiting += weight;
        self.status.load += weight;
        self.status.pool.load += weight;
    }

    /// Removes the load of a request that has ended, but not its waiting load.
    pub(crate) fn remove_request(&mut self, weight: u64) {
        self.own_load = self.own_load.saturating_sub(weight);
    }

    /// Marks the upstream as connected and reachable, and resets its consecutive failures and the
    /// suspicion.
    pub(crate) fn mark_responsive(&mut self) {
        self.connected = true;
        self.failures = 0;
        self.reachable = true;
        self.suspect_until = Millis::ZERO;
    }

    /// Replaces the host entry; a changed address needs a new connection.
    pub(crate) fn update_host(&mut self, host: Host, labels: Labels) {
        if host.address != self.host.address {
            self.connected = false;
        }
        self.host = host;
        self.labels = labels;
    }

    /// The effect that logs the upstream as suspect.
    pub(crate) fn suspect_effect(&self) -> Effect {
        Effect::Suspect {
            upstream: self.host.name.clone(),
            failures: self.failures,
            reachable: self.reachable,
            until: self.suspect_until,
        }
    }

    /// Counts a failure and excludes the upstream for a time between half of the exponential
    /// backoff and all of it, by `jitter` from 0 to 1.
    pub(crate) fn mark_suspect(&mut self, settings: &Settings, jitter: f64, now: Millis) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let base = settings.suspect_ms.saturating_mul(1 << doublings).min(settings.suspect_max_ms);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a backoff is a few seconds"
        )]
        let backoff = (base as f64 * (0.5 + jitter / 2.0)) as u64;
        self.connected = false;
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = now + Millis(backoff);
    }

    /// The reason to exclude the upstream for a request of `weight`, if there is one.
    /// `outcomes` are those of the whole pool, if health is compared.
    pub(crate) fn exclusion(
        &self,
        weight: u64,
        pool: Option<Pool>,
        outcomes: Option<Outcomes>,
        settings: &Settings,
        estimate: &Estimate,
    ) -> Option<&'static str> {
        let now = estimate.now;
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.evacuated {
            return Some(EVACUATED);
        }
        if self.notice.is_backing_off(now) {
            return Some(BACKING_OFF);
        }
        if self.cold_start.is_cold(now)
            && (!estimate.quota_valid || self.cold_start.is_exhausted(now))
        {
            return Some(COLD);
        }
        if self.is_suspect(now) || self.is_probed() {
            return Some(SUSPECT);
        }
        let active = self.last_activity.is_some_and(|at| at.until(now).0 <= settings.fresh_ms);
        let fresh = pool.is_some() || active;
        let pool = pool.unwrap_or(self.status.pool);
        let load = self.estimated_load(estimate);
        let bound = if estimate.loads_known { settings.known_bound } else { settings.bound };
        let over = !bound.admits(load, weight, pool);
        if fresh && over {
            return Some(OVER_BOUND);
        }
        if outcomes.is_some_and(|pool| self.health.outcomes(now).is_worse_than(pool)) {
            return Some(UNHEALTHY);
        }
        None
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are small and not negative"
)]
fn rounded(load: f64) -> u64 {
    load.round() as u64
}
