//! Slow start of upstreams: a cold upstream may be sent only a limited number of requests.
//!
//! The limit holds over all routers together, also while they can't reach each other. It is
//! divided into quotas of whole requests per window; a router whose quota is used up sends the
//! request to another upstream or refuses it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use intents::Plan;
use placement::{key, score};

use crate::Settings;
use crate::state::State;
use crate::upstreams::upstream::Upstream;

/// Sliding window in which requests to a cold upstream are counted: one second and a margin
/// for the time that connections take to open.
const WINDOW: Millis = Millis(1_150);

/// Share of the limit that is divided into quotas; the rest is a margin for delayed requests.
const ALLOCATED_RATIO: f64 = 0.9;

/// How long after its first list of routers this router uses no quota, until all others have
/// counted it: two polls of the store and a margin.
const SETTLE_DELAY: Millis = Millis(3_500);

/// Maximum age of the latest poll of the store at which the quota is valid: later this router
/// may not know of routers that have started.
const MAX_POLL_AGE: Millis = Millis(2_500);

/// How long a router is still counted after its announcement has disappeared: it may be draining,
/// or its announcement may have expired in an outage of the store.
const DEPARTED_RETENTION: Millis = Millis(10_000);

/// The routers that share the limits of cold upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    /// The name of this router.
    own: Arc<str>,
    announced: BTreeSet<Arc<str>>,
    /// Routers whose announcements have disappeared, and when.
    departed: Vec<(Arc<str>, Millis)>,
    /// When this router first received a list of routers.
    listed_since: Option<Millis>,
}

impl Members {
    /// Replaces the set of announced routers.
    fn update(&mut self, own: Arc<str>, announced: BTreeSet<Arc<str>>, now: Millis) {
        let departed = self.announced.difference(&announced).map(|name| (name.clone(), now));
        self.departed.extend(departed);
        self.departed
            .retain(|(name, at)| at.until(now) < DEPARTED_RETENTION && !announced.contains(name));
        self.own = own;
        self.announced = announced;
        self.listed_since.get_or_insert(now);
    }

    /// Whether enough time has passed for the other routers to count this one.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        self.listed_since.is_some_and(|at| at.until(now) >= SETTLE_DELAY)
    }

    /// A hash of this router's name, for its share of free capacity; `None` until it is known.
    pub(crate) fn router_key(&self) -> Option<u64> {
        (!self.own.is_empty()).then(|| key("seat", &self.own))
    }

    /// This router's share of `limit` requests to `upstream`. The remainder of the division goes
    /// to the routers that rank first for the upstream.
    fn share_of(&self, upstream: &str, limit: u32, now: Millis) -> u32 {
        let departed = self.departed.iter().filter(|(_, at)| at.until(now) < DEPARTED_RETENTION);
        let others = self.announced.iter().chain(departed.map(|(name, _)| name));
        let upstream_key = key("cold", upstream);
        let own = score(upstream_key, &self.own, 1.0);
        let (count, rank) = others.filter(|name| **name != self.own).fold((1, 0), |sums, name| {
            let before = score(upstream_key, name, 1.0) > own;
            (sums.0 + 1, sums.1 + u32::from(before))
        });
        limit / count + u32::from(rank < limit % count)
    }
}

/// Slow-start state of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdStart {
    /// When the upstream stops being cold.
    until: Millis,
    /// How many requests this router may send per window.
    quota: u32,
    /// When this router sent its latest requests, the oldest first.
    sent: VecDeque<Millis>,
}

impl ColdStart {
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        self.until > now
    }

    /// Extends the cold time to `until`, if that is later.
    fn extend(&mut self, until: Millis) {
        self.until = self.until.max(until);
    }

    /// Whether the upstream is cold and this router's quota is used up.
    pub(crate) fn is_exhausted(&self, now: Millis) -> bool {
        let sent = self.sent.iter().filter(|at| at.until(now) < WINDOW).count();
        self.is_cold(now) && sent >= self.quota as usize
    }

    /// How many requests of the latest window were sent after `start`.
    pub(crate) fn sent_since(&self, start: Millis) -> u64 {
        self.sent.iter().rev().take_while(|at| **at > start).count() as u64
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| at.until(now) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// The time until this router may send a request.
    fn available_in(&self, now: Millis) -> Millis {
        let warm = now.until(self.until);
        let quota = self.quota as usize;
        let oldest = self.sent.len().checked_sub(quota).and_then(|index| self.sent.get(index));
        match oldest {
            Some(sent) if quota > 0 => now.until(*sent + WINDOW).min(warm),
            None if quota > 0 => Millis::ZERO,
            _ => warm,
        }
    }
}

