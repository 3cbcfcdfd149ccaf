//! Retries and refusals for each kind of upstream failure.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use nix::sys::socket::{
    AddressFamily, Backlog, SockFlag, SockType, SockaddrIn, bind, listen, socket,
};

use crate::router::{Router, configuration, headers, plain_pair, unused_host};
use crate::standin::{Action, Upstream};

/// Sends one unsafe and one safe request, each to a router whose two upstreams perform `action`;
/// returns the status and the number of requests received by the upstreams for each.
fn send_with_failing_upstreams(action: &Action) -> [(Option<u16>, usize); 2] {
    ["POST /unsafe/x", "GET /safe/x"].map(|line| {
        let upstreams = plain_pair();
        for upstream in &upstreams {
            upstream.set_actions(std::slice::from_ref(action));
        }
        let router = Router::start(&configuration(1), &[&upstreams[0], &upstreams[1]]);
        let body = if line.starts_with("POST") { "b" } else { "" };
        let answer = router.request(line, &[("Deadline-Remaining", "1500")], body);
        if let Some(answer) = &answer {
            assert!(answer.status >= 500, "{action:?}: {answer:?}");
            let is_unexecuted = answer.status == 503;
            assert_eq!(
                is_unexecuted,
                matches!(action, Action::NotRun | Action::Misdirected),
                "{answer:?}"
            );
        }
        let received = upstreams.iter().map(|upstream| upstream.requests().len()).sum();
        (answer.map(|answer| answer.status), received)
    })
}

#[test]
fn retries_a_possibly_executed_request_only_if_it_is_safe() {
    for action in
        [Action::Close, Action::Crossed, Action::Unsigned, Action::Truncated, Action::Reset("part")]
    {
        let [(unsafe_status, unsafe_sent), (safe_status, safe_sent)] =
            send_with_failing_upstreams(&action);
        assert_eq!((unsafe_status, unsafe_sent), (Some(502), 1), "{action:?}");
        assert_eq!((safe_status, safe_sent), (Some(502), 2), "{action:?}");
    }
}

#[test]
fn does_not_repeat_an_unsafe_request_of_a_route_with_stream_resumption() {
    let upstreams = plain_pair();
    for upstream in &upstreams {
        upstream.set_actions(&[Action::Close]);
    }
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["streamResumption"] = true.into();
    }
    let router = Router::start(&configuration, &[&upstreams[0], &upstreams[1]]);
    let sent = || upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>();
    let answer = router.request("POST /unsafe/x", &[], "b").expect("an answer");
    assert_eq!((answer.status, sent()), (502, 1));
    let answer = router.request("GET /safe/x", &[], "").expect("an answer");
    assert_eq!((answer.status, sent()), (502, 3));
}

#[test]
fn an_answer_without_a_length_is_complete_when_the_connection_closes_cleanly() {
    for line in ["POST /unsafe/x", "GET /safe/x"] {
        let upstream = Upstream::start(&unused_host(), "i-1", "plain");
        upstream.set_actions(&[Action::Unframed("whole")]);
        let router = Router::start(&configuration(1), &[&upstream]);
        let body = if line.starts_with("POST") { "b" } else { "" };
        for number in 0..3 {
            let id = format!("id-{number}");
            let answer = router.request(line, &[("Attempt-Identifier", &id)], body).unwrap();
            assert_eq!((answer.status, &*answer.body, answer.whole), (200, "whole", true));
            assert_eq!(answer.headers["attempt-identifier"], id);
        }
        assert_eq!(upstream.requests().len(), 3);
    }
}

/// Guards against passing on an answer that breaks off in its head as a whole one, with a length, in
/// chunks or with neither, to plain calls and as a stream.
#[test]
fn an_answer_that_breaks_off_in_its_head_is_no_answer() {
    const RESTS: [&str; 3] = [
        "content-length: 5\r\n\r\nwhole",
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "connection: close\r\n\r\nwhole",
    ];
    let host = unused_host();
    let plain = Upstream::start(&host, "i-1", "plain");
    let engine = Upstream::start(&host, "i-2", "engine");
    let router = Router::start(&configuration(1), &[&plain, &engine]);
    let send = |line: &str| router.request(line, &[("Deadline-Remaining", "1500")], "b");
    for (line, upstream, sound) in [
        ("POST /unsafe/x", &plain, Action::Answer(200, "whole")),
        ("POST /stream/x", &engine, Action::Events(1, 2, 1)),
        ("POST /resumed/x", &engine, Action::Events(1, 2, 1)),
    ] {
        for (rest, missing) in RESTS.iter().flat_map(|rest| [1, 2, 20, 60].map(|cut| (*rest, cut)))
        {
            upstream.set_actions(&[Action::CutHead(rest, missing)]);
            let before = upstream.requests().len();
            let answer = send(line);
            assert!(upstream.requests().len() > before, "{line}: the upstream is not asked");
            let status = answer.map(|answer| answer.status);
            assert!(status.is_none_or(|status| status >= 500), "{line}, {rest:?}: {status:?}");
            // The upstream is used again after a whole answer.
            upstream.set_actions(std::slice::from_ref(&sound));
            router.wait_until("serving again", || {
                send(line).is_some_and(|answer| answer.status == 200 && answer.whole)
            });
        }
    }
}

