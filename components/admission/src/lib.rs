//! The sidecar's reducer: what may run at an upstream, and when.
//!
//! The sidecar is the only way into its upstream, so every promise about the
//! upstream is made true here: it counts its own work exactly, and what it has
//! refused never runs. [`State::apply`] takes one [`Event`] and the time, and
//! returns [`Effect`]s for the edge to carry out.

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
