//! Upstreams that send a backoff or a leaving notice with their answers.
//!
//! Guards against routers that keep sending to an upstream that refuses everything: refused
//! requests are no load, so that the upstream looks idle and ranks first.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::caller::Answer;
use crate::router::{Router, configuration, plain_pair, unused_host};
use crate::standin::{Action, Mode, Upstream};

/// Requests that one router may send to an upstream during a backoff.
const MAX_REQUESTS: usize = 2;

/// The backoff that upstreams send.
const BACKOFF: Duration = Duration::from_millis(1_500);

/// How long an upstream may still be sent requests after its leaving notice, by the routers'
/// settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a request with a new id, on which the first choice of an upstream depends.
fn send(router: &Router, line: &str) -> Answer {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("id-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    router.request(line, &[("Attempt-Identifier", &id)], &id).expect("an answer")
}

/// Sends requests one after the other for `duration`; returns the answers.
fn send_for(router: &Router, line: &str, duration: Duration) -> Vec<Answer> {
    let begun = Instant::now();
    let mut answers = Vec::new();
    while begun.elapsed() < duration {
        answers.push(send(router, line));
        std::thread::sleep(Duration::from_millis(20));
    }
    answers
}

/// The largest number of requests that `upstream` received during one of its backoffs.
fn max_requests_in_backoff(upstream: &Upstream) -> usize {
    let requests = upstream.requests();
    let backoffs = upstream.backoffs();
    let count = |backoff: &crate::standin::Backoff| {
        requests.iter().filter(|request| backoff.is_violated_by(request)).count()
    };
    backoffs.iter().map(count).max().expect("it has sent a backoff")
}

/// Engines that answer with three events.
fn engines(count: usize) -> Vec<Upstream> {
    let host = unused_host();
    let engine = |number| Upstream::start(&host, &format!("i-{number}"), "engine");
    let engines: Vec<_> = (0..count).map(engine).collect();
    for engine in &engines {
        engine.set_actions(&[Action::Events(1, 3, 1)]);
    }
    engines
}

#[test]
fn sends_no_calls_during_an_upstreams_backoff_and_resumes_after_it() {
    let [backing_off, other] = plain_pair();
    let router = Router::start(&configuration(1), &[&backing_off, &other]);
    backing_off.set_backoff(Some(BACKOFF));
    let answers = send_for(&router, "GET /safe/x", BACKOFF * 2);
    assert!(
        max_requests_in_backoff(&backing_off) <= MAX_REQUESTS,
        "{}",
        max_requests_in_backoff(&backing_off)
    );
    assert!(answers.iter().all(|answer| answer.status == 200), "the other upstream has capacity");
    backing_off.set_backoff(None);
    let before = backing_off.requests().len();
    router.wait_until("used again", || {
        send(&router, "GET /safe/x");
        backing_off.requests().len() > before
    });
    assert!(router.has_logged("upstream asked for backoff"));
}

#[test]
fn sends_no_streams_during_an_engines_backoff() {
    let engines = engines(4);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    for engine in &engines[..2] {
        engine.set_backoff(Some(BACKOFF));
    }
    let answers = send_for(&router, "POST /stream/x", BACKOFF * 2);
    for engine in engines[..2].iter().filter(|engine| !engine.backoffs().is_empty()) {
        assert!(
            max_requests_in_backoff(engine) <= MAX_REQUESTS,
            "{}",
            max_requests_in_backoff(engine)
        );
    }
    let refused = answers.iter().filter(|answer| answer.status != 200).count();
    // Each of the two may refuse one request per backoff.
    assert!(refused <= 2 * 2, "{refused} of {} are refused", answers.len());
}

#[test]
fn refuses_at_once_with_retry_after_when_all_upstreams_are_in_backoff() {
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    for upstream in [&one, &two] {
        upstream.set_backoff(Some(BACKOFF));
    }
    let begun = Instant::now();
    router.wait_until("in backoff for both upstreams", || {
        send(&router, "GET /safe/x");
        !one.backoffs().is_empty() && !two.backoffs().is_empty()
    });
    let before = one.requests().len() + two.requests().len();
    let refused = send(&router, "GET /safe/x");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(one.requests().len() + two.requests().len(), before);
    let after: f64 = refused.headers["retry-after"].parse().expect("seconds");
    let left = (BACKOFF.saturating_sub(begun.elapsed())).as_secs_f64();
    assert!(
        after >= left && after <= BACKOFF.as_secs_f64() + 1.0,
        "retry-after of {after} s with {left} s left"
    );
    for upstream in [&one, &two] {
        upstream.set_backoff(None);
    }
    router.wait_until("served again", || send(&router, "GET /safe/x").status == 200);
}

#[test]
fn sends_nothing_after_a_leaving_notice_in_an_answer() {
    let [leaving, remaining] = plain_pair();
    let router = Router::start(&configuration(1), &[&leaving, &remaining]);
    leaving.announce_leaving();
    router.wait_until("sent a leaving notice", || {
        send(&router, "GET /safe/x");
        !leaving.leaving_sent_at().is_empty()
    });
    std::thread::sleep(DRAIN_TIMEOUT);
    let before = leaving.requests().len();
    send_for(&router, "GET /safe/x", Duration::from_secs(1));
    assert_eq!(leaving.requests().len(), before, "while its entry is ready");
    // Its entry expires in an outage of the store and is written again.
    router.store.set_mode(Mode::Busy);
    router
        .wait_until("failing to poll the store", || router.has_logged("the store does not answer"));
    router.store.remove(&leaving.key());
    router.store.set_mode(Mode::Up);
    router.wait_until("without the leaving upstream", || {
        !router.page("/status").contains(r#""i-1""#)
    });
    router.store.put(&leaving.key(), &leaving.entry("ready", 2));
    router.wait_until("listing the upstream again", || router.page("/status").contains(r#""i-1""#));
    send_for(&router, "GET /safe/x", Duration::from_secs(1));
    assert_eq!(leaving.requests().len(), before, "after its entry was written again");
}

#[test]
fn sends_nothing_after_a_leaving_notice_in_a_stream() {
    let engines = engines(2);
    let router = Router::start(&configuration(1), &engines.iter().collect::<Vec<_>>());
    engines[0].announce_leaving();
    router.wait_until("sent a leaving notice", || {
        send(&router, "POST /stream/x");
        !engines[0].leaving_sent_at().is_empty()
    });
    std::thread::sleep(DRAIN_TIMEOUT);
    let before = engines[0].requests().len();
    let answers = send_for(&router, "POST /stream/x", Duration::from_secs(1));
    assert_eq!(engines[0].requests().len(), before);
    assert!(answers.iter().all(|answer| answer.status == 200));
}
