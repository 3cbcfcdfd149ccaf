//! What this router knows of the others, and what it keeps for those that hear from it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::{Announcement, Batch, Fact, Peer, Revision};
use fleet::{AnswerCache, Mirror, Neighbours, Roster, Source, Sources, Subscribers};
use tokio::sync::watch;

/// The other routers as this one sees them.
#[derive(Debug)]
pub(crate) struct Fleet {
    own: Peer,
    mirror: RefCell<Mirror>,
    roster: RefCell<Roster>,
    sources: RefCell<Sources>,
    hearers: RefCell<Subscribers>,
    source: RefCell<Option<Peer>>,
    answers: RefCell<AnswerCache>,
    /// The most routers that were counted.
    most: Cell<usize>,
    /// How many connections of other routers stand.
    connections: Cell<usize>,
    /// Counts what was learnt, so that those who wait for news wake.
    learnt: watch::Sender<u64>,
    /// Whether this router follows the store by itself, and announces that.
    follows: watch::Sender<bool>,
}

impl Fleet {
    /// A router that knows of no other at `now`.
    pub(crate) fn new(own: Peer, now: Millis) -> Self {
        Self {
            sources: RefCell::new(Sources::new(own.clone(), now)),
            hearers: RefCell::new(Subscribers::new(own.name.clone())),
            own,
            mirror: RefCell::default(),
            roster: RefCell::default(),
            source: RefCell::default(),
            answers: RefCell::default(),
            most: Cell::new(0),
            connections: Cell::new(0),
            learnt: watch::Sender::default(),
            follows: watch::Sender::default(),
        }
    }

    /// Has this router follow the store.
    pub(crate) fn follow(&self) {
        self.sources.borrow_mut().become_poller();
        self.follows.send_replace(true);
    }

    /// Whether this router follows the store.
    pub(crate) fn follows(&self) -> bool {
        self.sources.borrow().is_poller()
    }

    /// Tells when that changes.
    pub(crate) fn follows_changes(&self) -> watch::Receiver<bool> {
        self.follows.subscribe()
    }

    /// Decides whether this router follows the store. Returns whether that has changed.
    pub(crate) fn decide(&self, now: Millis) -> bool {
        let changed = self.sources.borrow_mut().update_role(&mut self.roster.borrow_mut(), now);
        if changed {
            self.follows.send_replace(self.follows());
        }
        changed
    }

    /// Where to look next.
    pub(crate) fn next(&self, now: Millis) -> Source {
        let hearers = self.hearers(now).into_iter().map(|it| it.name).collect();
        self.sources.borrow_mut().set_subscribers(hearers);
        self.sources.borrow_mut().next(&mut self.roster.borrow_mut(), now)
    }

