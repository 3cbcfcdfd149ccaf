//! What is kept of a request for explaining.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use serde::Serialize;
use shares::Standing;

use crate::Prefix;

/// Why a request went where it went, or did not run.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// The request's id.
    pub request: Arc<str>,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The kind of request.
    pub kind: Arc<str>,
    /// The hash of the work that was asked for.
    pub content: u64,
    /// The model, if one was asked for.
    pub model: Option<Arc<str>>,
    /// The intent that decided, if one did.
    pub intent: Option<Arc<str>>,
    /// The generation it was decided under.
    pub generation: u64,
    /// How long before the decision that generation was known to be the newest,
    /// in milliseconds; none where no proof is kept.
    pub proof_ms: Option<u64>,
    /// When the request came.
    pub came: Millis,
    /// When the head of its answer was passed on.
    pub answered: Option<Millis>,
    /// The longest that its caller waited between two parts of the answer.
    pub pause: Millis,
    /// When it got its final answer.
    pub ended: Millis,
    /// What it shares with other requests: the longest part, if it shares any.
    pub shared: Option<Prefix>,
    /// The first upstreams that were passed over, and why.
    pub passed: Vec<Exclusion>,
    /// The attempts, in order.
    pub tries: Vec<Try>,
    /// The pool that it was for; empty if none was found.
    pub pool: Arc<str>,
    /// How its workspace stood to its share of the pool when it was turned away.
    pub standing: Option<Standing>,
    /// The HTTP status of the answer that was passed on.
    pub status: Option<u16>,
    /// What is known about the run.
    pub outcome: Outcome,
    /// The error, if there was one.
    pub error: Option<Kind>,
    /// More on the error.
    pub detail: Arc<str>,
}

/// An upstream that was passed over.
#[derive(Clone, Debug, Serialize)]
pub struct Exclusion {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Why.
    pub why: &'static str,
}

/// One attempt.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// Where it went.
    pub upstream: Arc<str>,
    /// When it was sent.
    pub sent: Millis,
    /// When something last came in answer, or when it was sent.
    #[serde(skip)]
    pub(crate) last_received: Millis,
    /// The load that was believed to be there, this request left out.
    pub load: u64,
    /// How many requests were believed to wait there that it had to wait for.
    pub queued: u64,
    /// How long its answer was expected to take to begin, in milliseconds; zero where
    /// nothing waited.
    pub wait_ms: f64,
    /// How many tokens of what it shares were to be copied there.
    pub copied: u64,
    /// How many tokens of what it shares were to be read there.
    pub read: u64,
    /// The address that a copy of the prompt's cache was to come from.
    pub warm: Option<Arc<str>>,
    /// Why it failed, if it did.
    pub error: Option<Kind>,
    /// Whether its answer has not begun.
    #[serde(skip)]
    pub(crate) is_waiting: bool,
    /// Whether nothing came for too long.
    #[serde(skip)]
    pub(crate) is_silent: bool,
    /// What its outcome was counted as, if it has been.
    #[serde(skip)]
    pub(crate) recorded_outcome: Option<bool>,
    /// Whether it is no longer under way.
    #[serde(skip)]
    pub(crate) is_released: bool,
}
