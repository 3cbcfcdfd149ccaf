//! From whom a router learns what the store holds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use edge::Peer;
use placement::{key, score};

use crate::Roster;
use crate::home::Home;
use crate::referrals::Referrals;

/// How many routers of a fleet follow the store at least, so that the loss of one is made good
/// by another: one of each failure domain, and two where there is only one domain.
const FOLLOWERS: usize = 2;

/// How long a router goes on following that began as those that follow told nothing new: what
/// they announce is over by then if the store does not answer them.
const STAYS: Millis = Millis(20_000);

/// How long the first in rank waits before it follows in place of one that is missing, and how
/// much longer each further one does. The others know of it by then, however many they are: it
/// announces itself at once, followers look each 1,100 ms, and a question waits no longer for
/// news than 1,200 ms.
const TURN: Millis = Millis(2_000);

/// How long a router waits that has nobody to ask.
const IDLE: Millis = Millis(300);

/// How long there must be too many followers until one stands down: both may have just begun.
const SURPLUS: Millis = Millis(3_000);

/// How long a router is not asked again that did not answer.
const FAILED: Millis = Millis(1_000);

/// How long one that did not answer counts as lost, unless it answers: its announcement is over
/// by then.
const LOST: Millis = Millis(20_000);

/// How long a router is not asked again that has just started and knows nothing.
const STARTS: Millis = Millis(100);

/// How long routers are asked last whose proof was old, the one first that was asked longest ago.
const STALE: Millis = Millis(10_000);

/// How long all may fail until a router looks at the store that does not follow it; each
/// further one in rank waits [`PROBE`] longer, so that a domain asks about once a second
/// however many routers it has.
const PATIENCE: Millis = Millis(500);

/// The time between the looks of a domain's routers at a store that answers nobody.
const PROBE: Millis = Millis(1_000);

/// How long a router that has just started leaves it to others to follow where anybody answers:
/// until then it does not know who else might.
const SETTLE: Millis = Millis(3_000);

/// How many of those that would follow next are asked where all followers are lost.
const SUCCESSORS: usize = 3;

/// What tells draws for followers apart from others.
const DRAW: &str = "follower";

/// Where to look next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// At the store.
    Store,
    /// At what another router knows.
    Router(Peer),
    /// Nowhere for a while.
    Pause(Millis),
}

/// Whom a router may ask, and whether it follows the store by itself.
#[derive(Debug)]
pub struct Sources {
    own: Peer,
    started: Millis,
    /// Whether this router follows the store and announces that.
    follows: bool,
    /// When routers last did not answer.
    failed: BTreeMap<Arc<str>, Millis>,
    /// Until when routers are not asked that answered that they can't tell.
    unable: BTreeMap<Arc<str>, Millis>,
    /// When the proof of routers was last found to be old.
    stale: BTreeMap<Arc<str>, Millis>,
    /// The routers that those name that have enough others to answer.
    referrals: Referrals,
    /// When the store may be asked again after it failed.
    store_at: Millis,
    /// Since when nobody has told anything new; `None` if somebody just has.
    alone: Option<Millis>,
    /// Since when this domain has had too few followers.
    short: Option<Millis>,
    /// Since when it has had too many.
    surplus: Option<Millis>,
    /// Until when this router follows in any case.
    stays_until: Millis,
    /// The routers that hear from this one, also by way of others.
    hearers: BTreeSet<Arc<str>>,
    home: Home,
}

impl Sources {
    /// A router that starts at `now` and has asked nobody yet.
    pub fn new(own: Peer, now: Millis) -> Self {
        Self {
            own,
            started: now,
            follows: false,
            failed: BTreeMap::new(),
            unable: BTreeMap::new(),
            stale: BTreeMap::new(),
            referrals: Referrals::default(),
            store_at: Millis::ZERO,
            alone: None,
            short: None,
            surplus: None,
            stays_until: Millis::ZERO,
            hearers: BTreeSet::new(),
            home: Home::default(),
        }
    }

    /// Takes the names of the routers that hear from this one.
    pub fn set_subscribers(&mut self, hearers: BTreeSet<Arc<str>>) {
        self.hearers = hearers;
    }

    /// Whether this router follows the store by itself.
    pub fn is_poller(&self) -> bool {
        self.follows
    }

    /// Has this router follow the store from now on.
    pub fn become_poller(&mut self) {
        self.follows = true;
        self.short = None;
        self.surplus = None;
    }

