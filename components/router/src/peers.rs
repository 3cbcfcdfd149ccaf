//! The other routers of a fleet, and the socket for hints between them.
//!
//! A hint is one datagram to each other router, or in large fleets a part of one to each
//! neighbour, which passes it on. No promise rests on one that comes: a
//! hint of warm parts that is lost costs a copy or a second reading, and loads that have
//! not been told for a second are not reckoned with, so that the load bound has its
//! margin again. So nobody answers, nothing is sent again, and a peer that hangs holds
//! nothing up.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::Peer;
use fleet::{Gossip, Neighbours, Origin};
use spdlog::{debug, info, warn};
use tokio::sync::Notify;
use wire::{Frame, Stage, WarmPrefixes};

/// The most other routers that each router tells of its hints by itself: what all tell all grows
/// with the square of their number.
const MOST_TOLD: usize = 40;

/// The most routers that come or go at a time of which the log names each.
const MOST_LOGGED: usize = 16;

/// The other routers of the fleet.
#[derive(Debug)]
pub(crate) struct Peers {
    name: Arc<str>,
    socket: tokio::net::UdpSocket,
    address: SocketAddr,
    others: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    /// The names of the others, by their addresses.
    names: RefCell<HashMap<SocketAddr, Arc<str>>>,
    /// Hints that go to neighbours, where there are too many routers to tell all.
    spread: RefCell<Gossip>,
    to_spread: Notify,
    tally: Cell<Tally>,
}

/// Hints of warm parts that were taken since the tally was asked for last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Hints that upstreams were reading parts.
    pub reading: u64,
    /// Hints that upstreams had read parts.
    pub read: u64,
    /// The parts of all.
    pub parts: usize,
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
        Ok(Self {
            name,
            socket,
            address,
            others: RefCell::default(),
            names: RefCell::default(),
            spread: RefCell::default(),
            to_spread: Notify::new(),
            tally: Cell::default(),
        })
    }

    /// Where hints come in.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the routers that there are.
    pub(crate) fn meet(&self, routers: &BTreeMap<Arc<str>, Peer>) {
        let is_other = |it: &&Peer| it.name != self.name;
        let told = |it: &Peer| Some((it.name.clone(), it.hints?));
        let others: BTreeMap<_, _> = routers.values().filter(is_other).filter_map(told).collect();
        let names = others.iter().map(|(name, address)| (*address, name.clone())).collect();
        self.names.replace(names);
        let known = self.others.replace(others);
        let others = self.others.borrow();
        let came: Vec<_> =
            others.iter().filter(|(name, it)| known.get(*name) != Some(it)).collect();
        let gone: Vec<_> = known.keys().filter(|it| !others.contains_key(*it)).collect();
        if came.len() + gone.len() > MOST_LOGGED {
            info!("many routers came or went", kv: { came = came.len(), gone = gone.len() });
            return;
        }
        for (name, _) in came {
            info!("another router announced itself", kv: { peer = &**name });
        }
        for name in gone {
            info!("another router's announcement is gone", kv: { peer = &**name });
        }
    }

    /// Tells all others, in large fleets by way of neighbours; returns how many bytes went out
    /// at once.
    pub(crate) fn tell(&self, frame: Frame, now: Millis) -> usize {
        if self.is_large() {
            self.pass_on(Origin::Own, frame, 0, now);
            return 0;
        }
        let bytes = match wire::encode(&frame) {
            Ok(bytes) => bytes,
            Err(fault) => {
                warn!("a hint can't be written", kv: { fault = fault.to_string() });
                return 0;
            }
        };
        let others = self.others.borrow();
        others.values().filter_map(|it| self.socket.try_send_to(&bytes, *it).ok()).sum()
    }

    /// Tells one router; returns how many bytes went out. What does not go out at once is lost.
    pub(crate) fn tell_one(&self, frame: &Frame, address: SocketAddr) -> usize {
        match wire::encode(frame) {
            Ok(bytes) => {
                let sent = self.socket.try_send_to(&bytes, address);
                if let Err(fault) = &sent {
                    debug!("a message was not sent", kv: { fault = fault.to_string() });
                }
                sent.unwrap_or_default()
            }
            Err(fault) => {
                warn!("a message can't be written", kv: { fault = fault.to_string() });
                0
            }
        }
    }

    /// Whether there are too many routers for each to tell all others.
    pub(crate) fn is_large(&self) -> bool {
        self.count() > MOST_TOLD
    }

    /// The name of the router at an address.
    pub(crate) fn name_of(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.names.borrow().get(&address).cloned()
    }

    /// Has a hint passed on that `hops` routers have passed on before.
    pub(crate) fn pass_on(&self, origin: Origin, frame: Frame, hops: u32, now: Millis) {
        self.spread.borrow_mut().push(origin, frame, hops, now);
        self.to_spread.notify_one();
    }

    /// Waits until there are hints for neighbours.
    pub(crate) async fn has_hints(&self) {
        self.to_spread.notified().await;
    }

    /// Sends the hints that wait to the neighbours; returns how many bytes went out.
    pub(crate) fn flush(&self, neighbours: &Neighbours, now: Millis) -> usize {
        let datagrams = self.spread.borrow_mut().flush(neighbours, now);
        let send = |(peer, bytes): &(Peer, Bytes)| self.socket.try_send_to(bytes, peer.hints?).ok();
        datagrams.iter().filter_map(send).sum()
    }

    /// Waits for a datagram; returns its length and the sender's address.
    ///
    /// # Errors
    ///
    /// The host of an earlier datagram says that nobody listens there.
    pub(crate) async fn hear(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    /// How many other routers there are.
    pub(crate) fn count(&self) -> usize {
        self.others.borrow().len()
    }

    /// Counts a hint that was taken.
    pub(crate) fn tally(&self, warm: &WarmPrefixes) {
        let mut tally = self.tally.get();
        match warm.stage {
            Stage::Prefilling => tally.reading += 1,
            Stage::Cached => tally.read += 1,
        }
        tally.parts += warm.prefixes.len();
        self.tally.set(tally);
    }

    /// The hints that were counted since this was asked last.
    pub(crate) fn take_tally(&self) -> Tally {
        self.tally.take()
    }
}
