//! Clients of routers that use sidecars, and connections to the sidecars' own ports.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use link::Connection;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::socket::{setsockopt, sockopt};
use serde_json::json;
use wire::{Frame, Hello, Open};

use crate::connections::{PREFACE, continued_headers};
use crate::crowd::{self, Crowd, Script};
use crate::fleet::{Fleet, LINK_KEY, Layout, chat};
use crate::router::unused_host;
use crate::scene::{self, Limits};
use crate::standin::{Action, Upstream};
use crate::usage::{self, Usage};

/// What a process may use when its settings name no limit: the default, and the descriptors that
/// the system allows it.
const LIMITS: Limits = Limits { memory_mb: 256, descriptors: 600 };

/// The largest body that a client may send.
const LARGEST_BODY: usize = 1024 * 1024;

/// Clients at once that send such bodies.
const CLIENTS: usize = 320;

/// Clients at once, where each holds a descriptor.
const IDLE_CLIENTS: usize = 800;

/// Clients at once that send without end, and the bytes of each.
const ENDLESS_CLIENTS: usize = 48;
const ENDLESS_BYTES: usize = 16 * 1024 * 1024;

/// The upstream of the slow service.
const SLOW: &str = "pickup-1";

/// Clients at once that read no answer, the length of an answer and their receive buffer in bytes.
const SILENT_CLIENTS: usize = 24;
const LONG_ANSWER: usize = 7 * 1024 * 1024;
const RECEIVE_BUFFER: usize = 4 * 1024;

/// Bytes that a client sends at a time.
const PIECE: usize = 64 * 1024;

/// How long the service works on a request, in milliseconds.
const WORK_MS: u64 = 4_000;

/// For how long unfinished frames are left open.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// A router, an engine and a slow service.
struct Scene {
    fleet: Fleet,
    slow: Upstream,
}

impl std::ops::Deref for Scene {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

async fn start() -> Scene {
    let own = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, LIMITS.descriptors as u64, own.1).expect("a limit");
    let layout = Layout { routers: 0, engines: 1, services: 0, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await;
    let slow = Upstream::start(&unused_host(), "slow", "plain");
    slow.set_actions(&[Action::Delayed(WORK_MS, 200, "whole")]);
    let url = format!("http://{}", slow.address);
    fleet.start_sidecar_for(SLOW, &url, "plain", "domain-1", &json!({ "service": "pickup" }));
    fleet.start_router();
    fleet.wait_until_met().await;
    setrlimit(Resource::RLIMIT_NOFILE, own.0, own.1).expect("a limit");
    Scene { fleet, slow }
}

/// Checks that an ordinary chat is answered.
async fn check_ordinary(fleet: &Fleet) {
    let answer = fleet.chat_caller(0).await.chat(&chat("ordinary", 3, true)).await;
    answer.expect("a complete answer");
}

/// A client's request, whose body of [`LARGEST_BODY`] lacks `missing` bytes.
fn request(number: usize, missing: usize) -> Script {
    let head = format!(
        "POST /v1/services/pickup/x HTTP/1.1\r\nhost: x\r\nx-deadline-ms: 30000\r\n\
         authorization: Bearer courier:courier-laptop-key\r\nidempotency-key: crowd-{number}\r\n\
         content-length: {LARGEST_BODY}\r\n\r\n"
    );
    Script {
        head: head.into_bytes(),
        part: vec![b'x'; PIECE],
        bytes: LARGEST_BODY - missing,
        ..Script::default()
    }
}

/// Plays a crowd at `address` of the process `id`.
async fn play(
    fleet: &Fleet,
    (id, address): (u32, String),
    clients: usize,
    script: impl Fn(usize) -> Script + Send + 'static,
) {
    let usage = Usage::start(id, vec![address.parse().expect("an address")]);
    let sending = move || {
        let mut crowd = Crowd::connect(&address, clients, script);
        crowd.send(PIECE);
        usage::settle(id);
        crowd
    };
    let crowd = tokio::task::spawn_blocking(sending).await.expect("the crowd");
    check_ordinary(fleet).await;
    drop(crowd);
    check_ordinary(fleet).await;
    scene::check(&LIMITS, &usage.finish());
}

fn router(fleet: &Fleet) -> (u32, String) {
    (fleet.routers[0].id(), fleet.routers[0].address("listen"))
}

fn sidecar(fleet: &Fleet, listener: &str) -> (u32, String) {
    let process = &fleet.sidecars["engine-1"];
    (process.id(), process.address(listener))
}

#[ntex::test]
async fn whole_large_bodies() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let service = &fleet.sidecars[SLOW];
    let address = service.address("listen").parse().expect("an address");
    let usage = Usage::start(service.id(), vec![address]);
    play(&fleet, router(&fleet), CLIENTS, |number| request(number, 0)).await;
    scene::check(&LIMITS, &usage.finish());
}

