//! Promises under kills, freezes and broken answers.

use std::time::Duration;

use load::{Caller, Error, retry};
use nix::sys::signal::Signal;
use serde_json::json;
use standin::{EngineFault, EngineSettings, StoreFault};
use tokio::task::JoinSet;

use crate::fleet::{Fleet, Layout, MODEL, chat, truth, until};

/// The requests of each test that are in flight together.
const REQUESTS: usize = 60;

/// A layout whose answers take about a second.
fn slow() -> Layout {
    let engine = EngineSettings { model: MODEL.to_owned(), step_ms: 20, ..Default::default() };
    Layout { engine, latency: Duration::from_millis(300), ..Layout::default() }
}

/// What came of one keyed call: its key, and the outcome that its caller was
/// told.
type Told = (String, Result<(), String>);

/// Confirms one pickup with a key of its own.
async fn confirm(caller: Caller, place: usize) -> Told {
    let key = format!("order-{place}");
    let path = format!("/orders/{place}");
    let told = match caller.call("pickup", &path, Some(&key), "{}").await {
        Ok(_) => Ok(()),
        Err(fault) => Err(fault.outcome().to_owned()),
    };
    (key, told)
}

async fn confirm_many(fleet: &Fleet) -> JoinSet<Told> {
    let mut calls = JoinSet::new();
    for place in 0..REQUESTS {
        let caller = fleet.courier(place % 2).await;
        calls.spawn_local(confirm(caller, place));
    }
    calls
}

async fn collect(mut calls: JoinSet<Told>) -> Vec<Told> {
    let mut told = Vec::new();
    while let Some(call) = calls.join_next().await {
        told.push(call.expect("the call's task"));
    }
    told
}

/// Whoever was told `not run` was told the truth, and nothing ran twice.
fn check_told(fleet: &Fleet, told: &[Told]) {
    let runs = fleet.runs();
    for (key, told) in told {
        let ran = runs.get(key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times");
        match told {
            Ok(()) => assert_eq!(ran, 1, "{key} was answered and did not run"),
            Err(outcome) if outcome == "not_run" => assert_eq!(ran, 0, "{key} ran"),
            Err(outcome) => assert_eq!(outcome, "unknown", "{key}"),
        }
    }
}

#[ntex::test]
async fn a_killed_sidecar_makes_no_call_run_twice_and_no_not_run_a_lie() {
    let mut fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let calls = confirm_many(&fleet).await;
    until(|| async { fleet.runs().len() > REQUESTS / 4 }).await;
    fleet.sidecars.get_mut("pickup-1").expect("it runs").kill();
    let first = collect(calls).await;
    check_told(&fleet, &first);
    let unsure = first.iter().filter(|(_, told)| told.is_err()).count();
    assert!(unsure > 0, "the kill came too late to matter");

    fleet.start_sidecar("pickup-1");
    fleet.wait_until_met().await;
    let again = collect(confirm_many(&fleet).await).await;
    check_told(&fleet, &again);
    let answered = again.iter().filter(|(_, told)| told.is_ok()).count();
    assert_eq!(answered, REQUESTS - unsure, "only the calls of the lost life stay unsure");
}

#[ntex::test]
async fn a_frozen_sidecar_that_wakes_runs_nothing_a_second_time() {
    let fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let frozen = &fleet.sidecars["pickup-2"];
    frozen.signal(Signal::SIGSTOP);
    let first = collect(confirm_many(&fleet).await).await;
    frozen.signal(Signal::SIGCONT);
    let again = collect(confirm_many(&fleet).await).await;
    check_told(&fleet, &again);
    let sure = first.iter().filter(|(_, told)| told.is_ok()).count();
    assert!(sure > 0 && sure < REQUESTS, "the freeze did not matter");
}

#[ntex::test]
async fn a_killed_engine_side_never_gives_a_short_answer() {
    let mut fleet = Fleet::start(Layout { services: 0, ..slow() }).await;
    let mut chats = JoinSet::new();
    for place in 0..REQUESTS {
        let caller = fleet.mesa(place % 2).await;
        chats.spawn_local(async move {
            let chat = chat(&format!("chat{place}"), 40, place % 2 == 0);
            (truth(&chat), caller.chat(&chat).await)
        });
    }
    until(|| async { fleet.engines.iter().all(|it| it.started() > 3) }).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.sidecars.get_mut("engine-1").expect("it runs").kill();
    let (mut whole, mut cut) = (0, 0);
    while let Some(chat) = chats.join_next().await {
        match chat.expect("the chat's task") {
            (truth, Ok(answer)) => {
                assert_eq!(answer.text, truth);
                whole += 1;
            }
            (_, Err(Error::Truncated { text })) => panic!("a short answer looked whole: {text}"),
            (_, Err(_)) => cut += 1,
        }
    }
    assert!(whole > 0 && cut > 0, "{whole} whole and {cut} cut: the kill did not matter");
}

#[ntex::test]
async fn an_engine_that_breaks_off_or_ends_early_is_told_as_an_error() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    let caller = fleet.mesa(0).await;
    for fault in [EngineFault::BreakAfter(5), EngineFault::ShortAfter(5)] {
        fleet.engines.iter().for_each(|it| it.set_fault(fault));
        let end = caller.chat(&chat("broken", 20, true)).await.expect_err("not whole");
        assert_eq!((end.kind(), end.outcome()), ("truncated", "ran"), "{fault:?}: {end}");
    }
    fleet.engines.iter().for_each(|it| it.set_fault(EngineFault::BreakAfter(5)));
    caller.chat(&chat("broken", 20, false)).await.expect_err("not whole");
    fleet.engines.iter().for_each(|it| it.set_fault(EngineFault::None));
    let chat = chat("mended", 20, true);
    assert_eq!(caller.chat(&chat).await.expect("whole").text, truth(&chat));
}

