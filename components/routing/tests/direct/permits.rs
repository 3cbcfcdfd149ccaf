//! Permits for requests to a saturated pool.
//!
//! Without them, routers that do not know each other's loads overload the upstreams that are left
//! of a pool with few slots.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use routing::{Effect, Event, Host, Mechanisms, Reply, Settings, State};
use wire::{Claim, End, Finish, Head, Status};

use crate::fixture::{
    NOW, arrival, evacuated, failure, recorded_decision, refusal, retry_after, router, sent_to,
    services, settings,
};

/// A router with `count` plain upstreams whose pool is saturated.
fn saturated_router(count: usize) -> State {
    let mut state = router(settings());
    state.apply(services(count), NOW);
    state.apply(Event::Saturated { pool: "plain".into(), duration: Millis(1_500) }, NOW);
    state
}

fn claim_in(effects: &[Effect]) -> Option<Claim> {
    effects.iter().find_map(|effect| match effect {
        Effect::Claim { claim, .. } => Some(claim.clone()),
        _ => None,
    })
}

fn release_in(effects: &[Effect]) -> Option<(u64, Finish)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Release { number, end, .. } => Some((*number, *end)),
        _ => None,
    })
}

/// Sends request `id`, which claims a permit; returns the number of the claim.
fn claim_permit(state: &mut State, id: u64, kind: &str) -> u64 {
    let effects = state.apply(arrival(id, kind, "chat"), NOW);
    assert_eq!(sent_to(&effects), None, "sent before a permit was granted");
    claim_in(&effects).expect("a claim").number
}

fn grant(id: u64, number: u64, upstream: &str) -> Event {
    Event::Granted { id, number, upstream: upstream.into() }
}

fn answer(state: &mut State, id: u64) -> Vec<Effect> {
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::Head(head) }, NOW);
    let end = End { attempt: 1, chunks: 0, bytes: 0, status: Status::default() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, NOW + Millis(60))
}

#[test]
fn the_first_refusal_saturates_the_pool() {
    let mut state = router(settings());
    state.apply(services(3), NOW);
    let effects = state.apply(arrival(1, "safe", "chat"), NOW);
    assert!(sent_to(&effects).is_some() && claim_in(&effects).is_none());
    let effects = state.apply(Event::Reply { id: 1, attempt: 1, reply: refusal() }, NOW);
    assert!(
        effects.iter().any(|effect| matches!(effect, Effect::ReportSaturation { .. })),
        "{effects:?}"
    );
    assert!(claim_in(&effects).is_some(), "a retry needs a permit as well");
    let effects = state.apply(arrival(2, "unsafe", "chat"), NOW);
    assert!(claim_in(&effects).is_some());
    let later = NOW + Millis(2_000);
    let effects = state.apply(arrival(3, "unsafe", "chat"), later);
    assert!(sent_to(&effects).is_some(), "the saturation was not renewed");
}

#[test]
fn claims_no_permit_if_disabled_or_unsupported() {
    let disabled = Mechanisms { places: false, ..Mechanisms::default() };
    let unlisted = Event::Hosts(vec![Host {
        name: "plain-0".into(),
        entry: "".into(),
        address: "plain-0:1".into(),
        domain: "d".into(),
        labels: [(Arc::from("service"), Arc::from("plain"))].into(),
        leaving: false,
        slots: 0,
        born: 0,
        version: "".into(),
    }]);
    let load_report = Event::Load { upstream: "plain-0".into(), requests: 1, waiting: 0 };
    let cases = [
        (Settings { mechanisms: disabled, ..settings() }, services(1), None),
        (settings(), unlisted, None),
        (settings(), services(1), Some(load_report)),
    ];
    for (settings, hosts, event) in cases {
        let mut state = router(settings);
        state.apply(hosts, NOW);
        event.map(|event| state.apply(event, NOW));
        state.apply(Event::Saturated { pool: "plain".into(), duration: Millis(1_500) }, NOW);
        assert!(sent_to(&state.apply(arrival(1, "safe", "chat"), NOW)).is_some());
    }
}

#[test]
fn sends_a_granted_request_to_the_permits_upstream_and_releases_the_permit() {
    let mut state = saturated_router(3);
    for (id, upstream) in [(1, "plain-0"), (2, "plain-2")] {
        let number = claim_permit(&mut state, id, "safe");
        let effects = state.apply(grant(id, number, upstream), NOW);
        assert_eq!(sent_to(&effects).as_deref(), Some(upstream));
        assert_eq!(release_in(&answer(&mut state, id)), Some((number, Finish::Answered)));
    }
}

#[test]
fn releases_the_permit_however_the_request_ends() {
    let ends = [
        (Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, Finish::Failed),
        (Event::Reply { id: 1, attempt: 1, reply: refusal() }, Finish::Full),
        (Event::Cancel { id: 1 }, Finish::Unused),
        (Event::Expire { id: 1 }, Finish::Unused),
    ];
    for (event, end) in ends {
        let mut state = saturated_router(1);
        let number = claim_permit(&mut state, 1, "unsafe");
        state.apply(grant(1, number, "plain-0"), NOW);
        assert_eq!(release_in(&state.apply(event, NOW)), Some((number, end)));
    }
}

#[test]
fn cancelling_a_waiting_request_withdraws_its_claim() {
    let mut state = saturated_router(1);
    let number = claim_permit(&mut state, 1, "unsafe");
    let effects = state.apply(Event::Cancel { id: 1 }, NOW);
    assert_eq!(release_in(&effects), Some((number, Finish::Unused)));
    assert_eq!(recorded_decision(&effects).expect("a decision").outcome, Outcome::NotRun);
    assert!(sent_to(&state.apply(grant(1, number, "plain-0"), NOW)).is_none());
}