    /// Decides whether this router follows the store, by who is known. Returns whether that has
    /// changed.
    pub fn update_role(&mut self, roster: &mut Roster, now: Millis) -> bool {
        roster.refresh(now);
        let (followers, wanted) = (self.followers_here(roster, now), self.wanted(roster, now));
        let due = if self.follows {
            self.is_surplus(&followers, wanted, now)
        } else {
            self.is_due(&followers, wanted, roster, now)
        };
        if due {
            self.follows = !self.follows;
            self.short = None;
            self.surplus = None;
        }
        due
    }

    /// How many routers of this domain are to follow the store.
    fn wanted(&self, roster: &Roster, now: Millis) -> usize {
        let elsewhere = |it: &Peer| {
            it.domain != self.own.domain && !it.domain.is_empty() && !self.is_failed(&it.name, now)
        };
        if roster.pollers().any(elsewhere) { 1 } else { FOLLOWERS }
    }

    /// The other routers of this domain that follow the store, as far as this one can ask them.
    fn followers_here(&self, roster: &Roster, now: Millis) -> Vec<Peer> {
        let answers = |it: &&Peer| !self.is_failed(&it.name, now) && it.hints.is_some();
        let here = |it: &&Peer| it.domain == self.own.domain && it.name != self.own.name;
        roster.pollers().filter(here).filter(answers).cloned().collect()
    }

    /// Whether there have been too many followers for a while, of which this one is the last.
    fn is_surplus(&mut self, followers: &[Peer], wanted: usize, now: Millis) -> bool {
        let own = rank(&self.own);
        let before = followers.iter().filter(|it| rank(it) < own).count();
        if before < wanted || now < self.stays_until {
            self.surplus = None;
            return false;
        }
        self.surplus.get_or_insert(now).until(now) >= SURPLUS
    }

    /// Whether there are too few followers, and it is this router's turn to become one.
    fn is_due(
        &mut self,
        followers: &[Peer],
        wanted: usize,
        roster: &mut Roster,
        now: Millis,
    ) -> bool {
        if followers.len() >= wanted {
            self.short = None;
            return false;
        }
        if self.started.until(now) < SETTLE && self.others_answer(roster, now) {
            self.short = None;
            return false;
        }
        let since = *self.short.get_or_insert(now);
        let own = rank(&self.own);
        let is_before = |it: &Peer| {
            it.domain == self.own.domain
                && it.name != self.own.name
                && !followers.iter().any(|follower| follower.name == it.name)
                && !self.is_failed(&it.name, now)
                && rank(it) < own
        };
        let before = roster.routers(now).filter(|it| is_before(it)).count();
        // As many as are missing follow at once.
        let turn = before / (wanted - followers.len());
        since.until(now).0 >= TURN.0 * (turn as u64 + 1)
    }

    /// Whether any other router may be asked, now or soon.
    fn others_answer(&self, roster: &Roster, now: Millis) -> bool {
        let answers = |it: &Peer| {
            it.name != self.own.name && it.hints.is_some() && !self.is_failed(&it.name, now)
        };
        roster.pollers().any(answers)
    }

    /// Where to look at `now`.
    pub fn next(&mut self, roster: &mut Roster, now: Millis) -> Source {
        let store_answers = self.store_at <= now;
        if self.follows && store_answers {
            return Source::Store;
        }
        let alone = *self.alone.get_or_insert(now);
        if store_answers && alone.until(now) >= self.patience(roster, now) {
            return Source::Store;
        }
        self.forget(now);
        self.home.notice(&self.own, roster, now);
        match self.candidates(roster, now).into_iter().next() {
            Some(peer) => Source::Router(peer),
            None => Source::Pause(IDLE),
        }
    }

    /// Forgets what no longer counts.
    fn forget(&mut self, now: Millis) {
        self.failed.retain(|_, at| at.until(now) < LOST);
        self.unable.retain(|_, until| *until > now);
        self.referrals.forget(now);
        self.stale.retain(|_, at| at.until(now) < STALE);
    }