#[ntex::test]
async fn a_caller_that_goes_away_cancels_at_the_engine() {
    let fleet = Fleet::start(Layout { services: 0, ..slow() }).await;
    let caller = fleet.mesa(0).await;
    let chat = chat("left", 2_000, true);
    let asked = caller.chat(&chat);
    let _ = tokio::time::timeout(Duration::from_millis(300), asked).await;
    let cancelled = || fleet.engines.iter().map(standin::Engine::cancelled).sum::<u64>();
    until(|| async { cancelled() == 1 }).await;
    until(|| async { fleet.engines.iter().all(|it| it.running() == 0) }).await;
}

#[ntex::test]
async fn a_leaving_upstream_gets_no_new_work() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    fleet.hosts.mark_leaving("engine-2");
    // The promise allows a few seconds; the list lags by 50 ms here.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.engines[1].started();
    let caller = fleet.mesa(0).await;
    for place in 0..REQUESTS {
        let chat = chat(&format!("after{place}"), 2, true);
        let answer = caller.chat(&chat).await.expect("a whole answer");
        assert_ne!(answer.upstream, "engine-2");
    }
    assert_eq!(fleet.engines[1].started(), before);
}

#[ntex::test]
async fn a_planned_stop_of_every_process_in_turn_cuts_nothing() {
    let mut fleet = Fleet::start(Layout { services: 0, routers: 3, ..slow() }).await;
    for place in 0..3 {
        let streams = start_streams(&fleet, place).await;
        let name = format!("engine-{}", place + 1);
        let sidecar = fleet.sidecars.get_mut(&name).expect("it runs");
        sidecar.signal(Signal::SIGTERM);
        let status = sidecar.ended().await;
        assert_eq!(status.code(), Some(0), "the sidecar cut something");
        finish_streams(streams).await;
        fleet.start_sidecar(&name);
        fleet.wait_until_met().await;
    }
    let streams = start_streams(&fleet, 0).await;
    let router = &mut fleet.routers[0];
    router.signal(Signal::SIGTERM);
    let status = router.ended().await;
    assert_eq!(status.code(), Some(0), "the router cut something");
    finish_streams(streams).await;
}

