//! Requests to a saturated pool need a permit of the pool owner before they are sent.
//!
//! Here, a pool is saturated while its upstreams refuse requests for lack of free slots, as a
//! refusal or the pool owner reports. This is independent of the saturation that enforces shares,
//! which follows from waits.
//!
//! This applies to pools whose upstreams have known slots and report no load, and to requests
//! outside chats.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use wire::{Claim, Finish};

use crate::Effect;
use crate::requests::request::{Permit, Phase};
use crate::state::State;
use crate::upstreams::upstream::Upstream;

/// How long a pool counts as saturated after a refusal, until the pool owner reports it.
const SATURATION_TTL: Millis = Millis(1_500);

/// Number of unusable permits after which a request fails.
const MAX_CLAIMS: usize = 4;

/// Width of the counter in claim numbers; the bits above hold the seed of this start of the router,
/// so that a restart does not reuse numbers.
const CLAIM_NUMBER_BITS: u32 = 20;

/// Saturated pools and the next claim number.
#[derive(Debug)]
pub(crate) struct Saturation {
    until: BTreeMap<Arc<str>, Millis>,
    next: u64,
}

impl Saturation {
    /// Creates an empty set; `seed` identifies the start of this router.
    pub(crate) fn new(seed: u64) -> Self {
        Self { until: BTreeMap::new(), next: seed << CLAIM_NUMBER_BITS }
    }

    /// Marks a pool as saturated for `duration`; zero ends the saturation.
    pub(crate) fn record(&mut self, pool: &Arc<str>, duration: Millis, now: Millis) {
        if duration == Millis::ZERO {
            self.until.remove(pool);
            return;
        }
        self.until.insert(pool.clone(), now + duration);
    }

