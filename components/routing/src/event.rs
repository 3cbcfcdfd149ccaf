//! Input events of the reducer.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use intents::{Labels, Plan};
use serde::{Deserialize, Serialize};
use wire::{
    Admitted, Beginning, Broken, Build, Chunk, Delay, Demands, End, Frame, Head, Loads,
    Observations, Outcome, Refused, WarmPrefixes, Welcome,
};

use crate::{Crash, Liveness, Settings};

/// An input to [`State::apply`](crate::State::apply).
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete request arrived from a caller.
    Arrival(Arrival),
    /// An idempotency key was bound to its key owner.
    KeyBound {
        /// Internal id of the request.
        id: u64,
        /// The key owner; `None` if it could not be determined.
        owner: Option<Owner>,
    },
    /// A frame arrived in answer to an attempt.
    Reply {
        /// Internal id of the request.
        id: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The decoded frame.
        reply: Reply,
    },
    /// The connection of an attempt failed before the last frame.
    ConnectionFailed {
        /// Internal id of the request.
        id: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Whether any byte of the request may have reached the sidecar or upstream.
        sent: bool,
    },
    /// Nothing was received within the attempt's timeout.
    Stalled {
        /// Internal id of the request.
        id: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The caller closed its connection.
    Cancel {
        /// Internal id of the request.
        id: u64,
    },
    /// The request's deadline passed.
    Expire {
        /// Internal id of the request.
        id: u64,
    },
    /// The drain has ended, and the request has not.
    Interrupt {
        /// Internal id of the request.
        id: u64,
    },
    /// A new list of hosts from the platform; replaces the previous one.
    Hosts(Vec<Host>),
    /// A probe of the router's own lateness was started.
    ProbeStarted {
        /// The time at which it ends on a host that is not late.
        due: Millis,
    },
    /// The current probe has ended.
    ProbeEnded,
    /// Periodic timer: opens missing connections to sidecars.
    Tick,
    /// A connection to an upstream's sidecar was established.
    Connected(Welcome),
    /// The connection to an upstream's sidecar is still open.
    Alive {
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// An upstream's sidecar can't be reached.
    Unreachable {
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// The operator changed the settings.
    Settings(Box<Settings>),
    /// A new configuration.
    Configure(Arc<Plan>),
    /// The current configuration was confirmed to be the newest.
    ConfigurationConfirmed {
        /// The time at which it was the newest.
        at: Millis,
    },
    /// Number of routers in the fleet, including this one.
    RouterCount(usize),
    /// The routers that have announced themselves.
    Members {
        /// Name of this router.
        own: Arc<str>,
        /// Names of all announced routers.
        announced: BTreeSet<Arc<str>>,
    },
    /// The evacuated failure domains, which receive no requests; replaces the previous set.
    Evacuated(BTreeSet<Arc<str>>),
    /// An upstream has just started and takes few requests.
    Cold {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// How much longer it counts as cold.
        remaining: Millis,
    },
    /// The pool owner granted a permit for a slot.
    Granted {
        /// Internal id of the request.
        id: u64,
        /// Number of the claim.
        number: u64,
        /// Upstream that the permit is for.
        upstream: Arc<str>,
    },
    /// The permit was refused by the pool owner or, without its decision, by this router.
    Denied {
        /// Internal id of the request.
        id: u64,
        /// Number of the claim.
        number: u64,
        /// Time after which the caller may retry, in milliseconds.
        after_ms: u64,
    },
    /// The pool owner did not decide in time; the request may be sent without a permit.
    Unanswered {
        /// Internal id of the request.
        id: u64,
        /// Number of the claim.
        number: u64,
    },
    /// A pool refuses requests for lack of free slots, so that further ones need a permit.
    Saturated {
        /// Name of the pool.
        pool: Arc<str>,
        /// How long this holds unless it is renewed; zero ends it.
        duration: Millis,
    },
    /// An upstream announced in an answer that it is leaving.
    Leaving {
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// An upstream asked in an answer for a backoff.
    Backoff {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Length of the backoff.
        duration: Millis,
    },
    /// An upstream reported its load in an answer.
    Load {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Requests that run or are queued there.
        requests: u64,
        /// Queued requests among these: those whose answers have not begun.
        waiting: u64,
    },
    /// An upstream reported in an answer how long work takes it; more is slower.
    Pace {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Current duration of work, as a percentage of the nominal duration.
        percent: u32,
    },
    /// Durations of work at upstreams, reported by another router.
    Paces(Vec<wire::Pace>),
    /// Prompt prefixes cached or being prefilled at an upstream, reported by another router.
    WarmPrefixes(WarmPrefixes),
    /// Another router's own load.
    Loads(Loads),
    /// Upstream loads that another router saw in answers.
    Observations(Observations),
    /// How another router's requests ended.
    Outcomes(Vec<Outcome>),
    /// Waits of another router's requests until their answers began.
    Delays(Vec<Delay>),
    /// Demand on a saturated pool, reported by another router.
    Demands(Demands),
    /// Crashes of upstreams during requests, reported by routers.
    Crashes(Vec<Crash>),
    /// The liveness check of an upstream whose connection broke has finished.
    Checked {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Result of the check.
        check: Liveness,
    },
    /// A request postponed with [`Effect::Postpone`](crate::Effect::Postpone) is due.
    Due {
        /// Internal id of the request.
        id: u64,
    },
    /// The builds that may have begun a stream, as a router has saved them; these are all.
    Builds(Vec<Build>),
    /// A stream has begun at another router, and this one keeps its record.
    Begun(Beginning),
    /// The lookup of the stream that a caller continues has ended.
    Found {
        /// Internal id of the request.
        id: u64,
        /// Its result.
        lookup: Lookup,
    },
    /// The router should stop accepting requests and drain.
    Drain {
        /// When unfinished requests are interrupted.
        until: Millis,
    },
}

/// The result of asking the routers that keep the record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// This build began the stream.
    Found(Build),
    /// All of them have answered, and none has the record.
    Nowhere,
    /// None of those that answered has the record, and others did not answer.
    Unanswered,
}

/// A complete request from a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request, unique within this router.
    pub id: u64,
    /// Public request id, shown to callers and operators.
    pub request: Arc<str>,
    /// Name of the authenticated workspace.
    pub workspace: Arc<str>,
    /// Kind of the request.
    pub kind: Arc<str>,
    /// Requested model, if any.
    pub model: Option<Arc<str>>,
    /// Hash of the requested work: equal for repeated requests of the same workspace, whatever
    /// their id and router.
    pub fingerprint: u64,
    /// Key of the chat that the request belongs to.
    pub chat: Arc<str>,
    /// Prefixes of the prompt that other requests may share, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// Hashes of the parts of the prompt that other requests may share, in order. Unlike a prefix,
    /// a part has the same hash in every prompt.
    pub parts: Vec<u64>,
    /// Idempotency key, if any.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Load of the request, in tokens.
    pub weight: u64,
    /// Time limit set by the caller, if any; it can only shorten the intent's.
    pub deadline: Option<Millis>,
    /// Set if the caller has the beginning of the answer and wants the rest.
    pub continuation: Option<Continuation>,
}

/// A stream that broke off, and that its caller continues with a new request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Continuation {
    /// Public id of the request that brought the first event, if the caller names it.
    pub stream: Option<Arc<str>>,
    /// Number of the last event that the caller has, if it names it.
    pub last_event: Option<u64>,
}

