//! Work that is merely there when upstreams end.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Crash, Effect, Event, Liveness, Reply, Settings, State};
use wire::{End, Head, Status};

use crate::fixture::{NOW, arrival, failure, recorded_decision, router, sent_to, settings};

const WORK: u64 = 7;

fn fleet() -> State {
    router(Settings { retry_burst: 1_000.0, current_ms: 0, ..settings() })
}

fn ends(upstreams: &[&str]) -> Event {
    let crash =
        |it: &&str| Crash { fingerprint: WORK, upstream: (*it).into(), at: NOW, cleared: false };
    Event::Crashes(upstreams.iter().map(crash).collect())
}

/// The works that the effects clear, and the notices of events told by them.
fn cleared(effects: &[Effect]) -> Vec<Crash> {
    let clearing = |it: &Effect| match it {
        Effect::ReportCleared(clearing) => Some(clearing.clone()),
        _ => None,
    };
    effects.iter().filter_map(clearing).collect()
}

/// A whole answer comes to the work's current attempt.
fn answer(state: &mut State, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
    let head = Head { attempt, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id, attempt, reply: Reply::Head(head) }, now);
    let end = End { attempt, chunks: 0, bytes: 0, status: Status::default() };
    state.apply(Event::Reply { id, attempt, reply: Reply::End(end) }, now)
}

fn is_sent(state: &mut State) -> bool {
    let effects = state.apply(arrival(WORK, "stream", "chat"), NOW);
    state.apply(Event::Cancel { id: WORK }, NOW);
    assert!(
        sent_to(&effects).is_some() || failure(&effects) == Some(Kind::HeldBack),
        "{effects:?}"
    );
    sent_to(&effects).is_some()
}

#[test]
fn work_that_was_answered_in_full_is_not_held_back_whatever_ends() {
    let mut state = fleet();
    state.apply(arrival(WORK, "stream", "chat"), NOW);
    answer(&mut state, WORK, 1, NOW);
    let effects = state.apply(ends(&["a", "b", "c"]), NOW);
    assert_eq!(cleared(&effects).len(), 1);
    assert!(is_sent(&mut state));
    // The others are told once.
    assert_eq!(cleared(&state.apply(ends(&["d", "e", "f"]), NOW)), []);
    assert!(is_sent(&mut state));
}

#[test]
fn an_answer_in_full_clears_work_that_was_blamed() {
    let mut state = fleet();
    state.apply(ends(&["a", "b"]), NOW);
    state.apply(arrival(WORK, "stream", "chat"), NOW);
    assert_eq!(cleared(&answer(&mut state, WORK, 1, NOW)).len(), 1);
    state.apply(ends(&["c", "d", "e"]), NOW);
    assert!(is_sent(&mut state));
}

#[test]
fn what_another_router_cleared_is_taken_again_at_once() {
    let mut state = fleet();
    state.apply(ends(&["a", "b", "c"]), NOW);
    assert!(!is_sent(&mut state));
    state.apply(Event::Crashes(vec![Crash::cleared(WORK, NOW)]), NOW);
    assert!(is_sent(&mut state));
    state.apply(ends(&["a", "b", "c"]), NOW);
    assert!(is_sent(&mut state));
}

#[test]
fn an_answer_that_breaks_off_clears_nothing() {
    let mut state = fleet();
    state.apply(ends(&["a", "b"]), NOW);
    state.apply(arrival(WORK, "unsafe", "chat"), NOW);
    let head = Head { attempt: 1, status: 200, headers: Vec::new() };
    state.apply(Event::Reply { id: WORK, attempt: 1, reply: Reply::Head(head) }, NOW);
    let lost = state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
    assert!(recorded_decision(&lost).is_some());
    assert_eq!(cleared(&lost), []);
    state.apply(ends(&["c"]), NOW);
    assert!(!is_sent(&mut state));
}

#[test]
fn work_that_was_answered_elsewhere_meanwhile_is_not_blamed_for_the_end() {
    let mut state = fleet();
    let first = sent_to(&state.apply(arrival(WORK, "stream", "chat"), NOW)).expect("a place");
    let lost = state.apply(Event::ConnectionFailed { id: WORK, attempt: 1, sent: true }, NOW);
    assert!(sent_to(&lost).is_some_and(|it| it != first));
    answer(&mut state, WORK, 2, NOW);
    let ended = state.apply(Event::Checked { upstream: first, check: Liveness::Dead }, NOW);
    assert!(!ended.iter().any(|it| matches!(it, Effect::ReportCrashes(_))), "{ended:?}");
}

#[test]
fn what_is_remembered_as_answered_is_bounded_and_the_oldest_goes_first() {
    let mut state = fleet();
    for id in (WORK..).take(9_000) {
        state.apply(arrival(id, "stream", "chat"), NOW);
        answer(&mut state, id, 1, NOW);
    }
    state.apply(ends(&["a", "b", "c"]), NOW);
    assert!(!is_sent(&mut state));
}

/// What routers tell each other of one event.
fn told(effects: &[Effect]) -> Vec<Crash> {
    let word = |it: &Effect| match it {
        Effect::ReportCrashes(crashes) => crashes.clone(),
        Effect::ReportCleared(clearing) => vec![clearing.clone()],
        _ => Vec::new(),
    };
    effects.iter().flat_map(word).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Engines end by themselves under work whose callers send it again and again, and under
    /// work that has each of them end. Routers hear each other in any order.
    #[test]
    fn only_what_was_never_answered_is_held_back(
        steps in prop::collection::vec((0..3_usize, 0..4_u64, any::<bool>(), 0..3_usize), 1..80)
    ) {
        const DEADLY: u64 = 0;
        let mut fleet = [fleet(), fleet(), fleet()];
        let mut log: Vec<Crash> = Vec::new();
        let mut read = [0; 3];
        let mut answered = BTreeSet::new();
        for (number, (router, work, ends, reader)) in steps.into_iter().enumerate() {
            let content = 100 + work;
            let state = &mut fleet[router];
            let effects = state.apply(arrival(content, "unsafe", &format!("c-{number}")), NOW);
            if sent_to(&effects).is_some() {
                let effects = if ends || work == DEADLY {
                    state.apply(Event::ConnectionFailed { id: content, attempt: 1, sent: true }, NOW);
                    let upstream: Arc<str> = sent_to(&effects).expect("a place");
                    state.apply(Event::Checked { upstream, check: Liveness::Dead }, NOW)
                } else {
                    answered.insert(content);
                    answer(state, content, 1, NOW)
                };
                log.extend(told(&effects));
            }
            let heard: Vec<_> = log[read[reader]..].to_vec();
            read[reader] = log.len();
            log.extend(told(&fleet[reader].apply(Event::Crashes(heard), NOW)));
        }
        // All hear all.
        for _ in 0..2 {
            for (state, read) in fleet.iter_mut().zip(&mut read) {
                let heard: Vec<_> = log[*read..].to_vec();
                *read = log.len();
                log.extend(told(&state.apply(Event::Crashes(heard), NOW)));
            }
        }
        for state in &mut fleet {
            for content in &answered {
                let effects = state.apply(arrival(*content, "unsafe", "last"), NOW);
                prop_assert!(failure(&effects) != Some(Kind::HeldBack), "work {content}");
                state.apply(Event::Cancel { id: *content }, NOW);
            }
        }
    }
}
