//! Drain, reload of settings, and output for operators.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::caller::Caller;
use crate::router::{Router, configuration, headers, unused_host};
use crate::standin::{Action, Upstream};

/// How long a stopping router accepts all requests.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_900);

/// Number of concurrent callers.
const CALLERS: usize = 16;

/// How long answers are observed before a router concludes from them how long the next takes.
const OBSERVED: Duration = Duration::from_millis(3_500);

/// Time after which the platform kills a stopping router, by the settings.
const GRACE: Duration = Duration::from_secs(5);

#[test]
fn a_drain_finishes_requests_in_flight() {
    let upstream = Upstream::start(&unused_host(), "i-1", "engine");
    upstream.set_actions(&[Action::Events(1, 100, 10)]);
    let mut router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    caller.send("POST /stream/x", &headers(&[]), "b");
    router.wait_until("sent", || !upstream.requests().is_empty());
    router.signal(Signal::SIGTERM);
    router.wait_until("not ready", || !router.is_ready());
    // New requests are still served, on connections that are closed after the answer.
    let answer = router.request("POST /stream/x", &[], "b").unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.headers["connection"], "close");
    assert!(caller.read_answer().unwrap().whole);
    assert!(router.wait_for_exit().success());
    assert!(router.has_logged("router stopped"));
}

#[test]
fn reloads_settings_on_sighup_and_refuses_invalid_ones() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let mut router = Router::start(&configuration(1), &[&upstream]);
    router.signal(Signal::SIGHUP);
    router.wait_until("using the new settings", || router.has_logged("settings in force"));
    std::fs::write(router.settings(), "not = [settings").expect("the file is writable");
    router.signal(Signal::SIGHUP);
    router.wait_until("refusing the settings", || router.has_logged("settings refused"));
    assert!(router.is_running());
    assert_eq!(router.request("GET /safe/x", &[], "").unwrap().status, 200);
}

#[test]
fn reports_requests_in_metrics_and_log() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let router = Router::start(&configuration(1), &[&upstream]);
    router.request("GET /safe/x", &[("Attempt-Identifier", "id-7")], "").unwrap();
    router.request("GET /nothing/x", &[("Attempt-Identifier", "id-8")], "").unwrap();
    let metrics = router.page("/metrics");
    assert!(metrics.contains("silverstack_requests"), "{metrics}");
    // Log lines are written by a separate thread after the answer.
    let line = |id: &str| router.log().into_iter().find(|line| line["kv"]["request"] == id);
    router.wait_until("logged", || line("id-8").is_some());
    assert_eq!(line("id-7").unwrap()["kv"]["upstream"], "i-1");
    assert_eq!(line("id-8").unwrap()["kv"]["error"], "not_found");
}

#[test]
fn an_unread_log_pipe_blocks_no_request() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let router = Router::start_with_unread_log(&configuration(1), &[&upstream]);
    // More lines than the 64 KiB of a pipe's buffer.
    let mut caller = router.caller();
    for number in 0..1_000 {
        let id = format!("id-{number}");
        let headers = headers(&[("Attempt-Identifier", &id)]);
        assert_eq!(caller.request("GET /safe/x", &headers, "").expect("an answer").status, 200);
    }
}

/// Sleeps until the notice of a stop that was requested at `since` is over.
fn wait_for_drain(since: Instant) {
    std::thread::sleep((since + DRAIN_NOTICE).saturating_duration_since(Instant::now()));
}

/// Guards against requests that are accepted because earlier ones were short, and are then cut.
#[test]
fn a_request_accepted_during_a_drain_is_not_cut() {
    let engine = Upstream::start(&unused_host(), "i-1", "engine");
    engine.set_actions(&[Action::Events(1, 3, 50)]);
    let mut router = Router::start(&configuration(1), &[&engine]);
    let observed = Instant::now();
    while observed.elapsed() < OBSERVED {
        router.request("POST /stream/x", &[], "b").expect("an answer");
    }
    let mut callers: Vec<_> = (0..5).map(|_| router.caller()).collect();
    // The drain lasts while this request is in flight.
    let mut first = router.caller();
    engine.set_actions(&[Action::Events(1, 40, 100), Action::Events(1, 100, 50)]);
    first.send("POST /stream/x", &headers(&[]), "b");
    router.wait_until("sent", || {
        engine.requests().last().is_some_and(|last| last.received_at > observed + OBSERVED)
    });
    router.signal(Signal::SIGTERM);
    wait_for_drain(Instant::now());
    let send_stream = |caller: &mut Caller| {
        let headers = headers(&[("Deadline-Remaining", "10000")]);
        caller.try_request("POST /stream/x", &headers, "b")
    };
    let seen: Vec<_> = std::thread::scope(|scope| {
        let running: Vec<_> =
            callers.iter_mut().map(|caller| scope.spawn(|| send_stream(caller))).collect();
        running.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    });
    for answer in seen.into_iter().flatten() {
        assert!(answer.whole, "{answer:?}: {:?}", router.log());
    }
    router.wait_for_exit();
}

