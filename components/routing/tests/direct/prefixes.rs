//! Exchange of cached prefixes between routers, and its use in routing.

use std::sync::Arc;

use crate::fixture::{
    NOW, arrival_with_long_prefix, arrival_with_prefixes, engines_with, router, sent_to, settings,
};
use clock::Millis;
use routing::{Effect, Event, Reply, State};
use wire::{Head, Stage, WarmPrefixes};

/// The prefixes that the requests share.
const PREFIXES: [u64; 2] = [11, 12];

fn arrive(state: &mut State, id: u64, now: Millis) -> Vec<Effect> {
    state.apply(arrival_with_prefixes(id, "stream", "chat", &PREFIXES), now)
}

fn head(state: &mut State, id: u64, now: Millis) -> Vec<Effect> {
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, now)
}

/// The prefixes that the effects publish to the other routers.
fn published(effects: &[Effect]) -> Option<WarmPrefixes> {
    effects.iter().find_map(|effect| match effect {
        Effect::PublishPrefixes(warm) => Some(warm.clone()),
        _ => None,
    })
}

fn waits(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Postpone(_)])
}

/// The address that the cached prompt is copied from.
fn source(effects: &[Effect]) -> Option<Arc<str>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(attempt) => attempt.copy_from.clone(),
        _ => None,
    })
}

#[test]
fn publishes_prefixes_once_when_the_prefill_begins_and_once_when_it_ends() {
    let mut state = router(settings());
    let effects = arrive(&mut state, 1, NOW);
    let upstream = sent_to(&effects).expect("an upstream");
    let warm = |stage| {
        Some(WarmPrefixes { upstream: upstream.clone(), prefixes: PREFIXES.to_vec(), stage })
    };
    assert_eq!(published(&effects), warm(Stage::Prefilling));
    assert_eq!(published(&head(&mut state, 1, NOW)), warm(Stage::Cached));
    assert_eq!(published(&arrive(&mut state, 2, NOW)), None);
    assert_eq!(published(&head(&mut state, 2, NOW)), None);
}

#[test]
fn a_request_waits_while_its_upstream_prefills_the_same_prefix() {
    let mut state = router(settings());
    let upstream = sent_to(&arrive(&mut state, 1, NOW));
    assert!(waits(&arrive(&mut state, 2, NOW)));
    assert!(waits(&state.apply(Event::Due { id: 2 }, NOW + Millis(20))));
    head(&mut state, 1, NOW + Millis(30));
    let effects = state.apply(Event::Due { id: 2 }, NOW + Millis(40));
    assert_eq!(sent_to(&effects), upstream);
}

#[test]
fn a_request_waits_for_a_prefill_that_another_router_reported() {
    let waits_after = |stage| {
        let mut state = router(settings());
        let upstream = sent_to(&arrive(&mut router(settings()), 1, NOW)).expect("an upstream");
        state.apply(
            Event::WarmPrefixes(WarmPrefixes { upstream, prefixes: PREFIXES.to_vec(), stage }),
            NOW,
        );
        waits(&arrive(&mut state, 1, NOW))
    };
    assert!(waits_after(Stage::Prefilling));
    assert!(!waits_after(Stage::Cached));
}

#[test]
fn sends_a_waiting_request_after_a_quarter_of_its_objective() {
    let mut state = router(settings());
    arrive(&mut state, 1, NOW);
    arrive(&mut state, 2, NOW);
    assert!(waits(&state.apply(Event::Due { id: 2 }, NOW + Millis(199))));
    assert!(sent_to(&state.apply(Event::Due { id: 2 }, NOW + Millis(200))).is_some());
}

#[test]
fn forgets_a_waiting_request_when_its_caller_cancels() {
    let mut state = router(settings());
    arrive(&mut state, 1, NOW);
    arrive(&mut state, 2, NOW);
    state.apply(Event::Cancel { id: 2 }, NOW);
    assert_eq!(state.in_flight(), 1);
    assert!(state.apply(Event::Due { id: 2 }, NOW).is_empty());
}

#[test]
fn prefers_an_upstream_that_holds_the_prefix_and_copies_from_it_beyond_its_bound() {
    let mut state = router(settings());
    let home = sent_to(&arrive(&mut router(settings()), 1, NOW)).expect("an upstream");
    let names = (0..4).map(|number| Arc::<str>::from(format!("engine-{number}")));
    let other = names.into_iter().find(|name| *name != home).expect("another engine");
    let warm = |upstream: &Arc<str>| WarmPrefixes {
        upstream: upstream.clone(),
        prefixes: PREFIXES.to_vec(),
        stage: Stage::Cached,
    };
    state.apply(Event::WarmPrefixes(warm(&other)), NOW);
    for id in 1..5 {
        let effects = arrive(&mut state, id, NOW);
        assert_eq!((sent_to(&effects), source(&effects)), (Some(other.clone()), None));
    }
    let effects = arrive(&mut state, 5, NOW);
    assert_eq!(sent_to(&effects), Some(home));
    assert_eq!(source(&effects), Some(format!("{other}:1").into()));
    // A copy is not published as a prefill.
    assert_eq!(published(&effects), None);
    // Prefixes of an unlisted upstream are ignored.
    state.apply(Event::WarmPrefixes(warm(&"stranger".into())), NOW);
}

