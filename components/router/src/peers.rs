//! The other routers of a fleet, and the socket for hints between them.
//!
//! A hint is one datagram to each other router, or in large fleets to each neighbour, which
//! forwards it. Datagrams are neither acknowledged nor sent again: a lost hint of warm prefixes
//! costs a copy or a second prefill, and loads are ignored once none have been received for a
//! second.

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

/// The most other routers to which hints are broadcast; larger fleets forward them by neighbours,
/// since the traffic grows with the square of the fleet.
const MAX_BROADCAST_PEERS: usize = 40;

/// The most routers that are logged by name when many come or go at once.
const MAX_LOGGED_CHANGES: usize = 16;

#[derive(Debug)]
pub(crate) struct Peers {
    name: Arc<str>,
    socket: tokio::net::UdpSocket,
    address: SocketAddr,
    others: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    names: RefCell<HashMap<SocketAddr, Arc<str>>>,
    /// Hints to be forwarded by neighbours in a large fleet.
    gossip: RefCell<Gossip>,
    gossip_queued: Notify,
    tally: Cell<Tally>,
}

/// Counts of received hints of warm prefixes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Hints that upstreams were prefilling prefixes.
    pub prefilling: u64,
    /// Hints that upstreams had cached prefixes.
    pub cached: u64,
    /// Prefixes in all of these hints.
    pub prefixes: usize,
}

impl Peers {
    /// Listens at `address` for router `name`.
    ///
    /// # Errors
    ///
    /// The address is in use or not of this host.
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
            gossip: RefCell::default(),
            gossip_queued: Notify::new(),
            tally: Cell::default(),
        })
    }

    /// The address that receives hints.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the set of known routers.
    pub(crate) fn set_routers(&self, routers: &BTreeMap<Arc<str>, Peer>) {
        let is_other = |peer: &&Peer| peer.name != self.name;
        let to_entry = |peer: &Peer| Some((peer.name.clone(), peer.hints?));
        let others: BTreeMap<_, _> =
            routers.values().filter(is_other).filter_map(to_entry).collect();
        let names = others.iter().map(|(name, address)| (*address, name.clone())).collect();
        self.names.replace(names);
        let known = self.others.replace(others);
        let others = self.others.borrow();
        let added: Vec<_> =
            others.iter().filter(|(name, address)| known.get(*name) != Some(address)).collect();
        let removed: Vec<_> = known.keys().filter(|name| !others.contains_key(*name)).collect();
        if added.len() + removed.len() > MAX_LOGGED_CHANGES {
            info!("many routers came or went", kv: { came = added.len(), gone = removed.len() });
            return;
        }
        for (name, _) in added {
            info!("another router announced itself", kv: { peer = &**name });
        }
        for name in removed {
            info!("another router's announcement is gone", kv: { peer = &**name });
        }
    }

    /// Sends a frame to all others, in large fleets by way of neighbours; returns the bytes sent,
    /// which is 0 if the frame is queued for neighbours.
    pub(crate) fn broadcast(&self, frame: Frame, now: Millis) -> usize {
        if self.is_large() {
            self.forward(Origin::Own, frame, 0, now);
            return 0;
        }
        let bytes = match wire::encode(&frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("hint can't be encoded", kv: { fault = error.to_string() });
                return 0;
            }
        };
        let others = self.others.borrow();
        others.values().filter_map(|address| self.socket.try_send_to(&bytes, *address).ok()).sum()
    }

    /// Sends a frame to one router; returns the bytes sent. Drops the frame if the socket is not
    /// ready.
    pub(crate) fn send(&self, frame: &Frame, address: SocketAddr) -> usize {
        match wire::encode(frame) {
            Ok(bytes) => {
                let sent = self.socket.try_send_to(&bytes, address);
                if let Err(error) = &sent {
                    debug!("message not sent", kv: { fault = error.to_string() });
                }
                sent.unwrap_or_default()
            }
            Err(error) => {
                warn!("message can't be encoded", kv: { fault = error.to_string() });
                0
            }
        }
    }

    /// Whether there are too many routers for broadcasts.
    pub(crate) fn is_large(&self) -> bool {
        self.count() > MAX_BROADCAST_PEERS
    }

    /// The name of the router at an address.
    pub(crate) fn name_of(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.names.borrow().get(&address).cloned()
    }

    /// Queues a hint for neighbours; `hops` counts how often it was forwarded before.
    pub(crate) fn forward(&self, origin: Origin, frame: Frame, hops: u32, now: Millis) {
        self.gossip.borrow_mut().push(origin, frame, hops, now);
        self.gossip_queued.notify_one();
    }

    /// Waits until hints for neighbours are queued.
    pub(crate) async fn wait_for_hints(&self) {
        self.gossip_queued.notified().await;
    }

    /// Sends the queued hints to the neighbours; returns the bytes sent.
    pub(crate) fn flush(&self, neighbours: &Neighbours, now: Millis) -> usize {
        let datagrams = self.gossip.borrow_mut().flush(neighbours, now);
        let send = |(peer, bytes): &(Peer, Bytes)| self.socket.try_send_to(bytes, peer.hints?).ok();
        datagrams.iter().filter_map(send).sum()
    }

    /// Waits for a datagram; returns its length and the sender's address.
    ///
    /// # Errors
    ///
    /// An earlier datagram was rejected by its destination.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    /// The number of other routers.
    pub(crate) fn count(&self) -> usize {
        self.others.borrow().len()
    }

    /// Counts a received hint.
    pub(crate) fn tally(&self, warm: &WarmPrefixes) {
        let mut tally = self.tally.get();
        match warm.stage {
            Stage::Prefilling => tally.prefilling += 1,
            Stage::Cached => tally.cached += 1,
        }
        tally.prefixes += warm.prefixes.len();
        self.tally.set(tally);
    }

    /// The counts since the last call.
    pub(crate) fn take_tally(&self) -> Tally {
        self.tally.take()
    }
}
