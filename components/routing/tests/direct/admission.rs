//! Refusal of late requests, their retry times, and selection by wait.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use routing::{Event, Mechanisms, Reply, Settings, State};
use wire::{Delay, Head, Load, Loads};

use crate::fixture::{
    NOW, arrival, failure, recorded_decision, retry_after, router, sent_to, settings,
};

/// Priorities of the fixture's stream and bulk requests.
const URGENT: i32 = 5;
const LESS_URGENT: i32 = 7;

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];

/// A router to which another one reported 100 ms of wait per queued request.
fn router_with_reported_waits() -> State {
    let mut state = router(settings());
    for priority in [URGENT, LESS_URGENT] {
        let delay = Delay { pool: "engine".into(), priority, waited_ms: 100_000, queued: 1_000 };
        state.apply(Event::Delays(vec![delay]), NOW);
    }
    state
}

/// Another router reports that `waiting` of its requests are queued at each of `upstreams`.
fn report_waiting(state: &mut State, upstreams: &[&str], waiting: u64) {
    let load = |name: &&str| Load { upstream: (*name).into(), requests: waiting, waiting };
    let upstreams = upstreams.iter().map(load).collect();
    let loads = Loads { router: "front-2".into(), current: true, upstreams };
    state.apply(Event::Loads(loads), NOW);
}

#[test]
fn refuses_a_request_that_would_be_late_at_every_upstream() {
    let mut state = router_with_reported_waits();
    report_waiting(&mut state, &ENGINES, 9);
    let effects = state.apply(arrival(1, "stream", "chat"), NOW);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    assert_eq!(sent_to(&effects), None);
    assert!(recorded_decision(&effects).is_some_and(|decision| decision.tries.is_empty()));
    assert_eq!(state.in_flight(), 0);
}

#[test]
fn sends_to_the_only_upstream_that_can_answer_in_time() {
    let mut state = router_with_reported_waits();
    report_waiting(&mut state, &ENGINES[1..], 9);
    for id in 1..=3 {
        let effects = state.apply(arrival(id, "stream", &format!("chat-{id}")), NOW);
        assert_eq!(sent_to(&effects).as_deref(), Some("engine-0"));
    }
}

#[test]
fn keeps_a_chat_at_its_first_upstream_if_it_answers_in_time() {
    let first = sent_to(&router_with_reported_waits().apply(arrival(1, "stream", "chat"), NOW))
        .expect("an upstream");
    let mut state = router_with_reported_waits();
    report_waiting(&mut state, &[&first], 3);
    assert_eq!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)), Some(first));
}

#[test]
fn admits_requests_if_answers_are_slow_without_a_queue() {
    let mut state = router(settings());
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
fn spreads_the_retry_times_of_refused_callers() {
    let mut state = router_with_reported_waits();
    report_waiting(&mut state, &ENGINES, 9);
    let mut after =
        |id| retry_after(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("a retry time");
    let times = [after(1), after(2), after(3)];
    // Before the first completion, callers wait until the queue is short enough: 500 ms.
    assert_eq!(times, [500, 500, 500]);
    let mut state = router_with_reported_waits();
    for id in 1..=40 {
        state.apply(arrival(id, "stream", &format!("chat-{id}")), NOW);
        let head = Head { attempt: 1, status: 200, headers: Vec::new() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
        let (chunks, bytes, status) = (0, 0, wire::Status::default());
        let end = wire::End { attempt: 1, chunks, bytes, status };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, NOW);
    }
    report_waiting(&mut state, &ENGINES, 9);
    let mut after =
        |id| retry_after(&state.apply(arrival(id, "stream", "chat"), NOW)).expect("a retry time");
    let times = [after(101), after(102), after(103)];
    assert!(times.is_sorted_by(|one, other| one < other), "{times:?}");
    assert!(times.iter().all(|delay_ms| (250..4_000).contains(delay_ms)), "{times:?}");
}

#[test]
fn refuses_less_urgent_requests_first() {
    let mut state = router_with_reported_waits();
    state.apply(arrival(1, "stream", "chat"), NOW);
    state.apply(arrival(2, "bulk", "chat"), NOW);
    let refused =
        |state: &mut State, id, kind| failure(&state.apply(arrival(id, kind, "new"), NOW));
    // The limits are 400 ms for streams and 340 ms for bulk requests.
    report_waiting(&mut state, &ENGINES, 3);
    assert_eq!(refused(&mut state, 3, "bulk"), None);
    report_waiting(&mut state, &ENGINES, 4);
    assert_eq!(refused(&mut state, 4, "bulk"), Some(Kind::WouldMiss));
    assert_eq!(refused(&mut state, 5, "stream"), None);
}

#[test]
fn does_not_refuse_a_request_that_may_have_run() {
    let mut state = router_with_reported_waits();
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
    report_waiting(&mut state, &ENGINES, 9);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert!(sent_to(&effects).is_some(), "{effects:?}");
}

#[test]
fn refuses_a_further_attempt_of_a_request_that_was_not_sent() {
    let mut state = router_with_reported_waits();
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
    report_waiting(&mut state, &ENGINES, 9);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: false }, NOW);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
}

#[test]
fn reports_each_wait_once() {
    let mut state = router(settings());
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream");
    report_waiting(&mut state, &[&first], 2);
    state.apply(arrival(2, "stream", "chat"), NOW);
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(
        Event::Reply { id: 1, attempt: 1, reply: Reply::Head(head.clone()) },
        NOW + Millis(50),
    );
    state.apply(Event::Reply { id: 2, attempt: 1, reply: Reply::Head(head) }, NOW + Millis(350));
    let pool: Arc<str> = "engine".into();
    // Three requests were queued before the second one: the first, and two of the other router.
    let expected = Delay { pool, priority: URGENT, waited_ms: 300, queued: 3 };
    assert_eq!(state.take_delays(), [expected]);
    assert_eq!(state.take_delays(), []);
}

#[test]
fn does_not_refuse_because_of_its_own_requests_alone() {
    // Neither other routers nor answers report loads.
    let mut state = router(settings());
    let delay = Delay { pool: "plain".into(), priority: URGENT, waited_ms: 500_000, queued: 1_000 };
    state.apply(Event::Delays(vec![delay]), NOW);
    for id in 1..=20 {
        assert!(sent_to(&state.apply(arrival(id, "unsafe", &format!("r-{id}")), NOW)).is_some());
    }
}

#[test]
fn admits_late_requests_if_admission_is_disabled() {
    let mechanisms = Mechanisms { admission: false, ..Mechanisms::default() };
    let mut state = router_with_reported_waits();
    state.apply(Event::Settings(Box::new(Settings { mechanisms, ..settings() })), NOW);
    report_waiting(&mut state, &ENGINES, 9);
    assert!(sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).is_some());
}
