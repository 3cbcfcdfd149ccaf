//! Under what work upstreams ended: finding that out, and telling the other routers.
//!
//! It is told through the platform's store, one entry a router, so that a router knows it that
//! starts later or hears nothing of the others. The promise that work is held back rests on it.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use clock::Millis;
use edge::{Error, Lease};
use routing::{Crash, Event, Liveness};
use spdlog::{info, warn};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::core::Core;
use crate::feed::PAUSE;

/// The most ends that one router tells: about 24 KB. Engines of the sites run 64 requests at
/// once, of which each router has a part.
const MOST: usize = 256;

/// The longest that the platform keeps a lease, in milliseconds.
const LONGEST_LEASE: Millis = Millis(600_000);

/// What this router has found out.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// What it tells, the latest last.
    own: RefCell<VecDeque<Crash>>,
    /// The upstreams to be checked, and their addresses.
    asked: RefCell<BTreeMap<Arc<str>, Arc<str>>>,
    to_check: Notify,
    to_tell: Notify,
}

impl Crashes {
    /// Has an upstream checked.
    pub(crate) fn check(&self, upstream: &Arc<str>, address: &Arc<str>) {
        self.asked.borrow_mut().insert(upstream.clone(), address.clone());
        self.to_check.notify_one();
    }

    /// Has the other routers told.
    pub(crate) fn add(&self, crashes: &[Crash]) {
        self.keep(crashes);
        self.to_tell.notify_one();
    }

    /// Has the other routers told that work is cleared, in place of its ends.
    pub(crate) fn clear(&self, clearing: &Crash) {
        self.take_back(&[clearing.fingerprint]);
        self.add(std::slice::from_ref(clearing));
    }

    /// Tells no longer that upstreams ended under these works.
    pub(crate) fn take_back(&self, contents: &[u64]) {
        let mut own = self.own.borrow_mut();
        let before = own.len();
        own.retain(|it| it.cleared || !contents.contains(&it.fingerprint));
        if own.len() < before {
            self.to_tell.notify_one();
        }
    }

    /// Takes what this router told before, in an earlier life.
    pub(crate) fn recall(&self, crashes: &[Crash]) {
        self.keep(crashes);
    }

    /// What was told is no longer kept: it is told again.
    pub(crate) fn tell_again(&self) {
        if !self.own.borrow().is_empty() {
            self.to_tell.notify_one();
        }
    }

    fn keep(&self, crashes: &[Crash]) {
        let mut own = self.own.borrow_mut();
        for crash in crashes {
            if !own.contains(crash) {
                own.push_back(crash.clone());
            }
        }
        let surplus = own.len().saturating_sub(MOST);
        own.drain(..surplus);
    }

    /// What is to be told: nothing that is older than `lasts`.
    fn told(&self, lasts: Millis, now: Millis) -> Vec<Crash> {
        let mut own = self.own.borrow_mut();
        own.retain(|it| it.at.until(now) < lasts);
        own.iter().cloned().collect()
    }
}

/// Checks upstreams at which requests broke off, until the process stops.
pub(crate) async fn check(core: Rc<Core>) {
    let mut checks = JoinSet::new();
    loop {
        core.crashes.to_check.notified().await;
        let asked = std::mem::take(&mut *core.crashes.asked.borrow_mut());
        for (upstream, address) in asked {
            checks.spawn_local(check_one(core.clone(), upstream, address));
        }
        while checks.try_join_next().is_some() {}
    }
}

/// Opens a connection, which the next request uses.
async fn check_one(core: Rc<Core>, upstream: Arc<str>, address: Arc<str>) {
    let check = match core.client().open(&address).await {
        Ok(()) => Liveness::Alive,
        Err(fault) if fault.is_refusal() => Liveness::Dead,
        Err(_) => Liveness::Unknown,
    };
    info!("upstream checked", kv: { upstream = &*upstream, found = format!("{check:?}") });
    core.apply(Event::Checked { upstream, check });
}

/// Tells the other routers, until the process stops.
pub(crate) async fn tell(core: Rc<Core>) {
    let mut lease = None;
    loop {
        core.crashes.to_tell.notified().await;
        while let Err(fault) = tell_once(&core, &mut lease).await {
            warn!("ends of upstreams not told", kv: { reason = fault.to_string() });
            lease = None;
            tokio::time::sleep(PAUSE.duration()).await;
        }
    }
}

/// A lease, and when it was granted.
type Held = Option<(Lease, Millis)>;

/// Writes all that is to be told. It lasts as long as what is told is to be remembered: a lease
/// that has used up half of its time, or is of an earlier era, is replaced.
async fn tell_once(core: &Core, held: &mut Held) -> Result<(), Error> {
    let store = &core.edges().store;
    let lasts = Millis(core.settings.routing.quarantine_ms);
    let ttl = lasts.min(LONGEST_LEASE);
    let now = core.clock.now();
    let is_fresh = |(lease, granted): &(Lease, Millis)| {
        lease.era == store.era() && granted.until(now).0 < ttl.0 / 2
    };
    let fresh = held.filter(is_fresh);
    let (lease, granted) = match fresh {
        Some(fresh) => fresh,
        None => (store.grant_lease(ttl).await?, now),
    };
    *held = Some((lease, granted));
    let crashes = core.crashes.told(lasts, now);
    let ends = crashes.len();
    store.report_crashes(core.settings.name.clone(), crashes, lease).await?;
    info!("ends of upstreams told", kv: { ends });
    Ok(())
}
