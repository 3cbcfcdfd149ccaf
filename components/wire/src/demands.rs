//! The demand for a saturated pool.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shares::Summary;

/// The demand for a saturated pool at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demands {
    /// The router.
    pub router: Arc<str>,
    /// The pool of upstreams.
    pub pool: Arc<str>,
    /// The requests for the pool, by workspace and priority.
    pub summary: Summary,
}
