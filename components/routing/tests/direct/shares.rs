//! Whose requests are refused first where a pool is short.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use routing::{Arrival, Event, Mechanisms, Rank, Reply, Settings, State};
use wire::{Delay, Demands, End, Head, Load, Loads, Status};

use crate::fixture::{
    NOW, arrival, failure, recorded_decision, retry_after, router, sent_to, settings,
};

/// The seed of the cases, so that every run is the same.
const SEED: u64 = 20_261_203;

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];

/// When what has come is judged anew.
const LATER: Millis = Millis(NOW.0 + 150);

/// A wait of 300 ms where 400 are allowed, and one of 500.
const BUSY: u64 = 3;
const FULL: u64 = 5;

/// A router that has seen each request in a queue take 100 ms.
fn fleet(mechanisms: Mechanisms) -> State {
    let mut state = router(Settings { mechanisms, ..settings() });
    let delay = Delay { pool: "engine".into(), priority: 5, waited_ms: 100_000, queued: 1_000 };
    state.apply(Event::Delays(vec![delay]), NOW);
    state
}

/// Another router tells that `waiting` of its requests wait at each engine.
fn wait_at_all(state: &mut State, waiting: u64) {
    let load = |it: &&str| Load { upstream: (*it).into(), requests: waiting, waiting };
    let upstreams = ENGINES.iter().map(load).collect();
    state.apply(Event::Loads(Loads { router: "front-2".into(), current: true, upstreams }), NOW);
}

/// A workspace asks for a stream.
fn asked(id: u64, workspace: &str) -> Event {
    let Event::Arrival(it) = arrival(id, "stream", &format!("chat-{id}")) else { unreachable!() };
    Event::Arrival(Arrival { workspace: workspace.into(), ..it })
}

/// Asks of a workspace that are answered, so that they leave no load behind.
fn served(state: &mut State, ids: std::ops::Range<u64>, workspace: &str) {
    for id in ids {
        assert!(sent_to(&state.apply(asked(id, workspace), NOW)).is_some());
        let head = Reply::Head(Head { attempt: 1, status: 200, headers: Vec::new() });
        state.apply(Event::Reply { id, attempt: 1, reply: head }, NOW);
        let end = End { attempt: 1, chunks: 0, bytes: 0, status: Status::default() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, NOW);
    }
}

/// Asks of a workspace that are refused.
fn refused(state: &mut State, ids: std::ops::Range<u64>, workspace: &str) {
    for id in ids {
        let effects = state.apply(asked(id, workspace), NOW);
        assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    }
}

/// Others have been served, and a workspace that asks for many times as much was refused.
fn surge(mechanisms: Mechanisms) -> State {
    let mut state = fleet(mechanisms);
    for (place, workspace) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let first = 1_000 * (1 + place as u64);
        served(&mut state, first..first + 10, workspace);
    }
    wait_at_all(&mut state, FULL);
    refused(&mut state, 100..180, "hot");
    state
}

fn on() -> Mechanisms {
    Mechanisms { shares: true, ..Mechanisms::default() }
}

#[test]
fn a_workspace_over_its_share_is_refused_before_the_others() {
    let mut state = surge(on());
    wait_at_all(&mut state, BUSY);
    let effects = state.apply(asked(1, "hot"), LATER);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    assert!(sent_to(&state.apply(asked(2, "a"), LATER)).is_some());
    assert!(sent_to(&state.apply(asked(3, "new"), LATER)).is_some());
}

#[test]
fn a_refusal_tells_how_the_workspace_stands() {
    let mut state = surge(on());
    let decision = recorded_decision(&state.apply(asked(1, "hot"), LATER)).expect("a decision");
    let standing = decision.standing.expect("a standing");
    assert!(matches!(standing.rank, Rank::Over(times) if times > 3.0), "{standing:?}");
    let decision = recorded_decision(&state.apply(asked(2, "new"), LATER)).expect("a decision");
    assert_eq!(decision.standing.map(|it| it.rank), Some(Rank::Below));
    assert_eq!(&*decision.pool, "engine");
}

