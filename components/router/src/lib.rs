//! The router process: I/O around the state machine of the `routing` crate.
//!
//! Everything but the wait for signals runs on the one thread of the HTTP server, so no state is
//! shared between threads.

mod announcement;
mod answer;
mod background;
mod bodies;
mod body;
mod clients;
mod collected;
mod collection;
mod core;
mod crashes;
mod decisions;
mod direct;
mod error;
mod feed;
mod fleet;
mod headers;
mod hints;
mod http;
mod ingress;
mod key;
mod lateness;
mod peers;
mod permits;
mod persistence;
mod prompt;
mod query_client;
mod query_server;
mod relay;
mod report;
mod saturation;
mod server;
mod stop;
mod stream_records;
mod streams;
mod target;
mod template;
mod watch_scope;
mod watchdog;

pub use error::Error;
pub use server::Router;
