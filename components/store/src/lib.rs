//! The platform's services at the edge of a process.
//!
//! [`Hosts`] reads the lagging list of live and leaving hosts; [`Store`] speaks
//! the JSON over HTTP form of the etcd v3 key-value service.

mod error;
mod hosts;
mod store;

pub use error::Error;
pub use hosts::{Entry, Hosts, Update};
pub use store::Store;
