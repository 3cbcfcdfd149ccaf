//! Following the platform's store: the configuration and the upstreams.
//!
//! A few routers of each failure domain look at the store at a fixed pace; the others ask these
//! what has changed. Each answer brings what has changed since the last one, and proves that the
//! configuration in force was the newest when the look began that it goes back to.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use clock::{Millis, Sleep};
use edge::{Batch, Era, Fact, Fault, Peer, Revision};
use fleet::Source;
use intents::{Document, Plan};
use routing::{Event, Host, Listing, RETURN};
use spdlog::{debug, info, warn};

use crate::core::Core;
use crate::extent::Extent;
use crate::hearing::{self, Answer};
use crate::memory::{self, Memory};
use crate::telling;

/// How many routers there are taken to be at least: when all start at once, the
/// first looks see few of them. The sites have four, and seven with all spares.
const ASSUMED_ROUTERS: usize = 8;

/// How long a look waits for a change, so that it is answered soon in any case.
const WAIT: Millis = Millis(250);

/// The longest pause between two looks of a router from which others hear: what it learns
/// reaches them later by a hop.
const FOLLOWER_PAUSE: Millis = Millis(800);

/// How long an answer of another router may wait for news: it has some with each of its looks.
const NEWS_WAIT: Millis = Millis(1_200);

/// The least time between two questions to another router.
const QUESTION_PAUSE: Millis = Millis(100);

/// How old a proof that another router tells may be until others are asked. A look and its pause
/// take about 1,100 ms, and a hop may add as much where one answer is missed.
const OLD_PROOF: Millis = Millis(1_800);

/// By how much times that were cut to whole milliseconds may add up.
const ROUNDING: Millis = Millis(3);

/// Over how long the routers of a fleet that starts for the first time follow the store, those
/// with the most to spare first: those that come later hear from these.
const FIRST_SPREAD: u64 = 1_000;

/// How long looks may fail until everything is read anew in place of all that has
/// changed meanwhile: every configuration of that time, whole.
const OUTAGE: Millis = Millis(2_000);

/// The shortest suspension of the host of which the log tells; the two clocks that are compared
/// are read one after the other.
const NOTICED: Millis = Millis(250);

/// The most entries of upstreams that can't be read of which the log tells.
const MOST_UNREADABLE: usize = 256;

/// The pause after a call that failed; the store's outages end without notice.
pub(crate) const PAUSE: Millis = Millis(300);

/// Follows the store until the process stops.
pub(crate) async fn follow(core: Rc<Core>, look: Millis, memory: Memory) {
    let mut feed = Feed {
        core,
        listing: Listing::default(),
        routers: BTreeSet::new(),
        source: None,
        evacuated: BTreeSet::new(),
        known_evacuated: BTreeSet::new(),
        most_routers: ASSUMED_ROUTERS,
        revision: None,
        reads_anew: false,
        era: Era::default(),
        stored: 0,
        doubted_until: None,
        lost: None,
        started: false,
        extent: Extent::default(),
        memory,
        unreadable: BTreeSet::new(),
    };
    feed.core.apply(Event::Routers(ASSUMED_ROUTERS));
    feed.meet_fleet().await;
    let mut sleep = Sleep::new(feed.core.clock);
    loop {
        let slept = sleep.passed();
        if slept >= NOTICED {
            feed.core.metrics.belief("host_suspended");
            warn!("the host was suspended", kv: { ms = slept.0 });
        }
        let pause = feed.step(look).await;
        tokio::time::sleep(pause.duration()).await;
    }
}

/// What a batch says that is acted on once it is read to its end.
#[derive(Default)]
struct Summary {
    /// Whether the upstreams have changed.
    changed: bool,
    /// Upstreams that say they are cold, and for how much longer.
    cold: Vec<(Arc<str>, Millis)>,
    /// The upstreams that it names, by their entries.
    names: Vec<Arc<str>>,
    /// The routers that it names.
    routers: BTreeSet<Arc<str>>,
    /// The configuration of the highest generation; only that one is compiled.
    newest: Option<Box<Document>>,
    /// What was remembered of the upstreams.
    remembered: Vec<Host>,
    /// What was remembered of warm parts.
    parts: Bytes,
}

