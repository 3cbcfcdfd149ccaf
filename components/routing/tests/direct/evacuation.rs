//! Evacuated failure domains.

use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Settings, State};

use crate::fixture::{
    NOW, arrival, arrival_with_prefixes, engines, evacuated, failure, retry_after, router, sent_to,
    settings,
};

/// Two engines in each of two failure domains.
fn router_with_two_domains() -> State {
    let mut state = router(Settings { retry_burst: 20.0, ..settings() });
    state.apply(engines(&["a", "a", "b", "b"]), NOW);
    state
}

/// The upstreams that requests of 40 chats are sent to.
fn targets(state: &mut State, first: u64, now: Millis) -> Vec<String> {
    let mut send = |id: u64| {
        let target = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        state.apply(Event::Cancel { id }, now);
        target.map_or_else(|| "nowhere".to_owned(), |name| name.to_string())
    };
    (first..first + 40).map(&mut send).collect()
}

#[test]
fn sends_nothing_to_an_evacuated_domain_until_it_is_restored() {
    let mut state = router_with_two_domains();
    assert!(targets(&mut state, 0, NOW).iter().any(|name| name == "engine-0"));
    state.apply(evacuated(&["a"]), NOW);
    let remaining = targets(&mut state, 100, NOW);
    assert!(remaining.iter().all(|name| name == "engine-2" || name == "engine-3"), "{remaining:?}");
    // The domain is warm after the cold time of its pool.
    let warm = NOW + Millis(3_000);
    state.apply(evacuated(&[]), NOW);
    assert!(targets(&mut state, 200, warm).iter().any(|name| name == "engine-0"));
}

#[test]
fn refuses_requests_if_all_domains_are_evacuated() {
    let mut state = router_with_two_domains();
    state.apply(evacuated(&["a", "b"]), NOW);
    let effects = state.apply(arrival(1, "stream", "chat"), NOW);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
    assert_eq!(retry_after(&effects), Some(1_500));
}

#[test]
fn sends_nothing_to_an_upstream_that_is_added_to_an_evacuated_domain() {
    let mut state = router_with_two_domains();
    state.apply(evacuated(&["a"]), NOW);
    state.apply(engines(&["a", "a", "a", "a", "a"]), NOW);
    assert!(targets(&mut state, 0, NOW).iter().all(|name| name == "nowhere"));
}

#[test]
fn does_not_retry_in_a_domain_that_was_evacuated_meanwhile() {
    for id in 0..40 {
        let mut state = router_with_two_domains();
        let chat = format!("chat-{id}");
        let first = sent_to(&state.apply(arrival(id, "stream", &chat), NOW)).expect("an upstream");
        state.apply(evacuated(&["a"]), NOW);
        let next =
            sent_to(&state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW));
        let next = next.expect("another upstream");
        assert!(next.ends_with('2') || next.ends_with('3'), "{first}, then {next}");
    }
}

#[test]
fn sends_a_waiting_request_to_another_domain_after_an_evacuation() {
    let mut state = router_with_two_domains();
    let prefilling = sent_to(&state.apply(arrival_with_prefixes(1, "stream", "chat", &[7]), NOW))
        .expect("an upstream");
    let waits = state.apply(arrival_with_prefixes(2, "stream", "chat", &[7]), NOW);
    assert!(matches!(waits[0], Effect::Postpone(_)));
    let domain = if prefilling.ends_with('0') || prefilling.ends_with('1') { "a" } else { "b" };
    state.apply(evacuated(&[domain]), NOW);
    let next = sent_to(&state.apply(Event::Due { id: 2 }, NOW)).expect("an upstream");
    let evacuated_engines =
        if domain == "a" { ["engine-0", "engine-1"] } else { ["engine-2", "engine-3"] };
    assert!(!evacuated_engines.contains(&&*next), "{next} is in {domain}");
}

#[test]
fn copies_prefixes_from_an_evacuated_domain() {
    let mut state = router_with_two_domains();
    state.apply(engines(&["a", "b"]), NOW);
    for id in 0..40 {
        let chat = format!("chat-{id}");
        let effects =
            state.apply(arrival_with_prefixes(id, "stream", &chat, &[id, id + 1_000]), NOW);
        if sent_to(&effects).is_some_and(|name| &*name == "engine-0") {
            let head = wire::Head { attempt: 1, status: 200, headers: Vec::new() };
            state.apply(Event::Reply { id, attempt: 1, reply: routing::Reply::Head(head) }, NOW);
            state.apply(evacuated(&["a"]), NOW);
            let effects =
                state.apply(arrival_with_prefixes(100, "stream", &chat, &[id, id + 1_000]), NOW);
            let source = effects.iter().find_map(|effect| match effect {
                Effect::Send(attempt) => attempt.copy_from.clone(),
                _ => None,
            });
            assert_eq!(source.as_deref(), Some("engine-0:1"));
            return;
        }
    }
    panic!("no chat went to engine-0");
}
