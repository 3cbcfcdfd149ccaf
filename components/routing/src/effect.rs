//! Output effects of the reducer.

use std::sync::Arc;

use clock::Millis;
use errors::{Answer, Kind};
use wire::{Beginning, Claim, DirectoryUpdate, Finish, Head, WarmPrefixes};

use crate::{Crash, Decision, Interruption, Owner};

/// An action for the router process to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Bind a key to `owner` in the platform's service, unless it has a key owner. Answered by
    /// `KeyBound` with the key's owner.
    BindKey {
        /// The key, unique within the workspace.
        key: Arc<str>,
        /// The proposed key owner.
        owner: Owner,
    },
    /// Send an attempt; replies to earlier attempts are ignored from now on.
    Send(Attempt),
    /// Send the status and headers to the caller.
    Head(Head),
    /// Send a part of the body to the caller.
    Relay(bytes::Bytes),
    /// Complete the answer to the caller.
    Finish,
    /// Answer the caller with an error.
    Fail(Answer),
    /// Abort an answer that has begun.
    Abort(Answer),
    /// Cancel the current attempt at the sidecar or upstream.
    Cancel,
    /// Store a decision for the explain endpoint.
    Record(Arc<Decision>),
    /// Update the directory entry of a chat, which the chat's home upstream keeps.
    UpdateDirectory {
        /// The chat's home: its first upstream in rank.
        upstream: Arc<str>,
        /// Address of its sidecar.
        address: Arc<str>,
        /// The new entry.
        update: DirectoryUpdate,
    },
    /// Report to the other routers which prefixes an upstream has cached or is prefilling.
    PublishPrefixes(WarmPrefixes),
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// Address of the upstream.
        address: Arc<str>,
    },
    /// Postpone sending the request; `Due` follows.
    Postpone(Millis),
    /// An upstream is suspect and receives no requests for now; for the log.
    Suspect {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Consecutive failures.
        failures: u32,
        /// Whether the last connection attempt succeeded.
        reachable: bool,
        /// End of the backoff.
        until: Millis,
    },
    /// A suspect upstream answers again; for the log.
    Recovered {
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// An upstream announced that it is leaving; for the log.
    Leaving {
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// An upstream asked for a backoff; for the log.
    Backoff {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Length of the backoff.
        duration: Millis,
    },
    /// Check whether an upstream still accepts connections after a request broke off. Answered by
    /// `Checked`.
    Check {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Address to connect to.
        address: Arc<str>,
    },
    /// A request was interrupted at an upstream that has crashed; for the log.
    Interrupted(Interruption),
    /// Report crashes to all routers, including those that start later.
    ReportCrashes(Vec<Crash>),
    /// Report to all routers, including those that start later, that work is cleared: it was
    /// answered in full, so it is not quarantined.
    ReportCleared(Crash),
    /// Work is quarantined; for the log.
    Quarantine {
        /// Hash of the work.
        fingerprint: u64,
        /// How long it stays quarantined.
        duration: Millis,
    },
    /// Requests whose prompts have all of these parts are quarantined; for the log.
    QuarantineParts {
        /// Hashes of the parts.
        parts: Vec<u64>,
        /// How long they stay quarantined.
        duration: Millis,
    },
    /// A set of prompt parts is no longer quarantined; for the log.
    ReleaseParts {
        /// Hashes of the parts.
        parts: Vec<u64>,
    },
    /// Connect to an upstream's sidecar.
    Connect {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Address of the sidecar.
        address: Arc<str>,
    },
    /// Ask the pool owner of a saturated pool for a permit. Answered by `Granted`, `Denied` or
    /// `Unanswered`.
    Claim {
        /// Name of the pool.
        pool: Arc<str>,
        /// The claim to send.
        claim: Claim,
    },
    /// Release a permit, or withdraw a claim.
    Release {
        /// Name of the pool.
        pool: Arc<str>,
        /// Number of the claim and its permit.
        number: u64,
        /// How the permit was used.
        end: Finish,
        /// How long the attempt took at the upstream.
        elapsed: Millis,
    },
    /// Report to the pool owner that the pool refuses requests for lack of free slots.
    ReportSaturation {
        /// Name of the pool.
        pool: Arc<str>,
    },
    /// Find the record of a stream at the routers that keep it. Answered by `Found`.
    FindStream {
        /// Hash of the stream.
        stream: u64,
        /// The intent that applies to the request.
        intent: Arc<str>,
    },
    /// Send the record of a stream to the routers that keep it.
    PublishBeginning {
        /// The record.
        beginning: Beginning,
        /// The intent that applies to the request.
        intent: Arc<str>,
    },
    /// No requests are left in flight after a drain.
    Drained,
}

/// One attempt to send a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Address of its sidecar, or of the upstream itself where it is reached directly.
    pub address: Arc<str>,
    /// Incarnation that may run the request; zero allows any.
    pub incarnation: u64,
    /// Load of the request, in tokens.
    pub weight: u64,
    /// Priority of the intent.
    pub priority: i32,
    /// Time left until the request's deadline.
    pub remaining: Millis,
    /// Time within which the sidecar must answer; for an upstream reached directly, the longest
    /// silence at any time.
    pub timeout: Millis,
    /// Generation of the configuration that the decision is based on.
    pub generation: u64,
    /// Hash of workspace and chat.
    pub chat: u64,
    /// Whether the sidecar looks up the chat in its directory.
    pub is_home: bool,
    /// Address of another upstream that has the prompt's prefix cached.
    pub copy_from: Option<Arc<str>>,
    /// Whether the upstream continues an answer that another one began.
    pub resume: bool,
    /// Whether to open a new connection, because idle ones may have stopped answering.
    pub new_connection: bool,
}

impl Effect {
    pub(crate) fn answer(kind: Kind, request: &str, retry_after_ms: u64, detail: &str) -> Answer {
        Answer::new(kind, request, retry_after_ms, detail)
    }
}
