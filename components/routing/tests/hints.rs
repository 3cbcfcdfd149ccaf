//! Hints of a sidecar are followed only to upstreams that the intents allow.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::{Document, Plan};
use routing::{Arrival, Effect, Event, Host, Reply, Settings, State};
use wire::{Refused, Status, Welcome};

/// The time of every event.
const NOW: Millis = Millis(1_000);

fn host(name: &str, model: &str) -> Host {
    Host {
        name: name.into(),
        entry: "".into(),
        address: name.into(),
        domain: "d".into(),
        labels: BTreeMap::from([("model".into(), model.into())]),
        leaving: false,
        slots: 0,
        born: 0,
        version: "".into(),
    }
}

fn state() -> State {
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
    let hosts = vec![host("one", "m"), host("two", "m"), host("other", "x")];
    state.apply(Event::Hosts(hosts), NOW);
    for name in ["one", "two", "other"] {
        let status = Status { incarnation: 1, ..Status::default() };
        state.apply(Event::Connected(Welcome { name: name.into(), status }), NOW);
    }
    state
}

fn arrival() -> Event {
    Event::Arrival(Arrival {
        id: 1,
        request: "r".into(),
        workspace: "w".into(),
        kind: "chat".into(),
        model: Some("m".into()),
        fingerprint: 1,
        chat: "c".into(),
        parts: Vec::new(),
        idempotency_key: None,
        prefixes: Vec::new(),
        weight: 1,
        deadline: None,
        continuation: None,
    })
}

fn sent_to(effects: &[Effect]) -> Option<Arc<str>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(attempt) => Some(attempt.upstream.clone()),
        _ => None,
    })
}

fn refuse(state: &mut State, attempt: u32, kind: Kind, hints: &[&str]) -> Option<Arc<str>> {
    let hints = hints.iter().map(|hint| Arc::from(*hint)).collect();
    let status = Status { incarnation: 1, ..Status::default() };
    let reply = Reply::Refused(Refused { kind, retry_after_ms: 1, hints, status });
    sent_to(&state.apply(Event::Reply { id: 1, attempt, reply }, NOW))
}

#[test]
fn ignores_a_hint_to_an_upstream_that_the_intents_do_not_allow() {
    let mut state = state();
    let home = sent_to(&state.apply(arrival(), NOW)).expect("an upstream");
    let next = refuse(&mut state, 1, Kind::Moved, &["other", "nowhere"]);
    assert_eq!(next.as_ref(), Some(&home), "the home is the only candidate left");
}

#[test]
fn sends_a_moved_chat_to_its_context_and_then_home() {
    let mut state = state();
    let home = sent_to(&state.apply(arrival(), NOW)).expect("an upstream");
    let away = if &*home == "one" { "two" } else { "one" };
    assert_eq!(refuse(&mut state, 1, Kind::Moved, &[away]).as_deref(), Some(away));
    assert_eq!(refuse(&mut state, 2, Kind::OverBound, &[]), Some(home));
}

#[test]
fn does_not_retry_a_home_that_was_over_its_bound() {
    let mut state = state();
    let home = sent_to(&state.apply(arrival(), NOW)).expect("an upstream");
    let away = if &*home == "one" { "two" } else { "one" };
    assert_eq!(refuse(&mut state, 1, Kind::OverBound, &[away]).as_deref(), Some(away));
    assert_eq!(refuse(&mut state, 2, Kind::OverBound, &[]), None);
}
