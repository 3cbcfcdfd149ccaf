//! Event streams that are complete, resumed or broken.

use crate::router::{Router, configuration, headers, unused_host};
use crate::standin::{Action, Upstream};

fn engine(name: &str) -> Upstream {
    Upstream::start(&unused_host(), name, "engine")
}

/// The ids of the events in a body.
fn event_ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn forwards_all_events_in_order() {
    let engine = engine("i-1");
    engine.set_actions(&[Action::Events(1, 5, 5)]);
    let router = Router::start(&configuration(1), &[&engine]);
    let answer = router.request("POST /stream/x", &[], "b").unwrap();
    assert!(answer.whole);
    assert_eq!(event_ids(&answer.body), [1, 2, 3, 4, 5]);
}

#[test]
fn a_broken_stream_without_resumption_ends_incomplete() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    one.set_actions(&[Action::Broken(1, 3)]);
    two.set_actions(&[Action::Broken(1, 3)]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    let answer = router.request("POST /stream/x", &[], "b").unwrap();
    assert_eq!((answer.status, answer.whole), (200, false));
    assert_eq!(answer.trailing, "", "bytes after the answer");
    assert_eq!(event_ids(&answer.body), [1, 2, 3]);
    assert!(answer.body.ends_with("\n\n"), "an incomplete event was forwarded");
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

#[test]
fn resumes_a_broken_stream_at_another_upstream() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    for (first, second) in [(&one, &two), (&two, &one)] {
        first.set_actions(&[Action::Broken(1, 3)]);
        second.set_actions(&[Action::Broken(1, 3)]);
    }
    let router = Router::start(&configuration(1), &[&one, &two]);
    // The second attempt continues after the last forwarded event.
    let set_resumable = |upstream: &Upstream| {
        upstream.set_actions(&[Action::Broken(1, 3), Action::Events(4, 6, 1)]);
    };
    set_resumable(&one);
    set_resumable(&two);
    let answer = router.request("POST /resumed/x", &[("Prompt-Prefix", "aa:9,bb:1")], "b").unwrap();
    let requests = [one.requests(), two.requests()].concat();
    assert_eq!(requests.len(), 2);
    let resumed: Vec<_> =
        requests.iter().filter_map(|request| request.header("last-event-id")).collect();
    assert_eq!(resumed, ["3"]);
    assert_eq!(answer.headers["server-seal"], "proof.id-1");
    assert!(!answer.whole, "the second attempt broke as well");
    assert_eq!(event_ids(&answer.body), [1, 2, 3]);
}

#[test]
fn does_not_forward_an_error_answer_to_a_resumption() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    one.set_actions(&[Action::Broken(1, 3)]);
    two.set_actions(&[Action::Answer(500, "id: 4\ndata: failed\n\n")]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    // The first choice of an upstream depends on the prompt.
    for chat in 0..12 {
        let prompt = format!("c{chat}:9,bb:1");
        let further = [("Model", "m"), ("Prompt-Prefix", &*prompt)];
        let answer = router.request("POST /resumed/x", &further, "b").unwrap();
        assert_eq!((answer.status, answer.whole), (200, false));
        assert_eq!(event_ids(&answer.body), [1, 2, 3]);
    }
}

#[test]
fn a_resumed_stream_has_each_event_once() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    one.set_actions(&[Action::Broken(1, 3)]);
    two.set_actions(&[Action::Events(2, 6, 1)]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    // The first choice of an upstream depends on the prompt.
    let mut resumed = 0;
    for chat in 0..12 {
        let prompt = format!("c{chat}:9,bb:1");
        let answer = router
            .request("POST /resumed/x", &[("Model", "m"), ("Prompt-Prefix", &prompt)], "b")
            .unwrap();
        if event_ids(&answer.body) == [1, 2, 3, 4, 5, 6] {
            assert!(answer.whole);
            resumed += 1;
        }
    }
    assert!(resumed > 0, "no chat went to the broken upstream first");
}

#[test]
fn detects_a_caller_disconnect_while_the_upstream_is_silent() {
    let engine = engine("i-1");
    engine.set_actions(&[Action::Stalled]);
    // The timeouts exceed the test's, so that only the disconnect ends the request.
    let mut long_timeout = configuration(1);
    long_timeout["routes"][2]["timeoutMs"] = 90_000.into();
    let router = Router::start(&long_timeout, &[&engine]);
    let mut caller = router.caller();
    let deadline = [("Deadline-Remaining", "90000")];
    caller.send("POST /stream/x", &headers(&deadline), "b");
    router.wait_until("sent", || !engine.requests().is_empty());
    std::thread::sleep(std::time::Duration::from_millis(200));
    drop(caller);
    router.wait_until("closing the upstream's stream", || engine.disconnects() == 1);
}

#[test]
fn a_caller_disconnect_ends_the_upstreams_stream() {
    let engine = engine("i-1");
    engine.set_actions(&[Action::Events(1, 400, 5)]);
    let router = Router::start(&configuration(1), &[&engine]);
    let mut caller = router.caller();
    caller.send("POST /stream/x", &headers(&[]), "b");
    router.wait_until("sent", || !engine.requests().is_empty());
    drop(caller);
    router.wait_until("closing the upstream's stream", || engine.disconnects() == 1);
}

#[test]
fn a_stream_without_a_length_that_ends_inside_an_event_is_broken_off() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    for upstream in [&one, &two] {
        upstream.set_actions(&[Action::Unframed("id: 1\ndata: a\n\nid: 2\nda")]);
    }
    let router = Router::start(&configuration(1), &[&one, &two]);
    let answer = router.request("POST /stream/x", &[], "b").expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, false));
    assert_eq!(event_ids(&answer.body), [1]);
    // Where streams go on, the rest comes from the other upstream.
    two.set_actions(&[Action::Rest(1, 3, 1)]);
    for number in 0..8 {
        let id = format!("id-{number}");
        let headers = [("Attempt-Identifier", &*id)];
        let answer = router.request("POST /resumed/x", &headers, "b").expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(event_ids(&answer.body), [1, 2, 3]);
    }
    assert!(one.requests().iter().any(|request| request.target == "/resumed/x"));
}

#[test]
fn a_stream_without_a_length_is_complete_when_the_connection_closes_after_an_event() {
    let engine = engine("i-1");
    engine.set_actions(&[Action::Unframed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]);
    let router = Router::start(&configuration(1), &[&engine]);
    for path in ["stream", "resumed"] {
        let answer = router.request(&format!("POST /{path}/x"), &[], "b").expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(event_ids(&answer.body), [1, 2]);
    }
}

/// Guards against running a stream to its end and answering 502 because its lines don't end in LF alone.
#[test]
fn a_stream_is_passed_on_whatever_ends_its_lines() {
    for body in [
        "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
        "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
        "id: 1\rdata: x\r\rid: 2\rdata: y\r\r",
        "id: 1\r\ndata: x\n\r\nid: 2\rdata: y\r\n\n",
    ] {
        let engine = Upstream::start(&unused_host(), "i-1", "engine");
        engine.set_actions(&[Action::Answer(200, body)]);
        let router = Router::start(&configuration(1), &[&engine]);
        for path in ["stream", "resumed"] {
            let answer = router.request(&format!("POST /{path}/x"), &[], "b").expect("an answer");
            let passed_on = (answer.status, &*answer.body, answer.whole);
            assert_eq!(passed_on, (200, body, true), "{path}");
        }
        assert_eq!(engine.requests().len(), 2);
    }
}