struct Feed {
    core: Rc<Core>,
    listing: Listing,
    /// The routers that there are, as they were told to the reducer last.
    routers: BTreeSet<Arc<str>>,
    /// The router from which this one has heard last; `None` if it looks at the store.
    source: Option<Arc<str>>,
    /// The failure domains that are to take nothing.
    evacuated: BTreeSet<Arc<str>>,
    /// The same, as they were told to the reducer last.
    known_evacuated: BTreeSet<Arc<str>>,
    /// The most routers that were counted.
    most_routers: usize,
    /// The revision up to which all changes were taken.
    revision: Option<Revision>,
    /// Whether the next look at the store reads everything in place of its history.
    reads_anew: bool,
    /// The era of the store in which it was told.
    era: Era,
    /// The generation of the configuration that the store holds; it may be lower than the one in
    /// force where the store came back from an older copy.
    stored: u64,
    /// Until when the store may lack what was written before it came back from an older copy;
    /// everything is read once more then.
    doubted_until: Option<Millis>,
    /// Since when looks have failed; `None` if the last one did not.
    lost: Option<Millis>,
    /// Whether anything has been read.
    started: bool,
    extent: Extent,
    memory: Memory,
    /// The entries of upstreams that can't be read and were told of in the log.
    unreadable: BTreeSet<Arc<str>>,
}

impl Feed {
    /// Finds out who follows the store already. Where nobody does, or this router did in an
    /// earlier life, it does so itself.
    async fn meet_fleet(&mut self) {
        let Some(direct) = &self.core.settings.direct else { return };
        let shares = self.core.settings.routing.mechanisms.shared_looks;
        if !shares || self.core.peers().is_none() {
            return self.core.fleet().follow();
        }
        let (mut count, mut waited) = (self.announced(true).await, false);
        while count.is_none() {
            waited = true;
            tokio::time::sleep(PAUSE.duration()).await;
            count = self.announced(true).await;
        }
        // Many routers may start at the same moment, and find nobody.
        if count == Some(0) && (waited || direct.first_start) {
            count = self.wait_for_followers(direct.strength, waited).await;
        }
        let own = &self.core.settings.name;
        if count.is_none_or(|it| it == 0) || self.core.fleet().roster().announces(own) {
            self.core.fleet().follow();
        }
    }

    /// Waits until this router is to follow the store as long as nobody else does; returns how
    /// many do then. Where callers wait, it asks again and again meanwhile.
    async fn wait_for_followers(&self, strength: u32, hurries: bool) -> Option<usize> {
        let draw = placement::key("first start", &self.core.settings.name) % FIRST_SPREAD;
        let turn = self.core.clock.now() + Millis(draw + FIRST_SPREAD / u64::from(strength.max(1)));
        loop {
            let left = self.core.clock.now().until(turn);
            let pause = if hurries { left.min(PAUSE) } else { left };
            tokio::time::sleep(pause.duration()).await;
            let count = self.announced(true).await;
            if count != Some(0) {
                return count;
            }
            if self.core.clock.now() >= turn {
                return self.announced(false).await;
            }
        }
    }

    /// Reads who follows the store; returns how many do, or nothing where it does not answer.
    async fn announced(&self, old: bool) -> Option<usize> {
        match self.core.edges().store.announced(old).await {
            Ok(announced) => {
                let count = announced.len();
                let mut roster = self.core.fleet().roster();
                for announcement in announced {
                    roster.put(announcement);
                }
                Some(count)
            }
            Err(fault) => {
                info!("not known who follows the store", kv: { reason = fault.to_string() });
                None
            }
        }
    }

    /// Looks once where it is best now; returns how long to wait until the next time.
    async fn step(&mut self, look: Millis) -> Millis {
        let now = self.core.clock.now();
        self.meet_routers();
        let shares = self.core.settings.routing.mechanisms.shared_looks;
        if shares && !self.core.stop.is_asked() && self.core.fleet().decide(now) {
            self.tell_follows();
        }
        match self.core.fleet().next(now) {
            Source::Store => self.look_and_prove(look, now).await,
            Source::Router(peer) => self.ask(&peer, now).await,
            Source::Pause(pause) => pause,
        }
    }