#[test]
fn retries_an_unexecuted_request_at_another_upstream_and_then_refuses() {
    for action in [Action::NotRun, Action::Misdirected] {
        for (status, sent) in send_with_failing_upstreams(&action) {
            assert_eq!((status, sent), (Some(503), 2), "{action:?}");
        }
    }
}

#[test]
fn answers_504_after_the_deadline() {
    for (status, _) in send_with_failing_upstreams(&Action::Silent(6_000)) {
        assert_eq!(status, Some(504));
    }
}

#[test]
fn suspends_a_silent_upstream_and_retries_safe_requests_elsewhere() {
    let [silent, responsive] = plain_pair();
    silent.set_actions(&[Action::Silent(30_000)]);
    let router = Router::start(&configuration(1), &[&silent, &responsive]);
    for number in 0..12 {
        let id = format!("id-{number}");
        let answer = router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "").unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "whole"));
    }
    assert!(router.has_logged("upstream left alone"));
}

#[test]
fn discards_a_second_answer_to_one_request() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    upstream.set_actions(&[Action::Extra]);
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    for number in 0..20 {
        let id = format!("id-{number}");
        let headers = headers(&[("Attempt-Identifier", &id)]);
        let answer = caller.request("GET /safe/x", &headers, "").unwrap();
        if answer.status == 200 {
            assert_eq!((&*answer.body, &*answer.headers["attempt-identifier"]), ("whole", &*id));
        }
    }
}

#[test]
fn sends_requests_elsewhere_when_an_upstream_accepts_no_connection() {
    let [unreachable, reachable] = plain_pair();
    let router = Router::start(&configuration(1), &[&unreachable, &reachable]);
    // A listener with a full queue accepts no connection, like a partitioned host.
    let (address, _queue, _listener) = full_listener();
    let mut entry = unreachable.entry("ready", 2);
    entry["address"] = address.to_string().into();
    router.store.put(&unreachable.key(), &entry);
    let changes =
        || router.log().iter().filter(|line| line["payload"] == "upstreams changed").count();
    router.wait_until("aware of the new address", || changes() == 2);
    for number in 0..6 {
        let id = format!("id-{number}");
        let answer = router.request("POST /unsafe/x", &[("Attempt-Identifier", &id)], "b").unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(reachable.requests().len(), 6);
}

/// Opens a listener and connections that fill its queue.
fn full_listener() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
    let listener = shortest_queue_listener();
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let queue = std::iter::from_fn(|| connect().ok()).take(64).collect();
    (address, queue, listener)
}

/// Opens a listener with the shortest queue.
fn shortest_queue_listener() -> TcpListener {
    let socket =
        socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).expect("a socket");
    let host: Ipv4Addr = unused_host().parse().expect("an address");
    let address = SockaddrIn::from(SocketAddrV4::new(host, 0));
    bind(socket.as_raw_fd(), &address).expect("an address");
    listen(&socket, Backlog::new(1).expect("a length")).expect("a listener");
    TcpListener::from(socket)
}

#[test]
fn does_not_try_silent_pooled_connections_one_after_the_other() {
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    // Both upstreams have pooled connections.
    for number in 0..20 {
        let id = format!("id-{number}");
        router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "").expect("an answer");
    }
    assert!(!one.requests().is_empty() && !two.requests().is_empty());
    one.silence_connections();
    two.silence_connections();
    assert_eq!(router.request("GET /safe/x", &[], "").unwrap().status, 200);
    // New connections to the upstreams work.
    assert_eq!(router.request("GET /safe/x", &[], "").unwrap().status, 200);
}
