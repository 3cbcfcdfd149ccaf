//! Requests under which upstreams end.
//!
//! A request of one workspace had each engine end that began to run it, 40 to 110 ms after it
//! had. Its caller sent it again about once a second, under a new id each time and to whichever
//! router came next, and each router decided on it as if it had never come. In eight seconds it
//! ended twelve engines, one after the other, and with each of them all else that was being
//! answered there: over a tenth of that kind of request failed for ten seconds at a time.
//!
//! What settled it were lines like these, all of one workspace and one prompt, of three routers,
//! each with a single attempt that reached an engine (the retries of a router had no part in it),
//! some at engines that had nothing else to do (crowding had none either):
//!
//! ```text
//! 40.12 front-caxias-1 link_lost 139 ms  i-a023f599d8@0ms,load=0,unreachable i-aa2e87e481@2ms,link_lost
//! 41.67 front-poa-b-1  link_lost 130 ms  i-12da627cee@0ms,load=0,link_lost
//! 42.33 front-caxias-1 link_lost 157 ms  i-9a43abc9f0@0ms,load=1,link_lost
//! 43.40 front-poa-b-1  link_lost 104 ms  i-da32e75fef@0ms,load=5,link_lost
//! ```

use std::time::Duration;

use crate::caller::Answer;
use crate::router::{Router, configuration, own_host};
use crate::standin::{Act, Mode, Upstream};

/// The body under which engines end.
const FATAL: &str = "the work under which engines end";

/// How long after the third end routers may take until all know.
const CONTACT: Duration = Duration::from_secs(3);

/// How often a request may still be sent after that.
const MOST_RETRIES: usize = 3;

/// Engines that end under [`FATAL`] and answer anything else.
fn engines(count: usize) -> Vec<Upstream> {
    let host = own_host();
    let engine = |number| {
        let engine = Upstream::start(&host, &format!("i-{number}"), "engine");
        engine.set(&[Act::Events(1, 3, 1)]);
        engine.set_fatal(FATAL);
        engine
    };
    (0..count).map(engine).collect()
}

/// Sends a request under an id of its own.
fn send(router: &Router, path: &str, body: &str, number: usize) -> Option<Answer> {
    let id = format!("id-{number}");
    router.ask(&format!("POST /{path}/x"), &[("Attempt-Identifier", &id)], body)
}

/// How often the engines got the fatal request.
fn arrived(engines: &[Upstream]) -> usize {
    let fatal = |engine: &Upstream| {
        engine.requests().iter().filter(|it| it.body == FATAL.as_bytes()).count()
    };
    engines.iter().map(fatal).sum()
}

/// Has three engines or more end under the request, sent to these routers in turn.
fn end_three(routers: &[&Router], engines: &[Upstream], path: &str) {
    for number in 0..3 {
        send(routers[number % routers.len()], path, FATAL, number);
    }
    assert!(arrived(engines) >= 3, "{}", arrived(engines));
    std::thread::sleep(CONTACT);
}

/// Sends the request six times to each router; it may not go on ending engines, and its
/// callers are told at once. Everything else is served.
fn is_held_back(routers: &[&Router], engines: &[Upstream], path: &str) {
    let before = arrived(engines);
    for number in 10..16 {
        for router in routers {
            send(router, path, FATAL, number);
        }
    }
    let further = arrived(engines) - before;
    assert!(further <= MOST_RETRIES, "sent {further} times more");
    for router in routers {
        let refused = send(router, path, FATAL, 20).expect("an answer");
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
        let served = send(router, path, "other work", 21).expect("an answer");
        assert_eq!((served.status, served.whole), (200, true), "{served:?}");
    }
}

#[test]
fn work_under_which_upstreams_end_is_held_back_by_all_routers() {
    let engines = engines(20);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    let third = Router::join(&first.store, "front-3");
    let routers = [&first, &second, &third];
    end_three(&routers, &engines, "stream");
    is_held_back(&routers, &engines, "stream");
}

#[test]
fn work_that_routers_send_again_by_themselves_is_held_back_too() {
    let engines = engines(20);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    let routers = [&first, &second];
    end_three(&routers, &engines, "resumed");
    is_held_back(&routers, &engines, "resumed");
}

#[test]
fn a_router_that_starts_later_knows_what_was_held_back() {
    let engines = engines(20);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    end_three(&[&first, &second], &engines, "stream");
    let store = first.store.clone();
    drop((first, second));
    let routers = ["front-1", "front-4"].map(|name| Router::join(&store, name));
    is_held_back(&[&routers[0], &routers[1]], &engines, "stream");
}

/// The key under which router `name` tells of ends.
fn key(name: &str) -> String {
    format!("silverstack/crashes/{name}")
}

/// How many ends router `name` tells of.
fn told(router: &Router, name: &str) -> usize {
    let text = router.store.text(&key(name)).unwrap_or_else(|| "[]".to_owned());
    serde_json::from_str::<Vec<serde_json::Value>>(&text).expect("a list").len()
}

