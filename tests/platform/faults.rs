//! Upstreams that fail in all the ways the platform's pages name.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use nix::sys::socket::{
    AddressFamily, Backlog, SockFlag, SockType, SockaddrIn, bind, listen, socket,
};

use crate::router::{Router, configuration, headers, own_host, pair};
use crate::standin::{Act, Upstream};

/// Sends one unsafe and one safe request while both upstreams do `act` first;
/// returns their statuses and how many requests arrived for each.
fn after(act: &Act) -> [(Option<u16>, usize); 2] {
    ["POST /unsafe/x", "GET /safe/x"].map(|line| {
        let upstreams = pair();
        for upstream in &upstreams {
            upstream.set(std::slice::from_ref(act));
        }
        let router = Router::start(&configuration(1), &[&upstreams[0], &upstreams[1]]);
        let body = if line.starts_with("POST") { "b" } else { "" };
        let answer = router.ask(line, &[("Deadline-Remaining", "1500")], body);
        if let Some(answer) = &answer {
            assert!(answer.status >= 500, "{act:?}: {answer:?}");
            let promised = answer.status == 503;
            assert_eq!(promised, matches!(act, Act::NotRun | Act::Misdirected), "{answer:?}");
        }
        let arrived = upstreams.iter().map(|it| it.requests().len()).sum();
        (answer.map(|it| it.status), arrived)
    })
}

#[test]
fn what_may_have_run_is_sent_again_only_if_it_may_be_repeated() {
    for act in [Act::Close, Act::Crossed, Act::Unsigned, Act::Short, Act::Reset("part")] {
        let [(unsafe_status, unsafe_sent), (safe_status, safe_sent)] = after(&act);
        assert_eq!((unsafe_status, unsafe_sent), (Some(502), 1), "{act:?}");
        assert_eq!((safe_status, safe_sent), (Some(502), 2), "{act:?}");
    }
}

#[test]
fn an_answer_without_a_length_is_whole_when_its_connection_ends_in_order() {
    for line in ["POST /unsafe/x", "GET /safe/x"] {
        let upstream = Upstream::start(&own_host(), "i-1", "plain");
        upstream.set(&[Act::Unframed("whole")]);
        let router = Router::start(&configuration(1), &[&upstream]);
        let body = if line.starts_with("POST") { "b" } else { "" };
        for number in 0..3 {
            let id = format!("id-{number}");
            let answer = router.ask(line, &[("Attempt-Identifier", &id)], body).unwrap();
            assert_eq!((answer.status, &*answer.body, answer.whole), (200, "whole", true));
            assert_eq!(answer.headers["attempt-identifier"], id);
        }
        assert_eq!(upstream.requests().len(), 3);
    }
}

#[test]
fn what_has_not_run_is_sent_to_another_upstream_and_then_refused() {
    for act in [Act::NotRun, Act::Misdirected] {
        for (status, sent) in after(&act) {
            assert_eq!((status, sent), (Some(503), 2), "{act:?}");
        }
    }
}

#[test]
fn a_request_that_outlives_its_time_gets_an_answer() {
    for (status, _) in after(&Act::Silent(6_000)) {
        assert_eq!(status, Some(504));
    }
}

#[test]
fn an_upstream_that_says_nothing_is_left_and_what_may_be_repeated_goes_elsewhere() {
    let [silent, answers] = pair();
    silent.set(&[Act::Silent(30_000)]);
    let router = Router::start(&configuration(1), &[&silent, &answers]);
    for number in 0..12 {
        let id = format!("id-{number}");
        let answer = router.ask("GET /safe/x", &[("Attempt-Identifier", &id)], "").unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "whole"));
    }
    assert!(router.has_logged("upstream left alone"));
}

#[test]
fn a_surplus_answer_is_nobodys() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    upstream.set(&[Act::Extra]);
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    for number in 0..20 {
        let id = format!("id-{number}");
        let headers = headers(&[("Attempt-Identifier", &id)]);
        let answer = caller.ask("GET /safe/x", &headers, "").unwrap();
        if answer.status == 200 {
            assert_eq!((&*answer.body, &*answer.headers["attempt-identifier"]), ("whole", &*id));
        }
    }
}

#[test]
fn an_upstream_that_can_not_be_reached_is_left_and_the_request_goes_elsewhere() {
    let [gone, lives] = pair();
    let router = Router::start(&configuration(1), &[&gone, &lives]);
    // A listener whose queue is full takes no connection, like a host behind a
    // cut.
    let (address, _queue, _listener) = full_listener();
    let mut entry = gone.entry("ready", 2);
    entry["address"] = address.to_string().into();
    router.store.put(&gone.key(), &entry);
    let changes = || router.log().iter().filter(|it| it["payload"] == "upstreams changed").count();
    router.until("known", || changes() == 2);
    for number in 0..6 {
        let id = format!("id-{number}");
        let answer = router.ask("POST /unsafe/x", &[("Attempt-Identifier", &id)], "b").unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(lives.requests().len(), 6);
}

/// A listener that accepts nothing, with connections that fill its queue.
fn full_listener() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
    let listener = short_listener();
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let queue = std::iter::from_fn(|| connect().ok()).take(64).collect();
    (address, queue, listener)
}

/// A listener with the shortest queue.
fn short_listener() -> TcpListener {
    let socket =
        socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).expect("a socket");
    let host: Ipv4Addr = own_host().parse().expect("an address");
    let address = SockaddrIn::from(SocketAddrV4::new(host, 0));
    bind(socket.as_raw_fd(), &address).expect("an address");
    listen(&socket, Backlog::new(1).expect("a length")).expect("a listener");
    TcpListener::from(socket)
}

#[test]
fn connections_that_fall_silent_are_not_tried_one_after_the_other() {
    let [one, two] = pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    // Both have connections that are kept.
    for number in 0..20 {
        let id = format!("id-{number}");
        router.ask("GET /safe/x", &[("Attempt-Identifier", &id)], "").expect("an answer");
    }
    assert!(!one.requests().is_empty() && !two.requests().is_empty());
    one.silence_connections();
    two.silence_connections();
    assert_eq!(router.ask("GET /safe/x", &[], "").unwrap().status, 200);
    // The upstreams themselves are sound.
    assert_eq!(router.ask("GET /safe/x", &[], "").unwrap().status, 200);
}
