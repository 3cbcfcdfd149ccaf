//! Connections of many clients at once.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use nix::sys::socket::{setsockopt, sockopt};

use crate::crowd::{self, Crowd, Script};
use crate::router::{Router, configuration, unused_host};
use crate::scene::{self, Limits, head};
use crate::standin::{Action, Upstream};
use crate::usage::Usage;

/// The router's host.
const LIMITS: Limits = Limits { memory_mb: 112, descriptors: 456 };

/// Clients at once, where each holds a descriptor.
const IDLE_CLIENTS: usize = 600;

/// The time after which a body that brings nothing is slow.
const SLOW_AFTER: Duration = Duration::from_millis(2_100);

/// Clients at once, where each sends more than is read.
const CLIENTS: usize = 48;

/// Bytes that such a client sends.
const BYTES: usize = 16 * 1024 * 1024;

/// Requests whose bodies come before a request in progress, and the bytes of such a body.
const LONG_BODIES: usize = 8;
const LONG_BODY: usize = 512 * 1024;

/// Send buffer of a client that fills the receive buffer of its connection, in bytes.
const LARGE_SEND_BUFFER: usize = 4 * 1024 * 1024;

/// Bytes that a client sends at a time.
const PIECE: usize = 64 * 1024;

/// Clients at once that read no answer, and the length of an answer.
const SILENT_CLIENTS: usize = 48;
const LONG_ANSWER: usize = 7 * 1024 * 1024;

/// The longest wait for the beginning of such an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Receive buffer of a client that does not read, in bytes.
const RECEIVE_BUFFER: usize = 4 * 1024;

/// A client that sends `head`, then `part` again and again.
fn endless(head: String, part: &str) -> Script {
    let part = part.repeat(PIECE.div_ceil(part.len()));
    Script { head: head.into_bytes(), part: part.into_bytes(), bytes: BYTES, ..Script::default() }
}

/// A client that sends only `head`.
fn only(head: String) -> Script {
    Script { head: head.into_bytes(), part: vec![b'x'], ..Script::default() }
}

#[test]
fn idle_connections() {
    scene::play(&LIMITS, IDLE_CLIENTS, |_| only(String::new()), PIECE);
}

// Guards against small bodies that stop short and keep their connections in use.
#[test]
fn small_bodies_that_stop_short() {
    let _turn = crowd::turn();
    let router = scene::start(&LIMITS);
    let address: SocketAddr = router.caller_address().parse().expect("an address");
    let usage = Usage::start(router.id(), vec![address]);
    let begin = |number| format!("{}content-length: 9\r\n\r\n12345678", head("unsafe", number));
    let mut crowd =
        Crowd::connect(&router.caller_address(), IDLE_CLIENTS, |number| only(begin(number)));
    crowd.send(PIECE);
    std::thread::sleep(SLOW_AFTER);
    let beside = scene::send(&router, 1);
    drop(crowd);
    scene::check(&LIMITS, &usage.finish());
    assert_eq!(beside, Ok(()));
}

#[test]
fn heads_that_stop_short() {
    let script = |number| only(format!("{}x-long: {}", head("unsafe", number), "x".repeat(12_000)));
    scene::play(&LIMITS, IDLE_CLIENTS, script, PIECE);
}

#[test]
fn idle_connections_of_operators() {
    let script = |_| only(String::new());
    scene::play_at(&LIMITS, IDLE_CLIENTS, script, PIECE, Router::operator_address);
}

#[test]
fn idle_connections_of_other_processes() {
    let script = |_| only(String::new());
    scene::play_at(&LIMITS, IDLE_CLIENTS, script, PIECE, Router::internal_address);
}

#[test]
fn heads_that_never_end() {
    scene::play(&LIMITS, CLIENTS, |number| endless(head("unsafe", number), "x-more: y\r\n"), PIECE);
}

#[test]
fn chunk_extensions_that_never_end() {
    let begin = |number| format!("{}transfer-encoding: chunked\r\n\r\n1;", head("unsafe", number));
    scene::play(&LIMITS, CLIENTS, |number| endless(begin(number), "extension;"), PIECE);
}