/// Has one engine end under the request, and waits until that is told.
fn end_one(router: &Router, name: &str, number: usize) {
    let before = told(router, name);
    send(router, "stream", FATAL, number);
    router.until("told", || told(router, name) > before);
}

#[test]
fn what_a_router_told_is_kept_over_its_restart() {
    let engines = engines(6);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    end_one(&first, "front-1", 1);
    let store = first.store.clone();
    drop(first);
    let again = Router::join(&store, "front-1");
    end_one(&again, "front-1", 2);
    assert_eq!(told(&again, "front-1"), 2);
    // What is no longer kept is told again.
    store.remove(&key("front-1"));
    again.until("told again", || told(&again, "front-1") == 2);
}

#[test]
fn ends_in_an_outage_of_the_store_are_told_after_it() {
    let engines = engines(6);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    end_one(&router, "front-1", 1);
    router.store.set_mode(Mode::Busy);
    send(&router, "stream", FATAL, 2);
    router.until("noticed", || router.has_logged("crash report not written"));
    router.store.set_mode(Mode::Up);
    router.until("told", || told(&router, "front-1") == 2);
}

#[test]
fn ends_that_a_router_could_not_tell_the_store_outlast_its_stop() {
    // A router that knew of two ends was stopped while the store said nothing: "upstream ended
    // under work" twice, "crash report not written", "router stopped". The fatal work then ended
    // four more, as all others counted anew.
    let engines = engines(12);
    let mut first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    first.until("met", || first.has_logged("another router announced itself"));
    first.store.set_mode(Mode::Silent);
    for number in 0..2 {
        send(&first, "stream", FATAL, number);
    }
    first.until("known", || {
        arrived(&engines) == 2 && first.has_logged("upstream crashed under requests")
    });
    first.until("not told", || first.has_logged("crash report not written"));
    first.signal(nix::sys::signal::Signal::SIGTERM);
    first.ended();
    first.store.set_mode(Mode::Up);
    second.until("ready again", || second.is_ready());
    send(&second, "stream", FATAL, 2);
    second.until("held back", || second.has_logged("work is quarantined"));
    is_held_back(&[&second], &engines, "stream");
    assert_eq!(arrived(&engines), 3);
}

#[test]
fn looks_that_ask_for_less_see_what_is_held_back() {
    let engines = engines(6);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    router.shorten_looks();
    let ends = |name: &str| serde_json::json!({ "content": 7, "upstream": name, "born": 0, "at": 9_000_000_000_000_u64 });
    router.store.put(&key("front-2"), &serde_json::json!([ends("a"), ends("b"), ends("c")]));
    router.until("held back", || router.has_logged("work is quarantined"));
    assert!(!router.has_logged("store polls are complete again"));
}

#[test]
fn an_entry_that_can_not_be_read_hides_no_other() {
    let engines = engines(10);
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    for (name, text) in [("x", "{"), ("y", r#"[{"content":"seven"}]"#), ("z", r#"{"a":1}"#)] {
        first.store.put_text(&key(name), text);
    }
    first.store.put_bytes(&key("bytes"), &[0xff; 64]);
    first.until("seen", || first.has_logged("an entry can't be read"));
    end_three(&[&first], &engines, "stream");
    let second = Router::join(&first.store, "front-2");
    is_held_back(&[&first, &second], &engines, "stream");
}

#[test]
fn work_at_which_only_connections_end_is_not_held_back() {
    let engine = Upstream::start(&own_host(), "i-1", "engine");
    engine.set(&[Act::Close]);
    let router = Router::start(&configuration(1), &[&engine]);
    for number in 0..6 {
        let answer = send(&router, "stream", "work", number).expect("an answer");
        assert!([502, 503].contains(&answer.status), "{answer:?}");
        router.until("checked", || router.has_logged("upstream checked"));
    }
    engine.set(&[Act::Events(1, 3, 1)]);
    router.until("served", || {
        send(&router, "stream", "work", 9).is_some_and(|it| it.status == 200 && it.whole)
    });
    assert!(!router.has_logged("upstream crashed under requests"));
}

#[test]
fn work_that_was_answered_in_full_is_not_held_back_for_long() {
    let engines = engines(20);
    let set_fatal = |body| engines.iter().for_each(|it| it.set_fatal(body));
    let first = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    let second = Router::join(&first.store, "front-2");
    set_fatal("nothing");
    let served = send(&first, "stream", FATAL, 1).expect("an answer");
    assert_eq!((served.status, served.whole), (200, true), "{served:?}");
    set_fatal(FATAL);
    for number in 2..5 {
        send(&second, "stream", FATAL, number);
    }
    assert_eq!(arrived(&engines), 4);
    set_fatal("nothing");
    // The first router knows that it was not why they ended, also one that starts later.
    first.until("cleared", || first.has_logged("work is cleared"));
    let third = Router::join(&first.store, "front-3");
    for (router, number) in [(&second, 6), (&third, 7)] {
        router.until("served", || {
            send(router, "stream", FATAL, number).is_some_and(|it| it.status == 200 && it.whole)
        });
    }
}