#[ntex::test]
async fn large_bodies_that_stop_short() {
    let _turn = crowd::turn();
    let fleet = start().await;
    play(&fleet, router(&fleet), CLIENTS, |number| request(number, 1)).await;
}

#[ntex::test]
async fn idle_connections_of_clients() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let idle = |_| Script { head: Vec::new(), part: vec![b'x'], ..Script::default() };
    play(&fleet, router(&fleet), IDLE_CLIENTS, idle).await;
}

#[ntex::test]
async fn idle_connections_of_routers() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let idle = |_| Script { head: PREFACE.to_vec(), part: vec![b'x'], ..Script::default() };
    play(&fleet, sidecar(&fleet, "listen"), IDLE_CLIENTS, idle).await;
}

#[ntex::test]
async fn idle_connections_of_operators() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let idle = |_| Script { head: Vec::new(), part: vec![b'x'], ..Script::default() };
    play(&fleet, sidecar(&fleet, "admin"), IDLE_CLIENTS, idle).await;
}

// Guards against headers of processes that have not shown the key.
#[ntex::test]
async fn headers_that_never_end() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let script = |_| continued_headers(ENDLESS_BYTES);
    play(&fleet, sidecar(&fleet, "listen"), ENDLESS_CLIENTS, script).await;
}

/// The frame of a request with a body of [`LARGEST_BODY`].
fn open_frame(number: usize) -> Frame {
    Frame::Open(Open {
        request: format!("crowd-{number}").into(),
        attempt: 1,
        workspace: "courier".into(),
        chat: 0,
        is_home: false,
        priority: 0,
        remaining_ms: 30_000,
        weight: 1,
        incarnation: 0,
        idempotency_key: None,
        generation: 0,
        traceparent: None,
        method: "POST".into(),
        path: "/x".into(),
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; LARGEST_BODY]),
    })
}

fn post() -> http::Request<()> {
    http::Request::post("http://silverstack/link").body(()).expect("a request")
}

/// Sends a greeting and waits until it is answered.
async fn greet(sender: h2::client::SendRequest<Bytes>, hello: Hello) {
    let mut sender = sender.ready().await.expect("a connection");
    let (answer, mut stream) = sender.send_request(post(), false).expect("a stream");
    let greeting = wire::encode(&Frame::Hello(hello)).expect("a frame");
    stream.send_data(greeting, true).expect("an open stream");
    let mut answer = answer.await.expect("an answer").into_body();
    answer.data().await.expect("a welcome").expect("a welcome");
}

