//! What many routers send together to an upstream of which nothing new is heard.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use routing::{Bound, Event, Mechanisms, Settings, State};
use wire::{Observation, Observations};

use crate::fixture::{
    NOW, arrival, engines, evacuated, failure, members, router, sent_to, settings,
};

/// How many routers share the engines.
const ROUTERS: usize = 26;

/// Three failure domains; nothing may be sent to the last.
const DOMAINS: [&str; 9] = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];

/// The first seconds are without a proof of who the other routers are.
const SETTLED: Millis = Millis(NOW.0 + 4_000);

/// Router `own`, that knows the others and reaches all engines.
fn fleet(own: usize, mechanisms: Mechanisms) -> State {
    let bound = Bound { multiple: 2.0, floor: 4, margin: 0.1, extra: 1 };
    let mut state = router(Settings { bound, current_ms: 0, mechanisms, ..settings() });
    state.apply(engines(&DOMAINS), NOW);
    state.apply(members(own, ROUTERS), NOW);
    state.apply(Event::RouterCount(ROUTERS), NOW);
    state
}

/// What answers told all routers of the engines.
fn heard(loads: &BTreeMap<Arc<str>, u64>) -> Event {
    let told = |(upstream, load): (&Arc<str>, &u64)| Observation {
        upstream: upstream.clone(),
        requests: *load,
        waiting: 0,
        age_ms: 0,
    };
    Event::Observations(Observations { current: true, upstreams: loads.iter().map(told).collect() })
}

/// Loads of the engines that take something.
fn loads(each: u64) -> BTreeMap<Arc<str>, u64> {
    (0..6).map(|it| (Arc::from(format!("engine-{it}")), each)).collect()
}

/// The requests of `chats` to all routers in turn, each chat `each` times, while no answer
/// begins: how many came to an engine with more than twice the mean and three, how many were
/// refused, and how many there were.
fn surge(fleet: &mut [State], round: u64, chats: &[&str], each: u64) -> (usize, usize, usize) {
    let now = SETTLED + Millis(1_000 * round);
    let mut loads = loads(10);
    for state in fleet.iter_mut() {
        state.apply(Event::ConfigurationConfirmed { at: now }, now);
        state.apply(heard(&loads), now);
    }
    let (mut over, mut refused, mut all) = (0, 0, 0);
    let mut ids = Vec::new();
    for chat in chats {
        for time in 0..each {
            for (own, state) in fleet.iter_mut().enumerate() {
                let id = 1_000_000 * round + 1_000 * time + all as u64;
                let effects = state.apply(arrival(id, "stream", chat), now + Millis(1 + time));
                all += 1;
                ids.push((own, id));
                let Some(place) = sent_to(&effects) else {
                    refused += usize::from(failure(&effects).is_some());
                    continue;
                };
                let sum: u64 = loads.values().sum();
                let load = loads.entry(place).or_default();
                over += usize::from(*load * 9 > 2 * sum + 27);
                *load += 1;
            }
        }
    }
    for (own, id) in ids {
        fleet[own].apply(Event::Cancel { id }, now + Millis(100));
    }
    (over, refused, all)
}

fn surges(mechanisms: Mechanisms, left: &[&str]) -> (usize, usize, usize) {
    let mut routers: Vec<_> = (0..ROUTERS).map(|own| fleet(own, mechanisms)).collect();
    for state in &mut routers {
        state.apply(evacuated(left), NOW);
    }
    let chats = ["one", "two", "three"];
    let round = |round| surge(&mut routers, round, &chats[(round % 3) as usize..][..1], 2);
    (1..=40).map(round).fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2))
}

#[test]
fn routers_do_not_fill_an_upstream_together_that_tells_nothing_for_a_while() {
    let (over, refused, all) = surges(Mechanisms::default(), &["c"]);
    assert_eq!(refused, 0, "the pool has room for them");
    assert!(over * 100 <= all * 3, "{over} of {all} requests are beyond the rule");
}

#[test]
fn room_is_dealt_out_only_while_much_of_a_pool_takes_nothing() {
    let without = Mechanisms { dealt_room: false, ..Mechanisms::default() };
    assert_eq!(surges(Mechanisms::default(), &[]), surges(without, &[]));
    assert_ne!(surges(Mechanisms::default(), &["c"]), surges(without, &["c"]));
}

#[test]
fn one_router_alone_takes_all_the_room() {
    let mut state = fleet(0, Mechanisms::default());
    state.apply(Event::RouterCount(1), NOW);
    state.apply(evacuated(&["c"]), NOW);
    state.apply(Event::ConfigurationConfirmed { at: SETTLED }, SETTLED);
    state.apply(heard(&loads(10)), SETTLED);
    // The mean is 60 requests at nine engines: three more are within the bound of 13.
    let place = |id| sent_to(&state.apply(arrival(id, "stream", "one"), SETTLED + Millis(1)));
    let places: Vec<_> = (1..=3).map(place).collect();
    assert!(places.iter().all(|it| it.is_some() && *it == places[0]), "{places:?}");
}

#[test]
fn room_of_which_nothing_was_ever_heard_is_not_dealt_out() {
    let places = |mechanisms| -> Vec<_> {
        let mut state = fleet(0, mechanisms);
        state.apply(evacuated(&["c"]), NOW);
        state.apply(Event::ConfigurationConfirmed { at: SETTLED }, SETTLED);
        state.apply(heard(&BTreeMap::new()), SETTLED);
        (0..40).map(|id| sent_to(&state.apply(arrival(id, "stream", "one"), SETTLED))).collect()
    };
    let without = Mechanisms { dealt_room: false, ..Mechanisms::default() };
    assert_eq!(places(Mechanisms::default()), places(without));
}
