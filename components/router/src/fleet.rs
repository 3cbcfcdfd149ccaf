//! The other routers of the fleet, and the state kept for subscribers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::{Announcement, Batch, Fact, Peer, Revision};
use fleet::{AnswerCache, Mirror, Neighbours, Roster, Source, Sources, Subscribers};
use tokio::sync::watch;

/// The fleet as seen by this router.
#[derive(Debug)]
pub(crate) struct Fleet {
    own: Peer,
    mirror: RefCell<Mirror>,
    roster: RefCell<Roster>,
    sources: RefCell<Sources>,
    subscribers: RefCell<Subscribers>,
    source: RefCell<Option<Peer>>,
    answers: RefCell<AnswerCache>,
    /// The largest number of routers counted so far.
    max_routers: Cell<usize>,
    /// Open connections of other routers.
    connections: Cell<usize>,
    /// Counts updates, to wake waiting queries.
    updates: watch::Sender<u64>,
    /// Whether this router polls the store itself and announces that.
    poller: watch::Sender<bool>,
}

impl Fleet {
    /// Creates the state of the router `own` at `now`, without any other routers.
    pub(crate) fn new(own: Peer, now: Millis) -> Self {
        Self {
            sources: RefCell::new(Sources::new(own.clone(), now)),
            subscribers: RefCell::new(Subscribers::new(own.name.clone())),
            own,
            mirror: RefCell::default(),
            roster: RefCell::default(),
            source: RefCell::default(),
            answers: RefCell::default(),
            max_routers: Cell::new(0),
            connections: Cell::new(0),
            updates: watch::Sender::default(),
            poller: watch::Sender::default(),
        }
    }

    /// Makes this router a poller.
    pub(crate) fn become_poller(&self) {
        self.sources.borrow_mut().become_poller();
        self.poller.send_replace(true);
    }

    /// Whether this router polls the store.
    pub(crate) fn is_poller(&self) -> bool {
        self.sources.borrow().is_poller()
    }

    /// A receiver for changes of [`Self::is_poller`].
    pub(crate) fn poller_changes(&self) -> watch::Receiver<bool> {
        self.poller.subscribe()
    }

    /// Decides whether this router polls the store; returns whether that changed.
    pub(crate) fn update_role(&self, now: Millis) -> bool {
        let changed = self.sources.borrow_mut().update_role(&mut self.roster.borrow_mut(), now);
        if changed {
            self.poller.send_replace(self.is_poller());
        }
        changed
    }

    /// The next source to ask.
    pub(crate) fn next_source(&self, now: Millis) -> Source {
        let subscribers = self.subscribers(now).into_iter().map(|peer| peer.name).collect();
        self.sources.borrow_mut().set_subscribers(subscribers);
        self.sources.borrow_mut().next(&mut self.roster.borrow_mut(), now)
    }

