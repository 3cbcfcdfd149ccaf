//! Keeps the configuration and the upstreams in sync with the platform's store.
//!
//! A few pollers in each failure domain poll the store at a fixed interval; the other routers query
//! these. Each answer contains the changes since the last one, and confirms that the configuration
//! in force was the newest when the poll behind it began.

mod facts;
mod query;
mod startup;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use clock::{Millis, Suspension};
use edge::{Batch, Era, Error, Revision, Store};
use fleet::{Freshness, Source};
use routing::{Event, Listing, MISSING_TTL};
use spdlog::{info, warn};

use crate::core::Core;
use crate::persistence::Saver;
use crate::watch_scope::WatchScope;

/// Lower bound of the assumed fleet size, since the first polls after a fleet start see few
/// routers.
const ASSUMED_ROUTERS: usize = 8;

/// How long a poll waits for a change.
const MAX_POLL_WAIT: Millis = Millis(250);

/// The longest pause between two polls of the store; subscribers see changes one hop later.
const MAX_POLLER_PAUSE: Millis = Millis(800);

/// Outages longer than this are followed by a full read instead of the history.
const LONG_OUTAGE: Millis = Millis(2_000);

/// Size of a full read, in bytes, from which on polls have a reduced scope after an outage. The
/// history of an outage may hold a dozen configurations of that length, each in full.
const LARGE_READ_BYTES: usize = 128 * 1024;

/// Shorter suspensions of the host are not logged; the two compared clocks are not read at the same
/// instant.
const MIN_LOGGED_SUSPENSION: Millis = Millis(250);

/// The pause after a failed call to the store.
pub(crate) const RETRY_INTERVAL: Millis = Millis(300);

/// Follows the store until shutdown.
pub(crate) async fn run(core: Rc<Core>, interval: Millis, saver: Saver) {
    let confirmation_ttl =
        core.settings.direct.as_ref().map_or(interval, |direct| Millis(direct.confirmation_ttl_ms));
    let mut feed = Feed {
        core,
        freshness: Freshness::new(confirmation_ttl),
        listing: Listing::default(),
        routers: BTreeSet::new(),
        source: None,
        evacuated: BTreeSet::new(),
        applied_evacuated: BTreeSet::new(),
        max_routers: ASSUMED_ROUTERS,
        revision: None,
        full_read_due: false,
        era: Era::default(),
        stored: Stored::Generation(0),
        incomplete_until: None,
        failing_since: None,
        has_read: false,
        scope: WatchScope::default(),
        saver,
        unreadable: BTreeSet::new(),
    };
    feed.core.apply(Event::RouterCount(ASSUMED_ROUTERS));
    feed.choose_role().await;
    let mut suspension = Suspension::new(feed.core.clock);
    loop {
        let suspended = suspension.take_elapsed();
        if suspended >= MIN_LOGGED_SUSPENSION {
            feed.core.metrics.record_change("host_suspended");
            warn!("the host was suspended", kv: { ms = suspended.0 });
        }
        let pause = feed.step(interval).await;
        tokio::time::sleep(pause.duration()).await;
    }
}

/// The configuration in the store, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stored {
    /// Its generation; 0 if there is none. It may be lower than the one in force after the store was
    /// restored from an older copy, and higher if it was refused.
    Generation(u64),
    /// It can't be read, or was removed.
    Unreadable,
}

struct Feed {
    core: Rc<Core>,
    freshness: Freshness,
    listing: Listing,
    /// The known routers, as last passed to the routing state.
    routers: BTreeSet<Arc<str>>,
    /// The router that served this one last; `None` for the store.
    source: Option<Arc<str>>,
    /// The evacuated failure domains.
    evacuated: BTreeSet<Arc<str>>,
    /// The evacuated failure domains, as last passed to the routing state.
    applied_evacuated: BTreeSet<Arc<str>>,
    /// The largest number of routers counted so far.
    max_routers: usize,
    /// The revision up to which all changes are applied.
    revision: Option<Revision>,
    /// Whether the next poll reads everything instead of the history.
    full_read_due: bool,
    /// The era of the store at the last answer.
    era: Era,
    stored: Stored,
    /// Until when a restored store may lack recent writes; a full read follows.
    incomplete_until: Option<Millis>,
    /// Start of the current series of failed polls.
    failing_since: Option<Millis>,
    /// Whether anything has been read.
    has_read: bool,
    scope: WatchScope,
    saver: Saver,
    /// Unreadable upstream entries that were already logged.
    unreadable: BTreeSet<Arc<str>>,
}

impl Feed {
    /// Polls the store or queries another router once; returns the pause until the next time.
    async fn step(&mut self, interval: Millis) -> Millis {
        let now = self.core.clock.now();
        self.expire(now);
        self.update_routers();
        let is_shared = self.core.settings.routing.mechanisms.shared_looks;
        if is_shared && !self.core.stop.is_requested() && self.core.fleet().update_role(now) {
            self.log_poller_role();
        }
        match self.core.fleet().next_source(now) {
            Source::Store => self.poll_and_confirm(interval, now).await,
            Source::Router(peer) => self.query(&peer, now).await,
            Source::Pause(pause) => pause,
        }
    }

    /// Logs and counts whether this router polls the store.
    fn log_poller_role(&self) {
        let follows = self.core.fleet().is_poller();
        self.core.metrics.record_change(if follows { "follows_store" } else { "stands_down" });
        info!("store polling started or stopped", kv: { follows });
    }

