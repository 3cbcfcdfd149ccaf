//! Upstreams that have just started: until they are warm they bear few requests, and fall
//! over at more.
//!
//! The load pattern: many engines come back together under load, and all routers find them
//! empty. The limit holds over all routers together, also where they do not hear each other,
//! so it is cut into whole requests beforehand: an upstream's requests of one window are
//! dealt out among the routers by rank for that upstream. A router that has none left sends
//! the request to another upstream, or refuses it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use intents::Plan;
use placement::{key, score};

use crate::Settings;
use crate::beliefs::upstream::Upstream;
use crate::state::State;

/// The span in which the requests to a cold upstream are counted, in milliseconds. The
/// platform counts those that were sent and arrived within one second; the rest is for
/// connections that take longer to open for one request than for the next.
const WINDOW: Millis = Millis(1_150);

/// The share of the limit that is dealt out; the rest is for requests that were held up on
/// their way.
const DEALT: f64 = 0.9;

/// How long a router that has started takes no part. The others count it after the next of
/// their looks at the store, 1.5 s apart, and one more may fail.
const SETTLE: Millis = Millis(3_500);

/// How old the latest look at the store may be at which the part counts. A router that is cut
/// off does not hear that others have come; its announcement lasts for 20 s.
const PROOF: Millis = Millis(2_500);

/// How long a router whose announcement is gone keeps its part: it may serve on for as long as
/// a planned stop takes, and announcements that lapsed in an outage of the store are made
/// again.
const LINGERS: Millis = Millis(10_000);

/// The routers among which the limit of an upstream is dealt out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    /// This router.
    own: Arc<str>,
    /// Those that have announced themselves.
    announced: BTreeSet<Arc<str>>,
    /// Those whose announcements are gone, and since when.
    gone: Vec<(Arc<str>, Millis)>,
    /// When this router first heard of any.
    since: Option<Millis>,
}

impl Members {
    /// Takes the routers that have announced themselves.
    fn update(&mut self, own: Arc<str>, announced: BTreeSet<Arc<str>>, now: Millis) {
        let left = self.announced.difference(&announced).map(|it| (it.clone(), now));
        self.gone.extend(left);
        self.gone.retain(|(name, at)| at.until(now) < LINGERS && !announced.contains(name));
        self.own = own;
        self.announced = announced;
        self.since.get_or_insert(now);
    }

    /// Whether the other routers count this one, as far as time tells.
    pub(crate) fn are_settled(&self, now: Millis) -> bool {
        self.since.is_some_and(|at| at.until(now) >= SETTLE)
    }

    /// What tells this router from the others, once its name is known.
    pub(crate) fn router_key(&self) -> Option<u64> {
        (!self.own.is_empty()).then(|| key("seat", &self.own))
    }

    /// How many of `limit` requests to `upstream` are this router's.
    fn part(&self, upstream: &str, limit: u32, now: Millis) -> u32 {
        let lingering = self.gone.iter().filter(|(_, at)| at.until(now) < LINGERS);
        let others = self.announced.iter().chain(lingering.map(|(name, _)| name));
        let draw = key("cold", upstream);
        let own = score(draw, &self.own, 1.0);
        let (count, before) = others.filter(|it| **it != self.own).fold((1, 0), |at, it| {
            let before = score(draw, it, 1.0) > own;
            (at.0 + 1, at.1 + u32::from(before))
        });
        limit / count + u32::from(before < limit % count)
    }
}

/// How cold an upstream is, and what this router may send there.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdStart {
    /// Until when it is cold.
    until: Millis,
    /// How many requests this router may send in a window.
    part: u32,
    /// When it sent the latest of them.
    sent: VecDeque<Millis>,
}

