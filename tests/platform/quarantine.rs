//! Quarantine of work under which upstreams crash.
//!
//! Guards against a fleet that resends such work under new request ids and so crashes one upstream
//! after the other.

use std::time::Duration;

use crate::caller::Answer;
use crate::router::{Router, configuration, unused_host};
use crate::standin::{Action, Mode, Upstream};

/// Body of requests that crash engines.
const FATAL: &str = "the work under which engines end";

/// Time within which all routers know of the third crash.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// How often quarantined work may still be sent to upstreams.
const MAX_RETRIES: usize = 3;

/// Starts engines that crash under [`FATAL`] and answer anything else.
fn start_engines(count: usize) -> Vec<Upstream> {
    let host = unused_host();
    let engine = |number| {
        let engine = Upstream::start(&host, &format!("i-{number}"), "engine");
        engine.set_actions(&[Action::Events(1, 3, 1)]);
        engine.set_fatal(FATAL);
        engine
    };
    (0..count).map(engine).collect()
}

/// Sends a request with the id of this number.
fn send(router: &Router, path: &str, body: &str, number: usize) -> Option<Answer> {
    let id = format!("id-{number}");
    router.request(&format!("POST /{path}/x"), &[("Attempt-Identifier", &id)], body)
}

/// Number of fatal requests that the engines received.
fn fatal_requests(engines: &[Upstream]) -> usize {
    let fatal = |engine: &Upstream| {
        engine.requests().iter().filter(|request| request.body == FATAL.as_bytes()).count()
    };
    engines.iter().map(fatal).sum()
}

/// Crashes at least three engines with fatal requests to the routers in turn.
fn crash_three(routers: &[&Router], engines: &[Upstream], path: &str) {
    for number in 0..3 {
        send(routers[number % routers.len()], path, FATAL, number);
    }
    assert!(fatal_requests(engines) >= 3, "{}", fatal_requests(engines));
    std::thread::sleep(PROPAGATION_TIMEOUT);
}

/// Sends the fatal request to each router six times. Checks that few of these reach an engine, that
/// the next one is refused, and that other work is served.
fn check_quarantine(routers: &[&Router], engines: &[Upstream], path: &str) {
    let before = fatal_requests(engines);
    for number in 10..16 {
        for router in routers {
            send(router, path, FATAL, number);
        }
    }
    let further = fatal_requests(engines) - before;
    assert!(further <= MAX_RETRIES, "sent {further} times more");
    for router in routers {
        let refused = send(router, path, FATAL, 20).expect("an answer");
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
        let served = send(router, path, "other work", 21).expect("an answer");
        assert_eq!((served.status, served.whole), (200, true), "{served:?}");
    }
}

#[test]
fn all_routers_quarantine_work_that_crashes_upstreams() {
    let engines = start_engines(20);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    let third = Router::join(&first.store, "front-3");
    let routers = [&first, &second, &third];
    crash_three(&routers, &engines, "stream");
    check_quarantine(&routers, &engines, "stream");
}

#[test]
fn quarantines_crashing_work_that_routers_retry_themselves() {
    let engines = start_engines(20);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    let routers = [&first, &second];
    crash_three(&routers, &engines, "resumed");
    check_quarantine(&routers, &engines, "resumed");
}

#[test]
fn a_router_started_later_knows_the_quarantined_work() {
    let engines = start_engines(20);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    crash_three(&[&first, &second], &engines, "stream");
    let store = first.store.clone();
    drop((first, second));
    let routers = ["front-1", "front-4"].map(|name| Router::join(&store, name));
    check_quarantine(&[&routers[0], &routers[1]], &engines, "stream");
}

/// The store key of the crash reports of router `name`.
fn key(name: &str) -> String {
    format!("silverstack/crashes/{name}")
}

/// Number of crashes that router `name` has reported.
fn reported_crashes(router: &Router, name: &str) -> usize {
    let text = router.store.text(&key(name)).unwrap_or_else(|| "[]".to_owned());
    serde_json::from_str::<Vec<serde_json::Value>>(&text).expect("a list").len()
}

/// Crashes one engine and waits until the crash is reported.
fn crash_one(router: &Router, name: &str, number: usize) {
    let before = reported_crashes(router, name);
    send(router, "stream", FATAL, number);
    router.wait_until("reporting the crash", || reported_crashes(router, name) > before);
}

#[test]
fn crash_reports_survive_a_restart_of_the_router() {
    let engines = start_engines(6);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    crash_one(&first, "front-1", 1);
    let store = first.store.clone();
    drop(first);
    let restarted = Router::join(&store, "front-1");
    crash_one(&restarted, "front-1", 2);
    assert_eq!(reported_crashes(&restarted, "front-1"), 2);
    // Lost reports are written again.
    store.remove(&key("front-1"));
    restarted
        .wait_until("reporting the crashes again", || reported_crashes(&restarted, "front-1") == 2);
}

