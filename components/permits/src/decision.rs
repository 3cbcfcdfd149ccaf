//! What an owner tells of a pool: its decisions, and the pool at a glance.

use std::sync::Arc;

use clock::Millis;
use wire::Turn;

/// A decision for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The router that asked.
    pub router: Arc<str>,
    /// Its number for the request.
    pub number: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// What was decided.
    pub turn: Turn,
    /// How long it waited here.
    pub waited: Millis,
}

/// A pool at a glance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// How many permits may be out.
    pub limit: usize,
    /// How many are.
    pub in_flight: usize,
    /// How many requests wait.
    pub waiting: usize,
    /// How many requests the pool answers in 1,000 s.
    pub rate: u32,
}
