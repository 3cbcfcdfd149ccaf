//! Failure domains that are to take nothing.

use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Settings, State};

use crate::fixture::{
    NOW, arrival, arrival_with_prefixes, engines, evacuated, failure, retry_after, router, sent_to,
    settings,
};

/// Two engines in each of two failure domains.
fn fleet() -> State {
    let mut state = router(Settings { retry_burst: 20.0, ..settings() });
    state.apply(engines(&["a", "a", "b", "b"]), NOW);
    state
}

/// Where requests of 40 chats go.
fn places(state: &mut State, first: u64, now: Millis) -> Vec<String> {
    let mut send = |id: u64| {
        let place = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        state.apply(Event::Cancel { id }, now);
        place.map_or_else(|| "nowhere".to_owned(), |it| it.to_string())
    };
    (first..first + 40).map(&mut send).collect()
}

#[test]
fn a_domain_that_is_left_gets_nothing_until_it_is_taken_back() {
    let mut state = fleet();
    assert!(places(&mut state, 0, NOW).iter().any(|it| it == "engine-0"));
    state.apply(evacuated(&["a"]), NOW);
    let places_left = places(&mut state, 100, NOW);
    assert!(places_left.iter().all(|it| it == "engine-2" || it == "engine-3"), "{places_left:?}");
    // It is warm again once its pool's cold time is over.
    let warm = NOW + Millis(3_000);
    state.apply(evacuated(&[]), NOW);
    assert!(places(&mut state, 200, warm).iter().any(|it| it == "engine-0"));
}

#[test]
fn where_nothing_else_is_left_a_request_is_refused_at_once() {
    let mut state = fleet();
    state.apply(evacuated(&["a", "b"]), NOW);
    let effects = state.apply(arrival(1, "stream", "chat"), NOW);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
    assert_eq!(retry_after(&effects), Some(1_500));
}

#[test]
fn an_upstream_that_is_listed_later_is_in_a_domain_that_was_left() {
    let mut state = fleet();
    state.apply(evacuated(&["a"]), NOW);
    state.apply(engines(&["a", "a", "a", "a", "a"]), NOW);
    assert!(places(&mut state, 0, NOW).iter().all(|it| it == "nowhere"));
}

#[test]
fn a_retry_does_not_go_to_a_domain_that_was_left_since() {
    for id in 0..40 {
        let mut state = fleet();
        let chat = format!("chat-{id}");
        let first = sent_to(&state.apply(arrival(id, "stream", &chat), NOW)).expect("a place");
        state.apply(evacuated(&["a"]), NOW);
        let next =
            sent_to(&state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW));
        let next = next.expect("another place");
        assert!(next.ends_with('2') || next.ends_with('3'), "{first}, then {next}");
    }
}

#[test]
fn a_request_that_waits_for_a_reading_leaves_a_domain_that_was_left_since() {
    let mut state = fleet();
    let reads = sent_to(&state.apply(arrival_with_prefixes(1, "stream", "chat", &[7]), NOW))
        .expect("a place");
    let waits = state.apply(arrival_with_prefixes(2, "stream", "chat", &[7]), NOW);
    assert!(matches!(waits[0], Effect::Wait(_)));
    let domain = if reads.ends_with('0') || reads.ends_with('1') { "a" } else { "b" };
    state.apply(evacuated(&[domain]), NOW);
    let next = sent_to(&state.apply(Event::WaitElapsed { id: 2 }, NOW)).expect("a place");
    let left = if domain == "a" { ["engine-0", "engine-1"] } else { ["engine-2", "engine-3"] };
    assert!(!left.contains(&&*next), "{next} is in {domain}");
}

#[test]
fn what_is_warm_in_a_domain_that_was_left_may_be_copied_from_there() {
    let mut state = fleet();
    state.apply(engines(&["a", "b"]), NOW);
    for id in 0..40 {
        let chat = format!("chat-{id}");
        let effects =
            state.apply(arrival_with_prefixes(id, "stream", &chat, &[id, id + 1_000]), NOW);
        if sent_to(&effects).is_some_and(|it| &*it == "engine-0") {
            let head = wire::Head { attempt: 1, status: 200, headers: Vec::new() };
            state.apply(Event::Reply { id, attempt: 1, reply: routing::Reply::Head(head) }, NOW);
            state.apply(evacuated(&["a"]), NOW);
            let effects =
                state.apply(arrival_with_prefixes(100, "stream", &chat, &[id, id + 1_000]), NOW);
            let warm = effects.iter().find_map(|it| match it {
                Effect::Send(attempt) => attempt.copy_from.clone(),
                _ => None,
            });
            assert_eq!(warm.as_deref(), Some("engine-0:1"));
            return;
        }
    }
    panic!("no chat went to engine-0");
}
