//! Notices of upstreams: leaving and backoff.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Effect, Event, State};

use crate::fixture::{
    NOW, arrival, engines, engines_only, failure, recorded_decision, refusal, retry_after, sent_to,
};

/// A usual backoff.
const BACKOFF: Millis = Millis(3_000);

fn backoff(upstream: &str, duration: Millis) -> Event {
    Event::Backoff { upstream: upstream.into(), duration }
}

fn leaving(upstream: &str) -> Event {
    Event::Leaving { upstream: upstream.into() }
}

/// How many of twenty chats are sent to `upstream` at `now`.
fn count_sent_to(state: &mut State, upstream: &str, now: Millis) -> usize {
    let mut count = 0;
    for id in 1_000..1_020 {
        let target = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        count += usize::from(target.as_deref() == Some(upstream));
        state.apply(Event::Cancel { id }, now);
    }
    count
}

#[test]
fn sends_nothing_to_an_upstream_during_its_backoff() {
    let mut state = engines_only(3);
    assert!(count_sent_to(&mut state, "engine-1", NOW) > 0);
    state.apply(backoff("engine-1", BACKOFF), NOW);
    assert_eq!(count_sent_to(&mut state, "engine-1", NOW), 0);
    assert_eq!(count_sent_to(&mut state, "engine-1", NOW + Millis(2_999)), 0);
    assert!(count_sent_to(&mut state, "engine-1", NOW + BACKOFF) > 0);
}

#[test]
fn a_shorter_backoff_neither_ends_a_longer_one_nor_is_logged() {
    let mut state = engines_only(3);
    let is_logged = |state: &mut State, duration, now| {
        !state.apply(backoff("engine-1", duration), now).is_empty()
    };
    assert!(is_logged(&mut state, BACKOFF, NOW));
    assert!(!is_logged(&mut state, Millis(500), NOW + Millis(100)));
    assert_eq!(count_sent_to(&mut state, "engine-1", NOW + Millis(2_900)), 0);
    assert!(is_logged(&mut state, BACKOFF, NOW + Millis(100)));
    assert_eq!(count_sent_to(&mut state, "engine-1", NOW + Millis(3_050)), 0);
}

#[test]
fn keeps_notices_while_the_upstream_is_missing_from_the_list() {
    let mut state = engines_only(3);
    state.apply(backoff("engine-2", BACKOFF), NOW);
    state.apply(leaving("engine-1"), NOW);
    state.apply(engines(&["d"]), NOW);
    state.apply(engines(&["d", "d", "d"]), NOW);
    assert_eq!(["engine-1", "engine-2"].map(|name| count_sent_to(&mut state, name, NOW)), [0, 0]);
    let later = NOW + BACKOFF;
    assert_eq!(count_sent_to(&mut state, "engine-1", later), 0);
    assert!(count_sent_to(&mut state, "engine-2", later) > 0);
}

#[test]
fn does_not_retry_at_an_upstream_that_backs_off_or_is_leaving() {
    let mut state = engines_only(4);
    for (upstream, notice) in
        [("engine-0", backoff("engine-0", BACKOFF)), ("engine-1", leaving("engine-1"))]
    {
        assert!(count_sent_to(&mut state, upstream, NOW) > 0);
        state.apply(arrival(1, "stream", "chat"), NOW);
        state.apply(notice, NOW);
        let next = state.apply(Event::Reply { id: 1, attempt: 1, reply: refusal() }, NOW);
        assert_ne!(sent_to(&next).as_deref(), Some(upstream));
        state.apply(Event::Cancel { id: 1 }, NOW);
    }
}

#[test]
fn does_not_send_a_waiting_request_to_an_upstream_that_backs_off() {
    let mut state = engines_only(1);
    let arrival_with_prefix =
        |id| crate::fixture::arrival_with_prefixes(id, "stream", "chat", &[7]);
    assert!(sent_to(&state.apply(arrival_with_prefix(1), NOW)).is_some());
    let waits = state.apply(arrival_with_prefix(2), NOW);
    assert!(matches!(waits[..], [Effect::Postpone(_)]), "{waits:?}");
    state.apply(backoff("engine-0", BACKOFF), NOW);
    let effects = state.apply(Event::Due { id: 2 }, NOW + Millis(20));
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
}

#[test]
fn spreads_retry_after_beyond_the_first_backoff_if_all_back_off() {
    let mut state = engines_only(2);
    state.apply(backoff("engine-0", BACKOFF), NOW);
    state.apply(backoff("engine-1", Millis(2_000)), NOW);
    let mut delays: Vec<_> = (1..50)
        .map(|id| {
            let effects = state.apply(arrival(id, "stream", "chat"), NOW);
            assert_eq!(failure(&effects), Some(Kind::NoUpstream));
            retry_after(&effects).expect("a time")
        })
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(delays[0] >= 2_000 && delays[delays.len() - 1] <= 2_500, "{delays:?}");
    assert!(delays.len() > 10, "{delays:?}");
}

#[test]
fn refuses_requests_with_the_reason_if_all_upstreams_are_leaving() {
    let mut state = engines_only(2);
    for engine in ["engine-0", "engine-1"] {
        state.apply(leaving(engine), NOW);
    }
    let effects = state.apply(arrival(1, "stream", "chat"), NOW);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
    let decision = recorded_decision(&effects).expect("a decision");
    assert_eq!((&*decision.detail, decision.tries.len()), ("leaving", 0));
    assert!(state.upstreams().all(|upstream| upstream.is_leaving() && !upstream.is_up(NOW)));
}

#[test]
fn ignores_notices_of_another_start() {
    let mut state = engines_only(2);
    state.apply(leaving("engine-1@5"), NOW);
    state.apply(backoff("engine-0@5", BACKOFF), NOW);
    state.apply(engines(&["d", "d"]), NOW);
    for engine in ["engine-0", "engine-1"] {
        assert!(count_sent_to(&mut state, engine, NOW) > 0);
    }
}

proptest! {
    /// In any order of notices, lists and requests, nothing is sent to an upstream that backs off
    /// or is leaving.
    #[test]
    fn never_sends_to_an_upstream_against_its_notice(
        steps in prop::collection::vec((0_u8..6, 0_usize..4, 0_u64..4_000), 1..80),
    ) {
        let mut state = engines_only(4);
        let mut now = NOW;
        let mut closed_until = [Millis::ZERO; 4];
        for (number, (step, index, ms)) in steps.into_iter().enumerate() {
            let upstream: Arc<str> = format!("engine-{index}").into();
            let id = number as u64;
            let effects = match step {
                0 => {
                    closed_until[index] = closed_until[index].max(now + Millis(ms));
                    state.apply(Event::Backoff { upstream, duration: Millis(ms) }, now)
                }
                1 if ms < 400 => {
                    closed_until[index] = Millis(u64::MAX);
                    state.apply(Event::Leaving { upstream }, now)
                }
                2 => {
                    now = now + Millis(ms / 4);
                    Vec::new()
                }
                3 => state.apply(engines(&vec!["d"; index + 1]), now),
                4 => state.apply(Event::ConnectionFailed { id: id.saturating_sub(1), attempt: 1, sent: true }, now),
                _ => state.apply(arrival(id, "stream", &format!("chat-{ms}")), now),
            };
            if let Some(target) = sent_to(&effects) {
                let index: usize = target.trim_start_matches("engine-").parse().expect("an upstream");
                prop_assert!(closed_until[index] <= now, "{} until {}, at {}", target, closed_until[index], now);
            }
        }
    }
}
