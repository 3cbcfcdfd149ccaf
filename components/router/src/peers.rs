//! The other routers of a fleet, and the socket for hints between them.
//!
//! A hint is one datagram to each other router. No promise rests on one that comes: a
//! hint of warm parts that is lost costs a copy or a second reading, and loads that have
//! not been told for a second are not reckoned with, so that the load bound has its
//! margin again. So nobody answers, nothing is sent again, and a peer that hangs holds
//! nothing up.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use edge::Peer;
use spdlog::{info, warn};
use wire::{Frame, Stage, Warm};

/// The other routers of the fleet.
#[derive(Debug)]
pub(crate) struct Peers {
    name: Arc<str>,
    socket: tokio::net::UdpSocket,
    address: SocketAddr,
    others: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
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
        Ok(Self { name, socket, address, others: RefCell::default(), tally: Cell::default() })
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
        let known = self.others.replace(others);
        let others = self.others.borrow();
        for (name, _) in others.iter().filter(|(name, it)| known.get(*name) != Some(it)) {
            info!("another router announced itself", kv: { peer = &**name });
        }
        for name in known.keys().filter(|it| !others.contains_key(*it)) {
            info!("another router's announcement is gone", kv: { peer = &**name });
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
    pub(crate) fn tally(&self, warm: &Warm) {
        let mut tally = self.tally.get();
        match warm.stage {
            Stage::Reading => tally.reading += 1,
            Stage::Read => tally.read += 1,
        }
        tally.parts += warm.parts.len();
        self.tally.set(tally);
    }

    /// The hints that were counted since this was asked last.
    pub(crate) fn take_tally(&self) -> Tally {
        self.tally.take()
    }
}