#[test]
fn a_denied_request_did_not_run_and_gets_a_retry_time() {
    let mut state = saturated_router(1);
    let number = claim_permit(&mut state, 1, "unsafe");
    let effects = state.apply(Event::Denied { id: 1, number, after_ms: 700 }, NOW);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    assert_eq!(retry_after(&effects), Some(700));
    let decision = recorded_decision(&effects).expect("a decision");
    assert!(decision.tries.is_empty() && decision.outcome == Outcome::NotRun);
}

#[test]
fn sends_a_denied_request_that_may_have_run() {
    let mut state = saturated_router(2);
    let number = claim_permit(&mut state, 1, "safe");
    state.apply(grant(1, number, "plain-0"), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, NOW);
    let claim = claim_in(&effects).expect("a retry needs a permit as well");
    assert_eq!(claim.avoid, ["plain-0".into()]);
    let denied = Event::Denied { id: 1, number: claim.number, after_ms: 700 };
    assert_eq!(sent_to(&state.apply(denied, NOW)).as_deref(), Some("plain-1"));
}

#[test]
fn returns_a_permit_for_a_leaving_upstream_and_claims_again() {
    let mut state = saturated_router(2);
    let number = claim_permit(&mut state, 1, "safe");
    state.apply(Event::Leaving { upstream: "plain-0".into() }, NOW);
    let effects = state.apply(grant(1, number, "plain-0"), NOW);
    assert_eq!(sent_to(&effects), None);
    assert_eq!(release_in(&effects), Some((number, Finish::Unused)));
    let next_claim = claim_in(&effects).expect("another claim");
    assert!(next_claim.number != number && next_claim.avoid == ["plain-0".into()]);
    let effects = state.apply(grant(1, next_claim.number, "plain-1"), NOW);
    assert_eq!(sent_to(&effects).as_deref(), Some("plain-1"));
}

#[test]
fn does_not_use_a_permit_in_an_evacuated_domain() {
    let mut state = saturated_router(1);
    let number = claim_permit(&mut state, 1, "safe");
    state.apply(evacuated(&["d"]), NOW);
    let effects = state.apply(grant(1, number, "plain-0"), NOW);
    assert_eq!(sent_to(&effects), None);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
}

#[test]
fn ignores_late_and_repeated_decisions() {
    let mut state = saturated_router(2);
    let number = claim_permit(&mut state, 1, "safe");
    assert!(sent_to(&state.apply(grant(1, number + 1, "plain-0"), NOW)).is_none());
    assert!(sent_to(&state.apply(grant(1, number, "plain-0"), NOW)).is_some());
    assert!(state.apply(grant(1, number, "plain-1"), NOW).is_empty());
    assert!(state.apply(Event::Denied { id: 1, number, after_ms: 1 }, NOW).is_empty());
    assert!(state.apply(Event::Unanswered { id: 1, number }, NOW).is_empty());
}

#[test]
fn sends_without_a_permit_if_the_owner_does_not_answer() {
    let mut state = saturated_router(2);
    let number = claim_permit(&mut state, 1, "safe");
    let effects = state.apply(Event::Unanswered { id: 1, number }, NOW);
    assert!(sent_to(&effects).is_some());
    assert_eq!(release_in(&answer(&mut state, 1)), None);
}

#[test]
fn returns_a_permit_granted_after_the_deadline() {
    let mut state = saturated_router(2);
    let events =
        |number, id| [grant(id, number, "plain-0"), Event::Unanswered { id, number }].into_iter();
    for which in 0..2_u64 {
        let id = which + 1;
        let number = claim_permit(&mut state, id, "unsafe");
        let event = events(number, id).nth(usize::from(which > 0)).expect("an event");
        let effects = state.apply(event, NOW + Millis(5_000));
        assert_eq!(sent_to(&effects), None);
        assert_eq!(failure(&effects), Some(Kind::ExpiredWaiting));
        assert_eq!(release_in(&effects), Some((number, Finish::Unused)));
    }
}

/// The candidate that a request would be sent to next, whose service has `count` upstreams.
fn next_candidate(count: usize) -> Arc<str> {
    let mut state = saturated_router(count);
    let number = claim_permit(&mut state, 1, "unsafe");
    sent_to(&state.apply(Event::Unanswered { id: 1, number }, NOW)).expect("it is sent")
}

// Guards against a request that waits for ever, as its next candidate has left the list meanwhile.
#[test]
fn a_waiting_request_skips_upstreams_that_are_gone() {
    let first = next_candidate(2);
    let gone = services(2);
    let Event::Hosts(hosts) = gone else { unreachable!("hosts") };
    let left = hosts.into_iter().filter(|host| host.name != first).collect();
    let mut state = saturated_router(2);
    let number = claim_permit(&mut state, 1, "unsafe");
    state.apply(Event::Hosts(left), NOW);
    let effects = state.apply(Event::Unanswered { id: 1, number }, NOW);
    let sent = sent_to(&effects).expect("it is sent");
    assert_ne!(sent, first);
}

#[test]
fn a_waiting_request_fails_if_all_upstreams_are_gone() {
    let mut state = saturated_router(1);
    let number = claim_permit(&mut state, 1, "unsafe");
    state.apply(Event::Hosts(Vec::new()), NOW);
    let effects = state.apply(Event::Unanswered { id: 1, number }, NOW);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream), "{effects:?}");
}
