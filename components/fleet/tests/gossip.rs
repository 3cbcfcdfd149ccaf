//! Hints reach each router of a fleet once, by few datagrams.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::Peer;
use fleet::{Gossip, Neighbours, Origin};
use wire::{Frame, Observation, Observations, Reader};

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), hints: None, domain: "".into(), strength: 0 }
}

/// A hint of its own for each router.
fn hint(name: &str) -> Frame {
    let told = Observation { upstream: name.into(), requests: 1, waiting: 0, age_ms: 10 };
    Frame::Observations(Observations { current: true, upstreams: vec![told] })
}

fn frames(datagram: &Bytes) -> Vec<Frame> {
    let mut reader = Reader::default();
    reader.push(datagram);
    let frames = std::iter::from_fn(|| reader.frame().expect("a frame")).collect();
    assert!(!reader.is_partial());
    frames
}

/// How many routers have passed a datagram's hints on, and these.
fn hints(datagram: &Bytes) -> (u32, Vec<Frame>) {
    let mut frames = frames(datagram);
    let Frame::Forwarded(hops) = frames.remove(0) else { panic!("no head") };
    (hops, frames)
}

struct Router {
    neighbours: Neighbours,
    spread: Gossip,
    heard: BTreeMap<Arc<str>, usize>,
}

/// A fleet of domains in which two routers follow the store, `direct` others hear from each of
/// them, and one more from each of these.
fn fleet(domains: usize, direct: usize) -> BTreeMap<Arc<str>, Router> {
    let mut ways: BTreeMap<Arc<str>, Neighbours> = BTreeMap::new();
    let followers: Vec<String> =
        (0..domains).flat_map(|domain| [0, 1].map(|it| format!("f-{domain}-{it}"))).collect();
    for follower in &followers {
        let others = followers.iter().filter(|it| *it != follower).map(|it| peer(it)).collect();
        ways.entry(follower.as_str().into()).or_default().pollers = others;
        for number in 0..direct {
            let (near, far) = (format!("{follower}-n{number}"), format!("{follower}-f{number}"));
            ways.entry(near.as_str().into()).or_default().source = Some(peer(follower));
            ways.entry(far.as_str().into()).or_default().source = Some(peer(&near));
            ways.entry(follower.as_str().into()).or_default().subscribers.push(peer(&near));
            ways.entry(near.as_str().into()).or_default().subscribers.push(peer(&far));
        }
    }
    let router =
        |neighbours| Router { neighbours, spread: Gossip::default(), heard: BTreeMap::new() };
    ways.into_iter().map(|(name, it)| (name, router(it))).collect()
}

/// Lets all routers tell what they have until nobody has anything; returns the datagrams that
/// each sent.
fn settle(fleet: &mut BTreeMap<Arc<str>, Router>) -> BTreeMap<Arc<str>, usize> {
    let mut sent = BTreeMap::new();
    loop {
        let mut under_way = Vec::new();
        for (name, router) in fleet.iter_mut() {
            let datagrams = router.spread.flush(&router.neighbours, Millis(50));
            *sent.entry(name.clone()).or_default() += datagrams.len();
            under_way.extend(datagrams.into_iter().map(|it| (name.clone(), it)));
        }
        if under_way.is_empty() {
            return sent;
        }
        for (from, (to, datagram)) in under_way {
            let router = fleet.get_mut(&to.name).expect("a router");
            let origin = router.neighbours.origin(&from);
            let (hops, hints) = hints(&datagram);
            for frame in hints {
                let Frame::Observations(heard) = &frame else { panic!("{frame:?}") };
                *router.heard.entry(heard.upstreams[0].upstream.clone()).or_default() += 1;
                router.spread.push(origin.clone(), frame, hops + 1, Millis::ZERO);
            }
        }
    }
}

#[test]
fn each_hint_reaches_each_other_router_once() {
    let mut fleet = fleet(3, 6);
    for (name, router) in &mut fleet {
        router.spread.push(Origin::Own, hint(name), 0, Millis::ZERO);
    }
    settle(&mut fleet);
    let names: Vec<_> = fleet.keys().cloned().collect();
    for (name, router) in &fleet {
        let expected: BTreeMap<_, _> =
            names.iter().filter(|it| *it != name).map(|it| (it.clone(), 1)).collect();
        assert_eq!(router.heard, expected, "{name}");
    }
}

#[test]
fn datagrams_grow_with_neighbours_and_not_with_the_fleet() {
    for (domains, direct) in [(2, 6), (5, 18)] {
        let mut fleet = fleet(domains, direct);
        let size = fleet.len();
        for (name, router) in &mut fleet {
            router.spread.push(Origin::Own, hint(name), 0, Millis::ZERO);
        }
        let sent = settle(&mut fleet);
        // What all know takes so many datagrams; each router hands them on to its neighbours.
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
    let mut spread = Gossip::default();
    spread.push(Origin::Own, hint("i-1"), 0, Millis(100));
    let neighbours = Neighbours { source: Some(peer("f")), ..Neighbours::default() };
    let datagrams = spread.flush(&neighbours, Millis(145));
    let Frame::Observations(heard) = &hints(&datagrams[0].1).1[0] else { panic!("a hint") };
    assert_eq!(heard.upstreams[0].age_ms, 55);
}

#[test]
fn the_oldest_hints_are_given_up_where_too_many_wait() {
    let mut spread = Gossip::default();
    for number in 0..3_000 {
        spread.push(Origin::Own, hint(&format!("i-{number}")), 0, Millis::ZERO);
    }
    let neighbours = Neighbours { source: Some(peer("f")), ..Neighbours::default() };
    let datagrams = spread.flush(&neighbours, Millis::ZERO);
    let told: Vec<_> = datagrams.iter().flat_map(|it| hints(&it.1).1).collect();
    assert_eq!(told.len(), 1_024);
    assert_eq!(told.last(), Some(&hint("i-2999")));
}

#[test]
fn routers_that_hear_from_each_other_in_a_circle_do_not_pass_hints_on_for_ever() {
    let names = ["a", "b", "c"];
    let router = |number: usize| Router {
        neighbours: Neighbours {
            source: Some(peer(names[(number + 1) % 3])),
            subscribers: vec![peer(names[(number + 2) % 3])],
            pollers: Vec::new(),
        },
        spread: Gossip::default(),
        heard: BTreeMap::new(),
    };
    let mut fleet: BTreeMap<Arc<str>, Router> =
        (0..3).map(|it| (names[it].into(), router(it))).collect();
    let first = fleet.get_mut("a").expect("a router");
    first.spread.push(Origin::Own, hint("a"), 0, Millis::ZERO);
    let sent = settle(&mut fleet);
    assert!(sent.values().sum::<usize>() < 30, "{sent:?}");
}
