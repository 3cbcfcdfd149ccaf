//! Hints on their way through a fleet too large for each router to tell all others.
//!
//! Hints go the way by which routers hear of the store, in both directions: a router tells the
//! one that it hears from and those that hear from it, and followers tell each other. Each
//! router gets each hint once, by datagrams of which one holds many; no router tells more than a
//! few dozen others, and only followers tell other failure domains.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use clock::Millis;
use edge::Peer;
use wire::Frame;

/// The most bytes of hints in one datagram: it fits into one packet.
const DATAGRAM: usize = 1_200;

/// The most hints that wait; beyond that the oldest are given up.
const MOST: usize = 1_024;

/// The most routers that pass a hint on. The way from one end of a fleet to the other is shorter;
/// routers that hear from each other in a circle would pass hints on for ever.
const MOST_HOPS: u32 = 8;

/// Where a hint comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From this router itself.
    Own,
    /// From the router that this one hears from.
    Source,
    /// From a follower that this router, a follower too, does not hear from.
    Poller,
    /// From a router that hears from this one.
    Subscriber(Arc<str>),
}

/// The routers that this one exchanges hints with.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// The one that it hears from.
    pub source: Option<Peer>,
    /// Those that hear from it.
    pub subscribers: Vec<Peer>,
    /// The other followers, where it is one.
    pub pollers: Vec<Peer>,
}

impl Neighbours {
    /// Where a hint that a router of this name sent comes from.
    pub fn origin(&self, name: &str) -> Origin {
        if self.source.as_ref().is_some_and(|it| &*it.name == name) {
            return Origin::Source;
        }
        let hearer = self.subscribers.iter().find(|it| &*it.name == name);
        hearer.map_or(Origin::Poller, |it| Origin::Subscriber(it.name.clone()))
    }
}

/// A hint that waits to be sent.
#[derive(Debug)]
struct Hint {
    origin: Origin,
    frame: Frame,
    /// How many routers have passed it on.
    hops: u32,
    came: Millis,
}

/// A hint as it is sent.
struct Written {
    origin: Origin,
    hops: u32,
    bytes: Bytes,
}

/// The hints that wait to be sent.
#[derive(Debug, Default)]
pub struct Gossip {
    waiting: VecDeque<Hint>,
}

impl Gossip {
    /// Takes a hint to be sent, which `hops` routers have passed on.
    pub fn push(&mut self, origin: Origin, frame: Frame, hops: u32, now: Millis) {
        if hops > MOST_HOPS {
            return;
        }
        if self.waiting.len() >= MOST {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Hint { origin, frame, hops, came: now });
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The datagrams of all that waits, and to whom each goes.
    pub fn flush(&mut self, neighbours: &Neighbours, now: Millis) -> Vec<(Peer, Bytes)> {
        let written: Vec<_> = self.waiting.drain(..).filter_map(|it| write(it, now)).collect();
        let mut datagrams = Vec::new();
        let goes_up = |it: &&Written| matches!(it.origin, Origin::Own | Origin::Subscriber(_));
        for peer in neighbours.source.iter().chain(&neighbours.pollers) {
            pack(peer, written.iter().filter(goes_up), &mut datagrams);
        }
        let source = neighbours.source.as_ref().map(|it| &it.name);
        for peer in neighbours.subscribers.iter().filter(|it| Some(&it.name) != source) {
            let own = Origin::Subscriber(peer.name.clone());
            pack(peer, written.iter().filter(|it| it.origin != own), &mut datagrams);
        }
        datagrams
    }
}

/// Writes a hint; one that can't be written is given up. Ages grow by the time that it waited.
fn write(mut hint: Hint, now: Millis) -> Option<Written> {
    if let Frame::Observations(heard) = &mut hint.frame {
        for told in &mut heard.upstreams {
            told.age_ms += hint.came.until(now).0;
        }
    }
    let bytes = wire::encode(&hint.frame).ok()?;
    Some(Written { origin: hint.origin, hops: hint.hops, bytes })
}

/// Puts hints together into datagrams.
fn pack<'a>(
    peer: &Peer,
    hints: impl Iterator<Item = &'a Written>,
    datagrams: &mut Vec<(Peer, Bytes)>,
) {
    let mut datagram = BytesMut::new();
    let mut hops = 0;
    for hint in hints {
        if !datagram.is_empty() && datagram.len() + hint.bytes.len() > DATAGRAM {
            datagrams.extend(seal(peer, &datagram.split(), hops));
            hops = 0;
        }
        hops = hops.max(hint.hops);
        datagram.extend_from_slice(&hint.bytes);
    }
    if !datagram.is_empty() {
        datagrams.extend(seal(peer, &datagram, hops));
    }
}

/// A datagram whose hints are to be passed on.
fn seal(peer: &Peer, hints: &[u8], hops: u32) -> Option<(Peer, Bytes)> {
    let head = wire::encode(&Frame::Forwarded(hops)).ok()?;
    let datagram = [&head[..], hints].concat();
    Some((peer.clone(), datagram.into()))
}