/// The start of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Prefix {
    /// Hash of all tokens up to the end of the prefix.
    pub hash: u64,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

impl Arrival {
    /// Length of the longest prefix, in tokens.
    pub fn prefix_tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |prefix| prefix.tokens)
    }

    pub(crate) fn prefix_hashes(&self) -> Vec<u64> {
        self.prefixes.iter().map(|prefix| prefix.hash).collect()
    }

    /// Whether the request counts as a turn of a chat, whose context may be cached at an upstream:
    /// it has a model and no idempotency key.
    pub fn is_chat(&self) -> bool {
        self.model.is_some() && self.idempotency_key.is_none()
    }
}

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key, unique within the workspace.
    pub key: Arc<str>,
    /// The key owner encoded in the key, if any.
    pub owner: Option<Owner>,
}

/// The key owner: the upstream that handles all calls of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of its sidecar.
    pub incarnation: u64,
}

/// A frame received for an attempt.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The request was refused and did not run.
    Refused(Refused),
    /// The request was admitted.
    Admitted(Admitted),
    /// Status and headers of the answer.
    Head(Head),
    /// A part of the answer's body.
    Chunk(Chunk),
    /// The answer is complete.
    End(End),
    /// The answer broke off.
    Broken(Broken),
    /// A frame that is not valid in this direction.
    Unexpected,
}

impl From<Frame> for Reply {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Refused(refused) => Self::Refused(refused),
            Frame::Admitted(admitted) => Self::Admitted(admitted),
            Frame::Head(head) => Self::Head(head),
            Frame::Chunk(chunk) => Self::Chunk(chunk),
            Frame::End(end) => Self::End(end),
            Frame::Broken(broken) => Self::Broken(broken),
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Open(_)
            | Frame::Report(_)
            | Frame::Pool(_)
            | Frame::DirectoryUpdate(_)
            | Frame::WarmPrefixes(_)
            | Frame::Loads(_)
            | Frame::Observations(_)
            | Frame::Delays(_)
            | Frame::Demands(_)
            | Frame::UpstreamCrash(_)
            | Frame::Query(_)
            | Frame::Changes(_)
            | Frame::Referral(_)
            | Frame::Forwarded(_)
            | Frame::Outcomes(_)
            | Frame::Paces(_)
            | Frame::Cleared(_)
            | Frame::Claims(_)
            | Frame::Verdicts(_)
            | Frame::Saturated(_)
            | Frame::Begun(_)
            | Frame::Find(_)
            | Frame::Found(_)
            | Frame::PartCrash(_)
            | Frame::ClearedParts(_)
            | Frame::SavedStreams(_) => Self::Unexpected,
        }
    }
}

/// An upstream listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the upstream, different for each start, so that state and reports about one start
    /// are not applied to the next.
    pub name: Arc<str>,
    /// Name of the entry, the same for all starts; empty if equal to `name`.
    #[serde(default)]
    pub entry: Arc<str>,
    /// Address of its sidecar, or of the upstream itself where it is reached directly.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Labels reported by the platform.
    pub labels: Labels,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Number of requests it serves at once; zero if unknown.
    #[serde(default)]
    pub slots: u64,
    /// Start time, in milliseconds since the Unix epoch; zero if unknown. Compared only between
    /// starts of one entry.
    #[serde(default)]
    pub born: u64,
    /// Version of its software; empty if unknown.
    #[serde(default)]
    pub version: Arc<str>,
}

impl Host {
    /// Name of the entry.
    pub fn entry(&self) -> &Arc<str> {
        if self.entry.is_empty() { &self.name } else { &self.entry }
    }
}
