//! Saves the records of streams in the platform's store, so that they outlast a crash of all
//! routers at once.
//!
//! A router saves which build began the streams that it relays, each record once, and only where
//! nothing else will tell: while a pool has several builds, and for intents that are split between
//! pools or were moved a short time ago. After a restart it passes its saved records to the routers that keep
//! them. What it began since its last write is lost with it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use ::streams::MAX_STREAM_AGE;
use bytes::Bytes;
use clock::Millis;
use edge::{Error, Lease};
use routing::Event;
use spdlog::{info, warn};
use tokio::sync::{Notify, watch};
use wire::{Beginning, Build, Frame, Reader, SavedStream, SavedStreams};

use crate::core::Core;
use crate::feed::RETRY_INTERVAL;
use crate::streams;

/// Minimum time between two writes of a router. Records in between are lost if all routers crash.
const MIN_SAVE_INTERVAL: Millis = Millis(20);

/// Time between two writes of the whole fleet, on average, which bounds its share of the store's
/// write rate.
const FLEET_SAVE_INTERVAL: Millis = Millis(2);

/// Number of entries that a router writes in turn. They last for [`MAX_STREAM_AGE`].
const SLOTS: u32 = 64;

/// Time after which a router goes on with the next entry. Until then it writes the same one again,
/// with the new records added.
const SLOT_TIME: Millis = Millis(1_000);

/// Twice [`MAX_STREAM_AGE`], as a lease is used for half of its time.
const LEASE_TTL: Millis = Millis(120_000);

/// Maximum number of records that wait for a write; the oldest are dropped.
const MAX_UNSAVED: usize = 8_192;

/// How often restored records are passed on, as the fleet is not fully known at a start.
const PASSES: u32 = 5;

/// Time between two of these.
const PASS_INTERVAL: Millis = Millis(1_000);

/// How long a lookup waits for this router's records to be restored.
const RESTORE_WAIT: Millis = Millis(300);

/// A record that is not saved.
#[derive(Debug)]
struct Unsaved {
    beginning: Beginning,
    intent: Arc<str>,
    /// When the caller gives up, so that the record is of no more use.
    until: Millis,
}

/// The records of streams that this router began.
#[derive(Debug)]
pub(crate) struct StreamRecords {
    /// Records that are not saved, oldest first.
    unsaved: RefCell<VecDeque<Unsaved>>,
    /// Signaled for each new record, and when records may be needed that were not before.
    changed: Notify,
    /// The slot after the last one that was restored.
    first_slot: Cell<u32>,
    /// Whether the saved records were read after the start.
    restored: watch::Sender<bool>,
}

impl Default for StreamRecords {
    fn default() -> Self {
        Self {
            unsaved: RefCell::default(),
            changed: Notify::new(),
            first_slot: Cell::new(0),
            restored: watch::Sender::new(false),
        }
    }
}

impl StreamRecords {
    /// Schedules the record of a stream of `intent` for the next write that needs it.
    pub(crate) fn add(&self, beginning: &Beginning, intent: &Arc<str>, now: Millis) {
        let until = now + Millis(beginning.ttl_ms);
        let mut unsaved = self.unsaved.borrow_mut();
        let (beginning, intent) = (beginning.clone(), intent.clone());
        unsaved.push_back(Unsaved { beginning, intent, until });
        let surplus = unsaved.len().saturating_sub(MAX_UNSAVED);
        unsaved.drain(..surplus);
        self.changed.notify_one();
    }

    /// Writes the records that are needed since the configuration or the list of upstreams changed.
    pub(crate) fn review(&self) {
        self.changed.notify_one();
    }

    /// Takes the records of the intents for which `is_needed` is true.
    fn take(&self, is_needed: impl Fn(&str) -> bool) -> Vec<(Beginning, Millis)> {
        let mut unsaved = self.unsaved.borrow_mut();
        let (needed, kept): (VecDeque<_>, _) =
            unsaved.drain(..).partition(|record: &Unsaved| is_needed(&record.intent));
        *unsaved = kept;
        needed.into_iter().map(|record| (record.beginning, record.until)).collect()
    }

