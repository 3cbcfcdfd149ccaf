//! Quarantine of work that repeatedly crashes upstreams.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Crash, Effect, Event, Liveness, Settings, State};

use crate::fixture::{NOW, arrival, engines, failure, retry_after, router, sent_to, settings};

/// The id of a request, which [`arrival`] also makes the fingerprint of its work.
const WORK: u64 = 7;

/// The default duration of a quarantine.
const DURATION: Millis = Millis(600_000);

fn router_with_retries() -> State {
    router(Settings { retry_burst: 20.0, ..settings() })
}

fn crash(upstream: &str, at: Millis) -> Crash {
    Crash { fingerprint: WORK, upstream: upstream.into(), at, cleared: false, ran: None }
}

/// A report of another router that the work has crashed these upstreams.
fn crash_report(upstreams: &[&str]) -> Event {
    Event::Crashes(upstreams.iter().map(|name| crash(name, NOW)).collect())
}

/// Sends and cancels a request for the work; returns whether it was sent.
fn try_send(state: &mut State, now: Millis) -> bool {
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    let effects = state.apply(arrival(WORK, "stream", "chat"), now);
    state.apply(Event::Cancel { id: WORK }, now);
    assert!(
        sent_to(&effects).is_some() || failure(&effects) == Some(Kind::HeldBack),
        "{effects:?}"
    );
    sent_to(&effects).is_some()
}

/// The crashes that the effects report to the other routers.
fn reported(effects: &[Effect]) -> Vec<(u64, Arc<str>)> {
    let crashes_of = |effect: &Effect| match effect {
        Effect::ReportCrashes(crashes) => crashes.clone(),
        _ => Vec::new(),
    };
    let crashes = effects.iter().flat_map(crashes_of);
    crashes.map(|crash| (crash.fingerprint, crash.upstream)).collect()
}

/// Sends a request whose connection fails. Returns its upstream and the effects.
fn send_and_disconnect(state: &mut State, id: u64, kind: &str) -> (Arc<str>, Vec<Effect>) {
    let upstream = sent_to(&state.apply(arrival(id, kind, "chat"), NOW)).expect("an upstream");
    let effects = state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW);
    (upstream, effects)
}

#[test]
fn quarantines_work_after_the_third_crash() {
    let mut state = router_with_retries();
    state.apply(crash_report(&["a", "b"]), NOW);
    assert!(try_send(&mut state, NOW));
    let effects = state.apply(crash_report(&["c"]), NOW);
    assert!(matches!(effects[..], [Effect::Quarantine { fingerprint: WORK, duration: DURATION }]));
    assert!(!try_send(&mut state, NOW));
    assert!(sent_to(&state.apply(arrival(8, "stream", "chat"), NOW)).is_some());
}

#[test]
fn counts_a_crash_once_and_each_start_of_an_upstream_separately() {
    let mut state = router_with_retries();
    for _ in 0..3 {
        state.apply(crash_report(&["a", "b"]), NOW);
    }
    assert!(try_send(&mut state, NOW));
    // The next start of an upstream has a new name.
    state.apply(Event::Crashes(vec![crash("a@1", NOW)]), NOW);
    assert!(!try_send(&mut state, NOW));
}

#[test]
fn checks_an_upstream_once_after_interrupted_requests() {
    let mut state = router_with_retries();
    state.apply(engines(&["d"]), NOW);
    let count_checks = |effects: &[Effect]| {
        effects.iter().filter(|effect| matches!(effect, Effect::Check { .. })).count()
    };
    for id in 1..4 {
        state.apply(arrival(id, "stream", "chat"), NOW);
    }
    let disconnect = |state: &mut State, id| {
        state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW)
    };
    assert_eq!([1, 2].map(|id| count_checks(&disconnect(&mut state, id))), [1, 0]);
    let upstream: Arc<str> = "engine-0".into();
    let effects = state.apply(Event::Checked { upstream, check: Liveness::Dead }, NOW);
    assert_eq!(reported(&effects), [(1, "engine-0".into()), (2, "engine-0".into())]);
    assert_eq!(count_checks(&disconnect(&mut state, 3)), 1);
}

#[test]
fn forgets_interrupted_requests_of_an_upstream_that_is_alive() {
    let mut state = router_with_retries();
    let (upstream, _) = send_and_disconnect(&mut state, WORK, "unsafe");
    let check = Liveness::Alive;
    state.apply(Event::Checked { upstream: upstream.clone(), check }, NOW);
    let effects = state.apply(Event::Checked { upstream, check: Liveness::Dead }, NOW);
    assert!(reported(&effects).is_empty());
}

