//! Processing time and memory of the state machines, by size.
//!
//! Each function measures one operation at one size. Times are those of a single
//! thread; memory is the heap that the counting allocator of the calling binary
//! reports through [`Meter`].

use std::sync::Arc;
use std::time::Instant;

use admission::Peer;
use bytes::Bytes;
use clock::Millis;
use intents::Plan;
use routing::{Arrival, Event, Reply};
use wire::{Admitted, End, Frame, Head, Open, Report, Status, Welcome};

use crate::{document, hosts};

const MODELS: usize = 6;

const DOMAINS: usize = 17;

/// Returns the number of bytes that are currently allocated.
pub type Meter = fn() -> usize;

/// The costs at one size.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Point {
    /// The varied size.
    pub size: usize,
    /// The time of one operation, in microseconds.
    pub micros: f64,
    /// The heap memory of all items, in bytes.
    pub bytes: usize,
}

/// Measures a router with `upstreams` upstreams: the time of a request from its
/// arrival to its recorded decision, and the memory of the state.
///
/// # Panics
///
/// Panics if the generated document is invalid, which would be a bug.
pub fn router_upstreams(upstreams: usize, requests: usize, meter: Meter) -> Point {
    let before = meter();
    let mut state = router(upstreams, 10);
    let bytes = meter().saturating_sub(before);
    let started = Instant::now();
    for id in 0..requests {
        complete_request(&mut state, id as u64);
    }
    Point { size: upstreams, micros: micros(started, requests), bytes }
}

/// Measures the compilation of a document with `workspaces` workspaces: its time,
/// and the memory of the plan.
///
/// # Panics
///
/// Panics if the generated document is invalid, which would be a bug.
pub fn router_workspaces(workspaces: usize, meter: Meter) -> Point {
    let before = meter();
    let started = Instant::now();
    let plan = Plan::compile(document(1, workspaces, MODELS)).expect("the document is valid");
    let micros = micros(started, 1);
    let bytes = meter().saturating_sub(before);
    drop(plan);
    Point { size: workspaces, micros, bytes }
}

/// Measures a router with `requests` in flight: the time of an arrival, and the
/// memory of the requests.
pub fn router_requests(requests: usize, meter: Meter) -> Point {
    let mut state = router(60, 10);
    let before = meter();
    let started = Instant::now();
    for id in 0..requests {
        state.apply(Event::Arrival(arrival(id as u64)), Millis(1));
    }
    let micros = micros(started, requests);
    Point { size: requests, micros, bytes: meter().saturating_sub(before) }
}

/// Measures the time in which a router applies an unchanged list of `upstreams`
/// hosts.
pub fn router_hosts(upstreams: usize, rounds: usize) -> Point {
    let mut state = router(upstreams, 10);
    let list = hosts(upstreams, MODELS, DOMAINS);
    let started = Instant::now();
    for _ in 0..rounds {
        state.apply(Event::Hosts(list.clone()), Millis(2));
    }
    Point { size: upstreams, micros: micros(started, rounds), bytes: 0 }
}

/// Measures a sidecar with `calls` in flight: the time of a call of 256 tokens, and
/// the memory of the calls.
pub fn sidecar_calls(calls: usize, meter: Meter) -> Point {
    const TOKENS: usize = 256;
    let mut state = sidecar(calls, 140);
    let before = meter();
    let started = Instant::now();
    for call in 0..calls as u64 {
        state.apply(admission::Event::Open { call, open: open(call) }, Millis(1));
    }
    let bytes = meter().saturating_sub(before);
    for call in 0..calls as u64 {
        let headers = Vec::new();
        state.apply(admission::Event::Head { call, status: 200, headers }, Millis(2));
        for _ in 0..TOKENS {
            let bytes = Bytes::from_static(b"data: token\n\n");
            state.apply(admission::Event::Chunk { call, bytes }, Millis(2));
        }
        state.apply(admission::Event::Ended { call }, Millis(3));
    }
    Point { size: calls, micros: micros(started, calls), bytes }
}

/// Measures a sidecar that stores `keys` idempotency keys: the time of a keyed call,
/// and the memory of the keys.
pub fn sidecar_keys(keys: usize, meter: Meter) -> Point {
    let mut state = sidecar(keys, 3);
    let before = meter();
    let started = Instant::now();
    for call in 0..keys as u64 {
        let idempotency_key = Some(format!("courier/sk1.pickup-1.1a236c6ad5d.{call:032x}").into());
        let open = Open { idempotency_key, incarnation: 1, ..open(call) };
        state.apply(admission::Event::Open { call, open }, Millis(1));
        let headers = Vec::new();
        state.apply(admission::Event::Head { call, status: 200, headers }, Millis(2));
        state.apply(admission::Event::Ended { call }, Millis(3));
    }
    let micros = micros(started, keys);
    Point { size: keys, micros, bytes: meter().saturating_sub(before) }
}

