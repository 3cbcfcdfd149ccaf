//! Clients of the platform's services.
//!
//! [`Hosts`] reads the list of live and leaving hosts; [`Store`] is a client of
//! the etcd v3 key-value service, in which routers bind idempotency keys.

mod error;
mod hosts;
mod store;

pub use error::Error;
pub use hosts::{Entry, Hosts, Update};
pub use store::Store;
