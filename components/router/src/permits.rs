//! Permits of saturated pools: the claims of this router, and the issuers for the pools that it
//! owns.
//!
//! Metrics, settings and `/status` say `place` for a permit and `short` for saturated.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use clock::Millis;
use permits::{Decision, Issuer, Requester, Resolution, Snapshot};
use routing::Event;
use spdlog::{debug, info};
use tokio::sync::{Notify, oneshot};
use wire::{Claim, ClaimState, Claims, Finish, Frame, Saturated, Verdict, Verdicts};

use crate::core::Core;

/// How often claims and issuers are processed while a pool is saturated.
const STEP_INTERVAL: Millis = Millis(5);

/// How often a saturation is broadcast.
const BROADCAST_INTERVAL: Millis = Millis(400);

/// How long a broadcast is valid, and how long an ended saturation is kept.
const SATURATION_TTL: Millis = Millis(1_500);

/// How long the owner and the upstreams of a pool are cached.
const CACHE_TTL: Millis = Millis(100);

/// The most verdicts in a message; fits a datagram if names are short.
const MAX_VERDICTS: usize = 16;

/// The owner of a pool, as seen by this router.
#[derive(Clone, Debug)]
struct PoolOwner {
    name: Arc<str>,
    /// `None` if this router is the owner.
    address: Option<SocketAddr>,
    cached_at: Millis,
}

/// A pool owned by this router.
#[derive(Debug)]
struct OwnedPool {
    issuer: Issuer,
    /// Addresses of the routers with claims.
    routers: HashMap<Arc<str>, SocketAddr>,
    broadcast_at: Option<Millis>,
    /// When the issuer last got the upstreams of the pool.
    upstreams_set_at: Option<Millis>,
    /// When the saturation ended. Claims of routers that have not received its end
    /// are still decided.
    recovered_at: Option<Millis>,
}

impl OwnedPool {
    /// The broadcast about the pool's saturation, if one is due.
    fn saturation(&mut self, core: &Core, pool: &Arc<str>, now: Millis) -> Option<Saturated> {
        let has_recovered = self.issuer.has_recovered(now);
        let just_recovered = has_recovered && self.recovered_at.is_none();
        if has_recovered != self.recovered_at.is_some() {
            self.recovered_at = has_recovered.then_some(now);
            self.broadcast_at = None;
        }
        let is_due = self.broadcast_at.is_none_or(|at| at.until(now) >= BROADCAST_INTERVAL);
        if !just_recovered && (has_recovered || !is_due) {
            return None;
        }
        self.broadcast_at = Some(now);
        let duration = if has_recovered { Millis::ZERO } else { SATURATION_TTL };
        Some(Saturated {
            pool: pool.clone(),
            owner: core.settings.name.clone(),
            rate: self.issuer.snapshot(now).rate,
            ttl_ms: u32::try_from(duration.0).unwrap_or(u32::MAX),
        })
    }
}

/// Permits of all saturated pools.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    requesters: RefCell<BTreeMap<Arc<str>, Requester>>,
    owned: RefCell<BTreeMap<Arc<str>, OwnedPool>>,
    owners: RefCell<BTreeMap<Arc<str>, PoolOwner>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Resolution>>>,
    wake: Notify,
}

impl Permits {
    /// Claims a permit, and waits for the verdict of the owner or the requester's timeout.
    pub(crate) async fn claim(
        &self,
        core: &Core,
        pool: &Arc<str>,
        claim: Claim,
    ) -> Option<Resolution> {
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(claim.number, sender);
        self.requester(core, pool, |requester| requester.request(claim, core.clock.now()));
        self.wake.notify_one();
        answer.await.ok()
    }

    /// Releases a permit, or withdraws a claim.
    pub(crate) fn release(
        &self,
        core: &Core,
        pool: &Arc<str>,
        number: u64,
        end: Finish,
        elapsed: Millis,
    ) {
        self.waiting.borrow_mut().remove(&number);
        self.requester(core, pool, |requester| requester.release(number, end, elapsed));
        self.wake.notify_one();
    }

    /// Notifies the owner that a pool is saturated, with an empty message.
    pub(crate) fn report_saturation(&self, core: &Core, pool: &Arc<str>) {
        info!("pool is saturated, notifying its owner", kv: { pool = &**pool });
        let router = core.settings.name.clone();
        let claims = Claims { pool: pool.clone(), router, ..Claims::default() };
        self.send_to_owner(core, claims);
        self.wake.notify_one();
    }

    /// Handles claims of another router on a pool owned by this one.
    pub(crate) fn receive_claims(&self, core: &Core, claims: &Claims, from: SocketAddr) {
        self.handle_claims(core, claims, Some(from));
        self.wake.notify_one();
    }

    /// Handles the verdicts of an owner.
    pub(crate) fn receive_verdicts(&self, core: &Core, verdicts: &Verdicts) {
        for verdict in &verdicts.verdicts {
            self.apply_verdict(core, &verdicts.pool, verdict);
        }
    }

