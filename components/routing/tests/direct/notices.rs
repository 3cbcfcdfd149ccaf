//! What upstreams say of themselves with their answers: that they leave, or want a rest.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Effect, Event, State};

use crate::fixture::{
    NOW, arrival, engines, engines_only, failure, recorded_decision, refusal, retry_after, sent_to,
};

/// A rest as upstreams ask for it.
const REST: Millis = Millis(3_000);

fn rests(upstream: &str, lasts: Millis) -> Event {
    Event::Backoff { upstream: upstream.into(), duration: lasts }
}

fn leaves(upstream: &str) -> Event {
    Event::Leaving { upstream: upstream.into() }
}

/// How many of twenty chats are sent to `upstream` at `now`.
fn goes_to(state: &mut State, upstream: &str, now: Millis) -> usize {
    let mut count = 0;
    for id in 1_000..1_020 {
        let place = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        count += usize::from(place.as_deref() == Some(upstream));
        state.apply(Event::Cancel { id }, now);
    }
    count
}

#[test]
fn an_upstream_gets_nothing_in_its_rest_and_its_part_after_it() {
    let mut state = engines_only(3);
    assert!(goes_to(&mut state, "engine-1", NOW) > 0);
    state.apply(rests("engine-1", REST), NOW);
    assert_eq!(goes_to(&mut state, "engine-1", NOW), 0);
    assert_eq!(goes_to(&mut state, "engine-1", NOW + Millis(2_999)), 0);
    assert!(goes_to(&mut state, "engine-1", NOW + REST) > 0);
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one_and_only_a_longer_one_is_told() {
    let mut state = engines_only(3);
    let told =
        |state: &mut State, lasts, now| !state.apply(rests("engine-1", lasts), now).is_empty();
    assert!(told(&mut state, REST, NOW));
    assert!(!told(&mut state, Millis(500), NOW + Millis(100)));
    assert_eq!(goes_to(&mut state, "engine-1", NOW + Millis(2_900)), 0);
    assert!(told(&mut state, REST, NOW + Millis(100)));
    assert_eq!(goes_to(&mut state, "engine-1", NOW + Millis(3_050)), 0);
}

#[test]
fn a_rest_holds_over_a_list_from_which_the_upstream_was_missing() {
    let mut state = engines_only(3);
    state.apply(rests("engine-2", REST), NOW);
    state.apply(leaves("engine-1"), NOW);
    state.apply(engines(&["d"]), NOW);
    state.apply(engines(&["d", "d", "d"]), NOW);
    assert_eq!(["engine-1", "engine-2"].map(|it| goes_to(&mut state, it, NOW)), [0, 0]);
    let later = NOW + REST;
    assert_eq!(goes_to(&mut state, "engine-1", later), 0);
    assert!(goes_to(&mut state, "engine-2", later) > 0);
}

#[test]
fn a_request_that_is_turned_away_goes_on_to_none_that_rests_or_leaves() {
    let mut state = engines_only(4);
    for (upstream, word) in
        [("engine-0", rests("engine-0", REST)), ("engine-1", leaves("engine-1"))]
    {
        assert!(goes_to(&mut state, upstream, NOW) > 0);
        state.apply(arrival(1, "stream", "chat"), NOW);
        state.apply(word, NOW);
        let next = state.apply(Event::Reply { id: 1, attempt: 1, reply: refusal() }, NOW);
        assert_ne!(sent_to(&next).as_deref(), Some(upstream));
        state.apply(Event::Cancel { id: 1 }, NOW);
    }
}

#[test]
fn a_request_that_waits_for_a_reading_is_not_sent_to_one_that_came_to_rest() {
    let mut state = engines_only(1);
    let asked = |id| crate::fixture::arrival_with_prefixes(id, "stream", "chat", &[7]);
    assert!(sent_to(&state.apply(asked(1), NOW)).is_some());
    let waits = state.apply(asked(2), NOW);
    assert!(matches!(waits[..], [Effect::Wait(_)]), "{waits:?}");
    state.apply(rests("engine-0", REST), NOW);
    let effects = state.apply(Event::WaitElapsed { id: 2 }, NOW + Millis(20));
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
}

#[test]
fn where_all_rest_callers_come_back_after_the_first_rest_and_not_in_one_moment() {
    let mut state = engines_only(2);
    state.apply(rests("engine-0", REST), NOW);
    state.apply(rests("engine-1", Millis(2_000)), NOW);
    let mut told: Vec<_> = (1..50)
        .map(|id| {
            let effects = state.apply(arrival(id, "stream", "chat"), NOW);
            assert_eq!(failure(&effects), Some(Kind::NoUpstream));
            retry_after(&effects).expect("a time")
        })
        .collect();
    told.sort_unstable();
    told.dedup();
    assert!(told[0] >= 2_000 && told[told.len() - 1] <= 2_500, "{told:?}");
    assert!(told.len() > 10, "{told:?}");
}

#[test]
fn where_all_leave_requests_are_refused_at_once_and_the_reason_is_told() {
    let mut state = engines_only(2);
    for engine in ["engine-0", "engine-1"] {
        state.apply(leaves(engine), NOW);
    }
    let effects = state.apply(arrival(1, "stream", "chat"), NOW);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
    let decision = recorded_decision(&effects).expect("a decision");
    assert_eq!((&*decision.detail, decision.tries.len()), ("leaving", 0));
    assert!(state.upstreams().all(|it| it.is_leaving() && !it.is_up(NOW)));
}

#[test]
fn what_one_start_said_is_not_believed_of_the_next() {
    let mut state = engines_only(2);
    state.apply(leaves("engine-1@5"), NOW);
    state.apply(rests("engine-0@5", REST), NOW);
    state.apply(engines(&["d", "d"]), NOW);
    for engine in ["engine-0", "engine-1"] {
        assert!(goes_to(&mut state, engine, NOW) > 0);
    }
}

proptest! {
    /// Whatever upstreams say and whenever, in whatever order lists and requests come: none
    /// that rests or leaves is sent to.
    #[test]
    fn nothing_is_sent_against_an_upstreams_word(
        steps in prop::collection::vec((0_u8..6, 0_usize..4, 0_u64..4_000), 1..80),
    ) {
        let mut state = engines_only(4);
        let mut now = NOW;
        let mut quiet = [Millis::ZERO; 4];
        for (number, (step, place, ms)) in steps.into_iter().enumerate() {
            let upstream: Arc<str> = format!("engine-{place}").into();
            let id = number as u64;
            let effects = match step {
                0 => {
                    quiet[place] = quiet[place].max(now + Millis(ms));
                    state.apply(Event::Backoff { upstream, duration: Millis(ms) }, now)
                }
                1 if ms < 400 => {
                    quiet[place] = Millis(u64::MAX);
                    state.apply(Event::Leaving { upstream }, now)
                }
                2 => {
                    now = now + Millis(ms / 4);
                    Vec::new()
                }
                3 => state.apply(engines(&vec!["d"; place + 1]), now),
                4 => state.apply(Event::ConnectionFailed { id: id.saturating_sub(1), attempt: 1, sent: true }, now),
                _ => state.apply(arrival(id, "stream", &format!("chat-{ms}")), now),
            };
            if let Some(to) = sent_to(&effects) {
                let place: usize = to.trim_start_matches("engine-").parse().expect("a place");
                prop_assert!(quiet[place] <= now, "{} until {}, at {}", to, quiet[place], now);
            }
        }
    }
}
