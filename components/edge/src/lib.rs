//! What an adapter to a platform implements.
//!
//! A [`Dialect`] reads and writes the headers of callers and upstreams, a
//! [`Store`] reads the platform's key-value service. Both speak of the
//! platform only in this project's own types, so that no other code knows the
//! platform's names. They are the two edges at which a router calls code that
//! differs between platforms.

mod dialect;
mod store;

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

pub use dialect::{Dialect, Header, Headers, Intake, Load, Part, Sending, Told, find};
pub use store::{Announcement, Batch, Era, Fact, Fault, Lease, Reading, Revision, Store};
pub use wire::Peer;

/// Makes the edges on the thread that serves.
pub type Connect = Arc<dyn Fn() -> LocalBoxFuture<'static, Result<Edges, String>> + Send + Sync>;

/// The edges of one router.
#[derive(Clone)]
pub struct Edges {
    /// The headers of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// The key-value service.
    pub store: Rc<dyn Store>,
    /// The path at which the platform asks whether a router is ready.
    pub ready: &'static str,
}

impl std::fmt::Debug for Edges {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Edges").finish_non_exhaustive()
    }
}