    /// Handles the start, renewal or end of a saturation.
    pub(crate) fn receive_saturation(&self, core: &Core, report: &Saturated) {
        let is_owner = report.owner == self.owner(core, &report.pool).name;
        // A former owner must not end a saturation that its successor continues.
        if report.ttl_ms == 0 && !is_owner {
            return;
        }
        if is_owner {
            self.requester(core, &report.pool, |requester| requester.receive_saturation(report));
        }
        let duration = Millis(u64::from(report.ttl_ms)).min(SATURATION_TTL);
        core.apply(Event::Saturated { pool: report.pool.clone(), duration });
    }

    /// A snapshot of the pools owned by this router, for `/status`.
    pub(crate) fn snapshot(&self, now: Millis) -> Vec<serde_json::Value> {
        let owned = self.owned.borrow();
        let to_json = |(pool, owned): (&Arc<str>, &OwnedPool)| {
            let Snapshot { limit, in_flight, waiting, rate } = owned.issuer.snapshot(now);
            serde_json::json!({
                "pool": &**pool, "limit": limit, "in_flight": in_flight, "waiting": waiting,
                "answers_per_1000_s": rate,
            })
        };
        owned.iter().map(to_json).collect()
    }

    fn requester<T>(
        &self,
        core: &Core,
        pool: &Arc<str>,
        act: impl FnOnce(&mut Requester) -> T,
    ) -> T {
        let mut requesters = self.requesters.borrow_mut();
        let new = || Requester::new(pool.clone(), core.settings.name.clone());
        act(requesters.entry(pool.clone()).or_insert_with(new))
    }

    fn apply_verdict(&self, core: &Core, pool: &Arc<str>, verdict: &Verdict) {
        let answer =
            self.requester(core, pool, |requester| requester.receive(verdict, core.clock.now()));
        if let Some(answer) = answer {
            self.resolve(verdict.number, answer);
        }
    }

