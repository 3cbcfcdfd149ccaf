//! One request on its way.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use shares::Standing;

use crate::beliefs::outlook::Estimate;
use crate::{Arrival, Exclusion, IdempotencyKey, Try};

/// How far the current attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The owner of the key is being looked up.
    Binding,
    /// Not sent yet: its upstream is reading what it shares with another.
    Waiting,
    /// Not sent yet: its pool is short, and the pool's owner is asked for a place.
    Claiming,
    /// Sent; the sidecar has not said anything.
    Sent,
    /// The sidecar has taken it.
    Admitted,
    /// The head of the answer was passed on.
    Answering { chunks: u64, bytes: u64 },
}

/// How a request stands with the owner of its pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Permit {
    /// It has asked for none.
    #[default]
    None,
    /// It has asked, under this number.
    Claimed(u64),
    /// It holds the permit of this number.
    Held(u64),
    /// It goes without a permit, by this router's own part.
    Local,
}

/// The state of a request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub arrival: Arrival,
    pub arrived: Millis,
    /// How old the proof was that the configuration in force is the newest.
    pub proof_ms: Option<u64>,
    /// The view on its pool when it came.
    pub estimate: Estimate,
    /// The status of the answer that was passed on.
    pub status: Option<u16>,
    /// When the head of the answer was passed on, and when the last part was.
    pub answered_at: Option<Millis>,
    pub relayed_at: Option<Millis>,
    /// The longest that the caller waited between two parts.
    pub longest_gap: Millis,
    pub deadline: Millis,
    /// The time to an answer, or to its first event, that callers hope for.
    pub objective_ms: Option<u64>,
    /// Until when it may wait for another request's reading.
    pub wait_until: Millis,
    pub phase: Phase,
    pub repeatable: bool,
    /// Whether a broken answer may be continued at another upstream.
    pub resumable: bool,
    /// The most upstreams that it may be sent to.
    pub max_attempts: u32,
    /// The pool whose retry budget it draws on.
    pub pool: Arc<str>,
    pub priority: i32,
    pub intent: Arc<str>,
    pub generation: u64,
    /// The candidates not tried yet, the next one last.
    pub candidates: Vec<Arc<str>>,
    pub exclusions: Vec<Exclusion>,
    /// The chat's first upstream in rank, which keeps its directory entry.
    pub home: Option<Arc<str>>,
    /// The first in rank, where the chat's context is warm if anywhere.
    pub first_ranked: Option<Arc<str>>,
    /// Where the home said that the chat's context is.
    pub hints: Vec<Arc<str>>,
    pub tries: Vec<Try>,
    /// How its workspace stood to its share when it was turned away.
    pub standing: Option<Standing>,
    /// Its place in a pool that is short.
    pub permit: Permit,
    /// Upstreams where it was granted a place that it can't use.
    pub unusable: Vec<Arc<str>>,
}

impl Request {
    pub(crate) fn attempt_number(&self) -> u32 {
        u32::try_from(self.tries.len()).unwrap_or(u32::MAX)
    }

    /// How many upstreams the request has been sent to; one that no connection
    /// led to is none.
    pub(crate) fn reached_count(&self) -> u32 {
        let reached = self.tries.iter().filter(|it| it.error != Some(Kind::Unreachable));
        u32::try_from(reached.count()).unwrap_or(u32::MAX)
    }

    /// The head of an answer is passed on.
    pub(crate) fn start_answer(&mut self, status: u16, now: Millis) {
        self.phase = Phase::Answering { chunks: 0, bytes: 0 };
        self.status = Some(status);
        self.answered_at = Some(now);
    }

    /// A part of an answer is passed on.
    pub(crate) fn record_chunk(&mut self, now: Millis) {
        let pause = self.relayed_at.map_or(Millis::ZERO, |it| it.until(now));
        self.longest_gap = self.longest_gap.max(pause);
        self.relayed_at = Some(now);
    }

    pub(crate) fn idempotency_key(&self) -> Option<&IdempotencyKey> {
        self.arrival.idempotency_key.as_ref()
    }

    /// Where the current attempt went.
    pub(crate) fn upstream(&self) -> Option<&Arc<str>> {
        self.tries.last().map(|it| &it.upstream)
    }

    /// The error of an attempt that may have run, if there was one.
    pub(crate) fn uncertain_error(&self) -> Option<Kind> {
        let mut errors = self.tries.iter().filter_map(|it| it.error);
        errors.find(|kind| kind.row().outcome != Outcome::NotRun)
    }

    pub(crate) fn is_answering(&self) -> bool {
        matches!(self.phase, Phase::Answering { .. })
    }
}
