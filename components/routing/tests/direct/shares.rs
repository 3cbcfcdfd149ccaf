//! Shares of workspaces in a saturated pool.

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

const SEED: u64 = 20_261_203;

const ENGINES: [&str; 4] = ["engine-0", "engine-1", "engine-2", "engine-3"];

/// A time at which standings are computed anew.
const LATER: Millis = Millis(NOW.0 + 150);

/// Queues with waits of 300 ms and 500 ms, where the limit is 400 ms.
const BUSY: u64 = 3;
const FULL: u64 = 5;

/// A router to which another one reported 100 ms of wait per queued request.
fn router_with_reported_waits(mechanisms: Mechanisms) -> State {
    let mut state = router(Settings { mechanisms, ..settings() });
    let delay = Delay { pool: "engine".into(), priority: 5, waited_ms: 100_000, queued: 1_000 };
    state.apply(Event::Delays(vec![delay]), NOW);
    state
}

/// Another router reports that `waiting` of its requests are queued at each engine.
fn report_waiting(state: &mut State, waiting: u64) {
    let load = |name: &&str| Load { upstream: (*name).into(), requests: waiting, waiting };
    let upstreams = ENGINES.iter().map(load).collect();
    state.apply(Event::Loads(Loads { router: "front-2".into(), current: true, upstreams }), NOW);
}

/// A stream request of a workspace.
fn asked(id: u64, workspace: &str) -> Event {
    let Event::Arrival(stream) = arrival(id, "stream", &format!("chat-{id}")) else {
        unreachable!()
    };
    Event::Arrival(Arrival { workspace: workspace.into(), ..stream })
}

/// Sends requests that are answered at once, so that they leave no load.
fn serve(state: &mut State, ids: std::ops::Range<u64>, workspace: &str) {
    for id in ids {
        assert!(sent_to(&state.apply(asked(id, workspace), NOW)).is_some());
        let head = Reply::Head(Head { attempt: 1, status: 200, headers: Vec::new() });
        state.apply(Event::Reply { id, attempt: 1, reply: head }, NOW);
        let end = End { attempt: 1, chunks: 0, bytes: 0, status: Status::default() };
        state.apply(Event::Reply { id, attempt: 1, reply: Reply::End(end) }, NOW);
    }
}

/// Sends requests that are refused.
fn refused(state: &mut State, ids: std::ops::Range<u64>, workspace: &str) {
    for id in ids {
        let effects = state.apply(asked(id, workspace), NOW);
        assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    }
}

/// Four workspaces have been served, and one with many times their demand was refused.
fn router_after_surge(mechanisms: Mechanisms) -> State {
    let mut state = router_with_reported_waits(mechanisms);
    for (index, workspace) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let first = 1_000 * (1 + index as u64);
        serve(&mut state, first..first + 10, workspace);
    }
    report_waiting(&mut state, FULL);
    refused(&mut state, 100..180, "hot");
    state
}

fn enabled() -> Mechanisms {
    Mechanisms { shares: true, ..Mechanisms::default() }
}

#[test]
fn refuses_a_workspace_over_its_share_first() {
    let mut state = router_after_surge(enabled());
    report_waiting(&mut state, BUSY);
    let effects = state.apply(asked(1, "hot"), LATER);
    assert_eq!(failure(&effects), Some(Kind::WouldMiss));
    assert!(sent_to(&state.apply(asked(2, "a"), LATER)).is_some());
    assert!(sent_to(&state.apply(asked(3, "new"), LATER)).is_some());
}

#[test]
fn records_the_workspaces_standing_of_a_refusal() {
    let mut state = router_after_surge(enabled());
    let decision = recorded_decision(&state.apply(asked(1, "hot"), LATER)).expect("a decision");
    let standing = decision.standing.expect("a standing");
    assert!(matches!(standing.rank, Rank::Over(times) if times > 3.0), "{standing:?}");
    let decision = recorded_decision(&state.apply(asked(2, "new"), LATER)).expect("a decision");
    assert_eq!(decision.standing.map(|standing| standing.rank), Some(Rank::Below));
    assert_eq!(&*decision.pool, "engine");
}

