//! What a router decides that reaches its upstreams directly.

use std::sync::Arc;

use crate::fixture::{
    NOW, arrival, arrival_with_prefixes, failure, recorded_decision, refusal, router, sent_to,
    settings,
};
use clock::Millis;
use errors::Kind;
use routing::{Effect, Event, Mechanisms, Prefix, Reply, Settings, State};
use wire::{Chunk, End, Head, Refused, Status};

#[test]
fn a_chat_stays_at_its_upstream_until_the_bound() {
    let mut state = router(settings());
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("a place");
    let places: Vec<_> = (2..8)
        .map(|id| sent_to(&state.apply(arrival(id, "stream", "chat"), NOW)).unwrap())
        .collect();
    let stayed = places.iter().take_while(|it| **it == first).count() + 1;
    // Four upstreams, L requests: at most max(4, 2 L / 4 + 2) at each.
    assert_eq!(stayed, 4);
    assert_ne!(places[3], first);
}

#[test]
fn what_an_answer_told_of_load_fades() {
    let loaded = || {
        let mut state = router(settings());
        for engine in 0..4 {
            let upstream: Arc<str> = format!("engine-{engine}").into();
            state.apply(Event::Load { upstream, requests: 40, waiting: 0 }, NOW);
        }
        state
    };
    let held = |state: &mut State, start: u64, now: Millis| {
        state.apply(Event::ConfigurationConfirmed { at: now }, now);
        let mut places = (start..start + 100)
            .map(|id| sent_to(&state.apply(arrival(id, "stream", "chat"), now)).unwrap());
        let first = places.next().unwrap();
        1 + places.take_while(|it| *it == first).count()
    };
    // The mean is 40: twice that and two more may be at one, 40 are there.
    assert!(held(&mut loaded(), 100, NOW) > 30);
    // Ten seconds later nothing is left of it.
    assert!(held(&mut loaded(), 100, NOW + Millis(10_000)) <= 6);
}

#[test]
fn a_router_among_many_expects_others_to_send_where_it_sends() {
    let stayed = |routers: usize| {
        let mut state = router(settings());
        state.apply(Event::RouterCount(routers), NOW);
        for number in 0..200 {
            let upstream: Arc<str> = format!("engine-{}", number % 4).into();
            state.apply(Event::Load { upstream, requests: 4, waiting: 0 }, NOW);
        }
        let now = NOW + Millis(2_900);
        let mut places = (1..40)
            .map(|id| sent_to(&state.apply(arrival(id, "stream", "chat"), now)).expect("a place"));
        let first = places.next();
        1 + places.take_while(|it| Some(it) == first.as_ref()).count()
    };
    assert_eq!((stayed(1), stayed(30)), (4, 2));
}

#[test]
fn callers_are_refused_without_a_proof_of_the_configuration() {
    let mut state = router(settings());
    assert!(sent_to(&state.apply(arrival(1, "safe", "r-1"), NOW + Millis(3_000))).is_some());
    let late = state.apply(arrival(2, "safe", "r-2"), NOW + Millis(3_001));
    assert_eq!(failure(&late), Some(Kind::StaleConfiguration));
    state.apply(Event::ConfigurationConfirmed { at: NOW + Millis(3_000) }, NOW + Millis(3_010));
    // A proof that comes late does not make an older one count again.
    state.apply(Event::ConfigurationConfirmed { at: NOW }, NOW + Millis(3_020));
    assert!(sent_to(&state.apply(arrival(3, "safe", "r-3"), NOW + Millis(6_000))).is_some());
}

#[test]
fn what_may_have_run_is_told_as_such_whatever_comes_after() {
    let mut state = router(settings());
    state.apply(arrival(1, "safe", "r-1"), NOW);
    let again = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert!(sent_to(&again).is_some());
    let end = state.apply(Event::Reply { id: 1, attempt: 2, reply: refusal() }, NOW);
    assert_eq!(failure(&end), Some(Kind::LinkLost));

    state.apply(arrival(2, "unsafe", "r-2"), NOW);
    let end = state.apply(Event::ConnectionFailed { id: 2, attempt: 1, sent: true }, NOW);
    assert_eq!((sent_to(&end), failure(&end).map(|it| it.row().status)), (None, Some(502)));
}

#[test]
fn the_retry_budget_of_one_service_is_no_others() {
    let mut state = router(settings());
    let lose = |state: &mut State, id: u64, kind: &str| {
        state.apply(arrival(id, kind, &format!("c-{id}")), NOW);
        sent_to(&state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, NOW)).is_some()
    };
    let plain: Vec<_> = (1..5).map(|id| lose(&mut state, id, "unsafe")).collect();
    assert_eq!(plain, [true, true, false, false]);
    assert!(lose(&mut state, 10, "stream"));
}

#[test]
fn the_retry_budget_is_divided_among_the_routers() {
    let mut state = router(Settings { retry_burst: 12.0, ..settings() });
    state.apply(Event::RouterCount(4), NOW);
    let again = |state: &mut State, id: u64| {
        state.apply(arrival(id, "unsafe", &format!("c-{id}")), NOW);
        sent_to(&state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, NOW)).is_some()
    };
    assert_eq!((1..20).filter(|id| again(&mut state, *id)).count(), 3);
    // More routers take from what was saved up.
    let mut state = router(Settings { retry_burst: 12.0, ..settings() });
    assert!(again(&mut state, 100));
    state.apply(Event::RouterCount(12), NOW);
    assert_eq!((1..20).filter(|id| again(&mut state, *id)).count(), 1);
}

