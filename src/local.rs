//! A complete fleet in one process, with stand-ins for upstreams, on loopback ports.

mod fleet;
mod traffic;

pub use fleet::{Error, Fleet, Size};
pub use traffic::{Summary, run};