#[test]
fn serves_a_workspace_over_its_share_if_the_queue_is_short() {
    let mut state = router_after_surge(enabled());
    report_waiting(&mut state, 1);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
}

#[test]
fn selects_another_engine_within_the_workspaces_limit() {
    let mut state = router_after_surge(enabled());
    report_waiting(&mut state, BUSY);
    let load = |name: &&str| Load { upstream: (*name).into(), requests: BUSY, waiting: BUSY };
    let upstreams = ENGINES[..3].iter().map(load).collect();
    state.apply(Event::Loads(Loads { router: "front-2".into(), current: true, upstreams }), NOW);
    for id in 1..3 {
        let effects = state.apply(asked(id, "hot"), LATER);
        assert_eq!(sent_to(&effects).as_deref(), Some("engine-3"));
    }
}

#[test]
fn gives_a_workspace_over_its_share_a_later_retry_time() {
    let mut state = router_after_surge(enabled());
    let retry_time = |state: &mut State, id, workspace: &str| {
        retry_after(&state.apply(asked(id, workspace), LATER)).expect("a retry time")
    };
    let hot = retry_time(&mut state, 1, "hot");
    let others = retry_time(&mut state, 2, "a");
    assert!(others < hot, "{others} {hot}");
}

#[test]
fn does_not_restrict_the_only_workspace() {
    for mechanisms in [enabled(), Mechanisms { shares: false, ..enabled() }] {
        let mut state = router_with_reported_waits(mechanisms);
        report_waiting(&mut state, FULL);
        refused(&mut state, 100..180, "hot");
        report_waiting(&mut state, BUSY);
        assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
    }
}

#[test]
fn enforces_no_shares_without_saturation() {
    let mut state = router_with_reported_waits(enabled());
    serve(&mut state, 100..180, "hot");
    serve(&mut state, 200..205, "a");
    assert_eq!(state.demands(&Arc::from("front-1"), NOW), []);
    report_waiting(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), NOW)).is_some());
}

#[test]
fn saturation_expires() {
    let mut state = router_after_surge(enabled());
    let later = NOW + Millis(2_500);
    state.apply(Event::ConfigurationConfirmed { at: later }, later);
    assert_eq!(state.demands(&Arc::from("front-1"), later), []);
    let load = |name: &&str| Load { upstream: (*name).into(), requests: BUSY, waiting: BUSY };
    let upstreams = ENGINES.iter().map(load).collect();
    let loads = Loads { router: "front-2".into(), current: true, upstreams };
    state.apply(Event::Loads(loads), later);
    assert!(sent_to(&state.apply(asked(1, "hot"), later)).is_some());
}

#[test]
fn uses_demand_reported_by_another_router() {
    let reported = router_after_surge(enabled()).demands(&Arc::from("front-2"), NOW);
    let mut state = router_with_reported_waits(enabled());
    report_waiting(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), NOW)).is_some());
    let mut state = router_with_reported_waits(enabled());
    for demands in reported {
        state.apply(Event::Demands(demands), NOW);
    }
    report_waiting(&mut state, BUSY);
    assert_eq!(failure(&state.apply(asked(1, "hot"), NOW)), Some(Kind::WouldMiss));
    assert!(sent_to(&state.apply(asked(2, "a"), NOW)).is_some());
}

/// Another router reports that one workspace was overserved and others were not; `starving` says
/// whether these still are.
fn overserved_router(mechanisms: Mechanisms, gives_back: f64, starving: bool) -> State {
    let mut state = router_with_reported_waits(mechanisms);
    let settings = Settings { mechanisms, gives_back, ..settings() };
    state.apply(Event::Settings(Box::new(settings)), NOW);
    let demand = |workspace: &str, asked, served| {
        let workspace = placement::digest(&[workspace.as_bytes()]);
        shares::Demand { workspace, priority: 5, requested: asked, served }
    };
    let entries = vec![demand("hot", 2_000, 1_000), demand("a", 500, 200), demand("b", 500, 200)];
    let summary = shares::Summary {
        at: NOW,
        saturated: true,
        starving,
        demands: entries,
        ..Default::default()
    };
    let demands = Demands { router: "front-2".into(), pool: "engine".into(), summary };
    state.apply(Event::Demands(demands), NOW);
    state
}

