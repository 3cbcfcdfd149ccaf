//! What routers tell each other of a pool that is short.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shares::Summary;

/// What is asked of a pool that is short, as one router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demands {
    /// The router.
    pub router: Arc<str>,
    /// The pool of upstreams.
    pub pool: Arc<str>,
    /// What it tells.
    pub summary: Summary,
}
