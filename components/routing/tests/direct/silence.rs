//! Upstreams that say nothing.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use routing::{Effect, Event, Reply, Settings, State};
use wire::{Chunk, Head};

use crate::fixture::{NOW, arrival, router, sent_to, settings};

/// How long nothing may come from an upstream on the tests' routes: twice their
/// objective of 800 ms.
const SILENCE: Millis = Millis(1_600);

fn fleet() -> State {
    router(Settings { retry_burst: 20.0, ..settings() })
}

/// Sends a request at the start; returns where it went.
fn start(state: &mut State, id: u64, kind: &str) -> Arc<str> {
    sent_to(&state.apply(arrival(id, kind, "chat"), NOW)).expect("a place")
}

fn stall(state: &mut State, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
    state.apply(Event::Stalled { id, attempt }, now)
}

fn head(attempt: u32) -> Reply {
    Reply::Head(Head { attempt, status: 200, headers: Vec::new() })
}

/// Whether the request stays where it is; only kept connections are closed.
fn stays(effects: &[Effect]) -> bool {
    effects.iter().all(|it| matches!(it, Effect::Suspect { .. } | Effect::CloseIdle { .. }))
}

fn is_up(state: &State, name: &str, now: Millis) -> bool {
    state.upstreams().any(|it| &**it.name() == name && it.is_up(now))
}

#[test]
fn a_request_that_may_be_repeated_leaves_a_silent_upstream() {
    let mut state = fleet();
    let silent = start(&mut state, 1, "safe");
    let effects = stall(&mut state, 1, 1, NOW + SILENCE);
    assert!(matches!(effects[0], Effect::Cancel));
    let next = sent_to(&effects).expect("another place");
    assert_ne!(next, silent);
    assert!(!is_up(&state, &silent, NOW + SILENCE));
}

#[test]
fn a_request_that_may_not_be_repeated_stays_but_others_avoid_the_upstream() {
    let mut state = fleet();
    let silent = start(&mut state, 1, "unsafe");
    assert!(stays(&stall(&mut state, 1, 1, NOW + SILENCE)));
    for id in 2..6 {
        let place = sent_to(&state.apply(arrival(id, "unsafe", "other"), NOW + SILENCE));
        assert_ne!(place.expect("a place"), silent);
    }
    // Its answer still counts, and the upstream with it.
    let effects =
        state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW + Millis(1_900));
    assert!(matches!(effects[0], Effect::Head(_)));
    assert!(is_up(&state, &silent, NOW + Millis(1_900)));
}

#[test]
fn an_upstream_that_answers_others_is_not_silent() {
    let mut state = fleet();
    let upstream = start(&mut state, 1, "stream");
    assert_eq!(start(&mut state, 2, "stream"), upstream);
    state.apply(Event::Reply { id: 2, attempt: 1, reply: head(1) }, NOW + Millis(100));
    assert!(sent_to(&stall(&mut state, 1, 1, NOW + SILENCE)).is_some());
    assert!(is_up(&state, &upstream, NOW + SILENCE));
}

#[test]
fn a_stream_that_stops_goes_on_elsewhere_if_it_may() {
    let mut state = fleet();
    start(&mut state, 1, "stream");
    state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW);
    let bytes = Bytes::from_static(b"id: 1\n\n");
    let chunk = Reply::Chunk(Chunk { attempt: 1, sequence: 0, bytes });
    state.apply(Event::Reply { id: 1, attempt: 1, reply: chunk }, NOW + Millis(500));
    assert!(stays(&stall(&mut state, 1, 1, NOW + SILENCE)));
    let effects = stall(&mut state, 1, 1, NOW + Millis(500) + SILENCE);
    let resumes = |it: &Effect| matches!(it, Effect::Send(attempt) if attempt.resume);
    assert!(effects.iter().any(resumes), "{effects:?}");
}

#[test]
fn no_retry_is_left_and_the_request_waits_on() {
    let mut state = router(Settings { retry_burst: 0.0, ..settings() });
    start(&mut state, 1, "safe");
    assert!(stays(&stall(&mut state, 1, 1, NOW + SILENCE)));
    let effects = state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW + SILENCE);
    assert!(matches!(effects[0], Effect::Head(_)));
}

#[test]
fn an_upstream_that_was_silent_gets_one_request_until_it_answers() {
    let mut state = fleet();
    let silent = start(&mut state, 1, "stream");
    stall(&mut state, 1, 1, NOW + SILENCE);
    // Its back-off is over, which is at most 10 s.
    let later = NOW + Millis(11_000);
    state.apply(Event::ConfigurationConfirmed { at: later }, later);
    assert_eq!(sent_to(&state.apply(arrival(2, "stream", "chat"), later)), Some(silent.clone()));
    assert_ne!(sent_to(&state.apply(arrival(3, "stream", "chat"), later)), Some(silent.clone()));
    state.apply(Event::Reply { id: 2, attempt: 1, reply: head(1) }, later);
    assert_eq!(sent_to(&state.apply(arrival(4, "stream", "chat"), later)), Some(silent));
}

#[test]
fn after_a_silence_kept_connections_are_closed_once_and_the_next_is_new() {
    let fresh = |effects: &[Effect]| {
        effects.iter().find_map(|it| match it {
            Effect::Send(attempt) => Some(attempt.new_connection),
            _ => None,
        })
    };
    let forgotten = |effects: &[Effect]| {
        effects.iter().filter(|it| matches!(it, Effect::CloseIdle { .. })).count()
    };
    let mut state = fleet();
    assert_eq!(fresh(&state.apply(arrival(1, "safe", "chat"), NOW)), Some(false));
    let effects = stall(&mut state, 1, 1, NOW + SILENCE);
    assert_eq!((fresh(&effects), forgotten(&effects)), (Some(true), 1));
    start(&mut state, 2, "unsafe");
    let stayed = [SILENCE, SILENCE + SILENCE].map(|it| stall(&mut state, 2, 1, NOW + it));
    assert_eq!(stayed.map(|it| forgotten(&it)), [1, 0]);
}
