//! Simulations of overload: routers that send requests to a few engines directly, under
//! named patterns of load.
//!
//! The routers are instances of [`routing::State`]; [`engine`] models the batch, prefill,
//! cache and queue of an engine. Callers time out at their deadlines and retry once after a
//! refusal. A run is deterministic for its seed.

mod engine;
mod fleet;
mod kind;
mod pattern;
mod report;

pub use pattern::Pattern;
pub use report::{Report, Second};

use routing::Mechanisms;

/// Simulates `pattern` with the given `mechanisms` enabled.
pub fn run(pattern: Pattern, mechanisms: Mechanisms, seed: u64) -> Report {
    fleet::Fleet::new(pattern, mechanisms, seed).run()
}
