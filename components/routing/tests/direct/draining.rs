//! Requests that a draining router still accepts.

use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Reply, State};
use wire::{Chunk, End, Head, Observations, Status};

use crate::fixture::{NOW, arrival, failure, router, sent_to, settings};

/// When requests in flight are interrupted.
const DRAIN_END: Millis = Millis(1_006_000);

/// Answers a request in `took`.
fn answer(state: &mut State, id: u64, took: Millis) -> Vec<Effect> {
    let reply = |reply| Event::Reply { id, attempt: 1, reply };
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(reply(Reply::Head(head)), NOW + took);
    let chunk = Chunk { attempt: 1, sequence: 0, bytes: "x".into() };
    state.apply(reply(Reply::Chunk(chunk)), NOW + took);
    let end = End { attempt: 1, chunks: 1, bytes: 1, status: Status::default() };
    state.apply(reply(Reply::End(end)), NOW + took)
}

/// A draining router that has observed a stream of 800 ms and has another in flight.
fn draining_router() -> State {
    let mut state = router(settings());
    state.apply(arrival(1, "stream", "chat"), NOW);
    answer(&mut state, 1, Millis(800));
    state.apply(arrival(2, "stream", "chat"), NOW);
    state.apply(Event::Drain { until: DRAIN_END }, NOW);
    state
}

/// Asserts that a request of `kind` is accepted until `margin` before the end, and not later.
fn assert_accepted_until(margin: Millis, kind: &str) {
    let mut state = draining_router();
    state.apply(Event::ConfigurationConfirmed { at: DRAIN_END }, NOW);
    let last = Millis(DRAIN_END.0 - margin.0);
    assert!(sent_to(&state.apply(arrival(3, kind, "chat"), last)).is_some());
    let late = state.apply(arrival(4, kind, "chat"), last + Millis(1));
    assert_eq!(failure(&late), Some(Kind::Draining));
}

#[test]
fn accepts_requests_whose_deadline_passes_in_time() {
    // The deadline of the intents.
    assert_accepted_until(Millis(5_000), "safe");
}

/// Short answers in the past don't bound the next one.
#[test]
fn does_not_expect_an_answer_to_be_as_short_as_earlier_ones() {
    assert_accepted_until(Millis(5_000), "stream");
}

#[test]
fn accepts_a_request_with_a_short_deadline_of_its_own() {
    let mut state = draining_router();
    let now = Millis(DRAIN_END.0 - 400);
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    let with_deadline = |id, ms| {
        let Event::Arrival(mut arrival) = arrival(id, "stream", "chat") else {
            panic!("an arrival")
        };
        arrival.deadline = Some(Millis(ms));
        Event::Arrival(arrival)
    };
    assert!(sent_to(&state.apply(with_deadline(3, 400), now)).is_some());
    assert_eq!(failure(&state.apply(with_deadline(4, 401), now)), Some(Kind::Draining));
}

#[test]
fn interrupts_a_request_that_was_sent_with_an_unsure_answer() {
    let mut state = draining_router();
    let effects = state.apply(Event::Interrupt { id: 2 }, DRAIN_END);
    assert_eq!(failure(&effects), Some(Kind::Interrupted));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Cancel)));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Drained)));
    assert!(state.apply(Event::Interrupt { id: 2 }, DRAIN_END).is_empty());
}

#[test]
fn aborts_an_answer_that_has_begun_at_the_end_of_the_drain() {
    let mut state = draining_router();
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id: 2, attempt: 1, reply: Reply::Head(head) }, NOW);
    let effects = state.apply(Event::Interrupt { id: 2 }, DRAIN_END);
    let is_abort = |effect: &Effect| matches!(effect, Effect::Abort(answer) if answer.kind == Kind::InterruptedRunning);
    assert!(effects.iter().any(is_abort), "{effects:?}");
}

#[test]
fn refuses_requests_once_drained() {
    let mut state = draining_router();
    let effects = answer(&mut state, 2, Millis(500));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Drained)));
    let next = state.apply(arrival(3, "stream", "chat"), NOW + Millis(501));
    assert_eq!(failure(&next), Some(Kind::Draining));
}

#[test]
fn gives_a_short_retry_time_if_another_router_is_current() {
    let mut state = draining_router();
    assert_eq!(state.retry_after_ms(Kind::Draining, NOW), 250);
    state.apply(Event::Observations(Observations { current: true, upstreams: Vec::new() }), NOW);
    assert_eq!(state.retry_after_ms(Kind::Draining, NOW), 50);
}
