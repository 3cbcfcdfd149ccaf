//! Upstreams that fail some of their requests.

use std::sync::Arc;

use clock::Millis;
use routing::{Event, Reply, State};
use wire::{Head, Outcome};

use crate::fixture::{NOW, arrival, recorded_decision, router, sent_to, settings};

/// Answers `count` requests of a chat; every second one fails if it went to the first-ranked
/// upstream. Returns the upstreams they went to.
fn fail_every_second(state: &mut State, count: u64) -> Vec<Arc<str>> {
    let home = target(&[], NOW);
    let target = |id: u64| {
        let upstream =
            sent_to(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("an upstream");
        let status = if id.is_multiple_of(2) && upstream == home { 500 } else { 200 };
        let head = Head { attempt: 1, status, headers: Vec::new() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
        state.apply(Event::Cancel { id }, NOW);
        upstream
    };
    (1..=count).map(target).collect()
}

fn outcome(upstream: &str, successes: u32, failures: u32) -> Outcome {
    Outcome { upstream: upstream.into(), successes, failures }
}

/// The upstream that a request of the chat is sent to at `now`, after `outcomes` were received.
fn target(outcomes: &[Outcome], now: Millis) -> Arc<str> {
    let mut state = router(settings());
    state.apply(Event::Outcomes(outcomes.to_vec()), NOW);
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    sent_to(&state.apply(arrival(1, "stream", "chat"), now)).expect("an upstream")
}

#[test]
fn excludes_an_upstream_that_fails_some_of_its_requests() {
    let mut state = router(settings());
    let targets = fail_every_second(&mut state, 20);
    assert_ne!(targets[0], targets[19]);
    let next = state.apply(arrival(21, "stream", "chat"), NOW);
    let decision =
        recorded_decision(&state.apply(Event::Cancel { id: 21 }, NOW)).expect("a decision");
    assert_ne!(sent_to(&next), Some(targets[0].clone()));
    let exclusion = decision
        .passed
        .iter()
        .find(|exclusion| exclusion.upstream == targets[0])
        .expect("an exclusion");
    assert_eq!(exclusion.why, "fails more than its pool");
}

/// Whether the first-ranked upstream is excluded at `now` if another router has reported `home`
/// successes and failures for it, and `others` for each other upstream.
fn is_excluded(others: (u32, u32), home: (u32, u32), now: Millis) -> bool {
    let home_name = target(&[], NOW);
    let outcomes = (0..4).map(|number| format!("engine-{number}")).map(|name| {
        let (successes, failures) = if name == *home_name { home } else { others };
        outcome(&name, successes, failures)
    });
    target(&outcomes.collect::<Vec<_>>(), now) != home_name
}

#[test]
fn counts_outcomes_of_other_routers_with_decay() {
    assert!(is_excluded((20, 0), (10, 8), NOW));
    // After three half-lives eight failures count as one.
    assert!(!is_excluded((20, 0), (10, 8), NOW + Millis(9_000)));
}

#[test]
fn excludes_no_upstream_if_all_fail_alike() {
    assert!(!is_excluded((20, 4), (20, 5), NOW));
    assert!(!is_excluded((10, 10), (10, 11), NOW));
    // Beyond a failure ratio of a quarter no upstream is excluded.
    assert!(!is_excluded((10, 10), (0, 20), NOW));
}

#[test]
fn does_not_exclude_an_upstream_after_one_failure() {
    assert!(!is_excluded((20, 0), (0, 1), NOW));
}

#[test]
fn takes_outcomes_once() {
    let mut state = router(settings());
    let targets = fail_every_second(&mut state, 2);
    assert_eq!(state.take_outcomes(), [outcome(&targets[0], 1, 1)]);
    assert_eq!(state.take_outcomes(), []);
}

/// Sends a stream, whose answer begins; returns the upstream.
fn begin_stream(state: &mut State, id: u64) -> Arc<str> {
    let upstream = sent_to(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("an upstream");
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
    upstream
}

#[test]
fn an_answer_that_breaks_off_counts_once() {
    let mut state = router(settings());
    let upstream = begin_stream(&mut state, 1);
    state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert_eq!(state.take_outcomes(), [outcome(&upstream, 0, 1)]);
}

#[test]
fn a_later_success_makes_up_for_one_that_was_reported_before_its_answer_broke_off() {
    let mut state = router(settings());
    let upstream = begin_stream(&mut state, 1);
    assert_eq!(state.take_outcomes(), [outcome(&upstream, 1, 0)]);
    state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert_eq!(state.take_outcomes(), [outcome(&upstream, 0, 1)]);
    for (id, reported) in [(2, 0), (3, 1)] {
        assert_eq!(begin_stream(&mut state, id), upstream);
        let outcomes = state.take_outcomes();
        assert_eq!(outcomes.first().map_or(0, |outcome| outcome.successes), reported);
    }
}
