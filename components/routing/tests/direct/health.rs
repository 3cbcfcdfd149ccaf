//! Upstreams that fail part of their requests.

use std::sync::Arc;

use clock::Millis;
use routing::{Event, Reply, State};
use wire::{Head, Outcome};

use crate::fixture::{NOW, arrival, recorded_decision, router, sent_to, settings};

/// Has `count` requests of a chat end, every second one badly at its first upstream in
/// rank and well elsewhere. Returns where they went.
fn fail_in_part(state: &mut State, count: u64) -> Vec<Arc<str>> {
    let home = place(&[], NOW);
    let one = |id: u64| {
        let place = sent_to(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("a place");
        let status = if id.is_multiple_of(2) && place == home { 500 } else { 200 };
        let head = Head { attempt: 1, status, headers: Vec::new() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
        state.apply(Event::Cancel { id }, NOW);
        place
    };
    (1..=count).map(one).collect()
}

fn outcome(upstream: &str, good: u32, bad: u32) -> Outcome {
    Outcome { upstream: upstream.into(), successes: good, failures: bad }
}

/// Where a request of the chat goes at `now`, if told outcomes are these.
fn place(told: &[Outcome], now: Millis) -> Arc<str> {
    let mut state = router(settings());
    state.apply(Event::Outcomes(told.to_vec()), NOW);
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    sent_to(&state.apply(arrival(1, "stream", "chat"), now)).expect("a place")
}

#[test]
fn an_upstream_that_fails_part_of_its_requests_is_passed_over() {
    let mut state = router(settings());
    let places = fail_in_part(&mut state, 20);
    assert_ne!(places[0], places[19]);
    let next = state.apply(arrival(21, "stream", "chat"), NOW);
    let left = recorded_decision(&state.apply(Event::Cancel { id: 21 }, NOW)).expect("a decision");
    assert_ne!(sent_to(&next), Some(places[0].clone()));
    let passed = left.passed.iter().find(|it| it.upstream == places[0]).expect("passed over");
    assert_eq!(passed.why, "fails more than its pool");
}

/// Whether the first in rank is passed over at `now`, if each of the others is told to
/// have had the outcomes `others` and it the outcomes `home`, good and bad.
fn is_passed_over(others: (u32, u32), home: (u32, u32), now: Millis) -> bool {
    let name = place(&[], NOW);
    let outcomes = (0..4).map(|it| format!("engine-{it}")).map(|it| {
        let (good, bad) = if it == *name { home } else { others };
        outcome(&it, good, bad)
    });
    place(&outcomes.collect::<Vec<_>>(), now) != name
}

#[test]
fn what_other_routers_tell_of_outcomes_counts_and_fades() {
    assert!(is_passed_over((20, 0), (10, 8), NOW));
    // Eight failures count as one after three half-lives.
    assert!(!is_passed_over((20, 0), (10, 8), NOW + Millis(9_000)));
}

#[test]
fn where_all_fail_alike_none_is_passed_over() {
    assert!(!is_passed_over((20, 4), (20, 5), NOW));
    assert!(!is_passed_over((10, 10), (10, 11), NOW));
    // Beyond a quarter others promise nothing, whatever one does.
    assert!(!is_passed_over((10, 10), (0, 20), NOW));
}

#[test]
fn one_failure_says_nothing() {
    assert!(!is_passed_over((20, 0), (0, 1), NOW));
}

#[test]
fn outcomes_are_told_once() {
    let mut state = router(settings());
    let places = fail_in_part(&mut state, 2);
    assert_eq!(state.take_outcomes(), [outcome(&places[0], 1, 1)]);
    assert_eq!(state.take_outcomes(), []);
}
