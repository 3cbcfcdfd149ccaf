//! Upstreams that refuse requests without asking for a backoff.
//!
//! A refused request adds no load, so that such upstreams look idle and would attract most of the
//! requests.

use std::sync::Arc;

use clock::Millis;
use routing::{Event, Reply, State};
use wire::Head;

use crate::fixture::{NOW, arrival, engines_only, refusal, sent_to};

/// Time between two requests.
const ARRIVAL_INTERVAL: Millis = Millis(20);

/// Number of requests sent before an earlier one is answered.
const ANSWER_LAG: u64 = 5;

/// Sends `count` requests from `now` on. Each is answered `ANSWER_LAG` requests later, unless its
/// upstream refuses. Returns the number of refused attempts and of requests that no upstream
/// accepted.
fn send_requests(
    state: &mut State,
    kind: &str,
    count: u64,
    now: Millis,
    refuses: impl Fn(&str) -> bool,
) -> (usize, usize) {
    let (mut refusals, mut failures) = (0, 0);
    for number in 0..count {
        let (id, now) = (now.0 + number, now + Millis(number * ARRIVAL_INTERVAL.0));
        let mut effects = state.apply(arrival(id, kind, &format!("chat-{number}")), now);
        let mut attempt = 1;
        while sent_to(&effects).is_some_and(|upstream| refuses(&upstream)) {
            refusals += 1;
            effects = state.apply(Event::Reply { id, attempt, reply: refusal() }, now);
            attempt += 1;
        }
        failures += usize::from(sent_to(&effects).is_none());
        if number >= ANSWER_LAG {
            answer(state, id - ANSWER_LAG, now);
        }
    }
    (refusals, failures)
}

/// Answers a request in flight.
fn answer(state: &mut State, id: u64, now: Millis) {
    for attempt in 1..4 {
        let head = Head { attempt, status: 200, headers: Vec::new() };
        state.apply(Event::Reply { id, attempt, reply: Reply::Head(head) }, now);
    }
    state.apply(Event::Cancel { id }, now);
}

fn first_two(upstream: &str) -> bool {
    ["engine-0", "engine-1"].contains(&upstream)
}

#[test]
fn sends_few_requests_to_upstreams_that_refuse_all() {
    for kind in ["stream", "bulk"] {
        let mut state = engines_only(6);
        let (refusals, failures) = send_requests(&mut state, kind, 400, NOW, first_two);
        assert!(refusals <= 40, "{refusals} attempts of 400 {kind} requests were refused");
        assert!(failures <= 4, "{failures} requests failed");
    }
}

#[test]
fn an_upstream_that_accepts_again_soon_gets_its_share() {
    let mut state = engines_only(4);
    send_requests(&mut state, "stream", 200, NOW, first_two);
    let later = NOW + Millis(20_000);
    let mut upstreams: Vec<Arc<str>> = Vec::new();
    for id in 0..100 {
        let now = later + Millis(id * ARRIVAL_INTERVAL.0);
        upstreams.extend(sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now)));
        if id >= ANSWER_LAG {
            answer(&mut state, id - ANSWER_LAG, now);
        }
    }
    let share = upstreams.iter().filter(|upstream| first_two(upstream)).count();
    assert!(share > 30, "{share} of 100");
}

#[test]
fn still_tries_upstreams_if_all_refuse() {
    let mut state = engines_only(2);
    send_requests(&mut state, "stream", 100, NOW, |_| true);
    let effects = state.apply(arrival(1, "stream", "chat"), NOW + Millis(2_000));
    assert!(sent_to(&effects).is_some(), "only a request shows whether they accept again");
}

#[test]
fn an_upstream_that_refuses_a_few_keeps_most_of_its_share() {
    let mut state = engines_only(4);
    let mut upstreams: Vec<Arc<str>> = Vec::new();
    for id in 0..400 {
        let now = NOW + Millis(id * ARRIVAL_INTERVAL.0);
        let upstream = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        let upstream = upstream.expect("an upstream");
        if &*upstream == "engine-0" && id.is_multiple_of(10) {
            state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, now);
        }
        upstreams.push(upstream);
        if id >= ANSWER_LAG {
            answer(&mut state, id - ANSWER_LAG, now);
        }
    }
    let share = upstreams.iter().filter(|upstream| &***upstream == "engine-0").count();
    assert!(share >= 50, "{share} of 400, where 100 is its share");
}

#[test]
fn spreads_requests_after_all_upstreams_refused() {
    let mut state = engines_only(4);
    send_requests(&mut state, "stream", 150, NOW, |_| true);
    let later = NOW + Millis(150 * ARRIVAL_INTERVAL.0);
    let mut upstreams = std::collections::BTreeMap::<Arc<str>, usize>::new();
    for id in 0..100 {
        let now = later + Millis(id * ARRIVAL_INTERVAL.0);
        let upstream = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        *upstreams.entry(upstream.expect("an upstream")).or_default() += 1;
        if id >= ANSWER_LAG {
            answer(&mut state, id - ANSWER_LAG, now);
        }
    }
    let most = upstreams.values().max().copied().unwrap_or_default();
    assert!(most <= 50, "{upstreams:?}");
}
