//! Guarantees under killed and frozen processes, outages and truncated answers.

use std::collections::BTreeSet;
use std::time::Duration;

use load::{Caller, Error, retry};
use nix::sys::signal::Signal;
use serde_json::json;
use standin::{EngineFault, EngineSettings};
use tokio::task::JoinSet;

use crate::fleet::{Fleet, Layout, MODEL, chat, expected_answer, until};

/// The number of concurrent requests of each test.
const REQUESTS: usize = 60;

/// Returns a layout with answers that take about a second.
fn slow() -> Layout {
    let engine = EngineSettings { model: MODEL.to_owned(), step_ms: 20, ..Default::default() };
    Layout { engine, latency: Duration::from_millis(300), ..Layout::default() }
}

/// The key of a call, and the result or the outcome that its caller got.
type CallResult = (String, Result<(), String>);

/// Confirms the pickup of one order, with the key of the order.
async fn confirm(caller: Caller, index: usize) -> CallResult {
    let key = format!("order-{index}");
    let path = format!("/orders/{index}");
    let result = match caller.call("pickup", &path, Some(&key), "{}").await {
        Ok(_) => Ok(()),
        Err(error) => Err(error.outcome().to_owned()),
    };
    (key, result)
}

async fn confirm_many(fleet: &Fleet) -> JoinSet<CallResult> {
    let mut calls = JoinSet::new();
    for index in 0..REQUESTS {
        let caller = fleet.call_caller(index % 2).await;
        calls.spawn_local(confirm(caller, index));
    }
    calls
}

async fn collect(mut calls: JoinSet<CallResult>) -> Vec<CallResult> {
    let mut results = Vec::new();
    while let Some(call) = calls.join_next().await {
        results.push(call.expect("the call task completes"));
    }
    results
}

