//! Upstreams that send nothing.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use routing::{Effect, Event, Reply, Settings, State};
use wire::{Chunk, Head};

use crate::fixture::{NOW, arrival, router, sent_to, settings};

/// Silence timeout on the routes of the tests: twice their objective of 800 ms.
const SILENCE_TIMEOUT: Millis = Millis(1_600);

fn router_with_retries() -> State {
    router(Settings { retry_burst: 20.0, ..settings() })
}

/// Sends a request at `NOW`; returns the upstream it went to.
fn start(state: &mut State, id: u64, kind: &str) -> Arc<str> {
    sent_to(&state.apply(arrival(id, kind, "chat"), NOW)).expect("an upstream")
}

fn stall(state: &mut State, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
    state.apply(Event::Stalled { id, attempt }, now)
}

fn head(attempt: u32) -> Reply {
    Reply::Head(Head { attempt, status: 200, headers: Vec::new() })
}

/// Whether the request is not sent elsewhere; idle connections may be closed.
fn is_kept(effects: &[Effect]) -> bool {
    effects.iter().all(|effect| matches!(effect, Effect::Suspect { .. } | Effect::CloseIdle { .. }))
}

fn is_up(state: &State, name: &str, now: Millis) -> bool {
    state.upstreams().any(|upstream| &**upstream.name() == name && upstream.is_up(now))
}

#[test]
fn retries_a_repeatable_request_after_silence() {
    let mut state = router_with_retries();
    let silent = start(&mut state, 1, "safe");
    let effects = stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT);
    assert!(matches!(effects[0], Effect::Cancel));
    let next = sent_to(&effects).expect("another upstream");
    assert_ne!(next, silent);
    assert!(!is_up(&state, &silent, NOW + SILENCE_TIMEOUT));
}

#[test]
fn keeps_an_unrepeatable_request_at_a_silent_upstream_that_others_avoid() {
    let mut state = router_with_retries();
    let silent = start(&mut state, 1, "unsafe");
    assert!(is_kept(&stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT)));
    for id in 2..6 {
        let upstream = sent_to(&state.apply(arrival(id, "unsafe", "other"), NOW + SILENCE_TIMEOUT));
        assert_ne!(upstream.expect("an upstream"), silent);
    }
    // Its answer is still passed on, and ends the suspicion.
    let effects =
        state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW + Millis(1_900));
    assert!(matches!(effects[0], Effect::Head(_)));
    assert!(is_up(&state, &silent, NOW + Millis(1_900)));
}

#[test]
fn does_not_suspect_an_upstream_that_answers_other_requests() {
    let mut state = router_with_retries();
    let upstream = start(&mut state, 1, "stream");
    assert_eq!(start(&mut state, 2, "stream"), upstream);
    state.apply(Event::Reply { id: 2, attempt: 1, reply: head(1) }, NOW + Millis(100));
    assert!(sent_to(&stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT)).is_some());
    assert!(is_up(&state, &upstream, NOW + SILENCE_TIMEOUT));
}

#[test]
fn resumes_a_silent_stream_at_another_upstream() {
    let mut state = router_with_retries();
    start(&mut state, 1, "stream");
    state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW);
    let bytes = Bytes::from_static(b"id: 1\n\n");
    let chunk = Reply::Chunk(Chunk { attempt: 1, sequence: 0, bytes });
    state.apply(Event::Reply { id: 1, attempt: 1, reply: chunk }, NOW + Millis(500));
    assert!(is_kept(&stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT)));
    let effects = stall(&mut state, 1, 1, NOW + Millis(500) + SILENCE_TIMEOUT);
    let resumes = |effect: &Effect| matches!(effect, Effect::Send(attempt) if attempt.resume);
    assert!(effects.iter().any(resumes), "{effects:?}");
}

#[test]
fn keeps_waiting_if_the_retry_budget_is_empty() {
    let mut state = router(Settings { retry_burst: 0.0, ..settings() });
    start(&mut state, 1, "safe");
    assert!(is_kept(&stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT)));
    let effects =
        state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW + SILENCE_TIMEOUT);
    assert!(matches!(effects[0], Effect::Head(_)));
}

#[test]
fn probes_a_silent_upstream_with_one_request_until_it_answers() {
    let mut state = router_with_retries();
    let silent = start(&mut state, 1, "stream");
    stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT);
    // The backoff takes at most 10 s.
    let later = NOW + Millis(11_000);
    state.apply(Event::ConfigurationConfirmed { at: later }, later);
    assert_eq!(sent_to(&state.apply(arrival(2, "stream", "chat"), later)), Some(silent.clone()));
    assert_ne!(sent_to(&state.apply(arrival(3, "stream", "chat"), later)), Some(silent.clone()));
    state.apply(Event::Reply { id: 2, attempt: 1, reply: head(1) }, later);
    assert_eq!(sent_to(&state.apply(arrival(4, "stream", "chat"), later)), Some(silent));
}

#[test]
fn closes_idle_connections_once_after_silence_and_opens_a_new_one() {
    let uses_new_connection = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send(attempt) => Some(attempt.new_connection),
            _ => None,
        })
    };
    let count_closed = |effects: &[Effect]| {
        effects.iter().filter(|effect| matches!(effect, Effect::CloseIdle { .. })).count()
    };
    let mut state = router_with_retries();
    assert_eq!(uses_new_connection(&state.apply(arrival(1, "safe", "chat"), NOW)), Some(false));
    let effects = stall(&mut state, 1, 1, NOW + SILENCE_TIMEOUT);
    assert_eq!((uses_new_connection(&effects), count_closed(&effects)), (Some(true), 1));
    start(&mut state, 2, "unsafe");
    let kept = [SILENCE_TIMEOUT, SILENCE_TIMEOUT + SILENCE_TIMEOUT]
        .map(|time| stall(&mut state, 2, 1, NOW + time));
    assert_eq!(kept.map(|effects| count_closed(&effects)), [1, 0]);
}