    /// Passes an answer to its request. A request that has ended has already withdrawn its claim.
    fn resolve(&self, number: u64, answer: Resolution) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
            let _ = waiting.send(answer);
        }
    }

    /// Whether any claim or issuer needs processing.
    fn is_busy(&self) -> bool {
        !self.owned.borrow().is_empty()
            || self.requesters.borrow().values().any(|requester| !requester.is_idle())
    }

    /// Processes due timeouts, claims and decisions.
    fn step(&self, core: &Core) {
        let now = core.clock.now();
        for (number, answer) in self.expire(core, now) {
            core.metrics.record_change("place_unanswered");
            self.resolve(number, answer);
        }
        let due: Vec<Claims> = self
            .requesters
            .borrow_mut()
            .values_mut()
            .flat_map(|requester| requester.take_claims(now))
            .collect();
        for claims in due {
            self.send_to_owner(core, claims);
        }
        let pools: Vec<_> = self.owned.borrow().keys().cloned().collect();
        for pool in pools {
            self.decide(core, &pool, now);
        }
    }

    fn expire(&self, core: &Core, now: Millis) -> Vec<(u64, Resolution)> {
        let mut requesters = self.requesters.borrow_mut();
        if requesters.values().all(Requester::is_idle) {
            return Vec::new();
        }
        let routers = core.peers().map_or(1, |peers| peers.count() + 1);
        requesters.values_mut().flat_map(|requester| requester.expire(routers, now)).collect()
    }

    fn send_to_owner(&self, core: &Core, claims: Claims) {
        let owner = self.owner(core, &claims.pool);
        let Some(address) = owner.address else { return self.handle_claims(core, &claims, None) };
        send(core, &Frame::Claims(claims), address, "claims");
    }

    /// The current owner of a pool.
    fn owner(&self, core: &Core, pool: &Arc<str>) -> PoolOwner {
        let now = core.clock.now();
        let known = self.owners.borrow().get(pool).cloned();
        if let Some(owner) = known.clone().filter(|owner| owner.cached_at.until(now) < CACHE_TTL) {
            return owner;
        }
        let routers = core.fleet().routers(now);
        let own = &core.settings.name;
        let remote_owner = permits::owner(pool, &routers).filter(|owner| owner.name != *own);
        let owner = PoolOwner {
            name: remote_owner.map_or_else(|| own.clone(), |owner| owner.name.clone()),
            address: remote_owner.and_then(|owner| owner.hints),
            cached_at: now,
        };
        if known.is_none_or(|previous| previous.name != owner.name) {
            info!("pool has an owner", kv: { pool = &**pool, owner = &*owner.name });
        }
        self.owners.borrow_mut().insert(pool.clone(), owner.clone());
        owner
    }

    /// Handles a message as the owner of its pool.
    fn handle_claims(&self, core: &Core, claims: &Claims, from: Option<SocketAddr>) {
        let now = core.clock.now();
        let verdicts = {
            let mut owned = self.owned.borrow_mut();
            if !owned.contains_key(&claims.pool)
                && claims.claims.is_empty()
                && !has_no_permits(claims)
            {
                // The message belongs to a saturation that has ended.
                return;
            }
            let owned = owned.entry(claims.pool.clone()).or_insert_with(|| {
                info!("pool is saturated", kv: { pool = &*claims.pool });
                core.metrics.record_change("pool_short");
                let issuer = Issuer::new(core.settings.routing.places, now);
                OwnedPool {
                    issuer,
                    routers: HashMap::new(),
                    broadcast_at: None,
                    upstreams_set_at: None,
                    recovered_at: None,
                }
            });
            if let Some(from) = from {
                owned.routers.insert(claims.router.clone(), from);
            }
            if claims.claims.is_empty() && has_no_permits(claims) {
                owned.issuer.mark_saturated(now);
            }
            owned.issuer.receive(claims, now)
        };
        self.send_verdicts(core, &claims.pool, &claims.router, &verdicts);
    }

    /// Decides claims on a pool owned by this router, and sends the verdicts.
    fn decide(&self, core: &Core, pool: &Arc<str>, now: Millis) {
        let mut pools = self.owned.borrow_mut();
        let Some(owned) = pools.get_mut(pool) else { return };
        if owned.upstreams_set_at.is_none_or(|at| at.until(now) >= CACHE_TTL) {
            owned.upstreams_set_at = Some(now);
            owned.issuer.set_upstreams(&core.available_slots(pool));
        }
        let decisions = owned.issuer.decide(now);
        let saturation = owned.saturation(core, pool, now);
        let is_done = owned
            .recovered_at
            .is_some_and(|recovered_at| recovered_at.until(now) >= SATURATION_TTL);
        drop(pools);
        if let Some(saturation) = saturation {
            if saturation.ttl_ms == 0 {
                info!("pool is no longer saturated", kv: { pool = &**pool });
            }
            self.receive_saturation(core, &saturation);
            let bytes =
                core.peers().map_or(0, |peers| peers.broadcast(Frame::Saturated(saturation), now));
            core.metrics.record_control("short", bytes);
        }
        let mut verdicts: BTreeMap<Arc<str>, Vec<Verdict>> = BTreeMap::new();
        for decision in decisions {
            log_decision(core, pool, &decision);
            let verdict = Verdict { number: decision.number, state: decision.state };
            verdicts.entry(decision.router).or_default().push(verdict);
        }
        for (router, verdicts) in verdicts {
            self.send_verdicts(core, pool, &router, &verdicts);
        }
        if is_done {
            self.owned.borrow_mut().remove(pool);
        }
    }

    fn send_verdicts(&self, core: &Core, pool: &Arc<str>, router: &Arc<str>, verdicts: &[Verdict]) {
        if *router == core.settings.name {
            for verdict in verdicts {
                self.apply_verdict(core, pool, verdict);
            }
            return;
        }
        let owned = self.owned.borrow();
        let Some(address) = owned.get(pool).and_then(|entry| entry.routers.get(router).copied())
        else {
            return debug!("no address known for router", kv: { router = &**router });
        };
        drop(owned);
        for part in verdicts.chunks(MAX_VERDICTS) {
            let verdicts = Verdicts { pool: pool.clone(), verdicts: part.to_vec() };
            send(core, &Frame::Verdicts(verdicts), address, "verdicts");
        }
    }
}

fn send(core: &Core, frame: &Frame, address: SocketAddr, kind: &'static str) {
    let bytes = core.peers().map_or(0, |peers| peers.send(frame, address));
    core.metrics.record_control(kind, bytes);
}

/// Whether a message has neither held permits nor releases. Without claims, it reports a
/// saturation.
fn has_no_permits(claims: &Claims) -> bool {
    claims.held.is_empty() && claims.releases.is_empty()
}

fn log_decision(core: &Core, pool: &Arc<str>, decision: &Decision) {
    let (router, workspace, waited_ms) =
        (&*decision.router, &*decision.workspace, decision.waited.0);
    match &decision.state {
        ClaimState::Granted(upstream) => {
            core.metrics.record_change("place_granted");
            info!("permit granted", kv: {
                pool = &**pool, router, number = decision.number, workspace,
                upstream = &**upstream, waited_ms,
            });
        }
        ClaimState::Refused(retry_after_ms) => {
            core.metrics.record_change("place_refused");
            info!("permit refused", kv: {
                pool = &**pool, router, number = decision.number, workspace,
                waited_ms, back_ms = *retry_after_ms,
            });
        }
        ClaimState::Queued => {}
    }
}

/// Processes claims and issuers until shutdown.
pub(crate) async fn run(core: Rc<Core>) {
    loop {
        if core.permits.is_busy() {
            let _ =
                tokio::time::timeout(STEP_INTERVAL.duration(), core.permits.wake.notified()).await;
        } else {
            core.permits.wake.notified().await;
        }
        core.permits.step(&core);
    }
}
