//! What is turned away, when it is told to come back, and what is sent elsewhere instead.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Event, Mechanisms, Reply, Settings, State};
use wire::{Delay, Head, Load, Loads};

use crate::fixture::{
    NOW, arrival, failure, recorded_decision, retry_after, router, sent_to, settings,
};

/// The priority of the tests' streams, and of the kind that is less urgent.
const URGENT: i32 = 5;
const LESS_URGENT: i32 = 7;

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];

/// A router that has seen each request in a queue take 100 ms.
fn fleet() -> State {
    let mut state = router(settings());
    for priority in [URGENT, LESS_URGENT] {
        let delay = Delay { pool: "engine".into(), priority, waited_ms: 100_000, queued: 1_000 };
        state.apply(Event::Delays(vec![delay]), NOW);
    }
    state
}

/// Another router tells that `waiting` of its requests wait at each of `upstreams`.
fn wait_at(state: &mut State, upstreams: &[&str], waiting: u64) {
    let load = |it: &&str| Load { upstream: (*it).into(), requests: waiting, waiting };
    let upstreams = upstreams.iter().map(load).collect();
    let loads = Loads { router: "front-2".into(), current: true, upstreams };
    state.apply(Event::Loads(loads), NOW);
}

#[test]
fn what_would_be_late_at_every_upstream_is_refused_before_it_is_sent() {
    let mut state = fleet();
    wait_at(&mut state, &ENGINES, 9);
    let effects = state.apply(arrival(1, "stream", "chat"), NOW);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    assert_eq!(sent_to(&effects), None);
    assert!(recorded_decision(&effects).is_some_and(|it| it.tries.is_empty()));
    assert_eq!(state.in_flight(), 0);
}

#[test]
fn nothing_is_refused_while_an_upstream_can_answer_in_time() {
    let mut state = fleet();
    wait_at(&mut state, &ENGINES[1..], 9);
    for id in 1..=3 {
        let effects = state.apply(arrival(id, "stream", &format!("chat-{id}")), NOW);
        assert_eq!(sent_to(&effects).as_deref(), Some("engine-0"));
    }
}

#[test]
fn the_first_in_rank_keeps_a_chat_that_it_answers_in_time() {
    let first = sent_to(&fleet().apply(arrival(1, "stream", "chat"), NOW)).expect("a place");
    let mut state = fleet();
    wait_at(&mut state, &[&first], 3);
    assert_eq!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)), Some(first));
}

#[test]
fn slow_answers_without_a_queue_turn_nobody_away() {
    let mut state = router(settings());
    // Without anything waiting an answer takes longer than the objective.
    for id in 1..=20 {
        let now = NOW + Millis(id * 2_000);
        state.apply(Event::ConfigurationConfirmed { at: now }, now);
        assert!(sent_to(&state.apply(arrival(id, "stream", "chat"), now)).is_some());
        let head = Head { attempt: 1, status: 200, headers: Vec::new() };
        let head = Event::Reply { id, attempt: 1, reply: Reply::Head(head) };
        state.apply(head, now + Millis(1_500));
        state.apply(Event::Cancel { id }, now + Millis(1_600));
    }
}

#[test]
fn callers_that_are_turned_away_are_told_to_come_back_one_after_the_other() {
    let mut state = fleet();
    wait_at(&mut state, &ENGINES, 9);
    let mut after =
        |id| retry_after(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("a time");
    let times = [after(1), after(2), after(3)];
    // Nothing has ended here yet: they wait until the queue is short enough, 500 ms.
    assert_eq!(times, [500, 500, 500]);
    let mut state = fleet();
    for id in 1..=40 {
        state.apply(arrival(id, "stream", &format!("chat-{id}")), NOW);
        let head = Head { attempt: 1, status: 200, headers: Vec::new() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
        let (chunks, bytes, status) = (0, 0, wire::Status::default());
        let end = wire::End { attempt: 1, chunks, bytes, status };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, NOW);
    }
    wait_at(&mut state, &ENGINES, 9);
    let mut after =
        |id| retry_after(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("a time");
    let times = [after(101), after(102), after(103)];
    assert!(times.is_sorted_by(|one, other| one < other), "{times:?}");
    assert!(times.iter().all(|it| (250..4_000).contains(it)), "{times:?}");
}

#[test]
fn what_is_less_urgent_gives_way_first() {
    let mut state = fleet();
    state.apply(arrival(1, "stream", "chat"), NOW);
    state.apply(arrival(2, "bulk", "chat"), NOW);
    let refused =
        |state: &mut State, id, kind| failure(&state.apply(arrival(id, kind, "new"), NOW));
    // Within 400 ms for the one, 340 ms for the other.
    wait_at(&mut state, &ENGINES, 3);
    assert_eq!(refused(&mut state, 3, "bulk"), None);
    wait_at(&mut state, &ENGINES, 4);
    assert_eq!(refused(&mut state, 4, "bulk"), Some(Kind::WouldMiss));
    assert_eq!(refused(&mut state, 5, "stream"), None);
}

#[test]
fn what_may_have_run_is_not_turned_away() {
    let mut state = fleet();
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
    wait_at(&mut state, &ENGINES, 9);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert!(sent_to(&effects).is_some(), "{effects:?}");
}

#[test]
fn what_nothing_was_sent_of_is_turned_away_at_its_next_try_too() {
    let mut state = fleet();
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
    wait_at(&mut state, &ENGINES, 9);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: false }, NOW);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
}

#[test]
fn waits_are_handed_on_once() {
    let mut state = router(settings());
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("a place");
    wait_at(&mut state, &[&first], 2);
    state.apply(arrival(2, "stream", "chat"), NOW);
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(
        Event::Reply { id: 1, attempt: 1, reply: Reply::Head(head.clone()) },
        NOW + Millis(50),
    );
    state.apply(Event::Reply { id: 2, attempt: 1, reply: Reply::Head(head) }, NOW + Millis(350));
    let pool: Arc<str> = "engine".into();
    // Three were before the second request: the first one, and two of the other router.
    let told = Delay { pool, priority: URGENT, waited_ms: 300, queued: 3 };
    assert_eq!(state.take_delays(), [told]);
    assert_eq!(state.take_delays(), []);
}

#[test]
fn nothing_is_turned_away_by_a_routers_own_requests_alone() {
    // Neither other routers nor answers tell of loads.
    let mut state = router(settings());
    let delay = Delay { pool: "plain".into(), priority: URGENT, waited_ms: 500_000, queued: 1_000 };
    state.apply(Event::Delays(vec![delay]), NOW);
    for id in 1..=20 {
        assert!(sent_to(&state.apply(arrival(id, "unsafe", &format!("r-{id}")), NOW)).is_some());
    }
}

#[test]
fn admission_can_be_switched_off() {
    let mechanisms = Mechanisms { admission: false, ..Mechanisms::default() };
    let mut state = fleet();
    state.apply(Event::Settings(Box::new(Settings { mechanisms, ..settings() })), NOW);
    wait_at(&mut state, &ENGINES, 9);
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
}
