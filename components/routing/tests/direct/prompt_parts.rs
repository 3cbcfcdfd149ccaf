//! Quarantine of prompt parts under which upstreams crash.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Liveness, Settings, State};

use crate::fixture::{NOW, arrival_with_parts, failure, router, sent_to, settings};

/// The part that crashes upstreams.
const FATAL: u64 = 13;

/// A part that all requests share.
const SYSTEM: u64 = 1;

/// Time between a crash and the next request.
const STEP: Millis = Millis(100);

fn router_without_retries() -> State {
    router(Settings { current_ms: 0, ..settings() })
}

/// Sends a request with these parts whose upstream crashes before the answer begins; returns the
/// effects of the crash.
fn crash(state: &mut State, id: u64, parts: &[u64], now: Millis) -> Vec<Effect> {
    let upstream = sent_to(&state.apply(arrival_with_parts(id, "unsafe", parts), now));
    let upstream: Arc<str> = upstream.expect("an upstream");
    state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, now);
    let restarted = Event::Alive { upstream: upstream.clone() };
    let effects = state.apply(Event::Checked { upstream, check: Liveness::Dead }, now);
    state.apply(restarted, now);
    effects
}

/// Whether a request with these parts is sent.
fn is_sent(state: &mut State, id: u64, parts: &[u64], now: Millis) -> bool {
    let effects = state.apply(arrival_with_parts(id, "unsafe", parts), now);
    state.apply(Event::Cancel { id }, now);
    let refused = failure(&effects) == Some(Kind::HeldBack);
    assert!(sent_to(&effects).is_some() || refused, "{effects:?}");
    !refused
}

#[test]
fn quarantines_a_prompt_part_after_the_third_crash() {
    let mut state = router_without_retries();
    let mut now = NOW;
    for id in 1..4 {
        crash(&mut state, id, &[SYSTEM, FATAL, 100 + id], now);
        now = now + STEP;
    }
    assert!(!is_sent(&mut state, 10, &[SYSTEM, FATAL, 200], now));
    assert!(!is_sent(&mut state, 11, &[FATAL], now));
    assert!(is_sent(&mut state, 12, &[SYSTEM, 101, 200], now));
}
