//! The path of a request to an upstream and of the answer back.

use crate::router::{HOST, Router, configuration, headers, unused_host};
use crate::standin::{Action, Upstream};

/// Formats headers as lines.
fn lines(headers: &[(&str, &str)]) -> String {
    headers.iter().map(|(name, value)| [name, ": ", value, "\r\n"].concat()).collect()
}

fn plain_upstream() -> Upstream {
    Upstream::start(&unused_host(), "i-plain", "plain")
}

#[test]
fn forwards_a_request_without_hop_and_credential_headers() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let further = [("X-Own", "a, b"), ("Accept", "*/*"), ("Tenant", "forged"), ("Hold", "h")];
    let answer =
        router.request("POST /unsafe/a%2Fb/../c?x=%20&y", &further, "body \u{e9}").unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "whole"));
    assert_eq!(answer.headers["server-seal"], "proof.id-1");
    assert_eq!(answer.headers["attempt-identifier"], "id-1");
    let request = &upstream.requests()[0];
    assert_eq!(request.method, "POST");
    assert_eq!(request.target, "/unsafe/a%2Fb/../c?x=%20&y");
    assert_eq!(request.body, "body \u{e9}".as_bytes());
    assert_eq!(request.header("host"), Some(HOST));
    assert_eq!(request.header("x-own"), Some("a, b"));
    assert_eq!(request.header("attempt-identifier"), Some("id-1"));
    assert_eq!(request.header("tenant"), Some("workspace-one"));
    assert_eq!(request.header("expected-instance"), Some("i-plain"));
    assert_eq!(request.header("authorization"), None);
    assert_eq!(request.header("hold"), None);
    assert_eq!(request.header("accept-encoding"), None);
    let remaining: u64 = request.header("deadline-remaining").unwrap().parse().unwrap();
    assert!((1..=4_000).contains(&remaining), "{remaining}");
}

#[test]
fn caps_the_deadline_at_the_route_timeout() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.request("GET /safe/x", &[("Deadline-Remaining", "90000")], "").unwrap();
    let remaining = upstream.requests()[0].header("deadline-remaining").map(str::to_owned);
    assert!(remaining.unwrap().parse::<u64>().unwrap() <= 5_000);
}

#[test]
fn distinguishes_unknown_routes_from_unknown_keys() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let status =
        |line: &str, further: &[(&str, &str)]| router.request(line, further, "").unwrap().status;
    assert_eq!(status("GET /nothing/x", &[]), 404);
    assert_eq!(status("GET /safe", &[]), 404);
    assert_eq!(status("GET /safe/x", &[("Authorization", "Bearer wrong")]), 401);
    assert_eq!(status("GET /safe/x", &[("Authorization", "Basic key-one")]), 401);
    assert_eq!(status("GET /safe/x", &[("authorization", "bearer  key-one")]), 200);
    let mut other = headers(&[]);
    other[0] = ("Host", "SITE.example:80");
    assert_eq!(router.caller().request("GET /safe/x", &other, "").unwrap().status, 200);
    assert_eq!(upstream.requests().len(), 2);
}

#[test]
fn refuses_ambiguous_request_framing() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    for framing in [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
        "content-length: +5\r\n",
    ] {
        let mut caller = router.caller();
        let defaults = lines(&headers(&[]));
        caller.send_raw(&format!(
            "POST /unsafe/x HTTP/1.1\r\n{defaults}{framing}\r\n0\r\n\r\nGET /safe/"
        ));
        let status = caller.read_answer().map(|answer| answer.status);
        assert!(matches!(status, None | Some(400)), "{framing}: {status:?}");
    }
    assert!(upstream.requests().is_empty());
}

#[test]
fn forwards_a_chunked_body_completely() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    let defaults = lines(&headers(&[]));
    caller.send_raw(&format!(
        "POST /unsafe/x HTTP/1.1\r\n{defaults}transfer-encoding: chunked\r\n\r\n"
    ));
    caller.send_raw("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(caller.read_answer().unwrap().status, 200);
    assert_eq!(upstream.requests()[0].body, b"abcde");
    assert_eq!(caller.request("GET /safe/x", &headers(&[]), "").unwrap().status, 200);
}

#[test]
fn passes_on_a_500_after_retrying_only_a_safe_request() {
    let (one, two) = (plain_upstream(), Upstream::start(&unused_host(), "i-other", "plain"));
    one.set_actions(&[Action::Answer(500, "failed")]);
    two.set_actions(&[Action::Answer(500, "failed")]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    let answer = router.request("GET /safe/x", &[], "").unwrap();
    assert_eq!((answer.status, &*answer.body), (500, "failed"));
    assert_eq!(one.requests().len() + two.requests().len(), 2);
    let answer = router.request("POST /unsafe/x", &[], "b").unwrap();
    assert_eq!((answer.status, &*answer.body), (500, "failed"));
    assert_eq!(one.requests().len() + two.requests().len(), 3);
}

#[test]
fn names_the_upstream_that_has_the_prefix_as_copy_source() {
    let engines =
        [1, 2].map(|number| Upstream::start(&unused_host(), &format!("i-{number}"), "engine"));
    for engine in &engines {
        engine.set_actions(&[Action::Events(1, 2, 0)]);
    }
    let router = Router::start(&configuration(1), &[&engines[0], &engines[1]]);
    let mut all_sources = std::collections::BTreeSet::new();
    for chain in 0..16 {
        let prompt = format!("aa:100,{chain:02x}:50,ff{chain}:9");
        let further = [("Model", "m"), ("Prompt-Prefix", &*prompt)];
        assert!(router.request("POST /stream/x", &further, "b").unwrap().whole);
    }
    for engine in &engines {
        let sources: Vec<_> = engine
            .requests()
            .iter()
            .filter_map(|request| request.header("kv-fetch").map(str::to_owned))
            .collect();
        all_sources.extend(sources.iter().cloned());
        assert!(
            !sources.contains(&engine.address.to_string()),
            "the engine is its own copy source"
        );
    }
    assert_eq!(all_sources.len(), 1, "only one engine is a copy source: {all_sources:?}");
}
