//! The sidecar process: sockets, clients and timers around the `admission` reducer.
//!
//! Routers connect over the `link` protocol, operators over HTTP. Calls are served on
//! the thread that calls [`Sidecar::run`]. The admin server has its own thread and
//! reads the state under a lock, which is never held across an await.

mod admin;
mod call;
mod core;
mod error;
mod peers;
mod server;
mod upstream;

pub use error::Error;
pub use server::Sidecar;
