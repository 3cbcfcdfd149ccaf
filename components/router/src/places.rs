//! Places of pools that are short: what this router asks of their owners, and the ledgers of
//! those that it owns.

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

/// How often asks and ledgers are looked at while a pool is short.
const LOOKS: Millis = Millis(5);

/// How often all are told that a pool is short, and for how long that counts.
const TELLS: Millis = Millis(400);
const LASTS: Millis = Millis(1_500);

/// How long who owns a pool, and which upstreams it has, is taken to be as it was.
const KNOWN: Millis = Millis(100);

/// The most decisions in a message, so that it fits a datagram where names are short.
const MOST: usize = 16;

/// Who owns a pool, as this router sees it.
#[derive(Clone, Debug)]
struct Owner {
    name: Arc<str>,
    /// Where it is told; `None` if it is this router.
    address: Option<SocketAddr>,
    at: Millis,
}

/// A pool that this router owns.
#[derive(Debug)]
struct Owned {
    ledger: Issuer,
    /// Where the routers that asked are told.
    routers: HashMap<Arc<str>, SocketAddr>,
    told: Option<Millis>,
    listed: Option<Millis>,
    /// Since when the pool is short no more; what was asked before routers knew is still decided.
    over: Option<Millis>,
}

impl Owned {
    /// What all are to be told of the pool, if that is due.
    fn short(&mut self, core: &Core, pool: &Arc<str>, now: Millis) -> Option<Saturated> {
        let is_over = self.ledger.has_recovered(now);
        let ends = is_over && self.over.is_none();
        if is_over != self.over.is_some() {
            self.over = is_over.then_some(now);
            self.told = None;
        }
        let is_due = self.told.is_none_or(|it| it.until(now) >= TELLS);
        if !ends && (is_over || !is_due) {
            return None;
        }
        self.told = Some(now);
        let lasts = if is_over { Millis::ZERO } else { LASTS };
        Some(Saturated {
            pool: pool.clone(),
            owner: core.settings.name.clone(),
            rate: self.ledger.snapshot(now).rate,
            ttl_ms: u32::try_from(lasts.0).unwrap_or(u32::MAX),
        })
    }
}

/// The places of all pools that are short.
#[derive(Debug, Default)]
pub(crate) struct Places {
    requesters: RefCell<BTreeMap<Arc<str>, Requester>>,
    owned: RefCell<BTreeMap<Arc<str>, Owned>>,
    owners: RefCell<BTreeMap<Arc<str>, Owner>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Resolution>>>,
    wake: Notify,
}

impl Places {
    /// Asks for a place; the answer comes once the owner, or this router in its place, has
    /// decided.
    pub(crate) async fn ask(
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

    /// Gives back a permit, or takes back an ask.
    pub(crate) fn release(
        &self,
        core: &Core,
        pool: &Arc<str>,
        number: u64,
        end: Finish,
        took: Millis,
    ) {
        self.waiting.borrow_mut().remove(&number);
        self.requester(core, pool, |requester| requester.release(number, end, took));
        self.wake.notify_one();
    }

    /// A pool runs short: its owner is told, with an empty message.
    pub(crate) fn runs_short(&self, core: &Core, pool: &Arc<str>) {
        info!("pool runs short of places", kv: { pool = &**pool });
        let router = core.settings.name.clone();
        let claims = Claims { pool: pool.clone(), router, ..Claims::default() };
        self.tell_owner(core, claims);
        self.wake.notify_one();
    }

    /// Another router asks, as this one owns a pool.
    pub(crate) fn hear(&self, core: &Core, claims: &Claims, from: SocketAddr) {
        self.own(core, claims, Some(from));
        self.wake.notify_one();
    }

    /// An owner has decided.
    pub(crate) fn take(&self, core: &Core, verdicts: &Verdicts) {
        for verdict in &verdicts.verdicts {
            self.take_one(core, &verdicts.pool, verdict);
        }
    }

    /// A pool is short, or is no more.
    pub(crate) fn shorten(&self, core: &Core, short: &Saturated) {
        let is_owner = short.owner == self.owner(core, &short.pool).name;
        // An earlier owner does not end what a later one goes on with.
        if short.ttl_ms == 0 && !is_owner {
            return;
        }
        if is_owner {
            self.requester(core, &short.pool, |requester| requester.receive_saturation(short));
        }
        let lasts = Millis(u64::from(short.ttl_ms)).min(LASTS);
        core.apply(Event::Saturated { pool: short.pool.clone(), duration: lasts });
    }

    /// The pools that this router owns, at a glance.
    pub(crate) fn status(&self, now: Millis) -> Vec<serde_json::Value> {
        let owned = self.owned.borrow();
        let one = |(pool, it): (&Arc<str>, &Owned)| {
            let Snapshot { limit, in_flight, waiting, rate } = it.ledger.snapshot(now);
            serde_json::json!({
                "pool": &**pool, "limit": limit, "in_flight": in_flight, "waiting": waiting,
                "answers_per_1000_s": rate,
            })
        };
        owned.iter().map(one).collect()
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

    fn take_one(&self, core: &Core, pool: &Arc<str>, verdict: &Verdict) {
        let answer =
            self.requester(core, pool, |requester| requester.receive(verdict, core.clock.now()));
        if let Some(answer) = answer {
            self.answer(verdict.number, answer);
        }
    }

    /// Hands an answer to its request; one that has ended meanwhile has released its ask.
    fn answer(&self, number: u64, answer: Resolution) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
            let _ = waiting.send(answer);
        }
    }

