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

pub use dialect::{Dialect, Dispatch, Feedback, Header, Headers, Load, Metadata, Prefix, find};
pub use store::{Announcement, Batch, BatchFuture, Era, Error, Fact, Lease, Revision, Store};
pub use wire::Peer;

/// Makes the edges on the thread that serves.
pub type Connect = Arc<dyn Fn() -> LocalBoxFuture<'static, Result<Adapter, String>> + Send + Sync>;

/// The edges of one router.
#[derive(Clone)]
pub struct Adapter {
    /// The headers of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// The key-value service.
    pub store: Rc<dyn Store>,
    /// The path at which the platform asks whether a router is ready.
    pub ready_path: &'static str,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Adapter").finish_non_exhaustive()
    }
}
