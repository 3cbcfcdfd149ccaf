//! The owner's state of a pool.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use clock::Millis;
use wire::{Claim, ClaimState, Claims, Finish, Held, Release, Verdict};

use crate::decision::{Decision, Snapshot};
use crate::limit::Limit;
use crate::queue::{Queue, Waiter};
use crate::retries::Retries;
use crate::settings::{Settings, Wait};

/// How long a permit is valid that its router does not renew. Routers renew the permits
/// that they hold several times within it.
const PERMIT_TTL: Millis = Millis(900);

/// How long a new owner issues half of the permits. Routers report the permits that they hold
/// within this time.
const STARTUP_PERIOD: Millis = Millis(300);

/// How long a decision is kept, to answer repeated claims.
const DECISION_RETENTION: Millis = Millis(3_000);

/// The number of stored decisions above which old ones are dropped: those past the retention, then
/// those past a quarter of it.
const PRUNE_THRESHOLD: usize = 8_192;

/// How long a pool must go without waiting or refused requests before it counts as recovered.
const RECOVERY_PERIOD: Millis = Millis(3_000);

/// The limit on wait plus latency, as a percentage of the objective.
const ANSWER_PERCENT: u64 = 60;

/// The lowest limit on the wait, as a divisor of the objective. Applies if requests may wait.
const MIN_WAIT_DIVISOR: u64 = 10;

/// The objective assumed before the first claim.
const DEFAULT_OBJECTIVE: Millis = Millis(1_000);

/// A router and its number for a request.
type Id = (Arc<str>, u64);

#[derive(Clone, Debug)]
struct Grant {
    upstream: Arc<str>,
    /// The objective of the request; `None` if the permit was granted by an earlier owner.
    objective: Option<Millis>,
    granted: Millis,
    renewed: Millis,
}

#[derive(Clone, Debug)]
struct Upstream {
    limit: Limit,
    listed: bool,
    in_flight: usize,
}

/// The owner's state of one pool.
#[derive(Clone, Debug)]
pub struct Issuer {
    settings: Settings,
    upstreams: BTreeMap<Arc<str>, Upstream>,
    grants: HashMap<Id, Grant>,
    queue: Queue,
    retries: Retries,
    /// Claims that arrived since the last call of `decide`.
    arrived: Vec<Id>,
    /// Decisions with their times; `None` for released claims.
    decided: HashMap<Id, (Option<ClaimState>, Millis)>,
    /// The objective of the latest new claim, for totals and for permits of earlier owners.
    objective: Millis,
    started: Millis,
    saturated_at: Millis,
}

