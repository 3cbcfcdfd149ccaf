//! Forwarding of hints in a fleet too large for each router to send to all others.
//!
//! Hints follow the connections over which routers read the store's content, in both directions:
//! a router sends them to its source and its subscribers, and pollers send them to each other.
//! Each router gets each hint once, and only pollers send to other failure domains. A datagram
//! holds many hints.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use clock::Millis;
use edge::Peer;
use wire::Frame;

/// Keeps a datagram within one packet.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Beyond this the oldest hints are dropped.
const MAX_PENDING: usize = 1_024;

/// Ends forwarding between routers that query each other in a cycle; longer than any path
/// through a fleet.
const MAX_HOPS: u32 = 8;

/// Where a hint comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This router.
    Own,
    /// The router that this one reads from.
    Source,
    /// Another poller, if this router is one too.
    Poller,
    /// A subscriber of this router.
    Subscriber(Arc<str>),
}

/// The routers that this one exchanges hints with.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// The router that this one reads from.
    pub source: Option<Peer>,
    /// The direct subscribers of this router.
    pub subscribers: Vec<Peer>,
    /// The other pollers, if this router is one.
    pub pollers: Vec<Peer>,
}

impl Neighbours {
    /// The origin of a hint that router `name` sent.
    pub fn origin(&self, name: &str) -> Origin {
        if self.source.as_ref().is_some_and(|source| &*source.name == name) {
            return Origin::Source;
        }
        let subscriber = self.subscribers.iter().find(|subscriber| &*subscriber.name == name);
        subscriber.map_or(Origin::Poller, |subscriber| Origin::Subscriber(subscriber.name.clone()))
    }
}

/// A hint that waits to be sent.
#[derive(Debug)]
struct Hint {
    origin: Origin,
    frame: Frame,
    /// How many routers have forwarded it.
    hops: u32,
    queued_at: Millis,
}

/// A hint as it is sent.
struct EncodedHint {
    origin: Origin,
    hops: u32,
    bytes: Bytes,
}

/// The hints that wait to be sent.
#[derive(Debug, Default)]
pub struct Gossip {
    pending: VecDeque<Hint>,
}

impl Gossip {
    /// Queues a hint that `hops` routers have forwarded.
    pub fn push(&mut self, origin: Origin, frame: Frame, hops: u32, now: Millis) {
        if hops > MAX_HOPS {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Hint { origin, frame, hops, queued_at: now });
    }

    /// Whether no hint waits to be sent.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes all hints, and returns them as datagrams with their receivers.
    pub fn flush(&mut self, neighbours: &Neighbours, now: Millis) -> Vec<(Peer, Bytes)> {
        let encoded: Vec<_> = self.pending.drain(..).filter_map(|hint| encode(hint, now)).collect();
        let mut datagrams = Vec::new();
        // Hints of the source are not sent back to it, and the poller that a hint comes from has
        // sent it to all other pollers.
        let goes_up =
            |hint: &&EncodedHint| matches!(hint.origin, Origin::Own | Origin::Subscriber(_));
        for peer in neighbours.source.iter().chain(&neighbours.pollers) {
            pack(peer, encoded.iter().filter(goes_up), &mut datagrams);
        }
        let source = neighbours.source.as_ref().map(|source| &source.name);
        for peer in neighbours.subscribers.iter().filter(|peer| Some(&peer.name) != source) {
            let sender = Origin::Subscriber(peer.name.clone());
            pack(peer, encoded.iter().filter(|hint| hint.origin != sender), &mut datagrams);
        }
        datagrams
    }
}

/// Encodes a hint; the ages in it grow by its time in the queue. `None` if that fails.
fn encode(mut hint: Hint, now: Millis) -> Option<EncodedHint> {
    add_age(&mut hint.frame, hint.queued_at.until(now));
    let bytes = wire::encode(&hint.frame).ok()?;
    Some(EncodedHint { origin: hint.origin, hops: hint.hops, bytes })
}

/// Adds to the ages of what a frame reports.
fn add_age(frame: &mut Frame, age: Millis) {
    match frame {
        Frame::Observations(observations) => {
            for observation in &mut observations.upstreams {
                observation.age_ms = observation.age_ms.saturating_add(age.0);
            }
        }
        Frame::Paces(paces) => {
            for pace in paces {
                pace.age_ms = pace.age_ms.saturating_add(age.0);
            }
        }
        _ => {}
    }
}

/// Appends datagrams with `hints` for `peer`.
fn pack<'a>(
    peer: &Peer,
    hints: impl Iterator<Item = &'a EncodedHint>,
    datagrams: &mut Vec<(Peer, Bytes)>,
) {
    let mut datagram = BytesMut::new();
    let mut hops = 0;
    for hint in hints {
        if !datagram.is_empty() && datagram.len() + hint.bytes.len() > MAX_DATAGRAM_BYTES {
            datagrams.extend(finish(peer, &datagram.split(), hops));
            hops = 0;
        }
        hops = hops.max(hint.hops);
        datagram.extend_from_slice(&hint.bytes);
    }
    if !datagram.is_empty() {
        datagrams.extend(finish(peer, &datagram, hops));
    }
}

/// A datagram that begins with the hop count of its hints.
fn finish(peer: &Peer, hints: &[u8], hops: u32) -> Option<(Peer, Bytes)> {
    let head = wire::encode(&Frame::Forwarded(hops)).ok()?;
    let datagram = [&head[..], hints].concat();
    Some((peer.clone(), datagram.into()))
}