#[test]
fn a_workspace_over_its_share_is_served_where_little_waits() {
    let mut state = surge(on());
    wait_at_all(&mut state, 1);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
}

#[test]
fn another_engine_is_taken_that_is_in_time_for_the_share() {
    let mut state = surge(on());
    wait_at_all(&mut state, BUSY);
    let load = |it: &&str| Load { upstream: (*it).into(), requests: BUSY, waiting: BUSY };
    let upstreams = ENGINES[..3].iter().map(load).collect();
    state.apply(Event::Loads(Loads { router: "front-2".into(), current: true, upstreams }), NOW);
    for id in 1..3 {
        let effects = state.apply(asked(id, "hot"), LATER);
        assert_eq!(sent_to(&effects).as_deref(), Some("engine-3"));
    }
}

#[test]
fn a_workspace_over_its_share_comes_back_after_the_others() {
    let mut state = surge(on());
    let times = |state: &mut State, id, workspace: &str| {
        retry_after(&state.apply(asked(id, workspace), LATER)).expect("a time")
    };
    let hot = times(&mut state, 1, "hot");
    let others = times(&mut state, 2, "a");
    assert!(others < hot, "{others} {hot}");
}

#[test]
fn a_workspace_alone_is_decided_on_as_before() {
    for mechanisms in [on(), Mechanisms { shares: false, ..on() }] {
        let mut state = fleet(mechanisms);
        wait_at_all(&mut state, FULL);
        refused(&mut state, 100..180, "hot");
        wait_at_all(&mut state, BUSY);
        assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
    }
}

#[test]
fn nothing_is_told_and_nobody_is_held_to_a_share_in_calm() {
    let mut state = fleet(on());
    served(&mut state, 100..180, "hot");
    served(&mut state, 200..205, "a");
    assert_eq!(state.demands(&Arc::from("front-1"), NOW), []);
    wait_at_all(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), NOW)).is_some());
}

#[test]
fn a_shortage_is_over_after_a_while() {
    let mut state = surge(on());
    let later = NOW + Millis(2_500);
    state.apply(Event::ConfigurationConfirmed { at: later }, later);
    assert_eq!(state.demands(&Arc::from("front-1"), later), []);
    let load = |it: &&str| Load { upstream: (*it).into(), requests: BUSY, waiting: BUSY };
    let upstreams = ENGINES.iter().map(load).collect();
    let loads = Loads { router: "front-2".into(), current: true, upstreams };
    state.apply(Event::Loads(loads), later);
    assert!(sent_to(&state.apply(asked(1, "hot"), later)).is_some());
}

#[test]
fn what_another_router_tells_counts() {
    let told = surge(on()).demands(&Arc::from("front-2"), NOW);
    let mut state = fleet(on());
    wait_at_all(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), NOW)).is_some());
    let mut state = fleet(on());
    for demands in told {
        state.apply(Event::Demands(demands), NOW);
    }
    wait_at_all(&mut state, BUSY);
    assert_eq!(failure(&state.apply(asked(1, "hot"), NOW)), Some(Kind::WouldMiss));
    assert!(sent_to(&state.apply(asked(2, "a"), NOW)).is_some());
}

/// Another router tells that the hot workspace was served much, and that others were not;
/// `lacks` says whether they still lack room.
fn served_beyond_its_share(mechanisms: Mechanisms, gives_back: f64, lacks: bool) -> State {
    let mut state = fleet(mechanisms);
    let settings = Settings { mechanisms, gives_back, ..settings() };
    state.apply(Event::Settings(Box::new(settings)), NOW);
    let line = |workspace: &str, asked, served| {
        let workspace = placement::digest(&[workspace.as_bytes()]);
        shares::Demand { workspace, priority: 5, requested: asked, served }
    };
    let lines = vec![line("hot", 2_000, 1_000), line("a", 500, 200), line("b", 500, 200)];
    let word = shares::Summary {
        at: NOW,
        saturated: true,
        starving: lacks,
        demands: lines,
        ..Default::default()
    };
    let demands = Demands { router: "front-2".into(), pool: "engine".into(), summary: word };
    state.apply(Event::Demands(demands), NOW);
    state
}