impl Issuer {
    /// Creates an issuer without upstreams.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self {
            settings,
            upstreams: BTreeMap::new(),
            grants: HashMap::new(),
            queue: Queue::default(),
            retries: Retries::default(),
            arrived: Vec::new(),
            decided: HashMap::new(),
            objective: DEFAULT_OBJECTIVE,
            started: now,
            saturated_at: now,
        }
    }

    /// Replaces the listed upstreams and their slots. Permits in use at others stay counted.
    pub fn set_upstreams(&mut self, listed: &[(Arc<str>, u64)]) {
        for (name, upstream) in &mut self.upstreams {
            upstream.listed = listed.iter().any(|(other, _)| other == name);
        }
        for (name, slots) in listed {
            let new = || Upstream { limit: Limit::new(*slots), listed: true, in_flight: 0 };
            let upstream = self.upstreams.entry(name.clone()).or_insert_with(new);
            if !upstream.limit.is_for(*slots) {
                upstream.limit = Limit::new(*slots);
            }
        }
        self.upstreams.retain(|_, upstream| upstream.listed || upstream.in_flight > 0);
    }

    /// Handles a router's claims, releases and renewals, which may be late, repeated or lost.
    /// Returns the verdicts on claims that were received before.
    pub fn receive(&mut self, claims: &Claims, now: Millis) -> Vec<Verdict> {
        for held in &claims.held {
            self.renew(&claims.router, held, now);
        }
        for release in &claims.releases {
            self.release(&claims.router, release, now);
        }
        let known =
            claims.claims.iter().filter_map(|claim| self.enqueue(&claims.router, claim, now));
        known.collect()
    }

    /// Grants free permits and refuses claims that can't get one in time. Also returns new claims
    /// that stay queued, so that their routers get a reply.
    pub fn decide(&mut self, now: Millis) -> Vec<Decision> {
        self.expire(now);
        let mut decisions = Vec::new();
        while let Some((waiter, upstream)) = self.next(now) {
            decisions.push(self.grant(waiter, &upstream, now));
        }
        for waiter in self.queue.shed(self.rate_per_ms(now), now) {
            decisions.push(self.refuse(waiter, now));
        }
        for id in std::mem::take(&mut self.arrived) {
            decisions.extend(self.queued(id, now));
        }
        if !self.queue.is_empty()
            || decisions.iter().any(|decision| matches!(decision.state, ClaimState::Refused(_)))
        {
            self.saturated_at = now;
        }
        decisions
    }

    /// Records that an upstream refused a request for lack of slots.
    pub fn mark_saturated(&mut self, now: Millis) {
        self.saturated_at = now;
    }

    /// Whether the pool is no longer saturated.
    pub fn has_recovered(&self, now: Millis) -> bool {
        self.saturated_at.until(now) > RECOVERY_PERIOD
    }

    /// Returns the totals of the pool.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let rate = (self.rate_per_ms(now) * 1_000_000.0).min(f64::from(u32::MAX)) as u32;
        Snapshot {
            limit: self
                .usable(now)
                .map(|(_, upstream)| upstream.limit.permits(self.objective, now))
                .sum(),
            in_flight: self.grants.len(),
            waiting: self.queue.len(),
            rate,
        }
    }

    /// Iterates over the upstreams: name, limit and permits in use.
    pub fn upstreams(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, usize, usize)> {
        let permits = move |upstream: &Upstream| upstream.limit.permits(self.objective, now);
        self.upstreams
            .iter()
            .map(move |(name, upstream)| (name, permits(upstream), upstream.in_flight))
    }

    /// Iterates over the permits in use: router, number and upstream.
    pub fn grants(&self) -> impl Iterator<Item = (&Arc<str>, u64, &Arc<str>)> {
        self.grants.iter().map(|((router, number), grant)| (router, *number, &grant.upstream))
    }

    /// Queues a claim, or returns the decision if the claim is known.
    fn enqueue(&mut self, router: &Arc<str>, claim: &Claim, now: Millis) -> Option<Verdict> {
        let id = (router.clone(), claim.number);
        let number = claim.number;
        if let Some((state, _)) = self.decided.get(&id) {
            return state.clone().map(|state| Verdict { number, state });
        }
        if self.queue.get(&id).is_some() {
            return Some(Verdict { number, state: ClaimState::Queued });
        }
        let objective = Millis(u64::from(claim.objective_ms));
        self.objective = objective;
        self.arrived.push(id.clone());
        let arrived = Millis(now.0.saturating_sub(u64::from(claim.age_ms)));
        self.queue.push(Waiter {
            timing: self.retries.record_arrival(claim.fingerprint, now),
            id,
            workspace: claim.workspace.clone(),
            fingerprint: claim.fingerprint,
            priority: claim.priority,
            repeatable: claim.repeatable,
            arrived,
            deadline: arrived + self.max_wait(objective, now),
            objective,
            avoid: claim.avoid.clone(),
        });
        None
    }

    /// How long a claim may wait here.
    fn max_wait(&self, objective: Millis, now: Millis) -> Millis {
        if self.settings.wait == Wait::None {
            return Millis::ZERO;
        }
        let latency =
            self.usable(now).map(|(_, upstream)| upstream.limit.latency_ms()).fold(0.0, f64::max);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short")]
        let latency = Millis(latency as u64);
        latency
            .until(Millis(objective.0 * ANSWER_PERCENT / 100))
            .max(Millis(objective.0 / MIN_WAIT_DIVISOR))
    }

    fn release(&mut self, router: &Arc<str>, release: &Release, now: Millis) {
        let id = (router.clone(), release.number);
        self.queue.remove(&id);
        let granted = self.grants.get(&id).map(|grant| grant.upstream.clone());
        let first = granted.is_some() || !self.decided.contains_key(&id);
        // Ignores the claim if it arrives after its release.
        self.record_decision(&id, None, now);
        let upstream = granted.unwrap_or_else(|| release.upstream.clone());
        if let Some(upstream) = self.upstreams.get_mut(&upstream).filter(|_| first) {
            let grant = self.grants.get(&id);
            let held = grant.map_or(Millis::ZERO, |grant| grant.granted.until(now));
            let objective = grant.and_then(|grant| grant.objective).unwrap_or(self.objective);
            let full = upstream.in_flight >= upstream.limit.permits(objective, now);
            match release.end {
                Finish::Answered => {
                    upstream.limit.record_answer(Millis(u64::from(release.elapsed_ms)), held, full);
                }
                Finish::Full => {
                    upstream.limit.record_refusal(upstream.in_flight, now);
                    self.saturated_at = now;
                }
                Finish::Failed => upstream.limit.record_failure(now),
                Finish::Unused => {}
            }
        }
        self.remove_grant(&id);
    }

    /// Renews the permits that a router holds. Unknown ones were granted by an earlier owner or
    /// have expired; they are counted again.
    fn renew(&mut self, router: &Arc<str>, held: &Held, now: Millis) {
        for number in &held.numbers {
            let id = (router.clone(), *number);
            if let Some(grant) = self.grants.get_mut(&id) {
                grant.renewed = now;
            } else if !matches!(
                self.decided.get(&id),
                Some((None | Some(ClaimState::Refused(_)), _))
            ) {
                self.insert_grant(id, &held.upstream, None, now);
            }
        }
    }

    fn insert_grant(
        &mut self,
        id: Id,
        upstream: &Arc<str>,
        objective: Option<Millis>,
        now: Millis,
    ) {
        let new = || Upstream { limit: Limit::new(0), listed: false, in_flight: 0 };
        self.upstreams.entry(upstream.clone()).or_insert_with(new).in_flight += 1;
        let upstream = upstream.clone();
        self.grants.insert(id, Grant { upstream, objective, granted: now, renewed: now });
    }

    fn remove_grant(&mut self, id: &Id) {
        let Some(grant) = self.grants.remove(id) else { return };
        if let Some(upstream) = self.upstreams.get_mut(&grant.upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Drops permits that were not renewed, and old decisions.
    fn expire(&mut self, now: Millis) {
        let expired = |(id, grant): (&Id, &Grant)| {
            (grant.renewed.until(now) > PERMIT_TTL).then(|| id.clone())
        };
        for id in self.grants.iter().filter_map(expired).collect::<Vec<_>>() {
            self.remove_grant(&id);
        }
        for retention in [DECISION_RETENTION, Millis(DECISION_RETENTION.0 / 4)] {
            if self.decided.len() > PRUNE_THRESHOLD {
                self.decided.retain(|_, (_, at)| at.until(now) < retention);
            }
        }
    }

    /// Iterates over the listed upstreams that accept requests.
    fn usable(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, &Upstream)> {
        let is_usable = move |upstream: &Upstream| {
            upstream.listed && upstream.limit.permits(self.objective, now) > 0
        };
        self.upstreams.iter().filter(move |(_, upstream)| is_usable(upstream))
    }

    /// The estimated rate of the usable upstreams, in requests per millisecond.
    fn rate_per_ms(&self, now: Millis) -> f64 {
        self.usable(now).map(|(_, upstream)| upstream.limit.rate_per_ms()).sum()
    }

    /// Takes the next claim if it can be granted, with the upstream that has the largest free
    /// fraction among those that the claim does not avoid.
    ///
    /// The permits of an upstream depend on the objective of the claim. Claims of a longer
    /// objective, by which there are more, do not pass one that comes first: it might never get a
    /// permit.
    fn next(&mut self, now: Millis) -> Option<(Waiter, Arc<str>)> {
        let longest = self.queue.longest_objective()?;
        let free = self.free_upstreams(longest, now);
        let waiter = self.queue.peek(|waiter| target(&free, waiter).is_some(), now)?;
        let upstream = if waiter.objective == longest {
            target(&free, waiter)?
        } else {
            target(&self.free_upstreams(waiter.objective, now), waiter)?
        };
        let id = waiter.id.clone();
        let waiter = self.queue.pop(|other| other.id == id, now)?;
        Some((waiter, upstream))
    }

    /// The upstreams with free permits for requests of an objective, and the fraction that is free,
    /// largest first.
    fn free_upstreams(&self, objective: Millis, now: Millis) -> Vec<(Arc<str>, f64)> {
        let starting = self.started.until(now) < STARTUP_PERIOD;
        let free = |(name, upstream): (&Arc<str>, &Upstream)| {
            let permits = upstream.limit.permits(objective, now);
            let permits = if starting { permits.div_ceil(2) } else { permits };
            let free = permits.checked_sub(upstream.in_flight).filter(|free| *free > 0)?;
            #[expect(clippy::cast_precision_loss, reason = "few")]
            let fraction = free as f64 / permits as f64;
            Some((name.clone(), fraction))
        };
        let mut free: Vec<_> = self.usable(now).filter_map(free).collect();
        free.sort_by(|one, other| other.1.total_cmp(&one.1));
        free
    }

    fn grant(&mut self, waiter: Waiter, upstream: &Arc<str>, now: Millis) -> Decision {
        self.insert_grant(waiter.id.clone(), upstream, Some(waiter.objective), now);
        self.decision(waiter, ClaimState::Granted(upstream.clone()), now)
    }

    fn refuse(&mut self, waiter: Waiter, now: Millis) -> Decision {
        let rate = self.rate_per_ms(now);
        let after = self.retries.schedule(waiter.fingerprint, waiter.objective, rate, now);
        let after = u32::try_from(after.0).unwrap_or(u32::MAX);
        self.decision(waiter, ClaimState::Refused(after), now)
    }

    fn queued(&self, id: Id, now: Millis) -> Option<Decision> {
        let waiter = self.queue.get(&id)?;
        let (workspace, age) = (waiter.workspace.clone(), waiter.arrived.until(now));
        Some(Decision {
            router: id.0,
            number: id.1,
            workspace,
            state: ClaimState::Queued,
            waited: age,
        })
    }

    fn decision(&mut self, waiter: Waiter, state: ClaimState, now: Millis) -> Decision {
        self.record_decision(&waiter.id, Some(state.clone()), now);
        let (router, number) = waiter.id;
        let age = waiter.arrived.until(now);
        Decision { router, number, workspace: waiter.workspace, state, waited: age }
    }

    fn record_decision(&mut self, id: &Id, state: Option<ClaimState>, now: Millis) {
        self.decided.insert(id.clone(), (state, now));
    }
}

/// The first upstream that a claim does not avoid.
fn target(free: &[(Arc<str>, f64)], waiter: &Waiter) -> Option<Arc<str>> {
    free.iter().find(|(name, _)| !waiter.avoid.contains(name)).map(|(name, _)| name.clone())
}
