//! Selection of upstreams, retries and recorded decisions.

use std::sync::Arc;

use crate::fixture::{
    NOW, arrival, arrival_with_prefixes, failure, recorded_decision, refusal, router, sent_to,
    services, settings,
};
use clock::Millis;
use errors::{Kind, Outcome};
use routing::{Effect, Event, Mechanisms, Prefix, Reply, Settings, State};
use wire::{Chunk, End, Head, Refused, Status};

#[test]
fn keeps_a_chat_at_its_upstream_up_to_the_load_bound() {
    let mut state = router(settings());
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream");
    let upstreams: Vec<_> = (2..8)
        .map(|id| sent_to(&state.apply(arrival(id, "stream", "chat"), NOW)).unwrap())
        .collect();
    let sent_to_first = upstreams.iter().take_while(|upstream| **upstream == first).count() + 1;
    // The bound at each of 4 upstreams with n requests is max(4, 2 n / 4 + 2).
    assert_eq!(sent_to_first, 4);
    assert_ne!(upstreams[3], first);
}

#[test]
fn observed_load_decays() {
    let loaded_router = || {
        let mut state = router(settings());
        for engine in 0..4 {
            let upstream: Arc<str> = format!("engine-{engine}").into();
            state.apply(Event::Load { upstream, requests: 40, waiting: 0 }, NOW);
        }
        state
    };
    let sent_to_first = |state: &mut State, start: u64, now: Millis| {
        state.apply(Event::ConfigurationConfirmed { at: now }, now);
        let mut upstreams = (start..start + 100)
            .map(|id| sent_to(&state.apply(arrival(id, "stream", "chat"), now)).unwrap());
        let first = upstreams.next().unwrap();
        1 + upstreams.take_while(|upstream| *upstream == first).count()
    };
    // The mean load is 40, and the bound 2 * 40 + 2.
    assert!(sent_to_first(&mut loaded_router(), 100, NOW) > 30);
    // The observed load has decayed after ten seconds.
    assert!(sent_to_first(&mut loaded_router(), 100, NOW + Millis(10_000)) <= 6);
}

#[test]
fn expects_more_load_from_other_routers_in_a_larger_fleet() {
    let sent_to_first = |routers: usize| {
        let mut state = router(settings());
        state.apply(Event::RouterCount(routers), NOW);
        for number in 0..200 {
            let upstream: Arc<str> = format!("engine-{}", number % 4).into();
            state.apply(Event::Load { upstream, requests: 4, waiting: 0 }, NOW);
        }
        let now = NOW + Millis(2_900);
        let mut upstreams = (1..40).map(|id| {
            sent_to(&state.apply(arrival(id, "stream", "chat"), now)).expect("an upstream")
        });
        let first = upstreams.next();
        1 + upstreams.take_while(|upstream| Some(upstream) == first.as_ref()).count()
    };
    assert_eq!((sent_to_first(1), sent_to_first(30)), (4, 2));
}

#[test]
fn refuses_requests_without_a_recent_confirmation() {
    let mut state = router(settings());
    assert!(sent_to(&state.apply(arrival(1, "safe", "r-1"), NOW + Millis(3_000))).is_some());
    let late = state.apply(arrival(2, "safe", "r-2"), NOW + Millis(3_001));
    assert_eq!(failure(&late), Some(Kind::StaleConfiguration));
    state.apply(Event::ConfigurationConfirmed { at: NOW + Millis(3_000) }, NOW + Millis(3_010));
    // A late confirmation does not restore an older one.
    state.apply(Event::ConfigurationConfirmed { at: NOW }, NOW + Millis(3_020));
    assert!(sent_to(&state.apply(arrival(3, "safe", "r-3"), NOW + Millis(6_000))).is_some());
}

#[test]
fn reports_an_attempt_that_may_have_run_after_later_refusals() {
    let mut state = router(settings());
    state.apply(arrival(1, "safe", "r-1"), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert!(sent_to(&effects).is_some());
    let end = state.apply(Event::Reply { id: 1, attempt: 2, reply: refusal() }, NOW);
    assert_eq!(failure(&end), Some(Kind::LinkLost));

    state.apply(arrival(2, "unsafe", "r-2"), NOW);
    let end = state.apply(Event::ConnectionFailed { id: 2, attempt: 1, sent: true }, NOW);
    assert_eq!((sent_to(&end), failure(&end).map(|kind| kind.row().status)), (None, Some(502)));
}

#[test]
fn retry_budgets_are_separate_for_each_pool() {
    let mut state = router(settings());
    let is_retried = |state: &mut State, id: u64, kind: &str| {
        state.apply(arrival(id, kind, &format!("c-{id}")), NOW);
        sent_to(&state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, NOW)).is_some()
    };
    let results: Vec<_> = (1..5).map(|id| is_retried(&mut state, id, "unsafe")).collect();
    assert_eq!(results, [true, true, false, false]);
    assert!(is_retried(&mut state, 10, "stream"));
}

