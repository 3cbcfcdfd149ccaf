//! The announcement of this router in the platform's store, by which the
//! routers of a fleet count each other.

use std::rc::Rc;

use clock::Millis;
use edge::{Fault, Lease, Peer};
use spdlog::debug;

use crate::core::Core;
use crate::feed::PAUSE;
use crate::peers::Peers;

/// How long an announcement lasts after its last renewal.
const LASTS: Millis = Millis(20_000);

/// Over how long routers announce themselves anew once the store has lost that: two calls each,
/// 240 of 120 routers, where sites of 30 have 1,200 writes a second.
const SPREAD: Millis = Millis(1_000);

/// How often it is renewed: two renewals may fail before it lapses.
const RENEW_EVERY: Millis = Millis(6_000);

/// Announces this router in the store, and renews that until a stop is asked
/// for; then the announcement is taken back.
pub(crate) async fn keep_up(core: Rc<Core>) {
    let store = core.edges().store.clone();
    let mut lease = None;
    while !core.stop.is_asked() {
        match renew(&core, lease).await {
            Ok(kept) => lease = Some(kept),
            Err(fault) => debug!("not announced", kv: { reason = fault.to_string() }),
        }
        let pause = if lease.is_some() { RENEW_EVERY } else { PAUSE };
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = core.stop.asked() => {}
            () = core.store_is_older.notified() => wait_for_turn(&core).await,
        }
    }
    if lease.is_some()
        && let Err(fault) = store.withdraw(core.settings.name.clone()).await
    {
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

/// Renews the announcement, or makes it anew where its lease is over.
async fn renew(core: &Core, lease: Option<Lease>) -> Result<Lease, Fault> {
    let store = &core.edges().store;
    if let Some(lease) = lease
        && store.renew(lease).await?
    {
        return Ok(lease);
    }
    let hints = core.peers().map(Peers::address);
    store.announce(Peer { name: core.settings.name.clone(), hints }, LASTS).await
}