/// Guards against a process that ends without an answer to a request whose upstream is silent.
#[test]
fn a_request_without_an_answer_gets_one_before_the_grace_time_ends() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    upstream.set_actions(&[Action::Silent(20_000)]);
    let mut router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    let stopped = Instant::now();
    router.signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(2_500));
    let headers = headers(&[("Deadline-Remaining", "10000")]);
    let answer = caller.request("POST /unsafe/x", &headers, "b");
    assert!(stopped.elapsed() < GRACE, "the platform has killed the process");
    let answer = answer.unwrap_or_else(|| panic!("no answer: {:?}", router.log()));
    assert!(answer.whole && matches!(answer.status, 502 | 504), "{answer:?}");
    router.wait_for_exit();
}

/// Guards against answers that are cut because their last bytes wait for the caller.
#[test]
fn a_stop_waits_for_a_caller_that_reads_slowly() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let body: &'static str = Box::leak("x".repeat(7 * 1024 * 1024).into_boxed_str());
    upstream.set_actions(&[Action::Answer(200, body)]);
    let mut router = Router::start(&configuration(1), &[&upstream]);
    router.request("GET /safe/x", &[], "").expect("an answer");
    let mut caller = router.caller();
    let stopped = Instant::now();
    router.signal(Signal::SIGTERM);
    caller.send("GET /safe/x", &headers(&[]), "");
    wait_for_drain(stopped);
    std::thread::sleep(Duration::from_millis(500));
    let answer = caller.read_answer().expect("an answer");
    assert!(stopped.elapsed() < GRACE, "the platform has killed the process");
    assert!(answer.whole, "{} bytes: {:?}", answer.body.len(), router.log());
    router.wait_for_exit();
}

/// Guards against a limit on the last bytes of a closing connection that ends before the stop's.
#[test]
fn a_stop_waits_for_the_last_bytes_of_an_answer() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let mut router = Router::start(&configuration(1), &[&upstream]);
    // Sizes around what the sockets hold, so that a few bytes of some answers wait in the router.
    let sizes = (0..28).map(|step| (3_800 + 8 * step) * 1024);
    let mut callers: Vec<_> = sizes
        .map(|size: usize| {
            let body: &'static str = Box::leak("x".repeat(size).into_boxed_str());
            upstream.set_actions(&[Action::Answer(200, body)]);
            let sent = upstream.requests().len();
            let mut caller = router.caller();
            caller.send("GET /safe/x", &headers(&[]), "");
            router.wait_until("sent", || upstream.requests().len() > sent);
            caller
        })
        .collect();
    router.signal(Signal::SIGTERM);
    std::thread::sleep(DRAIN_NOTICE + Duration::from_millis(1_400));
    for caller in &mut callers {
        let answer = caller.read_answer().expect("an answer");
        assert!(answer.whole, "{} bytes: {:?}", answer.body.len(), router.log().len());
    }
    router.wait_for_exit();
}

/// Guards against connections that are accepted and never read in the last moments of a stop.
#[test]
fn a_caller_that_can_connect_during_a_stop_gets_an_answer() {
    let engine = Upstream::start(&unused_host(), "i-1", "engine");
    engine.set_actions(&[Action::Events(1, 16, 50)]);
    let mut router = Router::start(&configuration(1), &[&engine]);
    let address = router.caller_address();
    router.signal(Signal::SIGTERM);
    let is_over = AtomicBool::new(false);
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|_| scope.spawn(|| connect_until(&address, &is_over))).collect();
        router.wait_for_exit();
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    });
    let answered: usize = outcomes.iter().map(|outcome| outcome.answered).sum();
    let unanswered: usize = outcomes.iter().map(|outcome| outcome.unanswered).sum();
    assert!(answered > 0, "no answers");
    assert_eq!(unanswered, 0, "{answered} answered: {:?}", router.log().split_off(answered));
}

/// What became of a caller's requests.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    /// Sent on an open connection, without a whole answer.
    unanswered: usize,
}

/// Sends requests on new connections until `is_over`.
fn connect_until(address: &str, is_over: &AtomicBool) -> Outcome {
    let mut outcome = Outcome::default();
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut caller) = Caller::try_connect(address, Duration::from_secs(4)) else {
            continue;
        };
        let answer = caller.try_request("POST /stream/x", &headers(&[]), "b");
        if answer.is_some_and(|answer| answer.whole) {
            outcome.answered += 1;
        } else {
            outcome.unanswered += 1;
        }
    }
    outcome
}
