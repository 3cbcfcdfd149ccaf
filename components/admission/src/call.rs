//! An attempt of a request at this sidecar.

use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use wire::Open;

/// The progress of a call.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Waiting for a slot.
    Queued(Box<Open>),
    /// Sent to the upstream, without an answer yet.
    Running,
    /// Receiving the answer.
    Answering,
}

/// A call from its admission to its last frame.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub attempt: u32,
    pub workspace: Arc<str>,
    pub priority: i32,
    pub weight: u64,
    /// When it was sent to the upstream, or admitted while it is queued.
    pub started: Millis,
    pub deadline: Millis,
    pub key: Option<Arc<str>>,
    pub stage: Stage,
    pub chunks: u64,
    pub bytes: u64,
    /// Whether the router still awaits the answer.
    pub awaited: bool,
    /// The answer so far, for a call with an idempotency key.
    pub answer: Answer,
}

/// An answer that is stored for repeated requests.
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
