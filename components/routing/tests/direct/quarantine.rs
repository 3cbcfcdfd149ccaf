//! Work under which upstreams end, one after the other.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Crash, Effect, Event, Liveness, Settings, State};

use crate::fixture::{NOW, arrival, engines, failure, retry_after, router, sent_to, settings};

/// The work that [`ask`] asks for under number 7.
const WORK: u64 = 7;

/// The longest that routers of the sites hold work back.
const LASTS: Millis = Millis(600_000);

fn fleet() -> State {
    router(Settings { retry_burst: 20.0, ..settings() })
}

fn crash(upstream: &str, at: Millis) -> Crash {
    Crash { fingerprint: WORK, upstream: upstream.into(), at, cleared: false }
}

/// Another router tells that these upstreams have ended under the work.
fn told(upstreams: &[&str]) -> Event {
    Event::Crashes(upstreams.iter().map(|it| crash(it, NOW)).collect())
}

/// Whether the work is sent if it comes now.
fn is_sent(state: &mut State, now: Millis) -> bool {
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    let effects = state.apply(arrival(WORK, "stream", "chat"), now);
    state.apply(Event::Cancel { id: WORK }, now);
    assert!(
        sent_to(&effects).is_some() || failure(&effects) == Some(Kind::HeldBack),
        "{effects:?}"
    );
    sent_to(&effects).is_some()
}

/// What the effects tell the other routers.
fn reported(effects: &[Effect]) -> Vec<(u64, Arc<str>)> {
    let report = |it: &Effect| match it {
        Effect::ReportCrashes(crashes) => crashes.clone(),
        _ => Vec::new(),
    };
    let crashes = effects.iter().flat_map(report);
    crashes.map(|it| (it.fingerprint, it.upstream)).collect()
}

/// Sends a request of which the connection ends; returns where it went.
fn lose(state: &mut State, id: u64, kind: &str) -> (Arc<str>, Vec<Effect>) {
    let upstream = sent_to(&state.apply(arrival(id, kind, "chat"), NOW)).expect("a place");
    let effects = state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW);
    (upstream, effects)
}

#[test]
fn work_is_held_back_after_the_third_end_and_not_before() {
    let mut state = fleet();
    state.apply(told(&["a", "b"]), NOW);
    assert!(is_sent(&mut state, NOW));
    let effects = state.apply(told(&["c"]), NOW);
    assert!(matches!(effects[..], [Effect::Quarantine { fingerprint: WORK, duration: LASTS }]));
    assert!(!is_sent(&mut state, NOW));
    assert!(sent_to(&state.apply(arrival(8, "stream", "chat"), NOW)).is_some());
}

#[test]
fn an_end_that_several_routers_tell_counts_once_and_each_life_for_itself() {
    let mut state = fleet();
    for _ in 0..3 {
        state.apply(told(&["a", "b"]), NOW);
    }
    assert!(is_sent(&mut state, NOW));
    state.apply(Event::Crashes(vec![crash("a@1", NOW)]), NOW);
    assert!(!is_sent(&mut state, NOW));
}

#[test]
fn an_upstream_at_which_a_request_broke_off_is_checked_once() {
    let mut state = fleet();
    state.apply(engines(&["d"]), NOW);
    let checks =
        |effects: &[Effect]| effects.iter().filter(|it| matches!(it, Effect::Check { .. })).count();
    for id in 1..4 {
        state.apply(arrival(id, "stream", "chat"), NOW);
    }
    let lost = |state: &mut State, id| {
        state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, NOW)
    };
    assert_eq!([1, 2].map(|id| checks(&lost(&mut state, id))), [1, 0]);
    let upstream: Arc<str> = "engine-0".into();
    let ended = state.apply(Event::Checked { upstream, check: Liveness::Dead }, NOW);
    assert_eq!(reported(&ended), [(1, "engine-0".into()), (2, "engine-0".into())]);
    assert_eq!(checks(&lost(&mut state, 3)), 1);
}

#[test]
fn a_connection_that_ends_while_its_upstream_stands_tells_nothing() {
    let mut state = fleet();
    let (upstream, _) = lose(&mut state, WORK, "unsafe");
    let check = Liveness::Alive;
    state.apply(Event::Checked { upstream: upstream.clone(), check }, NOW);
    let ended = state.apply(Event::Checked { upstream, check: Liveness::Dead }, NOW);
    assert!(reported(&ended).is_empty());
}

