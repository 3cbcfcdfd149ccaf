//! Upstreams that ask for rest, or say that they leave, with their answers.
//!
//! Three of nine engines turned every request away for eight seconds, and asked each router that
//! they answered to send nothing for 3 s. Routers read that a request had not run, and no more.
//! A request that was refused is no load, so that these engines soon looked idle and were first
//! in line: one router sent eleven further requests to one of them within two seconds, and 42 of
//! 110 requests of a kind that is tried once were refused while six engines had room.
//!
//! What settled it were lines like these of one router, each decided on after the first refusal,
//! each the first try of its request, answered within some milliseconds (nothing was under way,
//! and the router's own retries had little part in it):
//!
//! ```text
//! 6.318 queue_full 1 ms  i-e2e5d6a884@0ms,load=4,queue_full
//! 6.671 queue_full 2 ms  i-e2e5d6a884@0ms,load=2,queue_full
//! 7.528 queue_full 6 ms  i-e2e5d6a884@0ms,load=0,queue_full
//! 7.668 queue_full 8 ms  i-e2e5d6a884@0ms,load=0,queue_full i-c826264e4c@7ms,load=0,queue_full
//! ```

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::caller::Answer;
use crate::router::{Router, configuration, own_host, pair};
use crate::standin::{Act, Mode, Upstream};

/// How many requests of one router an upstream takes in the rest that it asked for.
const MOST: usize = 2;

/// The rest that upstreams ask for here.
const REST: Duration = Duration::from_millis(1_500);

/// How long after the word that it leaves an upstream may still be sent to, as the routers'
/// settings say.
const DRAIN: Duration = Duration::from_millis(400);

/// Sends a request under an id of its own, which decides where calls go first.
fn send(router: &Router, line: &str) -> Answer {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("id-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    router.ask(line, &[("Attempt-Identifier", &id)], &id).expect("an answer")
}

/// Sends requests one after the other for `lasts`; returns the answers.
fn send_for(router: &Router, line: &str, lasts: Duration) -> Vec<Answer> {
    let begun = Instant::now();
    let mut answers = Vec::new();
    while begun.elapsed() < lasts {
        answers.push(send(router, line));
        std::thread::sleep(Duration::from_millis(20));
    }
    answers
}

/// How many requests came at most in one rest that `upstream` had asked for.
fn most_in_a_rest(upstream: &Upstream) -> usize {
    let requests = upstream.requests();
    let rests = upstream.rests();
    let count = |rest: &crate::standin::Rest| {
        requests.iter().filter(|request| rest.is_broken_by(request)).count()
    };
    rests.iter().map(count).max().expect("it has asked for rest")
}

/// Engines that answer with three events.
fn engines(count: usize) -> Vec<Upstream> {
    let host = own_host();
    let engine = |number| Upstream::start(&host, &format!("i-{number}"), "engine");
    let engines: Vec<_> = (0..count).map(engine).collect();
    for engine in &engines {
        engine.set(&[Act::Events(1, 3, 1)]);
    }
    engines
}

#[test]
fn an_upstream_that_asked_for_rest_gets_none_of_the_calls_and_then_its_part() {
    let [resting, other] = pair();
    let router = Router::start(&configuration(1), &[&resting, &other]);
    resting.set_rest(Some(REST));
    let answers = send_for(&router, "GET /safe/x", REST * 2);
    assert!(most_in_a_rest(&resting) <= MOST, "{}", most_in_a_rest(&resting));
    assert!(answers.iter().all(|it| it.status == 200), "others have room");
    resting.set_rest(None);
    let before = resting.requests().len();
    router.until("used again", || {
        send(&router, "GET /safe/x");
        resting.requests().len() > before
    });
    assert!(router.has_logged("upstream asked for backoff"));
}

#[test]
fn an_engine_that_asked_for_rest_gets_none_of_the_streams() {
    let engines = engines(4);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    for engine in &engines[..2] {
        engine.set_rest(Some(REST));
    }
    let answers = send_for(&router, "POST /stream/x", REST * 2);
    for engine in engines[..2].iter().filter(|it| !it.rests().is_empty()) {
        assert!(most_in_a_rest(engine) <= MOST, "{}", most_in_a_rest(engine));
    }
    let refused = answers.iter().filter(|it| it.status != 200).count();
    // Each of the two may turn one request away for each of its rests.
    assert!(refused <= 2 * 2, "{refused} of {} are refused", answers.len());
}

#[test]
fn where_all_rest_requests_are_refused_at_once_and_told_when_to_come_back() {
    let [one, two] = pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    for upstream in [&one, &two] {
        upstream.set_rest(Some(REST));
    }
    let begun = Instant::now();
    router.until("both rest", || {
        send(&router, "GET /safe/x");
        !one.rests().is_empty() && !two.rests().is_empty()
    });
    let before = one.requests().len() + two.requests().len();
    let refused = send(&router, "GET /safe/x");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(one.requests().len() + two.requests().len(), before);
    let after: f64 = refused.headers["retry-after"].parse().expect("seconds");
    let left = (REST.saturating_sub(begun.elapsed())).as_secs_f64();
    assert!(after >= left && after <= REST.as_secs_f64() + 1.0, "told {after} s of {left} s");
    for upstream in [&one, &two] {
        upstream.set_rest(None);
    }
    router.until("served again", || send(&router, "GET /safe/x").status == 200);
}

#[test]
fn an_upstream_that_says_with_an_answer_that_it_leaves_gets_nothing_more() {
    let [leaving, stays] = pair();
    let router = Router::start(&configuration(1), &[&leaving, &stays]);
    leaving.leave();
    router.until("told", || {
        send(&router, "GET /safe/x");
        !leaving.told_leaving().is_empty()
    });
    std::thread::sleep(DRAIN);
    let before = leaving.requests().len();
    send_for(&router, "GET /safe/x", Duration::from_secs(1));
    assert_eq!(leaving.requests().len(), before, "while its entry says that it is ready");
    // Its entry lapses in an outage of the store and comes back.
    router.store.set_mode(Mode::Busy);
    router.until("missed", || router.has_logged("the store does not answer"));
    router.store.remove(&leaving.key());
    router.store.set_mode(Mode::Up);
    router.until("gone", || !router.page("/status").contains(r#""i-1""#));
    router.store.put(&leaving.key(), &leaving.entry("ready", 2));
    router.until("back", || router.page("/status").contains(r#""i-1""#));
    send_for(&router, "GET /safe/x", Duration::from_secs(1));
    assert_eq!(leaving.requests().len(), before, "after its entry has come back");
}

#[test]
fn an_engine_that_says_with_a_stream_that_it_leaves_gets_nothing_more() {
    let engines = engines(2);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    engines[0].leave();
    router.until("told", || {
        send(&router, "POST /stream/x");
        !engines[0].told_leaving().is_empty()
    });
    std::thread::sleep(DRAIN);
    let before = engines[0].requests().len();
    let answers = send_for(&router, "POST /stream/x", Duration::from_secs(1));
    assert_eq!(engines[0].requests().len(), before);
    assert!(answers.iter().all(|it| it.status == 200));
}
