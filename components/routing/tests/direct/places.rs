//! Requests to a pool that is short of places.
//!
//! Where two of three plain upstreams with few slots are gone, many routers send what they have to
//! the third, and none knows what the others have there.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use routing::{Effect, Event, Host, Mechanisms, Reply, Settings, State};
use wire::{Claim, End, Finish, Head, Status};

use crate::fixture::{
    NOW, arrival, evacuated, failure, recorded_decision, refusal, retry_after, router, sent_to,
    services, settings,
};

/// A router of so many plain upstreams whose pool is short.
fn short(count: usize) -> State {
    let mut state = router(settings());
    state.apply(services(count), NOW);
    state.apply(Event::Saturated { pool: "plain".into(), duration: Millis(1_500) }, NOW);
    state
}

fn claimed(effects: &[Effect]) -> Option<Claim> {
    effects.iter().find_map(|it| match it {
        Effect::Claim { claim, .. } => Some(claim.clone()),
        _ => None,
    })
}

fn released(effects: &[Effect]) -> Option<(u64, Finish)> {
    effects.iter().find_map(|it| match it {
        Effect::Release { number, end, .. } => Some((*number, *end)),
        _ => None,
    })
}

/// Has request `id` ask for a place; returns its number.
fn claim(state: &mut State, id: u64, kind: &str) -> u64 {
    let effects = state.apply(arrival(id, kind, "chat"), NOW);
    assert_eq!(sent_to(&effects), None, "nothing is sent before a place is granted");
    claimed(&effects).expect("a claim").number
}

fn granted(id: u64, number: u64, upstream: &str) -> Event {
    Event::Granted { id, number, upstream: upstream.into() }
}

fn answer(state: &mut State, id: u64) -> Vec<Effect> {
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
    let end = End { attempt: 1, chunks: 0, bytes: 0, status: Status::default() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, NOW + Millis(60))
}

#[test]
fn a_pool_becomes_short_with_the_first_request_that_is_turned_away_for_lack_of_room() {
    let mut state = router(settings());
    state.apply(services(3), NOW);
    let effects = state.apply(arrival(1, "safe", "chat"), NOW);
    assert!(sent_to(&effects).is_some() && claimed(&effects).is_none());
    let effects = state.apply(Event::Reply { id: 1, attempt: 1, reply: refusal() }, NOW);
    assert!(effects.iter().any(|it| matches!(it, Effect::ReportSaturation { .. })), "{effects:?}");
    assert!(claimed(&effects).is_some(), "a further try takes a place like any other");
    let effects = state.apply(arrival(2, "unsafe", "chat"), NOW);
    assert!(claimed(&effects).is_some());
    let later = NOW + Millis(2_000);
    let effects = state.apply(arrival(3, "unsafe", "chat"), later);
    assert!(sent_to(&effects).is_some(), "nobody has said that it is still short");
}

#[test]
fn nothing_is_asked_where_configuration_or_settings_do_not_call_for_it() {
    let off = Mechanisms { places: false, ..Mechanisms::default() };
    let unlisted = Event::Hosts(vec![Host {
        name: "plain-0".into(),
        entry: "".into(),
        address: "plain-0:1".into(),
        domain: "d".into(),
        labels: [(Arc::from("service"), Arc::from("plain"))].into(),
        leaving: false,
        slots: 0,
        born: 0,
    }]);
    let tells = Event::Load { upstream: "plain-0".into(), requests: 1, waiting: 0 };
    let cases = [
        (Settings { mechanisms: off, ..settings() }, services(1), None),
        (settings(), unlisted, None),
        (settings(), services(1), Some(tells)),
    ];
    for (settings, hosts, event) in cases {
        let mut state = router(settings);
        state.apply(hosts, NOW);
        event.map(|it| state.apply(it, NOW));
        state.apply(Event::Saturated { pool: "plain".into(), duration: Millis(1_500) }, NOW);
        assert!(sent_to(&state.apply(arrival(1, "safe", "chat"), NOW)).is_some());
    }
}

#[test]
fn a_granted_request_goes_where_the_grant_says_and_gives_its_permit_back_with_its_end() {
    let mut state = short(3);
    for (id, upstream) in [(1, "plain-0"), (2, "plain-2")] {
        let number = claim(&mut state, id, "safe");
        let effects = state.apply(granted(id, number, upstream), NOW);
        assert_eq!(sent_to(&effects).as_deref(), Some(upstream));
        assert_eq!(released(&answer(&mut state, id)), Some((number, Finish::Answered)));
    }
}