#[test]
fn an_upstream_that_ended_without_a_word_is_known_by_the_list() {
    let mut state = fleet();
    state.apply(engines(&["d", "d"]), NOW);
    let upstream = sent_to(&state.apply(arrival(WORK, "stream", "chat"), NOW)).expect("a place");
    let later = NOW + Millis(3_000);
    state.apply(Event::Stalled { id: WORK, attempt: 1 }, later);
    let effects = state.apply(Event::Hosts(Vec::new()), later);
    assert!(reported(&effects).contains(&(WORK, upstream)), "{effects:?}");
}

#[test]
fn a_later_start_under_the_same_name_is_the_end_of_the_earlier() {
    let mut state = fleet();
    let Event::Hosts(mut hosts) = engines(&["d"]) else { unreachable!("it is a list") };
    state.apply(Event::Hosts(hosts.clone()), NOW);
    lose(&mut state, WORK, "stream");
    let check = Liveness::Unknown;
    state.apply(Event::Checked { upstream: hosts[0].name.clone(), check }, NOW);
    hosts[0].name = "engine-0@1".into();
    let effects = state.apply(Event::Hosts(hosts), NOW);
    assert_eq!(reported(&effects), [(WORK, "engine-0".into())]);
}

#[test]
fn a_request_under_way_is_not_sent_on_once_its_work_is_held_back() {
    let mut state = fleet();
    let first = sent_to(&state.apply(arrival(WORK, "stream", "chat"), NOW));
    assert!(first.is_some());
    state.apply(told(&["a", "b", "c"]), NOW);
    let effects = state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
    assert_eq!((sent_to(&effects), failure(&effects)), (None, Some(Kind::LinkLost)));
}

#[test]
fn work_is_taken_again_when_its_time_is_over_and_callers_are_told_when() {
    let mut state = fleet();
    state.apply(told(&["a", "b", "c"]), NOW);
    let later = NOW + Millis(200_000);
    state.apply(Event::ConfigurationConfirmed { at: later }, later);
    let effects = state.apply(arrival(WORK, "stream", "chat"), later);
    assert_eq!(retry_after(&effects), Some(400_000));
    assert!(!is_sent(&mut state, NOW + Millis(LASTS.0 - 1)));
    assert!(is_sent(&mut state, NOW + LASTS));
}

#[test]
fn another_host_s_clock_lengthens_nothing() {
    let mut state = fleet();
    let ahead = NOW + Millis(9_000_000);
    let crashes = ["a", "b", "c"].map(|it| crash(it, ahead));
    state.apply(Event::Crashes(crashes.into()), NOW);
    assert!(!is_sent(&mut state, NOW));
    assert!(is_sent(&mut state, NOW + LASTS));
}

#[test]
fn what_is_remembered_is_bounded_and_the_oldest_goes_first() {
    let mut state = fleet();
    state.apply(told(&["a", "b", "c"]), NOW);
    let other = |fingerprint| Crash { fingerprint, ..crash("a", NOW + Millis(1)) };
    let later = NOW + Millis(1);
    state.apply(Event::Crashes((1_000..5_096).map(other).collect()), later);
    assert!(is_sent(&mut state, later));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Whatever the routers of a fleet lose, and in whatever order they learn of it: who knows
    /// of three ends sends the work no more.
    #[test]
    fn who_knows_of_three_ends_sends_no_more(
        steps in prop::collection::vec((0..3_usize, 0..3_usize, any::<bool>()), 1..60)
    ) {
        let mut fleet = [fleet(), fleet(), fleet()];
        let mut known: [std::collections::BTreeSet<Arc<str>>; 3] = Default::default();
        let mut log: Vec<Crash> = Vec::new();
        for (number, (router, reader, ends)) in steps.into_iter().enumerate() {
            let state = &mut fleet[router];
            let effects = state.apply(arrival(WORK, "stream", "chat"), NOW);
            let Some(upstream) = sent_to(&effects) else {
                prop_assert!(known[router].len() >= 3);
                continue;
            };
            prop_assert!(known[router].len() < 3, "sent after {:?}", known[router]);
            state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
            state.apply(Event::Cancel { id: WORK }, NOW);
            let check = if ends { Liveness::Dead } else { Liveness::Alive };
            let told = state.apply(Event::Checked { upstream, check }, NOW);
            for effect in told {
                if let Effect::ReportCrashes(crashes) = effect {
                    known[router].extend(crashes.iter().map(|it| it.upstream.clone()));
                    log.extend(crashes);
                }
            }
            let seen: Vec<_> = log.iter().take(log.len() * (number % 4) / 3).cloned().collect();
            known[reader].extend(seen.iter().map(|it| it.upstream.clone()));
            fleet[reader].apply(Event::Crashes(seen), NOW);
        }
    }
}
