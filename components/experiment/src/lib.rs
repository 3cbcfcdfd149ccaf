//! Simulations and cost measurements of the router and sidecar state machines.
//!
//! [`Simulation`] passes frames between instances of [`routing::State`] and
//! [`admission::State`] through an event queue with delays, and measures their
//! combined decisions. [`slopes`] measures their processing time and memory.

mod cache;
mod document;
pub mod overload;
pub mod placement;
mod queue;
mod simulation;
pub mod slopes;
pub mod surge;

pub use document::{document, hosts};
pub use queue::Queue;
pub use simulation::{Churn, Load, Outage, Outcome, Setup, Simulation};
