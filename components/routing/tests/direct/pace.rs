//! Upstreams that differ in pace or are slower for moments.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Event, Mechanisms, Settings, State};
use wire::{Delay, Load, Loads, Pace};

use crate::fixture::{NOW, arrival, failure, router, sent_to, settings};

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];

/// A router with three waiting requests at each engine, of which each takes 50 ms.
fn saturated(settings: Settings) -> State {
    let mut state = router(settings);
    let delay = Delay { pool: "engine".into(), priority: 5, waited_ms: 50_000, queued: 1_000 };
    state.apply(Event::Delays(vec![delay]), NOW);
    let load = |upstream: &&str| Load { upstream: (*upstream).into(), requests: 3, waiting: 3 };
    let upstreams = ENGINES.iter().map(load).collect();
    let loads = Loads { router: "front-2".into(), current: true, upstreams };
    state.apply(Event::Loads(loads), NOW);
    state
}

/// The upstream that the first request of a chat is sent to.
fn target(state: &mut State) -> Arc<str> {
    sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream")
}

fn slow(upstream: &Arc<str>, percent: u32, age_ms: u64) -> Event {
    Event::Paces(vec![Pace { upstream: upstream.clone(), percent, age_ms }])
}

#[test]
fn a_chat_avoids_its_first_upstream_while_that_is_too_slow() {
    let first = target(&mut saturated(settings()));
    let mut state = saturated(settings());
    state.apply(slow(&first, 100, 1_000), NOW);
    // The wait of 150 ms becomes 450 ms, more than half of the objective of 800 ms.
    state.apply(slow(&first, 300, 0), NOW);
    assert_ne!(target(&mut state), first);
}

#[test]
fn a_chat_stays_after_a_slow_moment_is_over() {
    let first = target(&mut saturated(settings()));
    let mut state = saturated(settings());
    state.apply(slow(&first, 100, 3_000), NOW);
    state.apply(slow(&first, 300, 2_000), NOW);
    assert_eq!(target(&mut state), first);
}

#[test]
fn a_chat_stays_at_a_slow_upstream_that_answers_in_time() {
    let first = target(&mut router(settings()));
    let mut state = router(settings());
    state.apply(slow(&first, 300, 0), NOW);
    assert_eq!(target(&mut state), first);
}

#[test]
fn refuses_a_request_that_would_be_late_at_every_upstream() {
    let mut state = saturated(settings());
    for upstream in ENGINES {
        state.apply(slow(&upstream.into(), 300, 0), NOW);
    }
    assert_eq!(failure(&state.apply(arrival(1, "stream", "chat"), NOW)), Some(Kind::WouldMiss));
}

#[test]
fn takes_paces_once_with_their_age() {
    let mut state = router(settings());
    let upstream: Arc<str> = "engine-0".into();
    state.apply(Event::Pace { upstream: upstream.clone(), percent: 250 }, NOW);
    let pace = Pace { upstream, percent: 250, age_ms: 300 };
    assert_eq!(state.take_paces(NOW + Millis(300)), [pace]);
    assert_eq!(state.take_paces(NOW + Millis(300)), []);
}

#[test]
fn ignores_the_pace_if_the_mechanism_is_off() {
    let mechanisms = Mechanisms { pace: false, ..Mechanisms::default() };
    let settings = Settings { mechanisms, ..settings() };
    let first = target(&mut saturated(settings.clone()));
    let mut state = saturated(settings);
    state.apply(slow(&first, 300, 0), NOW);
    assert_eq!(target(&mut state), first);
}