#[test]
fn divides_the_retry_budget_among_routers() {
    let mut state = router(Settings { retry_burst: 12.0, ..settings() });
    state.apply(Event::RouterCount(4), NOW);
    let is_retried = |state: &mut State, id: u64| {
        state.apply(arrival(id, "unsafe", &format!("c-{id}")), NOW);
        sent_to(&state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, NOW)).is_some()
    };
    assert_eq!((1..20).filter(|id| is_retried(&mut state, *id)).count(), 3);
    // An increase in routers reduces the saved retries.
    let mut state = router(Settings { retry_burst: 12.0, ..settings() });
    assert!(is_retried(&mut state, 100));
    state.apply(Event::RouterCount(12), NOW);
    assert_eq!((1..20).filter(|id| is_retried(&mut state, *id)).count(), 1);
}

#[test]
fn new_settings_do_not_refill_the_retry_budget() {
    let mut state = router(settings());
    let is_retried = |state: &mut State, id: u64| {
        state.apply(arrival(id, "unsafe", &format!("c-{id}")), NOW);
        sent_to(&state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, NOW)).is_some()
    };
    assert_eq!((1..9).filter(|id| is_retried(&mut state, *id)).count(), 2);
    state.apply(Event::Settings(Box::new(settings())), NOW);
    assert_eq!((10..19).filter(|id| is_retried(&mut state, *id)).count(), 0);
}

#[test]
fn tries_no_more_upstreams_than_the_intent_allows() {
    let mut state = router(Settings { retry_burst: 100.0, ..settings() });
    state.apply(arrival(1, "stream", "chat"), NOW);
    assert!(
        sent_to(&state.apply(Event::Reply { id: 1, attempt: 1, reply: refusal() }, NOW)).is_some()
    );
    let end = state.apply(Event::Reply { id: 1, attempt: 2, reply: refusal() }, NOW);
    assert_eq!((sent_to(&end), failure(&end)), (None, Some(Kind::QueueFull)));
}

#[test]
fn passes_on_a_failure_when_no_retry_is_allowed() {
    let mut state = router(settings());
    let head = |attempt| Reply::Head(Head { attempt, status: 500, headers: Vec::new() });
    state.apply(arrival(1, "unsafe", "r-1"), NOW);
    let effects = state.apply(Event::Reply { id: 1, attempt: 1, reply: head(1) }, NOW);
    assert!(matches!(&effects[..], [Effect::Head(head)] if head.status == 500));
    state.apply(arrival(2, "safe", "r-2"), NOW);
    let effects = state.apply(Event::Reply { id: 2, attempt: 1, reply: head(1) }, NOW);
    assert!(sent_to(&effects).is_some());
    let effects = state.apply(Event::Reply { id: 2, attempt: 2, reply: head(2) }, NOW);
    assert!(matches!(&effects[..], [Effect::Head(head)] if head.status == 500));
}

#[test]
fn marks_an_upstream_suspect_after_two_broken_connections() {
    let mut state = router(settings());
    let upstream = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream");
    let up = |state: &State| {
        state.upstreams().any(|candidate| candidate.name() == &upstream && candidate.is_up(NOW))
    };
    state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert!(up(&state));
    state.apply(arrival(2, "stream", "chat"), NOW);
    state.apply(Event::ConnectionFailed { id: 2, attempt: 1, sent: true }, NOW);
    assert!(!up(&state));
}

#[test]
fn failed_connections_do_not_count_towards_the_attempt_limit() {
    // The intent allows two upstreams, and the retry budget is empty.
    let mut state = router(Settings { retry_burst: 0.0, ..settings() });
    let fail_attempt = |state: &mut State, attempt| {
        state.apply(Event::ConnectionFailed { id: 1, attempt, sent: false }, NOW)
    };
    state.apply(arrival(1, "stream", "chat"), NOW);
    assert!(sent_to(&fail_attempt(&mut state, 1)).is_some());
    assert!(sent_to(&fail_attempt(&mut state, 2)).is_some());
    assert!(sent_to(&fail_attempt(&mut state, 3)).is_some());
    let end = fail_attempt(&mut state, 4);
    assert_eq!((sent_to(&end), failure(&end)), (None, Some(Kind::Unreachable)));
}

#[test]
fn sends_nothing_to_an_upstream_that_refused_as_leaving() {
    let mut state = router(settings());
    let leaving = || {
        let (hints, status) = (Vec::new(), Status::default());
        Reply::Refused(Refused { kind: Kind::Leaving, retry_after_ms: 0, hints, status })
    };
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream");
    state.apply(Event::Reply { id: 1, attempt: 1, reply: leaving() }, NOW);
    let later = NOW + Millis(2_500);
    assert_ne!(sent_to(&state.apply(arrival(2, "stream", "chat"), later)), Some(first));
}

/// The hosts of the fixture, edited and filtered by `change`.
fn hosts_with(change: impl Fn(&mut routing::Host) -> bool) -> Event {
    let state = router(settings());
    let hosts = state.upstreams().map(|upstream| upstream.host().clone());
    Event::Hosts(hosts.filter_map(|mut host| change(&mut host).then_some(host)).collect())
}

