//! A router on a small host, a crowd of clients and ordinary requests beside it.

use std::time::Duration;

use crate::crowd::{self, Crowd, Script};
use crate::router::{HOST, KEY, Router, configuration, unused_host};
use crate::standin::{Action, Upstream};
use crate::usage::{self, Peak, Usage};

/// How long an upstream works on a request of the crowd, in milliseconds.
const WORK_MS: u64 = 4_000;

/// Requests that the slow upstream works on at a time.
const SLOTS: usize = 64;

/// Descriptors of a host that are not for sockets.
const RESERVED_DESCRIPTORS: usize = 200;

/// Bytes of an ordinary body.
const ORDINARY_BODY: usize = 72 * 1024;

/// How often an ordinary caller sends a request that is refused with a delay.
const MAX_TRIES: usize = 5;

/// What the host of a process has.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// The head of a request on a route, up to the lines about its body.
pub fn head(route: &str, number: usize) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         attempt-identifier: crowd-{number}\r\ndeadline-remaining: 30000\r\n"
    )
}

/// Starts a router beside a slow service, which gets the crowd's requests, and an engine.
pub fn start(limits: &Limits) -> Router {
    let slow = Upstream::start(&unused_host(), "i-1", "plain");
    slow.set_actions(&[Action::Delayed(WORK_MS, 200, "whole")]);
    let engine = Upstream::start(&unused_host(), "i-2", "engine");
    engine.set_actions(&[Action::Answer(200, "id: 1\ndata: whole\n\n")]);
    let upstreams = [&slow, &engine];
    let Limits { memory_mb, descriptors } = *limits;
    let router = Router::start_limited(&configuration(1), &upstreams, memory_mb, descriptors);
    let mut entry = slow.entry("ready", 2);
    entry["slots"] = SLOTS.into();
    router.store.put(&slow.key(), &entry);
    router
}

/// Sends a request with a body of this length, again when a refusal says so.
pub fn send(router: &Router, length: usize) -> Result<(), String> {
    let body = "y".repeat(length);
    let mut refusals = Vec::new();
    for number in 0..MAX_TRIES {
        let id = format!("ordinary-{length}-{number}");
        let headers = [("Attempt-Identifier", &*id)];
        let answer = router.request("POST /stream/x", &headers, &body);
        let Some(answer) = answer else { return Err(format!("no answer after {refusals:?}")) };
        if answer.status == 200 && answer.whole {
            return Ok(());
        }
        refusals.push((answer.status, answer.body));
        let delay = answer.headers.get("retry-after").and_then(|delay| delay.parse::<f64>().ok());
        let Some(delay) = delay else { break };
        std::thread::sleep(Duration::from_secs_f64(delay));
    }
    Err(format!("{refusals:?}"))
}

/// Plays a crowd, which sends `piece` bytes at a time, with an ordinary request beside it and one
/// after it. Checks these, and the memory and the descriptors.
pub fn play(limits: &Limits, clients: usize, script: impl Fn(usize) -> Script, piece: usize) {
    play_at(limits, clients, script, piece, Router::caller_address);
}

/// Like [`play`], with a crowd that connects to this address of the router.
pub fn play_at(
    limits: &Limits,
    clients: usize,
    script: impl Fn(usize) -> Script,
    piece: usize,
    address: impl Fn(&Router) -> String,
) {
    let _turn = crowd::turn();
    let mut router = start(limits);
    let address = address(&router);
    let usage = Usage::start(router.id(), vec![address.parse().expect("an address")]);
    let mut crowd = Crowd::connect(&address, clients, script);
    crowd.send(piece);
    usage::settle(router.id());
    let beside = send(&router, ORDINARY_BODY);
    assert!(router.is_ready(), "the router is not ready beside the crowd");
    println!("{:?}", crowd.answers());
    drop(crowd);
    let after = send(&router, ORDINARY_BODY);
    let peak = usage.finish();
    assert!(router.is_running(), "the router has ended");
    check(limits, &peak);
    assert_eq!((beside, after), (Ok(()), Ok(())), "{peak:?}");
}

/// Checks that a process stayed within what its host has.
pub fn check(limits: &Limits, peak: &Peak) {
    println!("{peak:?}");
    assert!(peak.bytes < limits.memory_mb * 1_000_000, "{peak:?}");
    assert!(peak.descriptors <= limits.descriptors - RESERVED_DESCRIPTORS, "{peak:?}");
}
