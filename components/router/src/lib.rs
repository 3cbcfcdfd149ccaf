//! The router process: the edge around the `routing` reducer.
//!
//! Everything but the wait for signals happens on the one thread of the HTTP
//! server, so that no state is shared between threads.

mod announcement;
mod answer;
mod background;
mod body;
mod core;
mod crashes;
mod decisions;
mod direct;
mod error;
mod extent;
mod feed;
mod fleet;
mod headers;
mod hearing;
mod hints;
mod http;
mod ingress;
mod key;
mod memory;
mod peers;
mod places;
mod prompt;
mod reach;
mod relay;
mod report;
mod server;
mod shared;
mod shares;
mod target;
mod telling;
mod template;

pub use error::Error;
pub use server::Router;
