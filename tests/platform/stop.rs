//! Drain, reload of settings, and output for operators.

use nix::sys::signal::Signal;

use crate::router::{Router, configuration, headers, unused_host};
use crate::standin::{Action, Upstream};

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
