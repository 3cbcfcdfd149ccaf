//! The whole path in one process, on stand-ins and loopback ports.

mod fleet;
mod traffic;

pub use fleet::{Error, Fleet, Size};
pub use traffic::{Summary, run};
