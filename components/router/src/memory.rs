//! What the fleet remembers, for routers that start: the upstreams, and where parts of
//! prompts are warm.
//!
//! Entries of upstreams lapse in an outage of the store. A router that runs keeps
//! them for a while; one that starts then would know a few of them only, and send
//! everything there. So one router writes the list down whenever it changes.

use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use routing::{Host, Listing};
use spdlog::{info, warn};
use tokio::sync::watch;
use wire::{Frame, Reader, WarmPrefixes};

use crate::core::Core;

/// The least time between two writings. A change is of use to a router that starts
/// later; entries that come one by one are written together.
const EVERY: Millis = Millis(3_000);

/// The same for warm parts, of which some are new with most requests.
const PARTS_EVERY: Millis = Millis(2_000);

/// Takes what is to be remembered.
#[derive(Debug)]
pub(crate) struct Memory {
    hosts: watch::Sender<Vec<Host>>,
    /// Whether this router is the one that writes.
    writes: watch::Sender<bool>,
}

/// What is to be written.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    hosts: watch::Receiver<Vec<Host>>,
    writes: watch::Receiver<bool>,
}

impl Memory {
    /// The memory, and what is to be written of it.
    pub(crate) fn new() -> (Self, Pending) {
        let (hosts, changed) = watch::channel(Vec::new());
        let (writes, writing) = watch::channel(false);
        (Self { hosts, writes }, Pending { hosts: changed, writes: writing })
    }

    /// Says whether this router is the one that writes for the whole fleet.
    pub(crate) fn set_writer(&self, writes: bool) {
        self.writes.send_if_modified(|known| std::mem::replace(known, writes) != writes);
    }

    /// What was written is lost: it is written again.
    pub(crate) fn write_again(&self) {
        self.hosts.send_if_modified(|known| {
            known.clear();
            false
        });
    }

    /// Has the upstreams of `listing` remembered, if they have changed and none of
    /// them is in doubt.
    pub(crate) fn remember(&self, listing: &Listing) {
        if listing.has_expiring() {
            return;
        }
        let mut hosts = listing.hosts();
        hosts.retain(|it| !it.leaving);
        self.hosts.send_if_modified(|known| {
            let changed = !hosts.is_empty() && *known != hosts;
            if changed {
                *known = hosts;
            }
            changed
        });
    }
}

/// Writes the upstreams down as they come, until the process stops.
pub(crate) async fn keep_hosts(core: Rc<Core>, pending: Pending) {
    let mut hosts = pending.hosts;
    while hosts.changed().await.is_ok() {
        let known = hosts.borrow_and_update().clone();
        let upstreams = known.len();
        match core.edges().store.save_hosts(known).await {
            Ok(()) => info!("upstreams remembered", kv: { upstreams }),
            // The next change is written again.
            Err(fault) => warn!("upstreams not remembered", kv: { reason = fault.to_string() }),
        }
        tokio::time::sleep(EVERY.duration()).await;
    }
}

/// Writes down where parts are warm, until the process stops.
pub(crate) async fn keep_parts(core: Rc<Core>, pending: Pending) {
    let store = &core.edges().store;
    let mut written = (0, store.era());
    loop {
        tokio::time::sleep(PARTS_EVERY.duration()).await;
        if !*pending.writes.borrow() {
            continue;
        }
        let (changes, warm) = core.warm_parts();
        let known = (changes, store.era());
        if known == written || warm.is_empty() {
            continue;
        }
        match store.save_prefixes(encode(warm)).await {
            Ok(()) => written = known,
            Err(fault) => warn!("parts not remembered", kv: { reason = fault.to_string() }),
        }
    }
}

/// Warm parts as they are remembered: one frame for each upstream.
fn encode(warm: Vec<WarmPrefixes>) -> Bytes {
    let frames = warm.into_iter().filter_map(|it| wire::encode(&Frame::WarmPrefixes(it)).ok());
    frames.flatten().collect()
}

/// Reads what [`encode`] wrote, as far as it can be read.
pub(crate) fn decode(bytes: &[u8]) -> Vec<WarmPrefixes> {
    let mut reader = Reader::default();
    reader.push(bytes);
    let next = || match reader.frame() {
        Ok(Some(Frame::WarmPrefixes(warm))) => Some(warm),
        _ => None,
    };
    std::iter::from_fn(next).collect()
}