    /// Polls the store once, and confirms the configuration if the answer does.
    async fn poll_and_confirm(&mut self, interval: Millis, started_at: Millis) -> Millis {
        match self.poll().await {
            Ok(()) => {
                self.set_source(None, Some(Millis::ZERO));
                if self.core.fleet().record_store_success(self.core.clock.now()) {
                    self.log_poller_role();
                }
                if self.confirms() {
                    self.core.apply(Event::ConfigurationConfirmed { at: started_at });
                }
                self.core.fleet().notify();
                self.next_pause(interval.min(MAX_POLLER_PAUSE))
            }
            Err(error) => {
                self.record_failure(&error);
                // A store without history is still reachable.
                if error != Error::HistoryGone {
                    self.core.fleet().record_store_failure(RETRY_INTERVAL, self.core.clock.now());
                }
                Millis::ZERO
            }
        }
    }

    /// Polls the store once and applies the answer.
    async fn poll(&mut self) -> Result<(), Error> {
        let store = self.core.edges().store.clone();
        let revision = self.revision.filter(|_| !self.full_read_due);
        let full = revision.is_none();
        let batch = match revision {
            Some(revision) => self.changes(&*store, revision).await?,
            None => store.read().await?,
        };
        let recovers = self.failing_since.take().is_some();
        if recovers {
            info!("the store answers again", kv: { revision = batch.revision.number });
            let grace_start = self.grace_start();
            self.listing.begin_recovery(grace_start);
        }
        self.full_read_due = false;
        // Writes that were delayed by the outage arrive together now.
        if recovers && full && batch.bytes >= LARGE_READ_BYTES {
            self.scope.reduce(self.core.clock.now());
        }
        self.apply_answer(batch, full);
        self.full_read_due = self.scope.widen_if_due(self.core.clock.now());
        if self.end_incomplete() {
            self.revision = None;
        }
        Ok(())
    }

    /// The changes since `revision`. If the history is too long to be read, asks for a part of it
    /// at once.
    async fn changes(&mut self, store: &dyn Store, revision: Revision) -> Result<Batch, Error> {
        if !self.scope.is_reduced() {
            match store.watch(revision, MAX_POLL_WAIT).await {
                Err(Error::LongHistory) => self.scope.reduce(self.core.clock.now()),
                other => return other,
            }
        }
        store.catch_up(revision, MAX_POLL_WAIT).await
    }

    /// Applies an answer of the store or of another router.
    fn apply_answer(&mut self, batch: Batch, full: bool) {
        let era = std::mem::replace(&mut self.era, batch.revision.era);
        if self.has_read && era != self.era {
            self.handle_restored_store(batch.revision);
        }
        let (recovers, incomplete) =
            (self.listing.is_recovering(), self.incomplete_until.is_some());
        let now = self.core.clock.now();
        self.core.fleet().record(&batch, full, recovers, incomplete, now);
        self.apply_batch(batch, full);
        self.listing.finish_recovery();
    }

    /// Handles a store that was restored from an older copy: writes this router's own entries again
    /// and waits for others to do so.
    fn handle_restored_store(&mut self, revision: Revision) {
        let (era, revision) = (revision.era.0, revision.number);
        warn!("the store came back from an older copy", kv: { era, revision });
        self.core.metrics.record_change("store_older");
        let now = self.core.clock.now();
        self.listing.begin_restored_recovery(now);
        self.incomplete_until = Some(now + MISSING_TTL);
        self.core.crashes.report_again();
        self.saver.invalidate();
        self.core.store_restored.notify_one();
    }

    /// Whether the store's content confirms that the configuration in force is the newest. A later
    /// one that can't be used does not, as it may revoke keys. A restored store does not, until the
    /// operator has had time to write a later one again.
    fn confirms(&self) -> bool {
        let in_force = self.core.plan().map_or(0, |plan| plan.generation());
        self.stored == Stored::Generation(in_force) && self.incomplete_until.is_none()
    }

    /// Whether the time for rewriting lost entries of a restored store has just ended.
    fn end_incomplete(&mut self) -> bool {
        let now = self.core.clock.now();
        self.incomplete_until.take_if(|until| *until <= now).is_some()
    }

    /// The pause until the next poll: `interval`, half of it while the scope is reduced, or less if
    /// an entry's grace period ends earlier.
    fn next_pause(&self, interval: Millis) -> Millis {
        let now = self.core.clock.now();
        // Polls are twice as frequent while the scope is reduced, so that a slow or failed poll
        // does not let the confirmation expire.
        let interval = if self.scope.is_reduced() { Millis(interval.0 / 2) } else { interval };
        let next = self.listing.next_expiry().into_iter().chain(self.incomplete_until).min();
        next.map_or(interval, |at| now.until(at).min(interval))
    }

    /// Handles a failed poll. After a long outage, or if the store has no history, the next poll
    /// reads everything.
    fn record_failure(&mut self, error: &Error) {
        if *error == Error::HistoryGone {
            info!("the store's history is gone; everything is read anew");
            self.full_read_due = true;
            return;
        }
        let now = self.core.clock.now();
        match self.failing_since {
            None => {
                warn!("the store does not answer", kv: { reason = error.to_string() });
                self.failing_since = Some(now);
            }
            Some(since) if since.until(now) >= LONG_OUTAGE => self.full_read_due = true,
            Some(_) => {}
        }
    }
}
