//! The settings of the routers, and the names of routers and engines.

use std::sync::Arc;

use clock::Millis;
use routing::{Bound, Host, Mechanisms, Path, Policy};

use super::Caller;

pub(super) fn settings(mechanisms: Mechanisms) -> routing::Settings {
    routing::Settings {
        path: Path::Direct,
        policy: Policy::Ranked,
        mechanisms,
        bound: Bound { multiple: 2.0, floor: 4, margin: 0.1, extra: 1 },
        known_bound: Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 2 },
        ..routing::Settings::default()
    }
}

/// Returns the host entry of an engine that publishes `slots`.
pub(super) fn host(engine: usize, slots: u64) -> Host {
    Host {
        name: engine_name(engine),
        entry: "".into(),
        address: format!("{}:1", engine_name(engine)).into(),
        domain: "d".into(),
        labels: [("service", "engine"), ("model", "m")]
            .map(|(label, value)| (label.into(), value.into()))
            .into(),
        leaving: false,
        slots,
        born: 0,
        version: "".into(),
    }
}

pub(super) fn engine_name(engine: usize) -> Arc<str> {
    format!("engine-{engine}").into()
}

pub(super) fn router_name(router: usize) -> Arc<str> {
    format!("router-{router}").into()
}

/// Returns the index of the engine with the given name.
pub(super) fn engine_index(name: &str) -> usize {
    name.rsplit('-').next().and_then(|index| index.parse().ok()).unwrap_or_default()
}

/// Returns the index of the engine at the given address.
pub(super) fn engine_at(address: &str) -> usize {
    engine_index(address.split(':').next().unwrap_or_default())
}

/// Returns the hash of the shared prefix of a caller's prompt.
pub(super) fn prefix_hash(caller: &Caller) -> u64 {
    placement::key(caller.kind.name, &caller.chat.to_string())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few seconds, not negative"
)]
pub(super) fn to_millis(ms: f64) -> Millis {
    Millis(ms.round() as u64)
}
