//! What routers tell each other.

use std::net::UdpSocket;
use std::time::Duration;

use wire::{Frame, Load, Reader, Stage, WarmPrefixes};

use crate::router::{Router, configuration, headers, own_host};
use crate::standin::{Act, Upstream};

/// How long a hint may take to come.
const PATIENCE: Duration = Duration::from_secs(10);

/// The next frame that comes to a router's stand-in.
fn frame(socket: &UdpSocket) -> Frame {
    let mut datagram = [0; 1_500];
    let length = socket.recv(&mut datagram).expect("a datagram");
    let mut reader = Reader::default();
    reader.push(&datagram[..length]);
    reader.next_frame().expect("a frame").expect("a whole frame")
}

/// The next hint that comes to a router's stand-in.
fn hint(socket: &UdpSocket) -> WarmPrefixes {
    loop {
        match frame(socket) {
            Frame::WarmPrefixes(warm) => return warm,
            Frame::Loads(_) => {}
            other => panic!("no hint: {other:?}"),
        }
    }
}

/// A stand-in of another router, which `router` has met.
fn other_router(router: &Router) -> UdpSocket {
    let other = UdpSocket::bind((own_host(), 0)).expect("a socket");
    other.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let address = other.local_addr().expect("an address").to_string();
    router.store.put_text("silverstack/routers/front-2", &address);
    router.until("met", || router.has_logged("another router announced itself"));
    other
}

#[test]
fn routers_tell_each_other_where_parts_are_warm() {
    let engine = Upstream::start(&own_host(), "i-1", "engine");
    engine.set(&[Act::Events(1, 2, 1)]);
    let router = Router::start(&configuration(1), &[&engine]);
    let other = other_router(&router);
    let ask = |prompt| router.ask("POST /stream/x", &[("Prompt-Prefix", prompt)], "b").unwrap();
    assert!(ask("aa:9,bb:9,cc:1").whole);
    let (reading, read) = (hint(&other), hint(&other));
    assert_eq!((reading.stage, read.stage), (Stage::Prefilling, Stage::Cached));
    assert_eq!((&*read.upstream, read.prefixes.len()), ("i-1", 2));
    assert_eq!(reading.prefixes, read.prefixes);

    // Bytes that are no hint do no harm; the next hint is taken.
    let tell = |bytes: &[u8]| other.send_to(bytes, router.hints()).expect("sent");
    tell(b"");
    tell(&[0xff; 1_400]);
    tell(&wire::encode(&Frame::WarmPrefixes(read)).expect("a frame"));
    router.until("told", || router.has_logged("warm prefixes received"));
    assert!(ask("aa:9,bb:9,dd:1").whole);
}

#[test]
fn a_router_tells_its_load_while_requests_are_under_way() {
    let engine = Upstream::start(&own_host(), "i-1", "engine");
    engine.set(&[Act::Stalled]);
    let router = Router::start(&configuration(1), &[&engine]);
    let other = other_router(&router);
    let mut caller = router.caller();
    caller.request("POST /stream/x", &headers(&[]), "b");
    let load = Load { upstream: "i-1".into(), requests: 1, waiting: 0 };
    let loaded = |frame| match frame {
        Frame::Loads(loads) => loads.upstreams == [load.clone()],
        _ => false,
    };
    let none = |frame| match frame {
        Frame::Loads(loads) => loads.upstreams.is_empty(),
        _ => false,
    };
    while !loaded(frame(&other)) {}
    drop(caller);
    while !none(frame(&other)) {}
}

#[test]
fn a_router_that_starts_knows_what_was_warm_before() {
    const REMEMBERED: &str = "silverstack/parts";
    let engine = Upstream::start(&own_host(), "i-1", "engine");
    engine.set(&[Act::Events(1, 2, 1)]);
    let ask = |router: &Router| {
        assert!(
            router.ask("POST /stream/x", &[("Prompt-Prefix", "aa:9,bb:9,cc:1")], "b").is_some()
        );
        router.until("logged", || router.has_logged("request ended"));
        let line = |it: &serde_json::Value| it["payload"] == "request ended";
        let ended = router.log().into_iter().find(line).expect("a line");
        ended["kv"]["tries"].as_str().expect("a text").to_owned()
    };
    let first = Router::start(&configuration(1), &[&engine]);
    assert!(ask(&first).contains(",read=18,"));
    first.until("remembered", || first.store.holds(REMEMBERED));
    let remembered = first.store.bytes(REMEMBERED).expect("bytes");
    drop(first);

    let start = |remembered: &[u8]| {
        let router = Router::start_bare(&own_host(), |store| {
            store.put("op/config", &configuration(1));
            store.put(&engine.key(), &engine.entry("ready", 1));
            store.put_bytes(REMEMBERED, remembered);
        });
        router.until("ready", || router.is_ready());
        router
    };
    assert!(ask(&start(&remembered)).contains(",read=0,"));
    // What can't be read is of no use and does no harm.
    assert!(ask(&start(b"\x00\x00\x00\x05 no frame")).contains(",read=18,"));
}
