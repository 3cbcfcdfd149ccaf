//! Cold upstreams, and the requests that all routers together send them.

use std::collections::BTreeSet;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Event, Settings, State};

use crate::fixture::{
    NOW, arrival, engines, evacuated, failure, members, plan, router, sent_to, settings,
};

/// Limit of the cold engine in requests per second: 1.5 x 8 + 5.
const LIMIT: usize = 17;

/// When routers that start at `NOW` have a quota.
const SETTLED: Millis = Millis(NOW.0 + 4_000);

fn settings_of_the_fleet() -> Settings {
    Settings {
        cold_multiple: 1.5,
        cold_extra: 5.0,
        current_ms: 0,
        retry_burst: 100.0,
        ..settings()
    }
}

/// Router number `own` of `count`, with one engine.
fn fleet_router(own: usize, count: usize) -> State {
    let mut state = router(settings_of_the_fleet());
    state.apply(engines(&["a"]), NOW);
    state.apply(members(own, count), NOW);
    state
}

fn cold(remaining: u64) -> Event {
    Event::Cold { upstream: "engine-0".into(), remaining: Millis(remaining) }
}

/// How many of `limit` requests that arrive at `now` a router sends.
fn count_sent(state: &mut State, first: u64, limit: u64, now: Millis) -> usize {
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    let mut count = 0;
    for id in first..first + limit {
        count += usize::from(sent_to(&state.apply(arrival(id, "stream", "chat"), now)).is_some());
        state.apply(Event::Cancel { id }, now);
    }
    count
}

#[test]
fn all_routers_together_stay_within_the_limit_of_a_cold_engine() {
    for count in [1, 3, 8, 26, 120] {
        let mut total = 0;
        for own in 0..count {
            let mut state = fleet_router(own, count);
            state.apply(cold(3_000), SETTLED);
            total += count_sent(&mut state, 0, 50, SETTLED);
        }
        assert!((LIMIT * 8 / 10..=LIMIT).contains(&total), "{total} from {count} routers");
    }
}

#[test]
fn refuses_requests_beyond_the_quota_until_the_window_has_passed() {
    let mut state = fleet_router(0, 1);
    state.apply(cold(3_000), SETTLED);
    assert_eq!(count_sent(&mut state, 0, 50, SETTLED), 15);
    let effects = state.apply(arrival(99, "stream", "chat"), SETTLED);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
    assert_eq!(count_sent(&mut state, 100, 50, SETTLED + Millis(1_000)), 0);
    assert_eq!(count_sent(&mut state, 200, 50, SETTLED + Millis(1_150)), 15);
}

#[test]
fn counts_retries_against_the_quota() {
    let mut state = fleet_router(0, 1);
    state.apply(engines(&["a", "a"]), NOW);
    state.apply(cold(3_000), SETTLED);
    state.apply(Event::Cold { upstream: "engine-1".into(), remaining: Millis(3_000) }, SETTLED);
    state.apply(Event::ConfigurationConfirmed { at: SETTLED }, SETTLED);
    let mut to_first = 0;
    for id in 0..100 {
        let effects = state.apply(arrival(id, "stream", &format!("chat-{id}")), SETTLED);
        let again = state.apply(Event::ConnectionFailed { id, attempt: 1, sent: true }, SETTLED);
        state.apply(Event::Alive { upstream: "engine-0".into() }, SETTLED);
        state.apply(Event::Alive { upstream: "engine-1".into() }, SETTLED);
        let targets = [sent_to(&effects), sent_to(&again)];
        to_first += targets.iter().flatten().filter(|name| &***name == "engine-0").count();
    }
    assert_eq!(to_first, 15);
}

#[test]
fn a_router_that_has_just_started_or_is_partitioned_has_no_quota() {
    let mut started = fleet_router(0, 1);
    started.apply(cold(9_000), NOW);
    assert_eq!(count_sent(&mut started, 0, 9, NOW + Millis(3_000)), 0);
    assert_eq!(count_sent(&mut started, 10, 9, SETTLED), 9);

    let mut partitioned = fleet_router(0, 1);
    partitioned.apply(cold(9_000), SETTLED);
    partitioned.apply(Event::ConfigurationConfirmed { at: NOW }, NOW);
    assert_eq!(sent_to(&partitioned.apply(arrival(1, "stream", "chat"), SETTLED)), None);
}

