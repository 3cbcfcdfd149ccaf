//! What an operator may set about a sidecar's decisions.

use placement::Bound;
use serde::{Deserialize, Serialize};

/// The settings of the reducer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The load bound.
    pub bound: Bound,
    /// The most requests that run at a time.
    pub slots: usize,
    /// The most requests that wait.
    pub queue: usize,
    /// How long a load report counts, in milliseconds.
    pub report_keep_ms: u64,
    /// How long a small change of load may wait for its report, in
    /// milliseconds.
    pub report_every_ms: u64,
    /// How long a large change of load may wait for its report, in
    /// milliseconds.
    pub report_soon_ms: u64,
    /// The most chats whose context is known to be elsewhere.
    pub chats: usize,
    /// The most idempotency keys remembered; no further one is taken above it.
    pub keys: usize,
    /// The most bytes of stored answers; the oldest are dropped above it.
    pub answers_bytes: usize,
    /// The largest stored answer of one key, in bytes.
    pub answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bound: Bound::default(),
            slots: 64,
            queue: 64,
            report_keep_ms: 3_000,
            report_every_ms: 250,
            report_soon_ms: 50,
            chats: 8_192,
            keys: 200_000,
            answers_bytes: 16 * 1024 * 1024,
            answer_bytes: 1024 * 1024,
        }
    }
}