/// Opens a stream on an HTTP/2 connection, sends these bytes on it and leaves it open.
async fn send_part(sender: h2::client::SendRequest<Bytes>, mut bytes: Bytes) {
    let Ok(mut sender) = sender.ready().await else { return };
    let Ok((_answer, mut stream)) = sender.send_request(post(), false) else { return };
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(Ok(capacity)) = capacity else { return };
        let part = bytes.split_to(capacity.min(bytes.len()));
        if stream.send_data(part, false).is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Opens `streams` streams to a sidecar, each with a frame that stops short. `hello` is sent first.
async fn send_unfinished(address: &str, hello: Option<Hello>, streams: usize) {
    let socket = tokio::net::TcpStream::connect(address).await.expect("the sidecar listens");
    let (sender, driver) = h2::client::handshake(socket).await.expect("a handshake");
    let _driver = ntex::rt::spawn(async move {
        let _ = driver.await;
    });
    if let Some(hello) = hello {
        greet(sender.clone(), hello).await;
    }
    let frame = wire::encode(&open_frame(0)).expect("a frame");
    let part = frame.slice(..frame.len() - 1);
    let sends = (0..streams).map(|_| send_part(sender.clone(), part.clone()));
    let _ = tokio::time::timeout(OPEN_TIME, join_all(sends)).await;
}

/// Plays unfinished frames on one connection to a sidecar.
async fn play_unfinished(hello: Option<Hello>) {
    let _turn = crowd::turn();
    let fleet = start().await;
    let (id, address) = sidecar(&fleet, "listen");
    let usage = Usage::start(id, vec![address.parse().expect("an address")]);
    send_unfinished(&address, hello, CLIENTS).await;
    check_ordinary(&fleet).await;
    scene::check(&LIMITS, &usage.finish());
}

fn hello() -> Hello {
    Hello { key: LINK_KEY.into(), name: Arc::from("entry-2") }
}

#[ntex::test]
async fn frames_that_stop_short() {
    play_unfinished(Some(hello())).await;
}

// Guards against frames of processes that have not shown the key.
#[ntex::test]
async fn frames_that_stop_short_before_the_greeting() {
    play_unfinished(None).await;
}

#[ntex::test]
async fn whole_frames() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let service = &fleet.sidecars[SLOW];
    let address = service.address("listen");
    let usage = Usage::start(service.id(), vec![address.parse().expect("an address")]);
    let (connection, _) =
        Connection::open(&address, hello(), Duration::from_secs(3)).await.expect("a link");
    let calls = (0..CLIENTS).map(|number| {
        let connection = connection.clone();
        async move { connection.call(&open_frame(number)).await }
    });
    let _ = tokio::time::timeout(OPEN_TIME, join_all(calls)).await;
    check_ordinary(&fleet).await;
    scene::check(&LIMITS, &usage.finish());
}

/// Sends requests whose answers are not read, and waits until their connections have been ended.
fn leave_unread(router: &(u32, String)) {
    let (id, address) = router;
    let before = usage::descriptors(*id);
    let head = "POST /v1/services/pickup/x HTTP/1.1\r\nhost: x\r\nx-deadline-ms: 1500\r\n\
                authorization: Bearer courier:courier-laptop-key\r\ncontent-length: 0\r\n";
    let mut silent = Vec::new();
    for number in 0..SILENT_CLIENTS {
        let mut connection = TcpStream::connect(address).expect("the router listens");
        connection.set_read_timeout(Some(OPEN_TIME)).expect("a socket");
        setsockopt(&connection, sockopt::RcvBuf, &RECEIVE_BUFFER).expect("a socket");
        let request = format!("{head}idempotency-key: silent-{number}\r\n\r\n");
        connection.write_all(request.as_bytes()).expect("the router reads");
        let _ = connection.peek(&mut [0]);
        silent.push(connection);
    }
    usage::wait_until(|| usage::descriptors(*id) <= before);
}

#[ntex::test]
async fn answers_that_are_not_read() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let long: &'static str = "y".repeat(LONG_ANSWER).leak();
    fleet.slow.set_actions(&[Action::Answer(200, long)]);
    let router = router(&fleet);
    let usage = Usage::start(router.0, vec![router.1.parse().expect("an address")]);
    tokio::task::spawn_blocking(move || leave_unread(&router)).await.expect("all are ended");
    check_ordinary(&fleet).await;
    scene::check(&LIMITS, &usage.finish());
}

// Guards against limits that a single client within the pages' limits meets.
#[ntex::test]
async fn the_largest_body_is_served_in_calm() {
    let _turn = crowd::turn();
    let fleet = start().await;
    let caller = fleet.call_caller(0).await;
    let body = json!("x".repeat(LARGEST_BODY - 2)).to_string();
    let answer = caller.call("pickup", "/x", Some("calm"), &body).await;
    answer.expect("a complete answer");
}
