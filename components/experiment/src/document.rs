//! Documents and host lists of any size.

use std::collections::BTreeMap;

use intents::Document;
use routing::Host;
use serde_json::json;

/// A document of `workspaces` workspaces and `models` models, each model with
/// an intent of its own.
///
/// # Panics
///
/// Never: the document is right for any size.
pub fn document(generation: u64, workspaces: usize, models: usize) -> Document {
    let names: Vec<_> = (0..models).map(|it| format!("model-{it}")).collect();
    let intents: Vec<_> = names
        .iter()
        .map(|model| {
            json!({
                "name": format!("to-{model}"),
                "models": [model],
                "kinds": [{ "op": "equals", "label": "name", "value": "chat" }],
                "upstreams": [{ "op": "equals", "label": "model", "value": model }],
            })
        })
        .collect();
    let workspaces: Vec<_> = (0..workspaces)
        .map(|it| json!({ "name": format!("workspace-{it}"), "key_sha256": "0".repeat(64) }))
        .collect();
    let json = json!({
        "generation": generation,
        "workspaces": workspaces,
        "kinds": [
            { "name": "chat", "repeatable": true },
            { "name": "call", "repeatable": false },
        ],
        "models": names,
        "intents": intents,
    });
    Document::parse(&json.to_string()).expect("the document is right")
}

/// The list of `count` hosts, dealt over `models` models and `domains` failure
/// domains.
pub fn hosts(count: usize, models: usize, domains: usize) -> Vec<Host> {
    (0..count)
        .map(|place| Host {
            name: format!("engine-{place}").into(),
            entry: "".into(),
            address: format!("10.{}.{}.{}:7001", place >> 16, place >> 8 & 255, place & 255).into(),
            domain: format!("domain-{}", place % domains).into(),
            labels: BTreeMap::from([("model".into(), format!("model-{}", place % models).into())]),
            leaving: false,
            slots: 0,
            born: 0,
        })
        .collect()
}
