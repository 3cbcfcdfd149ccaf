//! Answers of upstreams that never end.

use std::time::{Duration, Instant};

use crate::caller::Answer;
use crate::router::{Router, configuration, headers, plain_pair, unused_host};
use crate::standin::{Action, Endless, Upstream};

/// Requests sent at once to the upstreams whose answers never end.
const CONCURRENT: usize = 12;

/// Requests sent at once where each holds at most the bytes of one event.
const MANY: usize = 96;

/// Deadline of these requests.
const DEADLINE_MS: &str = "2500";

/// The longest time from a request to its end: the deadline, and time for a busy machine.
const MAX_ELAPSED: Duration = Duration::from_secs(10);

/// The most memory that a router may use; its host may have 112 MB.
const MAX_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// Kinds that can't begin an answer.
const HEADS: [Endless; 4] =
    [Endless::Garbage, Endless::StatusLine, Endless::Headers, Endless::Interim];

/// Kinds that begin an answer whose body has no content.
const FRAMINGS: [Endless; 3] = [Endless::ChunkSize, Endless::ChunkExtension, Endless::Trailers];

/// Kinds with a body.
const BODIES: [Endless; 3] = [Endless::Chunks, Endless::Length, Endless::Unframed];

/// Kinds of endless event streams.
const STREAMS: [Endless; 4] =
    [Endless::Comments, Endless::Events, Endless::Numbered, Endless::Duplicates];

/// Sends requests at once to upstreams of `service` that perform `action`, and meanwhile a request
/// to an upstream of another service. Checks time, memory and the upstreams' connections; returns
/// the answers.
fn play(action: &Action, service: &str, line: &str, count: usize) -> Vec<Option<Answer>> {
    let host = unused_host();
    let bad = ["i-1", "i-2"].map(|name| Upstream::start(&host, name, service));
    let other = if service == "plain" { "engine" } else { "plain" };
    let good = Upstream::start(&host, "i-3", other);
    for upstream in &bad {
        upstream.set_actions(std::slice::from_ref(action));
    }
    good.set_actions(&[Action::Answer(200, "id: 1\ndata: whole\n\n")]);
    let router = Router::start(&configuration(1), &[&bad[0], &bad[1], &good]);
    let started = Instant::now();
    let answers = std::thread::scope(|scope| {
        let requests: Vec<_> = (0..count)
            .map(|number| {
                let router = &router;
                scope.spawn(move || {
                    let id = format!("id-{number}");
                    let further =
                        [("Attempt-Identifier", &*id), ("Deadline-Remaining", DEADLINE_MS)];
                    let answer = router.request(line, &further, "b");
                    (answer, started.elapsed())
                })
            })
            .collect();
        std::thread::sleep(Duration::from_secs(1));
        check_other_service(&router, other, action);
        requests.into_iter().map(|request| request.join().expect("an end")).collect::<Vec<_>>()
    });
    for (answer, elapsed) in &answers {
        assert!(*elapsed < MAX_ELAPSED, "{action:?}: {elapsed:?}, {}", describe(answer.as_ref()));
    }
    let requests = || bad.iter().map(|upstream| upstream.requests().len()).sum::<usize>();
    let disconnects = || bad.iter().map(Upstream::disconnects).sum::<usize>();
    router.wait_until("closing the upstreams' connections", || disconnects() == requests());
    if !line.starts_with("GET") && !line.contains("resumed") {
        assert_eq!(requests(), count, "{action:?}: a request ran twice");
    }
    let peak = router.peak_memory();
    assert!(peak < MAX_MEMORY_BYTES, "{action:?}: {} MB used", peak / 1_000_000);
    answers.into_iter().map(|(answer, _)| answer).collect()
}

/// Checks that a request to an upstream of another service is answered.
fn check_other_service(router: &Router, service: &str, action: &Action) {
    let line = if service == "plain" { "GET /safe/x" } else { "POST /stream/x" };
    let answer = router.request(line, &[("Attempt-Identifier", "other")], "b");
    let is_whole = answer.as_ref().is_some_and(|answer| answer.whole && answer.status == 200);
    assert!(is_whole, "{action:?}: {}", describe(answer.as_ref()));
}

