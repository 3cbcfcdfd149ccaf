//! Settings of the reducer.

use placement::Bound;
use serde::{Deserialize, Serialize};

/// The settings of the reducer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The load bound.
    pub bound: Bound,
    /// The limit on running requests.
    pub slots: usize,
    /// The limit on waiting requests.
    pub queue: usize,
    /// How long a load report is valid, in milliseconds.
    pub report_keep_ms: u64,
    /// The longest delay of the report of a small change of load, in milliseconds.
    pub report_every_ms: u64,
    /// The longest delay of the report of a large change of load, in milliseconds.
    pub report_soon_ms: u64,
    /// The limit on chats in the directory.
    pub chats: usize,
    /// The limit on idempotency keys; new ones are refused beyond it.
    pub keys: usize,
    /// The limit on the total size of all stored answers, in bytes; the oldest are dropped beyond it.
    pub answers_bytes: usize,
    /// The limit on the size of one stored answer, in bytes.
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
