//! Announces this router in the platform's store while it polls the store.
//!
//! One announcement also lists the routers that subscribe to this one.

use std::rc::Rc;

use clock::Millis;
use edge::{Announcement, Error, Lease};
use spdlog::debug;

use crate::core::Core;
use crate::feed::RETRY_INTERVAL;

const LEASE_TTL: Millis = Millis(20_000);

/// Spread of the fleet's announcements after the store was restored from an older copy.
const REANNOUNCE_SPREAD: Millis = Millis(1_000);

/// Two renewals may fail before the lease expires.
const RENEW_INTERVAL: Millis = Millis(6_000);

/// Minimum time between updates while a subscriber is missing from all announcements.
const UPDATE_INTERVAL: Millis = Millis(1_000);

/// Minimum time between updates when subscribers have only changed their source; limits the calls
/// to the store.
const SOURCE_CHANGE_INTERVAL: Millis = Millis(4_000);

/// The announcement that the store holds.
struct Written {
    lease: Lease,
    announcement: Announcement,
    renewed_at: Millis,
    updated_at: Millis,
}

/// Announces this router while it polls the store, and withdraws the announcement once it stops
/// polling or shuts down.
pub(crate) async fn run(core: Rc<Core>) {
    let mut written = None;
    let mut poller_changes = core.fleet().poller_changes();
    while !core.stop.is_requested() {
        if core.fleet().is_poller() {
            if let Err(error) = renew(&core, &mut written).await {
                debug!("announcement failed", kv: { reason = error.to_string() });
            }
        } else if written.take().is_some() {
            withdraw(&core).await;
        }
        let pause = if written.is_some() { UPDATE_INTERVAL } else { RETRY_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = core.stop.requested() => {}
            _ = poller_changes.changed() => {}
            () = core.store_restored.notified() => {
                written = None;
                wait_for_offset(&core).await;
            }
        }
    }
    if written.is_some() {
        withdraw(&core).await;
    }
}

async fn withdraw(core: &Core) {
    if let Err(error) = core.edges().store.withdraw(core.settings.name.clone()).await {
        // The lease expires soon after.
        debug!("announcement not withdrawn", kv: { reason = error.to_string() });
    }
}

/// Waits for this router's offset within [`REANNOUNCE_SPREAD`], which limits the fleet's write
/// rate.
async fn wait_for_offset(core: &Core) {
    let offset = Millis(placement::key("", &core.settings.name) % REANNOUNCE_SPREAD.0);
    let _ = tokio::time::timeout(offset.duration(), core.stop.requested()).await;
}

/// Renews the lease when due, and writes the announcement if it has changed or its lease has
/// expired.
async fn renew(core: &Core, written: &mut Option<Written>) -> Result<(), Error> {
    let store = &core.edges().store;
    let now = core.clock.now();
    let announcement = core.fleet().announcement(now);
    if let Some(entry) = written
        && entry.renewed_at.until(now) >= RENEW_INTERVAL
    {
        if store.renew_lease(entry.lease).await? {
            entry.renewed_at = now;
        } else {
            *written = None;
        }
    }
    if written.as_ref().is_some_and(|entry| is_current(core, entry, &announcement, now)) {
        return Ok(());
    }
    let (lease, renewed_at) = match written {
        Some(entry) => (entry.lease, entry.renewed_at),
        None => (store.grant_lease(LEASE_TTL).await?, now),
    };
    store.announce(announcement.clone(), lease).await?;
    *written = Some(Written { lease, announcement, renewed_at, updated_at: now });
    Ok(())
}

/// Whether the announcement in the store needs no update yet.
fn is_current(core: &Core, written: &Written, announcement: &Announcement, now: Millis) -> bool {
    let is_unlisted = announcement
        .hearers
        .iter()
        .any(|subscriber| !core.fleet().roster().is_listed(&subscriber.name));
    let has_changed = written.announcement != *announcement;
    !is_unlisted && (!has_changed || written.updated_at.until(now) < SOURCE_CHANGE_INTERVAL)
}
