//! Allocation of capacity among many routers that act on the same load observations.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use routing::{Bound, Event, Mechanisms, Settings, State};
use wire::{Observation, Observations};

use crate::fixture::{
    NOW, arrival, engines, evacuated, failure, members, router, sent_to, settings,
};

/// Number of routers that share the engines.
const ROUTERS: usize = 26;

/// The failure domains of the engines.
const DOMAINS: [&str; 9] = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];

/// When the routers have counted each other.
const SETTLED: Millis = Millis(NOW.0 + 4_000);

/// Router number `own` of `ROUTERS`, with all engines.
fn fleet_router(own: usize, mechanisms: Mechanisms) -> State {
    let bound = Bound { multiple: 2.0, floor: 4, margin: 0.1, extra: 1 };
    let mut state = router(Settings { bound, current_ms: 0, mechanisms, ..settings() });
    state.apply(engines(&DOMAINS), NOW);
    state.apply(members(own, ROUTERS), NOW);
    state.apply(Event::RouterCount(ROUTERS), NOW);
    state
}

/// Observations of these loads, from another router.
fn observations(loads: &BTreeMap<Arc<str>, u64>) -> Event {
    let observation = |(upstream, load): (&Arc<str>, &u64)| Observation {
        upstream: upstream.clone(),
        requests: *load,
        waiting: 0,
        age_ms: 0,
    };
    Event::Observations(Observations {
        current: true,
        upstreams: loads.iter().map(observation).collect(),
    })
}

/// The load `each` at all engines that are not evacuated.
fn loads(each: u64) -> BTreeMap<Arc<str>, u64> {
    (0..6).map(|number| (Arc::from(format!("engine-{number}")), each)).collect()
}

/// Sends the requests of `chats` to all routers in turn, each chat `each` times, while no answer
/// begins. Returns how many exceeded twice the mean load plus three, how many were refused, and
/// how many were sent in all.
fn surge(fleet: &mut [State], round: u64, chats: &[&str], each: u64) -> (usize, usize, usize) {
    let now = SETTLED + Millis(1_000 * round);
    let mut loads = loads(10);
    for state in fleet.iter_mut() {
        state.apply(Event::ConfigurationConfirmed { at: now }, now);
        state.apply(observations(&loads), now);
    }
    let (mut exceeding, mut refused, mut total) = (0, 0, 0);
    let mut ids = Vec::new();
    for chat in chats {
        for repetition in 0..each {
            for (own, state) in fleet.iter_mut().enumerate() {
                let id = 1_000_000 * round + 1_000 * repetition + total as u64;
                let effects =
                    state.apply(arrival(id, "stream", chat), now + Millis(1 + repetition));
                total += 1;
                ids.push((own, id));
                let Some(upstream) = sent_to(&effects) else {
                    refused += usize::from(failure(&effects).is_some());
                    continue;
                };
                let sum: u64 = loads.values().sum();
                let load = loads.entry(upstream).or_default();
                exceeding += usize::from(*load * 9 > 2 * sum + 27);
                *load += 1;
            }
        }
    }
    for (own, id) in ids {
        fleet[own].apply(Event::Cancel { id }, now + Millis(100));
    }
    (exceeding, refused, total)
}

fn surges(mechanisms: Mechanisms, evacuated_domains: &[&str]) -> (usize, usize, usize) {
    let mut routers: Vec<_> = (0..ROUTERS).map(|own| fleet_router(own, mechanisms)).collect();
    for state in &mut routers {
        state.apply(evacuated(evacuated_domains), NOW);
    }
    let chats = ["one", "two", "three"];
    let round = |round| surge(&mut routers, round, &chats[(round % 3) as usize..][..1], 2);
    (1..=40).map(round).fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2))
}

#[test]
fn routers_do_not_overload_an_upstream_together_between_observations() {
    let (exceeding, refused, total) = surges(Mechanisms::default(), &["c"]);
    assert_eq!(refused, 0, "the pool has enough capacity");
    assert!(exceeding * 100 <= total * 3, "{exceeding} of {total} requests exceed the bound");
}

#[test]
fn divides_capacity_only_while_the_pool_is_degraded() {
    let without = Mechanisms { dealt_room: false, ..Mechanisms::default() };
    assert_eq!(surges(Mechanisms::default(), &[]), surges(without, &[]));
    assert_ne!(surges(Mechanisms::default(), &["c"]), surges(without, &["c"]));
}

#[test]
fn a_single_router_uses_all_capacity() {
    let mut state = fleet_router(0, Mechanisms::default());
    state.apply(Event::RouterCount(1), NOW);
    state.apply(evacuated(&["c"]), NOW);
    state.apply(Event::ConfigurationConfirmed { at: SETTLED }, SETTLED);
    state.apply(observations(&loads(10)), SETTLED);
    // The mean is 60 requests over nine engines, so that three more are within the bound of 13.
    let target = |id| sent_to(&state.apply(arrival(id, "stream", "one"), SETTLED + Millis(1)));
    let targets: Vec<_> = (1..=3).map(target).collect();
    assert!(targets.iter().all(|target| target.is_some() && *target == targets[0]), "{targets:?}");
}

#[test]
fn does_not_divide_capacity_without_observations() {
    let targets = |mechanisms| -> Vec<_> {
        let mut state = fleet_router(0, mechanisms);
        state.apply(evacuated(&["c"]), NOW);
        state.apply(Event::ConfigurationConfirmed { at: SETTLED }, SETTLED);
        state.apply(observations(&BTreeMap::new()), SETTLED);
        (0..40).map(|id| sent_to(&state.apply(arrival(id, "stream", "one"), SETTLED))).collect()
    };
    let without = Mechanisms { dealt_room: false, ..Mechanisms::default() };
    assert_eq!(targets(Mechanisms::default()), targets(without));
}