    fn is_saturated(&self, pool: &str, now: Millis) -> bool {
        self.until.get(pool).is_some_and(|until| *until > now)
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

impl State {
    /// Marks the pool of a request as saturated after a refusal; returns whether the request needs
    /// permits.
    pub(crate) fn report_saturation(&mut self, id: u64, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let pool = request.pool.clone();
        let needs_permit = request.objective_ms.is_some() && !request.arrival.is_chat();
        if !needs_permit || !self.uses_permits(&pool) {
            return false;
        }
        if !self.saturation.is_saturated(&pool, now) {
            self.saturation.record(&pool, SATURATION_TTL, now);
            self.pending_effects.push(Effect::ReportSaturation { pool });
        }
        true
    }

    /// Whether requests to the pool need permits while it is saturated: its upstreams have known
    /// slots and report no load.
    fn uses_permits(&self, pool: &str) -> bool {
        let mut members = self.pool_upstreams(pool).peekable();
        self.settings.mechanisms.places
            && self.settings.path.monitors_upstreams()
            && !pool.is_empty()
            && members.peek().is_some()
            && members.all(|upstream| upstream.host.slots > 0 && !upstream.has_observed_load())
    }

    fn pool_upstreams(&self, pool: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(move |upstream| &*upstream.pool() == pool)
    }

    /// The upstreams of a pool that accept requests, with their slots; cold ones only if there are
    /// no others.
    pub fn available_slots(&self, pool: &str, now: Millis) -> Vec<(Arc<str>, u64)> {
        let accepts = |upstream: &&Upstream| {
            let is_down = upstream.is_suspect(now) && !upstream.reachable;
            !upstream.is_leaving()
                && !upstream.evacuated
                && !upstream.notice.is_backing_off(now)
                && !is_down
        };
        let slots = |upstream: &Upstream| (upstream.name().clone(), upstream.host.slots);
        let open: Vec<_> = self
            .pool_upstreams(pool)
            .filter(accepts)
            .filter(|upstream| !upstream.cold_start.is_cold(now))
            .collect();
        if open.is_empty() {
            return self.pool_upstreams(pool).filter(accepts).map(slots).collect();
        }
        open.into_iter().map(slots).collect()
    }

    /// Claims a permit for a request about to be sent to `upstream`, if its pool is saturated.
    pub(crate) fn claim(&mut self, id: u64, upstream: &Arc<str>, now: Millis) -> Option<Effect> {
        let request = self.requests.get(&id)?;
        let pool = request.pool.clone();
        let objective_ms = u32::try_from(request.objective_ms?).unwrap_or(u32::MAX);
        let needs_permit =
            request.permit == Permit::None && !request.is_answering() && !request.arrival.is_chat();
        if !needs_permit || !self.saturation.is_saturated(&pool, now) || !self.uses_permits(&pool) {
            return None;
        }
        let number = self.saturation.next_number();
        let request = self.requests.get_mut(&id)?;
        request.candidates.push(upstream.clone());
        request.phase = Phase::Claiming;
        request.permit = Permit::Claimed(number);
        let age_ms = u32::try_from(request.arrived.until(now).0).unwrap_or(u32::MAX);
        let mut avoid = request.unusable.clone();
        avoid.extend(request.tries.iter().map(|attempt| attempt.upstream.clone()));
        let claim = Claim {
            number,
            workspace: request.arrival.workspace.clone(),
            fingerprint: request.arrival.fingerprint,
            priority: request.priority,
            repeatable: request.repeatable,
            objective_ms,
            age_ms,
            avoid,
        };
        Some(Effect::Claim { pool, claim })
    }

    /// Sends the request to the upstream of its permit.
    pub(crate) fn handle_granted(
        &mut self,
        id: u64,
        number: u64,
        upstream: &Arc<str>,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.has_open_claim(id, number) {
            return Vec::new();
        }
        if self.is_expired(id, now) {
            return self.fail(id, Kind::ExpiredWaiting, 0, "", now);
        }
        if !self.is_usable(id, upstream, now) {
            return self.claim_again(id, upstream, now);
        }
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        request.permit = Permit::Held(number);
        request.candidates.retain(|candidate| candidate != upstream);
        self.send(id, upstream, 0, now)
    }

    /// Refuses the request. One that may have run continues without a permit, because its caller
    /// could not repeat it.
    pub(crate) fn handle_denied(
        &mut self,
        id: u64,
        number: u64,
        after_ms: u64,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.has_open_claim(id, number) {
            return Vec::new();
        }
        if self.requests.get(&id).is_some_and(|request| request.uncertain_error().is_some()) {
            return self.handle_unanswered(id, number, now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.permit = Permit::None;
        }
        self.fail(id, Kind::WouldMiss, after_ms, "", now)
    }

    /// Continues without a permit.
    pub(crate) fn handle_unanswered(&mut self, id: u64, number: u64, now: Millis) -> Vec<Effect> {
        if !self.has_open_claim(id, number) {
            return Vec::new();
        }
        if self.is_expired(id, now) {
            return self.fail(id, Kind::ExpiredWaiting, 0, "", now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.permit = Permit::Waived;
        }
        self.send_next(id, now)
    }

    /// Releases the permit of a finished attempt, or withdraws the claim.
    pub(crate) fn release_permit(&mut self, id: u64, error: Option<Kind>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let permit = std::mem::take(&mut request.permit);
        let (Permit::Claimed(number) | Permit::Held(number)) = permit else { return };
        let end = if permit == Permit::Held(number) { finish(error) } else { Finish::Unused };
        let elapsed = request
            .tries
            .last()
            .map_or(Millis::ZERO, |attempt| attempt.sent.until(attempt.last_received));
        let pool = request.pool.clone();
        self.pending_effects.push(Effect::Release { pool, number, end, elapsed });
    }

    /// Whether the request has an open claim with this number.
    fn has_open_claim(&self, id: u64, number: u64) -> bool {
        let is_claimed = |permit: &Permit| *permit == Permit::Claimed(number);
        self.requests
            .get(&id)
            .is_some_and(|request| request.phase == Phase::Claiming && is_claimed(&request.permit))
    }

    /// Whether the deadline passed; no `Expire` event arrives while a claim is open or a stream is
    /// looked up.
    pub(crate) fn is_expired(&self, id: u64, now: Millis) -> bool {
        self.requests.get(&id).is_some_and(|request| request.deadline <= now)
    }

    /// Whether the request may be sent to the upstream of its permit.
    fn is_usable(&self, id: u64, upstream: &Arc<str>, now: Millis) -> bool {
        let accepts = |upstream: &Upstream| {
            !upstream.is_leaving() && !upstream.evacuated && !upstream.notice.is_backing_off(now)
        };
        self.upstreams.get(upstream).is_some_and(accepts)
            && !self.is_closed(upstream, now)
            && self.is_allowed(id, upstream)
    }

    /// Releases an unusable permit and continues, which claims another while the pool is saturated.
    fn claim_again(&mut self, id: u64, upstream: &Arc<str>, now: Millis) -> Vec<Effect> {
        self.release_permit(id, None);
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        request.unusable.push(upstream.clone());
        request.candidates.retain(|candidate| candidate != upstream);
        if request.unusable.len() >= MAX_CLAIMS {
            return self.fail(id, Kind::NoUpstream, 0, "", now);
        }
        self.send_next(id, now)
    }
}

/// Usage of a permit whose attempt ended with `error`.
fn finish(error: Option<Kind>) -> Finish {
    match error {
        None | Some(Kind::UpstreamFailed | Kind::Crossed | Kind::Truncated) => Finish::Answered,
        Some(Kind::QueueFull) => Finish::Full,
        Some(
            Kind::Unreachable
            | Kind::LinkLost
            | Kind::UpstreamLost
            | Kind::UpstreamDown
            | Kind::Silent
            | Kind::Leaving,
        ) => Finish::Failed,
        Some(_) => Finish::Unused,
    }
}