/// Measures the aggregator of a pool of `members`: the time of a load report, and
/// the memory of the members.
pub fn aggregator_members(members: usize, rounds: usize, meter: Meter) -> Point {
    let before = meter();
    let mut state = sidecar(64, members);
    let bytes = meter().saturating_sub(before);
    let reports: Vec<_> = (0..members)
        .map(|index| Report {
            name: format!("engine-{index}").into(),
            incarnation: 1,
            load: index as u64,
            members: 1,
            sum: false,
        })
        .collect();
    let started = Instant::now();
    for round in 0..rounds {
        let report = reports[round % members].clone();
        state.apply(admission::Event::Report { call: round as u64, report }, Millis(round as u64));
    }
    Point { size: members, micros: micros(started, rounds), bytes }
}

/// Returns the sizes of the control frames in bytes, with their length prefix.
///
/// # Panics
///
/// Panics if a frame can't be encoded, which would be a bug.
pub fn frames() -> Vec<(&'static str, usize)> {
    let status = Status { incarnation: 1_796_215_359_116, load: 40_000, ..Status::default() };
    let report = Report {
        name: "engine-4711".into(),
        incarnation: 1_796_215_359_116,
        load: 40_000,
        members: 1,
        sum: false,
    };
    let pool = placement::Pool { load: 5_000_000, members: 140 };
    let refusal = wire::Refused {
        kind: errors::Kind::OverBound,
        retry_after_ms: 250,
        hints: Vec::new(),
        status,
    };
    let frames = [
        ("report", Frame::Report(report)),
        ("pool", Frame::Pool(pool)),
        ("admitted", Frame::Admitted(Admitted { status })),
        ("refused", Frame::Refused(refusal)),
        ("end", Frame::End(End { attempt: 1, chunks: 256, bytes: 40_000, status })),
        ("welcome", Frame::Welcome(Welcome { name: "engine-4711".into(), status })),
    ];
    let size = |frame: &Frame| wire::encode(frame).expect("the frame can be encoded").len();
    frames.iter().map(|(name, frame)| (*name, size(frame))).collect()
}

fn router(upstreams: usize, workspaces: usize) -> routing::State {
    let settings = routing::Settings { decisions: 0, ..Default::default() };
    let mut state = routing::State::new(settings, 1);
    let plan = Plan::compile(document(1, workspaces, MODELS)).expect("the document is valid");
    state.apply(Event::Configure(Arc::new(plan)), Millis::ZERO);
    let list = hosts(upstreams, MODELS, DOMAINS);
    let names: Vec<_> = list.iter().map(|host| host.name.clone()).collect();
    state.apply(Event::Hosts(list), Millis::ZERO);
    for name in names {
        let status = Status { incarnation: 1, ..Status::default() };
        state.apply(Event::Connected(Welcome { name, status }), Millis::ZERO);
    }
    state
}

fn arrival(id: u64) -> Arrival {
    Arrival {
        id,
        request: format!("entry-17-1a236c6ad5d-{id:x}").into(),
        workspace: format!("workspace-{}", id % 10).into(),
        kind: "chat".into(),
        model: Some(format!("model-{}", id % MODELS as u64).into()),
        fingerprint: id,
        chat: format!("chat-{id}").into(),
        parts: Vec::new(),
        idempotency_key: None,
        prefixes: Vec::new(),
        weight: 1_000,
        deadline: None,
        continuation: None,
    }
}

/// Applies a request that is answered without chunks.
fn complete_request(state: &mut routing::State, id: u64) {
    state.apply(Event::Arrival(arrival(id)), Millis(id));
    let status = Status { incarnation: 1, ..Status::default() };
    let frames = [
        Frame::Admitted(Admitted { status }),
        Frame::Head(Head { attempt: 1, status: 200, headers: Vec::new() }),
        Frame::End(End { attempt: 1, chunks: 0, bytes: 0, status }),
    ];
    for frame in frames {
        let reply: Reply = frame.into();
        state.apply(Event::Reply { id, attempt: 1, reply }, Millis(id));
    }
}

fn sidecar(slots: usize, members: usize) -> admission::State {
    let bound = placement::Bound { floor: u64::MAX / 2, ..Default::default() };
    let settings = admission::Settings { bound, slots, keys: usize::MAX, ..Default::default() };
    let peers: Vec<_> = hosts(members, 1, DOMAINS)
        .into_iter()
        .map(|host| Peer { name: host.name, address: host.address })
        .collect();
    let own = Peer { name: "engine-0".into(), address: "10.0.0.0:7001".into() };
    let mut state = admission::State::new(settings, own, 1);
    state.apply(admission::Event::Peers(peers), Millis::ZERO);
    state
}

fn open(call: u64) -> Open {
    Open {
        request: format!("entry-17-1a236c6ad5d-{call:x}").into(),
        attempt: 1,
        workspace: format!("workspace-{}", call % 10).into(),
        chat: 0,
        is_home: false,
        priority: 0,
        remaining_ms: 60_000,
        weight: 1_000,
        incarnation: 0,
        idempotency_key: None,
        generation: 1,
        traceparent: None,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn micros(started: Instant, count: usize) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}
