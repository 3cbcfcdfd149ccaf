//! Quarantine of prompt parts under which upstreams crash.
//!
//! Guards against a fleet that sends such a part to one upstream after the other because no two
//! requests with it are alike, and against refusing sound requests that share the other parts.

use std::time::Duration;

use crate::router::{Router, configuration, unused_host};
use crate::standin::{Action, Mode, Upstream};

/// The part of prompts that crashes engines.
const FATAL: &str = "fa7a1";

/// Time within which all routers know of the fifth crash.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// How many requests with the part may still reach upstreams once all routers know.
const MAX_FURTHER: usize = 3;

/// Starts engines that crash under [`FATAL`] and answer anything else.
fn start_engines(count: usize) -> Vec<Upstream> {
    let host = unused_host();
    let engine = |number| {
        let engine = Upstream::start(&host, &format!("i-{number}"), "engine");
        engine.set_actions(&[Action::Events(1, 3, 1)]);
        engine.set_fatal_part(FATAL);
        engine
    };
    (0..count).map(engine).collect()
}

/// Sends a request of its own body and id with this prompt; returns whether it was served whole.
fn send(router: &Router, path: &str, prompt: &str, number: usize) -> bool {
    let (id, body) = (format!("id-{number}"), format!("body {number}"));
    let prompt = format!("{prompt},a{number:x}:30");
    let headers = [("Attempt-Identifier", &*id), ("Prompt-Prefix", &prompt)];
    let answer = router.request(&format!("POST /{path}/x"), &headers, &body);
    answer.is_some_and(|answer| answer.status == 200 && answer.whole)
}

/// Prompt of a request with the fatal part, by the place of that part.
fn fatal_prompt(place: usize, number: usize) -> String {
    let document = format!("d0c{}:200", number % 2);
    let mut parts = vec!["5157:100", &document];
    let fatal = format!("{FATAL}:40");
    parts.insert(place, &fatal);
    parts.join(",")
}

/// Number of requests with the fatal part that the engines received.
fn fatal_requests(engines: &[Upstream]) -> usize {
    let fatal = |engine: &Upstream| {
        engine.requests().iter().filter(|request| request.has_shared_part(FATAL)).count()
    };
    engines.iter().map(fatal).sum()
}

/// Sends requests with the fatal part to the routers in turn, until five engines have crashed.
fn crash_five(routers: &[&Router], engines: &[Upstream], path: &str, place: usize) {
    for number in 0..5 {
        send(routers[number % routers.len()], path, &fatal_prompt(place, number), number);
    }
    assert!(fatal_requests(engines) >= 3, "{}", fatal_requests(engines));
    std::thread::sleep(PROPAGATION_TIMEOUT);
}

/// Checks that few further requests with the fatal part reach engines, and that each router serves
/// requests that share the other parts.
fn check_quarantine(routers: &[&Router], engines: &[Upstream], path: &str, place: usize) {
    let before = fatal_requests(engines);
    for number in 10..14 {
        for router in routers {
            assert!(!send(router, path, &fatal_prompt(place, number), number));
        }
    }
    let further = fatal_requests(engines) - before;
    assert!(further <= MAX_FURTHER, "sent {further} times more");
    for router in routers {
        for number in 20..24 {
            let prompt = format!("5157:100,d0c{}:200", number % 4);
            assert!(send(router, path, &prompt, number), "{prompt}");
        }
    }
}

#[test]
fn all_routers_refuse_a_prompt_part_that_crashes_upstreams() {
    for place in 0..3 {
        let engines = start_engines(30);
        let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
        let second = Router::join(&first.store, "front-2");
        let third = Router::join(&first.store, "front-3");
        let routers = [&first, &second, &third];
        crash_five(&routers, &engines, "stream", place);
        check_quarantine(&routers, &engines, "stream", place);
    }
}

#[test]
fn a_router_started_later_refuses_the_prompt_part() {
    let engines = start_engines(30);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    crash_five(&[&first, &second], &engines, "resumed", 1);
    let store = first.store.clone();
    drop((first, second));
    let routers = ["front-1", "front-4"].map(|name| Router::join(&store, name));
    check_quarantine(&[&routers[0], &routers[1]], &engines, "resumed", 1);
}

#[test]
fn routers_refuse_a_prompt_part_that_crashes_upstreams_while_the_store_is_away() {
    let engines = start_engines(30);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    for router in [&first, &second] {
        router.wait_until("aware of the other router", || {
            router.has_logged("another router announced itself")
        });
    }
    first.store.set_mode(Mode::Busy);
    crash_five(&[&first], &engines, "stream", 2);
    first.store.set_mode(Mode::Up);
    second.wait_until("ready again", || second.is_ready());
    check_quarantine(&[&first, &second], &engines, "stream", 2);
}
