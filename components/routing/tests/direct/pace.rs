//! Upstreams that differ in speed, and are slower for moments.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Event, Mechanisms, Settings, State};
use wire::{Delay, Load, Loads, Pace};

use crate::fixture::{NOW, arrival, failure, router, sent_to, settings};

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];

/// A router that has seen each request in a queue take 50 ms, with three of them at each engine.
fn crowded(settings: Settings) -> State {
    let mut state = router(settings);
    let delay = Delay { pool: "engine".into(), priority: 5, waited_ms: 50_000, queued: 1_000 };
    state.apply(Event::Delays(vec![delay]), NOW);
    let load = |it: &&str| Load { upstream: (*it).into(), requests: 3, waiting: 3 };
    let upstreams = ENGINES.iter().map(load).collect();
    let loads = Loads { router: "front-2".into(), current: true, upstreams };
    state.apply(Event::Loads(loads), NOW);
    state
}

/// Where the first request of a chat goes.
fn place(state: &mut State) -> Arc<str> {
    sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("a place")
}

fn slow(upstream: &Arc<str>, percent: u32, age_ms: u64) -> Event {
    Event::Paces(vec![Pace { upstream: upstream.clone(), percent, age_ms }])
}

#[test]
fn a_chat_passes_over_its_first_upstream_while_that_is_too_slow_to_be_in_time() {
    let first = place(&mut crowded(settings()));
    let mut state = crowded(settings());
    state.apply(slow(&first, 100, 1_000), NOW);
    // 150 ms of waiting become 450; 400 are half of the objective.
    state.apply(slow(&first, 300, 0), NOW);
    assert_ne!(place(&mut state), first);
}

#[test]
fn a_slow_moment_that_is_over_sends_no_chat_away() {
    let first = place(&mut crowded(settings()));
    let mut state = crowded(settings());
    state.apply(slow(&first, 100, 3_000), NOW);
    state.apply(slow(&first, 300, 2_000), NOW);
    assert_eq!(place(&mut state), first);
}

#[test]
fn a_slow_first_upstream_keeps_a_chat_that_it_answers_in_time() {
    let first = place(&mut router(settings()));
    let mut state = router(settings());
    state.apply(slow(&first, 300, 0), NOW);
    assert_eq!(place(&mut state), first);
}

#[test]
fn what_would_be_late_at_the_pace_of_all_is_refused() {
    let mut state = crowded(settings());
    for upstream in ENGINES {
        state.apply(slow(&upstream.into(), 300, 0), NOW);
    }
    assert_eq!(failure(&state.apply(arrival(1, "stream", "chat"), NOW)), Some(Kind::WouldMiss));
}

#[test]
fn what_an_upstream_tells_is_handed_on_once_and_with_its_age() {
    let mut state = router(settings());
    let upstream: Arc<str> = "engine-0".into();
    state.apply(Event::Pace { upstream: upstream.clone(), percent: 250 }, NOW);
    let told = Pace { upstream, percent: 250, age_ms: 300 };
    assert_eq!(state.take_paces(NOW + Millis(300)), [told]);
    assert_eq!(state.take_paces(NOW + Millis(300)), []);
}

#[test]
fn the_pace_can_be_left_out_of_account() {
    let mechanisms = Mechanisms { pace: false, ..Mechanisms::default() };
    let settings = Settings { mechanisms, ..settings() };
    let first = place(&mut crowded(settings.clone()));
    let mut state = crowded(settings);
    state.apply(slow(&first, 300, 0), NOW);
    assert_eq!(place(&mut state), first);
}
