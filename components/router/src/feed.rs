//! Following the platform's store: the configuration and the upstreams.
//!
//! A few routers of each failure domain look at the store at a fixed pace; the others ask these
//! what has changed. Each answer brings what has changed since the last one, and proves that the
//! configuration in force was the newest when the look began that it goes back to.

mod facts;
mod others;
mod start;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use clock::{Millis, Sleep};
use edge::{Batch, Era, Error, Revision, Store};
use fleet::{Freshness, Source};
use routing::{Event, Listing, MISSING_TTL};
use spdlog::{info, warn};

use crate::core::Core;
use crate::extent::Extent;
use crate::memory::Memory;

/// How many routers there are taken to be at least: when all start at once, the
/// first looks see few of them. The sites have four, and seven with all spares.
const ASSUMED_ROUTERS: usize = 8;

/// How long a look waits for a change, so that it is answered soon in any case.
const WAIT: Millis = Millis(250);

/// The longest pause between two looks of a router from which others hear: what it learns
/// reaches them later by a hop.
const FOLLOWER_PAUSE: Millis = Millis(800);

/// How long looks may fail until everything is read anew in place of all that has
/// changed meanwhile: every configuration of that time, whole.
const OUTAGE: Millis = Millis(2_000);

/// How much the store holds, in bytes, from which on looks ask for less after an outage: four
/// configurations of that length are a long history, and a dozen may have waited.
const MUCH: usize = 128 * 1024;

/// The shortest suspension of the host of which the log tells; the two clocks that are compared
/// are read one after the other.
const NOTICED: Millis = Millis(250);

/// The pause after a call that failed; the store's outages end without notice.
pub(crate) const PAUSE: Millis = Millis(300);

/// Follows the store until the process stops.
pub(crate) async fn follow(core: Rc<Core>, look: Millis, memory: Memory) {
    let lasts = core.settings.direct.as_ref().map_or(look, |it| Millis(it.news_ms));
    let mut feed = Feed {
        core,
        freshness: Freshness::new(lasts),
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
    feed.core.apply(Event::RouterCount(ASSUMED_ROUTERS));
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

struct Feed {
    core: Rc<Core>,
    freshness: Freshness,
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
    /// Looks once where it is best now; returns how long to wait until the next time.
    async fn step(&mut self, look: Millis) -> Millis {
        let now = self.core.clock.now();
        self.expire(now);
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
                self.hears_from(None, Some(Millis::ZERO));
                if self.core.fleet().store_answered(self.core.clock.now()) {
                    self.tell_follows();
                }
                if self.proves() {
                    self.core.apply(Event::ConfigurationConfirmed { at: started });
                }
                self.core.fleet().tell_news();
                self.pause(look.min(FOLLOWER_PAUSE))
            }
            Err(fault) => {
                self.failed(&fault);
                // What has no history is there.
                if fault != Error::HistoryGone {
                    self.core.fleet().store_failed(PAUSE, self.core.clock.now());
                }
                Millis::ZERO
            }
        }
    }

    /// Looks at the store once, and takes what it says.
    async fn look(&mut self) -> Result<(), Error> {
        let store = self.core.edges().store.clone();
        let revision = self.revision.filter(|_| !self.reads_anew);
        let whole = revision.is_none();
        let batch = match revision {
            Some(revision) => self.changes(&*store, revision).await?,
            None => store.read().await?,
        };
        let returns = self.lost.take().is_some();
        if returns {
            info!("the store answers again", kv: { revision = batch.revision.number });
            let returned = self.returned();
            self.listing.begin_recovery(returned);
        }
        self.reads_anew = false;
        // What was not written in the outage comes now, all of it at once.
        if returns && whole && batch.bytes >= MUCH {
            self.extent.narrow(self.core.clock.now());
        }
        self.absorb(batch, whole);
        self.reads_anew = self.extent.ends(self.core.clock.now());
        if self.ends_doubt() {
            self.revision = None;
        }
        Ok(())
    }

    /// What has changed since `revision`. A history that is long is not read, and holds nothing
    /// up: it is asked for less at once.
    async fn changes(&mut self, store: &dyn Store, revision: Revision) -> Result<Batch, Error> {
        if !self.extent.is_narrow() {
            match store.watch(revision, WAIT).await {
                Err(Error::LongHistory) => self.extent.narrow(self.core.clock.now()),
                other => return other,
            }
        }
        store.catch_up(revision, WAIT).await
    }

    /// Takes what the store or another router told.
    fn absorb(&mut self, batch: Batch, whole: bool) {
        let era = std::mem::replace(&mut self.era, batch.revision.era);
        if self.started && era != self.era {
            self.come_back_older(batch.revision);
        }
        let (returns, doubted) = (self.listing.is_recovering(), self.doubted_until.is_some());
        let now = self.core.clock.now();
        self.core.fleet().learn(&batch, whole, returns, doubted, now);
        self.take(batch, whole);
        self.listing.finish_recovery();
    }

    /// The store came back from an older copy. What it lacks others write again; this router does
    /// so with what it had written.
    fn come_back_older(&mut self, revision: Revision) {
        let (era, revision) = (revision.era.0, revision.number);
        warn!("the store came back from an older copy", kv: { era, revision });
        self.core.metrics.belief("store_older");
        let now = self.core.clock.now();
        self.listing.begin_restored_recovery(now);
        self.doubted_until = Some(now + MISSING_TTL);
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
    fn failed(&mut self, fault: &Error) {
        if *fault == Error::HistoryGone {
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
}
