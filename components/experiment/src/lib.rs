//! Many reducers in one process.
//!
//! Not a cluster simulator: an event queue with delays, a few hundred lines,
//! that carries the frames of real [`routing::State`]s and
//! [`admission::State`]s between each other. [`World`] measures what the
//! reducers decide together, [`slopes`] what they cost.

mod cache;
mod document;
pub mod overload;
pub mod placement;
mod queue;
pub mod slopes;
pub mod surge;
mod world;

pub use document::{document, hosts};
pub use queue::Queue;
pub use world::{Churn, Load, Loss, Outcome, Setup, World};