#[test]
fn new_settings_do_not_refill_the_retry_budget() {
    let mut state = router(settings());
    let again = |state: &mut State, id: u64| {
        state.apply(arrival(id, "unsafe", &format!("c-{id}")), NOW);
        sent_to(&state.apply(Event::Reply { id, attempt: 1, reply: refusal() }, NOW)).is_some()
    };
    assert_eq!((1..9).filter(|id| again(&mut state, *id)).count(), 2);
    state.apply(Event::Settings(Box::new(settings())), NOW);
    assert_eq!((10..19).filter(|id| again(&mut state, *id)).count(), 0);
}

#[test]
fn no_more_upstreams_are_asked_than_the_route_allows() {
    let mut state = router(Settings { retry_burst: 100.0, ..settings() });
    state.apply(arrival(1, "stream", "chat"), NOW);
    assert!(
        sent_to(&state.apply(Event::Reply { id: 1, attempt: 1, reply: refusal() }, NOW)).is_some()
    );
    let end = state.apply(Event::Reply { id: 1, attempt: 2, reply: refusal() }, NOW);
    assert_eq!((sent_to(&end), failure(&end)), (None, Some(Kind::QueueFull)));
}

#[test]
fn a_failure_is_passed_on_when_no_other_upstream_may_be_asked() {
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
fn one_broken_connection_does_not_make_an_upstream_suspect_but_two_do() {
    let mut state = router(settings());
    let upstream = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("a place");
    let up = |state: &State| state.upstreams().any(|it| it.name() == &upstream && it.is_up(NOW));
    state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    assert!(up(&state));
    state.apply(arrival(2, "stream", "chat"), NOW);
    state.apply(Event::ConnectionFailed { id: 2, attempt: 1, sent: true }, NOW);
    assert!(!up(&state));
}

#[test]
fn an_upstream_that_was_never_reached_uses_up_no_attempt() {
    // The intent allows two upstreams, and no retry is left to spend.
    let mut state = router(Settings { retry_burst: 0.0, ..settings() });
    let lose = |state: &mut State, attempt| {
        state.apply(Event::ConnectionFailed { id: 1, attempt, sent: false }, NOW)
    };
    state.apply(arrival(1, "stream", "chat"), NOW);
    assert!(sent_to(&lose(&mut state, 1)).is_some());
    assert!(sent_to(&lose(&mut state, 2)).is_some());
    assert!(sent_to(&lose(&mut state, 3)).is_some());
    let end = lose(&mut state, 4);
    assert_eq!((sent_to(&end), failure(&end)), (None, Some(Kind::Unreachable)));
}

#[test]
fn an_upstream_whose_address_is_anothers_now_gets_no_further_requests() {
    let mut state = router(settings());
    let misdirected = || {
        let (hints, status) = (Vec::new(), Status::default());
        Reply::Refused(Refused { kind: Kind::Leaving, retry_after_ms: 0, hints, status })
    };
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("a place");
    state.apply(Event::Reply { id: 1, attempt: 1, reply: misdirected() }, NOW);
    let later = NOW + Millis(2_500);
    assert_ne!(sent_to(&state.apply(arrival(2, "stream", "chat"), later)), Some(first));
}

/// The upstreams of the tests, changed by `change`.
fn changed(change: impl Fn(&mut routing::Host) -> bool) -> Event {
    let state = router(settings());
    let hosts = state.upstreams().map(|it| it.host().clone());
    Event::Hosts(hosts.filter_map(|mut it| change(&mut it).then_some(it)).collect())
}

#[test]
fn an_upstream_that_leaves_after_a_request_came_is_not_tried_next() {
    for kind in ["safe", "stream"] {
        let mut state = router(Settings { retry_burst: 9.0, ..settings() });
        let first = sent_to(&state.apply(arrival(1, kind, "chat"), NOW)).expect("a place");
        // All others leave but the last.
        let last: Arc<str> = if kind == "safe" { "plain-1" } else { "engine-3" }.into();
        let last = if first == last { first.clone() } else { last };
        state.apply(
            changed(|it| {
                it.leaving = it.name != last;
                true
            }),
            NOW,
        );
        let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
        let next = sent_to(&effects);
        assert!(next.is_none() || next == Some(last.clone()), "{next:?} is leaving");
        assert_eq!(next.is_none(), last == first);
    }
}

#[test]
fn an_upstream_that_is_gone_since_a_request_came_is_not_tried_next() {
    let mut state = router(Settings { retry_burst: 9.0, ..settings() });
    let first = sent_to(&state.apply(arrival(1, "stream", "chat"), NOW)).expect("a place");
    state.apply(changed(|it| it.name == first), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    // Nobody is left: the caller hears of it at once.
    assert_eq!(failure(&effects), Some(Kind::LinkLost));
}

#[test]
fn a_decision_tells_when_its_answer_began_and_how_long_it_paused() {
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

/// What is done about two requests for the same parts, with `mechanisms` in use.
fn twice(mechanisms: Mechanisms) -> Vec<Effect> {
    let mut state = router(Settings { mechanisms, ..settings() });
    state.apply(arrival_with_prefixes(1, "stream", "chat", &[11]), NOW);
    state.apply(arrival_with_prefixes(2, "stream", "chat", &[11]), NOW)
}

#[test]
fn a_mechanism_that_is_switched_off_decides_nothing() {
    assert!(matches!(twice(Mechanisms::default())[..], [Effect::Wait(_)]));
    let off = Mechanisms { waits: false, ..Mechanisms::default() };
    assert!(sent_to(&twice(off)).is_some());
}