/// How many of a hundred requests of a workspace are sent where nothing waits.
fn sent_of_a_hundred(state: &mut State, workspace: &str) -> usize {
    let one = |id: &u64| {
        let went = sent_to(&state.apply(asked(*id, workspace), NOW)).is_some();
        state.apply(Event::Cancel { id: *id }, NOW);
        went
    };
    (1..=100).filter(one).count()
}

#[test]
fn a_workspace_that_was_served_beyond_its_share_gives_way_until_the_others_are_served() {
    let mut state = served_beyond_its_share(on(), 1.5, true);
    let hot = sent_of_a_hundred(&mut state, "hot");
    assert!((10..50).contains(&hot), "{hot}");
    assert_eq!(sent_of_a_hundred(&mut state, "a"), 100);
    let mut state = served_beyond_its_share(on(), 1.5, false);
    assert_eq!(sent_of_a_hundred(&mut state, "hot"), 100);
    let mut state = served_beyond_its_share(on(), 0.0, true);
    assert_eq!(sent_of_a_hundred(&mut state, "hot"), 100);
    let mut state = served_beyond_its_share(Mechanisms { shares: false, ..on() }, 1.5, true);
    assert_eq!(sent_of_a_hundred(&mut state, "hot"), 100);
}

#[test]
fn shares_can_be_switched_off() {
    let mut state = surge(Mechanisms { shares: false, ..on() });
    wait_at_all(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
    wait_at_all(&mut state, FULL);
    let decision = recorded_decision(&state.apply(asked(2, "hot"), LATER)).expect("a decision");
    assert_eq!(decision.standing, None);
    assert_eq!(state.demands(&Arc::from("front-1"), LATER), []);
}

#[test]
fn a_workspace_that_counts_more_may_ask_for_more() {
    let weights = [("hot".into(), 100.0)].into();
    let mut state = surge(on());
    let settings = Settings { mechanisms: on(), weights, ..settings() };
    state.apply(Event::Settings(Box::new(settings)), NOW);
    wait_at_all(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
}

#[test]
fn what_may_have_run_is_not_turned_away_for_a_share() {
    let mut state = surge(on());
    wait_at_all(&mut state, 0);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
    wait_at_all(&mut state, BUSY);
    let effects = state.apply(Event::ConnectionFailed { id: 1, attempt: 1, sent: true }, LATER);
    assert!(sent_to(&effects).is_some(), "{effects:?}");
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 64,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// With the switch on whatever is below its share is sent wherever it would be with the
    /// switch off, whatever has been told.
    #[test]
    fn nobody_below_a_share_is_refused_for_anothers_sake(
        hot in 1..200_u64,
        waiting in 0..8_u64,
        told in prop::collection::vec((0..5_u64, 0..500_u32, 0..500_u32), 0..8),
    ) {
        let line = |(workspace, asked, served): (u64, u32, u32)| shares::Demand {
            workspace, priority: 5, requested: asked, served: served.min(asked),
        };
        let lines: Vec<_> = told.into_iter().map(line).collect();
        let decide = |mechanisms| {
            let mut state = fleet(mechanisms);
            wait_at_all(&mut state, FULL);
            refused(&mut state, 100..100 + hot, "hot");
            let word = shares::Summary { at: NOW, saturated: true, demands: lines.clone(), ..Default::default() };
            let demands = Demands { router: "front-2".into(), pool: "engine".into(), summary: word };
            state.apply(Event::Demands(demands), LATER);
            wait_at_all(&mut state, waiting);
            sent_to(&state.apply(asked(1, "small"), LATER))
        };
        prop_assert_eq!(decide(on()), decide(Mechanisms { shares: false, ..on() }));
    }
}