    /// Logs and counts whether this router follows the store.
    fn tell_follows(&self) {
        let follows = self.core.fleet().follows();
        self.core.metrics.belief(if follows { "follows_store" } else { "stands_down" });
        info!("whether this router follows the store has changed", kv: { follows });
    }

    /// Looks at the store once.
    async fn look_and_prove(&mut self, look: Millis, started: Millis) -> Millis {
        match self.look().await {
            Ok(()) => {
                self.hears_from(None, Millis::ZERO);
                if self.core.fleet().store_answered(self.core.clock.now()) {
                    self.tell_follows();
                }
                if self.proves() {
                    self.core.apply(Event::Current { at: started });
                }
                self.core.fleet().tell_news();
                self.pause(look.min(FOLLOWER_PAUSE))
            }
            Err(fault) => {
                self.failed(&fault);
                // What has no history is there.
                if fault != Fault::HistoryGone {
                    self.core.fleet().store_failed(PAUSE, self.core.clock.now());
                }
                Millis::ZERO
            }
        }
    }

    /// Asks another router what has changed.
    async fn ask(&mut self, peer: &Peer, asked: Millis) -> Millis {
        let fleet = self.core.fleet();
        let proof_ms = self.core.proof_ms();
        // A router that follows the store asks it again soon, and one whose proof is old others.
        let is_old = proof_ms.is_none_or(|it| it >= OLD_PROOF.0);
        let wait = if fleet.follows() || is_old { PAUSE } else { NEWS_WAIT };
        let look = wire::Look {
            routers: fleet.named(asked),
            after: self.revision.map(hearing::told),
            proof_ms,
            wait_ms: wait.0,
        };
        let answer = self.core.hearing.ask(peer, look).await;
        let now = self.core.clock.now();
        match answer {
            Ok(Answer::News(news, facts, bytes)) => self.hear(peer, news, facts, bytes, asked),
            Ok(Answer::Refer(others)) => {
                debug!("referred to others", kv: { peer = &*peer.name, others = others.len() });
                self.core.fleet().sources().refer(&peer.name, others, now);
            }
            Err(fault) => {
                let reason = fault.to_string();
                info!("another router tells nothing", kv: { peer = &*peer.name, reason });
                self.core.fleet().sources().failed(&peer.name, now);
            }
        }
        QUESTION_PAUSE
    }

    /// Takes what another router told in answer to a question of `asked`.
    fn hear(
        &mut self,
        peer: &Peer,
        news: wire::News,
        facts: Vec<Fact>,
        bytes: usize,
        asked: Millis,
    ) {
        let now = self.core.clock.now();
        let revision = telling::revision(news.revision);
        if !self.may_take(revision, news.whole) {
            return self.core.fleet().sources().stale(&peer.name, now);
        }
        self.absorb(Batch { facts, revision, bytes }, news.whole);
        // The question came there after it was asked, and the answer began `held_ms` later.
        let proof = news.proof_ms.map(|it| asked + Millis(news.held_ms) - Millis(it) - ROUNDING);
        if let Some(at) = proof.filter(|_| self.proves()) {
            self.core.apply(Event::Current { at });
            // What changed meanwhile is known: there is no long history to be read.
            if self.lost.take_if(|since| *since <= at).is_some() {
                self.reads_anew = false;
            }
        }
        let age = self.core.proof_ms().map_or(OLD_PROOF, Millis);
        let mut sources = self.core.fleet().sources();
        if age < OLD_PROOF {
            sources.served(&peer.name);
        } else {
            sources.stale(&peer.name, now);
        }
        drop(sources);
        self.hears_from(Some(peer), age);
        self.core.fleet().tell_news();
    }

    /// Whether what another router told is not older than what is known.
    fn may_take(&self, revision: Revision, whole: bool) -> bool {
        let Some(known) = self.revision else { return whole && revision.era >= self.era };
        match revision.era.cmp(&known.era) {
            Ordering::Less => false,
            Ordering::Equal => revision.number >= known.number,
            Ordering::Greater => whole,
        }
    }

