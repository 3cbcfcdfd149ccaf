//! What routers tell each other of warm parts of prompts, and what comes of it.

use std::sync::Arc;

use crate::fixture::{
    NOW, arrival_with_long_prefix, arrival_with_prefixes, engines_with, router, sent_to, settings,
};
use clock::Millis;
use routing::{Effect, Event, Reply, State};
use wire::{Head, Stage, WarmPrefixes};

/// The parts that the requests share.
const PARTS: [u64; 2] = [11, 12];

fn ask(state: &mut State, id: u64, now: Millis) -> Vec<Effect> {
    state.apply(arrival_with_prefixes(id, "stream", "chat", &PARTS), now)
}

fn head(state: &mut State, id: u64, now: Millis) -> Vec<Effect> {
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, now)
}

/// What the effects tell the other routers.
fn shared(effects: &[Effect]) -> Option<WarmPrefixes> {
    effects.iter().find_map(|it| match it {
        Effect::PublishPrefixes(warm) => Some(warm.clone()),
        _ => None,
    })
}

fn waits(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Wait(_)])
}

/// Where the prompt's cache is to be copied from.
fn source(effects: &[Effect]) -> Option<Arc<str>> {
    effects.iter().find_map(|it| match it {
        Effect::Send(attempt) => attempt.copy_from.clone(),
        _ => None,
    })
}

#[test]
fn others_are_told_once_when_parts_are_being_read_and_once_when_they_are() {
    let mut state = router(settings());
    let effects = ask(&mut state, 1, NOW);
    let upstream = sent_to(&effects).expect("a place");
    let told =
        |stage| Some(WarmPrefixes { upstream: upstream.clone(), prefixes: PARTS.to_vec(), stage });
    assert_eq!(shared(&effects), told(Stage::Prefilling));
    assert_eq!(shared(&head(&mut state, 1, NOW)), told(Stage::Cached));
    assert_eq!(shared(&ask(&mut state, 2, NOW)), None);
    assert_eq!(shared(&head(&mut state, 2, NOW)), None);
}

#[test]
fn a_request_waits_for_parts_that_its_upstream_is_reading() {
    let mut state = router(settings());
    let upstream = sent_to(&ask(&mut state, 1, NOW));
    assert!(waits(&ask(&mut state, 2, NOW)));
    assert!(waits(&state.apply(Event::WaitElapsed { id: 2 }, NOW + Millis(20))));
    head(&mut state, 1, NOW + Millis(30));
    let effects = state.apply(Event::WaitElapsed { id: 2 }, NOW + Millis(40));
    assert_eq!(sent_to(&effects), upstream);
}

#[test]
fn a_request_waits_for_another_routers_reading() {
    let told = |stage| {
        let mut state = router(settings());
        let upstream = sent_to(&ask(&mut router(settings()), 1, NOW)).expect("a place");
        state.apply(
            Event::WarmPrefixes(WarmPrefixes { upstream, prefixes: PARTS.to_vec(), stage }),
            NOW,
        );
        waits(&ask(&mut state, 1, NOW))
    };
    assert!(told(Stage::Prefilling));
    assert!(!told(Stage::Cached));
}

#[test]
fn no_request_waits_for_long() {
    // A quarter of its objective of 800 ms.
    let mut state = router(settings());
    ask(&mut state, 1, NOW);
    ask(&mut state, 2, NOW);
    assert!(waits(&state.apply(Event::WaitElapsed { id: 2 }, NOW + Millis(199))));
    assert!(sent_to(&state.apply(Event::WaitElapsed { id: 2 }, NOW + Millis(200))).is_some());
}

#[test]
fn a_caller_that_leaves_while_its_request_waits_leaves_nothing_behind() {
    let mut state = router(settings());
    ask(&mut state, 1, NOW);
    ask(&mut state, 2, NOW);
    state.apply(Event::Cancel { id: 2 }, NOW);
    assert_eq!(state.in_flight(), 1);
    assert!(state.apply(Event::WaitElapsed { id: 2 }, NOW).is_empty());
}

#[test]
fn a_request_goes_where_its_parts_are_warm_and_past_the_bound_has_them_copied() {
    let mut state = router(settings());
    let home = sent_to(&ask(&mut router(settings()), 1, NOW)).expect("a place");
    let names = (0..4).map(|it| Arc::<str>::from(format!("engine-{it}")));
    let other = names.into_iter().find(|it| *it != home).expect("another engine");
    let warm = |upstream: &Arc<str>| WarmPrefixes {
        upstream: upstream.clone(),
        prefixes: PARTS.to_vec(),
        stage: Stage::Cached,
    };
    state.apply(Event::WarmPrefixes(warm(&other)), NOW);
    for id in 1..5 {
        let effects = ask(&mut state, id, NOW);
        assert_eq!((sent_to(&effects), source(&effects)), (Some(other.clone()), None));
    }
    let effects = ask(&mut state, 5, NOW);
    assert_eq!(sent_to(&effects), Some(home));
    assert_eq!(source(&effects), Some(format!("{other}:1").into()));
    // It copies, so that nobody has to wait for it.
    assert_eq!(shared(&effects), None);
    // What is said of an upstream that the list does not hold is of no use.
    state.apply(Event::WarmPrefixes(warm(&"stranger".into())), NOW);
}

