//! Hints reach each router of a fleet once, in few datagrams.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::Peer;
use fleet::{Gossip, Neighbours, Origin};
use wire::{Frame, Observation, Observations, Pace, Reader};

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), hints: None, domain: "".into(), strength: 0 }
}

/// A hint that identifies router `name`.
fn hint(name: &str) -> Frame {
    let observation = Observation { upstream: name.into(), requests: 1, waiting: 0, age_ms: 10 };
    Frame::Observations(Observations { current: true, upstreams: vec![observation] })
}

fn frames(datagram: &Bytes) -> Vec<Frame> {
    let mut reader = Reader::default();
    reader.push(datagram);
    let frames = std::iter::from_fn(|| reader.next_frame().expect("a frame")).collect();
    assert!(!reader.is_partial());
    frames
}

/// The hop count and the hints of a datagram.
fn hints(datagram: &Bytes) -> (u32, Vec<Frame>) {
    let mut frames = frames(datagram);
    let Frame::Forwarded(hops) = frames.remove(0) else { panic!("no head") };
    (hops, frames)
}

struct Router {
    neighbours: Neighbours,
    gossip: Gossip,
    /// How often each hint arrived.
    received: BTreeMap<Arc<str>, usize>,
}

/// A fleet in which each domain has two pollers, each poller `direct` subscribers, and each of
/// these one more.
fn fleet(domains: usize, direct: usize) -> BTreeMap<Arc<str>, Router> {
    let mut neighbours: BTreeMap<Arc<str>, Neighbours> = BTreeMap::new();
    let pollers: Vec<String> = (0..domains)
        .flat_map(|domain| [0, 1].map(|number| format!("f-{domain}-{number}")))
        .collect();
    for poller in &pollers {
        let others =
            pollers.iter().filter(|other| *other != poller).map(|other| peer(other)).collect();
        neighbours.entry(poller.as_str().into()).or_default().pollers = others;
        for number in 0..direct {
            let (near, far) = (format!("{poller}-n{number}"), format!("{poller}-f{number}"));
            neighbours.entry(near.as_str().into()).or_default().source = Some(peer(poller));
            neighbours.entry(far.as_str().into()).or_default().source = Some(peer(&near));
            neighbours.entry(poller.as_str().into()).or_default().subscribers.push(peer(&near));
            neighbours.entry(near.as_str().into()).or_default().subscribers.push(peer(&far));
        }
    }
    let router =
        |neighbours| Router { neighbours, gossip: Gossip::default(), received: BTreeMap::new() };
    neighbours.into_iter().map(|(name, neighbours)| (name, router(neighbours))).collect()
}

/// Delivers datagrams until no hint waits; returns how many each router sent.
fn deliver_all(fleet: &mut BTreeMap<Arc<str>, Router>) -> BTreeMap<Arc<str>, usize> {
    let mut sent = BTreeMap::new();
    loop {
        let mut in_flight = Vec::new();
        for (name, router) in fleet.iter_mut() {
            let datagrams = router.gossip.flush(&router.neighbours, Millis(50));
            *sent.entry(name.clone()).or_default() += datagrams.len();
            in_flight.extend(datagrams.into_iter().map(|datagram| (name.clone(), datagram)));
        }
        if in_flight.is_empty() {
            return sent;
        }
        for (from, (to, datagram)) in in_flight {
            let router = fleet.get_mut(&to.name).expect("a router");
            let origin = router.neighbours.origin(&from);
            let (hops, hints) = hints(&datagram);
            for frame in hints {
                let Frame::Observations(observations) = &frame else { panic!("{frame:?}") };
                *router.received.entry(observations.upstreams[0].upstream.clone()).or_default() +=
                    1;
                router.gossip.push(origin.clone(), frame, hops + 1, Millis::ZERO);
            }
        }
    }
}

