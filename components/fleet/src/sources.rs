//! Where a router reads the store's content from.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use edge::Peer;
use placement::{key, score};

use crate::Roster;
use crate::locality::Locality;
use crate::referrals::Referrals;

/// The number of pollers in a fleet with one failure domain. With several domains each has one, as
/// the others cover its loss.
const SINGLE_DOMAIN_POLLERS: usize = 2;

/// How long a router remains a poller after it became one for lack of a useful answer. Pollers
/// that have lost the store are no longer announced by then, and can't make it step down.
const MIN_POLLER_TIME: Millis = Millis(20_000);

/// The time between the routers that may replace a missing poller, in order of their rank. Long
/// enough for the announcement of a new poller to reach all routers.
const SUCCESSION_INTERVAL: Millis = Millis(2_000);

/// How long a router without any source waits.
const IDLE_PAUSE: Millis = Millis(300);

/// How long enough pollers must rank before a poller until it steps down. Several may have
/// become pollers at the same time.
const SURPLUS_TIMEOUT: Millis = Millis(3_000);

/// How long a router that did not answer is not queried again.
const FAILURE_BACKOFF: Millis = Millis(1_000);

/// How long a router that did not answer counts as failed; its announcement expires by then.
const FAILURE_RETENTION: Millis = Millis(20_000);

/// How long a router that could not answer yet is not queried again.
const NOT_READY_BACKOFF: Millis = Millis(100);

/// How long a router is ranked behind other candidates after its confirmation was stale.
const STALE_RETENTION: Millis = Millis(10_000);

/// How long the first router in rank gets no useful answer before it polls the store. Each further
/// one waits [`FALLBACK_INTERVAL`] longer, which limits the polls of a domain.
const FALLBACK_DELAY: Millis = Millis(500);

/// The time between the polls of a domain's routers while the store does not answer.
const FALLBACK_INTERVAL: Millis = Millis(1_000);

/// How long a started router does not become a poller while others can be queried, as its list
/// of routers may be incomplete.
const STARTUP_TIME: Millis = Millis(3_000);

/// How many possible successors of the pollers may be queried, after all other candidates.
const MAX_SUCCESSORS: usize = 3;

/// Label of the hashes for ranks and query orders, on which routers of all versions must agree.
const HASH_LABEL: &str = "follower";

/// Where to read from next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Poll the store.
    Store,
    /// Query another router.
    Router(Peer),
    /// Wait, as no source is available.
    Pause(Millis),
}

/// Chooses the source of a router, and whether the router is a poller.
#[derive(Debug)]
pub struct Sources {
    own: Peer,
    started: Millis,
    /// Whether this router polls the store and announces that.
    is_poller: bool,
    /// When routers last failed to answer.
    failed_at: BTreeMap<Arc<str>, Millis>,
    /// Until when routers that could not answer yet are not queried.
    not_ready_until: BTreeMap<Arc<str>, Millis>,
    /// When the confirmations of routers were last found to be stale.
    stale_at: BTreeMap<Arc<str>, Millis>,
    referrals: Referrals,
    /// When the store may be polled again after a failure.
    store_retry_at: Millis,
    /// When the first query after the last useful answer began.
    unanswered_since: Option<Millis>,
    /// Since when this domain has had too few pollers.
    shortage_since: Option<Millis>,
    /// Since when enough pollers have ranked before this one.
    surplus_since: Option<Millis>,
    /// Until when this router remains a poller in any case.
    poller_until: Millis,
    /// The direct and indirect subscribers of this router.
    subscribers: BTreeSet<Arc<str>>,
    locality: Locality,
}

impl Sources {
    /// Creates the state of a router that starts at `now`.
    pub fn new(own: Peer, now: Millis) -> Self {
        Self {
            own,
            started: now,
            is_poller: false,
            failed_at: BTreeMap::new(),
            not_ready_until: BTreeMap::new(),
            stale_at: BTreeMap::new(),
            referrals: Referrals::default(),
            store_retry_at: Millis::ZERO,
            unanswered_since: None,
            shortage_since: None,
            surplus_since: None,
            poller_until: Millis::ZERO,
            subscribers: BTreeSet::new(),
            locality: Locality::default(),
        }
    }

    /// Sets the names of the direct and indirect subscribers.
    pub fn set_subscribers(&mut self, subscribers: BTreeSet<Arc<str>>) {
        self.subscribers = subscribers;
    }

    /// Whether this router polls the store regularly.
    pub fn is_poller(&self) -> bool {
        self.is_poller
    }

    /// Makes this router a poller.
    pub fn become_poller(&mut self) {
        self.is_poller = true;
        self.shortage_since = None;
        self.surplus_since = None;
    }

    /// Decides by the known routers whether this one is a poller. Returns whether that has
    /// changed.
    pub fn update_role(&mut self, roster: &mut Roster, now: Millis) -> bool {
        roster.refresh(now);
        let (pollers, required) = (self.local_pollers(roster, now), self.required(roster, now));
        let changes = if self.is_poller {
            self.should_step_down(&pollers, required, now)
        } else {
            self.should_become_poller(&pollers, required, roster, now)
        };
        if changes {
            self.is_poller = !self.is_poller;
            self.shortage_since = None;
            self.surplus_since = None;
        }
        changes
    }