#[test]
fn nothing_is_copied_from_an_upstream_that_can_not_be_reached() {
    let mut state = router(settings());
    let home = sent_to(&ask(&mut state, 1, NOW)).expect("a place");
    head(&mut state, 1, NOW);
    // No connection to its home stands, so that its next request goes elsewhere.
    state.apply(Event::Unreachable { upstream: home.clone() }, NOW);
    let effects = ask(&mut state, 2, NOW);
    assert_ne!(sent_to(&effects), Some(home));
    assert_eq!(source(&effects), None);
}

#[test]
fn only_long_parts_are_copied_from_an_upstream_that_has_failed() {
    let copies = |parts: u64| {
        let mut state = router(settings());
        let shared: Vec<_> = (1..=parts).collect();
        let ask = |id| arrival_with_prefixes(id, "stream", "chat", &shared);
        let home = sent_to(&state.apply(ask(1), NOW)).expect("a place");
        head(&mut state, 1, NOW);
        for id in [2, 3] {
            state.apply(ask(id), NOW);
            state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW);
        }
        let effects = state.apply(ask(4), NOW);
        assert_ne!(sent_to(&effects), Some(home));
        source(&effects).is_some()
    };
    assert_eq!((copies(39), copies(40)), (false, true));
}

#[test]
fn a_reading_that_nobody_confirms_is_forgotten() {
    let begun = |at: Millis| {
        let mut state = router(settings());
        let upstream = sent_to(&ask(&mut router(settings()), 1, NOW)).expect("a place");
        let warm = WarmPrefixes { upstream, prefixes: PARTS.to_vec(), stage: Stage::Prefilling };
        state.apply(Event::WarmPrefixes(warm), NOW);
        waits(&ask(&mut state, 1, at))
    };
    assert!(begun(NOW + Millis(999)));
    assert!(!begun(NOW + Millis(1_000)));
}

#[test]
fn what_is_remembered_is_bounded_and_the_latest() {
    let mut state = router(settings());
    let warm = |upstream: &str, part: u64| {
        Event::WarmPrefixes(WarmPrefixes {
            upstream: upstream.into(),
            prefixes: vec![part],
            stage: Stage::Cached,
        })
    };
    for part in 0..5_000 {
        state.apply(warm("engine-0", part), NOW);
        state.apply(warm("engine-1", part), NOW);
    }
    let (changes, remembered) = state.warm_prefixes();
    assert_eq!(changes, 10_000);
    let names: Vec<_> = remembered.iter().map(|it| (&*it.upstream, it.prefixes.len())).collect();
    assert_eq!(names, [("engine-0", 2_048), ("engine-1", 2_048)]);
    assert!(remembered.iter().all(|it| it.prefixes.contains(&4_999) && !it.prefixes.contains(&0)));
}

#[test]
fn an_engine_that_may_have_dropped_a_part_is_told_who_else_holds_it() {
    let mut state = router(settings());
    state.apply(engines_with(8, &["a", "a"]), NOW);
    let long = |id| arrival_with_long_prefix(id, "chat", 7, 5_000);
    let first = sent_to(&state.apply(long(1), NOW)).expect("a place");
    head(&mut state, 1, NOW);
    assert_eq!(source(&state.apply(long(2), NOW)), None);
    let other = if &*first == "engine-0" { "engine-1" } else { "engine-0" };
    let warm = WarmPrefixes { upstream: other.into(), prefixes: vec![7], stage: Stage::Cached };
    state.apply(Event::WarmPrefixes(warm), NOW);
    // Only where so many run that memory may be short.
    state.apply(engines_with(16, &["a", "a"]), NOW);
    assert_eq!(source(&state.apply(long(3), NOW)), None);
    state.apply(engines_with(8, &["a", "a"]), NOW);
    let effects = state.apply(long(4), NOW);
    assert_ne!(source(&effects), None);
    assert_ne!(source(&effects), sent_to(&effects).map(|it| format!("{it}:1").into()));
    // Not from one that has failed.
    for it in ["engine-0", "engine-1"] {
        state.apply(Event::Unreachable { upstream: it.into() }, NOW);
    }
    assert_eq!(source(&state.apply(long(5), NOW)), None);
}
