//! What the owner of a pool knows of it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use clock::Millis;
use wire::{Claim, Claims, Finish, Held, Release, Turn, Verdict};

use crate::retries::Retries;
use crate::limit::Limit;
use crate::decision::{Decision, Snapshot};
use crate::settings::{Settings, Wait};
use crate::queue::{Queue, Waiter};

/// After how long a permit is free again that its router does not name. Routers name theirs each
/// 200 ms.
const LIFE: Millis = Millis(900);

/// For how long a new owner grants half: by then routers have named the permits they hold.
const HEARS: Millis = Millis(300);

/// How long a decision is kept, for asks that come again.
const KEPT: Millis = Millis(3_000);

/// From how many decisions on those are dropped whose time is over.
const MOST_KEPT: usize = 8_192;

/// How long nothing must have waited before a pool is short no more.
const CALM: Millis = Millis(3_000);

/// The hundredths of an objective within which an answer must be expected.
const PART: u64 = 60;

/// The least of an objective that may be waited, one part in so many.
const LEAST: u64 = 10;

/// The objective that counts before one is known.
const OBJECTIVE: Millis = Millis(1_000);

/// A router and its number for a request.
type Id = (Arc<str>, u64);

#[derive(Clone, Debug)]
struct Grant {
    upstream: Arc<str>,
    at: Millis,
    named: Millis,
}

#[derive(Clone, Debug)]
struct Place {
    limit: Limit,
    listed: bool,
    out: usize,
}

/// The owner's state of one pool.
#[derive(Clone, Debug)]
pub struct Issuer {
    settings: Settings,
    places: BTreeMap<Arc<str>, Place>,
    grants: HashMap<Id, Grant>,
    queue: Queue,
    bookings: Retries,
    /// Asks that have come since the last turn.
    fresh: Vec<Id>,
    decided: HashMap<Id, (Option<Turn>, Millis)>,
    objective: Millis,
    since: Millis,
    busy: Millis,
}