#[test]
fn each_hint_reaches_each_other_router_once() {
    let mut fleet = fleet(3, 6);
    for (name, router) in &mut fleet {
        router.gossip.push(Origin::Own, hint(name), 0, Millis::ZERO);
    }
    deliver_all(&mut fleet);
    let names: Vec<_> = fleet.keys().cloned().collect();
    for (name, router) in &fleet {
        let expected: BTreeMap<_, _> =
            names.iter().filter(|other| *other != name).map(|other| (other.clone(), 1)).collect();
        assert_eq!(router.received, expected, "{name}");
    }
}

#[test]
fn each_router_sends_one_set_of_datagrams_to_each_neighbour() {
    for (domains, direct) in [(2, 6), (5, 18)] {
        let mut fleet = fleet(domains, direct);
        let size = fleet.len();
        for (name, router) in &mut fleet {
            router.gossip.push(Origin::Own, hint(name), 0, Millis::ZERO);
        }
        let sent = deliver_all(&mut fleet);
        // The datagrams that hold all hints.
        let full = size * 40 / 1_200 + 6;
        for (name, router) in &fleet {
            let neighbours = router.neighbours.subscribers.len()
                + router.neighbours.pollers.len()
                + usize::from(router.neighbours.source.is_some());
            assert!(sent[name] <= neighbours * full, "{name} of {size}: {}", sent[name]);
        }
    }
}

#[test]
fn ages_grow_while_hints_wait() {
    let mut gossip = Gossip::default();
    gossip.push(Origin::Own, hint("i-1"), 0, Millis(100));
    let neighbours = Neighbours { source: Some(peer("f")), ..Neighbours::default() };
    let datagrams = gossip.flush(&neighbours, Millis(145));
    let Frame::Observations(observations) = &hints(&datagrams[0].1).1[0] else { panic!("a hint") };
    assert_eq!(observations.upstreams[0].age_ms, 55);
}

#[test]
fn ages_of_paces_grow_while_they_wait() {
    let mut gossip = Gossip::default();
    let pace = |age_ms| Pace { upstream: "i-1".into(), percent: 300, age_ms };
    gossip.push(Origin::Own, Frame::Paces(vec![pace(10)]), 0, Millis(100));
    let neighbours = Neighbours { source: Some(peer("f")), ..Neighbours::default() };
    let datagrams = gossip.flush(&neighbours, Millis(145));
    assert_eq!(hints(&datagrams[0].1).1, [Frame::Paces(vec![pace(55)])]);
}

#[test]
fn drops_the_oldest_hints_beyond_the_limit() {
    let mut gossip = Gossip::default();
    for number in 0..3_000 {
        gossip.push(Origin::Own, hint(&format!("i-{number}")), 0, Millis::ZERO);
    }
    let neighbours = Neighbours { source: Some(peer("f")), ..Neighbours::default() };
    let datagrams = gossip.flush(&neighbours, Millis::ZERO);
    let sent: Vec<_> = datagrams.iter().flat_map(|datagram| hints(&datagram.1).1).collect();
    assert_eq!(sent.len(), 1_024);
    assert_eq!(sent.last(), Some(&hint("i-2999")));
}

#[test]
fn forwarding_ends_between_routers_in_a_cycle() {
    let names = ["a", "b", "c"];
    let router = |number: usize| Router {
        neighbours: Neighbours {
            source: Some(peer(names[(number + 1) % 3])),
            subscribers: vec![peer(names[(number + 2) % 3])],
            pollers: Vec::new(),
        },
        gossip: Gossip::default(),
        received: BTreeMap::new(),
    };
    let mut fleet: BTreeMap<Arc<str>, Router> =
        (0..3).map(|number| (names[number].into(), router(number))).collect();
    let first = fleet.get_mut("a").expect("a router");
    first.gossip.push(Origin::Own, hint("a"), 0, Millis::ZERO);
    let sent = deliver_all(&mut fleet);
    assert!(sent.values().sum::<usize>() < 30, "{sent:?}");
}
