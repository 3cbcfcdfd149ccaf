//! Quarantine of prompt parts under which upstreams crash.

use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Crash, Effect, Event, Liveness, Reply, Settings, State};
use wire::{Chunk, End, Head, Status};

use crate::fixture::{
    NOW, arrival_with_parts, engines, failure, retry_after, router, sent_to, settings,
};

/// The part that crashes upstreams.
const FATAL: u64 = 13;

/// A part that all requests share.
const SYSTEM: u64 = 1;

/// Time between two requests.
const STEP: Millis = Millis(200);

/// Time from sending a request until its upstream crashes.
const RUN: Millis = Millis(100);

/// A router with one engine and no retries.
fn router_without_retries() -> State {
    router_with_engine("engine-0")
}

/// The same with an engine of this name.
fn router_with_engine(name: &str) -> State {
    let mut state = router(Settings { current_ms: 0, retry_burst: 0.0, ..settings() });
    list_engine(&mut state, name, NOW);
    state
}

/// Lists one engine of this name; earlier ones are gone.
fn list_engine(state: &mut State, name: &str, now: Millis) {
    let Event::Hosts(mut hosts) = engines(&["d"]) else { unreachable!("a host list") };
    hosts[0].name = name.into();
    state.apply(Event::Hosts(hosts), now);
}

/// Sends a request with these parts, if it is not refused, whose upstream crashes [`RUN`] later and
/// starts again under another name. Returns the effects of the crash.
fn crash(state: &mut State, id: u64, parts: &[u64], now: Millis) -> Option<Vec<Effect>> {
    let upstream = sent_to(&state.apply(arrival_with_parts(id, "stream", parts), now))?;
    let now = now + RUN;
    state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, now);
    let effects = state.apply(Event::Checked { upstream, check: Liveness::Dead }, now);
    list_engine(state, &format!("engine@{id}"), now);
    Some(effects)
}

/// Whether a request with these parts is sent.
fn is_sent(state: &mut State, id: u64, parts: &[u64], now: Millis) -> bool {
    let effects = state.apply(arrival_with_parts(id, "stream", parts), now);
    state.apply(Event::Cancel { id }, now);
    let refused = failure(&effects) == Some(Kind::HeldBack);
    assert!(sent_to(&effects).is_some() || refused, "{effects:?}");
    !refused
}

#[test]
fn quarantines_a_prompt_part_after_the_third_crash() {
    let mut state = router_without_retries();
    serve(&mut state, 20, &[SYSTEM, 100], NOW);
    let mut now = NOW;
    for id in 1..4 {
        assert!(crash(&mut state, id, &[SYSTEM, FATAL, 100 + id], now).is_some());
        now = now + STEP;
    }
    assert!(!is_sent(&mut state, 10, &[SYSTEM, FATAL, 200], now));
    assert!(!is_sent(&mut state, 11, &[FATAL], now));
    assert!(is_sent(&mut state, 12, &[SYSTEM, 101, 200], now));
}

/// Answers attempt 1 of a request in full.
fn answer(state: &mut State, id: u64, status: u16, now: Millis) -> Vec<Effect> {
    begin(state, id, status, now);
    let end = End { attempt: 1, chunks: 1, bytes: 7, status: Status::default() };
    state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, now)
}

/// Passes on the head and the first event of an answer.
fn begin(state: &mut State, id: u64, status: u16, now: Millis) {
    let head = Head { attempt: 1, status, headers: Vec::new() };
    let bytes = Bytes::from_static(b"id: 1\n\n");
    let chunk = Chunk { attempt: 1, sequence: 0, bytes };
    for reply in [Reply::Head(head), Reply::Chunk(chunk)] {
        state.apply(Event::Reply { id, attempt: 1, reply }, now);
    }
}

/// Sends a request with these parts and answers it in full.
fn serve(state: &mut State, id: u64, parts: &[u64], now: Millis) -> Vec<Effect> {
    let effects = state.apply(arrival_with_parts(id, "stream", parts), now);
    assert!(sent_to(&effects).is_some(), "{effects:?}");
    answer(state, id, 200, now)
}

/// The crash of an upstream under a part, as another router reports it.
fn report(part: u64, upstream: &str, at: Millis) -> Crash {
    let ran = Some(RUN);
    Crash { fingerprint: part, upstream: upstream.into(), at, cleared: false, ran }
}