    /// Notes from whom this router hears; `None` is the store.
    fn hears_from(&mut self, source: Option<&Peer>, proof: Millis) {
        let name = source.map(|it| it.name.clone());
        if self.source == name {
            return;
        }
        let from = name.as_deref().unwrap_or("the store");
        info!("hears of the store from another source", kv: { from, proof_ms = proof.0 });
        self.core.fleet().set_source(source);
        self.source = name;
    }

    /// Looks at the store once, and takes what it says.
    async fn look(&mut self) -> Result<(), Fault> {
        let store = self.core.edges().store.clone();
        let revision = self.revision.filter(|_| !self.reads_anew);
        let whole = revision.is_none();
        let batch = match revision {
            Some(revision) if self.extent.is_narrow() => store.watch_less(revision, WAIT).await?,
            Some(revision) => store.watch(revision, WAIT).await?,
            None => store.read().await?,
        };
        // What the store holds is read once; only a history can be avoided. A fleet whose
        // store held 524 KB asked for less without end, and each look brought the
        // configuration anew: 8 of the 10 Mbit/s of its thinnest hosts.
        let history = if whole { 0 } else { batch.bytes };
        if self.lost.take().is_some() {
            info!("the store answers again", kv: { revision = batch.revision.number });
            self.listing.came_back(self.core.clock.now());
        }
        self.reads_anew = false;
        self.absorb(batch, whole);
        self.reads_anew = self.extent.take(history, self.core.clock.now());
        if self.ends_doubt() {
            self.revision = None;
        }
        Ok(())
    }

    /// Takes what the store or another router told.
    fn absorb(&mut self, batch: Batch, whole: bool) {
        let era = std::mem::replace(&mut self.era, batch.revision.era);
        if self.started && era != self.era {
            self.come_back_older(batch.revision);
        }
        let (returns, doubted) = (self.listing.is_returning(), self.doubted_until.is_some());
        let now = self.core.clock.now();
        self.core.fleet().learn(&batch, whole, returns, doubted, now);
        self.take(batch, whole);
        self.listing.settle();
    }

    /// The store came back from an older copy. What it lacks others write again; this router does
    /// so with what it had written.
    fn come_back_older(&mut self, revision: Revision) {
        let (era, revision) = (revision.era.0, revision.number);
        warn!("the store came back from an older copy", kv: { era, revision });
        self.core.metrics.belief("store_older");
        let now = self.core.clock.now();
        self.listing.came_back_older(now);
        self.doubted_until = Some(now + RETURN);
        self.core.crashes.tell_again();
        self.memory.write_again();
        self.core.store_is_older.notify_one();
    }

    /// Whether what the store holds now shows that the configuration in force is the newest: not
    /// while the operator may have to write a later one again.
    fn proves(&self) -> bool {
        let in_force = self.core.plan().map_or(0, |it| it.generation());
        self.stored >= in_force && self.doubted_until.is_none()
    }

    /// The time is over in which others write again what the store had lost. Returns whether that
    /// is so just now.
    fn ends_doubt(&mut self) -> bool {
        let now = self.core.clock.now();
        self.doubted_until.take_if(|it| *it <= now).is_some()
    }

    /// How long to wait until the next look: `look`, half of it after a long answer,
    /// or less if an entry's time to come back is over before.
    fn pause(&self, look: Millis) -> Millis {
        let now = self.core.clock.now();
        // A look that takes long, or fails once, leaves less time for the next one.
        let look = if self.extent.is_narrow() { Millis(look.0 / 2) } else { look };
        let next = self.listing.next_expiry().into_iter().chain(self.doubted_until).min();
        next.map_or(look, |at| now.until(at).min(look))
    }

    /// A look failed. After a long outage, or where the store has no history,
    /// everything is read anew.
    fn failed(&mut self, fault: &Fault) {
        if *fault == Fault::HistoryGone {
            info!("the store's history is gone; everything is read anew");
            self.reads_anew = true;
            return;
        }
        let now = self.core.clock.now();
        match self.lost {
            None => {
                warn!("the store does not answer", kv: { reason = fault.to_string() });
                self.lost = Some(now);
            }
            Some(since) if since.until(now) >= OUTAGE => self.reads_anew = true,
            Some(_) => {}
        }
    }

