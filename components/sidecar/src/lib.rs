//! The sidecar process: the edge around the `admission` reducer.
//!
//! Routers reach it over the link, operators over HTTP. All work happens on
//! the thread that calls [`Sidecar::run`]; the HTTP pages have one of their
//! own and see the state through a lock that is never held across a wait.

mod admin;
mod call;
mod core;
mod error;
mod peers;
mod server;
mod upstream;

pub use error::Error;
pub use server::Sidecar;