#[test]
fn trailers_that_never_end() {
    let begin =
        |number| format!("{}transfer-encoding: chunked\r\n\r\n0\r\n", head("unsafe", number));
    scene::play(&LIMITS, CLIENTS, |number| endless(begin(number), "x-more: y\r\n"), PIECE);
}

// Guards against bytes that arrive behind a request in progress and are kept unread.
#[test]
fn requests_behind_one_in_progress() {
    let refused = format!(
        "POST /unknown HTTP/1.1\r\nhost: x\r\ncontent-length: {LONG_BODY}\r\n\r\n{}",
        "y".repeat(LONG_BODY)
    );
    let one = |number| format!("{}content-length: 1\r\n\r\ny", head("unsafe", number));
    // Bodies that are read fast let the kernel's receive buffers grow.
    let first = |number| refused.repeat(LONG_BODIES) + &one(number);
    let script = |number| Script {
        send_buffer: Some(LARGE_SEND_BUFFER),
        ..endless(first(number), &one(number))
    };
    scene::play(&LIMITS, CLIENTS, script, PIECE);
}

#[test]
fn bodies_that_operators_are_sent() {
    let begin = |_| format!("GET /v1/ready HTTP/1.1\r\nhost: x\r\ncontent-length: {BYTES}\r\n\r\n");
    let script = |number| endless(begin(number), "x");
    scene::play_at(&LIMITS, CLIENTS, script, PIECE, Router::operator_address);
}

/// The beginning of an HTTP/2 connection, with empty settings.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// The types of HTTP/2 frames with headers.
const HEADERS: u8 = 1;
const CONTINUATION: u8 = 9;

/// An HTTP/2 frame on stream 1, without flags.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a frame").to_be_bytes();
    [&length[1..], &[kind, 0, 0, 0, 0, 1], payload].concat()
}

/// A client of a process's own port whose headers never end.
pub fn continued_headers(bytes: usize) -> Script {
    // A literal field that is not indexed: a name of one byte, a value of 127 + 15_873 bytes.
    let field = [&[0, 1, b'x', 127, 0x81, 0x7c][..], &[b'y'; 16_000]].concat();
    let head = [PREFACE, &frame(HEADERS, &field)].concat();
    Script { head, part: frame(CONTINUATION, &field), bytes, ..Script::default() }
}

// Guards against headers of processes that have not shown the key.
#[test]
fn headers_that_never_end_of_other_processes() {
    let script = |_| continued_headers(BYTES);
    scene::play_at(&LIMITS, CLIENTS, script, PIECE, Router::internal_address);
}

// Guards against answers that are kept for clients that don't read them.
#[test]
fn answers_that_are_not_read() {
    let _turn = crowd::turn();
    let long: &'static str = "y".repeat(LONG_ANSWER).leak();
    let plain = Upstream::start(&unused_host(), "i-1", "plain");
    plain.set_actions(&[Action::Answer(200, long)]);
    let engine = Upstream::start(&unused_host(), "i-2", "engine");
    engine.set_actions(&[Action::Answer(200, "id: 1\ndata: whole\n\n")]);
    let Limits { memory_mb, descriptors } = LIMITS;
    let mut router =
        Router::start_limited(&configuration(1), &[&plain, &engine], memory_mb, descriptors);
    let address: SocketAddr = router.caller_address().parse().expect("an address");
    let usage = Usage::start(router.id(), vec![address]);
    let mut silent = Vec::new();
    for number in 0..SILENT_CLIENTS {
        let mut connection = TcpStream::connect(address).expect("the router listens");
        connection.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a socket");
        setsockopt(&connection, sockopt::RcvBuf, &RECEIVE_BUFFER).expect("a socket");
        let request = format!("{}content-length: 0\r\n\r\n", head("unsafe", number));
        // The router may have closed it.
        let _ = connection.write_all(request.as_bytes());
        // Waits until the answer begins to arrive, and leaves it unread.
        let _ = connection.peek(&mut [0]);
        silent.push(connection);
    }
    let beside = scene::send(&router, 1);
    drop(silent);
    let peak = usage.finish();
    assert!(router.is_running(), "the router has ended");
    scene::check(&LIMITS, &peak);
    assert_eq!(beside, Ok(()));
}
