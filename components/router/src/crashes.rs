//! Detects crashes of upstreams and reports them to the other routers.
//!
//! Reports go through the platform's store, one entry per router, so that they also reach routers
//! that start later or miss broadcasts. Quarantine relies on them.
//!
//! Work is what requests with the same fingerprint ask for. It is cleared once one of them was
//! answered in full.

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
use crate::feed::RETRY_INTERVAL;

/// The most crashes in one report; older ones are dropped. A full report has about 24 KB.
const MAX_CRASHES: usize = 256;

/// The longest lease that the platform grants.
const MAX_LEASE_TTL: Millis = Millis(600_000);

/// Crashes observed by this router.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// Crashes in the current report, newest last.
    reported: RefCell<VecDeque<Crash>>,
    /// Upstreams to check, with their addresses.
    pending_checks: RefCell<BTreeMap<Arc<str>, Arc<str>>>,
    check_requested: Notify,
    report_requested: Notify,
}

impl Crashes {
    /// Schedules a check of an upstream.
    pub(crate) fn check(&self, upstream: &Arc<str>, address: &Arc<str>) {
        self.pending_checks.borrow_mut().insert(upstream.clone(), address.clone());
        self.check_requested.notify_one();
    }

    /// Schedules a report of `crashes`.
    pub(crate) fn add(&self, crashes: &[Crash]) {
        self.push(crashes);
        self.report_requested.notify_one();
    }

    /// Schedules a report that work is cleared, which replaces the reports of its crashes.
    pub(crate) fn clear(&self, clearing: &Crash) {
        self.withdraw(&[clearing.fingerprint]);
        self.add(std::slice::from_ref(clearing));
    }

    /// Withdraws the reported crashes of the given fingerprints.
    pub(crate) fn withdraw(&self, fingerprints: &[u64]) {
        let mut reported = self.reported.borrow_mut();
        let before = reported.len();
        reported.retain(|crash| crash.cleared || !fingerprints.contains(&crash.fingerprint));
        if reported.len() < before {
            self.report_requested.notify_one();
        }
    }

    /// Loads what this router had reported before its restart.
    pub(crate) fn load(&self, crashes: &[Crash]) {
        self.push(crashes);
    }

    /// Schedules a new report after the stored one was lost.
    pub(crate) fn report_again(&self) {
        if !self.reported.borrow().is_empty() {
            self.report_requested.notify_one();
        }
    }

    fn push(&self, crashes: &[Crash]) {
        let mut reported = self.reported.borrow_mut();
        for crash in crashes {
            if !reported.contains(crash) {
                reported.push_back(crash.clone());
            }
        }
        let surplus = reported.len().saturating_sub(MAX_CRASHES);
        reported.drain(..surplus);
    }

    /// The crashes to report: those younger than `retention`.
    fn reportable(&self, retention: Millis, now: Millis) -> Vec<Crash> {
        let mut reported = self.reported.borrow_mut();
        reported.retain(|crash| crash.at.until(now) < retention);
        reported.iter().cloned().collect()
    }
}

/// Checks upstreams whose connections broke during requests, until shutdown.
pub(crate) async fn run_checks(core: Rc<Core>) {
    let mut checks = JoinSet::new();
    loop {
        core.crashes.check_requested.notified().await;
        let pending_checks = std::mem::take(&mut *core.crashes.pending_checks.borrow_mut());
        for (upstream, address) in pending_checks {
            checks.spawn_local(check_upstream(core.clone(), upstream, address));
        }
        while checks.try_join_next().is_some() {}
    }
}

/// Opens a connection, which the next request reuses.
async fn check_upstream(core: Rc<Core>, upstream: Arc<str>, address: Arc<str>) {
    let check = match core.client().preconnect(&address).await {
        Ok(()) => Liveness::Alive,
        Err(error) if error.is_connection_refused() => Liveness::Dead,
        Err(_) => Liveness::Unknown,
    };
    info!("upstream checked", kv: { upstream = &*upstream, found = format!("{check:?}") });
    core.apply(Event::Checked { upstream, check });
}

/// Reports crashes to the store until shutdown.
pub(crate) async fn run_reports(core: Rc<Core>) {
    let mut lease = None;
    loop {
        core.crashes.report_requested.notified().await;
        while let Err(error) = write_report(&core, &mut lease).await {
            warn!("crash report not written", kv: { reason = error.to_string() });
            lease = None;
            tokio::time::sleep(RETRY_INTERVAL.duration()).await;
        }
    }
}

/// A lease and the time of its grant.
type GrantedLease = Option<(Lease, Millis)>;

/// Writes the report under a lease that lasts as long as the quarantine, up to [`MAX_LEASE_TTL`].
/// Replaces a lease that is past half of its time or belongs to an earlier era of the store.
async fn write_report(core: &Core, lease_slot: &mut GrantedLease) -> Result<(), Error> {
    let store = &core.edges().store;
    let retention = Millis(core.settings.routing.quarantine_ms);
    let ttl = retention.min(MAX_LEASE_TTL);
    let now = core.clock.now();
    let is_usable = |(lease, granted): &(Lease, Millis)| {
        lease.era == store.era() && granted.until(now).0 < ttl.0 / 2
    };
    let usable = lease_slot.filter(is_usable);
    let (lease, granted) = match usable {
        Some(usable) => usable,
        None => (store.grant_lease(ttl).await?, now),
    };
    *lease_slot = Some((lease, granted));
    let crashes = core.crashes.reportable(retention, now);
    let ends = crashes.len();
    store.report_crashes(core.settings.name.clone(), crashes, lease).await?;
    info!("crash report written", kv: { ends });
    Ok(())
}
