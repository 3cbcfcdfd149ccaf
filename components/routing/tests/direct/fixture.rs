//! A router's reducer with four engines and two plain upstreams.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::{Document, Plan};
use routing::{
    Arrival, Bound, Decision, Effect, Event, Host, Path, Policy, Prefix, Reply, Settings, State,
};
use serde_json::json;
use wire::{Refused, Status};

/// When everything begins.
pub const NOW: Millis = Millis(1_000_000);

/// All workspaces; most tests know the first.
const WORKSPACES: [&str; 8] = ["w", "a", "b", "c", "d", "hot", "new", "small"];

/// The settings of most tests.
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

fn plan() -> Arc<Plan> {
    let kind = |name: &str, repeatable: bool| json!({ "name": name, "repeatable": repeatable, "keyless": true, "resumable": name == "stream" || name == "bulk" });
    let intent = |name: &str, service: &str| {
        let equals =
            |label: &str, value: &str| json!([{ "op": "equals", "label": label, "value": value }]);
        json!({
            "name": name, "kinds": equals("name", name), "upstreams": equals("service", service),
            "deadline_ms": 5_000, "attempts": 2, "objective_ms": 800,
            "priority": if name == "bulk" { 7 } else { 5 },
        })
    };
    let document = json!({
        "generation": 1,
        "workspaces": WORKSPACES.map(|it| json!({ "name": it, "key_sha256": "0".repeat(64) })),
        "models": ["m"],
        "pools": [{ "name": "engine", "cold_ms": 3_000, "cold_per_s": 8.0 }],
        "kinds": [kind("safe", true), kind("unsafe", false), kind("stream", true), kind("bulk", true)],
        "intents": [intent("safe", "plain"), intent("unsafe", "plain"), intent("stream", "engine"), intent("bulk", "engine")],
    });
    let document = Document::parse(&document.to_string()).expect("a document");
    Arc::new(Plan::compile(document).expect("a plan"))
}

/// Engines in these failure domains, in order.
pub fn engines(domains: &[&str]) -> Event {
    engines_with(8, domains)
}

/// The same, each with so many slots.
pub fn engines_with(slots: u64, domains: &[&str]) -> Event {
    let engine = |(place, domain): (usize, &&str)| Host {
        domain: (*domain).into(),
        slots,
        ..host(&format!("engine-{place}"), "engine")
    };
    Event::Hosts(domains.iter().enumerate().map(engine).collect())
}

/// So many plain upstreams that list slots.
pub fn services(count: usize) -> Event {
    let one = |it: usize| Host { slots: 6, ..host(&format!("plain-{it}"), "plain") };
    Event::Hosts((0..count).map(one).collect())
}

/// These failure domains are to take nothing.
pub fn evacuated(domains: &[&str]) -> Event {
    Event::Evacuated(domains.iter().map(|it| Arc::from(*it)).collect())
}

/// Router `own` of the first `count` routers knows them all.
pub fn members(own: usize, count: usize) -> Event {
    let name = |it: usize| Arc::from(format!("router-{it}"));
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
    }
}

/// A router that knows the configuration and its upstreams.
pub fn router(settings: Settings) -> State {
    let mut state = State::new(settings, 1);
    state.apply(Event::Configure(plan()), NOW);
    state.apply(Event::ConfigurationConfirmed { at: NOW }, NOW);
    let engines = (0..4).map(|it| host(&format!("engine-{it}"), "engine"));
    let plain = (0..2).map(|it| host(&format!("plain-{it}"), "plain"));
    state.apply(Event::Hosts(engines.chain(plain).collect()), NOW);
    state
}

/// A caller asks for `kind`.
pub fn arrival(id: u64, kind: &str, chat: &str) -> Event {
    arrival_with_prefixes(id, kind, chat, &[])
}

/// The same, with a prompt whose parts others may share.
pub fn arrival_with_prefixes(id: u64, kind: &str, chat: &str, shared: &[u64]) -> Event {
    Event::Arrival(Arrival {
        id,
        request: format!("r-{id}").into(),
        workspace: "w".into(),
        kind: kind.into(),
        model: matches!(kind, "stream" | "bulk").then(|| "m".into()),
        fingerprint: id,
        chat: chat.into(),
        prefixes: parts(shared),
        idempotency_key: None,
        weight: 1,
        deadline: None,
    })
}

/// A stream with one part of `tokens` tokens that others may share.
pub fn arrival_with_long_prefix(id: u64, chat: &str, hash: u64, tokens: u64) -> Event {
    let Event::Arrival(ask) = arrival_with_prefixes(id, "stream", chat, &[]) else {
        unreachable!("it is asked")
    };
    Event::Arrival(Arrival { prefixes: vec![Prefix { hash, tokens }], ..ask })
}

/// Parts of a hundred tokens each with these hashes.
fn parts(hashes: &[u64]) -> Vec<Prefix> {
    let part = |(hash, tokens): (&u64, u64)| Prefix { hash: *hash, tokens: 100 * tokens };
    hashes.iter().zip(1..).map(part).collect()
}

/// Where the effects send a request.
pub fn sent_to(effects: &[Effect]) -> Option<Arc<str>> {
    effects.iter().find_map(|it| match it {
        Effect::Send(attempt) => Some(attempt.upstream.clone()),
        _ => None,
    })
}

/// The kind of error that the effects end a request with.
pub fn failure(effects: &[Effect]) -> Option<Kind> {
    effects.iter().find_map(|it| match it {
        Effect::Fail(answer) | Effect::Abort(answer) => Some(answer.kind),
        _ => None,
    })
}

/// The time to come back that the effects tell a caller, in milliseconds.
pub fn retry_after(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|it| match it {
        Effect::Fail(answer) => answer.retry_after_ms,
        _ => None,
    })
}

/// An upstream's word that it turned a request away and did not run it.
pub fn refusal() -> Reply {
    let (hints, status) = (Vec::new(), Status::default());
    Reply::Refused(Refused { kind: Kind::QueueFull, retry_after_ms: 0, hints, status })
}

/// A router of so many engines that may retry, with no proof of its configuration asked for.
pub fn engines_only(count: usize) -> State {
    let mut state = router(Settings { retry_burst: 1_000.0, current_ms: 0, ..settings() });
    state.apply(engines(&vec!["d"; count]), NOW);
    state
}

/// The decision that the effects record.
pub fn recorded_decision(effects: &[Effect]) -> Option<Arc<Decision>> {
    effects.iter().find_map(|it| match it {
        Effect::Record(decision) => Some(decision.clone()),
        _ => None,
    })
}
