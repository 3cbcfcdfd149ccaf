//! Answers of upstreams whose status is none: nothing of them reaches a caller.

use crate::caller::Answer;
use crate::router::{Router, configuration, unused_host};
use crate::standin::{Action, Upstream};

/// Texts that are no status of a final answer.
const STATUSES: [&str; 15] = [
    "000", "001", "099", "100", "101", "102", "199", "600", "999", "1000", "0200", "20", "2x0",
    "abc", "",
];

/// A route of each kind, and the service that serves it.
const LINES: [(&str, &str); 4] = [
    ("GET /safe/x", "plain"),
    ("POST /unsafe/x", "plain"),
    ("POST /stream/x", "engine"),
    ("POST /resumed/x", "engine"),
];

/// Sends a request to an upstream that answers with this status.
fn request(status: &'static str, line: &str, service: &str) -> (Option<Answer>, Option<Answer>) {
    let upstream = Upstream::start(&unused_host(), "i-1", service);
    upstream.set_actions(&[Action::Status(status)]);
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    let headers = [("Attempt-Identifier", "odd"), ("Deadline-Remaining", "1500")];
    let answer = caller.request(line, &crate::router::headers(&headers), "b");
    upstream.set_actions(&[Action::Answer(200, "id: 1\ndata: whole\n\n")]);
    let next = router.request(line, &[("Attempt-Identifier", "next")], "b");
    (answer, next)
}

/// Whether an answer is the router's own and tells of a failure.
fn is_own(answer: &Answer) -> bool {
    (500..600).contains(&answer.status)
        && answer.whole
        && answer.body.starts_with('{')
        && !answer.headers.contains_key("server-seal")
}

#[test]
fn an_odd_status_never_reaches_a_caller() {
    let mut passed_on = Vec::new();
    for (line, service) in LINES {
        for status in STATUSES {
            let (answer, next) = request(status, line, service);
            let is_right = answer.as_ref().is_some_and(is_own)
                && next.as_ref().is_some_and(|next| next.status == 200);
            if !is_right {
                passed_on.push((line, status, answer.map(|answer| answer.status)));
            }
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:?}");
}
