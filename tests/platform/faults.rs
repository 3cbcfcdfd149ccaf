//! Upstreams that fail in all the ways the platform's pages name.

use crate::router::{Router, configuration, own_host};
use crate::standin::{Act, Upstream};

fn pair() -> [Upstream; 2] {
    ["i-1", "i-2"].map(|name| Upstream::start(&own_host(), name, "plain"))
}

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
    for act in [Act::Close, Act::Crossed, Act::Unsigned, Act::Short, Act::Unframed("part")] {
        let [(unsafe_status, unsafe_sent), (safe_status, safe_sent)] = after(&act);
        assert_eq!((unsafe_status, unsafe_sent), (Some(502), 1), "{act:?}");
        assert_eq!((safe_status, safe_sent), (Some(502), 2), "{act:?}");
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
fn a_surplus_answer_is_nobodys() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    upstream.set(&[Act::Extra]);
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut caller = router.caller();
    for number in 0..20 {
        let id = format!("id-{number}");
        let headers = crate::router::headers(&[("Attempt-Identifier", &id)]);
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
    let full = full_listener();
    let mut entry = gone.entry("ready", 2);
    entry["address"] = full.0.to_string().into();
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
fn full_listener() -> (std::net::SocketAddr, Vec<std::net::TcpStream>, std::net::TcpListener) {
    use std::net::TcpStream;
    use std::time::Duration;
    let listener = nix_listener();
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let queue = std::iter::from_fn(|| connect().ok()).take(64).collect();
    (address, queue, listener)
}

/// A listener with the shortest queue.
fn nix_listener() -> std::net::TcpListener {
    use nix::sys::socket::{
        AddressFamily, Backlog, SockFlag, SockType, SockaddrIn, bind, listen, socket,
    };
    let socket =
        socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).expect("a socket");
    let host: std::net::Ipv4Addr = own_host().parse().expect("an address");
    let address = SockaddrIn::from(std::net::SocketAddrV4::new(host, 0));
    bind(std::os::fd::AsRawFd::as_raw_fd(&socket), &address).expect("an address");
    listen(&socket, Backlog::new(1).expect("a length")).expect("a listener");
    std::net::TcpListener::from(socket)
}
