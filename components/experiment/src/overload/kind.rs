//! The kinds of request that callers send.

use clock::Millis;

/// A kind of request: sizes in tokens and events, times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub name: &'static str,
    /// Of 100 requests, how many are of this kind.
    pub percent: u32,
    /// The priority: lower is more urgent.
    pub priority: i32,
    /// Within which time the answer should begin.
    pub objective: Millis,
    /// When the caller gives up.
    pub deadline: Millis,
    /// The part of the prompt that others share.
    pub shared: u64,
    /// The rest of the prompt.
    pub own: u64,
    /// The events of an answer.
    pub events: u64,
    /// How many different shared parts there are.
    pub chats: u64,
}

/// The shape of the traffic on the platform: long prompts, chats, and short answers to
/// prompts of a middle size.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "long",
        percent: 25,
        priority: 1,
        objective: Millis(600),
        deadline: Millis(12_000),
        shared: 8_000,
        own: 1_000,
        events: 40,
        chats: 20,
    },
    Kind {
        name: "chat",
        percent: 35,
        priority: 0,
        objective: Millis(300),
        deadline: Millis(10_000),
        shared: 600,
        own: 130,
        events: 30,
        chats: 60,
    },
    Kind {
        name: "brief",
        percent: 40,
        priority: 2,
        objective: Millis(400),
        deadline: Millis(2_500),
        shared: 1_500,
        own: 300,
        events: 3,
        chats: 60,
    },
];

/// The intents, kinds and workspaces, as an operator would write them.
pub(crate) fn document() -> serde_json::Value {
    let equals = |label: &str, value: &str| serde_json::json!([{ "op": "equals", "label": label, "value": value }]);
    let kind =
        |it: &Kind| serde_json::json!({ "name": it.name, "repeatable": true, "keyless": true });
    let intent = |it: &Kind| {
        serde_json::json!({
            "name": it.name,
            "kinds": equals("name", it.name),
            "upstreams": equals("service", "engine"),
            "priority": it.priority,
            "deadline_ms": it.deadline.0,
            "objective_ms": it.objective.0,
            "attempts": 2,
        })
    };
    serde_json::json!({
        "generation": 1,
        "workspaces": [{ "name": "w", "key_sha256": "0".repeat(64) }],
        "models": ["m"],
        "kinds": KINDS.iter().map(kind).collect::<Vec<_>>(),
        "intents": KINDS.iter().map(intent).collect::<Vec<_>>(),
    })
}
