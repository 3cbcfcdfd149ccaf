//! Requests to a pool that is short of places: the pool's owner is asked before they are sent.
//!
//! Only pools whose upstreams list their slots and tell nothing of their load are asked for, only
//! while they turn requests away for lack of room, and not for chats, which go where their context
//! is.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use wire::{Claim, Finish};

use crate::Effect;
use crate::beliefs::upstream::Upstream;
use crate::requests::request::{Permit, Phase};
use crate::state::State;

/// How long a pool is taken to be short after a refusal, until its owner says so.
const LASTS: Millis = Millis(1_500);

/// How often a request asks again after it was granted a place that it can't use.
const MOST_CLAIMS: usize = 4;

/// By how many bits the start of a router stands before the number of a claim, so that no number
/// is used twice.
const START_BITS: u32 = 20;

/// The pools that are short.
#[derive(Debug)]
pub(crate) struct Saturation {
    until: BTreeMap<Arc<str>, Millis>,
    next: u64,
}

impl Saturation {
    /// None yet; `seed` is the start of this router.
    pub(crate) fn new(seed: u64) -> Self {
        Self { until: BTreeMap::new(), next: seed << START_BITS }
    }

    /// A pool is short for so long, or no more.
    pub(crate) fn record(&mut self, pool: &Arc<str>, lasts: Millis, now: Millis) {
        if lasts == Millis::ZERO {
            self.until.remove(pool);
            return;
        }
        self.until.insert(pool.clone(), now + lasts);
    }

