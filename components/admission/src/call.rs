//! One attempt of a request at this sidecar.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use wire::Open;

/// Where a call stands.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// It waits for a slot.
    Queued(Box<Open>),
    /// It was handed to the upstream, which has not answered.
    Running,
    /// The upstream answers.
    Answering,
}

/// A call from its admission to its last frame.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub attempt: u32,
    pub workspace: Arc<str>,
    pub priority: i32,
    pub weight: u64,
    pub started: Millis,
    pub deadline: Millis,
    pub key: Option<Arc<str>>,
    pub stage: Stage,
    pub chunks: u64,
    pub bytes: u64,
    /// Whether the router still wants the answer.
    pub wanted: bool,
    /// What the upstream has answered so far, for a call with a key.
    pub answer: Answer,
}

/// An answer as it is kept for repeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub status: u16,
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    pub chunks: Vec<Bytes>,
    pub size: usize,
}

impl Call {
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued(_))
    }
}