    /// Changes what is known of those that may be asked.
    pub(crate) fn sources(&self) -> std::cell::RefMut<'_, Sources> {
        self.sources.borrow_mut()
    }

    /// The store answered. Returns whether this router follows it from now on.
    pub(crate) fn store_answered(&self, now: Millis) -> bool {
        let begins = self.sources.borrow_mut().record_store_success(now);
        if begins {
            self.follows.send_replace(true);
        }
        begins
    }

    /// The store did not answer; it may be asked again after `pause`.
    pub(crate) fn store_failed(&self, pause: Millis, now: Millis) {
        self.sources.borrow_mut().record_store_failure(pause, &mut self.roster.borrow_mut(), now);
    }

    /// Which routers there are.
    pub(crate) fn roster(&self) -> std::cell::RefMut<'_, Roster> {
        self.roster.borrow_mut()
    }

    /// All routers known at `now`, this one and those that hear from it included.
    pub(crate) fn routers(&self, now: Millis) -> BTreeMap<Arc<str>, Peer> {
        let mut roster = self.roster.borrow_mut();
        let known = roster.routers(now).cloned();
        let own = std::iter::once(self.own.clone()).chain(self.hearers(now));
        let routers: BTreeMap<_, _> = known.chain(own).map(|it| (it.name.clone(), it)).collect();
        self.most.set(self.most.get().max(roster.max_routers()).max(routers.len()));
        routers
    }

    /// The most routers that this one or a follower has counted.
    pub(crate) fn most(&self) -> usize {
        self.most.get()
    }

    /// Whether this router writes for the whole fleet: the first by name of those that follow the
    /// store.
    pub(crate) fn writes(&self) -> bool {
        let roster = self.roster.borrow();
        let first = roster.pollers().map(|it| &it.name).min();
        self.follows() && first.is_none_or(|it| *it >= self.own.name)
    }

    /// What this router announces.
    pub(crate) fn announcement(&self, now: Millis) -> Announcement {
        let hearers = self.hearers(now);
        Announcement { router: self.own.clone(), hearers, most: self.most.get() }
    }

    /// The routers that hear from this one, also by way of others.
    fn hearers(&self, now: Millis) -> Vec<Peer> {
        let mut hearers = self.hearers.borrow_mut();
        hearers.expire(now);
        hearers.all()
    }

    /// This router and those that hear from it, as it tells when it asks.
    pub(crate) fn named(&self, now: Millis) -> Vec<Peer> {
        let mut named = self.hearers(now);
        named.insert(0, self.own.clone());
        named
    }

    /// Notes that a router asks, with those that hear from it. Returns whether it is answered.
    pub(crate) fn meet(&self, routers: Vec<Peer>, now: Millis) -> bool {
        self.hearers.borrow_mut().register(routers, now)
    }

    /// From whom this router hears; `None` while it looks at the store.
    pub(crate) fn set_source(&self, source: Option<&Peer>) {
        self.source.replace(source.cloned());
    }

    /// The routers that this one exchanges hints with, where there are too many to tell all.
    pub(crate) fn neighbours(&self, now: Millis) -> Neighbours {
        let source = self.source.borrow().clone();
        let mut hearers = self.hearers.borrow_mut();
        hearers.expire(now);
        let hearers = hearers.direct().cloned().collect();
        let roster = self.roster.borrow();
        let is_other = |it: &&Peer| it.name != self.own.name;
        let followers = if self.follows() && source.is_none() {
            roster.pollers().filter(is_other).cloned().collect()
        } else {
            Vec::new()
        };
        Neighbours { source, subscribers: hearers, pollers: followers }
    }

    /// The routers to which others are referred.
    pub(crate) fn relays(&self) -> Vec<Peer> {
        self.hearers.borrow().relays().cloned().collect()
    }

    /// Keeps what was learnt for others; see [`Mirror::apply`].
    pub(crate) fn learn(
        &self,
        batch: &Batch,
        whole: bool,
        returns: bool,
        doubted: bool,
        now: Millis,
    ) {
        if whole || !batch.facts.is_empty() {
            self.answers.borrow_mut().clear();
        }
        self.mirror.borrow_mut().apply(batch, whole, returns, doubted, now);
    }

    /// Wakes those that wait for news.
    pub(crate) fn tell_news(&self) {
        self.learnt.send_modify(|it| *it += 1);
    }

    /// Tells when something was learnt.
    pub(crate) fn news(&self) -> watch::Receiver<u64> {
        self.learnt.subscribe()
    }

    /// How far this router has come.
    pub(crate) fn position(&self) -> Option<Revision> {
        self.mirror.borrow().position()
    }

    /// Whether something has changed after `revision`.
    pub(crate) fn has_news(&self, revision: Revision) -> bool {
        self.mirror.borrow().has_changes_since(revision)
    }

    /// What has changed after `after`, or everything where that is `None`.
    fn facts(&self, after: Option<Revision>, now: Millis) -> Vec<Fact> {
        let mirror = self.mirror.borrow();
        if let Some(changes) = after.and_then(|it| mirror.changes_since(it, now)) {
            return changes;
        }
        let mut facts = mirror.all(now);
        facts.extend(self.own_announcement(&facts, now));
        facts
    }

    /// That this router follows the store, where `facts` do not say so: it may not have read its
    /// own announcement yet, and who hears from it would take it to be gone.
    fn own_announcement(&self, facts: &[Fact], now: Millis) -> Option<Fact> {
        let is_own = |it: &Fact| matches!(it, Fact::Router(it) if it.router.name == self.own.name);
        let lacks = self.follows() && !facts.iter().any(is_own);
        lacks.then(|| Fact::Router(self.announcement(now)))
    }

    /// What has changed after `after`, or everything, packed; returns whether it is everything.
    /// Routers of a fleet ask for the same at about the same time.
    ///
    /// # Errors
    ///
    /// A fact that can't be written.
    pub(crate) fn packed(
        &self,
        after: Option<Revision>,
        now: Millis,
    ) -> Result<(Bytes, bool), wire::Error> {
        let revision = self.position().unwrap_or_default();
        let after = after.filter(|it| self.mirror.borrow().covers(*it));
        let whole = after.is_none();
        let mut answers = self.answers.borrow_mut();
        if let Some(answer) = answers.get(after, revision, now) {
            return Ok((answer, whole));
        }
        let facts = self.facts(after, now);
        let answer = if facts.is_empty() { Bytes::new() } else { wire::pack(&facts)? };
        answers.insert(after, revision, answer.clone(), now);
        Ok((answer, whole))
    }

    /// Counts what is held for other routers.
    pub(crate) fn tell_held(&self, metrics: &telemetry::Metrics) {
        let (facts, removals) = self.mirror.borrow().counts();
        metrics.held("facts", facts);
        metrics.held("removals", removals);
        metrics.held("answer_bytes", self.answers.borrow().bytes());
        metrics.held("hearers", self.hearers.borrow().all().len());
        metrics.held("router_connections", self.connections.get());
    }

    /// Notes how many connections of other routers stand.
    pub(crate) fn set_connections(&self, count: usize) {
        self.connections.set(count);
    }

    /// Keeps everything as another router packed it, for others that ask for that.
    pub(crate) fn keep_packed(&self, facts: Bytes, now: Millis) {
        let Some(revision) = self.position().filter(|_| !self.follows()) else { return };
        self.answers.borrow_mut().insert(None, revision, facts, now);
    }
}