#[test]
fn does_not_copy_from_an_unreachable_upstream() {
    let mut state = router(settings());
    let home = sent_to(&arrive(&mut state, 1, NOW)).expect("an upstream");
    head(&mut state, 1, NOW);
    // The home is unreachable, so that the next request goes to another upstream.
    state.apply(Event::Unreachable { upstream: home.clone() }, NOW);
    let effects = arrive(&mut state, 2, NOW);
    assert_ne!(sent_to(&effects), Some(home));
    assert_eq!(source(&effects), None);
}

#[test]
fn copies_only_long_prefixes_from_a_failed_upstream() {
    let copies = |count: u64| {
        let mut state = router(settings());
        let hashes: Vec<_> = (1..=count).collect();
        let arrival = |id| arrival_with_prefixes(id, "stream", "chat", &hashes);
        let home = sent_to(&state.apply(arrival(1), NOW)).expect("an upstream");
        head(&mut state, 1, NOW);
        for id in [2, 3] {
            state.apply(arrival(id), NOW);
            state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW);
        }
        let effects = state.apply(arrival(4), NOW);
        assert_ne!(sent_to(&effects), Some(home));
        source(&effects).is_some()
    };
    assert_eq!((copies(39), copies(40)), (false, true));
}

#[test]
fn forgets_an_unconfirmed_prefill() {
    let waits_at = |at: Millis| {
        let mut state = router(settings());
        let upstream = sent_to(&arrive(&mut router(settings()), 1, NOW)).expect("an upstream");
        let warm = WarmPrefixes { upstream, prefixes: PREFIXES.to_vec(), stage: Stage::Prefilling };
        state.apply(Event::WarmPrefixes(warm), NOW);
        waits(&arrive(&mut state, 1, at))
    };
    assert!(waits_at(NOW + Millis(999)));
    assert!(!waits_at(NOW + Millis(1_000)));
}

#[test]
fn keeps_a_bounded_number_of_the_latest_prefixes() {
    let mut state = router(settings());
    let warm = |upstream: &str, prefix: u64| {
        Event::WarmPrefixes(WarmPrefixes {
            upstream: upstream.into(),
            prefixes: vec![prefix],
            stage: Stage::Cached,
        })
    };
    for prefix in 0..5_000 {
        state.apply(warm("engine-0", prefix), NOW);
        state.apply(warm("engine-1", prefix), NOW);
    }
    let (changes, known) = state.warm_prefixes();
    assert_eq!(changes, 10_000);
    let names: Vec<_> = known.iter().map(|warm| (&*warm.upstream, warm.prefixes.len())).collect();
    assert_eq!(names, [("engine-0", 2_048), ("engine-1", 2_048)]);
    assert!(known.iter().all(|warm| warm.prefixes.contains(&4_999) && !warm.prefixes.contains(&0)));
}

#[test]
fn names_a_second_source_to_a_crowded_engine_that_may_have_evicted_the_prefix() {
    let mut state = router(settings());
    state.apply(engines_with(8, &["a", "a"]), NOW);
    let long_stream = |id| arrival_with_long_prefix(id, "chat", 7, 5_000);
    let first = sent_to(&state.apply(long_stream(1), NOW)).expect("an upstream");
    head(&mut state, 1, NOW);
    assert_eq!(source(&state.apply(long_stream(2), NOW)), None);
    let other = if &*first == "engine-0" { "engine-1" } else { "engine-0" };
    let warm = WarmPrefixes { upstream: other.into(), prefixes: vec![7], stage: Stage::Cached };
    state.apply(Event::WarmPrefixes(warm), NOW);
    // With more free slots the engine is assumed to keep the prefix.
    state.apply(engines_with(16, &["a", "a"]), NOW);
    assert_eq!(source(&state.apply(long_stream(3), NOW)), None);
    state.apply(engines_with(8, &["a", "a"]), NOW);
    let effects = state.apply(long_stream(4), NOW);
    assert_ne!(source(&effects), None);
    assert_ne!(source(&effects), sent_to(&effects).map(|name| format!("{name}:1").into()));
    // A failed upstream is no source.
    for name in ["engine-0", "engine-1"] {
        state.apply(Event::Unreachable { upstream: name.into() }, NOW);
    }
    assert_eq!(source(&state.apply(long_stream(5), NOW)), None);
}
