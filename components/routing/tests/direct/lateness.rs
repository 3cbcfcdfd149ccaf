//! A router that is late itself: what it refuses, and what it does not blame on upstreams.

use clock::Millis;
use errors::Kind;
use routing::{Event, Mechanisms, Settings, State};

use crate::fixture::{NOW, arrival, failure, retry_after, router, sent_to, settings};

/// Objective of the tests' intents.
const OBJECTIVE: Millis = Millis(800);

/// Deadline of the tests' intents.
const DEADLINE: Millis = Millis(5_000);

fn router_with_retries() -> State {
    router(Settings { retry_burst: 20.0, ..settings() })
}

/// A probe that was due at `NOW` ends `lateness` later.
fn measure(state: &mut State, lateness: Millis) {
    state.apply(Event::ProbeStarted { due: NOW }, NOW);
    state.apply(Event::ProbeEnded, NOW + lateness);
}

#[test]
fn refuses_requests_once_it_is_later_than_their_objective() {
    let mut state = router(settings());
    let now = NOW + OBJECTIVE + Millis(1);
    measure(&mut state, OBJECTIVE + Millis(1));
    for kind in ["stream", "safe", "unsafe"] {
        let effects = state.apply(arrival(1, kind, "chat"), now);
        assert_eq!(failure(&effects), Some(Kind::WouldMiss), "{kind}");
        assert_eq!(sent_to(&effects), None, "{kind}");
        assert!(retry_after(&effects).is_some_and(|after| after > OBJECTIVE.0), "{kind}");
    }
}

#[test]
fn counts_a_probe_that_has_not_ended() {
    let mut state = router(settings());
    state.apply(Event::ProbeStarted { due: NOW }, NOW);
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW + OBJECTIVE)).is_some());
    let effects = state.apply(arrival(2, "stream", "chat"), NOW + OBJECTIVE + Millis(1));
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
}

#[test]
fn sends_again_once_a_probe_was_in_time() {
    let mut state = router(settings());
    measure(&mut state, OBJECTIVE + Millis(1));
    let now = NOW + OBJECTIVE + Millis(2);
    state.apply(Event::ProbeStarted { due: now }, now);
    state.apply(Event::ProbeEnded, now);
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), now)).is_some());
}

#[test]
fn refuses_nothing_without_admission() {
    let mechanisms = Mechanisms { admission: false, ..Mechanisms::default() };
    let mut state = router(Settings { mechanisms, ..settings() });
    measure(&mut state, OBJECTIVE + Millis(1));
    let now = NOW + OBJECTIVE + Millis(1);
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), now)).is_some());
}

#[test]
fn does_not_take_an_upstream_for_silent_within_its_own_lateness() {
    let mut state = router_with_retries();
    let first = sent_to(&state.apply(arrival(1, "safe", "chat"), NOW)).expect("an upstream");
    measure(&mut state, Millis(500));
    let silence = Millis(2 * OBJECTIVE.0);
    let effects = state.apply(Event::Stalled { id: 1, attempt: 1 }, NOW + silence);
    assert_eq!(sent_to(&effects), None);
    let is_up = |state: &State, now| {
        state.upstreams().any(|upstream| *upstream.name() == first && upstream.is_up(now))
    };
    assert!(is_up(&state, NOW + silence));
    let later = NOW + silence + Millis(500);
    let effects = state.apply(Event::Stalled { id: 1, attempt: 1 }, later);
    assert!(sent_to(&effects).is_some_and(|next| next != first));
}

#[test]
fn does_not_retry_if_the_attempt_would_reach_its_upstream_after_the_deadline() {
    let mut state = router_with_retries();
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
    measure(&mut state, Millis(700));
    let failed = Event::ConnectionFailed { id: 1, attempt: 1, sent: true };
    let effects = state.apply(failed, NOW + DEADLINE - Millis(600));
    assert_eq!(sent_to(&effects), None);
    assert_eq!(failure(&effects), Some(Kind::LinkLost));
}