impl Issuer {
    /// A ledger that knows nothing yet.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self {
            settings,
            places: BTreeMap::new(),
            grants: HashMap::new(),
            queue: Queue::default(),
            bookings: Retries::default(),
            fresh: Vec::new(),
            decided: HashMap::new(),
            objective: OBJECTIVE,
            since: now,
            busy: now,
        }
    }

    /// Takes which upstreams may be used, and their slots. What is out elsewhere stays counted.
    pub fn set_upstreams(&mut self, upstreams: &[(Arc<str>, u64)]) {
        for (name, place) in &mut self.places {
            place.listed = upstreams.iter().any(|(it, _)| it == name);
        }
        for (name, slots) in upstreams {
            let new = || Place { limit: Limit::new(*slots), listed: true, out: 0 };
            let place = self.places.entry(name.clone()).or_insert_with(new);
            if !place.limit.is_for(*slots) {
                place.limit = Limit::new(*slots);
            }
        }
        self.places.retain(|_, it| it.listed || it.out > 0);
    }

    /// Takes what a router tells and asks; returns what it is to be told at once: how asks that
    /// came before were decided. Messages may come late, twice or never.
    pub fn receive(&mut self, claims: &Claims, now: Millis) -> Vec<Verdict> {
        for held in &claims.held {
            self.hold(&claims.router, held, now);
        }
        for release in &claims.releases {
            self.release(&claims.router, release, now);
        }
        let told = claims.asks.iter().filter_map(|it| self.ask(&claims.router, it, now));
        told.collect()
    }

    /// Decides what can be decided: who gets a place, and who is refused. Routers are told at once
    /// of what waits, so that they know that the owner is there and how long messages take.
    pub fn decide(&mut self, now: Millis) -> Vec<Decision> {
        self.expire(now);
        let mut lines = Vec::new();
        while let Some((waiter, upstream)) = self.next(now) {
            lines.push(self.grant(waiter, &upstream, now));
        }
        for waiter in self.queue.shed(self.rate_per_ms(now), now) {
            lines.push(self.refuse(waiter, now));
        }
        for id in std::mem::take(&mut self.fresh) {
            lines.extend(self.waits(id, now));
        }
        if !self.queue.is_empty() || lines.iter().any(|it| matches!(it.turn, Turn::Refused(_))) {
            self.busy = now;
        }
        lines
    }

    /// The pool is short, or still is: an upstream of it has turned a request away.
    pub fn mark_saturated(&mut self, now: Millis) {
        self.busy = now;
    }

    /// Whether the pool is short no more.
    pub fn has_recovered(&self, now: Millis) -> bool {
        self.busy.until(now) > CALM
    }

    /// The pool at a glance.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let rate = (self.rate_per_ms(now) * 1_000_000.0).min(f64::from(u32::MAX)) as u32;
        Snapshot {
            limit: self.open(now).map(|(_, it)| it.limit.permits(self.objective, now)).sum(),
            in_flight: self.grants.len(),
            waiting: self.queue.len(),
            rate,
        }
    }

    /// The upstreams, how many permits each may have out, and how many it has.
    pub fn upstreams(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, usize, usize)> {
        let permits = move |it: &Place| it.limit.permits(self.objective, now);
        self.places.iter().map(move |(name, it)| (name, permits(it), it.out))
    }

    /// The permits that are out: the routers, their numbers and the upstreams.
    pub fn grants(&self) -> impl Iterator<Item = (&Arc<str>, u64, &Arc<str>)> {
        self.grants.iter().map(|((router, number), it)| (router, *number, &it.upstream))
    }

    fn ask(&mut self, router: &Arc<str>, claim: &Claim, now: Millis) -> Option<Verdict> {
        let id = (router.clone(), claim.number);
        let number = claim.number;
        if let Some((turn, _)) = self.decided.get(&id) {
            return turn.clone().map(|turn| Verdict { number, turn });
        }
        if self.queue.get(&id).is_some() {
            return Some(Verdict { number, turn: Turn::Waits });
        }
        let objective = Millis(u64::from(claim.objective_ms));
        self.objective = objective;
        self.fresh.push(id.clone());
        let came = Millis(now.0.saturating_sub(u64::from(claim.age_ms)));
        self.queue.push(Waiter {
            standing: self.bookings.standing(claim.content, now),
            id,
            workspace: claim.workspace.clone(),
            content: claim.content,
            urgency: claim.urgency,
            repeatable: claim.repeatable,
            came,
            until: came + self.budget(objective, now),
            objective,
            avoid: claim.avoid.clone(),
        });
        None
    }

    /// How long a request may wait here.
    fn budget(&self, objective: Millis, now: Millis) -> Millis {
        if self.settings.wait == Wait::None {
            return Millis::ZERO;
        }
        let took = self.open(now).map(|(_, it)| it.limit.took_ms()).fold(0.0, f64::max);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short")]
        let took = Millis(took as u64);
        took.until(Millis(objective.0 * PART / 100)).max(Millis(objective.0 / LEAST))
    }

    fn release(&mut self, router: &Arc<str>, release: &Release, now: Millis) {
        let id = (router.clone(), release.number);
        self.queue.remove(&id);
        let known = self.grants.get(&id).map(|it| it.upstream.clone());
        let first = known.is_some() || !self.decided.contains_key(&id);
        // An ask that comes later than this is of no interest to anybody.
        self.record_decision(&id, None, now);
        let upstream = known.unwrap_or_else(|| release.upstream.clone());
        if let Some(place) = self.places.get_mut(&upstream).filter(|_| first) {
            let out = self.grants.get(&id).map_or(Millis::ZERO, |it| it.at.until(now));
            let full = place.out >= place.limit.permits(self.objective, now);
            match release.end {
                Finish::Answered => {
                    place.limit.answered(Millis(u64::from(release.took_ms)), out, full);
                }
                Finish::Full => {
                    place.limit.refused(place.out, now);
                    self.busy = now;
                }
                Finish::Failed => place.limit.failed(now),
                Finish::Unused => {}
            }
        }
        self.free(&id);
    }

    /// A router names permits that it holds. One that is not known is from another owner, or
    /// was taken to be lost.
    fn hold(&mut self, router: &Arc<str>, held: &Held, now: Millis) {
        for number in &held.numbers {
            let id = (router.clone(), *number);
            if let Some(grant) = self.grants.get_mut(&id) {
                grant.named = now;
            } else if !matches!(self.decided.get(&id), Some((None | Some(Turn::Refused(_)), _))) {
                self.take(id, &held.upstream, now);
            }
        }
    }

    fn take(&mut self, id: Id, upstream: &Arc<str>, now: Millis) {
        let new = || Place { limit: Limit::new(0), listed: false, out: 0 };
        self.places.entry(upstream.clone()).or_insert_with(new).out += 1;
        self.grants.insert(id, Grant { upstream: upstream.clone(), at: now, named: now });
    }

    fn free(&mut self, id: &Id) {
        let Some(grant) = self.grants.remove(id) else { return };
        if let Some(place) = self.places.get_mut(&grant.upstream) {
            place.out = place.out.saturating_sub(1);
        }
    }

    fn expire(&mut self, now: Millis) {
        let lost = |(id, it): (&Id, &Grant)| (it.named.until(now) > LIFE).then(|| id.clone());
        for id in self.grants.iter().filter_map(lost).collect::<Vec<_>>() {
            self.free(&id);
        }
        for lasts in [KEPT, Millis(KEPT.0 / 4)] {
            if self.decided.len() > MOST_KEPT {
                self.decided.retain(|_, (_, at)| at.until(now) < lasts);
            }
        }
    }

    fn open(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, &Place)> {
        let opens = move |it: &Place| it.listed && it.limit.permits(self.objective, now) > 0;
        self.places.iter().filter(move |(_, it)| opens(it))
    }

    /// How many places the pool frees in a millisecond.
    fn rate_per_ms(&self, now: Millis) -> f64 {
        self.open(now).map(|(_, it)| it.limit.rate_per_ms()).sum()
    }

    /// The next request that gets a place, and the upstream with the most room for it.
    fn next(&mut self, now: Millis) -> Option<(Waiter, Arc<str>)> {
        let free = self.free_places(now);
        if free.is_empty() || self.queue.is_empty() {
            return None;
        }
        let place = |it: &Waiter| free.iter().find(|(name, _)| !it.avoid.contains(name));
        let waiter = self.queue.pop(|it| place(it).is_some(), now)?;
        let upstream = place(&waiter)?.0.clone();
        Some((waiter, upstream))
    }

    /// Upstreams with room, the one with the most first.
    fn free_places(&self, now: Millis) -> Vec<(Arc<str>, f64)> {
        let halves = self.since.until(now) < HEARS;
        let room = |(name, it): (&Arc<str>, &Place)| {
            let permits = it.limit.permits(self.objective, now);
            let permits = if halves { permits.div_ceil(2) } else { permits };
            let room = permits.checked_sub(it.out).filter(|it| *it > 0)?;
            #[expect(clippy::cast_precision_loss, reason = "few")]
            let part = room as f64 / permits as f64;
            Some((name.clone(), part))
        };
        let mut free: Vec<_> = self.open(now).filter_map(room).collect();
        free.sort_by(|one, other| other.1.total_cmp(&one.1));
        free
    }

    fn grant(&mut self, waiter: Waiter, upstream: &Arc<str>, now: Millis) -> Decision {
        self.take(waiter.id.clone(), upstream, now);
        self.line(waiter, Turn::Granted(upstream.clone()), now)
    }

    fn refuse(&mut self, waiter: Waiter, now: Millis) -> Decision {
        let rate = self.rate_per_ms(now);
        let after = self.bookings.book(waiter.content, waiter.objective, rate, now);
        let after = u32::try_from(after.0).unwrap_or(u32::MAX);
        self.line(waiter, Turn::Refused(after), now)
    }

    fn waits(&self, id: Id, now: Millis) -> Option<Decision> {
        let waiter = self.queue.get(&id)?;
        let (workspace, age) = (waiter.workspace.clone(), waiter.came.until(now));
        Some(Decision { router: id.0, number: id.1, workspace, turn: Turn::Waits, waited: age })
    }

    fn line(&mut self, waiter: Waiter, turn: Turn, now: Millis) -> Decision {
        self.record_decision(&waiter.id, Some(turn.clone()), now);
        let (router, number) = waiter.id;
        let age = waiter.came.until(now);
        Decision { router, number, workspace: waiter.workspace, turn, waited: age }
    }

    fn record_decision(&mut self, id: &Id, turn: Option<Turn>, now: Millis) {
        self.decided.insert(id.clone(), (turn, now));
    }
}