    /// How many pollers this domain needs.
    fn required(&self, roster: &Roster, now: Millis) -> usize {
        let is_remote = |peer: &Peer| {
            peer.domain != self.own.domain
                && !peer.domain.is_empty()
                && !self.is_failed(&peer.name, now)
        };
        if roster.pollers().any(is_remote) { 1 } else { SINGLE_DOMAIN_POLLERS }
    }

    /// The other pollers of this domain that this router can query.
    fn local_pollers(&self, roster: &Roster, now: Millis) -> Vec<Peer> {
        let is_reachable = |peer: &&Peer| !self.is_failed(&peer.name, now) && peer.hints.is_some();
        let is_local = |peer: &&Peer| peer.domain == self.own.domain && peer.name != self.own.name;
        roster.pollers().filter(is_local).filter(is_reachable).cloned().collect()
    }

    /// Whether enough pollers have ranked before this one for [`SURPLUS_TIMEOUT`].
    fn should_step_down(&mut self, pollers: &[Peer], required: usize, now: Millis) -> bool {
        let own = rank(&self.own);
        let before = pollers.iter().filter(|poller| rank(poller) < own).count();
        if before < required || now < self.poller_until {
            self.surplus_since = None;
            return false;
        }
        self.surplus_since.get_or_insert(now).until(now) >= SURPLUS_TIMEOUT
    }

    /// Whether there are too few pollers, and this router is the next in rank.
    fn should_become_poller(
        &mut self,
        pollers: &[Peer],
        required: usize,
        roster: &mut Roster,
        now: Millis,
    ) -> bool {
        if pollers.len() >= required {
            self.shortage_since = None;
            return false;
        }
        if self.started.until(now) < STARTUP_TIME && self.has_reachable_poller(roster, now) {
            self.shortage_since = None;
            return false;
        }
        let since = *self.shortage_since.get_or_insert(now);
        let own = rank(&self.own);
        let is_before = |peer: &Peer| {
            peer.domain == self.own.domain
                && peer.name != self.own.name
                && !pollers.iter().any(|poller| poller.name == peer.name)
                && !self.is_failed(&peer.name, now)
                && rank(peer) < own
        };
        let before = roster.routers(now).filter(|peer| is_before(peer)).count();
        // All missing pollers are replaced at the same time.
        let turn = before / (required - pollers.len());
        since.until(now).0 >= SUCCESSION_INTERVAL.0 * (turn as u64 + 1)
    }

    /// Whether any other poller may be queried, now or soon.
    fn has_reachable_poller(&self, roster: &Roster, now: Millis) -> bool {
        let is_reachable = |peer: &Peer| {
            peer.name != self.own.name && peer.hints.is_some() && !self.is_failed(&peer.name, now)
        };
        roster.pollers().any(is_reachable)
    }

    /// The source to read from at `now`.
    pub fn next(&mut self, roster: &mut Roster, now: Millis) -> Source {
        let store_available = self.store_retry_at <= now;
        if self.is_poller && store_available {
            return Source::Store;
        }
        let since = *self.unanswered_since.get_or_insert(now);
        if store_available && since.until(now) >= self.fallback_delay(roster, now) {
            return Source::Store;
        }
        self.expire(now);
        self.locality.refresh(&self.own, roster, now);
        match self.candidates(roster, now).into_iter().next() {
            Some(peer) => Source::Router(peer),
            None => Source::Pause(IDLE_PAUSE),
        }
    }

    /// Removes outdated records.
    fn expire(&mut self, now: Millis) {
        self.failed_at.retain(|_, at| at.until(now) < FAILURE_RETENTION);
        self.not_ready_until.retain(|_, until| *until > now);
        self.referrals.expire(now);
        self.stale_at.retain(|_, at| at.until(now) < STALE_RETENTION);
    }

