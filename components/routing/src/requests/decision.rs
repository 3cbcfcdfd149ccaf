//! Records of decisions, for the explain endpoint.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use serde::Serialize;
use shares::Standing;

use crate::requests::continuation::Binding;
use crate::{Continuation, Prefix};

/// How a request was routed, or why it did not run.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// Public request id.
    pub request: Arc<str>,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Kind of the request.
    pub kind: Arc<str>,
    /// Fingerprint of the requested work.
    pub content: u64,
    /// Requested model, if any.
    pub model: Option<Arc<str>>,
    /// The intent that applied, if any.
    pub intent: Option<Arc<str>>,
    /// The stream that the caller continues, if any.
    pub continuation: Option<Continuation>,
    /// The build that began the answer, if it is known or needed.
    pub binding: Option<Binding>,
    /// Generation of the configuration.
    pub generation: u64,
    /// Age of the configuration's confirmation, in milliseconds; none if it was never confirmed.
    pub proof_ms: Option<u64>,
    /// Arrival time.
    pub came: Millis,
    /// When the status and headers were sent to the caller.
    pub answered: Option<Millis>,
    /// Longest gap between two parts of the answer.
    pub pause: Millis,
    /// When the request ended.
    pub ended: Millis,
    /// The longest shared prefix, if any.
    pub shared: Option<Prefix>,
    /// Hashes of the parts of the prompt that other requests may share.
    pub parts: Vec<u64>,
    /// Exclusions of the best excluded upstreams.
    pub passed: Vec<Exclusion>,
    /// The attempts, in order.
    pub tries: Vec<Try>,
    /// Name of the pool; empty if none was found.
    pub pool: Arc<str>,
    /// Standing of the workspace in the pool when the request was refused.
    pub standing: Option<Standing>,
    /// HTTP status of the answer.
    pub status: Option<u16>,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The error, if any.
    pub error: Option<Kind>,
    /// Details of the error.
    pub detail: Arc<str>,
}

impl Decision {
    /// The attempts that continued an answer, each with whether its upstream ran the version that
    /// began the answer.
    pub fn continuations(&self) -> impl Iterator<Item = bool> {
        let first = self.tries.iter().rfind(|attempt| attempt.part == Part::Whole);
        let began = first.map(|attempt| &attempt.version);
        let continued = self.tries.iter().filter(|attempt| attempt.part == Part::Rest);
        continued.map(move |attempt| Some(&attempt.version) == began)
    }
}

/// An upstream that was excluded from the selection.
#[derive(Clone, Debug, Serialize)]
pub struct Exclusion {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Reason for the exclusion.
    pub why: &'static str,
}

/// Which part of an answer an attempt asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// All of it, or for a caller that continues a stream all that the caller lacks.
    Whole,
    /// What earlier attempts have not delivered.
    Rest,
}

/// One attempt.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Version of its software when the attempt was sent.
    pub version: Arc<str>,
    /// Which part of the answer it asks for.
    pub part: Part,
    /// When the attempt was sent.
    pub sent: Millis,
    /// When a frame was last received, or the attempt was sent.
    #[serde(skip)]
    pub(crate) last_received: Millis,
    /// Estimated load of the upstream, without this request.
    pub load: u64,
    /// Estimated number of requests queued before this one.
    pub queued: u64,
    /// Estimated wait for these, in milliseconds; zero if nothing is queued.
    pub wait_ms: f64,
    /// Tokens of the shared prefix to copy from another upstream.
    pub copied: u64,
    /// Tokens of the shared prefix to prefill.
    pub read: u64,
    /// Address of the upstream to copy the prefix from.
    pub warm: Option<Arc<str>>,
    /// The error of the attempt, if any.
    pub error: Option<Kind>,
    /// Whether the answer has not begun.
    #[serde(skip)]
    pub(crate) is_queued: bool,
    /// When the first part of the answer's body was received, if it was.
    #[serde(skip)]
    pub(crate) began: Option<Millis>,
    /// Whether the attempt exceeded the silence timeout.
    #[serde(skip)]
    pub(crate) is_silent: bool,
    /// The outcome counted for the upstream's health, if any: whether it is a success, and when it
    /// was recorded.
    #[serde(skip)]
    pub(crate) recorded_outcome: Option<(bool, Millis)>,
    /// Whether its load at the upstream was released.
    #[serde(skip)]
    pub(crate) is_released: bool,
}
