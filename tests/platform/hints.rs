//! Messages between routers: warm prefixes and loads.

use std::net::UdpSocket;
use std::time::Duration;

use wire::{Frame, Load, Reader, Stage, WarmPrefixes};

use crate::router::{Router, configuration, headers, unused_host};
use crate::standin::{Action, Upstream};

/// Read timeout of the stand-in of a router.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Receives the next frame at a router's stand-in.
fn receive_frame(socket: &UdpSocket) -> Frame {
    let mut datagram = [0; 1_500];
    let length = socket.recv(&mut datagram).expect("a datagram");
    let mut reader = Reader::default();
    reader.push(&datagram[..length]);
    reader.next_frame().expect("a frame").expect("a whole frame")
}

/// Receives the next hint at a router's stand-in, skipping loads.
fn receive_hint(socket: &UdpSocket) -> WarmPrefixes {
    loop {
        match receive_frame(socket) {
            Frame::WarmPrefixes(warm) => return warm,
            Frame::Loads(_) => {}
            other => panic!("not a hint: {other:?}"),
        }
    }
}

/// Starts a stand-in of another router and waits until `router` knows it.
fn start_peer(router: &Router) -> UdpSocket {
    let other = UdpSocket::bind((unused_host(), 0)).expect("a socket");
    other.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("a socket");
    let address = other.local_addr().expect("an address").to_string();
    router.store.put_text("silverstack/routers/front-2", &address);
    router.wait_until("aware of the other router", || {
        router.has_logged("another router announced itself")
    });
    other
}

#[test]
fn sends_and_accepts_hints_of_warm_prefixes() {
    let engine = Upstream::start(&unused_host(), "i-1", "engine");
    engine.set_actions(&[Action::Events(1, 2, 1)]);
    let router = Router::start(&configuration(1), &[&engine]);
    let other = start_peer(&router);
    let send =
        |prompt| router.request("POST /stream/x", &[("Prompt-Prefix", prompt)], "b").unwrap();
    assert!(send("aa:9,bb:9,cc:1").whole);
    let (prefilling, cached) = (receive_hint(&other), receive_hint(&other));
    assert_eq!((prefilling.stage, cached.stage), (Stage::Prefilling, Stage::Cached));
    assert_eq!((&*cached.upstream, cached.prefixes.len()), ("i-1", 2));
    assert_eq!(prefilling.prefixes, cached.prefixes);

    // Invalid datagrams are ignored; the next hint is accepted.
    let send_datagram =
        |bytes: &[u8]| other.send_to(bytes, router.internal_address()).expect("sent");
    send_datagram(b"");
    send_datagram(&[0xff; 1_400]);
    send_datagram(&wire::encode(&Frame::WarmPrefixes(cached)).expect("a frame"));
    router.wait_until("receiving the hint", || router.has_logged("warm prefixes received"));
    assert!(send("aa:9,bb:9,dd:1").whole);
}

#[test]
fn reports_its_load_while_requests_are_in_flight() {
    let engine = Upstream::start(&unused_host(), "i-1", "engine");
    engine.set_actions(&[Action::Stalled]);
    let router = Router::start(&configuration(1), &[&engine]);
    let other = start_peer(&router);
    let mut caller = router.caller();
    caller.send("POST /stream/x", &headers(&[]), "b");
    let load = Load { upstream: "i-1".into(), requests: 1, waiting: 0 };
    let is_loaded = |frame| match frame {
        Frame::Loads(loads) => loads.upstreams == [load.clone()],
        _ => false,
    };
    let is_empty = |frame| match frame {
        Frame::Loads(loads) => loads.upstreams.is_empty(),
        _ => false,
    };
    while !is_loaded(receive_frame(&other)) {}
    drop(caller);
    while !is_empty(receive_frame(&other)) {}
}

#[test]
fn starts_with_the_saved_prefixes() {
    const SAVED_PREFIXES: &str = "silverstack/parts";
    let engine = Upstream::start(&unused_host(), "i-1", "engine");
    engine.set_actions(&[Action::Events(1, 2, 1)]);
    let logged_tries = |router: &Router| {
        assert!(
            router.request("POST /stream/x", &[("Prompt-Prefix", "aa:9,bb:9,cc:1")], "b").is_some()
        );
        router.wait_until("logged", || router.has_logged("request ended"));
        let is_end = |line: &serde_json::Value| line["payload"] == "request ended";
        let ended = router.log().into_iter().find(is_end).expect("a line");
        ended["kv"]["tries"].as_str().expect("a text").to_owned()
    };
    let first = Router::start(&configuration(1), &[&engine]);
    assert!(logged_tries(&first).contains(",read=18,"));
    first.wait_until("saving its prefixes", || first.store.contains_key(SAVED_PREFIXES));
    let saved = first.store.bytes(SAVED_PREFIXES).expect("bytes");
    drop(first);

    let start = |saved: &[u8]| {
        let router = Router::start_unready(&unused_host(), |store| {
            store.put("op/config", &configuration(1));
            store.put(&engine.key(), &engine.entry("ready", 1));
            store.put_bytes(SAVED_PREFIXES, saved);
        });
        router.wait_until("ready", || router.is_ready());
        router
    };
    assert!(logged_tries(&start(&saved)).contains(",read=0,"));
    // An unreadable value is ignored.
    assert!(logged_tries(&start(b"\x00\x00\x00\x05 no frame")).contains(",read=18,"));
}