impl State {
    /// Replaces the set of announced routers; `own` is the name of this one.
    pub(crate) fn update_members(
        &mut self,
        own: Arc<str>,
        announced: BTreeSet<Arc<str>>,
        now: Millis,
    ) {
        self.members.update(own, announced, now);
        self.allocate_quotas(now);
    }

    /// Extends the cold time of an upstream to at least `remaining`. Before the first
    /// configuration, which allocates the quota, the upstream has none.
    pub(crate) fn mark_cold(&mut self, upstream: &str, remaining: Millis, now: Millis) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        upstream.cold_start.extend(now + remaining);
        if let Some(plan) = &self.plan {
            upstream.cold_start.quota = quota(upstream, plan, &self.settings, &self.members, now);
        }
    }

    /// Marks the upstreams of restored failure domains as cold for at least the cold time of their
    /// pools.
    pub(crate) fn mark_domains_cold(&mut self, domains: &BTreeSet<Arc<str>>, now: Millis) {
        let Some(plan) = self.plan.clone() else { return };
        for upstream in
            self.upstreams.values_mut().filter(|upstream| domains.contains(&upstream.host.domain))
        {
            let duration =
                plan.pool(&upstream.pool()).map_or(Millis::ZERO, |pool| Millis(pool.cold_ms));
            upstream.cold_start.extend(now + duration);
        }
        self.allocate_quotas(now);
    }

    /// Recomputes this router's quotas for all cold upstreams.
    pub(crate) fn allocate_quotas(&mut self, now: Millis) {
        let Some(plan) = self.plan.clone() else { return };
        for upstream in
            self.upstreams.values_mut().filter(|upstream| upstream.cold_start.is_cold(now))
        {
            upstream.cold_start.quota = quota(upstream, &plan, &self.settings, &self.members, now);
        }
    }

    /// Whether this router may use its quotas: all routers should by now count each other.
    pub(crate) fn has_valid_quota(&self, now: Millis) -> bool {
        let polled = self.confirmed_at.is_some_and(|at| at.until(now) <= MAX_POLL_AGE);
        polled && self.members.is_settled(now)
    }

    /// The time until the first cold or backing-off upstream of a pool takes a request of this
    /// router; `None` if there is no such upstream.
    pub(crate) fn pool_available_in(&self, pool: &str, now: Millis) -> Option<Millis> {
        let is_pending = |upstream: &&Upstream| {
            let later = upstream.cold_start.is_cold(now) || upstream.notice.is_backing_off(now);
            later && !upstream.is_leaving() && !upstream.evacuated && &*upstream.pool() == pool
        };
        let available_in = |upstream: &Upstream| {
            upstream.cold_start.available_in(now).max(upstream.notice.backoff(now))
        };
        self.upstreams.values().filter(is_pending).map(available_in).min()
    }
}

/// This router's quota for a cold upstream, in requests per window; unlimited where the pool
/// has no limit.
fn quota(
    upstream: &Upstream,
    plan: &Plan,
    settings: &Settings,
    members: &Members,
    now: Millis,
) -> u32 {
    let limit = pool_limit(upstream, plan, settings);
    limit.map_or(u32::MAX, |limit| members.share_of(&upstream.host.name, limit, now))
}

/// How many requests per window all routers together may send to a cold upstream; `None` where
/// its pool has no limit. The limit of one second holds for the whole window, whose excess is a
/// margin.
fn pool_limit(upstream: &Upstream, plan: &Plan, settings: &Settings) -> Option<u32> {
    let pool = plan.pool(&upstream.pool()).filter(|pool| pool.cold_per_s > 0.0)?;
    let limit = (pool.cold_per_s * settings.cold_multiple + settings.cold_extra) * ALLOCATED_RATIO;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small, positive")]
    Some(limit.max(0.0) as u32)
}
