//! The kinds of requests.

use clock::Millis;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub name: &'static str,
    /// The share of all requests.
    pub percent: u32,
    /// The priority; lower is more urgent.
    pub priority: i32,
    /// The target for the time to the first event.
    pub objective: Millis,
    /// The time after which the caller cancels the request.
    pub deadline: Millis,
    /// The length of the shared prefix.
    pub prefix_tokens: u64,
    /// The length of the prompt after the prefix.
    pub own_tokens: u64,
    /// The number of events of an answer.
    pub events: u64,
    /// The number of different prefixes.
    pub chats: u64,
}

/// The traffic: long prompts, chats, and short answers to prompts of medium length.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "long",
        percent: 25,
        priority: 1,
        objective: Millis(600),
        deadline: Millis(12_000),
        prefix_tokens: 8_000,
        own_tokens: 1_000,
        events: 40,
        chats: 20,
    },
    Kind {
        name: "chat",
        percent: 35,
        priority: 0,
        objective: Millis(300),
        deadline: Millis(10_000),
        prefix_tokens: 600,
        own_tokens: 130,
        events: 30,
        chats: 60,
    },
    Kind {
        name: "brief",
        percent: 40,
        priority: 2,
        objective: Millis(400),
        deadline: Millis(2_500),
        prefix_tokens: 1_500,
        own_tokens: 300,
        events: 3,
        chats: 60,
    },
];

/// Returns an intents document for the kinds.
pub(crate) fn document() -> serde_json::Value {
    let equals = |label: &str, value: &str| serde_json::json!([{ "op": "equals", "label": label, "value": value }]);
    let kind =
        |kind: &Kind| serde_json::json!({ "name": kind.name, "repeatable": true, "keyless": true });
    let intent = |kind: &Kind| {
        serde_json::json!({
            "name": kind.name,
            "kinds": equals("name", kind.name),
            "upstreams": equals("service", "engine"),
            "priority": kind.priority,
            "deadline_ms": kind.deadline.0,
            "objective_ms": kind.objective.0,
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