#[test]
fn does_not_retry_at_an_upstream_that_started_leaving() {
    for kind in ["safe", "stream"] {
        let mut state = router(Settings { retry_burst: 9.0, ..settings() });
        let first = sent_to(&state.apply(arrival(1, kind, "chat"), NOW)).expect("an upstream");
        let remaining: Arc<str> = if kind == "safe" { "plain-1" } else { "engine-3" }.into();
        let remaining = if first == remaining { first.clone() } else { remaining };
        state.apply(
            hosts_with(|host| {
                host.leaving = host.name != remaining;
                true
            }),
            NOW,
        );
        let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
        let next = sent_to(&effects);
        assert!(
            next.is_none() || next == Some(remaining.clone()),
            "retried at {next:?}, which is leaving"
        );
        assert_eq!(next.is_none(), remaining == first);
    }
}

#[test]
fn does_not_retry_at_a_removed_upstream() {
    let mut state = router(Settings { retry_burst: 9.0, ..settings() });
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("an upstream");
    state.apply(hosts_with(|host| host.name == first), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert_eq!(failure(&effects), Some(Kind::LinkLost));
}

#[test]
fn records_answer_start_and_longest_gap() {
    let mut state = router(settings());
    state.apply(arrival_with_prefixes(1, "stream", "chat", &[11, 12]), NOW);
    let reply = |state: &mut State, reply: Reply, ms: u64| {
        state.apply(Event::Reply { id: 1, attempt: 1, reply }, NOW + Millis(ms))
    };
    let chunk = |sequence| Reply::Chunk(Chunk { attempt: 1, sequence, bytes: "x".into() });
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    reply(&mut state, Reply::Head(head), 70);
    reply(&mut state, chunk(0), 71);
    reply(&mut state, chunk(1), 101);
    reply(&mut state, chunk(2), 111);
    let end = End { attempt: 1, chunks: 3, bytes: 3, status: Status::default() };
    let decision = recorded_decision(&reply(&mut state, Reply::End(end), 112)).expect("a decision");
    assert_eq!(decision.answered, Some(NOW + Millis(70)));
    assert_eq!(decision.pause, Millis(30));
    assert_eq!(decision.shared, Some(Prefix { hash: 12, tokens: 200 }));
    assert_eq!((decision.tries[0].read, decision.tries[0].copied), (200, 0));
}

/// Effects of the second of two requests with the same prefix.
fn repeat_prefix(mechanisms: Mechanisms) -> Vec<Effect> {
    let mut state = router(Settings { mechanisms, ..settings() });
    state.apply(arrival_with_prefixes(1, "stream", "chat", &[11]), NOW);
    state.apply(arrival_with_prefixes(2, "stream", "chat", &[11]), NOW)
}

#[test]
fn sends_at_once_if_postponing_is_disabled() {
    assert!(matches!(repeat_prefix(Mechanisms::default())[..], [Effect::Postpone(_)]));
    let without_postponing = Mechanisms { waits: false, ..Mechanisms::default() };
    assert!(sent_to(&repeat_prefix(without_postponing)).is_some());
}

/// The error and the outcome recorded for a request that its caller cancels after `events`.
fn recorded_after_cancel(state: &mut State, events: Vec<Event>) -> (&'static str, Outcome) {
    for event in events {
        state.apply(event, NOW);
    }
    let decision =
        recorded_decision(&state.apply(Event::Cancel { id: 1 }, NOW)).expect("a decision");
    assert_eq!(decision.detail.as_ref(), "the caller went away");
    (decision.error.expect("an error").into(), decision.outcome)
}

#[test]
fn a_cancelled_request_is_not_recorded_as_expired() {
    let begin = || vec![arrival(1, "stream", "chat")];
    let sent = recorded_after_cancel(&mut router(settings()), begin());
    assert_eq!(sent, ("cancelled_sent", Outcome::Unknown));
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    let answered = Event::Reply { id: 1, attempt: 1, reply: Reply::Head(head) };
    let events = begin().into_iter().chain([answered]).collect();
    let answering = recorded_after_cancel(&mut router(settings()), events);
    assert_eq!(answering, ("cancelled_running", Outcome::Ran));
}

#[test]
fn a_cancelled_request_that_waits_after_a_lost_attempt_may_have_run() {
    let saturated = Event::Saturated { pool: "plain".into(), duration: Millis(1_500) };
    let begin = || vec![services(2), saturated.clone(), arrival(1, "safe", "chat")];
    let waiting = recorded_after_cancel(&mut router(settings()), begin());
    assert_eq!(waiting, ("cancelled", Outcome::NotRun));

    let mut state = router(settings());
    state.apply(services(2), NOW);
    state.apply(arrival(1, "safe", "chat"), NOW);
    state.apply(saturated, NOW);
    let lost = Event::ConnectionFailed { id: 1, attempt: 1, sent: true };
    let claims = state.apply(lost, NOW);
    assert!(claims.iter().any(|effect| matches!(effect, Effect::Claim { .. })));
    let waiting = recorded_after_cancel(&mut state, Vec::new());
    assert_eq!(waiting, ("cancelled_sent", Outcome::Unknown));
}
