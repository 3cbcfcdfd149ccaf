//! Streams of events: whole, resumed, or visibly broken.

use crate::router::{Router, configuration, headers, own_host};
use crate::standin::{Act, Upstream};

fn engine(name: &str) -> Upstream {
    Upstream::start(&own_host(), name, "engine")
}

/// The numbers of the events in a body.
fn numbers(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn events_arrive_whole_and_in_order() {
    let engine = engine("i-1");
    engine.set(&[Act::Events(1, 5, 5)]);
    let router = Router::start(&configuration(1), &[&engine]);
    let answer = router.ask("POST /stream/x", &[], "b").unwrap();
    assert!(answer.whole);
    assert_eq!(numbers(&answer.body), [1, 2, 3, 4, 5]);
}

#[test]
fn a_stream_that_can_not_be_resumed_breaks_visibly() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    one.set(&[Act::Broken(1, 3)]);
    two.set(&[Act::Broken(1, 3)]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    let answer = router.ask("POST /stream/x", &[], "b").unwrap();
    assert_eq!((answer.status, answer.whole), (200, false));
    assert_eq!(answer.surplus, "", "bytes that are no part of the answer");
    assert_eq!(numbers(&answer.body), [1, 2, 3]);
    assert!(answer.body.ends_with("\n\n"), "a part of an event was passed on");
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

#[test]
fn a_broken_stream_goes_on_at_another_upstream() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    for (this, that) in [(&one, &two), (&two, &one)] {
        this.set(&[Act::Broken(1, 3)]);
        that.set(&[Act::Broken(1, 3)]);
    }
    let router = Router::start(&configuration(1), &[&one, &two]);
    // Whichever is asked second goes on after what was passed on.
    let second = |upstream: &Upstream| upstream.set(&[Act::Broken(1, 3), Act::Events(4, 6, 1)]);
    second(&one);
    second(&two);
    let answer = router.ask("POST /resumed/x", &[("Prompt-Prefix", "aa:9,bb:1")], "b").unwrap();
    let requests = [one.requests(), two.requests()].concat();
    assert_eq!(requests.len(), 2);
    let resumed: Vec<_> = requests.iter().filter_map(|it| it.header("last-event-id")).collect();
    assert_eq!(resumed, ["3"]);
    assert_eq!(answer.headers["server-seal"], "proof.id-1");
    assert!(!answer.whole, "the second one broke as well");
    assert_eq!(numbers(&answer.body), [1, 2, 3]);
}

#[test]
fn a_failure_to_go_on_with_a_stream_is_no_part_of_it() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    one.set(&[Act::Broken(1, 3)]);
    two.set(&[Act::Answer(500, "id: 4\ndata: failed\n\n")]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    // Chats differ in which upstream they go to first.
    for chat in 0..12 {
        let prompt = format!("c{chat}:9,bb:1");
        let further = [("Model", "m"), ("Prompt-Prefix", &*prompt)];
        let answer = router.ask("POST /resumed/x", &further, "b").unwrap();
        assert_eq!((answer.status, answer.whole), (200, false));
        assert_eq!(numbers(&answer.body), [1, 2, 3]);
    }
}

#[test]
fn a_resumed_stream_has_each_event_once() {
    let (one, two) = (engine("i-1"), engine("i-2"));
    one.set(&[Act::Broken(1, 3)]);
    two.set(&[Act::Events(2, 6, 1)]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    // Chats differ in which upstream they go to first.
    let mut resumed = 0;
    for chat in 0..12 {
        let prompt = format!("c{chat}:9,bb:1");
        let answer = router
            .ask("POST /resumed/x", &[("Model", "m"), ("Prompt-Prefix", &prompt)], "b")
            .unwrap();
        if numbers(&answer.body) == [1, 2, 3, 4, 5, 6] {
            assert!(answer.whole);
            resumed += 1;
        }
    }
    assert!(resumed > 0, "no chat went to the broken upstream first");
}

#[test]
fn a_caller_that_leaves_is_noticed_though_its_upstream_says_nothing() {
    let engine = engine("i-1");
    engine.set(&[Act::Stalled]);
    // Nothing but the caller's leaving ends the request while the test waits.
    let mut patient = configuration(1);
    patient["routes"][2]["timeoutMs"] = 90_000.into();
    let router = Router::start(&patient, &[&engine]);
    let mut caller = router.caller();
    let patient = [("Deadline-Remaining", "90000")];
    caller.request("POST /stream/x", &headers(&patient), "b");
    router.until("sent", || !engine.requests().is_empty());
    std::thread::sleep(std::time::Duration::from_millis(200));
    drop(caller);
    router.until("left", || engine.left() == 1);
}

#[test]
fn a_caller_that_leaves_ends_the_work_on_its_request() {
    let engine = engine("i-1");
    engine.set(&[Act::Events(1, 400, 5)]);
    let router = Router::start(&configuration(1), &[&engine]);
    let mut caller = router.caller();
    caller.request("POST /stream/x", &headers(&[]), "b");
    router.until("sent", || !engine.requests().is_empty());
    drop(caller);
    router.until("left", || engine.left() == 1);
}
