//! Fixture: a router with four engines and two plain services, and helpers for its events and
//! effects.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::{Document, Plan};
use routing::{
    Arrival, Bound, Decision, Effect, Event, Host, Path, Policy, Prefix, Reply, Settings, State,
};
use serde_json::json;
use wire::{Refused, Status};

/// The start time of the tests.
pub const NOW: Millis = Millis(1_000_000);

/// All workspaces; most tests use the first.
const WORKSPACES: [&str; 8] = ["w", "a", "b", "c", "d", "hot", "new", "small"];

/// The settings that most tests use.
pub fn settings() -> Settings {
    Settings {
        path: Path::Direct,
        policy: Policy::Ranked,
        bound: Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 2 },
        current_ms: 3_000,
        retry_share: 0.0,
        retry_burst: 2.0,
        ..Settings::default()
    }
}

/// The configuration of the tests.
pub fn plan() -> Arc<Plan> {
    let kind = |name: &str, repeatable: bool| json!({ "name": name, "repeatable": repeatable, "keyless": true, "resumable": matches!(name, "stream" | "bulk" | "split") });
    let intent = |name: &str, service: &str| {
        let equals =
            |label: &str, value: &str| json!([{ "op": "equals", "label": label, "value": value }]);
        json!({
            "name": name, "kinds": equals("name", name), "upstreams": equals("service", service),
            "deadline_ms": 5_000, "attempts": 2, "objective_ms": 800,
            "priority": if name == "bulk" { 7 } else { 5 },
        })
    };
    let mut split = intent("split", "engine");
    let plain = json!([{ "op": "equals", "label": "service", "value": "plain" }]);
    split["split"] = json!([{ "percent": 50, "upstreams": plain }]);
    let document = json!({
        "generation": 1,
        "workspaces": WORKSPACES.map(|name| json!({ "name": name, "key_sha256": "0".repeat(64) })),
        "models": ["m"],
        "pools": [{ "name": "engine", "cold_ms": 3_000, "cold_per_s": 8.0 }],
        "kinds": [kind("safe", true), kind("unsafe", false), kind("stream", true), kind("bulk", true), kind("split", true)],
        "intents": [intent("safe", "plain"), intent("unsafe", "plain"), intent("stream", "engine"), intent("bulk", "engine"), split],
    });
    let document = Document::parse(&document.to_string()).expect("a document");
    Arc::new(Plan::compile(document).expect("a plan"))
}

/// Lists one engine for each of these failure domains, in order.
pub fn engines(domains: &[&str]) -> Event {
    engines_with(8, domains)
}

/// Like [`engines`], with a number of slots each.
pub fn engines_with(slots: u64, domains: &[&str]) -> Event {
    let engine = |(number, domain): (usize, &&str)| Host {
        domain: (*domain).into(),
        slots,
        ..host(&format!("engine-{number}"), "engine")
    };
    Event::Hosts(domains.iter().enumerate().map(engine).collect())
}

/// Lists one engine for each of these software versions, in order.
pub fn engines_of(versions: &[&str]) -> Event {
    let engine = |(number, version): (usize, &&str)| Host {
        version: (*version).into(),
        slots: 8,
        ..host(&format!("engine-{number}"), "engine")
    };
    Event::Hosts(versions.iter().enumerate().map(engine).collect())
}

/// Lists plain services with six slots each.
pub fn services(count: usize) -> Event {
    let service = |number: usize| Host { slots: 6, ..host(&format!("plain-{number}"), "plain") };
    Event::Hosts((0..count).map(service).collect())
}

/// Evacuates these failure domains.
pub fn evacuated(domains: &[&str]) -> Event {
    Event::Evacuated(domains.iter().map(|domain| Arc::from(*domain)).collect())
}

/// Announces the first `count` routers to router number `own`.
pub fn members(own: usize, count: usize) -> Event {
    let name = |number: usize| Arc::from(format!("router-{number}"));
    Event::Members { own: name(own), announced: (0..count).map(name).collect() }
}

