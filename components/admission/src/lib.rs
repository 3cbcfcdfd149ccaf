//! Admission control of a sidecar: which requests run at its upstream, and when.
//!
//! All requests to the upstream pass through its sidecar, so its counts of running requests are
//! exact, and a request that it refused never runs. [`State`] is a reducer without I/O:
//! [`State::apply`] takes an [`Event`] and the time, and returns the [`Effect`]s to carry out.

mod call;
mod directory;
mod event;
mod keys;
mod pool;
mod queue;
mod settings;
mod state;

pub use event::{CallId, Effect, Event, Peer};
pub use settings::Settings;
pub use state::State;
