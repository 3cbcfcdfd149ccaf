//! Shared by the processes of the fleet: sockets, HTTP client, signals and planned stops.

mod announce;
mod bind;
mod client;
mod connections;
mod hangup;
mod listener;
mod shutdown;

pub use announce::announce;
pub use bind::{Error, bind};
pub use client::{CONNECT_TIMEOUT, client};
pub use connections::{Connections, Evictions, Request};
pub use hangup::Hangup;
pub use listener::{ClosedEarly, Listener};
pub use shutdown::Shutdown;
