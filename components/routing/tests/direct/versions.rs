//! Upstreams of several software versions in one pool: a stream that has begun is continued only at
//! the version that began it.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use routing::{Continuation, Effect, Event, Lookup, Mechanisms, Reply, Settings, State};
use streams::MAX_STREAM_AGE;
use wire::{Build, Chunk, Head};

use crate::fixture::{NOW, arrival, engines_of, failure, retry_after, router, sent_to, settings};

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
    begin_kind(state, id, "stream")
}

fn begin_kind(state: &mut State, id: u64, kind: &str) -> Arc<str> {
    let upstream = sent_to(&state.apply(arrival(id, kind, &format!("chat-{id}")), NOW));
    let head = Reply::Head(Head { attempt: 1, status: 200, headers: Vec::new() });
    state.apply(Event::Reply { id, attempt: 1, reply: head }, NOW);
    let bytes = Bytes::from_static(b"id: 1\n\n");
    let chunk = Reply::Chunk(Chunk { attempt: 1, sequence: 0, bytes });
    state.apply(Event::Reply { id, attempt: 1, reply: chunk }, NOW);
    upstream.expect("an upstream")
}

/// The arrival of request `id`, which continues the stream that request `begun_by` began.
fn take_up(id: u64, kind: &str, begun_by: u64) -> Event {
    let Event::Arrival(mut request) = arrival(id, kind, &format!("chat-{begun_by}")) else {
        unreachable!("an arrival")
    };
    let stream = Some(format!("r-{begun_by}").into());
    request.continuation = Some(Continuation { stream, last_event: Some(1) });
    Event::Arrival(request)
}

fn asks_others(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::FindStream { .. }))
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

#[test]
fn a_continued_stream_stays_in_its_branch_of_a_split_intent() {
    let mut state = router(Settings { retry_burst: 1_000.0, ..settings() });
    let service = |state: &State, name: &str| {
        let upstream = state.upstreams().find(|upstream| &**upstream.name() == name);
        upstream.expect("a listed upstream").host().labels["service"].clone()
    };
    for id in 1..20 {
        let began = begin_kind(&mut state, id, "split");
        lose(&mut state, id, 1);
        let effects = state.apply(take_up(100 + id, "split", id), NOW);
        let continued = sent_to(&effects).expect("an upstream");
        assert_eq!(service(&state, &continued), service(&state, &began), "stream {id}");
    }
}

#[test]
fn a_caller_continues_a_stream_where_another_router_has_its_record() {
    let lookups = [Lookup::Nowhere, Lookup::Unanswered];
    for lookup in lookups {
        let mut state = mixed_router();
        assert!(asks_others(&state.apply(take_up(1, "stream", 90), NOW)));
        let effects = state.apply(Event::Found { id: 1, lookup }, NOW);
        assert_eq!((sent_to(&effects), failure(&effects)), (None, Some(Kind::StreamLost)));
    }
    for id in 1..20 {
        let mut state = mixed_router();
        state.apply(take_up(id, "stream", 90 + id), NOW);
        let build = Build { pool: "engine".into(), version: "v2".into() };
        let effects = state.apply(Event::Found { id, lookup: Lookup::Found(build) }, NOW);
        assert_eq!(&*version(&state, &sent_to(&effects).expect("an upstream")), "v2");
    }
}

#[test]
fn without_records_a_stream_is_continued_only_where_one_version_serves() {
    let mechanisms = Mechanisms { streams: false, ..Mechanisms::default() };
    for (versions, is_continued) in [(["v1", "v1"], true), (["v1", "v2"], false)] {
        let mut state = router(Settings { mechanisms, ..settings() });
        state.apply(engines_of(&versions), NOW);
        state.apply(Event::Builds(Vec::new()), NOW + MAX_STREAM_AGE);
        state.apply(Event::ConfigurationConfirmed { at: NOW + MAX_STREAM_AGE }, NOW);
        let effects = state.apply(take_up(1, "stream", 90), NOW + MAX_STREAM_AGE);
        assert!(!asks_others(&effects));
        assert_eq!(sent_to(&effects).is_some(), is_continued, "{versions:?}: {effects:?}");
    }
}

#[test]
fn a_stream_that_no_router_knows_is_not_worth_a_return() {
    let delay = |lookup| {
        let mut state = mixed_router();
        state.apply(take_up(7, "stream", 3), NOW);
        retry_after(&state.apply(Event::Found { id: 7, lookup }, NOW))
    };
    assert_eq!(delay(Lookup::Nowhere), Some(MAX_STREAM_AGE.0));
    // A router that does not answer may answer soon.
    assert!(delay(Lookup::Unanswered).is_some_and(|after| after < 1_000));
}

#[test]
fn a_stream_whose_version_has_left_is_not_worth_a_return() {
    let mut state = mixed_router();
    begin(&mut state, 3);
    state.apply(engines_of(&["v3", "v3"]), NOW);
    let effects = state.apply(take_up(7, "stream", 3), NOW);
    assert_eq!((failure(&effects), retry_after(&effects)), (Some(Kind::NoUpstream), Some(60_000)));
}
