//! Load at its worst: routers that reach a few engines directly, under named patterns of
//! load.
//!
//! The routers are real reducers; engines are a model of batch, reading, cache and queue
//! ([`engine`]). Callers give up at their deadlines and come back once after a refusal, as
//! they are told. Everything is drawn from one seed, so that a run is the same every time.

mod engine;
mod fleet;
mod kind;
mod pattern;
mod report;

pub use pattern::Pattern;
pub use report::{Report, Second};

use routing::Mechanisms;

/// Plays `pattern`, with `mechanisms` in use, from `seed`.
pub fn run(pattern: Pattern, mechanisms: Mechanisms, seed: u64) -> Report {
    fleet::Fleet::new(pattern, mechanisms, seed).run()
}
