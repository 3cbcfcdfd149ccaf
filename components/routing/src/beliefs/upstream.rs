//! What a router believes about one upstream.

use std::sync::Arc;

use clock::Millis;
use intents::Labels;
use pace::Pace;
use placement::Pool;
use wire::Status;

use crate::beliefs::cold::ColdStart;
use crate::beliefs::health::{Health, Outcomes};
use crate::beliefs::outlook::{Estimate, to_f64};
use crate::beliefs::word::Notice;
use crate::selection::ranking::POOL_LABEL;
use crate::{Effect, Host, Settings};

/// The most doublings of the time that a failing upstream is left alone.
const MAX_DOUBLINGS: u32 = 16;

/// After how many failures in a row an upstream gets one request at a time until
/// it answers. One broken connection says little.
pub(crate) const FAILURES_BEFORE_PROBE: u32 = 2;

/// From how many tokens a copy is worth asking for where the source has failed. A
/// copy from one that is gone takes 300 ms, in which engines read 14,000 to 33,000
/// tokens; most that have failed are not gone.
const WORTH_A_DOUBT: u64 = 4_000;

/// Why an upstream is passed over that failed lately.
pub(crate) const SUSPECT: &str = "suspect";

/// Why an upstream is passed over that fails more of its requests than its pool.
pub(crate) const UNHEALTHY: &str = "fails more than its pool";

/// Why an upstream is passed over whose failure domain is to take nothing.
pub(crate) const EVACUATED: &str = "evacuated";

/// Why an upstream is passed over that is cold and takes no more of this router for now.
pub(crate) const COLD: &str = "cold";

/// Why an upstream is passed over that has asked this router for rest.
pub(crate) const BACKING_OFF: &str = "asked for rest";

/// Why an upstream is passed over whose room is left to other routers for now.
pub(crate) const ALLOCATION_USED: &str = "its room is dealt out";

/// Why an upstream is passed over whose bound leaves no room.
pub(crate) const OVER_BOUND: &str = "over the load bound";

