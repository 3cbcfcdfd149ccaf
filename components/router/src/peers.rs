//! Hints between the routers of a fleet.
//!
//! One datagram to each other router, whenever a router's belief of where parts
//! of prompts are warm has changed. Nothing rests on a hint: one that is lost
//! costs a copy or a second reading. So nobody answers, nothing is sent again,
//! and a peer that hangs holds nothing up.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;

use clock::Millis;
use edge::Peer;
use routing::Event;
use spdlog::{debug, info, warn};
use wire::{Frame, Loads, Reader, Stage, Warm};

use crate::core::Core;

/// The longest datagram that is read: a frame of 100 parts has less than 1,100.
const MAX_DATAGRAM: usize = 1_500;

/// How often a router's own load is told if it has changed. A request of the sites
/// takes 20 to 500 ms.
const TELL_EVERY: Millis = Millis(100);

/// After how many such times it is told even if it hasn't changed.
const ROUNDS: u32 = 4;

/// How often hints that were taken are logged.
const LOG_EVERY: Millis = Millis(1_000);

/// The most other routers to which loads are told: what all tell all grows with
/// the square of their number. Among more, a router goes by what answers tell.
const MOST_PEERS: usize = 8;

/// The other routers of the fleet.
#[derive(Debug)]
pub(crate) struct Peers {
    name: Arc<str>,
    socket: tokio::net::UdpSocket,
    address: SocketAddr,
    others: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    tally: Cell<Tally>,
}

/// Hints that were taken since the last line of the log about them.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Hints that upstreams were reading parts.
    reading: u64,
    /// Hints that upstreams had read parts.
    read: u64,
    /// The parts of all.
    parts: usize,
}

impl Peers {
    /// Listens at `address` for router `name`.
    ///
    /// # Errors
    ///
    /// The address is taken or not of this host.
    pub(crate) fn bind(name: Arc<str>, address: &str) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let socket = tokio::net::UdpSocket::from_std(socket)?;
        Ok(Self { name, socket, address, others: RefCell::default(), tally: Cell::default() })
    }

    /// Where hints come in.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a router's announcement.
    pub(crate) fn meet(&self, peer: &Peer) {
        let Some(address) = peer.hints.filter(|_| peer.name != self.name) else { return };
        if self.others.borrow_mut().insert(peer.name.clone(), address) != Some(address) {
            info!("another router announced itself", kv: { peer = &*peer.name });
        }
    }

    /// Takes the end of a router's announcement.
    pub(crate) fn part(&self, name: &str) {
        if self.others.borrow_mut().remove(name).is_some() {
            info!("another router's announcement is gone", kv: { peer = name });
        }
    }

    /// Sends a frame to all others; returns how many bytes went out.
    pub(crate) fn tell(&self, frame: &Frame) -> usize {
        let bytes = match wire::encode(frame) {
            Ok(bytes) => bytes,
            Err(fault) => {
                warn!("a hint can't be written", kv: { fault = fault.to_string() });
                return 0;
            }
        };
        let others = self.others.borrow();
        others.values().filter_map(|it| self.socket.try_send_to(&bytes, *it).ok()).sum()
    }
}

/// Tells the others of this router's own load, until the process stops.
pub(crate) async fn tell_loads(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    let mut told = Loads::default();
    let mut rounds = 0;
    let mut logged = core.clock.now();
    loop {
        tokio::time::sleep(TELL_EVERY.duration()).await;
        if logged.until(core.clock.now()) >= LOG_EVERY {
            logged = core.clock.now();
            log_hints(peers);
        }
        rounds += 1;
        if peers.others.borrow().len() > MOST_PEERS {
            if rounds >= ROUNDS {
                rounds = 0;
                tell_heard(&core, peers);
            }
            continue;
        }
        let loads = core.loads();
        if loads == told && rounds < ROUNDS {
            continue;
        }
        rounds = 0;
        let bytes = peers.tell(&Frame::Loads(loads.clone()));
        core.metrics.control("loads", bytes);
        told = loads;
    }
}

/// Tells the others what answers have told of loads.
fn tell_heard(core: &Core, peers: &Peers) {
    let bytes = peers.tell(&Frame::Heard(core.heard()));
    core.metrics.control("heard", bytes);
}

/// Takes hints until the process stops.
pub(crate) async fn listen(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        match peers.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take(&core, &buffer[..length], from),
            // The host of an earlier datagram says that nobody listens there.
            Err(fault) => debug!("no hint", kv: { fault = fault.to_string() }),
        }
    }
}

fn take(core: &Core, datagram: &[u8], from: SocketAddr) {
    let mut reader = Reader::default();
    reader.push(datagram);
    match reader.frame() {
        Ok(Some(Frame::Warm(warm))) if !reader.is_partial() => take_warm(core, warm),
        Ok(Some(Frame::Heard(heard))) if !reader.is_partial() => {
            core.apply(Event::Heard(heard));
        }
        Ok(Some(Frame::Loads(loads))) if !reader.is_partial() => {
            core.apply(Event::Loads(loads));
        }
        _ => debug!("a datagram is no hint", kv: { from = from.to_string() }),
    }
}

fn take_warm(core: &Core, warm: Warm) {
    if let Some(peers) = core.peers() {
        let mut tally = peers.tally.get();
        match warm.stage {
            Stage::Reading => tally.reading += 1,
            Stage::Read => tally.read += 1,
        }
        tally.parts += warm.parts.len();
        peers.tally.set(tally);
    }
    core.apply(Event::Warm(warm));
}

/// Logs the hints of the last second, if there were any: a line for each would be
/// many times those of all requests in a large fleet.
fn log_hints(peers: &Peers) {
    let Tally { reading, read, parts } = peers.tally.take();
    if reading + read > 0 {
        info!("routers told of warm parts", kv: { reading, read, parts });
    }
}
