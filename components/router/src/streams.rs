//! Records of which software build began a stream, kept by a few routers for each stream.
//!
//! A record is sent when the first event is passed on, and asked for by the router where a caller
//! continues the stream. Datagrams may be lost; a lost record costs a refusal.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Millis;
use routing::Event;
use spdlog::info;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, timeout_at};
use wire::{Beginning, Build, Frame, Record};

use crate::core::Core;

/// How long to wait for the answers to each send of a lookup.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// How many times a lookup is sent, as datagrams may be lost.
const SENDS: u32 = 2;

/// How long after a start other routers may still be restoring their records.
const RESTORE_TIME: Millis = Millis(3_000);

/// How many lookups are repeated in that time.
const RESTORE_LOOKUPS: u32 = 3;

/// The pause before a lookup is repeated.
const RESTORE_PAUSE: Duration = Duration::from_millis(150);

/// The most answers that are buffered for one lookup.
const MAX_ANSWERS: usize = 8;

/// An answer: the router and the build, if it has the record.
type Answer = (SocketAddr, Option<Build>);

/// Lookups of this router that wait for answers, by their numbers.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    pending: RefCell<HashMap<u64, (u64, Sender<Answer>)>>,
    next: Cell<u64>,
}

/// A lookup in progress; removed from the pending ones on drop.
struct Pending<'a> {
    streams: &'a Streams,
    number: u64,
    answers: Receiver<Answer>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.streams.pending.borrow_mut().remove(&self.number);
    }
}

impl Streams {
    fn begin(&self, stream: u64) -> Pending<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answers) = channel(MAX_ANSWERS);
        self.pending.borrow_mut().insert(number, (stream, sender));
        Pending { streams: self, number, answers }
    }

    /// Passes an answer to the lookups of its stream.
    pub(crate) fn receive(&self, record: &Record, from: SocketAddr) {
        let pending = self.pending.borrow();
        let matching = pending.values().filter(|(stream, _)| *stream == record.stream);
        for (_, sender) in matching {
            // A full buffer means that more answers have come than routers were asked.
            let _ = sender.try_send((from, record.build.clone()));
        }
    }
}

/// Sends the record of a stream to the routers that keep it.
pub(crate) fn publish(core: &Core, beginning: &Beginning) {
    for address in keepers(core, beginning.stream) {
        send(core, &Frame::Begun(beginning.clone()), address);
    }
}

/// Asks the routers that keep the record of a stream, until one has it. Asks again for some time
/// after this router's start, as others that crashed with it may still be restoring their records.
pub(crate) async fn find(core: &Rc<Core>, stream: u64, intent: &str) -> routing::Lookup {
    core.stream_records.wait_until_restored().await;
    for _ in 0..RESTORE_LOOKUPS {
        if let Some(build) = core.find_stream(stream) {
            return routing::Lookup::Found(build);
        }
        let lookup = find_once(core, stream).await;
        let may_be_restoring = core.uptime() < RESTORE_TIME && core.needs_records(intent);
        if matches!(lookup, routing::Lookup::Found(_)) || !may_be_restoring {
            return lookup;
        }
        tokio::time::sleep(RESTORE_PAUSE).await;
    }
    find_once(core, stream).await
}

async fn find_once(core: &Rc<Core>, stream: u64) -> routing::Lookup {
    let keepers = keepers(core, stream);
    let started = core.clock.now();
    let mut lookup = core.streams.begin(stream);
    let mut waiting = keepers.clone();
    let mut found = None;
    for _ in 0..SENDS {
        if waiting.is_empty() {
            break;
        }
        for address in &waiting {
            send(core, &Frame::Find(stream), *address);
        }
        found = lookup.wait(&mut waiting).await;
        if found.is_some() {
            break;
        }
    }
    log(core, stream, &keepers, &waiting, found.as_ref(), started);
    match found {
        Some(build) => routing::Lookup::Found(build),
        None if waiting.is_empty() => routing::Lookup::Nowhere,
        None => routing::Lookup::Unanswered,
    }
}

impl Pending<'_> {
    /// Waits for a record, an answer of each router in `waiting`, or the timeout. Removes the
    /// routers that have answered.
    async fn wait(&mut self, waiting: &mut Vec<SocketAddr>) -> Option<Build> {
        let until = Instant::now() + ANSWER_TIMEOUT;
        while !waiting.is_empty() {
            let (from, build) = timeout_at(until, self.answers.recv()).await.ok()??;
            waiting.retain(|address| *address != from);
            if build.is_some() {
                return build;
            }
        }
        None
    }
}

/// Keeps the record of a stream that another router relays.
pub(crate) fn receive_beginning(core: &Core, beginning: Beginning) {
    if core.settings.routing.mechanisms.streams {
        core.apply(Event::Begun(beginning));
    }
}

/// Answers the lookup of another router.
pub(crate) fn answer(core: &Core, stream: u64, from: SocketAddr) {
    let record = Record { stream, build: core.find_stream(stream) };
    send(core, &Frame::Found(record), from);
}

/// The addresses of the other routers that keep the record of a stream.
fn keepers(core: &Core, stream: u64) -> Vec<SocketAddr> {
    if !core.settings.routing.mechanisms.streams {
        return Vec::new();
    }
    let routers = core.fleet().routers(core.clock.now());
    let keepers = streams::keepers(stream, routers.values());
    let others = keepers.into_iter().filter(|router| router.name != core.settings.name);
    others.filter_map(|router| router.hints).collect()
}

fn send(core: &Core, frame: &Frame, address: SocketAddr) {
    let bytes = core.peers().map_or(0, |peers| peers.send(frame, address));
    core.metrics.record_control("streams", bytes);
}

fn log(
    core: &Core,
    stream: u64,
    keepers: &[SocketAddr],
    silent: &[SocketAddr],
    found: Option<&Build>,
    started: Millis,
) {
    info!("stream looked up at other routers", kv: {
        stream = format!("{stream:016x}"),
        asked = keepers.len(),
        silent = silent.len(),
        version = found.map_or("unknown", |build| &build.version),
        ms = started.until(core.clock.now()).0,
    });
}