/// Starts streams through one router and waits until their engines work.
async fn start_streams(fleet: &Fleet, router: usize) -> JoinSet<()> {
    let started = || fleet.engines.iter().map(standin::Engine::started).sum::<u64>();
    let before = started();
    let mut streams = JoinSet::new();
    for place in 0..REQUESTS {
        let caller = fleet.mesa(router).await;
        streams.spawn_local(async move {
            let chat = chat(&format!("stream{place}"), 40, true);
            let answer = retry(|| caller.chat(&chat)).await.expect("a whole answer");
            assert_eq!(answer.text, truth(&chat));
        });
    }
    until(|| async { started() - before >= REQUESTS as u64 }).await;
    streams
}

async fn finish_streams(mut streams: JoinSet<()>) {
    while let Some(stream) = streams.join_next().await {
        stream.expect("the stream's task");
    }
}

#[ntex::test]
async fn an_outage_of_the_store_stops_only_keys_that_callers_made_up() {
    let fleet = Fleet::start(Layout { engines: 0, ..Layout::default() }).await;
    let caller = fleet.courier(0).await;
    fleet.store.set_fault(StoreFault::Down);
    let key = caller.key("pickup").await.expect("a key needs no store");
    caller.call("pickup", "/a", Some(&key), "{}").await.expect("it runs");
    let end = caller.call("pickup", "/b", Some("own"), "{}").await.expect_err("no owner");
    assert_eq!(end.outcome(), "unknown");
    fleet.store.set_fault(StoreFault::DropAnswers);
    let end = caller.call("pickup", "/b", Some("own"), "{}").await.expect_err("no owner");
    assert_eq!(end.outcome(), "unknown");
    fleet.store.set_fault(StoreFault::None);
    caller.call("pickup", "/b", Some("own"), "{}").await.expect("it runs");
    assert_eq!(fleet.runs()["own"], 1);
    assert_eq!(fleet.runs()[&key], 1);
    let other = caller.call("pickup", "/c", Some("own"), "{}").await.expect_err("another call");
    assert_eq!(other.kind(), "key_reused");
}

#[ntex::test]
async fn a_lower_generation_changes_nothing() {
    let fleet = Fleet::start(Layout { engines: 1, services: 0, ..Layout::default() }).await;
    let caller = fleet.mesa(0).await;
    let generation = || async {
        caller.page("/status").await.expect("a page")["generation"].as_u64().unwrap_or(0)
    };
    let write = |number: u64| {
        let mut document: serde_json::Value =
            serde_json::from_str(crate::fleet::INTENTS).expect("the example is JSON");
        document["generation"] = json!(number);
        std::fs::write(&fleet.intents, document.to_string()).expect("the test can write");
    };
    write(5);
    until(|| async { generation().await == 5 }).await;
    write(3);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(generation().await, 5);
    write(6);
    until(|| async { generation().await == 6 }).await;
}

#[ntex::test]
async fn an_address_that_another_host_has_now_gets_no_work_for_the_old_one() {
    let fleet = Fleet::start(Layout { engines: 1, services: 0, ..Layout::default() }).await;
    fleet.hosts.put(json!({
        "name": "engine-9",
        "address": fleet.sidecars["engine-1"].address("listen"),
        "domain": "domain-1",
        "labels": { "model": MODEL },
    }));
    let caller = fleet.mesa(0).await;
    let listed = || async {
        let status = caller.page("/status").await.expect("a page");
        status["upstreams"].as_array().cloned().unwrap_or_default()
    };
    until(|| async { listed().await.len() == 2 }).await;
    for place in 0..20 {
        let answer = caller.chat(&chat(&format!("moved{place}"), 2, true)).await.expect("whole");
        assert_eq!(answer.upstream, "engine-1");
    }
    let stranger = listed().await.into_iter().find(|it| it["name"] == "engine-9");
    assert_eq!(stranger.expect("it is listed")["up"], false);
}