/// A router's view of an upstream; it may be wrong, and the sidecar has the
/// last word.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub(crate) host: Host,
    pub(crate) labels: Labels,
    pub(crate) incarnation: u64,
    /// Whether the last that was heard of the connection is good.
    pub(crate) connected: bool,
    pub(crate) status: Status,
    /// This router's own load there, where it is reached directly.
    pub(crate) own_load: u64,
    /// The load of all other routers there, as they tell themselves.
    pub(crate) peer_load: u64,
    /// The part of both whose answers have not begun.
    pub(crate) own_waiting: u64,
    pub(crate) peer_waiting: u64,
    /// The load that an answer to this router told, the part of it that waits, and when,
    /// until others know.
    pub(crate) unreported_load: Option<(u64, u64, Millis)>,
    /// The load of all other routers there, as an answer told last, and when.
    observed_load: (u64, Millis),
    /// The part of it that waits.
    observed_waiting: u64,
    pub(crate) last_activity: Option<Millis>,
    pub(crate) failures: u32,
    /// Whether the last that was tried of opening a connection succeeded.
    pub(crate) reachable: bool,
    pub(crate) suspect_until: Millis,
    /// How its latest requests ended.
    pub(crate) health: Health,
    /// Whether its failure domain is to take nothing.
    pub(crate) evacuated: bool,
    /// How cold it is.
    pub(crate) cold_start: ColdStart,
    /// What it has said of itself with its answers.
    pub(crate) notice: Notice,
    /// How fast it is.
    pub(crate) pace: Pace,
    /// What it told this router of that, and when, until others know.
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

    /// Its line of the platform's list.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// The pool that it belongs to.
    pub(crate) fn pool(&self) -> Arc<str> {
        self.labels.get(POOL_LABEL).cloned().unwrap_or_default()
    }

    /// The load it last told of, in tokens.
    pub fn load(&self) -> u64 {
        self.status.load
    }

    /// The life of the sidecar last met; zero before the first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether it was met and is not being left alone.
    pub fn is_up(&self, now: Millis) -> bool {
        self.incarnation > 0 && !self.is_suspect(now) && !self.is_leaving()
    }

    /// Whether it leaves, by the platform's list or its own word.
    pub fn is_leaving(&self) -> bool {
        self.host.leaving || self.status.leaving || self.notice.is_leaving()
    }

    /// For how much longer it wants nothing of this router.
    pub fn backoff(&self, now: Millis) -> Millis {
        self.notice.backoff(now)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        self.suspect_until > now
    }

    /// Whether it has failed repeatedly and has a request that must show first
    /// whether it is back.
    fn is_probed(&self) -> bool {
        self.failures >= FAILURES_BEFORE_PROBE && self.own_load > 0
    }

    /// Whether another upstream may copy `tokens` from here. One that has failed may
    /// be gone, and then the copy holds the request up: of 540 requests in the second
    /// after a crash, 10 to 20 were late for that. Few tokens are read sooner.
    pub(crate) fn is_copy_source(&self, tokens: u64) -> bool {
        self.reachable && (self.failures == 0 || tokens >= WORTH_A_DOUBT)
    }

    /// Takes what a sidecar says of itself; the word of an earlier life than
    /// known is ignored.
    pub(crate) fn record_status(&mut self, status: Status, now: Millis) {
        if status.incarnation < self.incarnation {
            return;
        }
        self.incarnation = status.incarnation;
        self.status = status;
        self.last_activity = Some(now);
        self.mark_connected();
    }

    /// The load to reckon with. A sidecar's word stands until the next one. A
    /// router that reaches the upstream directly counts its own requests.
    pub(crate) fn estimated_load(&self, estimate: &Estimate) -> u64 {
        let (others, told) = self.observed_load;
        if estimate.path.has_sidecars() {
            return self.status.load;
        }
        if estimate.loads_known {
            return self.own_load + self.peer_load;
        }
        self.own_load + whole(estimate.other_load(to_f64(self.own_load), to_f64(others), told))
    }

    /// When an answer last told its load.
    pub(crate) fn observed_at(&self) -> Millis {
        self.observed_load.1
    }

    /// Whether it has just started.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        self.cold_start.is_cold(now)
    }

    /// The load that counts in the mean of its pool.
    pub(crate) fn load_for_mean(&self, estimate: &Estimate) -> u64 {
        let (others, told) = self.observed_load;
        if !estimate.path.has_sidecars() && estimate.observations_shared && !estimate.loads_known {
            return self.own_load + whole(estimate.load_for_mean(to_f64(others), told));
        }
        self.estimated_load(estimate)
    }

    /// Takes the load that an answer told at `at`, unless a later one is known.
    /// Returns whether it was new.
    pub(crate) fn record_load(&mut self, requests: u64, waiting: u64, at: Millis) -> bool {
        let new = at >= self.observed_load.1;
        if new {
            self.observed_load = (requests.saturating_sub(self.own_load), at);
            self.observed_waiting = waiting.saturating_sub(self.own_waiting);
        }
        new
    }

    /// Whether an answer, or a router that got one, has told of its load.
    pub(crate) fn has_observed_load(&self) -> bool {
        self.observed_load.1 > Millis::ZERO || self.unreported_load.is_some()
    }

    /// The requests there whose answers have not begun: what a further one waits for. None
    /// where neither the other routers nor answers tell of theirs: a router's own requests
    /// say little then, and calls to plain services were refused by them that had room.
    pub(crate) fn estimated_waiting(&self, estimate: &Estimate) -> Option<u64> {
        let (_, told) = self.observed_load;
        if estimate.loads_known {
            return Some(self.own_waiting + self.peer_waiting);
        }
        let others = whole(estimate.remaining(to_f64(self.observed_waiting), told));
        (told > Millis::ZERO).then_some(self.own_waiting + others)
    }

    /// The answer of a request there has begun, or will not.
    pub(crate) fn record_answer_start(&mut self, weight: u64) {
        self.own_waiting = self.own_waiting.saturating_sub(weight);
    }

    /// Counts a request that is sent there.
    pub(crate) fn add_request(&mut self, weight: u64) {
        self.own_load += weight;
        self.own_waiting += weight;
        self.status.load += weight;
        self.status.pool.load += weight;
    }

    /// Counts a request that has ended there.
    pub(crate) fn remove_request(&mut self, weight: u64) {
        self.own_load = self.own_load.saturating_sub(weight);
    }

    /// The connection is good.
    pub(crate) fn mark_connected(&mut self) {
        self.connected = true;
        self.failures = 0;
        self.reachable = true;
        self.suspect_until = Millis::ZERO;
    }

    /// Takes a line of the platform's list; a new address is a new process.
    pub(crate) fn update_host(&mut self, host: Host, labels: Labels) {
        if host.address != self.host.address {
            self.connected = false;
        }
        self.host = host;
        self.labels = labels;
    }

    /// The line for the log once it is left alone.
    pub(crate) fn suspect_effect(&self) -> Effect {
        Effect::Suspect {
            upstream: self.host.name.clone(),
            failures: self.failures,
            reachable: self.reachable,
            until: self.suspect_until,
        }
    }

    pub(crate) fn mark_suspect(&mut self, settings: &Settings, jitter: f64, now: Millis) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let base = settings.suspect_ms.saturating_mul(1 << doublings).min(settings.suspect_max_ms);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a back-off is a few seconds"
        )]
        let pause = (base as f64 * (0.5 + jitter / 2.0)) as u64;
        self.connected = false;
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = now + Millis(pause);
    }

    /// Why a request of `weight` should not be tried here now, if so. `outcomes` are
    /// those of the pool, where upstreams are compared by them.
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
        let told = self.last_activity.is_some_and(|heard| heard.until(now).0 <= settings.fresh_ms);
        let fresh = pool.is_some() || told;
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
fn whole(load: f64) -> u64 {
    load.round() as u64
}
