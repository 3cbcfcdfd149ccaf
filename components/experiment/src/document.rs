//! Generated intents documents and host lists.

use std::collections::BTreeMap;

use intents::Document;
use routing::Host;
use serde_json::json;

/// Returns a document with the given numbers of workspaces and models, and one
/// intent per model.
///
/// # Panics
///
/// Panics if the generated document is invalid, which would be a bug.
pub fn document(generation: u64, workspaces: usize, models: usize) -> Document {
    let names: Vec<_> = (0..models).map(|index| format!("model-{index}")).collect();
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
        .map(|index| json!({ "name": format!("workspace-{index}"), "key_sha256": "0".repeat(64) }))
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
    Document::parse(&json.to_string()).expect("the document is valid")
}

/// Returns `count` hosts, distributed evenly over the models and failure domains.
pub fn hosts(count: usize, models: usize, domains: usize) -> Vec<Host> {
    (0..count)
        .map(|index| Host {
            name: format!("engine-{index}").into(),
            entry: "".into(),
            address: format!("10.{}.{}.{}:7001", index >> 16, index >> 8 & 255, index & 255).into(),
            domain: format!("domain-{}", index % domains).into(),
            labels: BTreeMap::from([("model".into(), format!("model-{}", index % models).into())]),
            leaving: false,
            slots: 0,
            born: 0,
            version: "".into(),
        })
        .collect()
}