    /// Takes a batch; `whole` says that it holds all there is, not only changes.
    fn take(&mut self, batch: Batch, whole: bool) {
        let now = self.core.clock.now();
        let mut summary = Summary::default();
        for fact in batch.facts {
            self.note(fact, &mut summary);
        }
        if whole {
            self.core.fleet().roster().keep_only(&summary.routers);
        }
        self.meet_routers();
        let stored = summary.newest.as_ref().map(|it| it.generation);
        self.stored = stored.unwrap_or(if whole { 0 } else { self.stored });
        if let Some(document) = summary.newest {
            self.configure(*document, batch.revision.number);
        }
        if whole {
            summary.changed |= self.listing.keep_only(&summary.names);
        }
        let starts = !std::mem::replace(&mut self.started, true);
        let mechanisms = self.core.settings.routing.mechanisms;
        if starts && mechanisms.upstreams {
            summary.changed |= self.recall(summary.remembered, now);
        }
        summary.changed |= self.listing.expire(now);
        if summary.changed {
            self.publish(batch.revision.number);
        }
        self.evacuate(batch.revision.number);
        self.chill(summary.cold);
        if starts && mechanisms.parts {
            self.recall_parts(&summary.parts);
        }
        self.revision = Some(batch.revision);
        // One router writes for the whole fleet.
        let writes = self.core.fleet().writes();
        self.memory.set_writer(writes);
        if writes {
            self.memory.remember(&self.listing);
        }
    }

    /// At the start, upstreams that were remembered and are not listed.
    fn recall(&mut self, hosts: Vec<Host>, now: Millis) -> bool {
        let remembered = hosts.len();
        let missing = self.listing.remember(hosts, now);
        if missing {
            info!("upstreams are missing that were remembered", kv: { remembered });
        }
        missing
    }

    /// At the start, where parts were warm when that was last written down.
    fn recall_parts(&self, remembered: &[u8]) {
        let warm = memory::decode(remembered);
        let parts: usize = warm.iter().map(|it| it.parts.len()).sum();
        if parts > 0 {
            info!("warm parts recalled", kv: { upstreams = warm.len(), parts });
        }
        for warm in warm {
            self.core.apply(Event::Warm(warm));
        }
    }

    /// Takes one fact of a batch; what waits for the end of it goes to `summary`.
    fn note(&mut self, fact: Fact, summary: &mut Summary) {
        match fact {
            Fact::Upstream { host, sequence, cold } => {
                summary.names.push(host.entry().clone());
                self.unreadable.remove(host.entry());
                if cold > Millis::ZERO {
                    summary.cold.push((host.name.clone(), cold));
                }
                summary.changed |= self.listing.put(host, sequence);
            }
            Fact::Gone(entry) => {
                self.unreadable.remove(&entry);
                summary.changed |= self.listing.remove(&entry);
            }
            Fact::UnreadableUpstream { entry, reason } => {
                self.leave_unreadable(&entry, &reason, summary);
            }
            Fact::Missing(entry) => self.listing.miss(&entry, self.core.clock.now()),
            Fact::Router(announcement) => {
                summary.routers.insert(announcement.router.name.clone());
                self.core.fleet().roster().put(announcement);
            }
            Fact::RouterGone(name) => {
                summary.routers.remove(&name);
                self.core.fleet().roster().remove(&name);
            }
            Fact::Evacuated(domain) => {
                self.evacuated.insert(domain);
            }
            Fact::Restored(domain) => {
                self.evacuated.remove(&domain);
            }
            // The operator may have to write again that a domain is to take nothing.
            Fact::AllRestored if self.doubted_until.is_some() => {}
            Fact::AllRestored => self.evacuated.clear(),
            Fact::Configuration(document) => {
                let known = summary.newest.as_ref().map_or(0, |it| it.generation);
                if document.generation > known {
                    summary.newest = Some(document);
                }
            }
            Fact::Remembered(hosts) => summary.remembered = hosts,
            Fact::RememberedParts(parts) => summary.parts = parts,
            Fact::Crashes { router, crashes } => {
                if router == self.core.settings.name {
                    self.core.crashes.recall(&crashes);
                }
                self.core.apply(Event::Crashes(crashes));
            }
            Fact::CrashesGone(router) => {
                if router == self.core.settings.name {
                    self.core.crashes.tell_again();
                }
            }
            Fact::Unreadable { key, reason } => {
                warn!("an entry can't be read", kv: { key = &*key, reason });
            }
        }
    }