    /// The routers that may be queried, without routers of earlier versions, which have no domain.
    ///
    /// They are ordered by group, and within each group by a hash that differs between routers:
    ///
    /// 1. routers of this domain
    /// 2. routers of other domains
    /// 3. pollers of this domain that this router may not return to yet
    /// 4. possible successors of the pollers
    ///
    /// Routers with a stale confirmation come after all others, subscribers of this router last.
    fn candidates(&self, roster: &Roster, now: Millis) -> Vec<Peer> {
        let is_backing_off = |peer: &Peer| {
            self.failed_at.get(&peer.name).is_some_and(|at| at.until(now) < FAILURE_BACKOFF)
        };
        let is_candidate = |peer: &&Peer| {
            peer.name != self.own.name
                && peer.hints.is_some()
                && !peer.domain.is_empty()
                && !is_backing_off(peer)
                && !self.not_ready_until.contains_key(&peer.name)
                && !self.referrals.is_full(&peer.name)
        };
        let seed = key(HASH_LABEL, &self.own.name);
        let weight = |peer: &Peer| score(seed, &peer.name, 1.0);
        let mut pollers: Vec<_> = roster.pollers().filter(is_candidate).cloned().collect();
        pollers.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
        let mut candidates: Vec<_> =
            self.referrals.candidates().filter(is_candidate).cloned().collect();
        candidates.extend(pollers);
        candidates.sort_by_key(|peer| self.locality.distance(&self.own, peer, roster, now));
        // Routers that have just replaced failed pollers may not be announced yet.
        candidates.extend(self.successors(roster).into_iter().filter(|peer| is_candidate(&peer)));
        let demotion = |peer: &Peer| {
            (self.subscribers.contains(&peer.name), self.stale_at.get(&peer.name).copied())
        };
        candidates.sort_by_key(demotion);
        candidates
    }

    /// The routers of this domain that are next in rank to become pollers.
    fn successors(&self, roster: &Roster) -> Vec<Peer> {
        let may_succeed =
            |peer: &&Peer| peer.domain == self.own.domain && !roster.is_announced(&peer.name);
        let mut successors: Vec<_> = roster.known().filter(may_succeed).cloned().collect();
        successors.sort_by_key(rank);
        successors.truncate(MAX_SUCCESSORS);
        successors
    }

    /// How long this router must have got no useful answer before it polls the store.
    fn fallback_delay(&self, roster: &mut Roster, now: Millis) -> Millis {
        let own = rank(&self.own);
        let is_before = |peer: &Peer| peer.domain == self.own.domain && rank(peer) < own;
        let before = roster.routers(now).filter(|peer| is_before(peer)).count();
        FALLBACK_DELAY + Millis(FALLBACK_INTERVAL.0 * before as u64)
    }

    /// Whether a router has recently failed to answer.
    fn is_failed(&self, name: &str, now: Millis) -> bool {
        self.failed_at.get(name).is_some_and(|at| at.until(now) < FAILURE_RETENTION)
    }

    /// Records an answer with a recent enough confirmation.
    pub fn record_success(&mut self, name: &str) {
        self.unanswered_since = None;
        self.locality.set_source(name);
        self.referrals.record_success();
        self.failed_at.remove(name);
        self.stale_at.remove(name);
    }

    /// Records an answer of the store. A router that polled it for lack of a useful answer
    /// becomes a poller; returns whether it has.
    pub fn record_store_success(&mut self, now: Millis) -> bool {
        self.store_retry_at = Millis::ZERO;
        self.unanswered_since = None;
        self.locality.clear_source();
        let begins = !self.is_poller;
        if begins {
            self.become_poller();
            self.poller_until = now + MIN_POLLER_TIME;
        }
        begins
    }

    /// Records that the store did not answer, and blocks polls for `pause`, or longer if this
    /// router is no poller, so that the others of its domain poll in turn.
    pub fn record_store_failure(&mut self, pause: Millis, roster: &mut Roster, now: Millis) {
        let is_local = |peer: &Peer| peer.domain == self.own.domain;
        let count = roster.routers(now).filter(|peer| is_local(peer)).count();
        let turns =
            if self.is_poller { Millis::ZERO } else { Millis(FALLBACK_INTERVAL.0 * count as u64) };
        self.store_retry_at = now + pause.max(turns);
    }

    /// Records that a router did not answer.
    pub fn record_failure(&mut self, name: &Arc<str>, now: Millis) {
        self.failed_at.insert(name.clone(), now);
        self.locality.remove_source(name);
        self.referrals.record_failure(name, now);
    }

    /// Records an answer with a stale confirmation.
    pub fn record_stale(&mut self, name: &Arc<str>, now: Millis) {
        self.failed_at.remove(name);
        self.stale_at.insert(name.clone(), now);
        self.locality.remove_source(name);
        self.referrals.record_failure(name, now);
    }

    /// Records that router `name` has referred this one to `others`. If there are none, it can't
    /// answer yet, as it has just started or is behind, and is queried again soon.
    pub fn record_referral(&mut self, name: &Arc<str>, mut others: Vec<Peer>, now: Millis) {
        self.failed_at.remove(name);
        self.locality.remove_source(name);
        if others.is_empty() {
            self.not_ready_until.insert(name.clone(), now + NOT_READY_BACKOFF);
            return self.referrals.record_failure(name, now);
        }
        let seed = key(HASH_LABEL, &self.own.name);
        let weight = |peer: &Peer| score(seed, &peer.name, 1.0);
        others.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
        others.sort_by_key(|peer| self.failed_at.contains_key(&peer.name));
        self.referrals.record(name, others, now);
    }
}

/// The sort key by which routers become pollers, the strongest first; all routers compute the same.
fn rank(peer: &Peer) -> (std::cmp::Reverse<u32>, u64) {
    (std::cmp::Reverse(peer.strength), key(HASH_LABEL, &peer.name))
}
