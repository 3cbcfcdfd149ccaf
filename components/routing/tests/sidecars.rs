//! Upstreams that are reached through sidecars and fail.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use intents::{Document, Plan};
use routing::{Arrival, Effect, Event, Host, Reply, Settings, State};
use wire::{Admitted, End, Head, Status, Welcome};

const NOW: Millis = Millis(1_000);

/// When the suspicion after two failures is over.
const LATER: Millis = Millis(60_000);

const STATUS: Status = Status {
    incarnation: 1,
    load: 0,
    pool: placement::Pool { load: 0, members: 1 },
    queued: 0,
    leaving: false,
};

/// A router that is connected to the only upstream.
fn router() -> State {
    let json = serde_json::json!({
        "generation": 1,
        "workspaces": [{ "name": "w", "key_sha256": "0".repeat(64) }],
        "kinds": [{ "name": "chat", "repeatable": true }],
        "models": ["m"],
        "intents": [{ "name": "all", "upstreams": [] }],
    });
    let document = Document::parse(&json.to_string()).expect("a valid document");
    let mut state = State::new(Settings::default(), 1);
    let plan = Plan::compile(document).expect("a valid plan");
    state.apply(Event::Configure(Arc::new(plan)), NOW);
    let host = Host {
        name: "one".into(),
        entry: "".into(),
        address: "one".into(),
        domain: "d".into(),
        labels: BTreeMap::from([("model".into(), "m".into())]),
        leaving: false,
        slots: 0,
        born: 0,
        version: "".into(),
    };
    state.apply(Event::Hosts(vec![host]), NOW);
    state.apply(Event::Connected(Welcome { name: "one".into(), status: STATUS }), NOW);
    state
}

/// The upstream that a new request is sent to.
fn target(state: &mut State, id: u64, now: Millis) -> Option<Arc<str>> {
    let arrival = Arrival {
        id,
        request: "r".into(),
        workspace: "w".into(),
        kind: "chat".into(),
        model: Some("m".into()),
        fingerprint: id,
        chat: "c".into(),
        parts: Vec::new(),
        idempotency_key: None,
        prefixes: Vec::new(),
        weight: 1,
        deadline: None,
        continuation: None,
    };
    let effects = state.apply(Event::Arrival(arrival), now);
    effects.iter().find_map(|effect| match effect {
        Effect::Send(attempt) => Some(attempt.upstream.clone()),
        _ => None,
    })
}

/// Sends a request at `NOW` and answers it.
fn answer(state: &mut State, id: u64) {
    assert!(target(state, id, NOW).is_some());
    let replies = [
        Reply::Admitted(Admitted { status: STATUS }),
        Reply::Head(Head { attempt: 1, status: 200, headers: Vec::new() }),
        Reply::End(End { attempt: 1, chunks: 0, bytes: 0, status: STATUS }),
    ];
    for reply in replies {
        state.apply(Event::Reply { id, attempt: 1, reply }, NOW);
    }
    assert_eq!(state.in_flight(), 0);
}

#[test]
fn answered_requests_are_no_load() {
    let mut state = router();
    answer(&mut state, 1);
    assert_eq!(state.loads(&"front-1".into(), NOW).upstreams, []);
}

#[test]
fn sends_one_request_to_an_upstream_that_has_failed_repeatedly() {
    let mut state = router();
    answer(&mut state, 1);
    for _ in 0..2 {
        state.apply(Event::Unreachable { upstream: "one".into() }, NOW);
    }
    assert_eq!(target(&mut state, 2, NOW), None);
    assert_eq!(target(&mut state, 3, LATER).as_deref(), Some("one"));
    assert_eq!(target(&mut state, 4, LATER), None);
}
