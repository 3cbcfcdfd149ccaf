//! What other routers tell of their own load, and what comes of it.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Bound, Event, Settings, State};
use wire::{Load, Loads, Observation, Observations};

use crate::fixture::{NOW, arrival, failure, retry_after, router, sent_to, settings};

fn fleet() -> State {
    let known_bound = Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 0 };
    router(Settings { known_bound, ..settings() })
}

/// A router tells that it has `load` at each of `upstreams`.
fn tell(state: &mut State, router: &str, upstreams: &[&Arc<str>], load: u64, now: Millis) {
    let load = |it: &&Arc<str>| Load { upstream: (*it).clone(), requests: load, waiting: 0 };
    let upstreams = upstreams.iter().map(load).collect();
    let loads = Loads { router: router.into(), current: true, upstreams };
    state.apply(Event::Loads(loads), now);
}

/// Where the chat of the tests goes when nobody has any load.
fn first() -> Arc<str> {
    sent_to(&fleet().apply(arrival(1, "stream", "chat"), NOW)).expect("a place")
}

fn place(state: &mut State, id: u64, now: Millis) -> Arc<str> {
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    sent_to(&state.apply(arrival(id, "stream", "chat"), now)).expect("a place")
}

#[test]
fn an_upstream_that_other_routers_fill_is_passed_over() {
    let mut state = fleet();
    tell(&mut state, "front-2", &[&first()], 2, NOW);
    // The floor of the bound is four requests.
    assert_eq!(place(&mut state, 1, NOW), first());
    tell(&mut state, "front-3", &[&first()], 2, NOW);
    assert_ne!(place(&mut state, 2, NOW), first());
    // A router that tells of less has less.
    tell(&mut state, "front-3", &[], 0, NOW);
    assert_eq!(place(&mut state, 3, NOW), first());
}

#[test]
fn what_a_router_told_is_forgotten_once_it_is_not_heard_from() {
    let mut state = fleet();
    tell(&mut state, "front-2", &[&first()], 9, NOW);
    tell(&mut state, "front-3", &[], 0, NOW + Millis(1_999));
    assert_ne!(place(&mut state, 1, NOW + Millis(1_999)), first());
    tell(&mut state, "front-3", &[], 0, NOW + Millis(2_000));
    assert_eq!(place(&mut state, 2, NOW + Millis(2_000)), first());
}

#[test]
fn loads_are_known_only_while_somebody_tells_them() {
    // What an answer told counts again when no router has said anything for a
    // second, with the bound that has a margin for it.
    let mut state = fleet();
    let told = Event::Load { upstream: first(), requests: 9, waiting: 0 };
    state.apply(told.clone(), NOW);
    tell(&mut state, "front-2", &[], 0, NOW);
    assert_eq!(place(&mut state, 1, NOW + Millis(999)), first());
    state.apply(told, NOW + Millis(1_000));
    assert_ne!(place(&mut state, 2, NOW + Millis(1_000)), first());
}

#[test]
fn a_router_tells_its_own_load_and_no_others() {
    let mut state = fleet();
    tell(&mut state, "front-2", &[&first()], 2, NOW);
    place(&mut state, 1, NOW);
    let loads = state.loads(&"front-1".into(), NOW);
    let upstreams = vec![Load { upstream: first(), requests: 1, waiting: 1 }];
    assert_eq!(loads, Loads { router: "front-1".into(), current: true, upstreams });
}

#[test]
fn what_answers_told_another_router_counts_by_its_age() {
    let told = |requests, age_ms| {
        let told = Observation { upstream: first(), requests, waiting: 0, age_ms };
        Event::Observations(Observations { current: true, upstreams: vec![told] })
    };
    // The floor of the bound is four requests.
    let mut state = fleet();
    state.apply(told(9, 50), NOW);
    assert_ne!(place(&mut state, 1, NOW), first());
    // A later word replaces it, an earlier one does not.
    state.apply(told(0, 10), NOW);
    state.apply(told(9, 100), NOW);
    assert_eq!(place(&mut state, 2, NOW), first());
}

#[test]
fn what_answers_tell_is_handed_on_once() {
    let mut state = fleet();
    assert_eq!(state.take_observations(NOW).upstreams, []);
    state.apply(Event::Load { upstream: first(), requests: 3, waiting: 1 }, NOW);
    let told = Observation { upstream: first(), requests: 3, waiting: 1, age_ms: 70 };
    assert_eq!(state.take_observations(NOW + Millis(70)).upstreams, [told]);
    assert_eq!(state.take_observations(NOW + Millis(70)).upstreams, []);
}

#[test]
fn callers_are_told_to_come_back_soon_where_another_router_is_current() {
    let after = |current| {
        let mut state = fleet();
        let later = NOW + Millis(3_100);
        let heard = Observations { current, upstreams: Vec::new() };
        state.apply(Event::Observations(heard), later);
        let effects = state.apply(arrival(1, "safe", "r-1"), later);
        assert_eq!(failure(&effects), Some(Kind::StaleConfiguration));
        retry_after(&effects)
    };
    assert_eq!((after(true), after(false)), (Some(50), Some(3_000)));
}

#[test]
fn a_router_says_whether_it_is_current() {
    let settings = Settings { ready_ms: 2_000, ..settings() };
    let state = router(settings);
    let current = |now| state.loads(&"front-1".into(), now).current;
    assert!(current(NOW + Millis(2_000)));
    assert!(!current(NOW + Millis(2_001)));
}

#[test]
fn upstreams_of_which_nobody_hears_do_not_raise_the_mean() {
    let bound = Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 0 };
    let mut state = router(Settings { bound, ..settings() });
    state.apply(Event::RouterCount(10), NOW);
    let first = first();
    let others = (0..4).map(|it| Arc::from(format!("engine-{it}"))).filter(|it| *it != first);
    let second: Arc<str> = others.into_iter().next().expect("an engine");
    // Two engines have nine requests each, two have come back and have none: the mean is
    // four and a half, and the bound leaves no room for a tenth.
    for round in 0..40 {
        let at = NOW + Millis(100 * round);
        let told = |upstream: &Arc<str>| Observation {
            upstream: upstream.clone(),
            requests: 9,
            waiting: 0,
            age_ms: 0,
        };
        let upstreams = vec![told(&first), told(&second)];
        state.apply(Event::Observations(Observations { current: true, upstreams }), at);
    }
    assert_ne!(place(&mut state, 1, NOW + Millis(3_900)), first);
}
