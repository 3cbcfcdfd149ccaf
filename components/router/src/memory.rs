//! What the fleet remembers of the upstreams, for routers that start.
//!
//! Entries of upstreams lapse in an outage of the store. A router that runs keeps
//! them for a while; one that starts then would know a few of them only, and send
//! everything there. So one router writes the list down whenever it changes.

use std::rc::Rc;

use clock::Millis;
use routing::{Host, Listing};
use spdlog::{info, warn};
use tokio::sync::watch;

use crate::core::Core;

/// The least time between two writings. A change is of use to a router that starts
/// later; entries that come one by one are written together.
const EVERY: Millis = Millis(3_000);

/// Takes the upstreams that are to be remembered.
#[derive(Debug)]
pub(crate) struct Memory(watch::Sender<Vec<Host>>);

impl Memory {
    /// The memory, and what is to be written of it.
    pub(crate) fn new() -> (Self, watch::Receiver<Vec<Host>>) {
        let (hosts, changes) = watch::channel(Vec::new());
        (Self(hosts), changes)
    }

    /// Has the upstreams of `listing` remembered, if they have changed and none of
    /// them is in doubt.
    pub(crate) fn remember(&self, listing: &Listing) {
        if listing.is_in_doubt() {
            return;
        }
        let mut hosts = listing.hosts();
        hosts.retain(|it| !it.leaving);
        self.0.send_if_modified(|known| {
            let changed = !hosts.is_empty() && *known != hosts;
            if changed {
                *known = hosts;
            }
            changed
        });
    }
}

/// Writes the upstreams down as they come in `hosts`, until the process stops.
pub(crate) async fn keep(core: Rc<Core>, mut hosts: watch::Receiver<Vec<Host>>) {
    while hosts.changed().await.is_ok() {
        let known = hosts.borrow_and_update().clone();
        let upstreams = known.len();
        match core.edges().store.remember(known).await {
            Ok(()) => info!("upstreams remembered", kv: { upstreams }),
            // The next change is written again.
            Err(fault) => warn!("upstreams not remembered", kv: { reason = fault.to_string() }),
        }
        tokio::time::sleep(EVERY.duration()).await;
    }
}