    /// Whether anything is to be done soon.
    fn is_busy(&self) -> bool {
        !self.owned.borrow().is_empty() || self.requesters.borrow().values().any(|it| !it.is_idle())
    }

    /// Does what is due: asks, decides and tells.
    fn step(&self, core: &Core) {
        let now = core.clock.now();
        for (number, answer) in self.give_up(core, now) {
            core.metrics.belief("place_unanswered");
            self.answer(number, answer);
        }
        let due: Vec<Claims> =
            self.requesters.borrow_mut().values_mut().flat_map(|it| it.take_claims(now)).collect();
        for claims in due {
            self.tell_owner(core, claims);
        }
        let pools: Vec<_> = self.owned.borrow().keys().cloned().collect();
        for pool in pools {
            self.decide(core, &pool, now);
        }
    }

    fn give_up(&self, core: &Core, now: Millis) -> Vec<(u64, Resolution)> {
        let mut requesters = self.requesters.borrow_mut();
        if requesters.values().all(Requester::is_idle) {
            return Vec::new();
        }
        let routers = core.peers().map_or(1, |it| it.count() + 1);
        requesters.values_mut().flat_map(|it| it.expire(routers, now)).collect()
    }

    fn tell_owner(&self, core: &Core, claims: Claims) {
        let owner = self.owner(core, &claims.pool);
        let Some(address) = owner.address else { return self.own(core, &claims, None) };
        send(core, &Frame::Claims(claims), address, "claims");
    }

    /// Who owns a pool now.
    fn owner(&self, core: &Core, pool: &Arc<str>) -> Owner {
        let now = core.clock.now();
        let known = self.owners.borrow().get(pool).cloned();
        if let Some(owner) = known.clone().filter(|it| it.at.until(now) < KNOWN) {
            return owner;
        }
        let routers = core.fleet().routers(now);
        let own = &core.settings.name;
        let first = permits::owner(pool, &routers).filter(|it| it.name != *own);
        let owner = Owner {
            name: first.map_or_else(|| own.clone(), |it| it.name.clone()),
            address: first.and_then(|it| it.hints),
            at: now,
        };
        if known.is_none_or(|it| it.name != owner.name) {
            info!("pool has an owner", kv: { pool = &**pool, owner = &*owner.name });
        }
        self.owners.borrow_mut().insert(pool.clone(), owner.clone());
        owner
    }