/// Checks that no call ran twice and that every reported outcome is true.
fn check_told(fleet: &Fleet, results: &[CallResult]) {
    let runs = fleet.runs();
    for (key, result) in results {
        let ran = runs.get(key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times");
        match result {
            Ok(()) => assert_eq!(ran, 1, "{key} was answered and did not run"),
            Err(outcome) if outcome == "not_run" => assert_eq!(ran, 0, "{key} ran"),
            Err(outcome) => assert_eq!(outcome, "unknown", "{key}"),
        }
    }
}

/// Returns the keys of the calls that the current run of a sidecar owns.
fn keys_owned_by(fleet: &Fleet, sidecar: &str) -> BTreeSet<String> {
    let run = format!("{sidecar}.");
    let owners = fleet.store.values("once/courier/").into_iter();
    owners.filter(|(_, owner)| owner.starts_with(&run)).map(|(key, _)| key).collect()
}

/// Returns the start time of a sidecar's run, as a router knows it.
async fn run_start(fleet: &Fleet, router: usize, sidecar: &str) -> Option<u64> {
    let status = fleet.call_caller(router).await.page("/status").await.ok()?;
    let upstreams = status["upstreams"].as_array()?.clone();
    let upstream = upstreams.iter().find(|upstream| upstream["name"] == sidecar)?;
    upstream["incarnation"].as_u64()
}

/// Returns the keys of the calls that were not answered.
fn failed_keys(results: &[CallResult]) -> BTreeSet<String> {
    let failed = results.iter().filter(|(_, result)| result.is_err());
    failed.map(|(key, _)| key.clone()).collect()
}

/// Starts all calls, kills a sidecar `delay` after a quarter of them run, restarts it and repeats
/// all calls. Returns the keys of the calls that failed at first.
///
/// Checks that exactly the calls of the lost run fail when they are repeated: their answers went
/// with it, also those that callers already have. The repeats wait until both routers know the new
/// run, as `not_run` for a repeat that can't reach the old one says nothing about the first call.
async fn kill_and_repeat(delay: Duration) -> BTreeSet<String> {
    let mut fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let lost_run = run_start(&fleet, 0, "pickup-1").await;
    assert!(lost_run.is_some(), "the router doesn't know the sidecar");
    let calls = confirm_many(&fleet).await;
    until(|| async { fleet.runs().len() > REQUESTS / 4 }).await;
    tokio::time::sleep(delay).await;
    fleet.sidecars.get_mut("pickup-1").expect("the process is running").kill();
    let first = collect(calls).await;
    check_told(&fleet, &first);
    let lost = keys_owned_by(&fleet, "pickup-1");
    let failed = failed_keys(&first);
    assert!(!lost.is_empty(), "the killed sidecar owned no call");
    assert!(failed.is_subset(&lost), "calls of other sidecars failed: {failed:?}, lost {lost:?}");

    fleet.start_sidecar("pickup-1");
    for router in 0..fleet.routers.len() {
        until(|| async { run_start(&fleet, router, "pickup-1").await > lost_run }).await;
    }
    fleet.wait_until_met().await;
    let repeated = collect(confirm_many(&fleet).await).await;
    check_told(&fleet, &repeated);
    assert_eq!(failed_keys(&repeated), lost, "not exactly the calls of the lost run are unknown");
    for (key, result) in &repeated {
        assert!(*result != Err("not_run".to_owned()), "{key} may have run in the lost run");
    }
    failed
}

#[ntex::test]
async fn a_killed_sidecar_makes_no_call_run_twice_and_no_not_run_a_lie() {
    let failed = kill_and_repeat(Duration::ZERO).await;
    assert!(!failed.is_empty(), "the kill came after all answers");
}

#[ntex::test]
async fn answers_of_a_killed_sidecar_are_unknown_when_repeated() {
    for delay_ms in [200, 290, 310, 330] {
        kill_and_repeat(Duration::from_millis(delay_ms)).await;
    }
}

#[ntex::test]
async fn a_resumed_sidecar_runs_no_call_twice() {
    let fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let frozen = &fleet.sidecars["pickup-2"];
    frozen.signal(Signal::SIGSTOP);
    let first = collect(confirm_many(&fleet).await).await;
    frozen.signal(Signal::SIGCONT);
    let repeated = collect(confirm_many(&fleet).await).await;
    check_told(&fleet, &repeated);
    let confirmed = first.iter().filter(|(_, result)| result.is_ok()).count();
    assert!(confirmed > 0 && confirmed < REQUESTS, "the freeze affected no call or every call");
}

#[ntex::test]
async fn a_killed_sidecar_never_truncates_an_answer_silently() {
    let mut fleet = Fleet::start(Layout { services: 0, ..slow() }).await;
    let mut chats = JoinSet::new();
    for index in 0..REQUESTS {
        let caller = fleet.chat_caller(index % 2).await;
        chats.spawn_local(async move {
            let chat = chat(&format!("chat{index}"), 40, index % 2 == 0);
            (expected_answer(&chat), caller.chat(&chat).await)
        });
    }
    until(|| async { fleet.engines.iter().all(|engine| engine.started() > 3) }).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.sidecars.get_mut("engine-1").expect("the process is running").kill();
    let (mut complete, mut failed) = (0, 0);
    while let Some(chat) = chats.join_next().await {
        match chat.expect("the chat task completes") {
            (expected, Ok(answer)) => {
                assert_eq!(answer.text, expected);
                complete += 1;
            }
            (_, Err(Error::Truncated { text })) => {
                panic!("a truncated answer ended without an error: {text}")
            }
            (_, Err(_)) => failed += 1,
        }
    }
    assert!(complete > 0 && failed > 0, "{complete} complete and {failed} failed");
}

#[ntex::test]
async fn truncated_engine_answers_are_reported_as_errors() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    let caller = fleet.chat_caller(0).await;
    for fault in [EngineFault::BreakAfter(5), EngineFault::ShortAfter(5)] {
        fleet.engines.iter().for_each(|engine| engine.set_fault(fault));
        let error =
            caller.chat(&chat("broken", 20, true)).await.expect_err("the answer is truncated");
        assert_eq!((error.kind(), error.outcome()), ("truncated", "ran"), "{fault:?}: {error}");
    }
    fleet.engines.iter().for_each(|engine| engine.set_fault(EngineFault::BreakAfter(5)));
    caller.chat(&chat("broken", 20, false)).await.expect_err("the answer is truncated");
    fleet.engines.iter().for_each(|engine| engine.set_fault(EngineFault::None));
    let chat = chat("mended", 20, true);
    assert_eq!(caller.chat(&chat).await.expect("a complete answer").text, expected_answer(&chat));
}

#[ntex::test]
async fn a_caller_disconnect_cancels_the_request_at_the_engine() {
    let fleet = Fleet::start(Layout { services: 0, ..slow() }).await;
    let caller = fleet.chat_caller(0).await;
    let chat = chat("left", 2_000, true);
    let request = caller.chat(&chat);
    let _ = tokio::time::timeout(Duration::from_millis(300), request).await;
    let cancelled = || fleet.engines.iter().map(standin::Engine::cancelled).sum::<u64>();
    until(|| async { cancelled() == 1 }).await;
    until(|| async { fleet.engines.iter().all(|engine| engine.running() == 0) }).await;
}

#[ntex::test]
async fn a_leaving_upstream_gets_no_new_requests() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    fleet.hosts.mark_leaving("engine-2");
    // The list of hosts lags by 50 ms here.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.engines[1].started();
    let caller = fleet.chat_caller(0).await;
    for index in 0..REQUESTS {
        let chat = chat(&format!("after{index}"), 2, true);
        let answer = caller.chat(&chat).await.expect("a complete answer");
        assert_ne!(answer.upstream, "engine-2");
    }
    assert_eq!(fleet.engines[1].started(), before);
}

