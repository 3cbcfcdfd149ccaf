//! Upstreams that have just started, and what all routers together send there.

use std::collections::BTreeSet;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use routing::{Event, Settings, State};

use crate::fixture::{
    NOW, arrival, engines, evacuated, failure, members, router, sent_to, settings,
};

/// How many requests the cold engine bears in a second: 1.5 x 8 + 5.
const LIMIT: usize = 17;

/// When routers that start at `NOW` take part in what cold upstreams get.
const SETTLED: Millis = Millis(NOW.0 + 4_000);

/// Router `own` of `count`, with one engine in a failure domain.
fn fleet(own: usize, count: usize) -> State {
    let mut state = router(Settings {
        cold_multiple: 1.5,
        cold_extra: 5.0,
        current_ms: 0,
        retry_burst: 100.0,
        ..settings()
    });
    state.apply(engines(&["a"]), NOW);
    state.apply(members(own, count), NOW);
    state
}

fn cold(left: u64) -> Event {
    Event::Cold { upstream: "engine-0".into(), remaining: Millis(left) }
}

/// How many of `most` requests that come at `now` a router sends.
fn sends(state: &mut State, first: u64, most: u64, now: Millis) -> usize {
    state.apply(Event::ConfigurationConfirmed { at: now }, now);
    let mut count = 0;
    for id in first..first + most {
        count += usize::from(sent_to(&state.apply(arrival(id, "stream", "chat"), now)).is_some());
        state.apply(Event::Cancel { id }, now);
    }
    count
}

#[test]
fn a_cold_engine_gets_no_more_than_it_bears_from_all_routers_together() {
    for count in [1, 3, 8, 26, 120] {
        let mut all = 0;
        for own in 0..count {
            let mut state = fleet(own, count);
            state.apply(cold(3_000), SETTLED);
            all += sends(&mut state, 0, 50, SETTLED);
        }
        assert!((LIMIT * 8 / 10..=LIMIT).contains(&all), "{all} of {count} routers");
    }
}

#[test]
fn what_a_cold_engine_can_not_take_is_refused_at_once_and_told_when_to_come_back() {
    let mut state = fleet(0, 1);
    state.apply(cold(3_000), SETTLED);
    assert_eq!(sends(&mut state, 0, 50, SETTLED), 15);
    let effects = state.apply(arrival(99, "stream", "chat"), SETTLED);
    assert_eq!(failure(&effects), Some(Kind::NoUpstream));
    assert_eq!(sends(&mut state, 100, 50, SETTLED + Millis(1_000)), 0);
    assert_eq!(sends(&mut state, 200, 50, SETTLED + Millis(1_150)), 15);
}

#[test]
fn a_retry_counts_too() {
    let mut state = fleet(0, 1);
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
        let places = [sent_to(&effects), sent_to(&again)];
        to_first += places.iter().flatten().filter(|it| &***it == "engine-0").count();
    }
    assert_eq!(to_first, 15);
}

#[test]
fn a_router_that_has_just_started_or_is_cut_off_sends_nothing_to_a_cold_engine() {
    let mut started = fleet(0, 1);
    started.apply(cold(9_000), NOW);
    assert_eq!(sends(&mut started, 0, 9, NOW + Millis(3_000)), 0);
    assert_eq!(sends(&mut started, 10, 9, SETTLED), 9);

    let mut cut = fleet(0, 1);
    cut.apply(cold(9_000), SETTLED);
    cut.apply(Event::ConfigurationConfirmed { at: NOW }, NOW);
    assert_eq!(sent_to(&cut.apply(arrival(1, "stream", "chat"), SETTLED)), None);
}

#[test]
fn others_get_nothing_of_a_router_that_is_gone_for_a_while() {
    let all = |now: Millis, apart: Millis| -> usize {
        let state = |own| {
            let mut state = fleet(own, 3);
            if own < 2 {
                state.apply(members(own, 2), SETTLED);
            }
            state.apply(cold(60_000), SETTLED + apart);
            sends(&mut state, 0, 50, now)
        };
        (0..3).map(state).sum()
    };
    assert_eq!(all(SETTLED, Millis::ZERO), 15);
    let later = SETTLED + Millis(10_000);
    assert!(all(later, Millis(10_000)) > 15);
}

#[test]
fn engines_of_a_domain_that_is_taken_back_are_cold() {
    let mut state = fleet(0, 1);
    state.apply(evacuated(&["a"]), SETTLED);
    assert_eq!(sends(&mut state, 0, 50, SETTLED), 0);
    state.apply(evacuated(&[]), SETTLED);
    assert_eq!(sends(&mut state, 100, 50, SETTLED), 15);
    // Its pool is cold for 3 s.
    assert_eq!(sends(&mut state, 200, 50, SETTLED + Millis(3_000)), 50);
}

/// What happens to one of the routers, and how long after the last.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrival(usize),
    /// Another router starts; the others hear of it after so long.
    Start {
        heard: u64,
    },
    /// A router hears nothing of the store any more.
    Cut(usize),
}

fn happening() -> impl Strategy<Value = (u64, Happening)> {
    let happening = prop_oneof![
        60 => (0_usize..40).prop_map(Happening::Arrival),
        1 => (0_u64..3_400).prop_map(|heard| Happening::Start { heard }),
        1 => (0_usize..40).prop_map(Happening::Cut),
    ];
    (0_u64..12, happening)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Routers that hear of each other late, or no more, never send a cold engine more than
    /// it bears in any second.
    #[test]
    fn no_order_of_events_sends_a_cold_engine_too_much(
        count in 1_usize..30,
        happenings in prop::collection::vec(happening(), 200..900),
    ) {
        let mut now = SETTLED;
        let mut states: Vec<State> = (0..count).map(|own| fleet(own, count)).collect();
        let mut cut = BTreeSet::new();
        let mut hears: Vec<(Millis, usize)> = Vec::new();
        let mut sent_at: Vec<Millis> = Vec::new();
        for state in &mut states {
            state.apply(cold(60_000), now);
        }
        for (id, (after, happening)) in (1..).zip(happenings) {
            now = now + Millis(after);
            for (_, known) in hears.extract_if(.., |(at, _)| *at <= now) {
                for (own, state) in states.iter_mut().enumerate() {
                    if !cut.contains(&own) {
                        state.apply(members(own, known), now);
                    }
                }
            }
            for (own, state) in states.iter_mut().enumerate() {
                if !cut.contains(&own) {
                    state.apply(Event::ConfigurationConfirmed { at: now }, now);
                }
            }
            match happening {
                Happening::Arrival(own) => {
                    let own = own % states.len();
                    let effects = states[own].apply(arrival(id, "stream", "chat"), now);
                    states[own].apply(Event::Cancel { id }, now);
                    sent_at.extend(sent_to(&effects).map(|_| now));
                }
                Happening::Start { heard } => {
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
                    hears.push((now + Millis(heard), own + 1));
                }
                Happening::Cut(own) => {
                    cut.insert(own % states.len());
                }
            }
        }
        for (place, at) in sent_at.iter().enumerate() {
            let within = sent_at[place..].iter().filter(|it| at.until(**it) < Millis(1_000));
            prop_assert!(within.count() <= LIMIT);
        }
    }
}