/// Three crashes under a part, one after the other.
fn reports(part: u64, now: Millis) -> Vec<Crash> {
    let crash = |number: u64| {
        let at = now - Millis(1_000) + Millis(number * STEP.0);
        report(part, &format!("engine-{at:?}"), at)
    };
    (1..4).map(crash).collect()
}

/// The parts that the effects report as cleared.
fn cleared(effects: &[Effect]) -> Vec<u64> {
    let clearing = |effect: &Effect| match effect {
        Effect::ReportCleared(clearing) if clearing.is_of_part() => Some(clearing.fingerprint),
        _ => None,
    };
    effects.iter().filter_map(clearing).collect()
}

#[test]
fn refuses_only_prompts_with_all_parts_that_may_be_the_cause() {
    let mut state = router_without_retries();
    let mut now = NOW;
    for id in 1..4 {
        assert!(crash(&mut state, id, &[FATAL, SYSTEM, 100], now).is_some());
        now = now + STEP;
    }
    assert!(!is_sent(&mut state, 10, &[FATAL, SYSTEM, 100], now));
    serve(&mut state, 11, &[SYSTEM, 100], now);
    // An answer leaves only one part.
    assert!(!is_sent(&mut state, 12, &[FATAL], now));
}

#[test]
fn a_crash_for_another_reason_does_not_blame_the_part_that_all_prompts_share() {
    let mut state = router_without_retries();
    let mut now = NOW;
    let fatal = [SYSTEM, FATAL];
    for (id, parts) in [(1, fatal), (2, fatal), (3, fatal), (4, [SYSTEM, 100])] {
        assert!(crash(&mut state, id, &parts, now).is_some());
        now = now + STEP;
    }
    assert!(!is_sent(&mut state, 10, &fatal, now));
    assert!(is_sent(&mut state, 11, &[SYSTEM, 101], now));
}

#[test]
fn upstreams_that_fail_together_quarantine_no_part() {
    let mut state = router_without_retries();
    let together = (0..20).map(|number| report(SYSTEM, &format!("e-{number}"), NOW));
    state.apply(Event::Crashes(together.collect()), NOW);
    assert!(is_sent(&mut state, 1, &[SYSTEM], NOW));
}

#[test]
fn a_part_answered_lately_is_not_quarantined_and_others_hear_of_it() {
    let mut state = router_without_retries();
    serve(&mut state, 1, &[SYSTEM, 100], NOW);
    let now = NOW + Millis(2_000);
    let effects = state.apply(Event::Crashes(reports(SYSTEM, now)), now);
    assert_eq!(cleared(&effects), [SYSTEM]);
    assert!(is_sent(&mut state, 2, &[SYSTEM], now));
    // What was answered long ago may crash the upstreams of today.
    let later = NOW + Millis(60_000);
    state.apply(Event::Crashes(reports(SYSTEM, later)), later);
    assert!(!is_sent(&mut state, 3, &[SYSTEM], later));
}

#[test]
fn an_answer_in_full_ends_the_quarantine_of_its_parts() {
    let mut state = router_without_retries();
    state.apply(arrival_with_parts(1, "stream", &[SYSTEM]), NOW);
    state.apply(Event::Crashes(reports(SYSTEM, NOW)), NOW);
    assert!(!is_sent(&mut state, 2, &[SYSTEM], NOW));
    assert_eq!(cleared(&answer(&mut state, 1, 200, NOW)), [SYSTEM]);
    assert!(is_sent(&mut state, 3, &[SYSTEM], NOW));
}

#[test]
fn an_unsuccessful_answer_clears_no_part() {
    let mut state = router_without_retries();
    state.apply(arrival_with_parts(1, "stream", &[FATAL]), NOW);
    state.apply(Event::Crashes(reports(FATAL, NOW)), NOW);
    assert!(cleared(&answer(&mut state, 1, 400, NOW)).is_empty());
    assert!(!is_sent(&mut state, 2, &[FATAL], NOW));
}

#[test]
fn accepts_a_part_cleared_by_another_router() {
    let mut state = router_without_retries();
    state.apply(Event::Crashes(reports(SYSTEM, NOW)), NOW);
    assert!(!is_sent(&mut state, 1, &[SYSTEM], NOW));
    state.apply(Event::Crashes(vec![Crash::cleared_part(SYSTEM, NOW)]), NOW);
    assert!(is_sent(&mut state, 2, &[SYSTEM], NOW));
}

