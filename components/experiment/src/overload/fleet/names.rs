//! The settings of routers, and the names of what there is.

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

/// The line of the platform's list for an engine that tells `slots`.
pub(super) fn host(engine: usize, slots: u64) -> Host {
    Host {
        name: name(engine),
        entry: "".into(),
        address: format!("{}:1", name(engine)).into(),
        domain: "d".into(),
        labels: [("service", "engine"), ("model", "m")].map(|(a, b)| (a.into(), b.into())).into(),
        leaving: false,
        slots,
        born: 0,
    }
}

pub(super) fn name(engine: usize) -> Arc<str> {
    format!("engine-{engine}").into()
}

pub(super) fn router_name(router: usize) -> Arc<str> {
    format!("router-{router}").into()
}

/// The number of the engine of that name.
pub(super) fn place(name: &str) -> usize {
    name.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// The number of the engine at that address.
pub(super) fn source(address: &str) -> usize {
    place(address.split(':').next().unwrap_or_default())
}

/// The hash of the part of a prompt that a caller shares with others.
pub(super) fn part(caller: &Caller) -> u64 {
    placement::key(caller.kind.name, &caller.chat.to_string())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few seconds, not negative"
)]
pub(super) fn whole(ms: f64) -> Millis {
    Millis(ms.round() as u64)
}
