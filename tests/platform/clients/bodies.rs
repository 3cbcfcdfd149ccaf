//! Bodies of many clients at once.

use std::fmt::Write;

use crate::crowd::{self, Script};
use crate::scene::{self, Limits, head};

/// The router's host.
const LIMITS: Limits = Limits { memory_mb: 112, descriptors: 4_100 };

/// Clients at once.
const CLIENTS: usize = 48;

/// A larger host of the router, and the clients at once there.
const LARGE_HOST: Limits = Limits { memory_mb: 260, descriptors: 4_100 };
const MANY_CLIENTS: usize = 600;

/// The largest body that a client may send.
const LARGEST_BODY: usize = 4 * 1024 * 1024;

/// Bytes of a body by far over the limit.
const OVER_LIMIT: usize = 64 * 1024 * 1024;

/// Bytes that a client sends at a time, where it sends its body piece by piece.
const PIECE: usize = 16 * 1024;

/// Bytes of a large and of a very small chunk.
const LARGE_CHUNK: usize = 64 * 1024;
const SMALL_CHUNK: usize = 16;

/// A body with a content length, of which `bytes` are sent.
fn plain(number: usize, announced: usize, bytes: usize) -> Script {
    let head =
        format!("{}content-length: {announced}\r\n\r\n", head("unsafe", number)).into_bytes();
    Script { head, part: vec![b'x'; LARGE_CHUNK], bytes, ..Script::default() }
}

/// A body in chunks of this size, of which `bytes` are sent. The last chunk is never sent.
fn chunked(number: usize, chunk: usize, bytes: usize) -> Script {
    let head = format!("{}transfer-encoding: chunked\r\n\r\n", head("unsafe", number)).into_bytes();
    let mut part = String::new();
    while part.len() < LARGE_CHUNK {
        write!(part, "{chunk:x}\r\n{}\r\n", "x".repeat(chunk)).expect("a string");
    }
    let encoded = bytes / chunk * (format!("{chunk:x}").len() + 4 + chunk);
    Script { head, part: part.into_bytes(), bytes: encoded, ..Script::default() }
}

/// Plays a crowd that sends its bodies `piece` bytes at a time.
fn play(script: impl Fn(usize) -> Script, piece: usize) {
    scene::play(&LIMITS, CLIENTS, script, piece);
}

#[test]
fn whole_large_bodies() {
    play(|number| plain(number, LARGEST_BODY, LARGEST_BODY), LARGEST_BODY);
}

#[test]
fn large_bodies_that_stop_short() {
    play(|number| plain(number, LARGEST_BODY, LARGEST_BODY - 1), LARGEST_BODY);
}

#[test]
fn large_bodies_in_pieces_that_stop_short() {
    play(|number| plain(number, LARGEST_BODY, LARGEST_BODY - 1), PIECE);
}

// Guards against memory that many growing bodies take beyond their length.
#[test]
fn large_bodies_of_many_clients_that_stop_short() {
    let script = |number| plain(number, LARGEST_BODY, LARGEST_BODY - 1);
    scene::play(&LARGE_HOST, MANY_CLIENTS, script, LARGEST_BODY);
}

// The same, for bodies whose length is not announced.
#[test]
fn large_chunks_of_many_clients_that_stop_short() {
    let script = |number| chunked(number, LARGE_CHUNK, LARGEST_BODY);
    scene::play(&LARGE_HOST, MANY_CLIENTS, script, LARGEST_BODY);
}

#[test]
fn large_chunks_that_stop_short() {
    play(|number| chunked(number, LARGE_CHUNK, LARGEST_BODY), LARGEST_BODY);
}

#[test]
fn large_chunks_in_pieces_that_stop_short() {
    play(|number| chunked(number, LARGE_CHUNK, LARGEST_BODY), PIECE);
}

#[test]
fn very_small_chunks_that_stop_short() {
    play(|number| chunked(number, SMALL_CHUNK, LARGEST_BODY), PIECE);
}

#[test]
fn announced_bodies_over_the_limit() {
    play(|number| plain(number, OVER_LIMIT, OVER_LIMIT), LARGE_CHUNK);
}

#[test]
fn unannounced_bodies_over_the_limit() {
    play(|number| chunked(number, LARGE_CHUNK, OVER_LIMIT), LARGE_CHUNK);
}

// Guards against limits that a single client within the pages' limits meets.
#[test]
fn the_largest_body_is_served_in_calm() {
    let _turn = crowd::turn();
    let router = scene::start(&LIMITS);
    for _ in 0..3 {
        let body = scene::send(&router, LARGEST_BODY);
        assert_eq!(body, Ok(()));
    }
    for number in 0..3 {
        let script = chunked(number, LARGE_CHUNK, LARGEST_BODY);
        let text = [&*script.head, &*whole(&script), b"0\r\n\r\n"].concat();
        let mut caller = router.caller();
        caller.send_raw(&String::from_utf8(text).expect("text"));
        let answer = caller.read_answer().expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true), "{}", answer.body);
    }
}

/// All repetitions of a script's part.
fn whole(script: &Script) -> Vec<u8> {
    script.part.iter().copied().cycle().take(script.bytes).collect()
}