    /// Drops records that need not be saved any more.
    fn expire(&self, now: Millis) {
        self.unsaved.borrow_mut().retain(|record| record.until > now);
    }

    /// Waits a short time until the saved records of this router are restored.
    pub(crate) async fn wait_until_restored(&self) {
        let mut restored = self.restored.subscribe();
        let wait = restored.wait_for(|is_restored| *is_restored);
        let _ = tokio::time::timeout(RESTORE_WAIT.duration(), wait).await;
    }
}

/// Restores the saved records, and saves new ones until shutdown.
pub(crate) async fn run(core: Rc<Core>) {
    if !core.settings.routing.mechanisms.saved_streams {
        core.stream_records.restored.send_replace(true);
        return;
    }
    let restored = restore(&core).await;
    tokio::join!(pass_on(&core, restored), save(&core));
}

/// The entry that a router writes.
#[derive(Debug)]
struct Slot {
    number: u32,
    begun: Millis,
    /// The records in it, some of them not written yet.
    records: Vec<(Beginning, Millis)>,
}

impl Slot {
    /// Adds new records, or begins the next slot with them if this one has lasted its time. After a
    /// failed write all records go to the next slot, as the store may carry out that write later.
    fn add(&mut self, new: Vec<(Beginning, Millis)>, is_written: bool, now: Millis) {
        let is_full = is_written && self.begun.until(now) >= SLOT_TIME;
        if is_full {
            self.records.clear();
        }
        if is_full || !is_written {
            self.number = (self.number + 1) % SLOTS;
            self.begun = now;
        }
        self.records.extend(new);
        self.records.retain(|(_, until)| *until > now);
    }
}

/// Saves the records of new streams as far as they are needed.
async fn save(core: &Rc<Core>) {
    let number = core.stream_records.first_slot.get();
    let mut slot = Slot { number, begun: core.clock.now(), records: Vec::new() };
    let (mut lease, mut is_written) = (None, true);
    loop {
        core.stream_records.changed.notified().await;
        let now = core.clock.now();
        core.stream_records.expire(now);
        let mut new = Vec::new();
        if core.has_recorded_streams() {
            new = core.stream_records.take(|intent| core.needs_records(intent));
        }
        if !new.is_empty() || !is_written {
            slot.add(new, is_written, now);
            is_written = write(core, &slot, &mut lease).await;
        }
        tokio::time::sleep(save_interval(core).duration()).await;
    }
}

/// Time between two writes of this router; longer in a large fleet.
fn save_interval(core: &Core) -> Millis {
    let routers = core.fleet().routers(core.clock.now()).len() as u64;
    MIN_SAVE_INTERVAL.max(Millis(FLEET_SAVE_INTERVAL.0 * routers))
}

/// Writes a slot; returns whether it is written. Otherwise another write is due.
async fn write(core: &Core, slot: &Slot, lease: &mut GrantedLease) -> bool {
    let records = slot.records.len();
    match try_write(core, slot, lease).await {
        Ok(()) => {
            info!("stream records saved", kv: { records, slot = slot.number });
            true
        }
        Err(error) => {
            warn!("stream records not saved", kv: { records, reason = error.to_string() });
            *lease = None;
            core.stream_records.changed.notify_one();
            false
        }
    }
}

/// A lease and the time of its grant.
type GrantedLease = Option<(Lease, Millis)>;

/// Replaces a lease that is past half of its time or belongs to an earlier era of the store.
async fn try_write(core: &Core, slot: &Slot, known: &mut GrantedLease) -> Result<(), Error> {
    let store = &core.edges().store;
    let now = core.clock.now();
    let is_usable = |(lease, granted): &(Lease, Millis)| {
        lease.era == store.era() && granted.until(now).0 < LEASE_TTL.0 / 2
    };
    let (lease, granted) = match known.filter(is_usable) {
        Some(usable) => usable,
        None => (store.grant_lease(LEASE_TTL).await?, now),
    };
    *known = Some((lease, granted));
    let records = encode(&slot.records, now);
    store.save_streams(core.settings.name.clone(), slot.number, records, lease).await
}