#[ntex::test]
async fn a_frozen_sidecar_holds_up_no_chat_that_may_run_elsewhere() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    fleet.sidecars["engine-3"].signal(Signal::SIGSTOP);
    let mut chats = JoinSet::new();
    for place in 0..REQUESTS {
        let caller = fleet.mesa(place % 2).await;
        chats.spawn_local(async move {
            let chat = chat(&format!("chat{place}"), 5, true);
            let answer = retry(|| caller.chat(&chat)).await.expect("a whole answer");
            assert_eq!(answer.text, truth(&chat));
            assert_ne!(answer.upstream, "engine-3");
        });
    }
    finish_streams(chats).await;
}

#[ntex::test]
async fn a_killed_router_makes_no_call_run_twice() {
    let mut fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let calls = confirm_many(&fleet).await;
    until(|| async { fleet.runs().len() > REQUESTS / 4 }).await;
    fleet.routers[0].kill();
    let first = collect(calls).await;
    let cut = first.iter().filter(|(_, told)| told.as_ref().is_err_and(String::is_empty)).count();
    assert!(cut > 0, "the kill came too late to matter");
    // Every caller repeats its call through the other router until it is told.
    let mut again = JoinSet::new();
    for place in 0..REQUESTS {
        let caller = fleet.courier(1).await;
        again.spawn_local(async move {
            let mut told = confirm(caller.clone(), place).await;
            for _ in 0..20 {
                if told.1.is_ok() {
                    return told;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                told = confirm(caller.clone(), place).await;
            }
            told
        });
    }
    let again = collect(again).await;
    check_told(&fleet, &again);
    assert!(again.iter().all(|(_, told)| told.is_ok()), "{again:?}");
}

#[ntex::test]
async fn a_killed_sidecar_in_an_outage_of_the_store_makes_no_call_run_twice() {
    let mut fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let calls = confirm_many(&fleet).await;
    until(|| async { fleet.runs().len() > REQUESTS / 4 }).await;
    fleet.store.set_fault(StoreFault::Down);
    fleet.sidecars.get_mut("pickup-3").expect("it runs").kill();
    check_told(&fleet, &collect(calls).await);
    fleet.start_sidecar("pickup-3");
    fleet.wait_until_met().await;
    let during = collect(confirm_many(&fleet).await).await;
    assert!(during.iter().all(|(_, told)| told == &Err("unknown".to_owned())), "{during:?}");
    fleet.store.set_fault(StoreFault::None);
    let after = collect(confirm_many(&fleet).await).await;
    check_told(&fleet, &after);
    assert!(after.iter().any(|(_, told)| told.is_ok()));
}

#[ntex::test]
async fn a_planned_stop_cuts_none_of_a_thousand_streams() {
    const STREAMS: usize = 1_000;
    let engine = EngineSettings {
        model: MODEL.to_owned(),
        step_ms: 100,
        batch: STREAMS,
        ..Default::default()
    };
    let admission = json!({ "slots": STREAMS, "bound": { "multiple": 1.25, "floor": 1_000_000 } });
    // A debug build takes a while to take so many in.
    let router = json!({ "drain_notice_ms": 100, "routing": { "admit_ms": 20_000 } });
    let layout = Layout { services: 0, engine, admission, router, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await;
    let mut streams = JoinSet::new();
    let callers = [fleet.mesa(0).await, fleet.mesa(1).await];
    for place in 0..STREAMS {
        let caller = callers[place % 2].clone();
        streams.spawn_local(async move {
            let chat = chat(&format!("many{place}"), 40, true);
            let answer = retry(|| caller.chat(&chat)).await.expect("a whole answer");
            assert_eq!(answer.text, truth(&chat));
        });
    }
    let started = || fleet.engines.iter().map(standin::Engine::started).sum::<u64>();
    until(|| async { started() >= STREAMS as u64 }).await;
    fleet.sidecars["engine-1"].signal(Signal::SIGTERM);
    fleet.routers[0].signal(Signal::SIGTERM);
    finish_streams(streams).await;
    let sidecar = fleet.sidecars.get_mut("engine-1").expect("it runs").ended().await;
    let router = fleet.routers[0].ended().await;
    assert_eq!((sidecar.code(), router.code()), (Some(0), Some(0)));
}
