//! Loads and load observations of other routers.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Bound, Event, Settings, State};
use wire::{Frame, Load, Loads, Observation, Observations};

use crate::fixture::{NOW, arrival, engines, failure, retry_after, router, sent_to, settings};

/// The largest datagram that routers read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

fn router_with_known_bound() -> State {
    let known_bound = Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 0 };
    router(Settings { known_bound, ..settings() })
}

/// Receives a report of `router` with `load` at each of `upstreams`.
fn receive_loads(state: &mut State, router: &str, upstreams: &[&Arc<str>], load: u64, now: Millis) {
    let load =
        |upstream: &&Arc<str>| Load { upstream: (*upstream).clone(), requests: load, waiting: 0 };
    let upstreams = upstreams.iter().map(load).collect();
    let loads = Loads { router: router.into(), current: true, upstreams };
    state.apply(Event::Loads(loads), now);
}

/// The upstream of the tests' chat in an idle fleet.
fn first_ranked() -> Arc<str> {
    sent_to(&router_with_known_bound().apply(arrival(1, "stream", "chat"), NOW))
        .expect("an upstream")
}

fn target(state: &mut State, id: u64, now: Millis) -> Arc<str> {
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    sent_to(&state.apply(arrival(id, "stream", "chat"), now)).expect("an upstream")
}

#[test]
fn excludes_an_upstream_that_other_routers_have_filled() {
    let mut state = router_with_known_bound();
    receive_loads(&mut state, "front-2", &[&first_ranked()], 2, NOW);
    // The floor of the bound is four requests.
    assert_eq!(target(&mut state, 1, NOW), first_ranked());
    receive_loads(&mut state, "front-3", &[&first_ranked()], 2, NOW);
    assert_ne!(target(&mut state, 2, NOW), first_ranked());
    // A later report replaces the earlier one of the same router.
    receive_loads(&mut state, "front-3", &[], 0, NOW);
    assert_eq!(target(&mut state, 3, NOW), first_ranked());
}

#[test]
fn drops_the_loads_of_a_router_that_stops_reporting() {
    let mut state = router_with_known_bound();
    receive_loads(&mut state, "front-2", &[&first_ranked()], 9, NOW);
    receive_loads(&mut state, "front-3", &[], 0, NOW + Millis(1_999));
    assert_ne!(target(&mut state, 1, NOW + Millis(1_999)), first_ranked());
    receive_loads(&mut state, "front-3", &[], 0, NOW + Millis(2_000));
    assert_eq!(target(&mut state, 2, NOW + Millis(2_000)), first_ranked());
}

#[test]
fn uses_observations_once_no_router_reports_loads() {
    // An observed load counts again when no router has reported for a second, with the bound that
    // has a margin.
    let mut state = router_with_known_bound();
    let load = Event::Load { upstream: first_ranked(), requests: 9, waiting: 0 };
    state.apply(load.clone(), NOW);
    receive_loads(&mut state, "front-2", &[], 0, NOW);
    assert_eq!(target(&mut state, 1, NOW + Millis(999)), first_ranked());
    state.apply(load, NOW + Millis(1_000));
    assert_ne!(target(&mut state, 2, NOW + Millis(1_000)), first_ranked());
}

#[test]
fn reports_only_its_own_loads() {
    let mut state = router_with_known_bound();
    receive_loads(&mut state, "front-2", &[&first_ranked()], 2, NOW);
    target(&mut state, 1, NOW);
    let loads = state.loads(&"front-1".into(), NOW);
    let upstreams = vec![Load { upstream: first_ranked(), requests: 1, waiting: 1 }];
    assert_eq!(loads, Loads { router: "front-1".into(), current: true, upstreams });
}

#[test]
fn orders_observations_of_other_routers_by_age() {
    let observations = |requests, age_ms| {
        let observation = Observation { upstream: first_ranked(), requests, waiting: 0, age_ms };
        Event::Observations(Observations { current: true, upstreams: vec![observation] })
    };
    // The floor of the bound is four requests.
    let mut state = router_with_known_bound();
    state.apply(observations(9, 50), NOW);
    assert_ne!(target(&mut state, 1, NOW), first_ranked());
    // A later observation replaces it, an earlier one does not.
    state.apply(observations(0, 10), NOW);
    state.apply(observations(9, 100), NOW);
    assert_eq!(target(&mut state, 2, NOW), first_ranked());
}

#[test]
fn takes_observations_once() {
    let mut state = router_with_known_bound();
    assert_eq!(state.take_observations(NOW).upstreams, []);
    state.apply(Event::Load { upstream: first_ranked(), requests: 3, waiting: 1 }, NOW);
    let observation = Observation { upstream: first_ranked(), requests: 3, waiting: 1, age_ms: 70 };
    assert_eq!(state.take_observations(NOW + Millis(70)).upstreams, [observation]);
    assert_eq!(state.take_observations(NOW + Millis(70)).upstreams, []);
}