#[ntex::test]
async fn draining_each_process_in_turn_interrupts_no_stream() {
    let mut fleet = Fleet::start(Layout { services: 0, routers: 3, ..slow() }).await;
    for index in 0..3 {
        let streams = start_streams(&fleet, index).await;
        let name = format!("engine-{}", index + 1);
        let sidecar = fleet.sidecars.get_mut(&name).expect("the process is running");
        sidecar.signal(Signal::SIGTERM);
        let status = sidecar.wait_for_exit().await;
        assert_eq!(status.code(), Some(0), "the sidecar interrupted a stream");
        finish_streams(streams).await;
        fleet.start_sidecar(&name);
        fleet.wait_until_met().await;
    }
    let streams = start_streams(&fleet, 0).await;
    let router = &mut fleet.routers[0];
    router.signal(Signal::SIGTERM);
    let status = router.wait_for_exit().await;
    assert_eq!(status.code(), Some(0), "the router interrupted a stream");
    finish_streams(streams).await;
}

/// Starts streams through one router and waits until they run at the engines.
async fn start_streams(fleet: &Fleet, router: usize) -> JoinSet<()> {
    let started = || fleet.engines.iter().map(standin::Engine::started).sum::<u64>();
    let before = started();
    let mut streams = JoinSet::new();
    for index in 0..REQUESTS {
        let caller = fleet.chat_caller(router).await;
        streams.spawn_local(async move {
            let chat = chat(&format!("stream{index}"), 40, true);
            let answer = retry(|| caller.chat(&chat)).await.expect("a complete answer");
            assert_eq!(answer.text, expected_answer(&chat));
        });
    }
    until(|| async { started() - before >= REQUESTS as u64 }).await;
    streams
}

async fn finish_streams(mut streams: JoinSet<()>) {
    while let Some(stream) = streams.join_next().await {
        stream.expect("the stream task completes");
    }
}

#[ntex::test]
async fn a_store_outage_affects_only_caller_chosen_keys() {
    let fleet = Fleet::start(Layout { engines: 0, ..Layout::default() }).await;
    let caller = fleet.call_caller(0).await;
    fleet.store.set_fault(standin::StoreFault::Down);
    let key = caller.key("pickup").await.expect("new keys need no store");
    caller.call("pickup", "/a", Some(&key), "{}").await.expect("the call is answered");
    let error = caller
        .call("pickup", "/b", Some("own"), "{}")
        .await
        .expect_err("the owner of the key is unknown");
    assert_eq!(error.outcome(), "unknown");
    fleet.store.set_fault(standin::StoreFault::DropAnswers);
    let error = caller
        .call("pickup", "/b", Some("own"), "{}")
        .await
        .expect_err("the owner of the key is unknown");
    assert_eq!(error.outcome(), "unknown");
    fleet.store.set_fault(standin::StoreFault::None);
    caller.call("pickup", "/b", Some("own"), "{}").await.expect("the call is answered");
    assert_eq!(fleet.runs()["own"], 1);
    assert_eq!(fleet.runs()[&key], 1);
    let other = caller
        .call("pickup", "/c", Some("own"), "{}")
        .await
        .expect_err("the key belongs to another call");
    assert_eq!(other.kind(), "key_reused");
}

#[ntex::test]
async fn a_lower_generation_is_ignored() {
    let fleet = Fleet::start(Layout { engines: 1, services: 0, ..Layout::default() }).await;
    let caller = fleet.chat_caller(0).await;
    let generation = || async {
        caller.page("/status").await.expect("a page")["generation"].as_u64().unwrap_or(0)
    };
    let write_generation = |number: u64| {
        let mut document: serde_json::Value =
            serde_json::from_str(crate::fleet::INTENTS).expect("the example is JSON");
        document["generation"] = json!(number);
        std::fs::write(&fleet.intents, document.to_string()).expect("the file is writable");
    };
    write_generation(5);
    until(|| async { generation().await == 5 }).await;
    write_generation(3);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(generation().await, 5);
    write_generation(6);
    until(|| async { generation().await == 6 }).await;
}

