//! Upstreams that turn requests away without asking for rest.
//!
//! Three engines of nine turned away all that reached them, for eight seconds. As a refused
//! request is no load, they looked idle, were first in line, and got a third of all requests. Some
//! ask for rest as they refuse; what they then get is told in `words`. Those that do not ask draw
//! requests all the same.

use std::sync::Arc;

use clock::Millis;
use routing::{Event, Reply, State};
use wire::Head;

use crate::fixture::{NOW, arrival, engines_only, refusal, sent_to};

/// How far apart requests come.
const GAP: Millis = Millis(20);

/// How long an answer takes.
const TAKES: u64 = 5;

/// Sends `count` requests of kind `kind` from `now` on, each answered some requests later unless its
/// upstream `refuses`. Returns how many tries were refused, and how many requests found none
/// that took them.
fn send(
    state: &mut State,
    kind: &str,
    count: u64,
    now: Millis,
    refuses: impl Fn(&str) -> bool,
) -> (usize, usize) {
    let (mut tries, mut unserved) = (0, 0);
    for number in 0..count {
        let (id, now) = (now.0 + number, now + Millis(number * GAP.0));
        let mut effects = state.apply(arrival(id, kind, &format!("chat-{number}")), now);
        let mut attempt = 1;
        while sent_to(&effects).is_some_and(|it| refuses(&it)) {
            tries += 1;
            effects = state.apply(Event::Reply { id, attempt, reply: refusal() }, now);
            attempt += 1;
        }
        unserved += usize::from(sent_to(&effects).is_none());
        if number >= TAKES {
            answer(state, id - TAKES, now);
        }
    }
    (tries, unserved)
}

/// Answers a request that is under way.
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
fn upstreams_that_turn_everything_away_get_few_of_the_requests_that_others_have_room_for() {
    for kind in ["stream", "bulk"] {
        let mut state = engines_only(6);
        let (tries, unserved) = send(&mut state, kind, 400, NOW, first_two);
        assert!(tries <= 40, "{tries} tries of 400 {kind} are turned away");
        assert!(unserved <= 4, "{unserved}");
    }
}

#[test]
fn an_upstream_that_takes_requests_again_soon_gets_its_part() {
    let mut state = engines_only(4);
    send(&mut state, "stream", 200, NOW, first_two);
    let later = NOW + Millis(20_000);
    let mut places: Vec<Arc<str>> = Vec::new();
    for id in 0..100 {
        let now = later + Millis(id * GAP.0);
        places.extend(sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now)));
        if id >= TAKES {
            answer(&mut state, id - TAKES, now);
        }
    }
    let part = places.iter().filter(|it| first_two(it)).count();
    assert!(part > 30, "{part} of 100");
}

#[test]
fn where_all_turn_requests_away_they_are_still_asked() {
    let mut state = engines_only(2);
    send(&mut state, "stream", 100, NOW, |_| true);
    let effects = state.apply(arrival(1, "stream", "chat"), NOW + Millis(2_000));
    assert!(sent_to(&effects).is_some(), "nobody else can say whether they have room again");
}

#[test]
fn one_that_turns_away_a_few_keeps_most_of_its_part() {
    let mut state = engines_only(4);
    let mut places: Vec<Arc<str>> = Vec::new();
    for id in 0..400 {
        let now = NOW + Millis(id * GAP.0);
        let place = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        let place = place.expect("a place");
        if &*place == "engine-0" && id.is_multiple_of(10) {
            state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, now);
        }
        places.push(place);
        if id >= TAKES {
            answer(&mut state, id - TAKES, now);
        }
    }
    let part = places.iter().filter(|it| &***it == "engine-0").count();
    assert!(part >= 50, "{part} of 400, where a quarter is its part");
}

#[test]
fn after_all_have_turned_requests_away_none_gets_them_all() {
    let mut state = engines_only(4);
    send(&mut state, "stream", 150, NOW, |_| true);
    let later = NOW + Millis(150 * GAP.0);
    let mut places = std::collections::BTreeMap::<Arc<str>, usize>::new();
    for id in 0..100 {
        let now = later + Millis(id * GAP.0);
        let place = sent_to(&state.apply(arrival(id, "stream", &format!("chat-{id}")), now));
        *places.entry(place.expect("a place")).or_default() += 1;
        if id >= TAKES {
            answer(&mut state, id - TAKES, now);
        }
    }
    let most = places.values().max().copied().unwrap_or_default();
    assert!(most <= 50, "{places:?}");
}
