//! Routing intents: documents, selectors and their compiled form.
//!
//! An operator's [`Document`] contains workspaces, kinds of requests, models and
//! labels of upstreams, and the intents that define which requests may go to
//! which upstreams. [`Plan::compile`] validates a document and prepares it for
//! lookups with [`Plan::find`].

mod check;
mod digest;
mod document;
mod error;
mod keys;
mod matches;
mod plan;
mod selector;

pub use digest::digest;
pub use document::{
    DEFAULT_DEADLINE_MS, Document, Intent, Kind, Location, MAX_DEADLINE_MS, Pool, Share,
    UpstreamLabels, Workspace,
};
pub use error::Error;
pub use plan::{Miss, Plan, Target};
pub use selector::{Labels, Selector};
