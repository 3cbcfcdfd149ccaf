//! State of a request in flight.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use shares::Standing;

use crate::requests::continuation::Binding;
use crate::upstreams::estimate::Estimate;
use crate::{Arrival, Exclusion, IdempotencyKey, Try};

/// The statuses of success.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// Progress of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The owner of the idempotency key is being resolved.
    Binding,
    /// Not sent: postponed while another request prefills the same prefix.
    Postponed,
    /// Not sent: the pool is saturated, and a permit was claimed.
    Claiming,
    /// Not sent: the build that began the caller's stream is looked up at other routers.
    Locating,
    /// Sent; nothing received yet.
    Sent,
    /// Admitted by the sidecar.
    Admitted,
    /// The head of the answer was sent to the caller.
    Answering { chunks: u64, bytes: u64 },
}

/// Permit for a slot in a saturated pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Permit {
    /// None was claimed.
    #[default]
    None,
    /// Claimed with this number.
    Claimed(u64),
    /// Held; the number is the claim's.
    Held(u64),
    /// Not needed: the request continues without a permit.
    Waived,
}

/// A request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub arrival: Arrival,
    pub arrived: Millis,
    /// Age of the configuration's confirmation on arrival, in milliseconds.
    pub proof_ms: Option<u64>,
    /// Load estimates of the pool, as of the last ranking.
    pub estimate: Estimate,
    /// HTTP status of the answer.
    pub status: Option<u16>,
    /// When the head and the last part of the answer were sent to the caller.
    pub answered_at: Option<Millis>,
    pub relayed_at: Option<Millis>,
    /// Longest gap between two parts of the answer.
    pub longest_gap: Millis,
    pub deadline: Millis,
    /// Target time until the answer, or its first event, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Until when it may be postponed for another request's prefill.
    pub postpone_until: Millis,
    pub phase: Phase,
    pub repeatable: bool,
    /// Whether a broken answer may be continued at another upstream.
    pub resumable: bool,
    /// The build that began the answer; the rest of the answer may come from no other.
    pub binding: Option<Binding>,
    /// Maximum number of upstreams it may be sent to.
    pub max_attempts: u32,
    /// Pool whose retry budget it uses.
    pub pool: Arc<str>,
    pub priority: i32,
    pub intent: Arc<str>,
    pub generation: u64,
    /// Candidates not tried yet, the next one last.
    pub candidates: Vec<Arc<str>>,
    pub exclusions: Vec<Exclusion>,
    /// First upstream in rank, which keeps the chat's directory entry.
    pub home: Option<Arc<str>>,
    /// First upstream in rank, which most likely has the chat's context cached.
    pub first_ranked: Option<Arc<str>>,
    /// Upstreams that have the chat's context, according to its home.
    pub hints: Vec<Arc<str>>,
    pub tries: Vec<Try>,
    /// Standing of the workspace when the request was refused.
    pub standing: Option<Standing>,
    pub permit: Permit,
    /// Upstreams whose permits could not be used.
    pub unusable: Vec<Arc<str>>,
}

impl Request {
    pub(crate) fn attempt_number(&self) -> u32 {
        u32::try_from(self.tries.len()).unwrap_or(u32::MAX)
    }

    /// Number of upstreams the request was sent to, without failed connections.
    pub(crate) fn reached_count(&self) -> u32 {
        let reached = self.tries.iter().filter(|attempt| attempt.error != Some(Kind::Unreachable));
        u32::try_from(reached.count()).unwrap_or(u32::MAX)
    }

    /// Marks the head of the answer as sent to the caller.
    pub(crate) fn start_answer(&mut self, status: u16, now: Millis) {
        self.phase = Phase::Answering { chunks: 0, bytes: 0 };
        self.status = Some(status);
        self.answered_at = Some(now);
    }

    /// Marks a part of the answer as sent to the caller.
    pub(crate) fn record_chunk(&mut self, now: Millis) {
        let gap = self.relayed_at.map_or(Millis::ZERO, |relayed_at| relayed_at.until(now));
        self.longest_gap = self.longest_gap.max(gap);
        self.relayed_at = Some(now);
        if let Some(last) = self.tries.last_mut() {
            last.began.get_or_insert(now);
        }
    }

    pub(crate) fn idempotency_key(&self) -> Option<&IdempotencyKey> {
        self.arrival.idempotency_key.as_ref()
    }

    /// Upstream of the current attempt.
    pub(crate) fn upstream(&self) -> Option<&Arc<str>> {
        self.tries.last().map(|attempt| &attempt.upstream)
    }

    /// Error of an attempt that may have run, if any.
    pub(crate) fn uncertain_error(&self) -> Option<Kind> {
        let mut errors = self.tries.iter().filter_map(|attempt| attempt.error);
        errors.find(|kind| kind.row().outcome != Outcome::NotRun)
    }

    /// Whether the answer has a status of success.
    pub(crate) fn is_success(&self) -> bool {
        self.status.is_some_and(|status| SUCCESS.contains(&status))
    }

    pub(crate) fn is_answering(&self) -> bool {
        matches!(self.phase, Phase::Answering { .. })
    }
}
