//! Answered work is cleared and never quarantined, even if upstreams crash under it.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Crash, Effect, Event, Liveness, Reply, Settings, State};
use wire::{End, Head, Status};

use crate::fixture::{NOW, arrival, failure, recorded_decision, router, sent_to, settings};

const WORK: u64 = 7;

fn router_with_retries() -> State {
    router(Settings { retry_burst: 1_000.0, current_ms: 0, ..settings() })
}

fn crashes(upstreams: &[&str]) -> Event {
    let crash = |name: &&str| Crash {
        fingerprint: WORK,
        upstream: (*name).into(),
        at: NOW,
        cleared: false,
        ran: None,
    };
    Event::Crashes(upstreams.iter().map(crash).collect())
}

/// Reports of cleared work among the effects.
fn clearings(effects: &[Effect]) -> Vec<Crash> {
    let clearing = |effect: &Effect| match effect {
        Effect::ReportCleared(clearing) => Some(clearing.clone()),
        _ => None,
    };
    effects.iter().filter_map(clearing).collect()
}

/// Completes the answer of attempt `attempt`.
fn answer(state: &mut State, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
    let head = Head { attempt, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt, reply: Reply::Head(head) }, now);
    let end = End { attempt, chunks: 0, bytes: 0, status: Status::default() };
    state.apply(Event::Reply { id, attempt, reply: Reply::End(end) }, now)
}

fn is_accepted(state: &mut State) -> bool {
    let effects = state.apply(arrival(WORK, "stream", "chat"), NOW);
    state.apply(Event::Cancel { id: WORK }, NOW);
    assert!(
        sent_to(&effects).is_some() || failure(&effects) == Some(Kind::HeldBack),
        "{effects:?}"
    );
    sent_to(&effects).is_some()
}

#[test]
fn answered_work_is_never_quarantined() {
    let mut state = router_with_retries();
    state.apply(arrival(WORK, "stream", "chat"), NOW);
    answer(&mut state, WORK, 1, NOW);
    let effects = state.apply(crashes(&["a", "b", "c"]), NOW);
    assert_eq!(clearings(&effects).len(), 1);
    assert!(is_accepted(&mut state));
    // The report is published once.
    assert_eq!(clearings(&state.apply(crashes(&["d", "e", "f"]), NOW)), []);
    assert!(is_accepted(&mut state));
}

#[test]
fn a_complete_answer_clears_work_with_crashes() {
    let mut state = router_with_retries();
    state.apply(crashes(&["a", "b"]), NOW);
    state.apply(arrival(WORK, "stream", "chat"), NOW);
    assert_eq!(clearings(&answer(&mut state, WORK, 1, NOW)).len(), 1);
    state.apply(crashes(&["c", "d", "e"]), NOW);
    assert!(is_accepted(&mut state));
}

#[test]
fn accepts_work_cleared_by_another_router() {
    let mut state = router_with_retries();
    state.apply(crashes(&["a", "b", "c"]), NOW);
    assert!(!is_accepted(&mut state));
    state.apply(Event::Crashes(vec![Crash::cleared(WORK, NOW)]), NOW);
    assert!(is_accepted(&mut state));
    state.apply(crashes(&["a", "b", "c"]), NOW);
    assert!(is_accepted(&mut state));
}

#[test]
fn an_interrupted_answer_does_not_clear_work() {
    let mut state = router_with_retries();
    state.apply(crashes(&["a", "b"]), NOW);
    state.apply(arrival(WORK, "unsafe", "chat"), NOW);
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id: WORK, attempt: 1, reply: Reply::Head(head) }, NOW);
    let lost = state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
    assert!(recorded_decision(&lost).is_some());
    assert_eq!(clearings(&lost), []);
    state.apply(crashes(&["c"]), NOW);
    assert!(!is_accepted(&mut state));
}

#[test]
fn does_not_report_a_crash_under_work_answered_elsewhere() {
    let mut state = router_with_retries();
    let first = sent_to(&state.apply(arrival(WORK, "stream", "chat"), NOW)).expect("an upstream");
    let lost = state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
    assert!(sent_to(&lost).is_some_and(|upstream| upstream != first));
    answer(&mut state, WORK, 2, NOW);
    let ended = state.apply(Event::Checked { upstream: first, check: Liveness::Dead }, NOW);
    assert!(!ended.iter().any(|effect| matches!(effect, Effect::ReportCrashes(_))), "{ended:?}");
}

#[test]
fn forgets_the_oldest_answered_work_first() {
    let mut state = router_with_retries();
    for id in (WORK..).take(9_000) {
        state.apply(arrival(id, "stream", "chat"), NOW);
        answer(&mut state, id, 1, NOW);
    }
    state.apply(crashes(&["a", "b", "c"]), NOW);
    assert!(!is_accepted(&mut state));
}

/// Reports published to the other routers.
fn reports(effects: &[Effect]) -> Vec<Crash> {
    let report = |effect: &Effect| match effect {
        Effect::ReportCrashes(crashes) => crashes.clone(),
        Effect::ReportCleared(clearing) => vec![clearing.clone()],
        _ => Vec::new(),
    };
    effects.iter().flat_map(report).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Engines crash independently of the work, or because of it; routers receive reports in any
    /// order.
    #[test]
    fn quarantines_only_work_without_an_answer(
        steps in prop::collection::vec((0..3_usize, 0..4_u64, any::<bool>(), 0..3_usize), 1..80)
    ) {
        const CRASHING: u64 = 0;
        let mut fleet = [router_with_retries(), router_with_retries(), router_with_retries()];
        let mut log: Vec<Crash> = Vec::new();
        let mut read = [0; 3];
        let mut answered = BTreeSet::new();
        for (number, (router, work, ends, reader)) in steps.into_iter().enumerate() {
            let fingerprint = 100 + work;
            let state = &mut fleet[router];
            let effects = state.apply(arrival(fingerprint, "unsafe", &format!("c-{number}")), NOW);
            if sent_to(&effects).is_some() {
                let effects = if ends || work == CRASHING {
                    state.apply(Event::ConnectionFailed { id: fingerprint, attempt: 1, sent: true }, NOW);
                    let upstream: Arc<str> = sent_to(&effects).expect("an upstream");
                    state.apply(Event::Checked { upstream, check: Liveness::Dead }, NOW)
                } else {
                    answered.insert(fingerprint);
                    answer(state, fingerprint, 1, NOW)
                };
                log.extend(reports(&effects));
            }
            let received: Vec<_> = log[read[reader]..].to_vec();
            read[reader] = log.len();
            log.extend(reports(&fleet[reader].apply(Event::Crashes(received), NOW)));
        }
        for _ in 0..2 {
            for (state, read) in fleet.iter_mut().zip(&mut read) {
                let received: Vec<_> = log[*read..].to_vec();
                *read = log.len();
                log.extend(reports(&state.apply(Event::Crashes(received), NOW)));
            }
        }
        for state in &mut fleet {
            for fingerprint in &answered {
                let effects = state.apply(arrival(*fingerprint, "unsafe", "last"), NOW);
                prop_assert!(failure(&effects) != Some(Kind::HeldBack), "work {fingerprint}");
                state.apply(Event::Cancel { id: *fingerprint }, NOW);
            }
        }
    }
}