/// Reads the records that this router has saved before its restart, and adds them to its own. Gives
/// up once none of them can be of use.
async fn restore(core: &Rc<Core>) -> Vec<(Beginning, Millis)> {
    let started = core.clock.now();
    let mut saved = Vec::new();
    while started.until(core.clock.now()) < MAX_STREAM_AGE {
        match core.edges().store.load_streams(core.settings.name.clone()).await {
            Ok(slots) => {
                saved = slots;
                break;
            }
            Err(error) => {
                warn!("stream records not restored", kv: { reason = error.to_string() });
                tokio::time::sleep(RETRY_INTERVAL.duration()).await;
            }
        }
    }
    let now = core.clock.now();
    let records: Vec<_> = saved.iter().flat_map(|(_, bytes)| decode(bytes, now)).collect();
    // Earlier entries stay until their lease ends.
    let newest = saved.iter().max_by_key(|(_, bytes)| frames(bytes).map(|saved| saved.at).max());
    let next = newest.map_or(0, |(slot, _)| (slot + 1) % SLOTS);
    core.stream_records.first_slot.set(next);
    for (beginning, _) in &records {
        core.apply(Event::Begun(beginning.clone()));
    }
    core.stream_records.restored.send_replace(true);
    info!("stream records restored", kv: { records = records.len(), slots = saved.len() });
    records
}

/// Passes restored records to the routers that keep them.
async fn pass_on(core: &Core, mut records: Vec<(Beginning, Millis)>) {
    for _ in 0..PASSES {
        let now = core.clock.now();
        records.retain(|(_, until)| *until > now);
        for (beginning, until) in &records {
            let ttl_ms = now.until(*until).0;
            streams::publish(core, &Beginning { ttl_ms, ..beginning.clone() });
        }
        tokio::time::sleep(PASS_INTERVAL.duration()).await;
    }
}

/// Encodes records as one frame for each build.
fn encode(records: &[(Beginning, Millis)], now: Millis) -> Bytes {
    let mut by_build: BTreeMap<&Build, Vec<SavedStream>> = BTreeMap::new();
    for (beginning, until) in records {
        let saved = SavedStream { stream: beginning.stream, left_ms: now.until(*until).0 };
        by_build.entry(&beginning.build).or_default().push(saved);
    }
    let frame = |(build, streams): (&Build, Vec<SavedStream>)| {
        let saved = SavedStreams { at: now.0, build: build.clone(), streams };
        wire::encode(&Frame::SavedStreams(saved)).ok()
    };
    by_build.into_iter().filter_map(frame).flatten().collect()
}

/// The output of [`encode`], up to the first invalid frame.
fn frames(bytes: &[u8]) -> impl Iterator<Item = SavedStreams> {
    let mut reader = Reader::default();
    reader.push(bytes);
    std::iter::from_fn(move || match reader.next_frame() {
        Ok(Some(Frame::SavedStreams(saved))) => Some(saved),
        _ => None,
    })
}

/// The records in the output of [`encode`] that have not expired.
fn decode(bytes: &[u8], now: Millis) -> Vec<(Beginning, Millis)> {
    frames(bytes).flat_map(|saved| unexpired(&saved, now)).collect()
}

/// The records that have not expired.
fn unexpired(saved: &SavedStreams, now: Millis) -> Vec<(Beginning, Millis)> {
    let age = Millis(saved.at).until(now);
    let record = |entry: &SavedStream| {
        let left = Millis(entry.left_ms).min(MAX_STREAM_AGE);
        let ttl_ms = age.until(left).0;
        let beginning = Beginning { stream: entry.stream, build: saved.build.clone(), ttl_ms };
        (ttl_ms > 0).then_some((beginning, now + Millis(ttl_ms)))
    };
    saved.streams.iter().filter_map(record).collect()
}
