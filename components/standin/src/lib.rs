//! Stand-ins for outside systems: a model engine, a plain service, the
//! platform's list of hosts and its key-value store.
//!
//! Each implements the published protocol of the system, runs on a thread of its
//! own and supports fault injection. They are used by tests, benchmarks and the
//! local binary, and are not part of the router and the sidecar.

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