fn host(name: &str, service: &str) -> Host {
    Host {
        name: name.into(),
        entry: "".into(),
        address: format!("{name}:1").into(),
        domain: "d".into(),
        labels: [("service", service), ("model", "m")].map(|(a, b)| (a.into(), b.into())).into(),
        leaving: false,
        slots: 0,
        born: 0,
        version: "".into(),
    }
}

/// A router with a configuration and upstreams.
pub fn router(settings: Settings) -> State {
    let mut state = State::new(settings, 1);
    state.apply(Event::Configure(plan()), NOW);
    state.apply(Event::ConfigurationConfirmed { at: NOW }, NOW);
    let engines = (0..4).map(|number| host(&format!("engine-{number}"), "engine"));
    let services = (0..2).map(|number| host(&format!("plain-{number}"), "plain"));
    state.apply(Event::Hosts(engines.chain(services).collect()), NOW);
    state
}

/// The arrival of a request of `kind`.
pub fn arrival(id: u64, kind: &str, chat: &str) -> Event {
    arrival_with_prefixes(id, kind, chat, &[])
}

/// Like [`arrival`], with shared prefixes of these hashes.
pub fn arrival_with_prefixes(id: u64, kind: &str, chat: &str, hashes: &[u64]) -> Event {
    Event::Arrival(Arrival {
        id,
        request: format!("r-{id}").into(),
        workspace: "w".into(),
        kind: kind.into(),
        model: matches!(kind, "stream" | "bulk").then(|| "m".into()),
        fingerprint: id,
        chat: chat.into(),
        prefixes: prefixes(hashes),
        parts: Vec::new(),
        idempotency_key: None,
        weight: 1,
        deadline: None,
        continuation: None,
    })
}

/// Like [`arrival`], with these parts of the prompt.
pub fn arrival_with_parts(id: u64, kind: &str, parts: &[u64]) -> Event {
    let Event::Arrival(arrival) = arrival_with_prefixes(id, kind, &format!("chat-{id}"), &[])
    else {
        unreachable!("an arrival")
    };
    Event::Arrival(Arrival { parts: parts.to_vec(), ..arrival })
}

/// The arrival of a stream with one shared prefix of `tokens` tokens.
pub fn arrival_with_long_prefix(id: u64, chat: &str, hash: u64, tokens: u64) -> Event {
    let Event::Arrival(arrival) = arrival_with_prefixes(id, "stream", chat, &[]) else {
        unreachable!("an arrival")
    };
    Event::Arrival(Arrival { prefixes: vec![Prefix { hash, tokens }], ..arrival })
}

/// Prefixes with these hashes, each a hundred tokens longer than the last.
fn prefixes(hashes: &[u64]) -> Vec<Prefix> {
    let prefix = |(hash, tokens): (&u64, u64)| Prefix { hash: *hash, tokens: 100 * tokens };
    hashes.iter().zip(1..).map(prefix).collect()
}

/// The upstream that the effects send a request to.
pub fn sent_to(effects: &[Effect]) -> Option<Arc<str>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(attempt) => Some(attempt.upstream.clone()),
        _ => None,
    })
}

/// The kind of error that the effects fail a request with.
pub fn failure(effects: &[Effect]) -> Option<Kind> {
    effects.iter().find_map(|effect| match effect {
        Effect::Fail(answer) | Effect::Abort(answer) => Some(answer.kind),
        _ => None,
    })
}

/// The retry-after time of a failure among the effects, in milliseconds.
pub fn retry_after(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Fail(answer) => answer.retry_after_ms,
        _ => None,
    })
}

/// A refusal by an upstream that did not run the request.
pub fn refusal() -> Reply {
    let (hints, status) = (Vec::new(), Status::default());
    Reply::Refused(Refused { kind: Kind::QueueFull, retry_after_ms: 0, hints, status })
}

/// A router with `count` engines and a large retry budget, whose configuration may be stale.
pub fn engines_only(count: usize) -> State {
    let mut state = router(Settings { retry_burst: 1_000.0, current_ms: 0, ..settings() });
    state.apply(engines(&vec!["d"; count]), NOW);
    state
}

/// The decision record among the effects.
pub fn recorded_decision(effects: &[Effect]) -> Option<Arc<Decision>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Record(decision) => Some(decision.clone()),
        _ => None,
    })
}