    /// The routers that may be asked, which name their domains, as earlier versions do not: those
    /// of its domain, all others; each group first as far as this one was referred to it, then by
    /// rank, which differs from router to router. Those whose proofs were old come later, and last
    /// those that hear from this one.
    fn candidates(&self, roster: &Roster, now: Millis) -> Vec<Peer> {
        let rests = |it: &Peer| self.failed.get(&it.name).is_some_and(|at| at.until(now) < FAILED);
        let may_be_asked = |it: &&Peer| {
            it.name != self.own.name
                && it.hints.is_some()
                && !it.domain.is_empty()
                && !rests(it)
                && !self.unable.contains_key(&it.name)
                && !self.referrals.is_full(&it.name)
        };
        let draw = key(DRAW, &self.own.name);
        let drawn = |it: &Peer| score(draw, &it.name, 1.0);
        let mut followers: Vec<_> = roster.pollers().filter(may_be_asked).cloned().collect();
        followers.sort_by(|one, other| drawn(other).total_cmp(&drawn(one)));
        let mut candidates: Vec<_> = self.referrals.named().filter(may_be_asked).cloned().collect();
        candidates.extend(followers);
        candidates.sort_by_key(|it| self.home.distance(&self.own, it, roster, now));
        // Where all followers are lost, those follow next whom nobody has announced yet.
        candidates.extend(self.successors(roster).into_iter().filter(|it| may_be_asked(&it)));
        let last = |it: &Peer| (self.hearers.contains(&it.name), self.stale.get(&it.name).copied());
        candidates.sort_by_key(last);
        candidates
    }

    /// The routers of this domain that are the first to follow where others are lost.
    fn successors(&self, roster: &Roster) -> Vec<Peer> {
        let may_follow =
            |it: &&Peer| it.domain == self.own.domain && !roster.is_announced(&it.name);
        let mut successors: Vec<_> = roster.known().filter(may_follow).cloned().collect();
        successors.sort_by_key(rank);
        successors.truncate(SUCCESSORS);
        successors
    }

    /// How long nobody may tell anything until this router looks at the store.
    fn patience(&self, roster: &mut Roster, now: Millis) -> Millis {
        let own = rank(&self.own);
        let is_before = |it: &Peer| it.domain == self.own.domain && rank(it) < own;
        let before = roster.routers(now).filter(|it| is_before(it)).count();
        PATIENCE + Millis(PROBE.0 * before as u64)
    }

    /// Whether a router has not answered lately.
    fn is_failed(&self, name: &str, now: Millis) -> bool {
        self.failed.get(name).is_some_and(|at| at.until(now) < LOST)
    }

    /// A router told something that is new enough.
    pub fn record_success(&mut self, name: &str) {
        self.alone = None;
        self.home.hears(name);
        self.referrals.served();
        self.failed.remove(name);
        self.stale.remove(name);
    }

    /// The store answered. A router that does not follow it has asked since nobody told it
    /// anything new, and follows from now on. Returns whether it has just begun to.
    pub fn record_store_success(&mut self, now: Millis) -> bool {
        self.store_at = Millis::ZERO;
        self.alone = None;
        self.home.looks();
        let begins = !self.follows;
        if begins {
            self.become_poller();
            self.stays_until = now + STAYS;
        }
        begins
    }

    /// The store did not answer; it may be asked again after `pause`. A router that does not
    /// follow it waits until the others of its domain have asked in their turn.
    pub fn record_store_failure(&mut self, pause: Millis, roster: &mut Roster, now: Millis) {
        let here = |it: &Peer| it.domain == self.own.domain;
        let domain = roster.routers(now).filter(|it| here(it)).count();
        let turns = if self.follows { Millis::ZERO } else { Millis(PROBE.0 * domain as u64) };
        self.store_at = now + pause.max(turns);
    }

    /// A router did not answer.
    pub fn record_failure(&mut self, name: &Arc<str>, now: Millis) {
        self.failed.insert(name.clone(), now);
        self.home.leaves(name);
        self.referrals.leave(name, now);
    }

    /// A router answered, but what it knows is old.
    pub fn record_stale(&mut self, name: &Arc<str>, now: Millis) {
        self.failed.remove(name);
        self.stale.insert(name.clone(), now);
        self.home.leaves(name);
        self.referrals.leave(name, now);
    }

    /// A router can't tell, and names `others` that may be asked. Where it names none it has just
    /// started, and soon can.
    pub fn record_referral(&mut self, name: &Arc<str>, mut others: Vec<Peer>, now: Millis) {
        self.failed.remove(name);
        self.home.leaves(name);
        if others.is_empty() {
            self.unable.insert(name.clone(), now + STARTS);
            return self.referrals.leave(name, now);
        }
        let draw = key(DRAW, &self.own.name);
        let drawn = |it: &Peer| score(draw, &it.name, 1.0);
        others.sort_by(|one, other| drawn(other).total_cmp(&drawn(one)));
        others.sort_by_key(|it| self.failed.contains_key(&it.name));
        self.referrals.take(name, others, now);
    }
}

/// Who follows first: those with more to spare, then by a draw that is the same at all.
fn rank(peer: &Peer) -> (std::cmp::Reverse<u32>, u64) {
    (std::cmp::Reverse(peer.strength), key(DRAW, &peer.name))
}