    /// The candidate sources.
    pub(crate) fn sources(&self) -> std::cell::RefMut<'_, Sources> {
        self.sources.borrow_mut()
    }

    /// Records an answer of the store; returns whether this router became a poller.
    pub(crate) fn record_store_success(&self, now: Millis) -> bool {
        let became_poller = self.sources.borrow_mut().record_store_success(now);
        if became_poller {
            self.poller.send_replace(true);
        }
        became_poller
    }

    /// Records a failure of the store, which may be polled again after `backoff`.
    pub(crate) fn record_store_failure(&self, backoff: Millis, now: Millis) {
        self.sources.borrow_mut().record_store_failure(backoff, &mut self.roster.borrow_mut(), now);
    }

    /// The announced routers.
    pub(crate) fn roster(&self) -> std::cell::RefMut<'_, Roster> {
        self.roster.borrow_mut()
    }

    /// All routers known at `now`, including this one and its subscribers.
    pub(crate) fn routers(&self, now: Millis) -> BTreeMap<Arc<str>, Peer> {
        let mut roster = self.roster.borrow_mut();
        let known = roster.routers(now).cloned();
        let own = std::iter::once(self.own.clone()).chain(self.subscribers(now));
        let routers: BTreeMap<_, _> =
            known.chain(own).map(|peer| (peer.name.clone(), peer)).collect();
        self.max_routers.set(self.max_routers.get().max(roster.max_routers()).max(routers.len()));
        routers
    }

    /// The largest number of routers counted by this router or a poller.
    pub(crate) fn max_routers(&self) -> usize {
        self.max_routers.get()
    }

    /// Whether this router writes for the whole fleet: the first poller by name does.
    pub(crate) fn is_writer(&self) -> bool {
        let roster = self.roster.borrow();
        let first = roster.pollers().map(|peer| &peer.name).min();
        self.is_poller() && first.is_none_or(|name| *name >= self.own.name)
    }

    /// This router's announcement.
    pub(crate) fn announcement(&self, now: Millis) -> Announcement {
        let subscribers = self.subscribers(now);
        Announcement {
            router: self.own.clone(),
            hearers: subscribers,
            most: self.max_routers.get(),
        }
    }

    /// Direct and indirect subscribers.
    fn subscribers(&self, now: Millis) -> Vec<Peer> {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.expire(now);
        subscribers.all()
    }

    /// This router and its subscribers, as named in queries.
    pub(crate) fn self_and_subscribers(&self, now: Millis) -> Vec<Peer> {
        let mut routers = self.subscribers(now);
        routers.insert(0, self.own.clone());
        routers
    }

    /// Records a query and the subscribers of its sender. Returns whether it is answered.
    pub(crate) fn register(&self, routers: Vec<Peer>, now: Millis) -> bool {
        self.subscribers.borrow_mut().register(routers, now)
    }

    /// Records the current source; `None` is the store.
    pub(crate) fn set_source(&self, source: Option<&Peer>) {
        self.source.replace(source.cloned());
    }

    /// The routers to exchange hints with, in fleets too large for broadcasts.
    pub(crate) fn neighbours(&self, now: Millis) -> Neighbours {
        let source = self.source.borrow().clone();
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.expire(now);
        let subscribers = subscribers.direct().cloned().collect();
        let roster = self.roster.borrow();
        let is_other = |peer: &&Peer| peer.name != self.own.name;
        let pollers = if self.is_poller() && source.is_none() {
            roster.pollers().filter(is_other).cloned().collect()
        } else {
            Vec::new()
        };
        Neighbours { source, subscribers, pollers }
    }

    /// The routers that queries are referred to.
    pub(crate) fn referral_targets(&self) -> Vec<Peer> {
        self.subscribers.borrow().relays().cloned().collect()
    }

    /// Records a batch for subscribers; see [`Mirror::apply`].
    pub(crate) fn record(
        &self,
        batch: &Batch,
        full: bool,
        recovers: bool,
        incomplete: bool,
        now: Millis,
    ) {
        if full || !batch.facts.is_empty() {
            self.answers.borrow_mut().clear();
        }
        self.mirror.borrow_mut().apply(batch, full, recovers, incomplete, now);
    }

    /// Wakes queries that wait for changes.
    pub(crate) fn notify(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// A receiver for updates.
    pub(crate) fn updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// The current revision.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.mirror.borrow().position()
    }

    /// Whether there are changes after `revision`.
    pub(crate) fn has_changes_since(&self, revision: Revision) -> bool {
        self.mirror.borrow().has_changes_since(revision)
    }

    /// The changes after `after`, or everything if `after` is `None`.
    fn facts(&self, after: Option<Revision>, now: Millis) -> Vec<Fact> {
        let mirror = self.mirror.borrow();
        if let Some(changes) = after.and_then(|revision| mirror.changes_since(revision, now)) {
            return changes;
        }
        let mut facts = mirror.all(now);
        facts.extend(self.own_announcement(&facts, now));
        facts
    }

    /// This router's own announcement, if it polls the store and `facts` lack it. Subscribers would
    /// otherwise treat this router as gone.
    fn own_announcement(&self, facts: &[Fact], now: Millis) -> Option<Fact> {
        let is_own =
            |fact: &Fact| matches!(fact, Fact::Router(known) if known.router.name == self.own.name);
        let is_missing = self.is_poller() && !facts.iter().any(is_own);
        is_missing.then(|| Fact::Router(self.announcement(now)))
    }

    /// The packed changes after `after`, or everything; returns whether it is everything. Answers
    /// are cached, since many routers query for the same changes.
    ///
    /// # Errors
    ///
    /// A fact can't be encoded.
    pub(crate) fn packed_changes(
        &self,
        after: Option<Revision>,
        now: Millis,
    ) -> Result<(Bytes, bool), wire::Error> {
        let revision = self.revision().unwrap_or_default();
        let after = after.filter(|revision| self.mirror.borrow().covers(*revision));
        let full = after.is_none();
        let mut answers = self.answers.borrow_mut();
        if let Some(answer) = answers.get(after, revision, now) {
            return Ok((answer, full));
        }
        let facts = self.facts(after, now);
        let answer = if facts.is_empty() { Bytes::new() } else { wire::pack(&facts)? };
        answers.insert(after, revision, answer.clone(), now);
        Ok((answer, full))
    }

    /// Updates the metrics of the state kept for other routers.
    pub(crate) fn record_metrics(&self, metrics: &telemetry::Metrics) {
        let (facts, removals) = self.mirror.borrow().counts();
        metrics.set_state_size("facts", facts);
        metrics.set_state_size("removals", removals);
        metrics.set_state_size("answer_bytes", self.answers.borrow().bytes());
        metrics.set_state_size("hearers", self.subscribers.borrow().all().len());
        metrics.set_state_size("router_connections", self.connections.get());
    }

    pub(crate) fn set_connections(&self, count: usize) {
        self.connections.set(count);
    }

    /// Caches a full answer of another router, for queries of others.
    pub(crate) fn cache_packed(&self, facts: Bytes, now: Millis) {
        let Some(revision) = self.revision().filter(|_| !self.is_poller()) else { return };
        self.answers.borrow_mut().insert(None, revision, facts, now);
    }
}