#[ntex::test]
async fn a_host_whose_address_answers_with_another_name_gets_no_requests() {
    let fleet = Fleet::start(Layout { engines: 1, services: 0, ..Layout::default() }).await;
    fleet.hosts.put(json!({
        "name": "engine-9",
        "address": fleet.sidecars["engine-1"].address("listen"),
        "domain": "domain-1",
        "labels": { "model": MODEL },
    }));
    let caller = fleet.chat_caller(0).await;
    let upstreams = || async {
        let status = caller.page("/status").await.expect("a page");
        status["upstreams"].as_array().cloned().unwrap_or_default()
    };
    until(|| async { upstreams().await.len() == 2 }).await;
    for index in 0..20 {
        let answer =
            caller.chat(&chat(&format!("moved{index}"), 2, true)).await.expect("a complete answer");
        assert_eq!(answer.upstream, "engine-1");
    }
    let renamed = upstreams().await.into_iter().find(|upstream| upstream["name"] == "engine-9");
    assert_eq!(renamed.expect("the host is listed")["up"], false);
}

#[ntex::test]
async fn chats_complete_on_other_engines_while_a_sidecar_is_frozen() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    fleet.sidecars["engine-3"].signal(Signal::SIGSTOP);
    let mut chats = JoinSet::new();
    for index in 0..REQUESTS {
        let caller = fleet.chat_caller(index % 2).await;
        chats.spawn_local(async move {
            let chat = chat(&format!("chat{index}"), 5, true);
            let answer = retry(|| caller.chat(&chat)).await.expect("a complete answer");
            assert_eq!(answer.text, expected_answer(&chat));
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
    let lost =
        first.iter().filter(|(_, result)| result.as_ref().is_err_and(String::is_empty)).count();
    assert!(lost > 0, "the kill interrupted no call");
    // Every caller repeats its call through the other router until it is answered.
    let mut calls = JoinSet::new();
    for index in 0..REQUESTS {
        let caller = fleet.call_caller(1).await;
        calls.spawn_local(async move {
            let mut result = confirm(caller.clone(), index).await;
            for _ in 0..20 {
                if result.1.is_ok() {
                    return result;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                result = confirm(caller.clone(), index).await;
            }
            result
        });
    }
    let repeated = collect(calls).await;
    check_told(&fleet, &repeated);
    assert!(repeated.iter().all(|(_, result)| result.is_ok()), "{repeated:?}");
}

#[ntex::test]
async fn a_sidecar_killed_during_a_store_outage_makes_no_call_run_twice() {
    let mut fleet = Fleet::start(Layout { engines: 0, ..slow() }).await;
    let calls = confirm_many(&fleet).await;
    until(|| async { fleet.runs().len() > REQUESTS / 4 }).await;
    fleet.store.set_fault(standin::StoreFault::Down);
    fleet.sidecars.get_mut("pickup-3").expect("the process is running").kill();
    check_told(&fleet, &collect(calls).await);
    fleet.start_sidecar("pickup-3");
    fleet.wait_until_met().await;
    let during = collect(confirm_many(&fleet).await).await;
    assert!(during.iter().all(|(_, result)| result == &Err("unknown".to_owned())), "{during:?}");
    fleet.store.set_fault(standin::StoreFault::None);
    let after = collect(confirm_many(&fleet).await).await;
    check_told(&fleet, &after);
    assert!(after.iter().any(|(_, result)| result.is_ok()));
}

#[ntex::test]
async fn draining_interrupts_none_of_a_thousand_streams() {
    const STREAMS: usize = 1_000;
    let engine = EngineSettings {
        model: MODEL.to_owned(),
        step_ms: 100,
        batch: STREAMS,
        ..Default::default()
    };
    let admission = json!({ "slots": STREAMS, "bound": { "multiple": 1.25, "floor": 1_000_000 } });
    // A debug build needs longer to admit this many requests.
    let router = json!({ "drain_notice_ms": 100, "routing": { "admit_ms": 20_000 } });
    let layout = Layout { services: 0, engine, admission, router, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await;
    let mut streams = JoinSet::new();
    let callers = [fleet.chat_caller(0).await, fleet.chat_caller(1).await];
    for index in 0..STREAMS {
        let caller = callers[index % 2].clone();
        streams.spawn_local(async move {
            let chat = chat(&format!("many{index}"), 40, true);
            let answer = retry(|| caller.chat(&chat)).await.expect("a complete answer");
            assert_eq!(answer.text, expected_answer(&chat));
        });
    }
    let started = || fleet.engines.iter().map(standin::Engine::started).sum::<u64>();
    until(|| async { started() >= STREAMS as u64 }).await;
    fleet.sidecars["engine-1"].signal(Signal::SIGTERM);
    fleet.routers[0].signal(Signal::SIGTERM);
    finish_streams(streams).await;
    let sidecar =
        fleet.sidecars.get_mut("engine-1").expect("the process is running").wait_for_exit().await;
    let router = fleet.routers[0].wait_for_exit().await;
    assert_eq!((sidecar.code(), router.code()), (Some(0), Some(0)));
}