#[test]
fn reserves_the_quota_of_a_departed_router_for_a_while() {
    let total = |now: Millis, elapsed: Millis| -> usize {
        let state = |own| {
            let mut state = fleet_router(own, 3);
            if own < 2 {
                state.apply(members(own, 2), SETTLED);
            }
            state.apply(cold(60_000), SETTLED + elapsed);
            count_sent(&mut state, 0, 50, now)
        };
        (0..3).map(state).sum()
    };
    assert_eq!(total(SETTLED, Millis::ZERO), 15);
    let later = SETTLED + Millis(10_000);
    assert!(total(later, Millis(10_000)) > 15);
}

#[test]
fn engines_of_a_restored_domain_are_cold() {
    let mut state = fleet_router(0, 1);
    state.apply(evacuated(&["a"]), SETTLED);
    assert_eq!(count_sent(&mut state, 0, 50, SETTLED), 0);
    state.apply(evacuated(&[]), SETTLED);
    assert_eq!(count_sent(&mut state, 100, 50, SETTLED), 15);
    // The cold time of the pool is 3 s.
    assert_eq!(count_sent(&mut state, 200, 50, SETTLED + Millis(3_000)), 50);
}

#[test]
fn an_engine_reported_cold_before_the_first_configuration_is_cold_after_it() {
    let mut state = State::new(settings_of_the_fleet(), 1);
    state.apply(engines(&["a"]), NOW);
    state.apply(members(0, 1), NOW);
    state.apply(cold(60_000), NOW);
    state.apply(Event::Configure(plan()), NOW + Millis(100));
    assert_eq!(count_sent(&mut state, 0, 50, SETTLED), 15);
}

/// A step of a scenario.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request arrives at a router.
    Arrival(usize),
    /// A router starts; the others know of it after `delay` milliseconds.
    Start { delay: u64 },
    /// A router loses the store.
    Partition(usize),
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        60 => (0_usize..40).prop_map(Step::Arrival),
        1 => (0_u64..3_400).prop_map(|delay| Step::Start { delay }),
        1 => (0_usize..40).prop_map(Step::Partition),
    ];
    (0_u64..12, step)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Routers that know of each other late or not at all never exceed the limit of a cold engine
    /// in any second.
    #[test]
    fn no_order_of_events_exceeds_the_limit_of_a_cold_engine(
        count in 1_usize..30,
        steps in prop::collection::vec(step(), 200..900),
    ) {
        let mut now = SETTLED;
        let mut states: Vec<State> = (0..count).map(|own| fleet_router(own, count)).collect();
        let mut partitioned = BTreeSet::new();
        let mut announcements: Vec<(Millis, usize)> = Vec::new();
        let mut sent_at: Vec<Millis> = Vec::new();
        for state in &mut states {
            state.apply(cold(60_000), now);
        }
        for (id, (elapsed, step)) in (1..).zip(steps) {
            now = now + Millis(elapsed);
            for (_, known) in announcements.extract_if(.., |(at, _)| *at <= now) {
                for (own, state) in states.iter_mut().enumerate() {
                    if !partitioned.contains(&own) {
                        state.apply(members(own, known), now);
                    }
                }
            }
            for (own, state) in states.iter_mut().enumerate() {
                if !partitioned.contains(&own) {
                    state.apply(Event::ConfigurationConfirmed { at: now }, now);
                }
            }
            match step {
                Step::Arrival(own) => {
                    let own = own % states.len();
                    let effects = states[own].apply(arrival(id, "stream", "chat"), now);
                    states[own].apply(Event::Cancel { id }, now);
                    sent_at.extend(sent_to(&effects).map(|_| now));
                }
                Step::Start { delay } => {
                    let own = states.len();
                    let mut state = router(Settings {
                        cold_multiple: 1.5,
                        cold_extra: 5.0,
                        current_ms: 0,
                        ..settings()
                    });
                    state.apply(engines(&["a"]), now);
                    state.apply(members(own, own + 1), now);
                    state.apply(cold(60_000), now);
                    states.push(state);
                    announcements.push((now + Millis(delay), own + 1));
                }
                Step::Partition(own) => {
                    partitioned.insert(own % states.len());
                }
            }
        }
        for (index, at) in sent_at.iter().enumerate() {
            let within = sent_at[index..].iter().filter(|later| at.until(**later) < Millis(1_000));
            prop_assert!(within.count() <= LIMIT);
        }
    }
}
