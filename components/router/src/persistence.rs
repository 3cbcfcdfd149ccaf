//! Saves upstreams and warm prefixes in the platform's store, for routers that start later.
//!
//! Entries of upstreams expire in an outage of the store. A router that starts then would send all
//! requests to the few upstreams that are still listed.

use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use routing::{Host, Listing};
use spdlog::{info, warn};
use tokio::sync::watch;
use wire::{Frame, Reader, WarmPrefixes};

use crate::core::Core;

/// Minimum time between two writes of the upstreams, so that changes are batched.
const UPSTREAMS_INTERVAL: Millis = Millis(3_000);

/// Minimum time between two writes of the warm prefixes, which change with most requests.
const PREFIXES_INTERVAL: Millis = Millis(2_000);

/// Passes state to the tasks that save it.
#[derive(Debug)]
pub(crate) struct Saver {
    hosts: watch::Sender<Vec<Host>>,
    /// Whether this router writes for the fleet.
    is_writer: watch::Sender<bool>,
}

/// State to be saved.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    hosts: watch::Receiver<Vec<Host>>,
    is_writer: watch::Receiver<bool>,
}

impl Saver {
    /// Creates the two ends.
    pub(crate) fn new() -> (Self, Pending) {
        let (hosts, host_changes) = watch::channel(Vec::new());
        let (is_writer, writer_changes) = watch::channel(false);
        (Self { hosts, is_writer }, Pending { hosts: host_changes, is_writer: writer_changes })
    }

    /// Sets whether this router writes for the whole fleet.
    pub(crate) fn set_writer(&self, is_writer: bool) {
        self.is_writer.send_if_modified(|known| std::mem::replace(known, is_writer) != is_writer);
    }

    /// Makes the next [`Self::save`] write the list again, after the stored one was lost.
    pub(crate) fn invalidate(&self) {
        self.hosts.send_if_modified(|known| {
            known.clear();
            false
        });
    }

    /// Schedules a write of the upstreams in `listing`, if they have changed and none of them
    /// is expiring.
    pub(crate) fn save(&self, listing: &Listing) {
        if listing.has_expiring() {
            return;
        }
        let mut hosts = listing.hosts();
        hosts.retain(|host| !host.leaving);
        self.hosts.send_if_modified(|known| {
            let changed = !hosts.is_empty() && *known != hosts;
            if changed {
                *known = hosts;
            }
            changed
        });
    }
}

/// Saves the upstreams on each change until shutdown.
pub(crate) async fn save_upstreams(core: Rc<Core>, pending: Pending) {
    let mut hosts = pending.hosts;
    let store = &core.edges().store;
    let mut written = None;
    while hosts.changed().await.is_ok() {
        let known = hosts.borrow_and_update().clone();
        let upstreams = known.len();
        let builds = core.recent_builds().map(|builds| (builds, store.era()));
        let changed = builds.clone().filter(|_| builds != written);
        match store.save_hosts(known, changed.map(|(builds, _)| builds)).await {
            Ok(()) => {
                info!("upstreams remembered", kv: { upstreams });
                written = builds;
            }
            // The next change causes another write.
            Err(error) => warn!("upstreams not remembered", kv: { reason = error.to_string() }),
        }
        tokio::time::sleep(UPSTREAMS_INTERVAL.duration()).await;
    }
}

/// Saves the warm prefixes until shutdown.
pub(crate) async fn save_prefixes(core: Rc<Core>, pending: Pending) {
    let store = &core.edges().store;
    let mut written = (0, store.era());
    loop {
        tokio::time::sleep(PREFIXES_INTERVAL.duration()).await;
        if !*pending.is_writer.borrow() {
            continue;
        }
        let (changes, warm) = core.warm_prefixes();
        let known = (changes, store.era());
        if known == written || warm.is_empty() {
            continue;
        }
        match store.save_prefixes(encode(warm)).await {
            Ok(()) => written = known,
            Err(error) => warn!("warm prefixes not remembered", kv: { reason = error.to_string() }),
        }
    }
}

/// Encodes warm prefixes as one frame per upstream.
fn encode(warm: Vec<WarmPrefixes>) -> Bytes {
    let frames = warm.into_iter().filter_map(|warm| wire::encode(&Frame::WarmPrefixes(warm)).ok());
    frames.flatten().collect()
}

/// Decodes the output of [`encode`], up to the first invalid frame.
pub(crate) fn decode(bytes: &[u8]) -> Vec<WarmPrefixes> {
    let mut reader = Reader::default();
    reader.push(bytes);
    let next = || match reader.next_frame() {
        Ok(Some(Frame::WarmPrefixes(warm))) => Some(warm),
        _ => None,
    };
    std::iter::from_fn(next).collect()
}