/// Number of requests sent, out of 100, with empty queues.
fn sent_of_100(state: &mut State, workspace: &str) -> usize {
    let is_sent = |id: &u64| {
        let was_sent = sent_to(&state.apply(asked(*id, workspace), NOW)).is_some();
        state.apply(Event::Cancel { id: *id }, NOW);
        was_sent
    };
    (1..=100).filter(is_sent).count()
}

#[test]
fn an_overserved_workspace_yields_while_others_are_starving() {
    let mut state = overserved_router(enabled(), 1.5, true);
    let hot = sent_of_100(&mut state, "hot");
    assert!((10..50).contains(&hot), "{hot}");
    assert_eq!(sent_of_100(&mut state, "a"), 100);
    let mut state = overserved_router(enabled(), 1.5, false);
    assert_eq!(sent_of_100(&mut state, "hot"), 100);
    let mut state = overserved_router(enabled(), 0.0, true);
    assert_eq!(sent_of_100(&mut state, "hot"), 100);
    let mut state = overserved_router(Mechanisms { shares: false, ..enabled() }, 1.5, true);
    assert_eq!(sent_of_100(&mut state, "hot"), 100);
}

#[test]
fn enforces_no_shares_if_disabled() {
    let mut state = router_after_surge(Mechanisms { shares: false, ..enabled() });
    report_waiting(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
    report_waiting(&mut state, FULL);
    let decision = recorded_decision(&state.apply(asked(2, "hot"), LATER)).expect("a decision");
    assert_eq!(decision.standing, None);
    assert_eq!(state.demands(&Arc::from("front-1"), LATER), []);
}

#[test]
fn a_higher_weight_allows_more_demand() {
    let weights = [("hot".into(), 100.0)].into();
    let mut state = router_after_surge(enabled());
    let settings = Settings { mechanisms: enabled(), weights, ..settings() };
    state.apply(Event::Settings(Box::new(settings)), NOW);
    report_waiting(&mut state, BUSY);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
}

#[test]
fn does_not_refuse_a_request_that_may_have_run() {
    let mut state = router_after_surge(enabled());
    report_waiting(&mut state, 0);
    assert!(sent_to(&state.apply(asked(1, "hot"), LATER)).is_some());
    report_waiting(&mut state, BUSY);
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

    /// Enforcing shares never changes decisions on a workspace below its share.
    #[test]
    fn never_refuses_a_workspace_below_its_share(
        hot in 1..200_u64,
        waiting in 0..8_u64,
        reported in prop::collection::vec((0..5_u64, 0..500_u32, 0..500_u32), 0..8),
    ) {
        let demand = |(workspace, asked, served): (u64, u32, u32)| shares::Demand {
            workspace, priority: 5, requested: asked, served: served.min(asked),
        };
        let entries: Vec<_> = reported.into_iter().map(demand).collect();
        let decide = |mechanisms| {
            let mut state = router_with_reported_waits(mechanisms);
            report_waiting(&mut state, FULL);
            refused(&mut state, 100..100 + hot, "hot");
            let summary = shares::Summary { at: NOW, saturated: true, demands: entries.clone(), ..Default::default() };
            let demands = Demands { router: "front-2".into(), pool: "engine".into(), summary };
            state.apply(Event::Demands(demands), LATER);
            report_waiting(&mut state, waiting);
            sent_to(&state.apply(asked(1, "small"), LATER))
        };
        prop_assert_eq!(decide(enabled()), decide(Mechanisms { shares: false, ..enabled() }));
    }
}