/// A description of an answer with the beginning of its body.
fn describe(answer: Option<&Answer>) -> String {
    answer.map_or("no answer".to_owned(), |answer| {
        let begin = answer.body.chars().take(100).collect::<String>();
        let length = answer.body.len();
        format!("{}, {length} bytes, whole: {}, {begin}", answer.status, answer.whole)
    })
}

/// Checks that callers were told of the failure and got no byte of the upstream.
fn check_refused(action: &Action, answers: &[Option<Answer>]) {
    for answer in answers {
        let is_refusal = answer.as_ref().is_some_and(|answer| {
            answer.whole && answer.status >= 500 && answer.body.starts_with('{')
        });
        assert!(is_refusal, "{action:?}: {}", describe(answer.as_ref()));
    }
}

/// Checks that no stream looks complete.
fn check_incomplete(action: &Action, answers: &[Option<Answer>]) {
    for answer in answers {
        let is_incomplete =
            answer.as_ref().is_none_or(|answer| !answer.whole || answer.status >= 500);
        assert!(is_incomplete, "{action:?}: {}", describe(answer.as_ref()));
    }
}

fn check_calls(actions: impl IntoIterator<Item = Action>) {
    for action in actions {
        for line in ["POST /unsafe/x", "GET /safe/x"] {
            check_refused(&action, &play(&action, "plain", line, CONCURRENT));
        }
    }
}

fn check_streams(actions: impl IntoIterator<Item = Action>, count: usize) {
    for action in actions {
        for line in ["POST /stream/x", "POST /resumed/x"] {
            check_incomplete(&action, &play(&action, "engine", line, count));
        }
    }
}

// Guards against heads that are buffered without bound, or read past the deadline.
#[test]
fn endless_heads_are_refused() {
    check_calls(HEADS.map(Action::Endless));
}

#[test]
fn dripping_heads_are_refused() {
    check_calls(HEADS.map(Action::Drip));
}

// Guards against the framing of a body being read past the deadline.
#[test]
fn endless_framing_is_refused() {
    check_calls(FRAMINGS.map(Action::Endless));
}

#[test]
fn dripping_framing_is_refused() {
    check_calls(FRAMINGS.map(Action::Drip));
}

// Guards against bodies that are collected without bound.
#[test]
fn endless_bodies_are_refused() {
    check_calls(BODIES.map(Action::Endless));
}

// Guards against a drip that keeps a request past its deadline.
#[test]
fn dripping_bodies_are_refused() {
    check_calls([Action::Drip(Endless::Length), Action::Drip(Endless::Unframed)]);
}

// Guards against surplus bytes that reach a caller, or a connection that stays open for them.
#[test]
fn bytes_after_an_answer_are_not_forwarded() {
    let action = Action::Endless(Endless::Surplus);
    for answer in play(&action, "plain", "GET /safe/x", CONCURRENT) {
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, &*answer.body, answer.whole), (200, "whole", true));
    }
}

// Guards against streams that are read past the deadline, or that look complete.
#[test]
fn endless_streams_end_at_the_deadline() {
    check_streams(STREAMS.map(Action::Endless), CONCURRENT);
}

#[test]
fn dripping_streams_end_at_the_deadline() {
    check_streams(STREAMS.map(Action::Drip), CONCURRENT);
}

// Guards against events that are buffered without bound.
#[test]
fn endless_events_are_refused() {
    check_streams([Action::Endless(Endless::Event)], CONCURRENT);
}

// Guards against many endless events that leave no time for other requests.
#[test]
fn other_requests_are_served_beside_many_endless_events() {
    check_streams([Action::Endless(Endless::Event)], MANY);
}

