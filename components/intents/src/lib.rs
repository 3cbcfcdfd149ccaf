//! Routing intents: documents, selectors and their compiled form.
//!
//! An operator's [`Document`] names workspaces, kinds of request, models and
//! labels of upstreams, and holds the intents that say which work may go where.
//! [`Plan::compile`] checks a document in full and turns it into a form that
//! answers [`Plan::find`] by one look-up.

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
    DEFAULT_DEADLINE_MS, Document, Intent, Kind, Location, Pool, Share, Upstream, Workspace,
};
pub use error::Error;
pub use plan::{Miss, Plan, Target};
pub use selector::{Labels, Selector};