#[test]
fn shortens_retry_after_if_another_router_is_current() {
    let retry_after_if = |current| {
        let mut state = router_with_known_bound();
        let later = NOW + Millis(3_100);
        let observations = Observations { current, upstreams: Vec::new() };
        state.apply(Event::Observations(observations), later);
        let effects = state.apply(arrival(1, "safe", "r-1"), later);
        assert_eq!(failure(&effects), Some(Kind::StaleConfiguration));
        retry_after(&effects)
    };
    assert_eq!((retry_after_if(true), retry_after_if(false)), (Some(50), Some(3_000)));
}

#[test]
fn reports_whether_its_configuration_is_current() {
    let settings = Settings { ready_ms: 2_000, ..settings() };
    let state = router(settings);
    let current = |now| state.loads(&"front-1".into(), now).current;
    assert!(current(NOW + Millis(2_000)));
    assert!(!current(NOW + Millis(2_001)));
}

#[test]
fn upstreams_without_observations_do_not_raise_the_mean() {
    let bound = Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 0 };
    let mut state = router(Settings { bound, ..settings() });
    state.apply(Event::RouterCount(10), NOW);
    let first = first_ranked();
    let others =
        (0..4).map(|number| Arc::from(format!("engine-{number}"))).filter(|name| *name != first);
    let second: Arc<str> = others.into_iter().next().expect("an engine");
    // Two engines have nine requests each and two have none: the mean is four and a half, and the
    // bound is below ten.
    for round in 0..40 {
        let at = NOW + Millis(100 * round);
        let observation = |upstream: &Arc<str>| Observation {
            upstream: upstream.clone(),
            requests: 9,
            waiting: 0,
            age_ms: 0,
        };
        let upstreams = vec![observation(&first), observation(&second)];
        state.apply(Event::Observations(Observations { current: true, upstreams }), at);
    }
    assert_ne!(target(&mut state, 1, NOW + Millis(3_900)), first);
}

/// A router that has sent a request to each of `count` engines, and two to one of them.
fn loaded_router(count: usize) -> State {
    let bound = Bound { multiple: 1.0, floor: 1, margin: 0.0, extra: 0 };
    let mut state = router(Settings { bound, current_ms: 0, ..settings() });
    state.apply(engines(&vec!["d"; count]), NOW);
    for id in 0..=count as u64 {
        state.apply(arrival(id, "stream", &format!("chat-{id}")), NOW);
    }
    state
}

#[test]
fn reports_the_highest_loads_that_fit_a_datagram() {
    for (count, reported) in [(400, 400), (1_400, 1_100)] {
        let loads = loaded_router(count).loads(&"front-1".into(), NOW);
        assert!(loads.upstreams.len() >= reported, "{} of {count}", loads.upstreams.len());
        assert!(loads.upstreams.iter().any(|load| load.requests == 2), "{count} engines");
        let bytes = wire::encode(&Frame::Loads(loads)).expect("a frame").len();
        assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes for {count} engines");
    }
}

/// Receives an observation of `requests` at each of `upstreams`, made at `at`.
fn observe(state: &mut State, upstreams: &[&str], requests: u64, at: Millis) {
    let observation = |upstream: &&str| Observation {
        upstream: (*upstream).into(),
        requests,
        waiting: 0,
        age_ms: 0,
    };
    let upstreams = upstreams.iter().map(observation).collect();
    state.apply(Event::Observations(Observations { current: true, upstreams }), at);
}

/// Whether a chat goes to its first upstream in rank, with 40 requests there, 900 ms after the
/// others were observed with 20, and with `before` 500 ms earlier.
fn keeps_first_upstream(before: u64) -> bool {
    let first = first_ranked();
    let others: Vec<_> = ["engine-0", "engine-1", "engine-2", "engine-3"]
        .into_iter()
        .filter(|name| **name != *first)
        .collect();
    let mut state = router(settings());
    observe(&mut state, &others, before, NOW);
    observe(&mut state, &others, 20, NOW + Millis(500));
    observe(&mut state, &[&first], 40, NOW + Millis(1_400));
    target(&mut state, 1, NOW + Millis(1_400)) == first
}

#[test]
fn falling_loads_lower_the_mean_before_they_are_observed_again() {
    assert!(keeps_first_upstream(20));
    assert!(!keeps_first_upstream(28));
}

#[test]
fn rising_loads_do_not_raise_the_mean_before_they_are_observed_again() {
    assert!(keeps_first_upstream(12));
}
