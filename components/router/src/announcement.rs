//! The announcement of this router in the platform's store, while it follows the store.
//!
//! It names the routers that hear from this one, so that one entry counts for many.

use std::rc::Rc;

use clock::Millis;
use edge::{Announcement, Error, Lease};
use spdlog::debug;

use crate::core::Core;
use crate::feed::PAUSE;

/// How long an announcement lasts after its last renewal.
const LASTS: Millis = Millis(20_000);

/// Over how long routers announce themselves anew once the store has lost that.
const SPREAD: Millis = Millis(1_000);

/// How often it is renewed: two renewals may fail before it lapses.
const RENEW_EVERY: Millis = Millis(6_000);

/// How often it is written anew where a router hears from this one that nobody names yet. A fleet
/// that starts is known to all within about three seconds.
const CHANGE_EVERY: Millis = Millis(1_000);

/// How often it is written anew where routers only hear from others than it says: each move of
/// one would be a call.
const MOVE_EVERY: Millis = Millis(4_000);

/// What stands in the store.
struct Written {
    lease: Lease,
    announcement: Announcement,
    renewed: Millis,
    /// When the announcement was written.
    at: Millis,
}

/// Announces this router while it follows the store, and keeps that up until a stop is asked
/// for; then the announcement is taken back.
pub(crate) async fn keep_up(core: Rc<Core>) {
    let mut written = None;
    let mut follows = core.fleet().follows_changes();
    while !core.stop.is_asked() {
        if core.fleet().follows() {
            if let Err(fault) = renew(&core, &mut written).await {
                debug!("not announced", kv: { reason = fault.to_string() });
            }
        } else if written.take().is_some() {
            withdraw(&core).await;
        }
        let pause = if written.is_some() { CHANGE_EVERY } else { PAUSE };
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = core.stop.asked() => {}
            _ = follows.changed() => {}
            () = core.store_is_older.notified() => {
                written = None;
                wait_for_turn(&core).await;
            }
        }
    }
    if written.is_some() {
        withdraw(&core).await;
    }
}

/// Takes the announcement back.
async fn withdraw(core: &Core) {
    if let Err(fault) = core.edges().store.withdraw(core.settings.name.clone()).await {
        // It lapses by itself a little later.
        debug!("announcement not taken back", kv: { reason = fault.to_string() });
    }
}

/// Waits for this router's part of [`SPREAD`], so that a fleet that announces itself anew keeps
/// within the store's rates.
async fn wait_for_turn(core: &Core) {
    let turn = Millis(placement::key("", &core.settings.name) % SPREAD.0);
    let _ = tokio::time::timeout(turn.duration(), core.stop.asked()).await;
}

/// Renews the lease when it is time, and writes the announcement where it has changed or its
/// lease is over.
async fn renew(core: &Core, written: &mut Option<Written>) -> Result<(), Error> {
    let store = &core.edges().store;
    let now = core.clock.now();
    let announcement = core.fleet().announcement(now);
    if let Some(it) = written
        && it.renewed.until(now) >= RENEW_EVERY
    {
        if store.renew_lease(it.lease).await? {
            it.renewed = now;
        } else {
            *written = None;
        }
    }
    if written.as_ref().is_some_and(|it| may_stay(core, it, &announcement, now)) {
        return Ok(());
    }
    let (lease, renewed) = match written {
        Some(it) => (it.lease, it.renewed),
        None => (store.grant_lease(LASTS).await?, now),
    };
    store.announce(announcement.clone(), lease).await?;
    *written = Some(Written { lease, announcement, renewed, at: now });
    Ok(())
}

/// Whether what is written may stay for now.
fn may_stay(core: &Core, written: &Written, announcement: &Announcement, now: Millis) -> bool {
    let is_new = announcement.hearers.iter().any(|it| !core.fleet().roster().is_listed(&it.name));
    let moved = written.announcement != *announcement;
    !is_new && (!moved || written.at.until(now) < MOVE_EVERY)
}