// Guards against events that are buffered without bound over all requests.
#[test]
fn many_endless_events_take_little_memory() {
    let host = unused_host();
    let engines = ["i-1", "i-2"].map(|name| Upstream::start(&host, name, "engine"));
    for engine in &engines {
        engine.set_actions(&[Action::Drip(Endless::LongEvent)]);
    }
    let router = Router::start(&configuration(1), &[&engines[0], &engines[1]]);
    std::thread::scope(|scope| {
        for number in 0..MANY {
            let router = &router;
            scope.spawn(move || {
                let id = format!("id-{number}");
                router.request("POST /stream/x", &[("Attempt-Identifier", &*id)], "b")
            });
        }
    });
    let peak = router.peak_memory();
    assert!(peak < MAX_MEMORY_BYTES, "{} MB used", peak / 1_000_000);
}

// Guards against a call whose upstream is read on after its caller has gone.
#[test]
fn a_caller_disconnect_ends_an_endless_answer() {
    for (service, line, part) in [
        ("plain", "GET /safe/x", Endless::Length),
        ("plain", "GET /safe/x", Endless::Interim),
        ("engine", "POST /stream/x", Endless::Numbered),
        ("engine", "POST /stream/x", Endless::Duplicates),
    ] {
        let upstream = Upstream::start(&unused_host(), "i-1", service);
        upstream.set_actions(&[Action::Drip(part)]);
        let mut long_timeout = configuration(1);
        for route in long_timeout["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = 90_000.into();
        }
        let router = Router::start(&long_timeout, &[&upstream]);
        let mut caller = router.caller();
        caller.send(line, &headers(&[("Deadline-Remaining", "90000")]), "b");
        router.wait_until("sent", || !upstream.requests().is_empty());
        std::thread::sleep(Duration::from_millis(300));
        drop(caller);
        router.wait_until("closing the upstream's connection", || upstream.disconnects() == 1);
    }
}

// Guards against a request that lasts as long as its caller does not read.
#[test]
fn an_endless_stream_ends_at_the_deadline_though_the_caller_does_not_read() {
    for part in [Endless::Events, Endless::Numbered] {
        let engine = Upstream::start(&unused_host(), "i-1", "engine");
        engine.set_actions(&[Action::Endless(part)]);
        let router = Router::start(&configuration(1), &[&engine]);
        let mut caller = router.caller();
        caller.send("POST /stream/x", &headers(&[("Deadline-Remaining", "1500")]), "b");
        router.wait_until("closing the upstream's connection", || engine.disconnects() == 1);
        drop(caller);
    }
}

// Guards against long answers of one upstream that leave no memory for those of another.
#[test]
fn long_answers_are_served_beside_endless_ones() {
    let long: &'static str = "y".repeat(1024 * 1024).leak();
    let [bad, good] = plain_pair();
    bad.set_actions(&[Action::Endless(Endless::Length)]);
    good.set_actions(&[Action::Answer(200, long)]);
    let router = Router::start(&configuration(1), &[&bad, &good]);
    let answers: Vec<_> = std::thread::scope(|scope| {
        let send = |number: usize| {
            let router = &router;
            move || {
                let id = format!("id-{number}");
                router.request("GET /safe/x", &[("Attempt-Identifier", &*id)], "b")
            }
        };
        let requests: Vec<_> = (0..CONCURRENT).map(|number| scope.spawn(send(number))).collect();
        requests.into_iter().map(|request| request.join().expect("an end")).collect()
    });
    for answer in answers {
        let answer = answer.expect("an answer");
        let is_long = answer.status == 200 && answer.body == long;
        assert!(is_long || answer.status >= 500, "{}", describe(Some(&answer)));
    }
    assert!(good.requests().len() >= CONCURRENT / 4, "{}", good.requests().len());
}

// Guards against an answer of the store that drips, and so keeps the router from newer ones.
#[test]
fn a_dripping_answer_of_the_store_is_given_up() {
    let router = Router::start(&configuration(1), &[]);
    router.store.set_send_rate(20);
    let mut long = configuration(2);
    long["note"] = "x".repeat(100_000).into();
    router.store.put("op/config", &long);
    std::thread::sleep(Duration::from_secs(4));
    router.store.set_send_rate(0);
    router.wait_until("aware of the new configuration", || {
        router.page("/status").contains(r#""generation":2"#)
    });
}
