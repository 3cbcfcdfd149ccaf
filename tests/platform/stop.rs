//! Planned stops, new settings, and the pages for operators.

use nix::sys::signal::Signal;

use crate::router::{Router, configuration, headers, own_host};
use crate::standin::{Act, Upstream};

#[test]
fn a_planned_stop_finishes_what_is_in_flight() {
    let upstream = Upstream::start(&own_host(), "i-1", "engine");
    upstream.set(&[Act::Events(1, 100, 10)]);
    let mut router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    caller.request("POST /stream/x", &headers(&[]), "b");
    router.until("sent", || !upstream.requests().is_empty());
    router.signal(Signal::SIGTERM);
    router.until("not ready", || !router.is_ready());
    // Callers that don't know yet are still served, and asked to leave.
    let answer = router.ask("POST /stream/x", &[], "b").unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.headers["connection"], "close");
    assert!(caller.answer().unwrap().whole);
    assert!(router.ended().success());
    assert!(router.has_logged("router stopped"));
}

#[test]
fn new_settings_are_taken_while_it_runs_and_wrong_ones_are_refused() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    let mut router = Router::start(&configuration(1), &[&upstream]);
    router.signal(Signal::SIGHUP);
    router.until("taken", || router.has_logged("settings in force"));
    std::fs::write(router.settings(), "not = [settings").expect("the test can write");
    router.signal(Signal::SIGHUP);
    router.until("refused", || router.has_logged("settings refused"));
    assert!(router.runs());
    assert_eq!(router.ask("GET /safe/x", &[], "").unwrap().status, 200);
}

#[test]
fn operators_see_counts_and_decisions() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    let router = Router::start(&configuration(1), &[&upstream]);
    router.ask("GET /safe/x", &[("Attempt-Identifier", "id-7")], "").unwrap();
    router.ask("GET /nothing/x", &[("Attempt-Identifier", "id-8")], "").unwrap();
    let metrics = router.page("/metrics");
    assert!(metrics.contains("silverstack_requests"), "{metrics}");
    // Lines are written by a thread of their own, soon after the answer.
    let line = |id: &str| router.log().into_iter().find(|line| line["kv"]["request"] == id);
    router.until("logged", || line("id-8").is_some());
    assert_eq!(line("id-7").unwrap()["kv"]["upstream"], "i-1");
    assert_eq!(line("id-8").unwrap()["kv"]["error"], "not_found");
}

#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    let router = Router::start_unread(&configuration(1), &[&upstream]);
    // A pipe holds 64 KiB, about 150 lines.
    let mut caller = router.caller();
    for number in 0..1_000 {
        let id = format!("id-{number}");
        let headers = headers(&[("Attempt-Identifier", &id)]);
        assert_eq!(caller.ask("GET /safe/x", &headers, "").expect("an answer").status, 200);
    }
}