    /// Another writer's entry names no upstream to use; one line tells of it until it can be
    /// read again or goes.
    fn leave_unreadable(&mut self, entry: &Arc<str>, reason: &str, summary: &mut Summary) {
        summary.changed |= self.listing.drop_unreadable(entry);
        if self.unreadable.len() < MOST_UNREADABLE && self.unreadable.insert(entry.clone()) {
            self.core.metrics.belief("entry_unreadable");
            warn!("an entry can't be read", kv: { key = &**entry, reason });
        }
    }

    /// Hands the upstreams to the reducer.
    fn publish(&self, revision: u64) {
        let hosts = self.listing.hosts();
        info!("upstreams changed", kv: {
            upstreams = hosts.len(),
            leaving = hosts.iter().filter(|it| it.leaving).count(),
            revision,
        });
        self.core.apply(Event::Hosts(hosts));
    }

    /// Tells the reducer which failure domains are to take nothing.
    fn evacuate(&mut self, revision: u64) {
        if self.evacuated == self.known_evacuated {
            return;
        }
        for domain in self.evacuated.difference(&self.known_evacuated) {
            self.core.metrics.belief("domain_left");
            info!("failure domain left", kv: { domain = &**domain, revision });
        }
        for domain in self.known_evacuated.difference(&self.evacuated) {
            self.core.metrics.belief("domain_taken_back");
            info!("failure domain taken back", kv: { domain = &**domain, revision });
        }
        self.known_evacuated.clone_from(&self.evacuated);
        self.core.apply(Event::Evacuated(self.evacuated.clone()));
    }

    /// Tells the reducer which upstreams are cold.
    fn chill(&self, cold: Vec<(Arc<str>, Millis)>) {
        for (upstream, left) in cold {
            self.core.metrics.belief("upstream_cold");
            info!("upstream is cold", kv: { upstream = &*upstream, ms = left.0 });
            self.core.apply(Event::Cold { upstream, left });
        }
    }

    /// Takes which routers there are, where that has changed: for hints, for what cold upstreams
    /// bear, and for the retry budget.
    fn meet_routers(&mut self) {
        let known = self.core.fleet().routers(self.core.clock.now());
        self.count_routers();
        if known.len() == self.routers.len() && known.keys().all(|it| self.routers.contains(it)) {
            return;
        }
        if let Some(peers) = self.core.peers() {
            peers.meet(&known);
        }
        self.routers = known.into_keys().collect();
        let own = self.core.settings.name.clone();
        self.core.apply(Event::Members { own, announced: self.routers.clone() });
    }

    /// Tells the reducer among how many routers the retry budget is divided. Announcements lapse
    /// in an outage of the store while their routers live, and those that hear from a router that
    /// ends are named by nobody for a moment: the count goes down only with a restart of all.
    fn count_routers(&mut self) {
        let routers = self.core.fleet().most();
        if routers <= self.most_routers {
            return;
        }
        self.most_routers = routers;
        info!("routers counted", kv: { routers });
        self.core.apply(Event::Routers(routers));
    }

    /// Compiles a configuration and hands it to the reducer.
    fn configure(&self, document: Document, revision: u64) {
        let generation = document.generation;
        match Plan::compile(document) {
            Ok(plan) => {
                info!("configuration taken", kv: { generation, revision });
                self.core.apply(Event::Configure(Arc::new(plan)));
            }
            Err(fault) => {
                warn!("configuration refused", kv: { generation, fault = fault.to_string() });
            }
        }
    }
}
