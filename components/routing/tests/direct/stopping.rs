//! Which requests a router that stops still takes.

use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Reply, State};
use wire::{Chunk, End, Head, Observations, Status};

use crate::fixture::{NOW, arrival, failure, router, sent_to, settings};

/// When requests in flight are cut.
const UNTIL: Millis = Millis(1_006_000);

/// Has a request answered that takes `took` in all.
fn answer(state: &mut State, id: u64, took: Millis) -> Vec<Effect> {
    let reply = |reply| Event::Reply { id, attempt: 1, reply };
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(reply(Reply::Head(head)), NOW + took);
    let chunk = Chunk { attempt: 1, sequence: 0, bytes: "x".into() };
    state.apply(reply(Reply::Chunk(chunk)), NOW + took);
    let end = End { attempt: 1, chunks: 1, bytes: 1, status: Status::default() };
    state.apply(reply(Reply::End(end)), NOW + took)
}

/// A router that stops, has seen a stream of 800 ms and has one in flight.
fn stopping() -> State {
    let mut state = router(settings());
    state.apply(arrival(1, "stream", "chat"), NOW);
    answer(&mut state, 1, Millis(800));
    state.apply(arrival(2, "stream", "chat"), NOW);
    state.apply(Event::Drain { until: UNTIL }, NOW);
    state
}

/// Asserts that a request of `kind` is taken as long as `room` is left, and not later.
fn takes_until(room: Millis, kind: &str) {
    let mut state = stopping();
    state.apply(Event::ConfigurationConfirmed { at: UNTIL }, NOW);
    let last = Millis(UNTIL.0 - room.0);
    assert!(sent_to(&state.apply(arrival(3, kind, "chat"), last)).is_some());
    let late = state.apply(arrival(4, kind, "chat"), last + Millis(1));
    assert_eq!(failure(&late), Some(Kind::Draining));
}

#[test]
fn a_request_is_taken_that_will_have_ended_in_time() {
    // Half as long again as the longest seen.
    takes_until(Millis(1_200), "stream");
}

#[test]
fn a_request_of_a_kind_without_answers_is_taken_only_for_as_long_as_it_may_last() {
    // Its deadline.
    takes_until(Millis(5_000), "safe");
}

/// A router was told to stop a second after the first traffic. It had seen nothing but answers
/// of that second, took a stream of 4.9 s 4.4 s before its end for that, and the stream was cut
/// off: longer answers than the time for which it had looked can't have been seen by then.
#[test]
fn answers_of_a_short_time_say_nothing_of_long_ones() {
    let mut state = stopping();
    state.apply(Event::ConfigurationConfirmed { at: NOW + Millis(1_600) }, NOW + Millis(1_600));
    let early = state.apply(arrival(3, "stream", "chat"), NOW + Millis(1_600));
    assert_eq!(failure(&early), Some(Kind::Draining));
    // Twice the time that is left has been looked at.
    state.apply(Event::ConfigurationConfirmed { at: NOW + Millis(4_000) }, NOW + Millis(4_000));
    assert!(sent_to(&state.apply(arrival(4, "stream", "chat"), NOW + Millis(4_000))).is_some());
}

#[test]
fn nothing_is_taken_once_nothing_is_in_flight() {
    let mut state = stopping();
    let effects = answer(&mut state, 2, Millis(500));
    assert!(effects.iter().any(|it| matches!(it, Effect::Drained)));
    let next = state.apply(arrival(3, "stream", "chat"), NOW + Millis(501));
    assert_eq!(failure(&next), Some(Kind::Draining));
}

#[test]
fn callers_are_sent_to_other_routers_at_once_if_there_are_any() {
    let mut state = stopping();
    assert_eq!(state.retry_after_ms(Kind::Draining, NOW), 250);
    state.apply(Event::Observations(Observations { current: true, upstreams: Vec::new() }), NOW);
    assert_eq!(state.retry_after_ms(Kind::Draining, NOW), 50);
}