#[test]
fn a_clearing_that_is_read_again_does_not_drop_later_crashes() {
    let mut state = router_without_retries();
    let clearing = Crash::cleared_part(SYSTEM, NOW);
    state.apply(Event::Crashes(vec![clearing.clone()]), NOW);
    let later = NOW + Millis(60_000);
    state.apply(Event::Crashes(reports(SYSTEM, later)), later);
    assert!(!is_sent(&mut state, 1, &[SYSTEM], later));
    state.apply(Event::Crashes(vec![clearing]), later);
    assert!(!is_sent(&mut state, 2, &[SYSTEM], later));
}

#[test]
fn an_answer_that_has_gone_on_does_not_blame_its_prompt() {
    let mut state = router_without_retries();
    let mut now = NOW;
    for id in 1..6 {
        let upstream = sent_to(&state.apply(arrival_with_parts(id, "stream", &[SYSTEM]), now));
        let upstream = upstream.expect("an upstream");
        begin(&mut state, id, 200, now);
        now = now + Millis(1_000);
        state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, now);
        let effects = state.apply(Event::Checked { upstream, check: Liveness::Dead }, now);
        let blames = |effect: &Effect| matches!(effect, Effect::ReportCrashes(crashes) if crashes.iter().any(Crash::is_of_part));
        assert!(!effects.iter().any(blames), "{effects:?}");
        state.apply(engines(&["d"]), now);
    }
}

#[test]
fn a_quarantine_of_a_part_ends_and_tells_the_remaining_time() {
    let mut state = router_without_retries();
    state.apply(Event::Crashes(reports(FATAL, NOW)), NOW);
    let latest = NOW - Millis(1_000) + Millis(3 * STEP.0);
    let effects = state.apply(arrival_with_parts(1, "stream", &[FATAL]), NOW);
    assert_eq!(retry_after(&effects), Some(600_000 - (NOW - latest).0));
    assert!(!is_sent(&mut state, 2, &[FATAL], latest + Millis(599_999)));
    assert!(is_sent(&mut state, 3, &[FATAL], latest + Millis(600_000)));
}

#[test]
fn zero_crashes_in_the_settings_disable_the_quarantine_of_parts() {
    let mut state = router(Settings { current_ms: 0, quarantine_part_crashes: 0, ..settings() });
    state.apply(Event::Crashes(reports(FATAL, NOW)), NOW);
    assert!(is_sent(&mut state, 1, &[FATAL], NOW));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Requests with one fatal part among sound ones that share all others, at three routers that
    /// hear of each other's crashes: few of the fatal ones are sent, and no sound one is refused
    /// once they are quarantined.
    #[test]
    fn quarantines_the_fatal_part_and_no_other(
        steps in prop::collection::vec((0..3_usize, any::<bool>(), 0..4_u64, 0..3_usize), 30..120)
    ) {
        // Each start of an engine has a name of its own in the fleet.
        let mut fleet = ["engine-0", "engine-1", "engine-2"].map(router_with_engine);
        let mut now = NOW;
        let mut crashed = 0;
        for (id, (number, is_fatal, document, place)) in (1..).zip(steps) {
            now = now + STEP;
            let mut parts = vec![SYSTEM, 100 + document];
            if is_fatal {
                parts.insert(place, FATAL);
            }
            let state = &mut fleet[number];
            let effects = state.apply(arrival_with_parts(id, "stream", &parts), now);
            if sent_to(&effects).is_none() {
                prop_assert!(is_fatal, "refused {parts:?} after {crashed} crashes");
                prop_assert!(crashed >= 3);
                continue;
            }
            if !is_fatal {
                let effects = answer(state, id, 200, now);
                share(&mut fleet, number, &effects, now);
                continue;
            }
            state.apply(Event::Cancel { id }, now);
            crashed += 1;
            prop_assert!(crashed <= 6, "{crashed} crashes");
            let effects = crash(state, id, &parts, now).unwrap_or_default();
            share(&mut fleet, number, &effects, now + RUN);
        }
    }
}

/// Applies the reports among the effects of one router at all routers.
fn share(fleet: &mut [State], from: usize, effects: &[Effect], now: Millis) {
    let report = |effect: &Effect| match effect {
        Effect::ReportCrashes(crashes) => crashes.clone(),
        Effect::ReportCleared(clearing) => vec![clearing.clone()],
        _ => Vec::new(),
    };
    let reported: Vec<_> = effects.iter().flat_map(report).collect();
    for (_, state) in fleet.iter_mut().enumerate().filter(|(index, _)| *index != from) {
        state.apply(Event::Crashes(reported.clone()), now);
    }
}