#[test]
fn reports_crashes_during_a_store_outage_after_it() {
    let engines = start_engines(6);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    crash_one(&router, "front-1", 1);
    router.store.set_mode(Mode::Busy);
    send(&router, "stream", FATAL, 2);
    router.wait_until("failing to report the crash", || {
        router.has_logged("crash report not written")
    });
    router.store.set_mode(Mode::Up);
    router.wait_until("reporting the crash", || reported_crashes(&router, "front-1") == 2);
}

#[test]
fn unreported_crashes_of_a_stopped_router_reach_its_peers() {
    // Guards against losing crashes that a router could not report before it stopped.
    let engines = start_engines(12);
    let mut first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    first.wait_until("aware of the other router", || {
        first.has_logged("another router announced itself")
    });
    first.store.set_mode(Mode::Silent);
    for number in 0..2 {
        send(&first, "stream", FATAL, number);
    }
    first.wait_until("aware of the crashes", || {
        fatal_requests(&engines) == 2 && first.has_logged("upstream crashed under requests")
    });
    first.wait_until("failing to report the crashes", || {
        first.has_logged("crash report not written")
    });
    first.signal(nix::sys::signal::Signal::SIGTERM);
    first.wait_for_exit();
    first.store.set_mode(Mode::Up);
    second.wait_until("ready again", || second.is_ready());
    send(&second, "stream", FATAL, 2);
    second.wait_until("quarantining the work", || second.has_logged("work is quarantined"));
    check_quarantine(&[&second], &engines, "stream");
    assert_eq!(fatal_requests(&engines), 3);
}

#[test]
fn reduced_polls_see_crash_reports() {
    let engines = start_engines(6);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    router.reduce_polls();
    let crash = |name: &str| serde_json::json!({ "content": 7, "upstream": name, "born": 0, "at": 9_000_000_000_000_u64 });
    router.store.put(&key("front-2"), &serde_json::json!([crash("a"), crash("b"), crash("c")]));
    router.wait_until("quarantining the work", || router.has_logged("work is quarantined"));
    assert!(!router.has_logged("store polls are complete again"));
}

#[test]
fn an_unreadable_crash_report_hides_no_other() {
    let engines = start_engines(10);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    for (name, text) in [("x", "{"), ("y", r#"[{"content":"seven"}]"#), ("z", r#"{"a":1}"#)] {
        first.store.put_text(&key(name), text);
    }
    first.store.put_bytes(&key("bytes"), &[0xff; 64]);
    first.wait_until("reading the invalid entries", || first.has_logged("an entry can't be read"));
    crash_three(&[&first], &engines, "stream");
    let second = Router::join(&first.store, "front-2");
    check_quarantine(&[&first, &second], &engines, "stream");
}

#[test]
fn does_not_quarantine_work_at_which_only_connections_close() {
    let engine = Upstream::start(&unused_host(), "i-1", "engine");
    engine.set_actions(&[Action::Close]);
    let router = Router::start(&configuration(1), &[&engine]);
    for number in 0..6 {
        let answer = send(&router, "stream", "work", number).expect("an answer");
        assert!([502, 503].contains(&answer.status), "{answer:?}");
        router.wait_until("checking the upstream", || router.has_logged("upstream checked"));
    }
    engine.set_actions(&[Action::Events(1, 3, 1)]);
    router.wait_until("serving", || {
        send(&router, "stream", "work", 9)
            .is_some_and(|answer| answer.status == 200 && answer.whole)
    });
    assert!(!router.has_logged("upstream crashed under requests"));
}

#[test]
fn clears_quarantined_work_that_was_answered_completely_elsewhere() {
    let engines = start_engines(20);
    let set_fatal = |body| engines.iter().for_each(|engine| engine.set_fatal(body));
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    set_fatal("nothing");
    let served = send(&first, "stream", FATAL, 1).expect("an answer");
    assert_eq!((served.status, served.whole), (200, true), "{served:?}");
    set_fatal(FATAL);
    for number in 2..5 {
        send(&second, "stream", FATAL, number);
    }
    assert_eq!(fatal_requests(&engines), 4);
    set_fatal("nothing");
    // The first router has served the work and clears it for all, also for routers started later.
    first.wait_until("clearing the work", || first.has_logged("work is cleared"));
    let third = Router::join(&first.store, "front-3");
    for (router, number) in [(&second, 6), (&third, 7)] {
        router.wait_until("serving", || {
            send(router, "stream", FATAL, number)
                .is_some_and(|answer| answer.status == 200 && answer.whole)
        });
    }
}