#[test]
fn reports_a_crash_of_a_silent_upstream_that_disappears_from_the_list() {
    let mut state = router_with_retries();
    state.apply(engines(&["d", "d"]), NOW);
    let upstream =
        sent_to(&state.apply(arrival(WORK, "stream", "chat"), NOW)).expect("an upstream");
    let later = NOW + Millis(3_000);
    state.apply(Event::Stalled { id: WORK, attempt: 1 }, later);
    let effects = state.apply(Event::Hosts(Vec::new()), later);
    assert!(reported(&effects).contains(&(WORK, upstream)), "{effects:?}");
}

#[test]
fn reports_a_crash_if_a_later_start_replaces_the_upstream() {
    let mut state = router_with_retries();
    let Event::Hosts(mut hosts) = engines(&["d"]) else { unreachable!("a host list") };
    state.apply(Event::Hosts(hosts.clone()), NOW);
    send_and_disconnect(&mut state, WORK, "stream");
    let check = Liveness::Unknown;
    state.apply(Event::Checked { upstream: hosts[0].name.clone(), check }, NOW);
    hosts[0].name = "engine-0@1".into();
    let effects = state.apply(Event::Hosts(hosts), NOW);
    assert_eq!(reported(&effects), [(WORK, "engine-0".into())]);
}

#[test]
fn does_not_retry_a_request_whose_work_is_quarantined() {
    let mut state = router_with_retries();
    let first = sent_to(&state.apply(arrival(WORK, "stream", "chat"), NOW));
    assert!(first.is_some());
    state.apply(crash_report(&["a", "b", "c"]), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
    assert_eq!((sent_to(&effects), failure(&effects)), (None, Some(Kind::LinkLost)));
}

#[test]
fn accepts_work_after_its_quarantine_and_reports_the_remaining_time() {
    let mut state = router_with_retries();
    state.apply(crash_report(&["a", "b", "c"]), NOW);
    let later = NOW + Millis(200_000);
    state.apply(Event::ConfigurationConfirmed { at: later }, later);
    let effects = state.apply(arrival(WORK, "stream", "chat"), later);
    assert_eq!(retry_after(&effects), Some(400_000));
    assert!(!try_send(&mut state, NOW + Millis(DURATION.0 - 1)));
    assert!(try_send(&mut state, NOW + DURATION));
}

#[test]
fn a_clock_ahead_does_not_prolong_a_quarantine() {
    let mut state = router_with_retries();
    let ahead = NOW + Millis(9_000_000);
    let crashes = ["a", "b", "c"].map(|name| crash(name, ahead));
    state.apply(Event::Crashes(crashes.into()), NOW);
    assert!(!try_send(&mut state, NOW));
    assert!(try_send(&mut state, NOW + DURATION));
}

#[test]
fn evicts_the_oldest_crashes_beyond_the_limit() {
    let mut state = router_with_retries();
    state.apply(crash_report(&["a", "b", "c"]), NOW);
    let other = |fingerprint| Crash { fingerprint, ..crash("a", NOW + Millis(1)) };
    let later = NOW + Millis(1);
    // As many fingerprints as are kept.
    state.apply(Event::Crashes((1_000..5_096).map(other).collect()), later);
    assert!(try_send(&mut state, later));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// A router that knows of three crashes does not send the work while it is quarantined,
    /// whatever the order of crashes and reports.
    #[test]
    fn never_sends_quarantined_work(
        steps in prop::collection::vec((0..3_usize, 0..3_usize, any::<bool>()), 1..60)
    ) {
        let mut fleet = [router_with_retries(), router_with_retries(), router_with_retries()];
        let mut known: [std::collections::BTreeSet<Arc<str>>; 3] = Default::default();
        let mut log: Vec<Crash> = Vec::new();
        for (number, (router, reader, crashed)) in steps.into_iter().enumerate() {
            let state = &mut fleet[router];
            let effects = state.apply(arrival(WORK, "stream", "chat"), NOW);
            let Some(upstream) = sent_to(&effects) else {
                prop_assert!(known[router].len() >= 3);
                continue;
            };
            prop_assert!(known[router].len() < 3, "sent after {:?}", known[router]);
            state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
            state.apply(Event::Cancel { id: WORK }, NOW);
            let check = if crashed { Liveness::Dead } else { Liveness::Alive };
            let effects = state.apply(Event::Checked { upstream, check }, NOW);
            for effect in effects {
                if let Effect::ReportCrashes(crashes) = effect {
                    known[router].extend(crashes.iter().map(|crash| crash.upstream.clone()));
                    log.extend(crashes);
                }
            }
            // The reader receives none, a third, two thirds or all of the log.
            let seen: Vec<_> = log.iter().take(log.len() * (number % 4) / 3).cloned().collect();
            known[reader].extend(seen.iter().map(|crash| crash.upstream.clone()));
            fleet[reader].apply(Event::Crashes(seen), NOW);
        }
    }
}
