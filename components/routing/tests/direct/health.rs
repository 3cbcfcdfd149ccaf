//! Upstreams that fail part of their requests.

use std::sync::Arc;

use clock::Millis;
use routing::{Event, Reply, State};
use wire::{Head, Outcome};

use crate::fleet::{NOW, ask, recorded, router, sent, settings};

/// Has `count` requests of a chat end, every second one badly at its first upstream in
/// rank and well elsewhere. Returns where they went.
fn fail_in_part(state: &mut State, count: u64) -> Vec<Arc<str>> {
    let home = place(&[], NOW);
    let one = |id: u64| {
        let place = sent(&state.apply(ask(id, "stream", "chat"), NOW)).expect("a place");
        let status = if id.is_multiple_of(2) && place == home { 500 } else { 200 };
        let head = Head { attempt: 1, status, headers: Vec::new() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
        state.apply(Event::Quit { id }, NOW);
        place
    };
    (1..=count).map(one).collect()
}

fn outcome(upstream: &str, good: u32, bad: u32) -> Outcome {
    Outcome { upstream: upstream.into(), good, bad }
}

/// Where a request of the chat goes at `now`, if told outcomes are these.
fn place(told: &[Outcome], now: Millis) -> Arc<str> {
    let mut state = router(settings());
    state.apply(Event::Outcomes(told.to_vec()), NOW);
    state.apply(Event::Current { at: now }, now);
    sent(&state.apply(ask(1, "stream", "chat"), now)).expect("a place")
}

/// Outcomes of all engines but `name`: each with `good` and `bad`.
fn others(name: &str, good: u32, bad: u32) -> Vec<Outcome> {
    let names = (0..4).map(|it| format!("engine-{it}")).filter(|it| it != name);
    names.map(|it| outcome(&it, good, bad)).collect()
}

#[test]
fn an_upstream_that_fails_part_of_its_requests_is_passed_over() {
    let mut state = router(settings());
    let places = fail_in_part(&mut state, 20);
    assert_ne!(places[0], places[19]);
    let next = state.apply(ask(21, "stream", "chat"), NOW);
    let left = recorded(&state.apply(Event::Quit { id: 21 }, NOW)).expect("a decision");
    assert_ne!(sent(&next), Some(places[0].clone()));
    let passed = left.passed.iter().find(|it| it.upstream == places[0]).expect("passed over");
    assert_eq!(passed.why, "fails more than its pool");
}

#[test]
fn what_other_routers_tell_of_outcomes_counts_and_fades() {
    let home = place(&[], NOW);
    let mut told = others(&home, 20, 0);
    told.push(outcome(&home, 10, 8));
    assert_ne!(place(&told, NOW), home);
    // Eight failures count as one after three half-lives.
    assert_eq!(place(&told, NOW + Millis(9_000)), home);
}

#[test]
fn where_all_fail_alike_none_is_passed_over() {
    let home = place(&[], NOW);
    for (good, bad) in [(20, 4), (10, 10)] {
        let mut told = others(&home, good, bad);
        told.push(outcome(&home, good, bad + 1));
        assert_eq!(place(&told, NOW), home);
    }
    // Beyond a quarter others promise nothing, whatever one does.
    let mut told = others(&home, 10, 10);
    told.push(outcome(&home, 0, 20));
    assert_eq!(place(&told, NOW), home);
}

#[test]
fn one_failure_says_nothing() {
    let home = place(&[], NOW);
    let mut told = others(&home, 20, 0);
    told.push(outcome(&home, 0, 1));
    assert_eq!(place(&told, NOW), home);
}

#[test]
fn outcomes_are_told_once() {
    let mut state = router(settings());
    let places = fail_in_part(&mut state, 2);
    assert_eq!(state.outcomes(), [outcome(&places[0], 1, 1)]);
    assert_eq!(state.outcomes(), []);
}