    /// Takes a message as the owner of its pool.
    fn own(&self, core: &Core, claims: &Claims, from: Option<SocketAddr>) {
        let now = core.clock.now();
        let told = {
            let mut owned = self.owned.borrow_mut();
            if !owned.contains_key(&claims.pool) && claims.claims.is_empty() && !is_start(claims) {
                // What is left over from a time in which the pool was short.
                return;
            }
            let owned = owned.entry(claims.pool.clone()).or_insert_with(|| {
                info!("pool is short of places", kv: { pool = &*claims.pool });
                core.metrics.belief("pool_short");
                let ledger = Issuer::new(core.settings.routing.places, now);
                Owned { ledger, routers: HashMap::new(), told: None, listed: None, over: None }
            });
            if let Some(from) = from {
                owned.routers.insert(claims.router.clone(), from);
            }
            if claims.claims.is_empty() && is_start(claims) {
                owned.ledger.mark_saturated(now);
            }
            owned.ledger.receive(claims, now)
        };
        self.tell_router(core, &claims.pool, &claims.router, &told);
    }

    /// Decides for a pool that this router owns, and tells.
    fn decide(&self, core: &Core, pool: &Arc<str>, now: Millis) {
        let mut ledgers = self.owned.borrow_mut();
        let Some(owned) = ledgers.get_mut(pool) else { return };
        if owned.listed.is_none_or(|it| it.until(now) >= KNOWN) {
            owned.listed = Some(now);
            owned.ledger.set_upstreams(&core.places_of(pool));
        }
        let lines = owned.ledger.decide(now);
        let short = owned.short(core, pool, now);
        let is_done = owned.over.is_some_and(|it| it.until(now) >= LASTS);
        drop(ledgers);
        if let Some(short) = short {
            if short.ttl_ms == 0 {
                info!("pool is short of places no more", kv: { pool = &**pool });
            }
            self.shorten(core, &short);
            let bytes = core.peers().map_or(0, |it| it.tell(Frame::Saturated(short), now));
            core.metrics.control("short", bytes);
        }
        let mut told: BTreeMap<Arc<str>, Vec<Verdict>> = BTreeMap::new();
        for line in lines {
            log(core, pool, &line);
            let verdict = Verdict { number: line.number, state: line.state };
            told.entry(line.router).or_default().push(verdict);
        }
        for (router, verdicts) in told {
            self.tell_router(core, pool, &router, &verdicts);
        }
        if is_done {
            self.owned.borrow_mut().remove(pool);
        }
    }

    fn tell_router(&self, core: &Core, pool: &Arc<str>, router: &Arc<str>, told: &[Verdict]) {
        if *router == core.settings.name {
            for verdict in told {
                self.take_one(core, pool, verdict);
            }
            return;
        }
        let owned = self.owned.borrow();
        let Some(address) = owned.get(pool).and_then(|it| it.routers.get(router).copied()) else {
            return debug!("a router has no address to be told at", kv: { router = &**router });
        };
        drop(owned);
        for part in told.chunks(MOST) {
            let verdicts = Verdicts { pool: pool.clone(), verdicts: part.to_vec() };
            send(core, &Frame::Verdicts(verdicts), address, "verdicts");
        }
    }
}

fn send(core: &Core, frame: &Frame, address: SocketAddr, kind: &'static str) {
    let bytes = core.peers().map_or(0, |it| it.tell_one(frame, address));
    core.metrics.control(kind, bytes);
}

/// Whether a message says that a pool runs short.
fn is_start(claims: &Claims) -> bool {
    claims.held.is_empty() && claims.releases.is_empty()
}

fn log(core: &Core, pool: &Arc<str>, line: &Decision) {
    let (router, workspace, waited_ms) = (&*line.router, &*line.workspace, line.waited.0);
    match &line.state {
        ClaimState::Granted(upstream) => {
            core.metrics.belief("place_granted");
            info!("place granted", kv: {
                pool = &**pool, router, number = line.number, workspace, upstream = &**upstream, waited_ms,
            });
        }
        ClaimState::Refused(back_ms) => {
            core.metrics.belief("place_refused");
            info!("place refused", kv: {
                pool = &**pool, router, number = line.number, workspace, waited_ms, back_ms = *back_ms,
            });
        }
        ClaimState::Queued => {}
    }
}

/// Asks for places and decides on them, until the process stops.
pub(crate) async fn run(core: Rc<Core>) {
    loop {
        if core.places.is_busy() {
            let _ = tokio::time::timeout(LOOKS.duration(), core.places.wake.notified()).await;
        } else {
            core.places.wake.notified().await;
        }
        core.places.step(&core);
    }
}