impl ColdStart {
    /// Whether the upstream is cold.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        self.until > now
    }

    /// Takes that the upstream is cold until `until`, if that is later than known.
    fn lasts(&mut self, until: Millis) {
        self.until = self.until.max(until);
    }

    /// Whether this router may send nothing there now.
    pub(crate) fn is_exhausted(&self, now: Millis) -> bool {
        let sent = self.sent.iter().filter(|it| it.until(now) < WINDOW).count();
        self.is_cold(now) && sent >= self.part as usize
    }

    /// How many requests this router has sent there after `at`, of the latest window.
    pub(crate) fn sent_since(&self, at: Millis) -> u64 {
        self.sent.iter().rev().take_while(|it| **it > at).count() as u64
    }

    /// Notes that a request is sent there.
    pub(crate) fn record_sent(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|it| it.until(now) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// How long it is until this router may send something there.
    fn opens_in(&self, now: Millis) -> Millis {
        let warm = now.until(self.until);
        let part = self.part as usize;
        let oldest = self.sent.len().checked_sub(part).and_then(|it| self.sent.get(it));
        match oldest {
            Some(sent) if part > 0 => now.until(*sent + WINDOW).min(warm),
            None if part > 0 => Millis::ZERO,
            _ => warm,
        }
    }
}

impl State {
    /// Takes the routers that have announced themselves; `own` is this one.
    pub(crate) fn update_members(
        &mut self,
        own: Arc<str>,
        announced: BTreeSet<Arc<str>>,
        now: Millis,
    ) {
        self.members.update(own, announced, now);
        self.allocate_quotas(now);
    }

    /// Takes that an upstream is cold for `left` from now on.
    pub(crate) fn mark_cold(&mut self, upstream: &str, left: Millis, now: Millis) {
        let Some(plan) = self.plan.clone() else { return };
        if let Some(it) = self.upstreams.get_mut(upstream) {
            it.cold_start.lasts(now + left);
            it.cold_start.part = part(it, &plan, &self.settings, &self.members, now);
        }
    }

    /// Takes that upstreams of failure domains that take work again may be cold, as long as
    /// their pools stay so: what they tell of themselves comes later.
    pub(crate) fn mark_domains_cold(&mut self, domains: &BTreeSet<Arc<str>>, now: Millis) {
        let Some(plan) = self.plan.clone() else { return };
        for it in self.upstreams.values_mut().filter(|it| domains.contains(&it.host.domain)) {
            let lasts = plan.pool(&it.pool()).map_or(Millis::ZERO, |pool| Millis(pool.cold_ms));
            it.cold_start.lasts(now + lasts);
        }
        self.allocate_quotas(now);
    }

    /// Deals out anew what this router may send to upstreams that are cold.
    pub(crate) fn allocate_quotas(&mut self, now: Millis) {
        let Some(plan) = self.plan.clone() else { return };
        for it in self.upstreams.values_mut().filter(|it| it.cold_start.is_cold(now)) {
            it.cold_start.part = part(it, &plan, &self.settings, &self.members, now);
        }
    }

    /// Whether this router's part of what cold upstreams bear counts now.
    pub(crate) fn has_valid_quota(&self, now: Millis) -> bool {
        let proved = self.confirmed_at.is_some_and(|at| at.until(now) <= PROOF);
        proved && self.members.are_settled(now)
    }

    /// When the first of the upstreams of a pool that are cold or rest takes a request of this
    /// router, from now on; none if there is none.
    pub(crate) fn available_in(&self, pool: &str, now: Millis) -> Option<Millis> {
        let opens = |it: &&Upstream| {
            let later = it.cold_start.is_cold(now) || it.notice.is_backing_off(now);
            later && !it.is_leaving() && !it.evacuated && &*it.pool() == pool
        };
        let opens_in = |it: &Upstream| it.cold_start.opens_in(now).max(it.notice.backoff(now));
        self.upstreams.values().filter(opens).map(opens_in).min()
    }
}

/// How many requests this router may send to a cold upstream in a window. It costs a hash
/// for each router, so that an entry of one upstream deals out that one's alone.
fn part(
    upstream: &Upstream,
    plan: &Plan,
    settings: &Settings,
    members: &Members,
    now: Millis,
) -> u32 {
    let limit = limit(upstream, plan, settings);
    limit.map_or(u32::MAX, |limit| members.part(&upstream.host.name, limit, now))
}

/// How many requests a cold upstream bears in a window; none where its pool has no limit.
fn limit(upstream: &Upstream, plan: &Plan, settings: &Settings) -> Option<u32> {
    let pool = plan.pool(&upstream.pool()).filter(|it| it.cold_per_s > 0.0)?;
    let limit = (pool.cold_per_s * settings.cold_multiple + settings.cold_extra) * DEALT;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small, positive")]
    Some(limit.max(0.0) as u32)
}
