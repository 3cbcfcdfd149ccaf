//! The interface between a router and the platform that it runs on.
//!
//! An adapter to a platform implements [`Dialect`], which parses and writes the
//! headers of callers and upstreams, and [`Store`], which accesses the platform's
//! key-value store. The signatures of the traits contain no types of a platform.

mod dialect;
mod store;

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

pub use dialect::{Dialect, Dispatch, Feedback, Header, Headers, Load, Metadata, Prefix, find};
pub use store::{Announcement, Batch, BatchFuture, Era, Error, Fact, Lease, Revision, Store};
pub use wire::Peer;

/// Creates the adapter; called on the thread that uses it, as adapters are not `Send`.
pub type Connect = Arc<dyn Fn() -> LocalBoxFuture<'static, Result<Adapter, String>> + Send + Sync>;

/// The adapter of a router to its platform.
#[derive(Clone)]
pub struct Adapter {
    /// Parses and writes the headers of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// The key-value store.
    pub store: Rc<dyn Store>,
    /// The path of the platform's readiness checks.
    pub ready_path: &'static str,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Adapter").finish_non_exhaustive()
    }
}
