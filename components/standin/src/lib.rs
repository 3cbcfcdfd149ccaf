//! Small stand-ins for what the fleet meets: a model engine, a plain service,
//! the platform's list of hosts and its key-value service.
//!
//! Each speaks the published protocol of what it stands in for, runs on one
//! thread of its own and can be made to fail. They are for tests, measurements
//! and the laptop binary; the router and the sidecar never contain them.

mod cache;
mod engine;
mod hosts;
mod plain;
mod server;
mod store;
mod text;

pub use engine::{Engine, Fault as EngineFault, Settings as EngineSettings};
pub use hosts::Hosts;
pub use plain::PlainService;
pub use server::Server;
pub use store::{Fault as StoreFault, Store};
pub use text::{Prompt, answer};