#[test]
fn a_permit_is_given_back_however_its_request_ends() {
    let ends = [
        (Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, Finish::Failed),
        (Event::Reply { id: 1, attempt: 1, reply: refusal() }, Finish::Full),
        (Event::Cancel { id: 1 }, Finish::Unused),
        (Event::Expire { id: 1 }, Finish::Unused),
    ];
    for (event, end) in ends {
        let mut state = short(1);
        let number = claim(&mut state, 1, "unsafe");
        state.apply(granted(1, number, "plain-0"), NOW);
        assert_eq!(released(&state.apply(event, NOW)), Some((number, end)));
    }
}

#[test]
fn a_caller_that_quits_while_its_request_waits_takes_back_the_ask() {
    let mut state = short(1);
    let number = claim(&mut state, 1, "unsafe");
    let effects = state.apply(Event::Cancel { id: 1 }, NOW);
    assert_eq!(released(&effects), Some((number, Finish::Unused)));
    assert_eq!(recorded_decision(&effects).expect("a decision").outcome, Outcome::NotRun);
    assert!(sent_to(&state.apply(granted(1, number, "plain-0"), NOW)).is_none());
}

#[test]
fn a_denied_request_has_not_run_and_is_told_when_to_come_back() {
    let mut state = short(1);
    let number = claim(&mut state, 1, "unsafe");
    let effects = state.apply(Event::Denied { id: 1, number, after_ms: 700 }, NOW);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    assert_eq!(retry_after(&effects), Some(700));
    let decision = recorded_decision(&effects).expect("a decision");
    assert!(decision.tries.is_empty() && decision.outcome == Outcome::NotRun);
}

#[test]
fn one_that_may_have_run_is_not_turned_away() {
    let mut state = short(2);
    let number = claim(&mut state, 1, "safe");
    state.apply(granted(1, number, "plain-0"), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    let claim = claimed(&effects).expect("a further try takes a place like any other");
    assert_eq!(claim.avoid, ["plain-0".into()]);
    let denied = Event::Denied { id: 1, number: claim.number, after_ms: 700 };
    assert_eq!(sent_to(&state.apply(denied, NOW)).as_deref(), Some("plain-1"));
}

#[test]
fn a_grant_at_an_upstream_that_takes_nothing_is_given_back_and_another_one_asked_for() {
    let mut state = short(2);
    let number = claim(&mut state, 1, "safe");
    state.apply(Event::Leaving { upstream: "plain-0".into() }, NOW);
    let effects = state.apply(granted(1, number, "plain-0"), NOW);
    assert_eq!(sent_to(&effects), None);
    assert_eq!(released(&effects), Some((number, Finish::Unused)));
    let anew = claimed(&effects).expect("another claim");
    assert!(anew.number != number && anew.avoid == ["plain-0".into()]);
    let effects = state.apply(granted(1, anew.number, "plain-1"), NOW);
    assert_eq!(sent_to(&effects).as_deref(), Some("plain-1"));
}

#[test]
fn a_grant_in_a_domain_that_is_left_meanwhile_is_not_used() {
    let mut state = short(1);
    let number = claim(&mut state, 1, "safe");
    state.apply(evacuated(&["d"]), NOW);
    let effects = state.apply(granted(1, number, "plain-0"), NOW);
    assert_eq!(sent_to(&effects), None);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
}

#[test]
fn decisions_that_come_late_or_twice_change_nothing() {
    let mut state = short(2);
    let number = claim(&mut state, 1, "safe");
    assert!(sent_to(&state.apply(granted(1, number + 1, "plain-0"), NOW)).is_none());
    assert!(sent_to(&state.apply(granted(1, number, "plain-0"), NOW)).is_some());
    assert!(state.apply(granted(1, number, "plain-1"), NOW).is_empty());
    assert!(state.apply(Event::Denied { id: 1, number, after_ms: 1 }, NOW).is_empty());
    assert!(state.apply(Event::Unanswered { id: 1, number }, NOW).is_empty());
}

#[test]
fn where_the_owner_says_nothing_a_request_goes_without_a_permit() {
    let mut state = short(2);
    let number = claim(&mut state, 1, "safe");
    let effects = state.apply(Event::Unanswered { id: 1, number }, NOW);
    assert!(sent_to(&effects).is_some());
    assert_eq!(released(&answer(&mut state, 1)), None);
}

#[test]
fn a_place_that_comes_after_the_deadline_is_given_back_and_nothing_is_sent() {
    let mut state = short(2);
    let events =
        |number, id| [granted(id, number, "plain-0"), Event::Unanswered { id, number }].into_iter();
    for which in 0..2_u64 {
        let id = which + 1;
        let number = claim(&mut state, id, "unsafe");
        let event = events(number, id).nth(usize::from(which > 0)).expect("an event");
        let effects = state.apply(event, NOW + Millis(5_000));
        assert_eq!(sent_to(&effects), None);
        assert_eq!(failure(&effects), Some(Kind::ExpiredWaiting));
        assert_eq!(released(&effects), Some((number, Finish::Unused)));
    }
}
