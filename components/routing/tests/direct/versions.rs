//! Upstreams of several software versions in one pool: a stream that has begun is continued only at
//! the version that began it.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Reply, Settings, State};
use wire::{Chunk, Head};

use crate::fixture::{NOW, arrival, engines_of, failure, router, sent_to, settings};

const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

fn mixed_router() -> State {
    let mut state = router(Settings { retry_burst: 1_000.0, ..settings() });
    state.apply(engines_of(&VERSIONS), NOW);
    state
}

fn version(state: &State, name: &str) -> Arc<str> {
    let upstream = state.upstreams().find(|upstream| &**upstream.name() == name);
    upstream.expect("a listed upstream").host().version.clone()
}

/// Starts a stream of which one event reaches the caller; returns its upstream.
fn begin(state: &mut State, id: u64) -> Arc<str> {
    let upstream = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), NOW));
    let head = Reply::Head(Head { attempt: 1, status: 200, headers: Vec::new() });
    state.apply(Event::Reply { id, attempt: 1, reply: head }, NOW);
    let bytes = Bytes::from_static(b"id: 1\n\n");
    let chunk = Reply::Chunk(Chunk { attempt: 1, sequence: 0, bytes });
    state.apply(Event::Reply { id, attempt: 1, reply: chunk }, NOW);
    upstream.expect("an upstream")
}

fn lose(state: &mut State, id: u64, attempt: u32) -> Vec<Effect> {
    state.apply(Event::ConnectionFailed { id, attempt, sent: true }, NOW + Millis(10))
}

#[test]
fn continues_a_broken_stream_only_at_the_version_that_began_it() {
    for id in 1..20 {
        let mut state = mixed_router();
        let began = begin(&mut state, id);
        let continued = sent_to(&lose(&mut state, id, 1)).expect("another upstream");
        assert_ne!(continued, began);
        assert_eq!(version(&state, &continued), version(&state, &began), "stream {id}");
    }
}

#[test]
fn breaks_off_a_stream_whose_version_runs_nowhere_else() {
    let mut state = mixed_router();
    let began = begin(&mut state, 1);
    let other = if &*version(&state, &began) == "v1" { "v2" } else { "v1" };
    let left = [0, 1, 2, 3]
        .map(|number| if *began == *format!("engine-{number}") { VERSIONS[number] } else { other });
    state.apply(engines_of(&left), NOW);
    let effects = lose(&mut state, 1, 1);
    assert_eq!((sent_to(&effects), failure(&effects)), (None, Some(Kind::Truncated)));
}

#[test]
fn retries_at_any_version_before_the_first_event() {
    let mut state = mixed_router();
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream");
    let other = if &*version(&state, &first) == "v1" { "v2" } else { "v1" };
    let left = [0, 1, 2, 3]
        .map(|number| if *first == *format!("engine-{number}") { VERSIONS[number] } else { other });
    state.apply(engines_of(&left), NOW);
    assert!(sent_to(&lose(&mut state, 1, 1)).is_some());
}
