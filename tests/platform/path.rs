//! What reaches an upstream, and what comes back.

use crate::router::{HOST, Router, configuration, headers, own_host};
use crate::standin::{Act, Upstream};

/// Headers as lines of text.
fn lines(headers: &[(&str, &str)]) -> String {
    headers.iter().map(|(name, value)| [name, ": ", value, "\r\n"].concat()).collect()
}

fn plain() -> Upstream {
    Upstream::start(&own_host(), "i-plain", "plain")
}

#[test]
fn a_request_reaches_its_upstream_unchanged() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    let further = [("X-Own", "a, b"), ("Accept", "*/*"), ("Tenant", "forged"), ("Hold", "h")];
    let answer = router.ask("POST /unsafe/a%2Fb/../c?x=%20&y", &further, "body \u{e9}").unwrap();
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
fn an_upstream_gets_no_more_time_than_the_route_allows() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.ask("GET /safe/x", &[("Deadline-Remaining", "90000")], "").unwrap();
    let remaining = upstream.requests()[0].header("deadline-remaining").map(str::to_owned);
    assert!(remaining.unwrap().parse::<u64>().unwrap() <= 5_000);
}

#[test]
fn what_the_configuration_does_not_know_is_told_apart() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    let status =
        |line: &str, further: &[(&str, &str)]| router.ask(line, further, "").unwrap().status;
    assert_eq!(status("GET /nothing/x", &[]), 404);
    assert_eq!(status("GET /safe", &[]), 404);
    assert_eq!(status("GET /safe/x", &[("Authorization", "Bearer wrong")]), 401);
    assert_eq!(status("GET /safe/x", &[("Authorization", "Basic key-one")]), 401);
    assert_eq!(status("GET /safe/x", &[("authorization", "bearer  key-one")]), 200);
    let mut other = headers(&[]);
    other[0] = ("Host", "SITE.example:80");
    assert_eq!(router.caller().ask("GET /safe/x", &other, "").unwrap().status, 200);
    assert_eq!(upstream.requests().len(), 2);
}

#[test]
fn a_request_that_could_be_read_two_ways_is_refused() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    for framing in [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
        "content-length: +5\r\n",
    ] {
        let mut caller = router.caller();
        let usual = lines(&headers(&[]));
        caller.send(&format!("POST /unsafe/x HTTP/1.1\r\n{usual}{framing}\r\n0\r\n\r\nGET /safe/"));
        let status = caller.answer().map(|it| it.status);
        assert!(matches!(status, None | Some(400)), "{framing}: {status:?}");
    }
    assert!(upstream.requests().is_empty());
}

#[test]
fn a_chunked_body_arrives_whole() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    let usual = lines(&headers(&[]));
    caller.send(&format!("POST /unsafe/x HTTP/1.1\r\n{usual}transfer-encoding: chunked\r\n\r\n"));
    caller.send("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(caller.answer().unwrap().status, 200);
    assert_eq!(upstream.requests()[0].body, b"abcde");
    assert_eq!(caller.ask("GET /safe/x", &headers(&[]), "").unwrap().status, 200);
}

#[test]
fn a_failure_of_the_upstream_is_passed_on_and_a_safe_request_is_sent_once_more() {
    let (one, two) = (plain(), Upstream::start(&own_host(), "i-other", "plain"));
    one.set(&[Act::Answer(500, "failed")]);
    two.set(&[Act::Answer(500, "failed")]);
    let router = Router::start(&configuration(1), &[&one, &two]);
    let answer = router.ask("GET /safe/x", &[], "").unwrap();
    assert_eq!((answer.status, &*answer.body), (500, "failed"));
    assert_eq!(one.requests().len() + two.requests().len(), 2);
    let answer = router.ask("POST /unsafe/x", &[], "b").unwrap();
    assert_eq!((answer.status, &*answer.body), (500, "failed"));
    assert_eq!(one.requests().len() + two.requests().len(), 3);
}

#[test]
fn the_upstream_that_has_read_a_part_of_the_prompt_is_named_to_another() {
    let engines = [1, 2].map(|it| Upstream::start(&own_host(), &format!("i-{it}"), "engine"));
    for engine in &engines {
        engine.set(&[Act::Events(1, 2, 0)]);
    }
    let router = Router::start(&configuration(1), &[&engines[0], &engines[1]]);
    let mut names = std::collections::BTreeSet::new();
    for chain in 0..16 {
        let prompt = format!("aa:100,{chain:02x}:50,ff{chain}:9");
        let further = [("Model", "m"), ("Prompt-Prefix", &*prompt)];
        assert!(router.ask("POST /stream/x", &further, "b").unwrap().whole);
    }
    for engine in &engines {
        let sources: Vec<_> = engine
            .requests()
            .iter()
            .filter_map(|it| it.header("kv-fetch").map(str::to_owned))
            .collect();
        names.extend(sources.iter().cloned());
        assert!(!sources.contains(&engine.address.to_string()), "copied from itself");
    }
    assert_eq!(names.len(), 1, "only the second engine lacks the first part: {names:?}");
}