    fn holds(&self, pool: &str, now: Millis) -> bool {
        self.until.get(pool).is_some_and(|it| *it > now)
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

impl State {
    /// Notes that a request was turned away for lack of room, where its pool has an owner for
    /// that; returns whether it has.
    pub(crate) fn report_saturation(&mut self, id: u64, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let pool = request.pool.clone();
        let asks = request.objective_ms.is_some() && !request.arrival.is_chat();
        if !asks || !self.has_owner(&pool) {
            return false;
        }
        if !self.saturation.holds(&pool, now) {
            self.saturation.record(&pool, LASTS, now);
            self.pending_effects.push(Effect::ReportSaturation { pool });
        }
        true
    }

    /// Whether places of a pool are granted by an owner while it is short: its upstreams list
    /// their slots and tell no load.
    fn has_owner(&self, pool: &str) -> bool {
        let mut members = self.members_of(pool).peekable();
        self.settings.mechanisms.places
            && self.settings.path.monitors_upstreams()
            && !pool.is_empty()
            && members.peek().is_some()
            && members.all(|it| it.host.slots > 0 && !it.has_observed_load())
    }

    fn members_of(&self, pool: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(move |it| &*it.pool() == pool)
    }

    /// The upstreams of a pool that may be sent to, and their slots: what its owner grants.
    pub fn available_slots(&self, pool: &str, now: Millis) -> Vec<(Arc<str>, u64)> {
        let takes = |it: &&Upstream| {
            let gone = it.is_suspect(now) && !it.reachable;
            !it.is_leaving() && !it.evacuated && !it.notice.is_backing_off(now) && !gone
        };
        let place = |it: &Upstream| (it.name().clone(), it.host.slots);
        let open: Vec<_> =
            self.members_of(pool).filter(takes).filter(|it| !it.cold_start.is_cold(now)).collect();
        if open.is_empty() {
            return self.members_of(pool).filter(takes).map(place).collect();
        }
        open.into_iter().map(place).collect()
    }

    /// Asks for a place for a request that would go to `upstream`, if its pool is short.
    pub(crate) fn claim(&mut self, id: u64, upstream: &Arc<str>, now: Millis) -> Option<Effect> {
        let request = self.requests.get(&id)?;
        let pool = request.pool.clone();
        let objective_ms = u32::try_from(request.objective_ms?).unwrap_or(u32::MAX);
        let asks =
            request.permit == Permit::None && !request.is_answering() && !request.arrival.is_chat();
        if !asks || !self.saturation.holds(&pool, now) || !self.has_owner(&pool) {
            return None;
        }
        let number = self.saturation.number();
        let request = self.requests.get_mut(&id)?;
        request.candidates.push(upstream.clone());
        request.phase = Phase::Claiming;
        request.permit = Permit::Claimed(number);
        let age_ms = u32::try_from(request.arrived.until(now).0).unwrap_or(u32::MAX);
        let mut avoid = request.unusable.clone();
        avoid.extend(request.tries.iter().map(|it| it.upstream.clone()));
        let claim = Claim {
            number,
            workspace: request.arrival.workspace.clone(),
            fingerprint: request.arrival.fingerprint,
            urgency: request.priority,
            repeatable: request.repeatable,
            objective_ms,
            age_ms,
            avoid,
        };
        Some(Effect::Claim { pool, claim })
    }

    /// A request has got a place.
    pub(crate) fn handle_granted(
        &mut self,
        id: u64,
        number: u64,
        upstream: &Arc<str>,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.claims(id, number) {
            return Vec::new();
        }
        if self.is_expired(id, now) {
            return self.fail(id, Kind::ExpiredWaiting, 0, "", now);
        }
        if !self.is_usable(id, upstream, now) {
            return self.claim_anew(id, upstream, now);
        }
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        request.permit = Permit::Held(number);
        request.candidates.retain(|it| it != upstream);
        self.send(id, upstream, 0, now)
    }

    /// A request gets no place. One that may have run goes on without: its caller could not send
    /// it again.
    pub(crate) fn handle_denied(
        &mut self,
        id: u64,
        number: u64,
        after_ms: u64,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.claims(id, number) {
            return Vec::new();
        }
        if self.requests.get(&id).is_some_and(|it| it.uncertain_error().is_some()) {
            return self.handle_unanswered(id, number, now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.permit = Permit::None;
        }
        self.fail(id, Kind::WouldMiss, after_ms, "", now)
    }

    /// A request goes without a place that an owner grants.
    pub(crate) fn handle_unanswered(&mut self, id: u64, number: u64, now: Millis) -> Vec<Effect> {
        if !self.claims(id, number) {
            return Vec::new();
        }
        if self.is_expired(id, now) {
            return self.fail(id, Kind::ExpiredWaiting, 0, "", now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.permit = Permit::Local;
        }
        self.send_next(id, now)
    }

    /// Gives back the place of a request whose attempt has ended, or takes back its ask.
    pub(crate) fn release_permit(&mut self, id: u64, error: Option<Kind>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let place = std::mem::take(&mut request.permit);
        let (Permit::Claimed(number) | Permit::Held(number)) = place else { return };
        let end = if place == Permit::Held(number) { finish(error) } else { Finish::Unused };
        let took = request.tries.last().map_or(Millis::ZERO, |it| it.sent.until(it.last_received));
        let pool = request.pool.clone();
        self.pending_effects.push(Effect::Release { pool, number, end, elapsed: took });
    }

    /// Whether a request has asked under this number and not been answered.
    fn claims(&self, id: u64, number: u64) -> bool {
        let asks = |it: &Permit| *it == Permit::Claimed(number);
        self.requests.get(&id).is_some_and(|it| it.phase == Phase::Claiming && asks(&it.permit))
    }

    /// Whether the time of a request is over, which nobody tells while it asks.
    fn is_expired(&self, id: u64, now: Millis) -> bool {
        self.requests.get(&id).is_some_and(|it| it.deadline <= now)
    }

    /// Whether a request may be sent to an upstream that it was granted a place at.
    fn is_usable(&self, id: u64, upstream: &Arc<str>, now: Millis) -> bool {
        let takes =
            |it: &Upstream| !it.is_leaving() && !it.evacuated && !it.notice.is_backing_off(now);
        self.upstreams.get(upstream).is_some_and(takes)
            && !self.is_closed(upstream, now)
            && self.is_allowed(id, upstream)
    }

    /// Gives back a place that can't be used, and asks for another.
    fn claim_anew(&mut self, id: u64, upstream: &Arc<str>, now: Millis) -> Vec<Effect> {
        self.release_permit(id, None);
        let Some(request) = self.requests.get_mut(&id) else { return Vec::new() };
        request.unusable.push(upstream.clone());
        request.candidates.retain(|it| it != upstream);
        if request.unusable.len() >= MOST_CLAIMS {
            return self.fail(id, Kind::NoUpstream, 0, "", now);
        }
        self.send_next(id, now)
    }
}

/// What became of the permit of an attempt that ended with `error`.
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
